#pragma once
// Beginning a new epoch after a majority of the voters' disks is lost, by the nodes themselves (fixed roster)
// or by an operator (the last resort, both ways of membership).
#include <cstdint>

#include "base/time.hpp"
#include "membership/cluster_bootstrap.hpp"
#include "membership/node_context.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// The number of an epoch is its count times this, plus a number of the disk that began it.
constexpr std::int64_t EPOCH_STRIDE = 1024;

/// Fixed roster: begins a new epoch, from the newest state that a majority of the roster holds, when the
/// disks of the present one can no longer form a majority and no leader is known. A voter's disk counts as
/// lost only when its machine is there with another disk. Where a disk of the old epoch survives it is the
/// one that begins the new one, and so leaves the old epoch in the same write: no majority of it, nor of a
/// change of voters under way, can act again.
auto recoverFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void;

/// The last resort, by an operator who names what this survivor holds: a new epoch from that state, whatever
/// was acknowledged after it. Refused (status 409) while a majority could still come together.
/// `majorityStands`: whether a majority is in touch with this node.
[[nodiscard]] auto recoverFromSurvivor(
    NodeContext& context, StateVersion named, bool majorityStands, Microseconds now) -> Outcome;

}  // namespace duneturn
