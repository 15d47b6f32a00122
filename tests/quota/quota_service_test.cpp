// Checks how many requests the tenants' quotas admit: below the limit, far above it, and after the loss of
// the granter. No other faults occur.
#include <cstddef>
#include <cstdint>
#include <vector>

#include <fmt/format.h>

#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr Microseconds WARM_UP = 5 * SECOND;

/// Tenants with limits of 10, 80 and 1 requests per second. `usage`: the demand as a fraction of the limit.
auto faultFreeSettings(ClientPlacement placement, double usage) -> QuotaSimulationSettings {
    auto settings = QuotaSimulationSettings();
    settings.nodes = 72;
    settings.voters = 5;
    for (auto rate : {10.0, 80.0, 1.0}) {
        auto tenant = TenantWorkload();
        tenant.name = fmt::format("t{}", rate);
        tenant.ratePerSecond = rate;
        tenant.burst = rate;
        tenant.demandPerSecond = rate * usage;
        tenant.placement = placement;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

/// What became of the requests of a measured period.
struct PeriodResults {
    std::int64_t requests = 0, rejected = 0;
    double averageWaitMs = 0;
    [[nodiscard]] auto rejectedFraction() const -> double {
        return requests ? double(rejected) / double(requests) : 0;
    }
};

/// The results of one tenant since `before`.
auto resultsSince(const QuotaSimulation& simulation, std::size_t tenant, const TenantResults& before)
    -> PeriodResults {
    auto& results = simulation.results(tenant);
    auto period = PeriodResults{results.requests - before.requests, results.rejected - before.rejected, 0};
    auto waitedMs = double(results.waited - before.waited) / double(MILLISECOND);
    if (period.requests) period.averageWaitMs = waitedMs / double(period.requests);
    return period;
}

auto snapshot(const QuotaSimulation& simulation) -> std::vector<TenantResults> {
    auto results = std::vector<TenantResults>();
    for (auto i = std::size_t(0); i < simulation.settings().tenants.size(); i++)
        results.push_back(simulation.results(i));
    return results;
}

/// The results of all tenants together since `before`.
auto totalSince(const QuotaSimulation& simulation, const std::vector<TenantResults>& before)
    -> PeriodResults {
    auto total = PeriodResults();
    for (auto i = std::size_t(0); i < before.size(); i++) {
        auto period = resultsSince(simulation, i, before[i]);
        total.requests += period.requests;
        total.rejected += period.rejected;
    }
    fmt::print("  {} requests, {} rejected\n", total.requests, total.rejected);
    return total;
}

/// Runs a simulation for 40 s after the warm-up and returns the results by tenant.
auto runWithoutFaults(ClientPlacement placement, double usage) -> std::vector<PeriodResults> {
    auto simulation = QuotaSimulation(faultFreeSettings(placement, usage));
    simulation.runUntil(WARM_UP);
    auto before = snapshot(simulation);
    simulation.runUntil(WARM_UP + 40 * SECOND);
    CHECK(simulation.boundViolations().empty());
    CHECK(simulation.invariantViolations().empty());
    auto periods = std::vector<PeriodResults>();
    for (auto i = std::size_t(0); i < before.size(); i++)
        periods.push_back(resultsSince(simulation, i, before[i]));
    for (auto& period : periods)
        fmt::print("  placement {} usage {}: {} requests, {} rejected, {:.1f} ms average wait\n",
            int(placement), usage, period.requests, period.rejected, period.averageWaitMs);
    return periods;
}

}  // namespace

TEST(QuotaService, fewRequestsAreRejectedBelowTheLimit) {
    constexpr auto MAX_REJECTED = 0.005;
    for (auto placement : {ClientPlacement::AllNodes, ClientPlacement::OneNode, ClientPlacement::Moving})
        for (auto& period : runWithoutFaults(placement, 0.6))
            CHECK(period.rejectedFraction() <= MAX_REJECTED);
}

TEST(QuotaService, anOverloadingTenantIsServedAtItsLimit) {
    constexpr auto OVERLOAD_FACTOR = 12;
    constexpr auto MIN_SERVED = 0.9, MAX_SERVED = 1.15;  // of the tenant's rate
    for (auto placement : {ClientPlacement::AllNodes, ClientPlacement::OneNode, ClientPlacement::Moving}) {
        auto periods = runWithoutFaults(placement, OVERLOAD_FACTOR);
        for (auto i = std::size_t(0); i < 2; i++) {
            auto served = OVERLOAD_FACTOR * (1 - periods[i].rejectedFraction());
            CHECK(served >= MIN_SERVED);
            CHECK(served <= MAX_SERVED);
        }
    }
}

TEST(QuotaService, requestsAreAdmittedAfterTheGranterIsLost) {
    constexpr auto MAX_REJECTED = 0.005, MAX_REJECTED_DURING_FAILOVER = 0.5;
    constexpr auto END_OF_FREEZE = 70 * SECOND;
    auto simulation = QuotaSimulation(faultFreeSettings(ClientPlacement::AllNodes, 0.6));
    simulation.runUntil(20 * SECOND);
    auto before = snapshot(simulation);
    simulation.freeze(0, END_OF_FREEZE);
    simulation.runUntil(21500 * MILLISECOND);
    simulation.elect(1, END_OF_FREEZE);
    simulation.runUntil(24 * SECOND);
    CHECK(totalSince(simulation, before).rejectedFraction() <= MAX_REJECTED_DURING_FAILOVER);
    before = snapshot(simulation);
    simulation.runUntil(60 * SECOND);
    CHECK(totalSince(simulation, before).rejectedFraction() <= MAX_REJECTED);
    CHECK(simulation.invariantViolations().empty());
}

}  // namespace duneturn
