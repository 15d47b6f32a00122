#include "quota/quota_trouble.hpp"

#include <algorithm>

namespace duneturn {
namespace {

constexpr Microseconds DAY = 60 * SECOND;
constexpr Microseconds WARM_UP = 4 * SECOND;

auto between(RandomSource& random, Microseconds least, Microseconds most) -> Microseconds {
    return least + Microseconds(random.below(std::uint64_t(most - least)));
}

auto cutSomeLinks(QuotaWorld& world, Microseconds until) -> void {
    auto nodes = world.settings().nodes;
    for (auto i = 0; i < nodes; i++)
        for (auto k = 0; k < i; k++)
            if (world.random().chance(0.4)) world.network().cut(i, k, until);
}

auto electAnother(QuotaWorld& world) -> void {
    auto& random = world.random();
    auto voters = std::uint64_t(world.settings().voters);
    auto learnsAt = world.now() + between(random, 0, 12 * SECOND);
    if (random.chance(0.7)) world.isolate(world.leader(), learnsAt);
    world.elect(int(random.below(voters)), learnsAt);
}

auto changeTenant(QuotaWorld& world) -> void {
    auto& random = world.random();
    auto tenant = std::size_t(random.below(world.settings().tenants.size()));
    auto rate = 1 + double(random.below(40));
    if (random.chance(0.3)) return world.setRate(tenant, rate);
    world.setDemand(tenant, random.chance(0.4) ? rate * 12 : rate);
}

auto makeTrouble(QuotaWorld& world) -> void {
    auto& random = world.random();
    auto node = int(random.below(std::uint64_t(world.settings().nodes)));
    auto voter = int(random.below(std::uint64_t(world.settings().voters)));
    auto until = world.now() + between(random, 300 * MILLISECOND, 9 * SECOND);
    switch (random.below(8)) {
    case 0: return world.restart(node);
    case 1: return world.restart(voter);
    case 2: return world.freeze(node, until);
    case 3: return world.isolate(node, until);
    case 4: return cutSomeLinks(world, until);
    case 5: return electAnother(world);
    case 6: return changeTenant(world);
    default: return world.freeze(world.leader(), until);
    }
}

}  // namespace

auto troubledSettings(std::uint64_t seed) -> WorldSettings {
    auto random = RandomSource{seed * 7919};
    auto settings = WorldSettings();
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
        settings.tenants.push_back(tenant);
    }
    return settings;
}

auto playTroubledDay(const WorldSettings& settings) -> TroubledDay {
    auto world = QuotaWorld(settings);
    auto& network = world.network();
    auto& random = world.random();
    network.loss = random.chance(0.5) ? 0.05 : 0;
    network.doubled = 0.05;
    network.longDelay = random.chance(0.5) ? 0.02 : 0;
    world.runUntil(world.now() + WARM_UP);
    auto spacing = between(random, 300 * MILLISECOND, 3 * SECOND);
    while (world.now() < DAY) {
        if (random.chance(0.7)) makeTrouble(world);
        world.runUntil(world.now() + between(random, spacing / 2, spacing * 2));
    }
    auto day = TroubledDay();
    day.violations = world.violations(true);
    for (auto i = std::size_t(0); i < settings.tenants.size(); i++)
        day.ran += std::int64_t(world.results(i).spends.size());
    return day;
}

}  // namespace duneturn
