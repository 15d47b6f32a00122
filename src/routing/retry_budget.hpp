#pragma once
// The retry budget: first attempts earn credit, further attempts cost it, so that retries stay a small
// part of the traffic however much fails.
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

/// Credit is counted in thousandths of an attempt. There is one account for all services, or, where the
/// configuration names a slack, one for each service, since what one service's requests earned must not
/// fall on another service's servers. Nodes with credit to spare grant some to nodes that lack it.
class RetryBudget {
  public:
    RetryBudget(const RouteTable& routes, const Dialect& dialect, const FleetSize& fleet, Counters& counters,
        const EdgeFaults& faults)
        : routes_(routes), dialect_(dialect), fleet_(fleet), counters_(counters), faults_(faults) {}

    /// Whether a further attempt of this request can be paid.
    [[nodiscard]] auto allows(const Request& request, Microseconds now) -> bool;
    auto pay(const Request& request, Microseconds now) -> void;
    /// A further attempt could not be paid; other nodes are asked for credit.
    auto recordShortage(Microseconds now) -> void;
    /// An attempt is about to be sent. The first of a request earns credit; one that carries on a stream
    /// whose client lost its node was begun elsewhere, so it is a further one.
    auto recordAttempt(Request& request, Microseconds now) -> void;
    /// Whether an attempt with this outcome counts as an arrival, which the budget pays for. Where
    /// arrivals are what is counted, what did not arrive costs nothing.
    [[nodiscard]] auto countsAsFurther(Execution execution) const -> bool;

    /// Another node granted credit to this one.
    auto receiveGrant(std::int64_t credit) -> void;
    /// Publishes how this node stands, and grants what it can spare.
    auto tick(Node& node, Microseconds now) -> void;
    /// Of the account for all services.
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
    std::map<std::string, ServiceAccount> accounts_;  // by service, where the configuration names a slack
    Microseconds shortageAt_ = 0, grantedAt_ = 0;
};

}  // namespace duneturn
