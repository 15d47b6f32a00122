#pragma once
// How long after a request arrived its command may still be begun.
#include <string_view>

#include "base/time.hpp"

namespace duneturn {

/// Callers go on to another node after a second of silence, and may give other commands there. The end of
/// their connection can be late: it is sent again in growing steps after a cut.
constexpr Microseconds MAX_START_DELAY = 800 * MILLISECOND;

/// Whether the caller of a request that came at `arrived` may have given up, so that `operation` must not
/// be begun any more. A configuration may: it names its base, so one that is begun late undoes nothing, and
/// callers wait longer for a large one.
inline auto isTooLateToStart(std::string_view operation, Microseconds arrived, Microseconds now) -> bool {
    auto evacuation = operation == "empty" || operation == "give-back";
    return evacuation && now - arrived > MAX_START_DELAY;
}

}  // namespace duneturn
