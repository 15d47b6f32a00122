#pragma once
// The tokens of one tenant at one node, as counters that only increase within a granter's term. Free of I/O.
#include <cstdint>

#include "base/time.hpp"
#include "quota/demand_estimate.hpp"
#include "wire_types.h"

namespace duneturn {

/// One tenant's entry in a QuotaAccount. A token is free, reserved by a request, spent or returned, such that
/// free + reserved = carried + granted - spent - returned.
class TenantAccount {
  public:
    /// Whether the tenant has a limit; only then do its requests need tokens.
    bool limited = false;
    std::int64_t waitingRequests = 0;  ///< Requests that wait for a token.
    /// Identifies the reservations that are valid; those made under an earlier number are void.
    std::int64_t leaseNumber = 0;
    Microseconds rejectedUntil = 0;  ///< Until then requests are rejected without asking the granter.

    /// Tokens that no request has reserved.
    [[nodiscard]] auto available() const -> std::int64_t { return free_; }
    /// Tokens that may still be spent here: free and reserved ones.
    [[nodiscard]] auto outstanding() const -> std::int64_t { return free_ + reserved_; }
    [[nodiscard]] auto spent() const -> std::int64_t { return spent_; }
    /// Increases with each change that the granter has to be informed of.
    [[nodiscard]] auto version() const -> std::int64_t { return version_; }

    /// Counts a request in the estimate of the demand.
    auto recordRequest(Microseconds now) -> void { demand_.recordRequest(now); }
    /// Reserves a free token. Returns false if there is none.
    auto reserve() -> bool;
    /// Spends a reserved token.
    auto spend() -> void;
    /// Makes a reserved token free again.
    auto release() -> void;
    /// Returns all tokens to the granter, including reserved ones.
    auto returnAll() -> void;
    /// Updates the number of tokens to prefetch, and returns the tokens that have exceeded it for
    /// QUOTA_SURPLUS_TIME; at once if tokens are scarce.
    auto adjustPrefetch(Microseconds now) -> void;
    /// The counters for the next report; the caller fills in the tenant's name.
    [[nodiscard]] auto usage() const -> wire::QuotaUse;
    /// The granter has answered a report that contained this version and this number of spent tokens.
    auto acknowledge(std::int64_t version, std::int64_t spent) -> void;
    /// Whether the next report has to include this tenant.
    [[nodiscard]] auto needsReport() const -> bool {
        return waitingRequests > 0 || version_ > acknowledgedVersion_;
    }
    /// Adds newly granted tokens, and notes whether tokens are scarce or refused.
    auto applyAllowance(const wire::QuotaAllowance& allowance, Microseconds now) -> void;
    /// Restarts the counters for a new granter's term. Outstanding tokens and spends that no granter has
    /// acknowledged are carried into it. `omitCarriedTokens`: see QuotaFaults.
    auto beginTerm(bool omitCarriedTokens) -> void;

  private:
    auto returnFree(std::int64_t tokens) -> void;
    auto updatePrefetchTarget(std::int64_t target, Microseconds now) -> void;

    std::int64_t carried_ = 0, granted_ = 0, spent_ = 0, returned_ = 0;
    std::int64_t free_ = 0, reserved_ = 0;
    std::int64_t acknowledgedSpent_ = 0;
    std::int64_t version_ = 0, acknowledgedVersion_ = 0;
    std::int64_t prefetchTarget_ = 0;
    Microseconds prefetchRequestedAt_ = 0;  // when a target above the free tokens last raised the version
    Microseconds surplusSince_ = 0;         // 0: there is no surplus
    Microseconds scarceUntil_ = 0;
    DemandEstimate demand_;
};

}  // namespace duneturn
