#include "membership/voter_placement.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// How long a spare disk must have been known before it is offered; one that has only just appeared may
/// belong to a node that is still restarting.
static constexpr Microseconds MIN_SPARE_AGE = 500 * MILLISECOND;

auto rosterSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>> {
    auto spares = std::vector<std::pair<std::string, std::string>>();
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now) && !known.record.disk.empty()
            && !context.isVoter(known.record))
            spares.emplace_back(name, known.record.disk);
    return spares;
}

auto uninitializedVoterDisks(const NodeContext& context, Microseconds now) -> std::vector<std::string> {
    auto disks = std::vector<std::string>();
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now) && known.record.blank && context.isVoter(known.record))
            disks.push_back(known.record.disk);
    return disks;
}

auto voteHandedOver(const NodeContext& context, Microseconds now) -> bool {
    auto& own = context.members.own();
    if (!context.voter || context.voter->blank() || !context.isVoter(own)) return true;
    auto& others = context.members.others();
    return std::none_of(others.begin(), others.end(), [&](auto& entry) {
        auto& record = entry.second.record;
        return context.members.isAlive(entry.second, now) && !record.disk.empty() && !record.stopping
            && !context.isVoter(record);
    });
}

namespace {

enum class VoterHealth { Healthy, Lost, Stopping };

/// The health of a voter from the leader's point of view.
struct AssessedVoter {
    VoterHealth health = VoterHealth::Healthy;
    const wire::NodeRecord* record = nullptr;  // of the node that has the disk; null if unknown
};

auto assess(const NodeContext& context, const VoterIdentity& identity, Microseconds now) -> AssessedVoter {
    auto& own = context.members.own();
    auto& voter = *context.voter;
    auto isOwn = identity.disk == own.disk;
    auto lastContactAt = std::max(voter.lastContact(identity.disk), voter.leaderSince());
    auto assessed = AssessedVoter{VoterHealth::Healthy, isOwn ? &own : nullptr};
    for (auto& [name, known] : context.members.others())
        if (known.record.disk == identity.disk) {
            lastContactAt = std::max(lastContactAt, known.lastHeartbeatAt);
            assessed.record = &known.record;
        }
    if (isOwn) return assessed;
    // If the node is alive with another disk, the old disk will not return.
    auto node = context.members.find(identity.node);
    auto diskReplaced =
        node && context.members.isAlive(identity.node, now) && !assessed.record && !node->disk.empty();
    if (diskReplaced || now - lastContactAt >= VOTER_LOST_TIMEOUT) assessed.health = VoterHealth::Lost;
    else if (assessed.record && assessed.record->stopping) assessed.health = VoterHealth::Stopping;
    return assessed;
}

/// Returns the other nodes whose disks could replace a voter.
auto candidates(const NodeContext& context, Microseconds now) -> std::vector<const KnownNode*> {
    auto& voter = *context.voter;
    auto voters = voter.voters();
    auto spares = std::vector<const KnownNode*>();
    for (auto& [name, known] : context.members.others()) {
        auto& record = known.record;
        auto votes = std::any_of(voters.begin(), voters.end(),
            [&](const VoterIdentity& identity) { return identity.disk == record.disk; });
        if (context.members.isAlive(known, now) && now - known.firstSeenAt >= MIN_SPARE_AGE
            && !record.disk.empty() && !record.stopping && (record.blank || record.term <= voter.term())
            && !votes)
            spares.push_back(&known);
    }
    return spares;
}

}  // namespace

auto gossipSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>> {
    auto spares = candidates(context, now);
    auto votersInZone = std::map<std::string, int>();
    auto toReplace = std::vector<std::string>(), stopping = std::vector<std::string>();
    for (auto& identity : context.voter->voters()) {
        auto assessed = assess(context, identity, now);
        if (assessed.health == VoterHealth::Lost) toReplace.push_back(identity.node);
        else if (assessed.health == VoterHealth::Stopping) stopping.push_back(identity.node);
        else if (assessed.record) votersInZone[assessed.record->zone]++;
    }
    toReplace.insert(toReplace.end(), stopping.begin(), stopping.end());
    auto offers = std::vector<std::pair<std::string, std::string>>();
    for (auto& node : toReplace) {
        auto preference = [&](const KnownNode* spare) {
            return std::tuple(spare->record.node == node, -votersInZone[spare->record.zone],
                spare->record.blank, -spare->firstSeenAt);
        };
        auto best = std::max_element(spares.begin(), spares.end(),
            [&](auto left, auto right) { return preference(left) < preference(right); });
        if (best == spares.end()) break;
        votersInZone[(*best)->record.zone]++;
        offers.emplace_back(node, (*best)->record.disk);
        spares.erase(best);
    }
    return offers;
}

}  // namespace duneturn
