#pragma once
// Limits how long after a request's arrival its command may still be started.
#include <string_view>

#include "base/time.hpp"

namespace duneturn {

/// Callers go on to another node after one second without an answer, and may give other commands there. The
/// disconnect of their connection can arrive late: after a network partition TCP retransmits with growing
/// delays.
constexpr Microseconds MAX_START_DELAY = 800 * MILLISECOND;

/// Whether the caller of a request that arrived at `arrived` may have given up, so that `operation` must not
/// be started any more. This applies to evacuations and their reversal only. A configuration change may start
/// late: it names the version that it is based on, so it can't undo a newer change, and callers wait longer
/// for a large one.
inline auto isTooLateToStart(std::string_view operation, Microseconds arrived, Microseconds now) -> bool {
    auto evacuation = operation == "empty" || operation == "give-back";
    return evacuation && now - arrived > MAX_START_DELAY;
}

}  // namespace duneturn
