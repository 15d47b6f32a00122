#pragma once
// Recovery after a majority of the voters' disks is lost: begins a new epoch of the replicated log, either
// automatically (fixed roster) or on an operator's command (a last resort, for both membership protocols).
#include <cstdint>

#include "base/time.hpp"
#include "membership/cluster_bootstrap.hpp"
#include "membership/node_context.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// An epoch's number is its ordinal times this stride, plus a hash of the disk that began it, so that epochs
/// begun by two nodes at the same time differ (except for collisions of the hash).
constexpr std::int64_t EPOCH_STRIDE = 1024;

/// Fixed roster: begins a new epoch from the newest state known to a majority of the roster, once the disks
/// of the current epoch can no longer form a majority. Must be called only while no leader is known. `timer`
/// measures how long the loss has been observed.
///
/// A voter's disk counts as lost only when its node is alive with a different disk. If a disk of the old
/// epoch survives, its node begins the new epoch and thereby leaves the old epoch in the same write, so
/// neither a majority of the old voters nor a majority of an unfinished voter change can act again.
auto recoverFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void;

/// Last resort on an operator's command: begins a new epoch from the state that this node holds. Changes that
/// were acknowledged after that state are lost. `namedVersion` is the version that the operator believes this
/// node to hold. `majorityReachable`: whether this node is in contact with a majority. Rejected with
/// status 409 if the version differs or a majority could still form.
[[nodiscard]] auto recoverFromSurvivor(
    NodeContext& context, StateVersion namedVersion, bool majorityReachable, Microseconds now) -> Outcome;

}  // namespace duneturn
