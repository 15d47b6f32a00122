// Simulated days with tenants: fixed seeds that must pass, and deliberate faults that an oracle must see.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "platform_simulator.hpp"
#include "test.hpp"

namespace duneturn::sim {

namespace {

auto dayWithTenants(std::uint64_t seed) -> PlatformDayOptions {
    auto options = PlatformDayOptions();
    options.seed = seed;
    options.tenants = true;
    return options;
}

auto firstViolation(const PlatformDayOptions& options) -> std::string {
    auto day = runPlatformDay(options);
    return day.violations.empty() ? std::string() : day.violations.front();
}

struct Variant {
    std::string name, rule;
};

auto isSeen(const Variant& variant) -> bool {
    constexpr auto SEEDS = 3;
    for (auto seed = std::uint64_t(1); seed <= SEEDS; seed++) {
        auto options = dayWithTenants(seed);
        options.duration = 30 * SECOND;
        options.faults = {"hot-tenant"};
        options.broken = variant.name;
        for (auto& violation : runPlatformDay(options).violations)
            if (violation.starts_with(variant.rule)) return true;
    }
    return false;
}

}  // namespace

TEST(TenantDays, quietDay) {
    auto options = dayWithTenants(1);
    options.perMinute = 0;
    auto day = runPlatformDay(options);
    CHECK_EQ(std::string(), day.violations.empty() ? std::string() : day.violations.front());
    CHECK(day.tenants.unauthorized > 100);
    CHECK(day.tenants.runs > 1000);
}

TEST(TenantDays, smallFleet) {
    for (auto seed = std::uint64_t(1); seed <= 6; seed++)
        CHECK_EQ(std::string(), firstViolation(dayWithTenants(seed)));
}

TEST(TenantDays, hotTenantAndZonesApart) {
    for (auto seed = std::uint64_t(1); seed <= 4; seed++) {
        auto options = dayWithTenants(seed);
        options.faults = {"hot-tenant", "bridge-cut"};
        CHECK_EQ(std::string(), firstViolation(options));
    }
}

TEST(TenantDays, keysTakenAway) {
    for (auto seed = std::uint64_t(1); seed <= 4; seed++) {
        auto options = dayWithTenants(seed);
        options.faults = {"revoke", "node-slow", "kill-core"};
        CHECK_EQ(std::string(), firstViolation(options));
    }
}

TEST(TenantDays, theSameSeedGivesTheSameDay) {
    auto options = dayWithTenants(3);
    options.duration = 20 * SECOND;
    CHECK_EQ(runPlatformDay(options).digest, runPlatformDay(options).digest);
}

TEST(TenantDays, faultsOfTenantsWantTenants) {
    auto options = PlatformDayOptions();
    options.faults = {"hot-tenant"};
    CHECK_EQ(2, simulatePlatform(options, 1));
}

// The granter's own node has to be granted tokens too: 0.02 of the requests within the limits may lack.
TEST(TenantShares, requestsWithinTheLimitRunOnAQuietDay) {
    constexpr auto MOST_LACKING = .02;
    for (auto seed : {2, 4, 6}) {
        auto options = dayWithTenants(std::uint64_t(seed));
        options.perMinute = 0;
        auto shares = runPlatformDay(options).tenants;
        CHECK(double(shares.shortfall) <= MOST_LACKING * double(shares.withinLimit));
    }
}

// Each oracle sees the deliberate fault that is its own.
TEST(BrokenTenants, isSeen) {
    auto variants = std::vector<Variant>{
        {"any-key", "a key that no configuration held opens nothing"},
        {"keep-keys", "a withdrawn key opens nothing after a time"},
        {"refuse-keys", "a key in force is not refused"},
        {"ignore-homes", "a tenant's requests stay in its home regions"},
        {"ignore-quotas", "a tenant's requests keep within its quota"},
        {"pass-key", "no server is shown a key"},
        {"pass-tenant", "a server is given the tenant of the key"},
    };
    for (auto& variant : variants)
        CPPUNIT_ASSERT_MESSAGE(variant.name + " was not seen by: " + variant.rule, isSeen(variant));
}

}  // namespace duneturn::sim
