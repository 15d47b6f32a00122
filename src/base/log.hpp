#pragma once
// Log lines, to standard error.
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace duneturn {

/// A line for a change of state, to standard error.
auto logLine(std::string_view line) -> void;
/// No lines; for runs over virtual time, which keep their own trace.
auto logMute(bool on) -> void;
template <class... A>
auto logf(fmt::format_string<A...> format, A&&... arguments) -> void {
    logLine(fmt::format(format, std::forward<A>(arguments)...));
}

}  // namespace duneturn
