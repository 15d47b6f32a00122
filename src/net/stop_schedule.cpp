#include "net/stop_schedule.hpp"

#include <algorithm>

#include "base/time.hpp"

namespace duneturn {

namespace {

/// An idle node ends no earlier: clients' lists of nodes must have caught up.
constexpr Microseconds SHORTEST_STOP = 1500 * MILLISECOND;
constexpr auto REFUSE_AT_PERCENT = 40;  // of the grace
constexpr auto CUT_AT_PERCENT = 85;

}  // namespace

auto StopSchedule::step(Microseconds now, bool busy) const -> StopStep {
    if (!at) return StopStep::Serve;
    auto elapsed = now - at;
    auto cutAfter = grace * CUT_AT_PERCENT / 100;
    if (!busy && elapsed >= std::min(SHORTEST_STOP, cutAfter)) return StopStep::End;
    if (elapsed >= cutAfter) return StopStep::Cut;
    return elapsed >= grace * REFUSE_AT_PERCENT / 100 ? StopStep::Refuse : StopStep::Serve;
}

}  // namespace duneturn
