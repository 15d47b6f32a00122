#include "membership/voter_placement.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

static constexpr Microseconds SPARE_KNOWN_FOR = 500 * MILLISECOND;  // a spare that has only just started may
                                                                    // be one that is still restarting

auto rosterSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>> {
    auto spares = std::vector<std::pair<std::string, std::string>>();
    for (auto& [name, known] : context.members.others())
        if (context.members.isAlive(known, now) && !known.record.disk.empty()
            && !context.isVoter(known.record))
            spares.emplace_back(name, known.record.disk);
    return spares;
}

auto blankVoterDisks(const NodeContext& context, Microseconds now) -> std::vector<std::string> {
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

enum class VoterHealth { Well, Lost, Stopping };

/// A voter as its leader judges it.
struct JudgedVoter {
    VoterHealth health = VoterHealth::Well;
    const wire::NodeRecord* record = nullptr;  // of the node that has the disk, if it is known
};

auto judge(const NodeContext& context, const VoterIdentity& identity, Microseconds now) -> JudgedVoter {
    auto& own = context.members.own();
    auto& voter = *context.voter;
    auto isOwn = identity.disk == own.disk;
    auto lastContactAt = std::max(voter.lastContact(identity.disk), voter.leaderSince());
    auto judged = JudgedVoter{VoterHealth::Well, isOwn ? &own : nullptr};
    for (auto& [name, known] : context.members.others())
        if (known.record.disk == identity.disk) {
            lastContactAt = std::max(lastContactAt, known.lastHeartbeatAt);
            judged.record = &known.record;
        }
    if (isOwn) return judged;
    // Its machine is there with another disk: the old one does not come back.
    auto machine = context.members.find(identity.node);
    auto swapped =
        machine && context.members.isAlive(identity.node, now) && !judged.record && !machine->disk.empty();
    if (swapped || now - lastContactAt >= VOTER_LOST_TIMEOUT) judged.health = VoterHealth::Lost;
    else if (judged.record && judged.record->stopping) judged.health = VoterHealth::Stopping;
    return judged;
}

auto candidates(const NodeContext& context, Microseconds now) -> std::vector<const KnownNode*> {
    auto& voter = *context.voter;
    auto voters = voter.voters();
    auto spares = std::vector<const KnownNode*>();
    for (auto& [name, known] : context.members.others()) {
        auto& record = known.record;
        auto votes = std::any_of(voters.begin(), voters.end(),
            [&](const VoterIdentity& identity) { return identity.disk == record.disk; });
        if (context.members.isAlive(known, now) && now - known.firstSeenAt >= SPARE_KNOWN_FOR
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
        auto judged = judge(context, identity, now);
        if (judged.health == VoterHealth::Lost) toReplace.push_back(identity.node);
        else if (judged.health == VoterHealth::Stopping) stopping.push_back(identity.node);
        else if (judged.record) votersInZone[judged.record->zone]++;
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
