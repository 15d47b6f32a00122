#pragma once
// Server-sent events (HTML standard, section 9.2): one event, and the split of a text/event-stream.
#include <optional>
#include <string>
#include <string_view>

namespace duneturn {

/// One event of a stream.
struct ServerSentEvent {
    std::string id, type, data;
    std::string raw;  ///< The event's bytes as they were received, its empty line included.

    /// Whether the stream ends with this event.
    [[nodiscard]] auto done() const -> bool { return type == "done" || data == "[DONE]"; }
};

/// Splits a text/event-stream into its events, whatever the pieces it comes in.
class EventStreamSplitter {
  public:
    /// Takes bytes as they come.
    auto feed(std::string_view bytes) -> void { buffer_ += bytes; }
    /// The next whole event; none if it has not come yet.
    [[nodiscard]] auto next() -> std::optional<ServerSentEvent>;
    /// Bytes of an event that is not whole yet.
    [[nodiscard]] auto rest() const -> const std::string& { return buffer_; }
    /// Whether the event under way is longer than any that is accepted (256 KiB).
    [[nodiscard]] auto tooLong() const -> bool { return buffer_.size() > EVENT_LIMIT; }

  private:
    static constexpr auto EVENT_LIMIT = std::size_t(256) * 1024;

    std::string buffer_;
};

}  // namespace duneturn
