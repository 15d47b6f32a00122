#pragma once
// Days of a simulated world of quotas with troubles at random.
#include <cstdint>
#include <string>
#include <vector>

#include "quota/quota_world.hpp"

namespace duneturn {

struct TroubledDay {
    std::vector<std::string> violations;  ///< Of the smaller bound, which leaves room for further attempts.
    std::int64_t ran = 0;
};

/// A world of a few nodes, some of whose tenants press beyond their limits.
[[nodiscard]] auto troubledSettings(std::uint64_t seed) -> WorldSettings;
/// Plays a day with a trouble every second or so.
[[nodiscard]] auto playTroubledDay(const WorldSettings& settings) -> TroubledDay;

}  // namespace duneturn
