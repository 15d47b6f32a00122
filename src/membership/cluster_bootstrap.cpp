#include "membership/cluster_bootstrap.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

static constexpr Microseconds ROSTER_STABLE = 1 * SECOND;  // for which the conditions must have held
static constexpr Microseconds BLANK_DISKS_STABLE =
    800 * MILLISECOND;                         // for which the number of blank disks must not have changed
static constexpr std::size_t MOST_VOTERS = 5;  // more would only slow each commit down

/// The initial voters with their disks, if each of them lives and has a blank disk.
static auto initialVoters(const NodeContext& context, Microseconds now)
    -> std::optional<std::vector<VoterIdentity>> {
    auto voters = std::vector<VoterIdentity>();
    for (auto& name : context.settings.initialVoters) {
        auto record = context.members.find(name);
        if (!record || !context.members.isAlive(name, now) || record->disk.empty() || !record->blank)
            return std::nullopt;
        voters.push_back({name, record->disk});
    }
    return voters;
}

auto bootstrapFromRoster(NodeContext& context, ConditionTimer& timer, Microseconds now) -> void {
    auto& settings = context.settings;
    auto& own = context.members.own();
    if (!context.voter->blank() || settings.initialVoters.empty() || settings.roster.empty()
        || settings.initialVoters[0] != own.node)
        return;
    auto voters = initialVoters(context, now);
    auto alive = std::count_if(settings.roster.begin(), settings.roster.end(),
        [&](const std::string& name) { return context.members.isAlive(name, now); });
    if (!voters || std::size_t(alive) * 2 <= settings.roster.size()) return timer.reset();
    if (!timer.heldFor(ROSTER_STABLE, now)) return;
    auto state = ReplicatedState();
    state.bootstrap(settings.roster, *voters);
    context.voter->bootstrap(state, 1, now);
}

/// The first of the seeds' nodes that has a disk; empty if there is none, or not all seeds are up.
static auto founder(const NodeContext& context, Microseconds now) -> std::string {
    auto first = std::string();
    for (auto& address : context.settings.seeds) {
        auto record = address == context.members.own().peer ? &context.members.own() : nullptr;
        for (auto& [name, known] : context.members.others())
            if (known.record.peer == address && context.members.isAlive(known, now)) record = &known.record;
        if (!record) return "";
        if (first.empty() && !record->disk.empty()) first = record->node;
    }
    return first;
}

/// Takes `number` disks in turn from each zone, beginning with `firstZone`.
static auto spreadOverZones(std::map<std::string, std::vector<VoterIdentity>>& zones,
    const std::string& firstZone, std::size_t number) -> std::vector<VoterIdentity> {
    auto chosen = std::vector<VoterIdentity>();
    for (auto turn = std::size_t(0); chosen.size() < number; turn++) {
        auto take = [&](const std::vector<VoterIdentity>& disks) {
            if (turn < disks.size() && chosen.size() < number) chosen.push_back(disks[turn]);
        };
        take(zones[firstZone]);
        for (auto& [zone, disks] : zones)
            if (zone != firstZone) take(disks);
    }
    return chosen;
}

auto GossipBootstrap::tick(NodeContext& context, Microseconds now) -> void {
    auto& own = context.members.own();
    if (!context.settings.bootstrap || !context.voter->blank() || context.state.version > 0) return;
    if (founder(context, now) != own.node) return;
    auto zones = std::map<std::string, std::vector<VoterIdentity>>();
    auto disks = std::size_t(1);
    zones[own.zone].push_back({own.node, own.disk});
    for (auto& [name, known] : context.members.others()) {
        auto& record = known.record;
        if (record.stateVersion > 0) return;
        if (!context.members.isAlive(known, now) || record.disk.empty() || !record.blank) continue;
        zones[record.zone].push_back({name, record.disk});
        disks++;
    }
    if (disks != blankDisks_) {
        blankDisks_ = disks;
        countChangedAt_ = now;
    }
    if (now - countChangedAt_ < BLANK_DISKS_STABLE) return;
    auto odd = disks % 2 ? disks : disks - 1;
    auto state = ReplicatedState();
    state.bootstrap({}, spreadOverZones(zones, own.zone, std::min(MOST_VOTERS, odd)));
    context.voter->bootstrap(state, 1, now);
}

}  // namespace duneturn
