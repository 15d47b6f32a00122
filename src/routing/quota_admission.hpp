#pragma once
// Quota tokens of requests. A request reserves a token of its tenant's quota when it is admitted, spends it
// when its first byte is sent to a server, and returns it if it ends before that.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "quota/quota_account.hpp"
#include "routing/request.hpp"

namespace duneturn {

/// How a request's wait for a quota token ended.
enum class QuotaWaitOutcome {
    Admitted,  ///< It has a token.
    Rejected,  ///< Its tenant's quota is exceeded.
    TimedOut,  ///< The quota granter did not answer in time.
};

/// Reserves and spends quota tokens for the requests of one node. A request needs one token, however many
/// attempts it makes. `requests` and `node` must outlive this object.
class QuotaAdmission {
  public:
    QuotaAdmission(std::map<std::int64_t, Request>& requests, Node& node, Counters& counters)
        : requests_(requests), node_(node), counters_(counters) {}

    /// Reserves a token for a new request; Granted without a token if the request has no tenant. On Wait, the
    /// outcome follows by `serveWaiting`.
    [[nodiscard]] auto reserve(Request& request, Microseconds now) -> QuotaDecision;
    /// Retries the waiting requests in the order of their arrival, and calls `onWaitEnded` for each that has
    /// a token, was rejected or has waited too long.
    auto serveWaiting(const std::function<void(Request&, QuotaWaitOutcome)>& onWaitEnded, Microseconds now)
        -> void;
    /// Spends the request's token; called just before its first byte is sent. False if the token has expired
    /// and no other is available at once: the request must not be sent.
    [[nodiscard]] auto spend(Request& request, Microseconds now) -> bool;
    /// Returns the token of a request that ended without having been sent, or ends its wait.
    auto release(Request& request, Microseconds now) -> void;

  private:
    auto reserveAndSpend(Request& request, Microseconds now) -> bool;

    std::map<std::int64_t, Request>& requests_;
    Node& node_;
    Counters& counters_;
    std::deque<std::int64_t> waiting_;  // ids of requests in the order of arrival; some may have ended
};

}  // namespace duneturn
