#pragma once
// A node's side of the tenants' quotas: the tokens that it may spend, the requests that wait for one, and the
// reports by which it asks the granter for more. Logic only.
#include <cstdint>
#include <map>
#include <string>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "quota/quota_limits.hpp"
#include "state/tenants.hpp"
#include "wire_types.h"

namespace duneturn {

/// A token that a request holds. It is void once the lease has lapsed under which it was taken.
struct QuotaReservation {
    std::string tenant;      ///< Empty: the request needs none.
    std::int64_t lease = 0;  ///< The number of that lease.
};

/// What a request that wants a token is told.
enum class QuotaAnswer {
    Granted,  ///< It has a token.
    Wait,     ///< The granter is asked; it counts as waiting until it is granted, refused or given up.
    Refused,  ///< Its tenant is beyond its limit.
};

/// Tokens are granted by one node for all (QuotaLedger), and lapse when it is not heard for QUOTA_LEASE. Each
/// is spent once, or returned.
class QuotaAccount {
  public:
    /// `life`: a random number that no other process has.
    QuotaAccount(std::int64_t life, Counters& counters) : life_(life), counters_(counters) {}

    /// The tenants of the configuration in force. Tokens of tenants that are no longer limited are returned.
    auto setTenants(const TenantTable& tenants, Microseconds now) -> void;

    /// A request asks for a token. Granted at once to a tenant without a limit.
    [[nodiscard]] auto reserve(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
        -> QuotaAnswer;
    /// The same, of a request that was told to wait.
    [[nodiscard]] auto reserveWaiting(
        const std::string& tenant, QuotaReservation& reservation, Microseconds now) -> QuotaAnswer;
    /// A waiting request has ended.
    auto stopWaiting(const std::string& tenant) -> void;
    /// The request is about to be sent for the first time. False if its token is void: it needs another.
    [[nodiscard]] auto spend(const QuotaReservation& reservation, Microseconds now) -> bool;
    /// The request ended without having been sent.
    auto giveBack(const QuotaReservation& reservation, Microseconds now) -> void;

    /// Whether a report is due: a request waits that the granter does not know of yet, or it is time for one.
    [[nodiscard]] auto reportDue(Microseconds now) const -> bool;
    /// The next report, to be sent now.
    [[nodiscard]] auto report(Microseconds now) -> wire::QuotaReport;
    /// Takes a granter's answer; false if it is of a lower term than one that was taken, or for another life.
    auto take(const wire::QuotaGrant& grant, Microseconds now) -> bool;

    /// The granter of the highest term that was heard; empty if none was.
    [[nodiscard]] auto granter() const -> const std::string& { return granter_; }
    [[nodiscard]] auto term() const -> std::int64_t { return term_; }
    /// When the granter last answered a report; 0 if never.
    [[nodiscard]] auto answeredAt() const -> Microseconds { return answeredAt_; }
    /// Tokens of a tenant that no request holds, for operators.
    [[nodiscard]] auto available(const std::string& tenant, Microseconds now) const -> std::int64_t;

  private:
    std::int64_t life_;
    Counters& counters_;
    std::int64_t term_ = 0;
    std::string granter_;
    Microseconds answeredAt_ = 0;
};

}  // namespace duneturn
