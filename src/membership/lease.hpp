#pragma once
// Leases that are confirmed by majorities: whether this node may act on the replicated state that it holds,
// and whether enough nodes hold a change for it to be acknowledged.
//
// Fixed roster. An operator order is acknowledged when a majority of the voters' disks and a majority of the
// roster hold it at the same moment (majorityHolds). A node acts on its state only if it was, within
// LEASE_DURATION, in contact with a majority of the voters or of the roster, and none of these nodes knew a
// newer state than it holds (majorityConfirms). That majority intersects the majority of the same kind that
// held the order when it was acknowledged, and the common member would have reported the newer state. A node
// within its lease therefore holds every acknowledged order. This rests on two conditions:
//
//  - A node determines the age of a record by its own clock only. A record that acknowledges this node's
//    heartbeat h was written after h was sent, whatever path the record took
//    (LeaseEvidence::AcknowledgedHeartbeat). The clock includes the time during which the process was
//    suspended, so a process that was suspended for longer than its lease resumes with an expired lease.
//  - A node that restarted and lost its memory does not confirm anything on behalf of its earlier
//    incarnation. It counts only once it is settled, that is, once it has itself been in contact with such a
//    majority.
//
// Gossip membership. Orders are acknowledged by the voters' disks alone, and heartbeats carry no
// acknowledgements. The lease then bounds how long a node acts without receiving heartbeats from a majority
// of the voters (LeaseEvidence::RecentHeartbeat); it does not prove that the node holds every acknowledged
// order.
//
// After Gray, Cheriton, "Leases", SOSP 1989, with majorities in place of a single grantor.
#include <functional>

#include "base/time.hpp"
#include "control/order_service.hpp"
#include "membership/membership_table.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Which voters count towards a majority of the voters.
enum class VotersCounted { All, SettledOnly };

/// Whether the other node's record is recent enough to count for this node's lease.
[[nodiscard]] auto countsForLease(const NodeContext& context, const KnownNode& node, Microseconds now)
    -> bool;

/// Whether a majority of the voters, or a majority of the roster, counts for the lease and holds no newer
/// replicated state than this node.
[[nodiscard]] auto majorityConfirms(const NodeContext& context, VotersCounted voters, Microseconds now)
    -> bool;

/// Whether, at one and the same moment, a majority of the voters and a majority of the roster satisfy
/// `holds`. Call repeatedly with the same `proof` until the result is true.
///
/// Each node is checked twice: its record must satisfy `holds` at `proof.begun`, and again in the same
/// incarnation by a record that acknowledges a heartbeat sent since then. A single check would count a node
/// that has meanwhile restarted without its memory.
[[nodiscard]] auto majorityHolds(const NodeContext& context, MajorityProof& proof,
    const std::function<bool(const wire::NodeRecord&)>& holds, Microseconds now) -> bool;

}  // namespace duneturn
