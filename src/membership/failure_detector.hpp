#pragma once
// The limits of silence after which a node, a server or a report counts as gone, late or too old. Failure
// detection is by timeout alone: a node is alive while its heartbeat counter rises within the timeout.
#include "base/settings.hpp"
#include "base/time.hpp"

namespace duneturn {

/// How often a node sends heartbeats, fixed roster.
constexpr Microseconds ROSTER_HEARTBEAT = 200 * MILLISECOND;
/// How often a node sends heartbeats, membership by gossip.
constexpr Microseconds GOSSIP_HEARTBEAT = 500 * MILLISECOND;
/// How old the confirmation by a majority may be that no newer replicated state is known.
constexpr Microseconds LEASE_DURATION = 2 * SECOND;
/// Silence after which a node is thought gone, fixed roster.
constexpr Microseconds ALIVE_TIMEOUT = 1500 * MILLISECOND;
/// Silence after which clients are not directed to a node, fixed roster.
constexpr Microseconds LATE_TIMEOUT = 800 * MILLISECOND;
/// Silence after which a node's record is not passed on any more.
constexpr Microseconds FORGET_TIMEOUT = 30 * SECOND;
/// Silence after which a node's record is dropped. Longer than FORGET_TIMEOUT, so that a record is not
/// accepted anew from a node that was the last to be sent it.
constexpr Microseconds DROP_TIMEOUT = 4 * FORGET_TIMEOUT;
/// A listing that is not confirmed for this long lapses, fixed roster.
constexpr Microseconds LISTING_TIMEOUT = 15 * SECOND;
/// A drain mark that is not confirmed for this long lapses, and the server with it.
constexpr Microseconds DRAIN_MARK_TIMEOUT = 60 * SECOND;
/// A process that sees a gap of more than this in its own time was stopped meanwhile.
constexpr Microseconds FREEZE_GAP = 1 * SECOND;
/// After a freeze, the requests that arrived during it have been read within this.
constexpr Microseconds RESUME_GRACE = 300 * MILLISECOND;
/// A load report older than this does not show whether the server still lives the same life.
constexpr Microseconds LOAD_STALE_AFTER = 1 * SECOND;
/// A load report older than this is not used.
constexpr Microseconds LOAD_MAX_AGE = 3 * SECOND;
/// Silence after which a voter is replaced by a spare disk, membership by gossip.
constexpr Microseconds VOTER_LOST_TIMEOUT = 2500 * MILLISECOND;

/// The limits that depend on how membership is kept.
struct FailureTimeouts {
    Microseconds heartbeat = ROSTER_HEARTBEAT;
    Microseconds alive = ALIVE_TIMEOUT;
    Microseconds late = LATE_TIMEOUT;
};
/// The limits for these settings: with gossip, several heartbeats may be lost on their way through the tree.
auto failureTimeouts(const Settings& settings) -> FailureTimeouts;

}  // namespace duneturn
