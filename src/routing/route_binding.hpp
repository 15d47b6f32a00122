#pragma once
// Binds a request to its route and its tenant when it arrives, and again when the configuration changes.
#include <optional>

#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/request_rejection.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"

namespace duneturn {

/// HTTP status for a request whose API key is missing, ambiguous or unknown.
constexpr auto KEY_REJECTED_STATUS = 401;

/// Binds a new request to its route and tenant. Precondition: its method, host, path, model and key are set.
/// Returns the rejection if the configuration does not allow the request.
[[nodiscard]] auto bind(Request& request, const RouteTable& routes) -> std::optional<RequestRejection>;

/// Binds an active request to the newest configuration, which then decides about its method, path and key;
/// the deadline stays. Returns the rejection if the request may not be sent any more. A request that was sent
/// before must keep its route and its tenant, or is rejected.
[[nodiscard]] auto rebind(Request& request, const RouteTable& routes, const Dialect& dialect,
    const EdgeFaults& faults) -> std::optional<RequestRejection>;

}  // namespace duneturn
