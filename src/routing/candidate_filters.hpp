#pragma once
// The filters that narrow the servers a request may go to: one function for each decision, over what
// that decision needs.
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

/// A server that a request may go to.
struct Candidate {
    const std::string* name = nullptr;
    const KnownServer* server = nullptr;
    double occupancy = 0;  ///< Requests it is known to hold, as a part of its slots.
};

// Rules. They are asked when a server is chosen, and again just before the first byte.

/// Of the route's service.
[[nodiscard]] auto isOfService(const KnownServer& server, const Route& route) -> bool;
/// Listed with an address, not draining, and not known to be another one's address by now.
[[nodiscard]] auto isListed(
    const KnownServer& server, const ServerStatistics* statistics, const EdgeFaults& faults) -> bool;
/// Not in a zone that an operator evacuated.
[[nodiscard]] auto isOutsideEvacuatedZones(const KnownServer& server, const ReplicatedState& state) -> bool;
/// In one of the route's home regions. They are never left.
[[nodiscard]] auto isInHomeRegion(const KnownServer& server, const Request& request, const EdgeFaults& faults)
    -> bool;
/// Of the weights version of which a stream's events were relayed. On a wire where clients name requests
/// a server whose version the list does not name passes, and is judged by its answer's head.
[[nodiscard]] auto hasStreamWeights(const KnownServer& server, const Request& request, const Dialect& dialect,
    const EdgeFaults& faults) -> bool;
/// In the client's region, or in one that takes its overflow.
[[nodiscard]] auto isInAllowedRegion(
    const KnownServer& server, const Request& request, const Dialect& dialect) -> bool;

// Judgements of the moment.

/// Not ejected as an outlier, not silent, and fit enough. `rule`: null if the configuration says nothing
/// of the service.
[[nodiscard]] auto isFit(const Candidate& candidate, const ServerStatistics& statistics, const Route& route,
    const ServiceRule* rule, double leastFitness, Microseconds now) -> bool;
/// Whether a service's server has room in its slots and in its connections, of which this node's share is
/// `connectionShare`. `threshold`: the part of the slots that may be filled.
[[nodiscard]] auto hasRoom(const Candidate& candidate, const ServerStatistics& statistics,
    const ServiceRule& rule, int slots, std::size_t connectionShare, double threshold) -> bool;
/// Whether a list of servers names this one.
[[nodiscard]] auto isAmong(const std::vector<std::string>& servers, const Candidate& candidate) -> bool;

}  // namespace duneturn
