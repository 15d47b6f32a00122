#pragma once
// Selects the server for a request: applies the stages of its route in order, of which the last one picks a
// server.
#include <string>

#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/fleet_size.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"
#include "routing/slow_start.hpp"

namespace duneturn {

/// The components that a selection reads. They must outlive the selection.
struct SelectionInputs {
    const Node& node;
    const RouteTable& routes;
    const Dialect& dialect;
    const FleetSize& fleet;
    const EdgeFaults& faults;
    ServerStatisticsTable& statistics;
    SlowStart& slowStart;
    RandomSource& random;
};

/// The result of a selection.
struct Selection {
    std::string server;            ///< Empty if no server may take the request now.
    std::string explanation;       ///< What each stage left, and how the server was picked; for operators.
    bool isOutsideRegion = false;  ///< The server is not in the client's region.
};

/// Selects servers. A selection reserves nothing; the caller may select again or not send the request.
class ServerSelection {
  public:
    explicit ServerSelection(const SelectionInputs& inputs) : inputs_(inputs) {}

    /// Selects a server by the rules, the health and the load of the servers at this time.
    [[nodiscard]] auto select(const Request& request, Microseconds now) -> Selection;
    /// Whether the eligibility rules permit this server, regardless of its health and load.
    [[nodiscard]] auto allows(const Request& request, const KnownServer& server) const -> bool;
    /// Whether a request that found no server should wait: some permitted server has not rejected it. Always
    /// false where clients do not name requests.
    [[nodiscard]] auto mayFindServerLater(const Request& request) const -> bool;
    /// Records an accepted request in the demand of regions. Long prompts avoid regions with many requests
    /// that cannot be served elsewhere.
    auto recordRegionDemand(const Request& request) -> void;

  private:
    SelectionInputs inputs_;
};

}  // namespace duneturn
