#include "daemon/planned_stop.hpp"

#include <mutex>

#include "base/log.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"

namespace duneturn {

auto PlannedStop::begin() -> void {
    auto lock = std::lock_guard(logic_.mutex);
    if (logic_.stop.at) return;
    logEvent("stop_begun", "limit_us={}", limit_);
    logic_.stop = {bootNow(), limit_};
    logic_.node->leave(logic_.stop.at);
    upstreams_.closeKept();
    if (schedule_ == Schedule::Grace) logic_.closing = true;
    else logic_.edge->drain();
}

auto PlannedStop::step(Microseconds now) -> bool {
    if (!logic_.stop.at) return false;
    return schedule_ == Schedule::Grace ? stepGrace(now, busy(now)) : stepDrain(now, busy(now));
}

// A request that is still being read, or whose response its session has not written yet, is under way as
// well. Nor does a voter end without its successor.
auto PlannedStop::busy(Microseconds now) const -> bool {
    auto requests = logic_.edge->activeRequests() > 0 || !responses_.empty();
    return requests || listeners_.requestsUnderWay() > 0 || !logic_.node->voteHandedOver(now);
}

auto PlannedStop::stepDrain(Microseconds now, bool busy) -> bool {
    auto elapsed = now - logic_.stop.at;
    if (elapsed < SHORTEST_STOP) return false;
    if (elapsed >= limit_) cutRequests(now);
    return !busy || elapsed >= limit_ + AFTER_CUT;
}

auto PlannedStop::stepGrace(Microseconds now, bool busy) -> bool {
    auto step = logic_.stop.step(now, busy);
    if (step == StopStep::Serve) return false;
    refuseRequests();
    if (step == StopStep::Cut) cutRequests(now);
    return step == StopStep::End;
}

auto PlannedStop::refuseRequests() -> void {
    if (logic_.refusing) return;
    logic_.refusing = true;
    logic_.edge->stopAccepting();
    listeners_.closeIdle();
}

auto PlannedStop::cutRequests(Microseconds now) -> void {
    if (requestsCut_) return;
    requestsCut_ = true;
    if (!logic_.edge->activeRequests()) return;
    logEvent("stop_requests_cut", "requests={}", logic_.edge->activeRequests());
    logic_.edge->abortAll(now);
    logic_.edge->tick(now);
}

}  // namespace duneturn
