#pragma once
// A node's side of the tenants' quotas: the tokens that it may spend, the requests that wait for one, and the
// reports by which it asks the granter for more. Logic only.
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

/// A token that a request holds. It is void once the lease has lapsed under which it was taken.
struct QuotaReservation {
    std::string tenant;      ///< Empty: the request needs none.
    std::int64_t lease = 0;  ///< The number of that lease.
};

/// The answer to a request that wants a token.
enum class QuotaDecision {
    Granted,  ///< It has a token.
    Wait,     ///< The granter is asked; it counts as waiting until it is granted or refused, or ends.
    Refused,  ///< Its tenant is beyond its limit.
};

/// Tokens are granted by one node for all (QuotaLedger), and lapse when it has not answered for QUOTA_LEASE.
/// Each is spent once, or returned.
class QuotaAccount {
  public:
    /// `life`: a random number that no other process has.
    QuotaAccount(std::int64_t life, Counters& counters) : life_(life), counters_(counters) {}

    /// The tenants of the configuration in force. Tokens of tenants that are no longer limited are returned.
    auto setTenants(const TenantTable& tenants, Microseconds now) -> void;

    /// A request asks for a token. Granted at once to a tenant without a limit.
    [[nodiscard]] auto reserve(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
        -> QuotaDecision;
    /// The same, of a request that waits.
    [[nodiscard]] auto reserveWaiting(
        const std::string& tenant, QuotaReservation& reservation, Microseconds now) -> QuotaDecision;
    /// A waiting request has ended.
    auto stopWaiting(const std::string& tenant) -> void;
    /// The request is about to be sent for the first time. False if its token is void: it needs another.
    [[nodiscard]] auto spend(const QuotaReservation& reservation, Microseconds now) -> bool;
    /// The request ended without having been sent.
    auto release(const QuotaReservation& reservation, Microseconds now) -> void;

    /// Whether a report is due: a request waits that the granter does not know of yet, or it is time for one.
    [[nodiscard]] auto reportDue(Microseconds now) const -> bool;
    /// The next report, to be sent now.
    [[nodiscard]] auto report(Microseconds now) -> wire::QuotaReport;
    /// Takes a granter's answer; false if it is of a lower term than one that was taken, or for another life.
    auto take(const wire::QuotaGrant& grant, Microseconds now) -> bool;

    /// The granter of the highest term that is known; empty if none is.
    [[nodiscard]] auto granter() const -> const std::string& { return granter_; }
    [[nodiscard]] auto term() const -> std::int64_t { return term_; }
    /// When the granter last answered a report; 0 if never.
    [[nodiscard]] auto answeredAt() const -> Microseconds { return answeredAt_; }
    /// Tokens of a tenant that no request holds, for operators.
    [[nodiscard]] auto available(const std::string& tenant, Microseconds now) const -> std::int64_t;

    /// Tokens of a tenant that may still be spent here, those that requests hold included.
    [[nodiscard]] auto outstanding(const std::string& tenant, Microseconds now) const -> std::int64_t;
    /// How long a rejected client should wait before it asks again.
    [[nodiscard]] auto retryAfter(const std::string& tenant, Microseconds now) const -> Microseconds;

    /// Test-only faults.
    QuotaFaults broken;

  private:
    /// What a report said of one tenant.
    struct SentUse {
        std::string tenant;
        std::int64_t version = 0, spent = 0;
    };
    struct SentReport {
        std::int64_t sequence = 0;
        Microseconds sentAt = 0;
        std::vector<SentUse> uses;
    };
    auto findLimited(const std::string& tenant) -> TenantAccount*;
    auto lapseIfDue(Microseconds now) -> void;
    auto beginTerm(const wire::QuotaGrant& grant) -> void;
    auto acknowledge(const SentReport& report) -> void;
    auto voidTokens(TenantAccount& account) -> void;
    auto takeToken(TenantAccount& account, const std::string& tenant, QuotaReservation& reservation) -> bool;
    [[nodiscard]] auto isLeaseOver(Microseconds now) const -> bool { return now >= leaseUntil_; }

    std::int64_t life_;
    Counters& counters_;
    std::int64_t term_ = 0;
    std::string granter_;
    Microseconds answeredAt_ = 0;
    std::map<std::string, TenantAccount> accounts_;  // by tenant; kept when its limit is removed
    std::deque<SentReport> sentReports_;             // without an answer, oldest first
    std::int64_t sequence_ = 0, answeredSequence_ = 0;
    std::int64_t leases_ = 0;      // numbers that were used
    Microseconds leaseUntil_ = 0;  // 0: no tokens may be used
    Microseconds reportedAt_ = 0;
    std::int64_t waiting_ = 0;  // requests of all tenants that wait
    bool reportSoon_ = false;   // without waiting for the interval
};

}  // namespace duneturn
