#include "membership/lease.hpp"

#include <cstddef>
#include <functional>

#include "base/time.hpp"

namespace duneturn {

static constexpr Microseconds PROOF_TIMEOUT = 1 * SECOND;  // a member that is lost must not hold up the rest

auto countsForLease(const NodeContext& context, const KnownNode& node, Microseconds now) -> bool {
    if (context.leaseEvidence == LeaseEvidence::RecentHeartbeat) return context.members.isAlive(node, now);
    return node.acknowledgedSince && now - node.acknowledgedSince <= LEASE_DURATION;
}

auto majorityConfirms(const NodeContext& context, VotersCounted voters, Microseconds now) -> bool {
    auto votersConfirming = std::size_t(0), rosterConfirming = std::size_t(0);
    auto count = [&](const wire::NodeRecord& record) {
        if (versionOf(record) > versionOf(context.state)) return;
        auto counts = record.settled || voters == VotersCounted::All;
        if (!record.blank && context.isVoter(record) && counts) votersConfirming++;
        if (record.settled && context.voting.roster.count(record.node)) rosterConfirming++;
    };
    count(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) count(known.record);
    return votersConfirming * 2 > context.voting.voterDisks.size()
        || rosterConfirming * 2 > context.voting.roster.size();
}

/// Whether majorities of the voters and of the roster satisfy `holds`, which is given each record and since
/// when that node has acknowledged this one's heartbeats.
static auto majoritiesWhere(const NodeContext& context,
    const std::function<bool(const wire::NodeRecord&, Microseconds)>& holds, Microseconds now) -> bool {
    auto voters = std::size_t(0), roster = std::size_t(0);
    auto count = [&](const wire::NodeRecord& record, Microseconds acknowledgedSince) {
        if (!holds(record, acknowledgedSince)) return;
        if (!record.blank && context.isVoter(record)) voters++;
        if (context.voting.roster.count(record.node)) roster++;
    };
    count(context.members.own(), now);
    for (auto& [name, known] : context.members.others()) count(known.record, known.acknowledgedSince);
    return voters * 2 > context.voting.voterDisks.size() && roster * 2 > context.voting.roster.size();
}

/// The first of the two looks: by now a majority holds it, in the lives that are noted.
static auto beginProof(const NodeContext& context, MajorityProof& proof,
    const std::function<bool(const wire::NodeRecord&)>& holds, Microseconds now) -> void {
    auto held = [&](const wire::NodeRecord& record, Microseconds) { return holds(record); };
    if (!majoritiesWhere(context, held, now)) return;
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
        auto seen = proof.incarnations.find(record.node);
        return seen != proof.incarnations.end() && seen->second == record.boot
            && acknowledgedSince >= proof.begun;
    };
    auto proven = majoritiesWhere(context, stillHeld, now);
    if (!proven && now - proof.begun > PROOF_TIMEOUT) proof = {};
    return proven;
}

}  // namespace duneturn
