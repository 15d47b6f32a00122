#pragma once
// The urgency in requests to servers: one scale for the ranks of tenants and the urgency of routes.
#include <set>

namespace duneturn {

/// Divides the levels that the wire has (0 to 9, 0 goes first) among the tenants' ranks of a configuration,
/// and each rank's part among the routes' urgencies. So a smaller rank always goes first; urgencies may share
/// a level. Where all tenants have one rank, or there are none, a route's urgency alone decides.
class UrgencyLevels {
  public:
    /// A rank that a tenant has: 0 goes first.
    auto addTenantRank(int rank) -> void { ranks_.insert(rank); }
    /// An urgency that a route has: 9 goes first.
    auto addRouteUrgency(int urgency) -> void;
    [[nodiscard]] auto level(int tenantRank, int routeUrgency) const -> int;

  private:
    std::set<int> ranks_;
    std::set<int> routeLevels_;  // the urgencies as levels: 0 goes first
};

}  // namespace duneturn
