#pragma once
// The route and the tenant that bind one request: what the request itself decides of them, and newer
// configurations.
#include <optional>

#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/request_rejection.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"

namespace duneturn {

constexpr auto KEY_REJECTED_STATUS =
    401;  // the status of a request whose key is missing, unclear or not in force

/// Binds a request that has just come in; its method, host, path, model and key are known. Why it is refused,
/// if it is.
[[nodiscard]] auto bind(Request& request, const RouteTable& routes) -> std::optional<RequestRejection>;

/// Binds a request under way to the newest configuration: what that says of its method, path and key is what
/// counts, in all but the deadline. Why it may not be sent any more, if it may not: what has begun goes on
/// under no other route and no other tenant.
[[nodiscard]] auto rebind(Request& request, const RouteTable& routes, const Dialect& dialect,
    const EdgeFaults& faults) -> std::optional<RequestRejection>;

}  // namespace duneturn
