#include "membership/lease.hpp"

#include <cstddef>
#include <functional>

#include "base/time.hpp"

namespace duneturn {

/// A MajorityProof that is not complete within this time after its first check starts over, so that a node
/// that has failed since that check does not block it.
static constexpr Microseconds PROOF_TIMEOUT = 1 * SECOND;

auto countsForLease(const NodeContext& context, const KnownNode& node, Microseconds now) -> bool {
    if (context.leaseEvidence == LeaseEvidence::RecentHeartbeat) return context.members.isAlive(node, now);
    return node.acknowledgedSince && now - node.acknowledgedSince <= LEASE_DURATION;
}

auto majorityConfirms(const NodeContext& context, VotersCounted voters, Microseconds now) -> bool {
    auto votersConfirming = std::size_t(0), rosterConfirming = std::size_t(0);
    auto count = [&](const wire::NodeRecord& record) {
        if (versionOf(record) > versionOf(context.state)) return;
        // VotersCounted::All admits voters that are not settled; nodes of the roster must always be settled.
        auto admitted = record.settled || voters == VotersCounted::All;
        if (!record.blank && context.isVoter(record) && admitted) votersConfirming++;
        if (record.settled && context.voting.roster.count(record.node)) rosterConfirming++;
    };
    count(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) count(known.record);
    return votersConfirming * 2 > context.voting.voterDisks.size()
        || rosterConfirming * 2 > context.voting.roster.size();
}

/// Whether a majority of the voters and a majority of the roster satisfy `holds`. The predicate receives a
/// node's record and its KnownNode::acknowledgedSince; for this node, which needs no acknowledgement, `now`.
static auto majoritiesWhere(const NodeContext& context,
    const std::function<bool(const wire::NodeRecord&, Microseconds)>& holds, Microseconds now) -> bool {
    auto votersHolding = std::size_t(0), rosterHolding = std::size_t(0);
    auto count = [&](const wire::NodeRecord& record, Microseconds acknowledgedSince) {
        if (!holds(record, acknowledgedSince)) return;
        if (!record.blank && context.isVoter(record)) votersHolding++;
        if (context.voting.roster.count(record.node)) rosterHolding++;
    };
    count(context.members.own(), now);
    for (auto& [name, known] : context.members.others()) count(known.record, known.acknowledgedSince);
    return votersHolding * 2 > context.voting.voterDisks.size()
        && rosterHolding * 2 > context.voting.roster.size();
}

/// The first of the two checks of majorityHolds: if majorities satisfy `holds`, records in `proof` the time
/// and the incarnation of each node that does.
static auto beginProof(const NodeContext& context, MajorityProof& proof,
    const std::function<bool(const wire::NodeRecord&)>& holds, Microseconds now) -> void {
    auto holdsAtAnyAge = [&](const wire::NodeRecord& record, Microseconds) { return holds(record); };
    if (!majoritiesWhere(context, holdsAtAnyAge, now)) return;
    auto& own = context.members.own();
    proof.begun = now;
    proof.incarnations[own.node] = own.boot;
    for (auto& [name, known] : context.members.others())
        if (holds(known.record)) proof.incarnations[name] = known.record.boot;
}

auto majorityHolds(const NodeContext& context, MajorityProof& proof,
    const std::function<bool(const wire::NodeRecord&)>& holds, Microseconds now) -> bool {
    if (context.faults.ackBeforeMajorities) return true;
    if (!proof.begun) {
        beginProof(context, proof, holds, now);
        return false;
    }
    auto stillHeld = [&](const wire::NodeRecord& record, Microseconds acknowledgedSince) {
        if (!holds(record)) return false;
        auto incarnation = proof.incarnations.find(record.node);
        return incarnation != proof.incarnations.end() && incarnation->second == record.boot
            && acknowledgedSince >= proof.begun;
    };
    auto proven = majoritiesWhere(context, stillHeld, now);
    if (!proven && now - proof.begun > PROOF_TIMEOUT) proof = {};
    return proven;
}

}  // namespace duneturn
