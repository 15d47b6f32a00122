// Checks the bound of the tenants' quotas while faults are injected. The bound is compared with a plain count
// of the requests that servers ran, which shares no code with the quotas.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "quota/quota_fault_injection.hpp"
#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {

// Nodes restart, freeze and are partitioned; granters do not know that they were succeeded; voters lose their
// memory; messages are lost, duplicated and delayed; limits change while tenants far exceed them.
TEST(QuotaBound, noWindowExceedsTheBoundUnderFaults) {
    constexpr auto SEEDS = 200, MIN_REQUESTS_PER_SEED = 500;
    auto requestsRun = std::int64_t(0);
    for (auto seed = 1; seed <= SEEDS; seed++) {
        auto settings = faultRunSettings(std::uint64_t(seed));
        auto outcome = runWithFaults(settings);
        CHECK_EQ(std::string(), fmt::format("{}", fmt::join(outcome.boundViolations, "; ")));
        CHECK_EQ(std::string(), fmt::format("{}", fmt::join(outcome.invariantViolations, "; ")));
        requestsRun += outcome.requestsRun;
    }
    CHECK(requestsRun > SEEDS * MIN_REQUESTS_PER_SEED);
}

}  // namespace duneturn
