#pragma once
// The first start of a cluster with empty disks: decides which node begins the first epoch of the replicated
// log, and with which voters.
#include <cstddef>

#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Measures how long a condition has held without interruption.
class ConditionTimer {
  public:
    /// Reports that the condition holds at `now`. Returns whether it has held for at least `duration`.
    [[nodiscard]] auto heldFor(Microseconds duration, Microseconds now) -> bool {
        if (!since_) since_ = now;
        return now - since_ >= duration;
    }
    /// Reports that the condition does not hold.
    auto reset() -> void { since_ = 0; }

  private:
    Microseconds since_ = 0;  // 0: the condition did not hold when it was last checked
};

/// Fixed roster: on the first of the initial voters, begins the first epoch once all initial voters are alive
/// with uninitialized disks and a majority of the roster is alive. Must be called only while no known node
/// holds a replicated state.
auto bootstrapFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void;

/// Gossip membership, with the setting `bootstrap`: begins the first epoch on the first seed that has a disk.
/// All processes of the first start must be given the same seeds in the same order, and all seeds must be
/// up, so that exactly one node bootstraps the cluster. A node that knows of an existing replicated state
/// never begins one.
class GossipBootstrap {
  public:
    /// Begins the first epoch if the conditions for it hold.
    auto tick(NodeContext& context, Microseconds now) -> void;

  private:
    std::size_t uninitializedDisks_ = 0;   // counted on the last tick
    Microseconds diskCountChangedAt_ = 0;  // when that count last changed
};

}  // namespace duneturn
