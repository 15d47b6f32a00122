#include "membership/operation_scheduler.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// Between two proposals, so that the previous one can be committed first.
static constexpr Microseconds PROPOSAL_INTERVAL = 500 * MILLISECOND;

/// Returns the median of the calendar clocks of the nodes that are alive, including this node.
static auto medianClock(const NodeContext& context, Microseconds wall, Microseconds now) -> Microseconds {
    auto clocks = std::vector<Microseconds>{wall};
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now)) clocks.push_back(known.record.wall + (now - known.recordAt));
    auto middle = clocks.begin() + std::ptrdiff_t(clocks.size() / 2);
    std::nth_element(clocks.begin(), middle, clocks.end());
    return *middle;
}

auto OperationScheduler::tick(NodeContext& context, Microseconds wall, Microseconds now) -> void {
    auto& voter = *context.voter;
    if (!voter.ready() || now - lastProposedAt_ < PROPOSAL_INTERVAL) return;
    auto clock = medianClock(context, wall, now);
    auto operations = voter.latestState().scheduledOperations();
    auto due = std::find_if(operations.begin(), operations.end(),
        [&](const ScheduledOperation& operation) { return operation.at <= clock; });
    if (due == operations.end()) return;
    lastProposedAt_ = now;
    auto entry = orderPrepare(
        voter.latestState(), "fire", "fire-" + due->id, bodyOf({{"move", jsonQuote(due->id)}}), clock);
    if (!entry || !voter.propose(ENTRY_ORDER, *entry, now)) return;
    logEvent("planned_operation_begun", "id={}", due->id);
    context.counters.add("moves_fired_total");
}

}  // namespace duneturn
