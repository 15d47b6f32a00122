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

static constexpr Microseconds LOSS_CONFIRMED = 2 * SECOND;  // for which a loss of disks must have stood

/// The voters of the new epoch: the nodes of the old one's voters that live, with the disks they have now,
/// and this disk.
static auto votersOfNewEpoch(const NodeContext& context, const ReplicatedState& state, Microseconds now)
    -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    auto has = [&](auto&& matches) { return std::any_of(voters.begin(), voters.end(), matches); };
    for (auto& old : state.voters()) {
        auto record = context.members.find(old.node);
        if (!record || !context.members.isAlive(old.node, now) || record->disk.empty()) continue;
        if (!has([&](const VoterIdentity& voter) { return voter.node == old.node; }))
            voters.push_back({old.node, record->disk});
    }
    auto& own = context.members.own();
    if (!has([&](const VoterIdentity& voter) { return voter.disk == own.disk; }))
        voters.push_back({own.node, own.disk});
    return voters;
}

/// Begins a new epoch on this disk from the newest state known, in a term above all that were received.
static auto beginEpochFromNewest(NodeContext& context, Microseconds now) -> void {
    auto state = context.newestKnownState();
    auto& own = context.members.own();
    auto term = own.term;
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) term = std::max(term, known.record.term);
    auto count = state.epoch / EPOCH_STRIDE + 1;
    auto founder = std::int64_t(hash64(own.disk) % EPOCH_STRIDE);
    state.beginEpoch(count * EPOCH_STRIDE + founder, votersOfNewEpoch(context, state, now));
    context.voter->bootstrap(state, term + 1, now);
}

namespace {

/// What became of the voters' disks, as far as their machines are there.
struct DiskLosses {
    std::size_t lost = 0;
    std::string firstLost, firstKept;  // nodes; empty if there is none
    /// The node that begins the new epoch.
    [[nodiscard]] auto successor() const -> const std::string& {
        return firstKept.empty() ? firstLost : firstKept;
    }
    /// Whether the disks that are left can form no majority, or none without `firstKept`.
    [[nodiscard]] auto majorityLost(std::size_t voters) const -> bool {
        return lost * 2 > voters || (lost * 2 == voters && !firstKept.empty());
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
            if (losses.firstLost.empty()) losses.firstLost = voter.node;
        } else if (!record->blank && losses.firstKept.empty()) losses.firstKept = voter.node;
    }
    return losses;
}

/// Whether a majority of the roster was in touch within the lease and none of the roster knows a newer state.
static auto rosterKnowsNothingNewer(const NodeContext& context, Microseconds now) -> bool {
    auto newest = versionOf(context.newestKnownState());
    auto settled = std::size_t(0);
    auto newer = false;
    auto consider = [&](const wire::NodeRecord& record) {
        if (!context.voting.roster.count(record.node)) return;
        newer = newer || versionOf(record) > newest;
        settled += record.settled ? 1 : 0;
    };
    consider(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (countsForLease(context, known, now)) consider(known.record);
    return !newer && settled * 2 > context.voting.roster.size();
}

auto recoverFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void {
    if (context.state.version == 0) return timer.reset();
    auto voters = context.state.voters();
    auto losses = diskLosses(context, voters, now);
    if (!losses.majorityLost(voters.size()) || losses.successor() != context.members.own().node
        || !rosterKnowsNothingNewer(context, now))
        return timer.reset();
    if (!timer.heldFor(LOSS_CONFIRMED, now)) return;
    context.counters.add("rebuilt_total");
    logEvent("epoch_begun_from_roster", "version={}", versionOf(context.newestKnownState()).version + 1);
    beginEpochFromNewest(context, now);
}

/// Why no survivor may begin a new epoch as far as other nodes are concerned; empty if it may.
static auto survivorObjection(const NodeContext& context, StateVersion named, Microseconds now)
    -> std::string {
    auto disks = std::size_t(0), nodes = std::size_t(0);
    auto newer = std::string();
    auto consider = [&](const wire::NodeRecord& record) {
        disks += !record.blank && context.isVoter(record) ? 1 : 0;
        nodes += record.settled && context.voting.roster.count(record.node) ? 1 : 0;
        if (versionOf(record) > named) newer = record.node;
    };
    consider(context.members.own());
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now)) consider(known.record);
    if (disks * 2 > context.voting.voterDisks.size())
        return "a majority of the disks stands; they elect a leader";
    if (nodes * 2 > context.voting.roster.size())
        return "a majority of the nodes stands; they rebuild by themselves";
    return newer.empty() ? "" : newer + " holds a newer word; it comes here by itself";
}

auto recoverFromSurvivor(NodeContext& context, StateVersion named, bool majorityStands, Microseconds now)
    -> Outcome {
    auto held = versionOf(context.newestKnownState());
    auto refuse = [&](const std::string& why) {
        context.counters.add("rescues_denied_total");
        return Outcome{409,
            bodyOf({{"error", jsonQuote(why)}, {"reign", fmt::to_string(held.epoch)},
                {"generation", fmt::to_string(held.version)}})};
    };
    if (!context.voter)
        return refuse("no disk here; give this to a core, which takes the newest word it hears of");
    if (held.version == 0) return refuse("nothing is held here");
    if (named != held) return refuse("this is not what is held here");
    if (majorityStands) return refuse("a majority stands: there is a leader");
    if (auto objection = survivorObjection(context, named, now); !objection.empty()) return refuse(objection);
    context.counters.add("rescued_total");
    logEvent("epoch_begun_by_operator", "from_epoch={} from_version={}", named.epoch, named.version);
    beginEpochFromNewest(context, now);
    auto& begun = context.voter->replicatedState();
    auto lost =
        fmt::format("orders acknowledged after generation {} of reign {}", named.version, named.epoch);
    return {200,
        bodyOf({{"reign", fmt::to_string(begun.epoch)}, {"generation", fmt::to_string(begun.version)},
            {"mayBeLost", jsonQuote(lost)}})};
}

}  // namespace duneturn
