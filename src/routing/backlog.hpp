#pragma once
// The queues of requests that wait for a server with room, one for each service.
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

/// Counts the places taken; the requests themselves stay where they are. The more urgent go first
/// (Request::isMoreUrgentThan), and of the same urgency the one with the nearer deadline.
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
    /// Whether a request would wait longer than it may, as far as that can be said.
    [[nodiscard]] auto wouldWaitTooLong(const Request& request, Microseconds now) -> bool;
    /// The least urgent of the waiting requests that are less urgent than `request`, and of those the one
    /// with the latest deadline; null if there is none.
    [[nodiscard]] auto lessUrgent(const Request& request) -> Request*;
    /// Takes a place; gives how many wait before it.
    auto enter(Request& request, Microseconds now) -> std::size_t;
    /// Gives the place back, if the request has one.
    auto leave(Request& request) -> void;
    /// All waiting requests in the order in which they are served.
    [[nodiscard]] auto inOrder() -> std::vector<Request*>;
    /// Places taken, for judging leaks.
    [[nodiscard]] auto count() const -> std::size_t;

  private:
    std::map<std::int64_t, Request>& requests_;
    const Node& node_;
    const RouteTable& routes_;
    const Dialect& dialect_;
    ServerStatisticsTable& statistics_;
    const FleetSize& fleet_;
    const EdgeFaults& faults_;
    std::map<std::string, std::size_t> places_;  // taken, by service
};

}  // namespace duneturn
