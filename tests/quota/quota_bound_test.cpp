// The bound of the tenants' quotas under troubles of all kinds, against the plain count of what servers ran.
#include <fmt/format.h>

#include "quota/quota_trouble.hpp"
#include "quota/quota_world.hpp"
#include "test.hpp"

namespace duneturn {

// Nodes that restart, freeze and are cut off; granters that don't know that they were succeeded; voters that
// forget; messages lost, doubled, late; limits that change and tenants far beyond them.
TEST(QuotaBound, holdsUnderAllTroubles) {
    constexpr auto SEEDS = 300;
    for (auto seed = 1; seed <= SEEDS; seed++) {
        auto settings = troubledSettings(std::uint64_t(seed));
        auto outcome = playTroubledDay(settings);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}", fmt::join(outcome.violations, "; ")), outcome.violations.empty());
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} ran", seed, outcome.ran), outcome.ran > 100);
    }
}

}  // namespace duneturn
