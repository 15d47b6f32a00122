#pragma once
// Which server a request goes to: the candidate filters of its route one after the other, then the pick.
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

/// What the selection looks at.
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

/// The outcome of a selection.
struct Selection {
    std::string server;            ///< Empty: none may take it now.
    std::string explanation;       ///< What each filter left, and why this one; for operators.
    bool isOutsideRegion = false;  ///< Not in the client's region.
};

/// Selects servers. Nothing is reserved: what selects says nothing of whether it is sent.
class ServerSelection {
  public:
    explicit ServerSelection(const SelectionInputs& inputs) : inputs_(inputs) {}

    [[nodiscard]] auto select(const Request& request, Microseconds now) -> Selection;
    /// Whether every rule lets a request go to this server, whatever its load is now.
    [[nodiscard]] auto allows(const Request& request, const KnownServer& server) const -> bool;
    /// Whether there is a server that may take the request once it has room.
    [[nodiscard]] auto mayFindServerLater(const Request& request) const -> bool;
    /// A request that may only go to one region claims that region's servers; see unclaimedRegion.
    auto recordClaim(const Request& request) -> void;

  private:
    SelectionInputs inputs_;
};

}  // namespace duneturn
