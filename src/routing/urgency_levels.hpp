#pragma once
// The urgency level that servers receive with a request, derived from its tenant's rank and its route's
// urgency.
#include <set>

namespace duneturn {

/// Divides the levels of the wire (0 to 9, 0 is the most urgent) among the ranks of the configured tenants,
/// and each rank's levels among the urgencies of the configured routes. So a smaller rank always has a
/// smaller level, while several urgencies may share one. If all tenants have the same rank, or there are no
/// tenants, the level depends on the route's urgency only.
class UrgencyLevels {
  public:
    /// Adds the rank of a tenant; 0 is the most urgent.
    auto addTenantRank(int rank) -> void { ranks_.insert(rank); }
    /// Adds the urgency of a route; 9 is the most urgent.
    auto addRouteUrgency(int urgency) -> void;
    /// The level of a request, 0 to 9.
    [[nodiscard]] auto level(int tenantRank, int routeUrgency) const -> int;

  private:
    std::set<int> ranks_;
    std::set<int> routeLevels_;  // urgencies converted to levels
};

}  // namespace duneturn
