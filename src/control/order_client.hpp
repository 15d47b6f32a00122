#pragma once
// Forwards operators' commands and linearizable reads from a node to the leader. It retries them when the
// leader changes or does not answer, and matches answers to requests. A retried command carries the same
// idempotency key, so it is applied only once.
//
// In names, `order` means a command or, as in OrderClient and OrderRequest, a command or a read.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/order_service.hpp"

namespace duneturn {

/// A command that is not acknowledged within this time has an unknown outcome, unless it was never sent or
/// each send was answered with NOT_LEADER: then it was not logged.
constexpr Microseconds ORDER_TIMEOUT = 4500 * MILLISECOND;
/// A read fails if no leader answers it within this time.
constexpr Microseconds READ_TIMEOUT = 4 * SECOND;
/// A request that is unanswered for this time is sent again.
constexpr Microseconds LEADER_RESPONSE_TIMEOUT = 1 * SECOND;

/// Delays before a request is sent again.
struct OrderRetry {
    Microseconds notLeader = 200 * MILLISECOND;  // after an answer from a node that does not lead
    Microseconds noLeader = 100 * MILLISECOND;   // while no leader is known
    bool followsLeader = false;                  // whether to resend at once when another leader is known
};

/// The environment of an OrderClient.
struct OrderClientPort {
    virtual ~OrderClientPort() = default;
    /// Looks up the node that currently leads; empty if none is known.
    virtual auto findLeader(Microseconds now) -> std::string = 0;
    /// The last known leader, without a new look-up; empty if none has been known.
    virtual auto lastLeader() -> std::string = 0;
    /// Sends a request to a node, which may be this one. May call OrderClient::answered during the call.
    virtual auto sendOrder(const std::string& node, wire::OrderRequest& request, Microseconds now)
        -> void = 0;
    /// Reports the outcome of the command or read that the caller identified by `id`.
    virtual auto onOrderDone(std::int64_t id, const Outcome& outcome) -> void = 0;
};

/// The pending commands and reads of one node. Not thread-safe.
class OrderClient {
  public:
    /// `firstRequest`: the request numbers start after this one. They must differ between incarnations of a
    /// node; each start of its process is an incarnation.
    OrderClient(OrderClientPort& port, OrderRetry retry, std::int64_t firstRequest)
        : port_(port), retry_(retry), lastRequest_(firstRequest) {}

    /// Starts a command, which the caller identifies by `id`. The outcome is reported by onOrderDone.
    /// @param key the idempotency key.
    auto order(std::int64_t id, const std::string& operation, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    /// Starts a linearizable read, likewise.
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    /// Stops retrying for a caller that has disconnected. Reports an unknown outcome during the call.
    auto cancel(std::int64_t id) -> void;
    /// Handles a node's answer. `incarnation`: the current incarnation of this node; an answer to a request
    /// of an earlier incarnation is ignored.
    auto answered(const wire::OrderReply& reply, std::int64_t incarnation, Microseconds now) -> void;
    /// Sends what is due and finishes requests that have timed out.
    auto tick(std::int64_t incarnation, Microseconds now) -> void;

  private:
    enum class Kind { Command, Read };

    struct PendingRequest {
        Kind kind = Kind::Command;
        std::int64_t id = 0;       // chosen by the caller
        std::int64_t request = 0;  // the number sent to the leader
        std::string body;
        Microseconds deadline = 0;
        Microseconds nextSend = 0;
        bool sent = false;
        std::string sentTo;       // the node that the request was last sent to
        int unansweredSends = 0;  // sends that no node has answered with NOT_LEADER
    };

    auto start(PendingRequest pending, Microseconds timeout, Microseconds now) -> void;
    auto find(std::int64_t request) -> PendingRequest*;
    auto finish(std::int64_t request, const Outcome& outcome) -> void;
    auto sendIfDue(PendingRequest& pending, std::int64_t incarnation, Microseconds now) -> void;
    auto send(PendingRequest& pending, const std::string& leader, std::int64_t incarnation, Microseconds now)
        -> void;
    static auto timeoutOutcome(const PendingRequest& pending) -> Outcome;

    OrderClientPort& port_;
    OrderRetry retry_;
    std::int64_t lastRequest_;
    std::vector<PendingRequest> pending_;
};

}  // namespace duneturn
