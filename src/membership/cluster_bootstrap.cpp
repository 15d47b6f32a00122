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

/// How long the conditions for a bootstrap from the roster must hold first.
static constexpr Microseconds ROSTER_STABLE_PERIOD = 1 * SECOND;
/// How long the number of uninitialized disks must stay the same first, so that no disk is missed.
static constexpr Microseconds DISK_COUNT_STABLE_PERIOD = 800 * MILLISECOND;
/// More voters would only make each commit slower.
static constexpr std::size_t MAX_INITIAL_VOTERS = 5;

/// Returns the initial voters with their disks if each of them is alive with an uninitialized disk.
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
    if (!timer.heldFor(ROSTER_STABLE_PERIOD, now)) return;
    auto state = ReplicatedState();
    state.bootstrap(settings.roster, *voters);
    context.voter->bootstrap(state, 1, now);
}

/// Returns the node of the first seed that has a disk; empty if there is none or a seed is not up.
static auto bootstrapNode(const NodeContext& context, Microseconds now) -> std::string {
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

/// Chooses `count` disks by round robin over the zones, beginning with `firstZone`. There must be at least
/// that many disks.
static auto spreadOverZones(std::map<std::string, std::vector<VoterIdentity>>& zones,
    const std::string& firstZone, std::size_t count) -> std::vector<VoterIdentity> {
    auto chosen = std::vector<VoterIdentity>();
    for (auto round = std::size_t(0); chosen.size() < count; round++) {
        auto choose = [&](const std::vector<VoterIdentity>& disks) {
            if (round < disks.size() && chosen.size() < count) chosen.push_back(disks[round]);
        };
        choose(zones[firstZone]);
        for (auto& [zone, disks] : zones)
            if (zone != firstZone) choose(disks);
    }
    return chosen;
}

auto GossipBootstrap::tick(NodeContext& context, Microseconds now) -> void {
    auto& own = context.members.own();
    if (!context.settings.bootstrap || !context.voter->blank() || context.state.version > 0) return;
    if (bootstrapNode(context, now) != own.node) return;
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
    if (disks != uninitializedDisks_) {
        uninitializedDisks_ = disks;
        diskCountChangedAt_ = now;
    }
    if (now - diskCountChangedAt_ < DISK_COUNT_STABLE_PERIOD) return;
    auto oddCount = disks % 2 ? disks : disks - 1;
    auto state = ReplicatedState();
    state.bootstrap({}, spreadOverZones(zones, own.zone, std::min(MAX_INITIAL_VOTERS, oddCount)));
    context.voter->bootstrap(state, 1, now);
}

}  // namespace duneturn
