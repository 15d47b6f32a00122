#pragma once
// The side of the node that an operator speaks to: brings commands and reads to the leader, retries them
// when the leader changes or is silent, and matches the answers. A retried command carries the same
// idempotency key, so it is applied once.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/order_service.hpp"

namespace duneturn {

/// A command that is not acknowledged within this is of unknown outcome.
constexpr Microseconds ORDER_TIMEOUT = 4500 * MILLISECOND;
/// A read that no leader has answered within this has failed.
constexpr Microseconds READ_TIMEOUT = 4 * SECOND;
/// After this without an answer a request is sent again.
constexpr Microseconds LEADER_SILENCE = 1 * SECOND;

/// How soon a request is sent again.
struct OrderRetry {
    Microseconds notLeader = 200 * MILLISECOND;  // after a node that said that it does not lead
    Microseconds noLeader = 100 * MILLISECOND;   // while no leader is known
    bool followsLeader = false;                  // at once, when another leader becomes known
};

/// What the client needs of its node.
struct OrderClientPort {
    virtual ~OrderClientPort() = default;
    /// The node that leads as far as known, looked up now or as last seen; empty if none.
    virtual auto findLeader(Microseconds now) -> std::string = 0;
    virtual auto lastLeader() -> std::string = 0;
    /// Brings a request to a node, which may be this one.
    virtual auto sendOrder(const std::string& node, wire::OrderRequest& request, Microseconds now)
        -> void = 0;
    /// The outcome of the command or read that the caller knows as `id`.
    virtual auto onOrderDone(std::int64_t id, const Outcome& outcome) -> void = 0;
};

class OrderClient {
  public:
    /// `firstRequest`: where the requests' numbers begin; differs from one boot of a node to another.
    OrderClient(OrderClientPort& port, OrderRetry retry, std::int64_t firstRequest)
        : port_(port), retry_(retry), lastRequest_(firstRequest) {}

    /// Begins a command or a read, known to the caller as `id`; answered through onOrderDone.
    auto order(std::int64_t id, const std::string& operation, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    /// The caller has gone: what is not sent yet is not sent any more. Answered at once.
    auto cancel(std::int64_t id) -> void;
    /// A node's answer. `boot`: this node's boot, which the answer must name.
    auto answered(const wire::OrderReply& reply, std::int64_t boot, Microseconds now) -> void;
    /// Sends what is due, and ends what has waited too long.
    auto tick(std::int64_t boot, Microseconds now) -> void;

  private:
    enum class Kind { Command, Read };

    struct PendingRequest {
        Kind kind = Kind::Command;
        std::int64_t id = 0;       // as the caller knows it
        std::int64_t request = 0;  // as the leader knows it
        std::string body;
        Microseconds deadline = 0;
        Microseconds nextSend = 0;
        bool sent = false;
        std::string sentTo;       // the node it was sent to last
        int unansweredSends = 0;  // that no node has said to have done nothing with
    };

    auto start(PendingRequest pending, Microseconds timeout, Microseconds now) -> void;
    auto find(std::int64_t request) -> PendingRequest*;
    auto finish(std::int64_t request, const Outcome& outcome) -> void;
    auto step(PendingRequest& pending, std::int64_t boot, Microseconds now) -> void;
    auto send(PendingRequest& pending, const std::string& leader, std::int64_t boot, Microseconds now)
        -> void;
    static auto timedOut(const PendingRequest& pending) -> Outcome;

    OrderClientPort& port_;
    OrderRetry retry_;
    std::int64_t lastRequest_;
    std::vector<PendingRequest> pending_;
};

}  // namespace duneturn
