#pragma once
// Confirmation by majorities: whether this node may act on the replicated state it holds, and whether a
// change is held so widely that it may be acknowledged.
//
// Fixed roster. An order is acknowledged when a majority of the voters' disks and a majority of the roster
// were seen holding it at one same moment (majorityHolds). A node acts on its state only while it was in
// touch, within LEASE_DURATION, with a majority of the voters or of the roster, none of which knew a newer
// state than it holds (majorityConfirms). That majority has a member in common with the one of the same kind
// that held the order when it was acknowledged, and this member would have shown the newer state; so a node
// within its lease holds every acknowledged order. Two conditions are needed for this:
//
//  - The age of a record is known by this node's clock alone: a record that acknowledges heartbeat h of this
//    node was written after h was sent, whatever path it came (LeaseEvidence::AcknowledgedHeartbeat). The
//    clock counts the time that the process was stopped, so a lease has expired when a process wakes up.
//  - A node that has restarted without its memory does not vouch for what it forgot: it counts only once it
//    is settled, that is, once it has itself been in touch with such a majority.
//
// Membership by gossip. Orders are acknowledged by the voters' disks alone, and heartbeats carry no
// acknowledgements; the lease is then a bound on how long a node acts without hearing a majority of voters
// (LeaseEvidence::RecentHeartbeat), and not a proof that it holds every acknowledged order.
//
// After leases in Gray, Cheriton, "Leases", SOSP 1989, with majorities in place of a single grantor.
#include <functional>

#include "base/time.hpp"
#include "control/order_service.hpp"
#include "membership/membership_table.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Which voters count towards a majority.
enum class VotersCounted { All, SettledOnly };

/// Whether the node's record is recent enough to count for a lease.
[[nodiscard]] auto countsForLease(const NodeContext& context, const KnownNode& node, Microseconds now)
    -> bool;

/// Whether a majority of the voters, or of the roster, was in touch within the lease and knew of no newer
/// replicated state than is held here.
[[nodiscard]] auto majorityConfirms(const NodeContext& context, VotersCounted voters, Microseconds now)
    -> bool;

/// Whether a majority of the voters and a majority of the roster hold, at one same moment, what `holds`
/// looks for. Each must be seen holding it by `proof.begun`, and again, in the same life, by a record that
/// acknowledges a heartbeat sent since then: a single look would count a node that has restarted empty
/// since. Called again and again with the same `proof` until it is true.
[[nodiscard]] auto majorityHolds(const NodeContext& context, MajorityProof& proof,
    const std::function<bool(const wire::NodeRecord&)>& holds, Microseconds now) -> bool;

}  // namespace duneturn
