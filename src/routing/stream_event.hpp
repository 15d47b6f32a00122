#pragma once
// One event of an event stream (text/event-stream).
#include <string>

namespace duneturn {

/// An event's fields, and its bytes as they came.
struct StreamEvent {
    std::string id, type, data, raw;
    /// Whether it marks the stream as complete.
    auto isCompletionMark() const -> bool { return type == "done" || data == "[DONE]"; }
};

}  // namespace duneturn
