#include "routing/urgency_levels.hpp"

#include <algorithm>
#include <iterator>

namespace duneturn {
namespace {

constexpr auto LEVELS = 10;  // on the wire

auto levelOfUrgency(int urgency) -> int { return LEVELS - 1 - std::clamp(urgency, 0, LEVELS - 1); }

// The position of `value` in a sorted set; a value beyond the last member gets the last position.
auto positionIn(const std::set<int>& members, int value) -> int {
    auto position = int(std::distance(members.begin(), members.lower_bound(value)));
    return std::clamp(position, 0, std::max(0, int(members.size()) - 1));
}

}  // namespace

auto UrgencyLevels::addRouteUrgency(int urgency) -> void { routeLevels_.insert(levelOfUrgency(urgency)); }

auto UrgencyLevels::level(int tenantRank, int routeUrgency) const -> int {
    auto routeLevel = levelOfUrgency(routeUrgency);
    auto ranks = int(ranks_.size());
    if (ranks < 2) return routeLevel;
    auto rank = positionIn(ranks_, tenantRank);
    auto firstLevel = rank * LEVELS / ranks;
    auto levelsOfRank = (rank + 1) * LEVELS / ranks - firstLevel;
    auto position = positionIn(routeLevels_, routeLevel);
    auto urgencies = int(routeLevels_.size());
    return firstLevel + (urgencies <= levelsOfRank ? position : position * levelsOfRank / urgencies);
}

}  // namespace duneturn
