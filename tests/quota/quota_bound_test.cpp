// The bound of the tenants' quotas under troubles of all kinds, against the plain count of what servers ran.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "quota/quota_fault_injection.hpp"
#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {

// Nodes that restart, freeze and are cut off; granters that don't know that they were succeeded; voters that
// forget; messages lost, doubled, late; limits that change and tenants far beyond them.
TEST(QuotaBound, holdsUnderAllTroubles) {
    constexpr auto SEEDS = 200, LEAST_RAN = 500;
    auto ran = std::int64_t(0);
    for (auto seed = 1; seed <= SEEDS; seed++) {
        auto settings = troubledSettings(std::uint64_t(seed));
        auto outcome = playTroubledDay(settings);
        CHECK_EQ(std::string(), fmt::format("{}", fmt::join(outcome.boundViolations, "; ")));
        CHECK_EQ(std::string(), fmt::format("{}", fmt::join(outcome.invariantViolations, "; ")));
        ran += outcome.ran;
    }
    CHECK(ran > SEEDS * LEAST_RAN);
}

}  // namespace duneturn
