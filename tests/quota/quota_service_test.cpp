// What the tenants' quotas let through: requests below the limit in a calm world, after a granter's loss, and
// of tenants far beyond their limit.
#include <cstddef>
#include <cstdint>
#include <vector>

#include <fmt/format.h>

#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr Microseconds WARM_UP = 5 * SECOND;

/// Tenants of 10, 80 and 1 requests a second, each of whose clients send this part of it.
auto calmSettings(ClientPlaces places, double usage) -> QuotaSimulationSettings {
    auto settings = QuotaSimulationSettings();
    settings.nodes = 72;
    settings.voters = 5;
    for (auto rate : {10.0, 80.0, 1.0}) {
        auto tenant = WorldTenant();
        tenant.name = fmt::format("t{}", rate);
        tenant.ratePerSecond = rate;
        tenant.burst = rate;
        tenant.demandPerSecond = rate * usage;
        tenant.places = places;
        settings.tenants.push_back(tenant);
    }
    return settings;
}

struct Share {
    std::int64_t requests = 0, refused = 0;
    double waitedMs = 0;  ///< On average.
    [[nodiscard]] auto part() const -> double { return requests ? double(refused) / double(requests) : 0; }
};

auto shareSince(const QuotaSimulation& world, std::size_t tenant, const WorldResults& before) -> Share {
    auto& results = world.results(tenant);
    auto share = Share{results.requests - before.requests, results.refused - before.refused, 0};
    auto waited = double(results.waited - before.waited) / double(MILLISECOND);
    if (share.requests) share.waitedMs = waited / double(share.requests);
    return share;
}

auto snapshot(const QuotaSimulation& world) -> std::vector<WorldResults> {
    auto all = std::vector<WorldResults>();
    for (auto i = std::size_t(0); i < world.settings().tenants.size(); i++) all.push_back(world.results(i));
    return all;
}

/// Of all tenants together.
auto allSince(const QuotaSimulation& world, const std::vector<WorldResults>& before) -> Share {
    auto all = Share();
    for (auto i = std::size_t(0); i < before.size(); i++) {
        auto share = shareSince(world, i, before[i]);
        all.requests += share.requests;
        all.refused += share.refused;
    }
    fmt::print("  {} requests, {} refused\n", all.requests, all.refused);
    return all;
}

auto playCalm(ClientPlaces places, double usage) -> std::vector<Share> {
    auto world = QuotaSimulation(calmSettings(places, usage));
    world.runUntil(WARM_UP);
    auto before = snapshot(world);
    world.runUntil(WARM_UP + 40 * SECOND);
    CHECK(world.boundViolations().empty());
    CHECK(world.invariantViolations().empty());
    auto shares = std::vector<Share>();
    for (auto i = std::size_t(0); i < before.size(); i++) shares.push_back(shareSince(world, i, before[i]));
    for (auto& share : shares)
        fmt::print("  places {} usage {}: {} requests, {} refused, {:.1f} ms waited on average\n",
            int(places), usage, share.requests, share.refused, share.waitedMs);
    return shares;
}

}  // namespace

TEST(QuotaService, littleIsRefusedBelowTheLimit) {
    constexpr auto MOST_REFUSED = 0.005;
    for (auto places : {ClientPlaces::AllNodes, ClientPlaces::OneNode, ClientPlaces::Moving})
        for (auto& share : playCalm(places, 0.6)) CHECK(share.part() <= MOST_REFUSED);
}

TEST(QuotaService, aTenantBeyondItsLimitGetsIt) {
    constexpr auto LEAST_SERVED = 0.9, MOST_SERVED = 1.15;  // of its rate
    for (auto places : {ClientPlaces::AllNodes, ClientPlaces::OneNode, ClientPlaces::Moving}) {
        auto shares = playCalm(places, 12);
        for (auto i = std::size_t(0); i < 2; i++) {
            auto served = 12 * (1 - shares[i].part());
            CHECK(served >= LEAST_SERVED);
            CHECK(served <= MOST_SERVED);
        }
    }
}

TEST(QuotaService, goesOnAfterTheGranterIsLost) {
    constexpr auto MOST_REFUSED = 0.005, MOST_REFUSED_MEANWHILE = 0.5;
    auto world = QuotaSimulation(calmSettings(ClientPlaces::AllNodes, 0.6));
    world.runUntil(20 * SECOND);
    auto before = snapshot(world);
    world.freeze(0, 70 * SECOND);
    world.runUntil(21500 * MILLISECOND);
    world.elect(1, 70 * SECOND);
    world.runUntil(24 * SECOND);
    CHECK(allSince(world, before).part() <= MOST_REFUSED_MEANWHILE);
    before = snapshot(world);
    world.runUntil(60 * SECOND);
    CHECK(allSince(world, before).part() <= MOST_REFUSED);
    CHECK(world.invariantViolations().empty());
}

}  // namespace duneturn
