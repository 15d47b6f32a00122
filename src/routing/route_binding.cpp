#include "routing/route_binding.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "base/hash.hpp"
#include "state/tenants.hpp"

namespace duneturn {
namespace {

constexpr auto SHARE_SEED = 11;  // each use of hash64 has a seed of its own
constexpr auto UNROUTED = "its mapping is no longer configured";
constexpr auto NO_KEY = "one header with a key that is in force is needed";
constexpr auto NO_COMMON_HOME = "its mapping and its tenant have no home region in common";

// Why nothing of a configuration binds a request.
enum class BindingFault { NoConfiguration, NoRoute, KeyRefused, NoCommonHome };

// What a configuration says of a request.
struct Binding {
    Route route;
    const Tenant* tenant = nullptr;
};

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

// The route as it holds for this request: the service that its name draws of several, and the model that it
// asks for.
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

auto findBinding(const Request& request, const RouteTable& routes) -> tl::expected<Binding, BindingFault> {
    auto& received = request.received;
    if (!routes.configVersion) return tl::unexpected(BindingFault::NoConfiguration);
    auto index = routes.match(received.method, received.host, received.path);
    if (index < 0) return tl::unexpected(BindingFault::NoRoute);
    auto& route = routes.routes[std::size_t(index)];
    auto binding =
        Binding{routeFor(received, route, routes), request.tenant.key.findTenant(routes.tenants())};
    if (!binding.tenant && !route.isPublic && routes.tenants().needsKeys())
        return tl::unexpected(BindingFault::KeyRefused);
    if (binding.tenant && !narrowHomes(binding.route, binding.tenant->homes, received.region))
        return tl::unexpected(BindingFault::NoCommonHome);
    return binding;
}

auto refusalAtFirst(BindingFault fault) -> RequestRejection {
    switch (fault) {
    case BindingFault::NoConfiguration: return {503, "no configuration yet"};
    case BindingFault::NoRoute: return {404, "no mapping for this path"};
    case BindingFault::KeyRefused: return {KEY_REJECTED_STATUS, NO_KEY};
    case BindingFault::NoCommonHome: return {503, NO_COMMON_HOME};
    }
    return {};
}

// What may have run is not refused as if it had not.
auto refusalUnderWay(BindingFault fault, const Request& request) -> RequestRejection {
    auto mayHaveRun = request.attempts.tracker.mayHaveRun();
    switch (fault) {
    case BindingFault::KeyRefused: return {mayHaveRun ? 502 : KEY_REJECTED_STATUS, NO_KEY};
    case BindingFault::NoCommonHome: return {503, NO_COMMON_HOME};
    default: return {503, UNROUTED};
    }
}

auto isAnother(const Route& route, const Route& bound) -> bool {
    return route.name != bound.name || route.model != bound.model || route.stream != bound.stream;
}

auto nameOf(const Tenant* tenant) -> std::string { return tenant ? tenant->name : ""; }

auto take(Request& request, Binding binding, const RouteTable& routes) -> void {
    request.route = std::move(binding.route);
    request.tenant.take(binding.tenant);
    request.limits.routesRevision = routes.revision;
}

}  // namespace

auto bind(Request& request, const RouteTable& routes) -> std::optional<RequestRejection> {
    auto binding = findBinding(request, routes);
    if (!binding) return refusalAtFirst(binding.error());
    take(request, std::move(*binding), routes);
    return std::nullopt;
}

auto rebind(Request& request, const RouteTable& routes, const Dialect& dialect, const EdgeFaults& faults)
    -> std::optional<RequestRejection> {
    if (request.limits.routesRevision == routes.revision || faults.keepFirstConfiguration)
        return std::nullopt;
    auto binding = findBinding(request, routes);
    if (!binding) return refusalUnderWay(binding.error(), request);
    auto hasBegun = request.attempts.tracker.mayHaveRun() || request.attempts.sent > 0;
    if ((hasBegun || !dialect.clientNamesRequests) && isAnother(binding->route, request.route))
        return RequestRejection{503, UNROUTED};
    if (hasBegun && nameOf(binding->tenant) != request.tenant.name)
        return RequestRejection{503, "its key now belongs to another tenant"};
    take(request, std::move(*binding), routes);
    request.limits.migrationDisabled =
        request.limits.migrationDisabled || request.limits.sequenceTokens > request.route.maxSequenceTokens;
    return std::nullopt;
}

}  // namespace duneturn
