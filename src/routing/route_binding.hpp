#pragma once
// The route that binds one request: what the request itself decides of it, and newer configurations.
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"

namespace duneturn {

/// The route as it holds for this request: the service that its name draws of several, and the model that
/// it asks for.
[[nodiscard]] auto routeFor(const ReceivedRequest& request, const Route& route, const RouteTable& routes)
    -> Route;

/// Binds a request under way to the newest configuration: what that says of its method and path is what
/// counts, in all but the deadline. False if that is another route now.
[[nodiscard]] auto rebind(
    Request& request, const RouteTable& routes, const Dialect& dialect, const EdgeFaults& faults) -> bool;

}  // namespace duneturn
