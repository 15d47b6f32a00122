// Injects faults into the quota protocol itself and checks that the simulation's checks detect each of them.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "quota/quota_fault_injection.hpp"
#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

struct FaultyVariant {
    std::string name;
    bool QuotaFaults::*fault;
    /// The kinds of faults that are injected into the runs. Empty: a random selection for each seed, with the
    /// workload of QuotaBound; otherwise requests also hold their tokens for longer.
    std::vector<InjectedFault> kinds = {};
};

/// Lets requests hold their tokens for longer than a granter counts unclaimed tokens of its predecessors.
auto holdTokensForLong(QuotaSimulationSettings& settings) -> void {
    for (auto& tenant : settings.tenants) {
        tenant.batchedFraction = 0.8;
        tenant.batchInterval = 20 * SECOND;
    }
}

/// The first seed whose run detects the fault; 0 if none does.
auto firstDetectingSeed(const FaultyVariant& variant) -> int {
    constexpr auto SEEDS = 1000;
    for (auto seed = 1; seed <= SEEDS; seed++) {
        auto settings = faultRunSettings(std::uint64_t(seed));
        settings.faults.*variant.fault = true;
        if (!variant.kinds.empty()) holdTokensForLong(settings);
        auto outcome = runWithFaults(settings, variant.kinds);
        if (!outcome.boundViolations.empty() || !outcome.invariantViolations.empty()) return seed;
    }
    return 0;
}

}  // namespace

TEST(BrokenQuota, everyProtocolFaultIsDetected) {
    auto undetected = std::string();
    for (auto& variant : std::vector<FaultyVariant>{
             {"spendWithoutLease", &QuotaFaults::spendWithoutLease},
             {"acceptStaleGrants", &QuotaFaults::acceptStaleGrants},
             {"omitCarriedTokens", &QuotaFaults::omitCarriedTokens, {InjectedFault::ElectAnother}},
             {"expireSpendsEarly", &QuotaFaults::expireSpendsEarly},
             {"countReturnsTwice", &QuotaFaults::countReturnsTwice},
             {"expireHoldersEarly", &QuotaFaults::expireHoldersEarly},
             {"dropExpiredTokens", &QuotaFaults::dropExpiredTokens},
             {"ignoreReserve", &QuotaFaults::ignoreReserve},
             {"ignorePredecessors", &QuotaFaults::ignorePredecessors},
             {"answerWithoutLease", &QuotaFaults::answerWithoutLease},
             {"ignorePromise", &QuotaFaults::ignorePromise},
             {"claimMemoryAfterRestart", &QuotaFaults::claimMemoryAfterRestart,
                 {InjectedFault::RestartVoter, InjectedFault::ElectAnother}},
         }) {
        auto seed = firstDetectingSeed(variant);
        fmt::print("  {}: seed {}\n", variant.name, seed);
        if (!seed) undetected += " " + variant.name;
    }
    CHECK_EQ(std::string(), undetected);
}

// A voter that loses its durable term in a restart breaks its promise and acknowledges images of a granter
// that was succeeded.
TEST(BrokenQuota, lossOfDurableTermsIsDetected) {
    constexpr auto SEEDS = 2000;
    auto seed = 1;
    for (; seed <= SEEDS; seed++) {
        auto settings = faultRunSettings(std::uint64_t(seed));
        settings.losesDurableTerms = true;
        holdTokensForLong(settings);
        auto outcome = runWithFaults(settings, {InjectedFault::RestartVoter, InjectedFault::SplitFromLeader});
        if (!outcome.boundViolations.empty() || !outcome.invariantViolations.empty()) break;
    }
    fmt::print("  losesDurableTerms: seed {}\n", seed);
    CHECK(seed <= SEEDS);
}

}  // namespace duneturn
