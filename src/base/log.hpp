#pragma once
// The log: one line an event, to standard error, each with the calendar's time before it.
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace duneturn {

/// Writes one line. Safe for use from several threads.
auto logLine(std::string_view line) -> void;
/// Turns the log off or on; off for runs over virtual time, which keep their own trace.
auto muteLog(bool muted) -> void;
/// A structured line: the event's fixed name (snake_case), then its fields, each "key={}". The names are
/// listed in docs/operators.md.
template <class... Arguments>
auto logEvent(std::string_view event, fmt::format_string<Arguments...> fields, Arguments&&... arguments)
    -> void {
    logLine(fmt::format("{} {}", event, fmt::format(fields, std::forward<Arguments>(arguments)...)));
}
/// A line of free text; on its way out, logEvent takes its place.
template <class... Arguments>
auto logf(fmt::format_string<Arguments...> format, Arguments&&... arguments) -> void {
    logLine(fmt::format(format, std::forward<Arguments>(arguments)...));
}

}  // namespace duneturn
