#pragma once
// Days of a simulated world of quotas with troubles at random.
#include <cstdint>
#include <string>
#include <vector>

#include "quota/quota_simulation.hpp"

namespace duneturn {

enum class Trouble {
    RestartNode,
    RestartVoter,
    FreezeNode,
    FreezeLeader,
    IsolateNode,
    IsolateNodeForLong,
    CutLinks,
    ElectAnother,
    SplitFromLeader,
    ChangeTenant,
};
constexpr auto TROUBLES = 10;

struct TroubledDay {
    std::vector<std::string> boundViolations, invariantViolations;
    std::int64_t ran = 0;
};

/// A world of a few nodes, some of whose tenants press beyond their limits.
[[nodiscard]] auto troubledSettings(std::uint64_t seed) -> QuotaSimulationSettings;
/// Plays a day with a trouble every second or so, of these kinds; without any named, of some at random.
[[nodiscard]] auto playTroubledDay(const QuotaSimulationSettings& settings, std::vector<Trouble> kinds = {})
    -> TroubledDay;

}  // namespace duneturn
