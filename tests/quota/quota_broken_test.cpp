// Faults of the quotas, each of which the test of the bound must see.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "quota/quota_fault_injection.hpp"
#include "quota/quota_simulation.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

struct Variant {
    std::string name;
    bool QuotaFaults::*fault;
    std::vector<Trouble> kinds = {};  ///< Under which it is looked for; none: as in the test of the bound.
};

/// Requests hold tokens for longer than unclaimed ones of a predecessor count.
auto holdForLong(QuotaSimulationSettings& settings) -> void {
    for (auto& tenant : settings.tenants) {
        tenant.holding = 0.8;
        tenant.together = 20 * SECOND;
    }
}

/// The first seed whose day shows the fault; 0 if none does.
auto firstSeedThatShows(const Variant& variant) -> int {
    constexpr auto SEEDS = 1000;
    for (auto seed = 1; seed <= SEEDS; seed++) {
        auto settings = troubledSettings(std::uint64_t(seed));
        settings.broken.*variant.fault = true;
        if (!variant.kinds.empty()) holdForLong(settings);
        auto day = playTroubledDay(settings, variant.kinds);
        if (!day.boundViolations.empty() || !day.invariantViolations.empty()) return seed;
    }
    return 0;
}

}  // namespace

TEST(BrokenQuota, eachFaultIsSeen) {
    auto unseen = std::string();
    for (auto& variant : std::vector<Variant>{
             {"spendWithoutLease", &QuotaFaults::spendWithoutLease},
             {"takeLowerTerm", &QuotaFaults::takeLowerTerm},
             {"forgetCarried", &QuotaFaults::forgetCarried, {Trouble::ElectAnother}},
             {"forgetSpendsEarly", &QuotaFaults::forgetSpendsEarly},
             {"countReturnsTwice", &QuotaFaults::countReturnsTwice},
             {"freeSilentAtOnce", &QuotaFaults::freeSilentAtOnce},
             {"freeLapsed", &QuotaFaults::freeLapsed},
             {"ignoreReserve", &QuotaFaults::ignoreReserve},
             {"ignorePredecessors", &QuotaFaults::ignorePredecessors},
             {"answerWithoutAuthority", &QuotaFaults::answerWithoutAuthority},
             {"ignorePromise", &QuotaFaults::ignorePromise},
             {"rememberNothing", &QuotaFaults::rememberNothing,
                 {Trouble::RestartVoter, Trouble::ElectAnother}},
         }) {
        auto seed = firstSeedThatShows(variant);
        fmt::print("  {}: seed {}\n", variant.name, seed);
        if (!seed) unseen += " " + variant.name;
    }
    CHECK_EQ(std::string(), unseen);
}

// A voter's promise must outlive its process, by the term on its disk.
TEST(BrokenQuota, forgottenTermsAreSeen) {
    constexpr auto SEEDS = 2000;
    auto seed = 1;
    for (; seed <= SEEDS; seed++) {
        auto settings = troubledSettings(std::uint64_t(seed));
        settings.forgetsTerms = true;
        holdForLong(settings);
        auto day = playTroubledDay(settings, {Trouble::RestartVoter, Trouble::SplitFromLeader});
        if (!day.boundViolations.empty() || !day.invariantViolations.empty()) break;
    }
    fmt::print("  forgetsTerms: seed {}\n", seed);
    CHECK(seed <= SEEDS);
}

}  // namespace duneturn
