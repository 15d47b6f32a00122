#include "net/stop_schedule.hpp"

#include <algorithm>

#include "base/time.hpp"

namespace duneturn {

namespace {

/// An idle node ends no earlier: clients' lists of nodes must have caught up.
constexpr Microseconds SHORTEST_STOP = 1500 * MILLISECOND;
/// Of a short grace, so that what is taken has time to run.
constexpr auto SERVE_PERCENT = 40;
/// The end of a grace that is kept for cutting what runs and for ending; of a short grace, its last sixth.
constexpr Microseconds CUT_RESERVE = 1 * SECOND;
constexpr auto CUT_RESERVE_DIVISOR = 6;
/// The end of a grace that is kept for the process's own end; of a short grace, its last twentieth.
constexpr Microseconds END_RESERVE = 400 * MILLISECOND;
constexpr auto END_RESERVE_DIVISOR = 20;

auto serveFor(Microseconds grace) -> Microseconds {
    return std::min(grace * SERVE_PERCENT / 100, StopSchedule::LATEST_CUTTABLE - StopSchedule::SIGNAL_DELAY);
}

auto cutAfter(Microseconds grace) -> Microseconds {
    return grace - std::min(grace / CUT_RESERVE_DIVISOR, CUT_RESERVE);
}

auto endAfter(Microseconds grace) -> Microseconds {
    return grace - std::min(grace / END_RESERVE_DIVISOR, END_RESERVE);
}

}  // namespace

auto StopSchedule::step(Microseconds now, bool busy) const -> StopStep {
    if (!at) return StopStep::Serve;
    auto elapsed = now - at;
    auto mayEndIdle = elapsed >= std::min(SHORTEST_STOP, cutAfter(grace));
    if (elapsed >= endAfter(grace) || (mayEndIdle && !busy)) return StopStep::End;
    if (elapsed >= cutAfter(grace)) return StopStep::Cut;
    return elapsed >= serveFor(grace) ? StopStep::Refuse : StopStep::Serve;
}

}  // namespace duneturn
