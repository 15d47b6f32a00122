#pragma once
// The schedule of a planned stop.
#include "base/time.hpp"

namespace duneturn {

/// What a stopping node does with requests.
enum class StopStep {
    Serve,   ///< New requests are taken: clients learn late that this node leaves.
    Refuse,  ///< New requests are refused; those under way go on.
    Cut,     ///< What still runs is ended visibly incomplete.
    End      ///< The process ends, whatever is left.
};

/// A planned stop within a grace period. Whoever stops the process allows a request to be cut if it was sent
/// at most LATEST_CUTTABLE after the signal, and then only in the last sixth of the grace. So later requests
/// are never taken, and none is cut sooner.
struct StopSchedule {
    /// How long after the signal a request may be sent that is still running when its cut comes.
    static constexpr Microseconds LATEST_CUTTABLE = 3 * SECOND;
    /// How long before `at` the signal may have been sent: a busy process sees it late.
    static constexpr Microseconds SIGNAL_DELAY = 500 * MILLISECOND;

    Microseconds at = 0;     ///< When the stop began; 0: none has begun.
    Microseconds grace = 0;  ///< Within which the process must have ended.

    /// The step at `now`; `busy`: a request is under way or its answer not wholly written.
    [[nodiscard]] auto step(Microseconds now, bool busy) const -> StopStep;
};

}  // namespace duneturn
