#include "membership/singleton_duty.hpp"

#include "base/time.hpp"

namespace duneturn {

/// Time without a known leader after which the root takes over; an election takes about a second.
static constexpr Microseconds LEADER_LOST_TIMEOUT = 2 * SECOND;
/// The same before any leader was known. It is short because no node has a listing when all start at once.
static constexpr Microseconds FIRST_LEADER_TIMEOUT = 200 * MILLISECOND;
/// A leader that a majority confirmed longer ago than this may have been deposed.
static constexpr Microseconds MAX_QUORUM_AGE = 1 * SECOND;

auto SingletonDuty::observe(bool leaderKnown, Microseconds now) -> void {
    if (leaderKnown || !leaderSeenAt_) leaderSeenAt_ = now;
    leaderEverSeen_ = leaderEverSeen_ || leaderKnown;
}

auto SingletonDuty::isHeld(const NodeContext& context, bool hasListing, Microseconds now) const -> bool {
    auto& voter = context.voter;
    if (voter && voter->leads()) return now - voter->lastQuorumContact() < MAX_QUORUM_AGE;
    auto leaderKnown = !context.members.leaderNode(now).empty();
    // When all nodes start at once there is no leader yet and no node has a listing. Each core node without a
    // listing then fetches it, and the root of the tree does not wait for the election either.
    if (voter && !leaderEverSeen_ && !hasListing && !leaderKnown) return true;
    auto timeout = leaderEverSeen_ ? LEADER_LOST_TIMEOUT : FIRST_LEADER_TIMEOUT;
    if (leaderKnown || !leaderSeenAt_ || now - leaderSeenAt_ < timeout) return false;
    return context.tree(now).parentOf(context.members.own().node).empty();
}

}  // namespace duneturn
