#pragma once
// Decides which node performs the tasks that are to be done once in the fleet, such as fetching the
// platform's listing. That is the leader while a majority confirms it, or the root of the dissemination tree
// once no leader has been known for long enough. Two nodes may hold the duty for a short time; the results
// are numbered, so that the later one prevails.
#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// This node's view of who holds the duty.
class SingletonDuty {
  public:
    /// Must be called on each tick. `leaderKnown`: whether a leader is known at `now`.
    auto observe(bool leaderKnown, Microseconds now) -> void;
    /// Whether this node holds the duty. `hasListing`: whether it holds any listing.
    [[nodiscard]] auto isHeld(const NodeContext& context, bool hasListing, Microseconds now) const -> bool;

  private:
    Microseconds leaderSeenAt_ = 0;  // when a leader was last known, or of the first tick; 0 before that
    bool leaderEverSeen_ = false;
};

}  // namespace duneturn
