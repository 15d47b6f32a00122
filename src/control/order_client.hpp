#pragma once
// The side of the node that an operator speaks to: brings orders and reads to the leader, sends them
// again when the leader changes or is silent, and matches the answers.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/order_service.hpp"

namespace duneturn {

constexpr Microseconds ORDER_TIMEOUT =
    4500 * MILLISECOND;  // an order not acknowledged within this is of unknown outcome
constexpr Microseconds READ_TIMEOUT = 4 * SECOND;
constexpr Microseconds LEADER_SILENCE = 1 * SECOND;  // after this an order is sent again

/// How soon an order is sent again.
struct OrderRetry {
    Microseconds notLeader = 200 * MILLISECOND;  // after a node that said that it does not lead
    Microseconds noLeader = 100 * MILLISECOND;   // while no leader is known
    bool followsLeader = false;                  // at once, when another leader becomes known
};

struct OrderClientPort {
    virtual ~OrderClientPort() = default;
    /// The node that leads as far as known, looked up now or as last seen; empty if none.
    virtual auto findLeader(Microseconds now) -> std::string = 0;
    virtual auto lastLeader() -> std::string = 0;
    /// Brings a request to a node, which may be this one.
    virtual auto sendOrder(const std::string& node, wire::OrderRequest& ask, Microseconds now) -> void = 0;
    virtual auto orderDone(std::int64_t id, const Outcome& outcome) -> void = 0;
};

class OrderClient {
  public:
    /// `firstRequest`: where the requests' numbers begin; differs from one life of a node to another.
    OrderClient(OrderClientPort& port, OrderRetry retry, std::int64_t firstRequest)
        : port_(port), retry_(retry), lastRequest_(firstRequest) {}

    /// Begins an order or a read, known to the caller as `id`; answered through orderDone.
    auto order(std::int64_t id, const std::string& op, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    /// The caller has gone: what is not sent yet is not sent any more. Answered at once.
    auto cancel(std::int64_t id) -> void;
    auto answered(const wire::OrderReply& reply, std::int64_t boot, Microseconds now) -> void;
    /// `boot`: this node's life, which answers must name.
    auto tick(std::int64_t boot, Microseconds now) -> void;

  private:
    struct Pending {
        std::int64_t id = 0, request = 0;
        std::string body;
        bool read = false;
        Microseconds due = 0, next = 0;
        bool sent = false;
        std::string to;       // the node it was sent to last
        int outstanding = 0;  // sends that no node has said to have done nothing with
    };
    auto start(std::int64_t id, const std::string& body, bool read, Microseconds timeout, Microseconds now)
        -> void;
    auto find(std::int64_t request) -> Pending*;
    auto finish(std::int64_t request, const Outcome& outcome) -> void;
    auto step(Pending& pending, std::int64_t boot, Microseconds now) -> void;
    static auto timedOut(const Pending& pending) -> Outcome;

    OrderClientPort& port_;
    OrderRetry retry_;
    std::int64_t lastRequest_;
    std::vector<Pending> pending_;
};

}  // namespace duneturn
