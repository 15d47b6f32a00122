#include "routing/route_binding.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/hash.hpp"

namespace duneturn {
namespace {

constexpr auto SHARE_SEED = 11;  // each use of hash64 has a seed of its own

// The service that a request's name draws, by the services' shares.
auto drawnService(const std::string& name, const Route& route) -> std::string {
    auto sum = std::int64_t(0);
    for (auto& [service, share] : route.serviceShares) sum += share;
    auto at = std::int64_t(hash64(name, SHARE_SEED) % std::uint64_t(std::max<std::int64_t>(1, sum)));
    for (auto& [service, share] : route.serviceShares) {
        if (at < share) return service;
        at -= share;
    }
    return route.service;
}

}  // namespace

auto routeFor(const ReceivedRequest& request, const Route& route, const RouteTable& routes) -> Route {
    auto own = route;
    if (!own.serviceShares.empty()) own.service = drawnService(request.name, route);
    if (request.model.empty() || !own.stream) return own;
    own.model = request.model;
    auto model = routes.models.find(own.model);
    own.migrationLimit = model == routes.models.end() ? 0 : model->second.migrationLimit;
    if (model != routes.models.end()) own.maxSequenceTokens = model->second.maxSequenceTokens;
    return own;
}

auto rebind(Request& request, const RouteTable& routes, const Dialect& dialect, const EdgeFaults& faults)
    -> bool {
    if (request.limits.routesRevision == routes.revision || faults.oldRules) return true;
    auto& received = request.received;
    auto index = routes.match(received.method, received.host, received.path);
    if (index < 0) return false;
    auto route = routeFor(received, routes.routes[std::size_t(index)], routes);
    auto& bound = request.route;
    auto hasBegun =
        request.attempts.tracker.mayHaveRun() || request.attempts.sent > 0 || !dialect.clientNamesRequests;
    auto isAnother = route.name != bound.name || route.model != bound.model || route.stream != bound.stream;
    if (hasBegun && isAnother) return false;
    bound = route;
    request.limits.routesRevision = routes.revision;
    request.limits.immovable =
        request.limits.immovable || request.limits.sequenceTokens > bound.maxSequenceTokens;
    return true;
}

}  // namespace duneturn
