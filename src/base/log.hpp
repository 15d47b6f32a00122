#pragma once
// Log lines, to standard error.
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace duneturn {

/// A line for a change of state, to standard error.
auto logLine(std::string_view line) -> void;
/// No lines; for runs over virtual time, which keep their own trace.
auto muteLog(bool on) -> void;
/// A structured line: the event's fixed name (snake_case), then its fields, each "key={}". The names are
/// listed in docs/operators.md.
template <class... A>
auto logEvent(std::string_view event, fmt::format_string<A...> fields, A&&... arguments) -> void {
    logLine(fmt::format("{} {}", event, fmt::format(fields, std::forward<A>(arguments)...)));
}
/// A line of free text; on its way out, logEvent takes its place.
template <class... A>
auto logf(fmt::format_string<A...> format, A&&... arguments) -> void {
    logLine(fmt::format(format, std::forward<A>(arguments)...));
}

}  // namespace duneturn
