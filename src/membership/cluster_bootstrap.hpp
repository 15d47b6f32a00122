#pragma once
// The first start of a cluster: which blank disk begins the first epoch of the replicated log, and with which
// voters.
#include <cstddef>

#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// How long a condition has held without a break.
class ConditionTimer {
  public:
    /// The condition holds now: whether it has held for `duration` by now.
    [[nodiscard]] auto heldFor(Microseconds duration, Microseconds now) -> bool {
        if (!since_) since_ = now;
        return now - since_ >= duration;
    }
    auto reset() -> void { since_ = 0; }

  private:
    Microseconds since_ = 0;
};

/// Fixed roster: the first of the initial voters begins the first epoch when all initial voters live, on
/// blank disks, and a majority of the roster lives. To be called only while nobody holds a state.
auto bootstrapFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void;

/// Membership by gossip, with the setting `bootstrap`: all processes of the first start are given the same
/// seeds in the same order, and all of those are up; the first of them that has a disk begins the first
/// epoch, so there is one founder only. A node that knows of a state never begins one.
class GossipBootstrap {
  public:
    auto tick(NodeContext& context, Microseconds now) -> void;

  private:
    std::size_t blankDisks_ = 0;       // as of the last tick
    Microseconds countChangedAt_ = 0;  // when that number last changed
};

}  // namespace duneturn
