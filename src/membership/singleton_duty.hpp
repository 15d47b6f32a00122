#pragma once
// Which node does what must be done once in the fleet, such as fetching the platform's listing: the leader,
// while a majority follows it; when no leader is known for long enough, the root of the dissemination
// tree. Two nodes may both think so for a short time; what they do is numbered so that the later one
// prevails.
#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

class SingletonDuty {
  public:
    /// Called on each tick: whether a leader is known now.
    auto observe(bool leaderKnown, Microseconds now) -> void;
    /// Whether this node has the duty; `hasListing`: whether it holds any listing.
    [[nodiscard]] auto isHeld(const NodeContext& context, bool hasListing, Microseconds now) const -> bool;

  private:
    Microseconds leaderSeenAt_ = 0;  // when a leader was last known, or this life began; 0 before any tick
    bool leaderEverSeen_ = false;    // in this life
};

}  // namespace duneturn
