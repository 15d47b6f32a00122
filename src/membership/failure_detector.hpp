#pragma once
// Timeouts of the failure detector, and the maximum age of listings and load reports. Failure detection is by
// timeout alone: a node is alive while its heartbeat counter keeps rising within the timeout.
#include "base/settings.hpp"
#include "base/time.hpp"

namespace duneturn {

/// Interval between heartbeats, fixed roster.
constexpr Microseconds ROSTER_HEARTBEAT = 200 * MILLISECOND;
/// Interval between heartbeats, gossip membership.
constexpr Microseconds GOSSIP_HEARTBEAT = 500 * MILLISECOND;
/// Maximum age of a majority's confirmation that it knows of no newer replicated state.
constexpr Microseconds LEASE_DURATION = 2 * SECOND;
/// Time without a heartbeat after which a node counts as failed, fixed roster.
constexpr Microseconds ALIVE_TIMEOUT = 1500 * MILLISECOND;
/// Time without a heartbeat after which clients are no longer directed to a node, fixed roster.
constexpr Microseconds LATE_TIMEOUT = 800 * MILLISECOND;
/// Time without a heartbeat after which a node's record is no longer sent to other nodes.
constexpr Microseconds STOP_RELAYING_TIMEOUT = 30 * SECOND;
/// Time without a heartbeat after which a node's record is dropped. Longer than STOP_RELAYING_TIMEOUT, so
/// that a record is not reintroduced by the node that was the last to receive it.
constexpr Microseconds DROP_TIMEOUT = 4 * STOP_RELAYING_TIMEOUT;
/// A server's listing expires when it is not confirmed for this long, fixed roster.
constexpr Microseconds LISTING_TIMEOUT = 15 * SECOND;
/// A drain mark expires, and the server is dropped, when it is not confirmed for this long.
constexpr Microseconds DRAIN_MARK_TIMEOUT = 60 * SECOND;
/// A process that observes a larger gap than this between two readings of its clock was suspended meanwhile.
constexpr Microseconds FREEZE_GAP = 1 * SECOND;
/// Time after a freeze within which the requests that arrived during it have been read.
constexpr Microseconds RESUME_GRACE = 300 * MILLISECOND;
/// A load report older than this does not show whether the server still runs in the same incarnation.
constexpr Microseconds LOAD_STALE_AFTER = 1 * SECOND;
/// A load report older than this is not used.
constexpr Microseconds LOAD_MAX_AGE = 3 * SECOND;
/// Time without contact after which a voter is replaced by a spare disk, gossip membership.
constexpr Microseconds VOTER_LOST_TIMEOUT = 2500 * MILLISECOND;

/// The timeouts that depend on the membership protocol.
struct FailureTimeouts {
    Microseconds heartbeat = ROSTER_HEARTBEAT;  // interval between two heartbeats of a node
    Microseconds alive = ALIVE_TIMEOUT;
    Microseconds late = LATE_TIMEOUT;
};
/// Returns the timeouts for these settings. With gossip they cover several heartbeats, because some may be
/// lost on their way through the dissemination tree.
auto failureTimeouts(const Settings& settings) -> FailureTimeouts;

}  // namespace duneturn
