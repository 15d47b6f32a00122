#pragma once
// Filters that narrow the servers eligible for a request. Each is a function of exactly the inputs that its
// decision needs.
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// A server that is considered for a request. The pointers refer to the entry of Node::servers().
struct Candidate {
    const std::string* name = nullptr;
    const KnownServer* server = nullptr;
    double occupancy = 0;  ///< Requests it is known to run or queue, divided by its slots.
};

// Eligibility rules. They hold whatever the load, and are checked when a server is selected and again just
// before the first byte of the request is sent.

/// Whether the server belongs to the route's service.
[[nodiscard]] auto isOfService(const KnownServer& server, const Route& route) -> bool;
/// Whether the server is listed with an address and not draining, and its address is not known to be in use
/// by another server. `statistics` may be null.
[[nodiscard]] auto isListed(
    const KnownServer& server, const ServerStatistics* statistics, const EdgeFaults& faults) -> bool;
/// Whether the server is outside the zones that an operator evacuated.
[[nodiscard]] auto isOutsideEvacuatedZones(const KnownServer& server, const ReplicatedState& state) -> bool;
/// Whether the server is in one of the route's home regions, which a request never leaves. Precondition: the
/// route has home regions.
[[nodiscard]] auto isInHomeRegion(const KnownServer& server, const Request& request, const EdgeFaults& faults)
    -> bool;
/// Whether the server runs the weights version that produced the events relayed so far. Where clients name
/// requests, a server listed without a version passes; the head of its answer is checked instead.
[[nodiscard]] auto hasStreamWeights(const KnownServer& server, const Request& request, const Dialect& dialect,
    const EdgeFaults& faults) -> bool;
/// Whether the server is in the client's region or in one of the route's spillover regions.
[[nodiscard]] auto isInAllowedRegion(
    const KnownServer& server, const Request& request, const Dialect& dialect) -> bool;

// Health and capacity checks, which depend on the server's current state.

/// Whether the server is not ejected as an outlier, not unresponsive, and has at least `minHealthScore`.
/// `rule` is null if the service has no rule; then only reported loads and the health score are checked.
[[nodiscard]] auto isHealthy(const Candidate& candidate, const ServerStatistics& statistics,
    const Route& route, const ServiceRule* rule, double minHealthScore, Microseconds now) -> bool;
/// Whether the server has a free slot and this node may open another connection to it. `connectionShare`:
/// this node's share of the server's connections. `threshold`: the fraction of the slots that may be filled.
[[nodiscard]] auto hasCapacity(const Candidate& candidate, const ServerStatistics& statistics,
    const ServiceRule& rule, int slots, std::size_t connectionShare, double threshold) -> bool;
/// Whether a list of server names contains the candidate.
[[nodiscard]] auto containsServer(const std::vector<std::string>& servers, const Candidate& candidate)
    -> bool;

}  // namespace duneturn
