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

}  // namespace duneturn::sim
