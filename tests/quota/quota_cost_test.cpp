// What the tenants' quotas cost: bytes between nodes by their serialized sizes, and the processor's time of
// the accounts and the ledger, in a calm simulated world.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr auto REQUESTS_PER_SECOND_AND_NODE = 11.5;
constexpr auto LARGE_TENANTS = 3;

struct Cost {
    double bytesPerNode = 0, bytesOfGranter = 0;                ///< A second, sent and received.
    double microsecondsPerNode = 0, microsecondsOfGranter = 0;  ///< Of the processor, a second.
    double refused = 0;                                         ///< Of all requests.
};

// A few large tenants send half of all requests, the others the rest; each uses 60% of its limit.
auto costSettings(int nodes, int tenants) -> QuotaSimulationSettings {
    constexpr auto USAGE = 0.6;
    auto settings = QuotaSimulationSettings();
    settings.nodes = nodes;
    settings.voters = 5;
    settings.checksInvariant = false;
    auto demand = REQUESTS_PER_SECOND_AND_NODE * nodes;
    for (auto i = 0; i < tenants; i++) {
        auto tenant = WorldTenant();
        tenant.name = fmt::format("tenant-{:03}", i);
        tenant.demandPerSecond = demand / 2 / (i < LARGE_TENANTS ? LARGE_TENANTS : tenants - LARGE_TENANTS);
        tenant.ratePerSecond = tenant.demandPerSecond / USAGE;
        tenant.burst = tenant.ratePerSecond;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

auto refusedIn(const QuotaSimulation& world) -> std::int64_t {
    auto refused = std::int64_t(0);
    for (auto i = std::size_t(0); i < world.settings().tenants.size(); i++)
        refused += world.results(i).refused;
    return refused;
}

auto measureCost(int nodes, int tenants) -> Cost {
    constexpr auto SECONDS = 15;
    auto world = QuotaSimulation(costSettings(nodes, tenants));
    world.runUntil(10 * SECOND);
    auto refusedBefore = refusedIn(world);
    world.network().measures = world.measures = true;
    world.runUntil((10 + SECONDS) * SECOND);
    auto cost = Cost();
    auto bytes = std::vector<std::int64_t>(std::size_t(nodes));
    for (auto& [node, sent] : world.network().bytesSent) bytes[std::size_t(node)] += sent;
    for (auto& [node, received] : world.network().bytesReceived) bytes[std::size_t(node)] += received;
    cost.bytesOfGranter = double(bytes[0]) / SECONDS;
    cost.bytesPerNode = double(bytes.back()) / SECONDS;
    cost.microsecondsPerNode = world.accountMicroseconds / nodes / SECONDS;
    cost.microsecondsOfGranter = world.ledgerMicroseconds / SECONDS;
    auto requests = REQUESTS_PER_SECOND_AND_NODE * nodes * SECONDS;
    cost.refused = double(refusedIn(world) - refusedBefore) / requests;
    fmt::print(
        "  {} nodes, {} tenants: {:.0f} B/s a node, {:.0f} B/s granter, {:.0f} us/s a node, {:.0f} us/s "
        "granter, "
        "{:.3f}% refused\n",
        nodes, tenants, cost.bytesPerNode, cost.bytesOfGranter, cost.microsecondsPerNode,
        cost.microsecondsOfGranter, cost.refused * 100);
    for (auto& [kind, sum] : world.network().bytesByKind)
        fmt::print("    kind {}: {:.1f} messages/s, {:.0f} B/s in all\n", kind,
            double(world.network().messagesByKind[kind]) / SECONDS, double(sum) / SECONDS);
    return cost;
}

}  // namespace

TEST(QuotaCost, bytesOfANodeDoNotRiseWithTheFleet) {
    constexpr auto MOST_BYTES = 10'000.0, MOST_REFUSED = 0.005;
    for (auto [nodes, tenants] :
        {std::pair(72, 76), std::pair(93, 86), std::pair(300, 410), std::pair(390, 410)}) {
        auto cost = measureCost(nodes, tenants);
        CHECK(cost.bytesPerNode <= MOST_BYTES);
        CHECK(cost.refused <= MOST_REFUSED);
    }
}

}  // namespace duneturn
