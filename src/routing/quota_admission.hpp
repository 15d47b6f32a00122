#pragma once
// A request's token of its tenant's quota: taken when it is admitted, spent with its first byte to a server,
// returned if nothing was sent.
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

/// What becomes of a request that waited for a token.
enum class QuotaVerdict {
    Admitted,    ///< It has a token.
    Refused,     ///< Its tenant is beyond its limit.
    Unanswered,  ///< The granter did not answer in time.
};

/// The requests of one node that need tokens. A request counts once, however many attempts it makes.
class QuotaAdmission {
  public:
    QuotaAdmission(std::map<std::int64_t, Request>& requests, Node& node, Counters& counters)
        : requests_(requests), node_(node), counters_(counters) {}

    /// A request was accepted. If it has to wait, it is among those of `serveWaiting` from now on.
    [[nodiscard]] auto ask(Request& request, Microseconds now) -> QuotaDecision;
    /// Goes through the waiting requests, in the order in which they came; `settle` is called for each
    /// that waits no longer.
    auto serveWaiting(const std::function<void(Request&, QuotaVerdict)>& settle, Microseconds now) -> void;
    /// The request is about to be sent. False if its token is void and there is no other.
    [[nodiscard]] auto spend(Request& request, Microseconds now) -> bool;
    /// The request has ended.
    auto release(Request& request, Microseconds now) -> void;

  private:
    auto reserveNow(Request& request, Microseconds now) -> bool;

    std::map<std::int64_t, Request>& requests_;
    Node& node_;
    Counters& counters_;
    std::deque<std::int64_t> waiting_;
};

}  // namespace duneturn
