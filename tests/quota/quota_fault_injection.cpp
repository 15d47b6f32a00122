#include "quota/quota_fault_injection.hpp"

#include <algorithm>

namespace duneturn {
namespace {

constexpr Microseconds DAY = 60 * SECOND;
constexpr Microseconds WARM_UP = 4 * SECOND;

auto between(RandomSource& random, Microseconds least, Microseconds most) -> Microseconds {
    return least + Microseconds(random.below(std::uint64_t(most - least)));
}

auto cutSomeLinks(QuotaSimulation& world, Microseconds until) -> void {
    auto nodes = world.settings().nodes;
    for (auto i = 0; i < nodes; i++)
        for (auto k = 0; k < i; k++)
            if (world.random().chance(0.4)) world.network().cut(i, k, until);
}

// Two sides that don't reach each other, but for one voter that may reach both; the other side elects a
// leader.
auto splitFromLeader(QuotaSimulation& world, Microseconds until) -> void {
    auto& random = world.random();
    auto& settings = world.settings();
    auto leader = world.leader(), successor = (leader + 1) % settings.voters;
    auto bridge = random.chance(0.5) ? (leader + 2) % settings.voters : -1;
    auto onLeadersSide = std::vector<bool>();
    for (auto i = 0; i < settings.nodes; i++)
        onLeadersSide.push_back(i == leader || (i >= settings.voters && random.chance(0.5)));
    for (auto i = 0; i < settings.nodes; i++)
        for (auto k = 0; k < i; k++)
            if (i != bridge && k != bridge && onLeadersSide[std::size_t(i)] != onLeadersSide[std::size_t(k)])
                world.network().cut(i, k, until);
    world.elect(successor, until);
}

auto electAnother(QuotaSimulation& world) -> void {
    auto& random = world.random();
    auto voters = std::uint64_t(world.settings().voters);
    auto learnsAt = world.now() + between(random, 0, 12 * SECOND);
    if (random.chance(0.7)) world.isolate(world.leader(), learnsAt);
    world.elect(int(random.below(voters)), learnsAt);
}

auto changeTenant(QuotaSimulation& world) -> void {
    auto& random = world.random();
    auto tenant = std::size_t(random.below(world.settings().tenants.size()));
    auto rate = 1 + double(random.below(40));
    if (random.chance(0.3)) return world.setRate(tenant, rate);
    world.setDemand(tenant, random.chance(0.4) ? rate * 12 : rate);
}

auto makeTrouble(QuotaSimulation& world, Trouble kind) -> void {
    auto& random = world.random();
    auto node = int(random.below(std::uint64_t(world.settings().nodes)));
    auto voter = int(random.below(std::uint64_t(world.settings().voters)));
    auto until = world.now() + between(random, 300 * MILLISECOND, 9 * SECOND);
    auto late = world.now() + between(random, 5 * SECOND, 20 * SECOND);
    switch (kind) {
    case Trouble::RestartNode: return world.restart(node);
    case Trouble::RestartVoter: return world.restart(voter);
    case Trouble::FreezeNode: return world.freeze(node, until);
    case Trouble::FreezeLeader: return world.freeze(world.leader(), until);
    case Trouble::IsolateNode: return world.isolate(node, until);
    case Trouble::IsolateNodeForLong: return world.isolate(node, late);
    case Trouble::CutLinks: return cutSomeLinks(world, until);
    case Trouble::ElectAnother: return electAnother(world);
    case Trouble::SplitFromLeader: return splitFromLeader(world, late);
    case Trouble::ChangeTenant: return changeTenant(world);
    }
}

// Few kinds of trouble a day find more than all kinds on each (Groce et al., "Swarm testing", 2012).
auto chooseTroubles(RandomSource& random) -> std::vector<Trouble> {
    auto chosen = std::vector<Trouble>();
    for (auto i = 0; i < TROUBLES; i++)
        if (random.chance(0.4)) chosen.push_back(Trouble(i));
    if (chosen.empty()) chosen.push_back(Trouble(random.below(TROUBLES)));
    return chosen;
}

}  // namespace

auto troubledSettings(std::uint64_t seed) -> QuotaSimulationSettings {
    auto random = RandomSource{seed * 7919};
    auto settings = QuotaSimulationSettings();
    settings.seed = seed;
    settings.nodes = 4 + int(random.below(4));
    settings.voters = random.chance(0.3) ? 1 : 3;
    for (auto i = 0; i < 3; i++) {
        auto tenant = WorldTenant();
        tenant.name = "t" + std::to_string(i);
        tenant.ratePerSecond = 2 + double(random.below(30));
        tenant.burst = double(random.below(20));
        tenant.demandPerSecond = tenant.ratePerSecond * (i == 0 ? 8 : 0.6 + double(i));
        tenant.places = ClientPlaces(random.below(3));
        tenant.holding = random.chance(0.6) ? 0.7 : 0;
        if (random.chance(0.5)) tenant.together = 14 * SECOND;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

auto playTroubledDay(const QuotaSimulationSettings& settings, std::vector<Trouble> kinds) -> TroubledDay {
    auto world = QuotaSimulation(settings);
    auto& network = world.network();
    auto& random = world.random();
    network.loss = random.chance(0.5) ? 0.05 : 0;
    network.doubled = 0.05;
    network.longDelay = random.chance(0.5) ? 0.02 : 0;
    world.runUntil(world.now() + WARM_UP);
    if (kinds.empty()) kinds = chooseTroubles(random);
    auto spacing = between(random, 300 * MILLISECOND, 5 * SECOND);
    while (world.now() < DAY) {
        makeTrouble(world, kinds[std::size_t(random.below(kinds.size()))]);
        world.runUntil(world.now() + between(random, spacing / 2, spacing * 2));
    }
    auto day = TroubledDay();
    day.boundViolations = world.boundViolations();
    day.invariantViolations = world.invariantViolations();
    for (auto i = std::size_t(0); i < settings.tenants.size(); i++)
        day.ran += std::int64_t(world.results(i).spends.size());
    return day;
}

}  // namespace duneturn
