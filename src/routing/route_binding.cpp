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
constexpr auto ROUTE_REMOVED = "its mapping is no longer configured";
constexpr auto KEY_REQUIRED = "one header with a key that is in force is needed";
constexpr auto NO_COMMON_HOME = "its mapping and its tenant have no home region in common";

// Why a configuration does not allow a request.
enum class BindingFault { NoConfiguration, NoRoute, KeyRejected, NoCommonHome };

// The route and the tenant of a request; the tenant is null for a request without a valid key.
struct Binding {
    Route route;
    const Tenant* tenant = nullptr;
};

// Chooses one of a route's services by the hash of the request's name, in proportion to the services' shares.
// So each attempt of a request goes to the same service, at every node.
auto chooseService(const std::string& name, const Route& route) -> std::string {
    auto total = std::int64_t(0);
    for (auto& [service, share] : route.serviceShares) total += share;
    auto position = std::int64_t(hash64(name, SHARE_SEED) % std::uint64_t(std::max<std::int64_t>(1, total)));
    for (auto& [service, share] : route.serviceShares) {
        if (position < share) return service;
        position -= share;
    }
    return route.service;
}

// Returns the route specialized for one request: with the service chosen by its name, and with the limits of
// the model that it asks for.
auto routeFor(const ReceivedRequest& request, const Route& route, const RouteTable& routes) -> Route {
    auto specialized = route;
    if (!specialized.serviceShares.empty()) specialized.service = chooseService(request.name, route);
    if (request.model.empty() || !specialized.stream) return specialized;
    specialized.model = request.model;
    auto model = routes.models.find(specialized.model);
    specialized.migrationLimit = model == routes.models.end() ? 0 : model->second.migrationLimit;
    if (model != routes.models.end()) specialized.maxSequenceTokens = model->second.maxSequenceTokens;
    return specialized;
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
        return tl::unexpected(BindingFault::KeyRejected);
    if (binding.tenant && !restrictHomeRegions(binding.route, binding.tenant->homes, received.region))
        return tl::unexpected(BindingFault::NoCommonHome);
    return binding;
}

auto rejectionOfNewRequest(BindingFault fault) -> RequestRejection {
    switch (fault) {
    case BindingFault::NoConfiguration: return {503, "no configuration yet"};
    case BindingFault::NoRoute: return {404, "no mapping for this path"};
    case BindingFault::KeyRejected: return {KEY_REJECTED_STATUS, KEY_REQUIRED};
    case BindingFault::NoCommonHome: return {503, NO_COMMON_HOME};
    }
    return {};
}

// Returns the rejection of an active request. One that a server may have executed gets a 502, since it must
// not look like a request that was rejected before anything ran.
auto rejectionOfActiveRequest(BindingFault fault, const Request& request) -> RequestRejection {
    auto mayHaveRun = request.attempts.tracker.mayHaveRun();
    switch (fault) {
    case BindingFault::KeyRejected: return {mayHaveRun ? 502 : KEY_REJECTED_STATUS, KEY_REQUIRED};
    case BindingFault::NoCommonHome: return {503, NO_COMMON_HOME};
    default: return {503, ROUTE_REMOVED};
    }
}

// Whether two routes differ in what a request that was sent under one of them must keep.
auto isDifferentRoute(const Route& route, const Route& bound) -> bool {
    return route.name != bound.name || route.model != bound.model || route.stream != bound.stream;
}

auto nameOf(const Tenant* tenant) -> std::string { return tenant ? tenant->name : ""; }

auto applyBinding(Request& request, Binding binding, const RouteTable& routes) -> void {
    request.route = std::move(binding.route);
    request.tenant.assign(binding.tenant);
    request.limits.routesRevision = routes.revision;
}

}  // namespace

auto bind(Request& request, const RouteTable& routes) -> std::optional<RequestRejection> {
    auto binding = findBinding(request, routes);
    if (!binding) return rejectionOfNewRequest(binding.error());
    applyBinding(request, std::move(*binding), routes);
    return std::nullopt;
}

auto rebind(Request& request, const RouteTable& routes, const Dialect& dialect, const EdgeFaults& faults)
    -> std::optional<RequestRejection> {
    if (request.limits.routesRevision == routes.revision || faults.keepFirstConfiguration)
        return std::nullopt;
    auto binding = findBinding(request, routes);
    if (!binding) return rejectionOfActiveRequest(binding.error(), request);
    auto wasSent = request.attempts.tracker.mayHaveRun() || request.attempts.sent > 0;
    if ((wasSent || !dialect.clientNamesRequests) && isDifferentRoute(binding->route, request.route))
        return RequestRejection{503, ROUTE_REMOVED};
    if (wasSent && nameOf(binding->tenant) != request.tenant.name)
        return RequestRejection{503, "its key now belongs to another tenant"};
    applyBinding(request, std::move(*binding), routes);
    request.limits.migrationDisabled =
        request.limits.migrationDisabled || request.limits.sequenceTokens > request.route.maxSequenceTokens;
    return std::nullopt;
}

}  // namespace duneturn
