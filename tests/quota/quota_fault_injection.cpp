#include "quota/quota_fault_injection.hpp"

#include <algorithm>

namespace duneturn {
namespace {

constexpr Microseconds END_OF_RUN = 60 * SECOND;
constexpr Microseconds WARM_UP = 4 * SECOND;

auto randomTime(RandomSource& random, Microseconds least, Microseconds limit) -> Microseconds {
    return least + Microseconds(random.below(std::uint64_t(limit - least)));
}

auto partitionSomeLinks(QuotaSimulation& simulation, Microseconds until) -> void {
    auto nodes = simulation.settings().nodes;
    for (auto i = 0; i < nodes; i++)
        for (auto j = 0; j < i; j++)
            if (simulation.random().chance(0.4)) simulation.network().partition(i, j, until);
}

// Splits the nodes into two sides that cannot reach each other. In half of the cases one voter, the bridge,
// still reaches both. The side without the leader elects a successor.
auto splitFromLeader(QuotaSimulation& simulation, Microseconds until) -> void {
    auto& random = simulation.random();
    auto& settings = simulation.settings();
    auto leader = simulation.leader();
    auto successor = (leader + 1) % settings.voters;
    auto bridge = random.chance(0.5) ? (leader + 2) % settings.voters : -1;
    auto onLeadersSide = std::vector<bool>();
    for (auto i = 0; i < settings.nodes; i++)
        onLeadersSide.push_back(i == leader || (i >= settings.voters && random.chance(0.5)));
    for (auto i = 0; i < settings.nodes; i++)
        for (auto j = 0; j < i; j++) {
            auto isBridged = i == bridge || j == bridge;
            auto onSameSide = onLeadersSide[std::size_t(i)] == onLeadersSide[std::size_t(j)];
            if (!isBridged && !onSameSide) simulation.network().partition(i, j, until);
        }
    simulation.elect(successor, until);
}

auto electAnother(QuotaSimulation& simulation) -> void {
    auto& random = simulation.random();
    auto voters = std::uint64_t(simulation.settings().voters);
    auto predecessorLearnsAt = simulation.now() + randomTime(random, 0, 12 * SECOND);
    if (random.chance(0.7)) simulation.isolate(simulation.leader(), predecessorLearnsAt);
    simulation.elect(int(random.below(voters)), predecessorLearnsAt);
}

auto changeTenant(QuotaSimulation& simulation) -> void {
    constexpr auto OVERLOAD_FACTOR = 12;
    auto& random = simulation.random();
    auto tenant = std::size_t(random.below(simulation.settings().tenants.size()));
    auto rate = 1 + double(random.below(40));
    if (random.chance(0.3)) return simulation.setRate(tenant, rate);
    simulation.setDemand(tenant, random.chance(0.4) ? rate * OVERLOAD_FACTOR : rate);
}

auto injectFault(QuotaSimulation& simulation, InjectedFault kind) -> void {
    auto& random = simulation.random();
    auto node = int(random.below(std::uint64_t(simulation.settings().nodes)));
    auto voter = int(random.below(std::uint64_t(simulation.settings().voters)));
    auto shortEnd = simulation.now() + randomTime(random, 300 * MILLISECOND, 9 * SECOND);
    auto longEnd = simulation.now() + randomTime(random, 5 * SECOND, 20 * SECOND);
    switch (kind) {
    case InjectedFault::RestartNode: return simulation.restart(node);
    case InjectedFault::RestartVoter: return simulation.restart(voter);
    case InjectedFault::FreezeNode: return simulation.freeze(node, shortEnd);
    case InjectedFault::FreezeLeader: return simulation.freeze(simulation.leader(), shortEnd);
    case InjectedFault::IsolateNode: return simulation.isolate(node, shortEnd);
    case InjectedFault::IsolateNodeForLong: return simulation.isolate(node, longEnd);
    case InjectedFault::PartitionLinks: return partitionSomeLinks(simulation, shortEnd);
    case InjectedFault::ElectAnother: return electAnother(simulation);
    case InjectedFault::SplitFromLeader: return splitFromLeader(simulation, longEnd);
    case InjectedFault::ChangeTenant: return changeTenant(simulation);
    }
}

// A few kinds of faults per run find more than all kinds in each run (Groce et al., "Swarm testing", 2012).
auto chooseKinds(RandomSource& random) -> std::vector<InjectedFault> {
    auto chosen = std::vector<InjectedFault>();
    for (auto i = 0; i < INJECTED_FAULT_KINDS; i++)
        if (random.chance(0.4)) chosen.push_back(InjectedFault(i));
    if (chosen.empty()) chosen.push_back(InjectedFault(random.below(INJECTED_FAULT_KINDS)));
    return chosen;
}

}  // namespace

auto faultRunSettings(std::uint64_t seed) -> QuotaSimulationSettings {
    auto random = RandomSource{seed * 7919};
    auto settings = QuotaSimulationSettings();
    settings.seed = seed;
    settings.nodes = 4 + int(random.below(4));
    settings.voters = random.chance(0.3) ? 1 : 3;
    for (auto i = 0; i < 3; i++) {
        auto tenant = TenantWorkload();
        tenant.name = "t" + std::to_string(i);
        tenant.ratePerSecond = 2 + double(random.below(30));
        tenant.burst = double(random.below(20));
        tenant.demandPerSecond = tenant.ratePerSecond * (i == 0 ? 8 : 0.6 + double(i));
        tenant.placement = ClientPlacement(random.below(3));
        tenant.batchedFraction = random.chance(0.6) ? 0.7 : 0;
        if (random.chance(0.5)) tenant.batchInterval = 14 * SECOND;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

auto runWithFaults(const QuotaSimulationSettings& settings, std::vector<InjectedFault> kinds)
    -> FaultRunOutcome {
    auto simulation = QuotaSimulation(settings);
    auto& network = simulation.network();
    auto& random = simulation.random();
    network.lossProbability = random.chance(0.5) ? 0.05 : 0;
    network.duplicateProbability = 0.05;
    network.longDelayProbability = random.chance(0.5) ? 0.02 : 0;
    simulation.runUntil(simulation.now() + WARM_UP);
    if (kinds.empty()) kinds = chooseKinds(random);
    auto interval = randomTime(random, 300 * MILLISECOND, 5 * SECOND);
    while (simulation.now() < END_OF_RUN) {
        injectFault(simulation, kinds[std::size_t(random.below(kinds.size()))]);
        simulation.runUntil(simulation.now() + randomTime(random, interval / 2, interval * 2));
    }
    auto outcome = FaultRunOutcome();
    outcome.boundViolations = simulation.boundViolations();
    outcome.invariantViolations = simulation.invariantViolations();
    for (auto i = std::size_t(0); i < settings.tenants.size(); i++)
        outcome.requestsRun += std::int64_t(simulation.results(i).spends.size());
    return outcome;
}

}  // namespace duneturn
