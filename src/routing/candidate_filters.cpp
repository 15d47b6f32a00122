#include "routing/candidate_filters.hpp"

#include <algorithm>
#include <cstddef>

namespace duneturn {
namespace {

// How much longer an ejected server is avoided by requests that may not be repeated, so that a repeatable
// request tries the server first.
constexpr auto NON_REPEATABLE_DELAY = 2 * SECOND;

}  // namespace

auto isOfService(const KnownServer& server, const Route& route) -> bool {
    return server.listing.serviceName == route.service;
}

auto isListed(const KnownServer& server, const ServerStatistics* statistics, const EdgeFaults& faults)
    -> bool {
    if (statistics && statistics->wrongAddressRevision >= server.listing.revision) return false;
    return !server.listing.address.empty() && (server.listing.state == UP || faults.ignoreDraining);
}

auto isOutsideEvacuatedZones(const KnownServer& server, const ReplicatedState& state) -> bool {
    return !state.evacuated(server.listing.zone);
}

auto isInHomeRegion(const KnownServer& server, const Request& request, const EdgeFaults& faults) -> bool {
    auto& homes = request.route.homes;
    return faults.ignoreHomeRegion || std::any_of(homes.begin(), homes.end(), [&](auto& home) {
        return server.listing.region == resolveHomeRegion(home, request.received.region);
    });
}

auto hasStreamWeights(const KnownServer& server, const Request& request, const Dialect& dialect,
    const EdgeFaults& faults) -> bool {
    if (dialect.clientNamesRequests && server.listing.weights.empty()) return true;
    auto& relayed = request.relayed;
    return faults.ignoreWeightsVersion || relayed.weights.empty() || relayed.lastEventId < 0
        || server.listing.weights == relayed.weights;
}

auto isInAllowedRegion(const KnownServer& server, const Request& request, const Dialect& dialect) -> bool {
    auto& route = request.route;
    if (!route.homes.empty() || (dialect.clientNamesRequests && route.spilloverRegions.empty())) return true;
    auto& region = server.listing.region;
    return region == request.received.region
        || std::find(route.spilloverRegions.begin(), route.spilloverRegions.end(), region)
        != route.spilloverRegions.end();
}

auto isHealthy(const Candidate& candidate, const ServerStatistics& statistics, const Route& route,
    const ServiceRule* rule, double minHealthScore, Microseconds now) -> bool {
    auto& ejection = statistics.ejection;
    if (rule && statistics.isSilent(now)) return false;
    // After an ejection the server takes one request at a time until it has answered one.
    auto extraDelay = route.mayRunAgain() ? 0 : NON_REPEATABLE_DELAY;
    if (rule && ejection.wasEjected()
        && (statistics.inflight > 0 || now < ejection.ejectedUntil() + extraDelay))
        return false;
    auto& server = *candidate.server;
    auto isUnresponsive = server.loadReadAt && now - server.loadReadAt < LOAD_MAX_AGE && server.load.dark;
    return !isUnresponsive && ejection.healthScore(now) >= minHealthScore;
}

auto hasCapacity(const Candidate& candidate, const ServerStatistics& statistics, const ServiceRule& rule,
    int slots, std::size_t connectionShare, double threshold) -> bool {
    // An inference engine may queue an eighth of its slots, at least two requests; a plain server queues one.
    auto capacity = slots + (rule.isEngine ? std::max(2, slots / 8) : 1);
    auto connections = std::size_t(statistics.inflight);
    // A server that is less than half full has connections to spare, so each node may use twice its share.
    auto maxConnections = candidate.occupancy < 0.5 ? 2 * connectionShare : connectionShare;
    if (rule.maxConnections > 0 && connections >= maxConnections) return false;
    return candidate.occupancy * slots < threshold * capacity;
}

auto containsServer(const std::vector<std::string>& servers, const Candidate& candidate) -> bool {
    return std::find(servers.begin(), servers.end(), *candidate.name) != servers.end();
}

}  // namespace duneturn
