// Measures the costs of the tenants' quotas in a simulation without faults: the traffic between nodes, by the
// serialized sizes of messages, and the CPU time of accounts and ledgers.
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
    double bytesPerNode = 0, bytesOfGranter = 0;                ///< Per second, sent and received.
    double microsecondsPerNode = 0, microsecondsOfGranter = 0;  ///< Of CPU time per second.
    double rejectedFraction = 0;                                ///< Of all requests.
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
        auto tenantsOfSameSize = i < LARGE_TENANTS ? LARGE_TENANTS : tenants - LARGE_TENANTS;
        auto tenant = TenantWorkload();
        tenant.name = fmt::format("tenant-{:03}", i);
        tenant.demandPerSecond = demand / 2 / tenantsOfSameSize;
        tenant.ratePerSecond = tenant.demandPerSecond / USAGE;
        tenant.burst = tenant.ratePerSecond;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

auto rejectedRequests(const QuotaSimulation& simulation) -> std::int64_t {
    auto rejected = std::int64_t(0);
    for (auto i = std::size_t(0); i < simulation.settings().tenants.size(); i++)
        rejected += simulation.results(i).rejected;
    return rejected;
}

auto printCost(int nodes, int tenants, const Cost& cost) -> void {
    fmt::print(
        "  {} nodes, {} tenants: per node {:.0f} B/s and {:.0f} us/s, granter {:.0f} B/s and {:.0f} us/s, "
        "{:.3f}% rejected\n",
        nodes, tenants, cost.bytesPerNode, cost.microsecondsPerNode, cost.bytesOfGranter,
        cost.microsecondsOfGranter, cost.rejectedFraction * 100);
}

auto measureCost(int nodes, int tenants) -> Cost {
    constexpr auto WARM_UP = 10 * SECOND;
    constexpr auto SECONDS = 15;
    auto simulation = QuotaSimulation(costSettings(nodes, tenants));
    simulation.runUntil(WARM_UP);
    auto rejectedBefore = rejectedRequests(simulation);
    simulation.network().measuresTraffic = simulation.measuresCpuTime = true;
    simulation.runUntil(WARM_UP + SECONDS * SECOND);
    auto cost = Cost();
    auto bytes = std::vector<std::int64_t>(std::size_t(nodes));
    for (auto& [node, sent] : simulation.network().bytesSent) bytes[std::size_t(node)] += sent;
    for (auto& [node, received] : simulation.network().bytesReceived) bytes[std::size_t(node)] += received;
    cost.bytesOfGranter = double(bytes[0]) / SECONDS;
    cost.bytesPerNode = double(bytes.back()) / SECONDS;
    cost.microsecondsPerNode = simulation.accountMicroseconds / nodes / SECONDS;
    cost.microsecondsOfGranter = simulation.ledgerMicroseconds / SECONDS;
    auto requests = REQUESTS_PER_SECOND_AND_NODE * nodes * SECONDS;
    cost.rejectedFraction = double(rejectedRequests(simulation) - rejectedBefore) / requests;
    printCost(nodes, tenants, cost);
    for (auto& [type, sum] : simulation.network().bytesByType)
        fmt::print("    message type {}: {:.1f} messages/s, {:.0f} B/s in total\n", type,
            double(simulation.network().messagesByType[type]) / SECONDS, double(sum) / SECONDS);
    return cost;
}

}  // namespace

TEST(QuotaCost, trafficOfANodeStaysBelowTheLimitInLargeClusters) {
    constexpr auto MAX_BYTES_PER_SECOND = 10'000.0, MAX_REJECTED = 0.005;
    for (auto [nodes, tenants] :
        {std::pair(72, 76), std::pair(93, 86), std::pair(300, 410), std::pair(390, 410)}) {
        auto cost = measureCost(nodes, tenants);
        CHECK(cost.bytesPerNode <= MAX_BYTES_PER_SECOND);
        CHECK(cost.rejectedFraction <= MAX_REJECTED);
    }
}

}  // namespace duneturn
