#pragma once
// The queues of requests that wait for a server with capacity, one for each service.
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/fleet_size.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// Counts the queued requests of each service. The requests stay in the map of their Edge, which must outlive
/// the backlog; Request::queueEntry marks the queued ones. The more urgent request is dispatched first
/// (Request::isMoreUrgentThan), and among equally urgent ones the one with the earlier deadline.
class Backlog {
  public:
    Backlog(std::map<std::int64_t, Request>& requests, const Node& node, const RouteTable& routes,
        const Dialect& dialect, ServerStatisticsTable& statistics, const FleetSize& fleet,
        const EdgeFaults& faults)
        : requests_(requests),
          node_(node),
          routes_(routes),
          dialect_(dialect),
          statistics_(statistics),
          fleet_(fleet),
          faults_(faults) {}

    [[nodiscard]] auto isEmpty(const std::string& service) const -> bool;
    [[nodiscard]] auto isFull(const Route& route) const -> bool;
    /// Whether a request is expected to wait beyond its deadline or its route's queue timeout. False where
    /// nothing is known about the service's servers or the duration of its requests.
    [[nodiscard]] auto wouldWaitTooLong(const Request& request, Microseconds now) -> bool;
    /// The least urgent of the queued requests that are less urgent than `request`, among equals the one
    /// with the latest deadline; null if no queued request is less urgent.
    [[nodiscard]] auto leastUrgentBelow(const Request& request) -> Request*;
    /// Queues a request. Returns how many requests of its service were queued before.
    auto enter(Request& request, Microseconds now) -> std::size_t;
    /// Removes a request from its queue, if it is queued.
    auto leave(Request& request) -> void;
    /// All queued requests in the order in which they are to be dispatched.
    [[nodiscard]] auto inDispatchOrder() -> std::vector<Request*>;
    /// The number of queue entries of all services; tests check that none leaks.
    [[nodiscard]] auto count() const -> std::size_t;

  private:
    std::map<std::int64_t, Request>& requests_;
    const Node& node_;
    const RouteTable& routes_;
    const Dialect& dialect_;
    ServerStatisticsTable& statistics_;
    const FleetSize& fleet_;
    const EdgeFaults& faults_;
    std::map<std::string, std::size_t> queueLengths_;  // by service
};

}  // namespace duneturn
