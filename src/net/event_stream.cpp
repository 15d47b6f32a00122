#include "net/event_stream.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace duneturn {

namespace {

/// The length of the first whole event of `text`, its empty line included; none if there is no whole one.
/// An event ends at an empty line; lines end with LF or CRLF.
auto firstEventLength(std::string_view text) -> std::optional<std::size_t> {
    auto lineEnd = text.find('\n');
    while (lineEnd != std::string_view::npos) {
        auto next = lineEnd + 1;
        if (next < text.size() && text[next] == '\r') next++;
        if (next >= text.size()) return std::nullopt;
        if (text[next] == '\n') return next + 1;
        lineEnd = text.find('\n', lineEnd + 1);
    }
    return std::nullopt;
}

/// Takes one line "name: value" of an event, without its line end.
auto takeField(std::string_view line, ServerSentEvent& event) -> void {
    auto colon = line.find(':');
    auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (name == "id") event.id = std::string(value);
    else if (name == "event") event.type = std::string(value);
    else if (name == "data") event.data += (event.data.empty() ? "" : "\n") + std::string(value);
}

auto parseEvent(std::string raw) -> ServerSentEvent {
    auto event = ServerSentEvent();
    event.raw = std::move(raw);
    auto rest = std::string_view(event.raw);
    while (!rest.empty()) {
        auto lineEnd = rest.find('\n');
        auto line = rest.substr(0, lineEnd);
        rest.remove_prefix(lineEnd + 1);
        if (line.ends_with('\r')) line.remove_suffix(1);
        takeField(line, event);
    }
    return event;
}

}  // namespace

auto EventStreamSplitter::next() -> std::optional<ServerSentEvent> {
    auto length = firstEventLength(buffer_);
    if (!length) return std::nullopt;
    auto raw = buffer_.substr(0, *length);
    buffer_.erase(0, *length);
    return parseEvent(std::move(raw));
}

}  // namespace duneturn
