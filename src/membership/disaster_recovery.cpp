#include "membership/disaster_recovery.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/lease.hpp"

namespace duneturn {

/// How long a loss of disks must be observed before a new epoch is begun.
static constexpr Microseconds LOSS_CONFIRMATION_PERIOD = 2 * SECOND;

/// Returns the voters of the new epoch: every node that had a voter in the old epoch and is alive, with the
/// disk that it has now, and in addition this node's disk.
static auto votersOfNewEpoch(const NodeContext& context, const ReplicatedState& state, Microseconds now)
    -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    auto hasVoter = [&](auto&& matches) { return std::any_of(voters.begin(), voters.end(), matches); };
    for (auto& old : state.voters()) {
        auto record = context.members.find(old.node);
        if (!record || !context.members.isAlive(old.node, now) || record->disk.empty()) continue;
        if (!hasVoter([&](const VoterIdentity& voter) { return voter.node == old.node; }))
            voters.push_back({old.node, record->disk});
    }
    auto& own = context.members.own();
    if (!hasVoter([&](const VoterIdentity& voter) { return voter.disk == own.disk; }))
        voters.push_back({own.node, own.disk});
    return voters;
}

/// Begins a new epoch on this node's disk from the newest known state. Its term is above this node's term and
/// the terms of all other nodes that count for the lease.
static auto beginEpochFromNewest(NodeContext& context, Microseconds now) -> void {
    auto state = context.newestKnownState();
    auto& own = context.members.own();
    auto term = own.term;
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) term = std::max(term, known.record.term);
    auto ordinal = state.epoch / EPOCH_STRIDE + 1;
    auto diskNumber = std::int64_t(hash64(own.disk) % EPOCH_STRIDE);
    state.beginEpoch(ordinal * EPOCH_STRIDE + diskNumber, votersOfNewEpoch(context, state, now));
    context.voter->bootstrap(state, term + 1, now);
}

namespace {

/// Which of the voters' disks are lost, according to the records of the nodes that are alive.
struct DiskLosses {
    std::size_t lost = 0;       // voters whose node is alive with a different disk
    std::string firstLostNode;  // the first node that has lost its voter's disk; empty if there is none
    std::string
        firstSurvivorNode;  // the first node with its voter's disk, initialized; empty if there is none
    /// The node that is to begin the new epoch.
    [[nodiscard]] auto nodeToBeginEpoch() const -> const std::string& {
        return firstSurvivorNode.empty() ? firstLostNode : firstSurvivorNode;
    }
    /// Whether the disks that are not lost can no longer form a majority. If exactly half are lost, there
    /// must also be a surviving disk, whose node begins the new epoch and thereby leaves the old one.
    [[nodiscard]] auto majorityLost(std::size_t voters) const -> bool {
        return lost * 2 > voters || (lost * 2 == voters && !firstSurvivorNode.empty());
    }
};

}  // namespace

static auto diskLosses(const NodeContext& context, const std::vector<VoterIdentity>& voters, Microseconds now)
    -> DiskLosses {
    auto losses = DiskLosses();
    for (auto& voter : voters) {
        auto record = context.members.find(voter.node);
        if (!record || !context.members.isAlive(voter.node, now) || record->disk.empty()) continue;
        if (record->disk != voter.disk) {
            losses.lost++;
            if (losses.firstLostNode.empty()) losses.firstLostNode = voter.node;
        } else if (!record->blank && losses.firstSurvivorNode.empty()) losses.firstSurvivorNode = voter.node;
    }
    return losses;
}

/// Whether a majority of the roster is settled and counts for the lease, and no node of the roster that
/// counts for the lease, settled or not, holds a newer state than this node knows.
static auto rosterHoldsNothingNewer(const NodeContext& context, Microseconds now) -> bool {
    auto newest = versionOf(context.newestKnownState());
    auto settledNodes = std::size_t(0);
    auto newerFound = false;
    auto consider = [&](const wire::NodeRecord& record) {
        if (!context.voting.roster.count(record.node)) return;
        newerFound = newerFound || versionOf(record) > newest;
        settledNodes += record.settled ? 1 : 0;
    };
    consider(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) consider(known.record);
    return !newerFound && settledNodes * 2 > context.voting.roster.size();
}

auto recoverFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void {
    if (context.state.version == 0) return timer.reset();
    auto voters = context.state.voters();
    auto losses = diskLosses(context, voters, now);
    if (!losses.majorityLost(voters.size()) || losses.nodeToBeginEpoch() != context.members.own().node
        || !rosterHoldsNothingNewer(context, now))
        return timer.reset();
    if (!timer.heldFor(LOSS_CONFIRMATION_PERIOD, now)) return;
    context.counters.add("rebuilt_total");
    logEvent("epoch_begun_from_roster", "version={}", versionOf(context.newestKnownState()).version + 1);
    beginEpochFromNewest(context, now);
}

/// Returns the reason why an operator's command must not begin a new epoch from this node's state, according
/// to the records of the nodes that are alive; empty if there is none.
static auto objectionToSurvivor(const NodeContext& context, StateVersion namedVersion, Microseconds now)
    -> std::string {
    auto votingDisks = std::size_t(0), rosterNodes = std::size_t(0);
    auto newerNode = std::string();
    auto consider = [&](const wire::NodeRecord& record) {
        votingDisks += !record.blank && context.isVoter(record) ? 1 : 0;
        rosterNodes += record.settled && context.voting.roster.count(record.node) ? 1 : 0;
        if (versionOf(record) > namedVersion) newerNode = record.node;
    };
    consider(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now)) consider(known.record);
    if (votingDisks * 2 > context.voting.voterDisks.size())
        return "a majority of the disks stands; they elect a leader";
    if (rosterNodes * 2 > context.voting.roster.size())
        return "a majority of the nodes stands; they rebuild by themselves";
    if (newerNode.empty()) return "";
    return newerNode + " holds a newer word; it comes here by itself";
}

auto recoverFromSurvivor(
    NodeContext& context, StateVersion namedVersion, bool majorityReachable, Microseconds now) -> Outcome {
    auto held = versionOf(context.newestKnownState());
    // In the answers to the operator, `reign` is the epoch and `generation` the version.
    auto reject = [&](const std::string& reason) {
        context.counters.add("rescues_denied_total");
        return Outcome{409,
            bodyOf({{"error", jsonQuote(reason)}, {"reign", fmt::to_string(held.epoch)},
                {"generation", fmt::to_string(held.version)}})};
    };
    if (!context.voter)
        return reject("no disk here; give this to a core, which takes the newest word it hears of");
    if (held.version == 0) return reject("nothing is held here");
    if (namedVersion != held) return reject("this is not what is held here");
    if (majorityReachable) return reject("a majority stands: there is a leader");
    if (auto objection = objectionToSurvivor(context, namedVersion, now); !objection.empty())
        return reject(objection);
    context.counters.add("rescued_total");
    logEvent(
        "epoch_begun_by_operator", "from_epoch={} from_version={}", namedVersion.epoch, namedVersion.version);
    beginEpochFromNewest(context, now);
    auto& begun = context.voter->replicatedState();
    // This text must not be reworded, because simulations hash it.
    auto lost = fmt::format(
        "orders acknowledged after generation {} of reign {}", namedVersion.version, namedVersion.epoch);
    return {200,
        bodyOf({{"reign", fmt::to_string(begun.epoch)}, {"generation", fmt::to_string(begun.version)},
            {"mayBeLost", jsonQuote(lost)}})};
}

}  // namespace duneturn
