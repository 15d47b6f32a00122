#pragma once
// The schedule of a planned stop.
#include "base/time.hpp"

namespace duneturn {

/// What a stopping node does with requests.
enum class StopStep {
    Serve,   ///< New requests are taken: clients learn late that this node leaves.
    Refuse,  ///< New requests are refused; those under way go on.
    Cut,     ///< What still runs is ended visibly incomplete.
    End      ///< The process may end.
};

/// A planned stop within a grace period.
struct StopSchedule {
    Microseconds at = 0;     ///< When the stop began; 0: none has begun.
    Microseconds grace = 0;  ///< Within which the process must have ended.

    /// The step at `now`; `busy`: a request is under way or its answer not wholly written.
    [[nodiscard]] auto step(Microseconds now, bool busy) const -> StopStep;
};

}  // namespace duneturn
