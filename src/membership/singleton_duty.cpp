#include "membership/singleton_duty.hpp"

#include "base/time.hpp"

namespace duneturn {

static constexpr Microseconds LEADER_LOST_TIMEOUT = 2 * SECOND;  // an election takes about a second
static constexpr Microseconds FIRST_LEADER_TIMEOUT =
    200 * MILLISECOND;                                  // after a start of all at once, nobody has a listing
static constexpr Microseconds QUORUM_AGE = 1 * SECOND;  // a leader confirmed longer ago may be deposed

auto SingletonDuty::observe(bool leaderKnown, Microseconds now) -> void {
    if (leaderKnown || !leaderSeenAt_) leaderSeenAt_ = now;
    leaderEverSeen_ = leaderEverSeen_ || leaderKnown;
}

auto SingletonDuty::isHeld(const NodeContext& context, bool hasListing, Microseconds now) const -> bool {
    auto& voter = context.voter;
    if (voter && voter->leads()) return now - voter->lastQuorumContact() < QUORUM_AGE;
    auto leaderKnown = !context.members.leaderNode(now).empty();
    // After a start of all at once there is no leader yet and nobody has a listing: each voter that has none
    // fetches it, and the root of what is known by then doesn't wait for the election.
    if (voter && !leaderEverSeen_ && !hasListing && !leaderKnown) return true;
    auto timeout = leaderEverSeen_ ? LEADER_LOST_TIMEOUT : FIRST_LEADER_TIMEOUT;
    if (leaderKnown || !leaderSeenAt_ || now - leaderSeenAt_ < timeout) return false;
    return context.tree(now).parentOf(context.members.own().node).empty();
}

}  // namespace duneturn
