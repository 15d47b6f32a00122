#pragma once
// A node's side of the tenants' quotas: the tokens that it may spend, the requests that wait for tokens, and
// the reports in which it asks the quota granter for more. Free of I/O: the caller sends the reports,
// delivers the answers and supplies the time.
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_limits.hpp"
#include "quota/tenant_account.hpp"
#include "state/tenants.hpp"
#include "wire_types.h"

namespace duneturn {

/// A token reserved for a request. It becomes void when the lease expires under which it was reserved.
struct QuotaReservation {
    std::string tenant;            ///< Empty if the request needs no token.
    std::int64_t leaseNumber = 0;  ///< See TenantAccount::leaseNumber.
};

/// The outcome of an attempt to reserve a token for a request.
enum class QuotaDecision {
    Granted,  ///< The request has a token, or needs none.
    Wait,  ///< The granter is asked. The request counts as waiting until it is granted, refused or stopped.
    Refused,  ///< The tenant has exceeded its limit.
};

/// The tokens that one incarnation of a node holds for all tenants.
///
/// A single node, the quota granter, grants tokens to all nodes (see QuotaLedger). Tokens are leased: they
/// expire when the granter has not answered a report for QUOTA_LEASE. Each token is either spent once or
/// returned. Times are readings of a monotonic clock that includes time during which the machine is
/// suspended.
class QuotaAccount {
  public:
    /// `incarnation`: a random number that identifies this process.
    QuotaAccount(std::int64_t incarnation, Counters& counters)
        : incarnation_(incarnation), counters_(counters) {}

    /// Applies the tenants of the current configuration. Tokens of tenants without a limit are returned.
    auto setTenants(const TenantTable& tenants, Microseconds now) -> void;

    /// Reserves a token for a new request. Tenants without a limit need none and are granted at once.
    [[nodiscard]] auto reserve(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
        -> QuotaDecision;
    /// Repeats the attempt for a request whose last outcome was QuotaDecision::Wait.
    [[nodiscard]] auto reserveWaiting(
        const std::string& tenant, QuotaReservation& reservation, Microseconds now) -> QuotaDecision;
    /// A request ended while its last outcome was QuotaDecision::Wait.
    auto stopWaiting(const std::string& tenant) -> void;
    /// Spends the token of a request that is about to be sent for the first time. Returns false if the
    /// reservation is void; the request needs another token then.
    [[nodiscard]] auto spend(const QuotaReservation& reservation, Microseconds now) -> bool;
    /// Releases the token of a request that ended before it was sent.
    auto release(const QuotaReservation& reservation, Microseconds now) -> void;

    /// Whether a report should be sent now: a new request waits, or the interval has elapsed while requests
    /// wait, tokens are outstanding or the granter lacks a change.
    [[nodiscard]] auto reportDue(Microseconds now) const -> bool;
    /// Makes the next report, which the caller sends to the granter at once.
    [[nodiscard]] auto report(Microseconds now) -> wire::QuotaReport;
    /// Applies a granter's answer. Returns false if it has a lower term than an earlier one, or if it is for
    /// another incarnation.
    auto take(const wire::QuotaGrant& grant, Microseconds now) -> bool;

    /// The granter of the highest known term; empty if none is known.
    [[nodiscard]] auto granter() const -> const std::string& { return granter_; }
    [[nodiscard]] auto term() const -> std::int64_t { return term_; }
    /// When a granter's answer to a report last arrived; 0 if never.
    [[nodiscard]] auto answeredAt() const -> Microseconds { return answeredAt_; }
    /// A tenant's tokens that no request has reserved, for the operators' view.
    [[nodiscard]] auto available(const std::string& tenant, Microseconds now) const -> std::int64_t;

    /// A tenant's tokens that may still be spent here, including those reserved by requests.
    [[nodiscard]] auto outstanding(const std::string& tenant, Microseconds now) const -> std::int64_t;
    /// How long a rejected client should wait before it retries; 0 if the tenant is not being rejected.
    [[nodiscard]] auto retryAfter(const std::string& tenant, Microseconds now) const -> Microseconds;

    /// For tests only.
    QuotaFaults faults;

  private:
    /// What a report contained about one tenant.
    struct SentUsage {
        std::string tenant;
        std::int64_t version = 0, spent = 0;
    };
    struct SentReport {
        std::int64_t sequence = 0;
        Microseconds sentAt = 0;
        std::vector<SentUsage> usages;
    };
    auto findLimited(const std::string& tenant) -> TenantAccount*;
    auto expireIfDue(Microseconds now) -> void;
    auto beginTerm(const wire::QuotaGrant& grant) -> void;
    auto acknowledge(const SentReport& report) -> void;
    /// Returns all tokens of a tenant and voids the reservations of its requests.
    auto voidTokens(TenantAccount& account) -> void;
    auto takeToken(TenantAccount& account, const std::string& tenant, QuotaReservation& reservation) -> bool;
    [[nodiscard]] auto isLeaseOver(Microseconds now) const -> bool { return now >= leaseEndsAt_; }

    std::int64_t incarnation_;
    Counters& counters_;
    std::int64_t term_ = 0;
    std::string granter_;
    Microseconds answeredAt_ = 0;
    std::map<std::string, TenantAccount> accounts_;  // by tenant; kept after its limit is removed
    std::deque<SentReport> sentReports_;             // unanswered, oldest first
    std::int64_t sequence_ = 0, answeredSequence_ = 0;
    std::int64_t lastLeaseNumber_ = 0;
    Microseconds leaseEndsAt_ = 0;  // 0: no tokens may be used
    Microseconds reportedAt_ = 0;
    std::int64_t waitingRequests_ = 0;  // over all tenants
    bool reportSoon_ = false;           // send the next report without waiting for the interval
};

}  // namespace duneturn
