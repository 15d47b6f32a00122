#include "routing/candidate_filters.hpp"

#include <algorithm>
#include <cstddef>

namespace duneturn {
namespace {

// After a break what may not be repeated waits longer before it tries a server again.
constexpr auto UNREPEATABLE_CAUTION = 2 * SECOND;

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
        return server.listing.region == homeRegion(home, request.received.region);
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
    if (!route.homes.empty() || (dialect.clientNamesRequests && route.spillRegions.empty())) return true;
    auto& region = server.listing.region;
    return region == request.received.region
        || std::find(route.spillRegions.begin(), route.spillRegions.end(), region)
        != route.spillRegions.end();
}

auto isFit(const Candidate& candidate, const ServerStatistics& statistics, const Route& route,
    const ServiceRule* rule, double leastFitness, Microseconds now) -> bool {
    auto& ejection = statistics.ejection;
    if (rule && statistics.isSilent(now)) return false;
    // After a break, one request at a time; one that may run again comes first.
    auto caution = route.mayRunAgain() ? 0 : UNREPEATABLE_CAUTION;
    if (rule && ejection.wasEjected() && (statistics.inflight > 0 || now < ejection.ejectedUntil() + caution))
        return false;
    auto& server = *candidate.server;
    auto isDark = server.loadReadAt && now - server.loadReadAt < LOAD_MAX_AGE && server.load.dark;
    return !isDark && ejection.healthScore(now) >= leastFitness;
}

auto hasRoom(const Candidate& candidate, const ServerStatistics& statistics, const ServiceRule& rule,
    int slots, std::size_t connectionShare, double threshold) -> bool {
    // An engine's own queue may hold a few; a plain server's holds one.
    auto capacity = slots + (rule.isEngine ? std::max(2, slots / 8) : 1);
    auto own = std::size_t(statistics.inflight);
    auto connections = candidate.occupancy < 0.5 ? 2 * connectionShare : connectionShare;
    if (rule.maxConnections > 0 && own >= connections) return false;
    return candidate.occupancy * slots < threshold * capacity;
}

auto isAmong(const std::vector<std::string>& servers, const Candidate& candidate) -> bool {
    return std::find(servers.begin(), servers.end(), *candidate.name) != servers.end();
}

}  // namespace duneturn
