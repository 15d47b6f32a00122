#pragma once
// The retry budget: first attempts earn credit and retries cost credit, so that retries stay a small part of
// the traffic however many attempts fail.
#include <cstdint>
#include <map>
#include <string>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/attempt_state.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/fleet_size.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"

namespace duneturn {

/// Credit is counted in thousandths of an attempt. There is one account for all services, unless the
/// configuration sets a slack: then each service has its own account, because credit earned by the requests
/// of one service must not pay for extra load on the servers of another. Nodes with spare credit grant some
/// of it to nodes that lack credit.
class RetryBudget {
  public:
    RetryBudget(const RouteTable& routes, const Dialect& dialect, const FleetSize& fleet, Counters& counters,
        const EdgeFaults& faults)
        : routes_(routes), dialect_(dialect), fleet_(fleet), counters_(counters), faults_(faults) {}

    /// Whether the credit suffices for a retry of this request.
    [[nodiscard]] auto allows(const Request& request, Microseconds now) -> bool;
    /// Deducts the cost of a retry.
    auto pay(const Request& request, Microseconds now) -> void;
    /// Records that the credit did not suffice for a retry, and asks other nodes for credit for a while.
    auto recordShortage(Microseconds now) -> void;
    /// Records that an attempt is about to be sent. The first attempt of a request earns credit. If the
    /// client lost its node and resumes its stream here, the request was first sent by that node, so its
    /// first attempt here costs credit like a retry.
    auto recordAttempt(Request& request, Microseconds now) -> void;
    /// Whether a retry after a failed attempt with this outcome costs credit. Where clients name requests,
    /// the budget limits arrivals at servers, so a retry after an attempt that did not arrive is free.
    [[nodiscard]] auto isCharged(Execution execution) const -> bool;

    /// Adds credit that another node granted to this one.
    auto receiveGrant(std::int64_t credit) -> void;
    /// Publishes the credit of this node and whether it needs more, and grants spare credit to other nodes.
    auto tick(Node& node, Microseconds now) -> void;
    /// The credit of the account for all services.
    [[nodiscard]] auto credit() const -> std::int64_t { return credit_; }

  private:
    struct ServiceAccount {
        std::int64_t credit = 0;
        bool opened = false;
    };
    [[nodiscard]] auto cost(const Request& request) const -> std::int64_t;
    auto account(const std::string& service, Microseconds now) -> std::int64_t&;
    auto grantToOthers(Node& node, Microseconds now) -> void;

    const RouteTable& routes_;
    const Dialect& dialect_;
    const FleetSize& fleet_;
    Counters& counters_;
    const EdgeFaults& faults_;
    std::int64_t credit_ = 0;
    std::map<std::string, ServiceAccount> accounts_;  // by service; used if the configuration sets a slack
    Microseconds shortageAt_ = 0, grantedAt_ = 0;
};

}  // namespace duneturn
