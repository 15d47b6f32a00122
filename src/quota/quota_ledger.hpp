#pragma once
// The quota granter's side of the tenants' quotas: how many tokens each node holds, how many were spent and
// when, and how many more may be granted. Free of I/O. docs/quotas.md proves the bound.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_limits.hpp"
#include "quota/tenant_ledger.hpp"
#include "state/tenants.hpp"
#include "wire_types.h"

namespace duneturn {

/// The state of one tenant's quota for the operators' view.
struct QuotaView {
    std::string tenant;
    double limit = 0;        ///< Requests per window, including the burst.
    double bound = 0;        ///< The number of requests that no window may exceed.
    std::int64_t spent = 0;  ///< Tokens spent within the last window, over all nodes.
    /// Tokens that nodes may still spend, including those of predecessors; the bound if it is lower.
    std::int64_t outstanding = 0;
    std::int64_t refused = 0;  ///< Waiting requests that were rejected in this term.
};

/// The ledger of a granter for one term.
///
/// Invariant between calls: for each tenant, the tokens that may still be spent and those spent within the
/// last window do not exceed the tenant's bound in total.
///
/// The ledger is replicated to the voters as images, which are snapshots with an increasing sequence. A
/// successor starts from the newest image that it finds at a majority of voters, which is at least as new as
/// the newest one that a majority acknowledged.
class QuotaLedger {
  public:
    QuotaLedger(const QuotaLedger&) = delete;  // tenants_ holds pointers to `faults`
    auto operator=(const QuotaLedger&) -> QuotaLedger& = delete;
    /// `predecessors`: the newest image of earlier terms held by any voter of a majority that knows all
    /// recent images; `age`: the time since that voter received it. Without such a majority `predecessors` is
    /// null and `age` a lower bound on the time since a majority last acknowledged an image; then no tokens
    /// of limited tenants are granted until those of earlier terms have expired and left the window.
    QuotaLedger(std::int64_t term, const wire::QuotaImage* predecessors, Microseconds age, Counters& counters,
        Microseconds now);

    /// Applies the tenants of the current configuration.
    auto setTenants(const TenantTable& tenants, Microseconds now) -> void;
    /// Answers a report of `node`. Each incarnation of a node holds its own tokens. The answer carries no
    /// sequence and no allowances, and the ledger is unchanged, if the report is of another term, is not
    /// newer than an earlier one of the same incarnation, or arrives without the granter's lease.
    [[nodiscard]] auto take(const std::string& node, const wire::QuotaReport& report, Microseconds now)
        -> wire::QuotaGrant;
    /// Drops spent tokens that have left the window, and expires the tokens of unresponsive nodes and of
    /// predecessors.
    auto tick(Microseconds now) -> void;

    /// Makes the next image for the voters. It accounts for all tokens granted so far and for a reserve; when
    /// the reserve is used up, a majority must acknowledge a newer image before more tokens are granted.
    [[nodiscard]] auto image(Microseconds now) -> wire::QuotaImage;
    /// A majority of voters has acknowledged the image with this sequence, which was sent at `sentAt`.
    auto confirmImage(std::int64_t sequence, Microseconds sentAt) -> void;
    /// Whether a majority has acknowledged an image that was sent within QUOTA_GRANTER_LEASE.
    [[nodiscard]] auto hasGranterLease(Microseconds now) const -> bool;
    /// Whether an image should be sent now: there is none yet, the heartbeat is due, the reserve runs low, or
    /// requests wait for a larger reserve.
    [[nodiscard]] auto imageDue(Microseconds now) const -> bool;

    [[nodiscard]] auto term() const -> std::int64_t { return term_; }
    /// The limited tenants as of `now`.
    [[nodiscard]] auto views(Microseconds now) const -> std::vector<QuotaView>;

    /// For tests only.
    QuotaFaults faults;

  private:
    /// The tokens of one tenant at one incarnation. The first four members count tokens within the term and
    /// never decrease, except that the expiry of tokens lowers `granted`.
    struct TokenBalance {
        /// `carried`: tokens from earlier terms that the node still accounts for in this one.
        std::int64_t carried = 0, granted = 0, spent = 0, returned = 0;
        std::int64_t charged = 0;  ///< Outstanding tokens that the bucket was charged for when granted.
        std::int64_t expired = 0;  ///< Tokens that expired and whose use has not been reported since.
        Microseconds expiredAt = 0;
        [[nodiscard]] auto outstanding() const -> std::int64_t {
            return carried + granted - spent - returned;
        }
    };
    /// One incarnation of a node.
    struct Holder {
        std::int64_t reportSequence = 0;               ///< Of the newest report.
        Microseconds answeredAt = 0;                   ///< When the newest report was answered.
        bool hasExpired = false;                       ///< Whether its tokens have expired since then.
        std::map<std::string, TokenBalance> balances;  // by tenant
    };
    [[nodiscard]] auto makeGrant(const std::string& node) const -> wire::QuotaGrant;
    auto findOrAddTenant(const std::string& tenant) -> TenantLedger&;
    auto findOrOpenBalance(Holder& holder, const wire::QuotaUse& usage, TenantLedger& tenant)
        -> TokenBalance&;
    auto applyUsage(
        TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant, Microseconds now) -> void;
    auto reinstateExpired(TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant) -> void;
    auto grantAllowance(TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant,
        Microseconds now) -> wire::QuotaAllowance;
    auto addScarceTenants(const Holder& holder, wire::QuotaGrant& grant) const -> void;
    auto expireHolder(Holder& holder, Microseconds now) -> void;
    auto expirePredecessors(Microseconds now) -> void;

    std::int64_t term_;
    Counters& counters_;
    std::map<std::string, TenantLedger> tenants_;
    std::map<std::int64_t, Holder> holders_;  // by incarnation
    Microseconds predecessorsExpireAt_;
    bool predecessorsExpired_ = false;
    bool predecessorsUnknown_;
    std::int64_t imageSequence_ = 0;
    Microseconds imageMadeAt_ = 0;
    Microseconds confirmedImageSentAt_ = 0;  // 0: no image is confirmed
    Microseconds scarceTenantsUpdatedAt_ = 0;
    std::vector<std::string> scarceTenants_;  // see TenantLedger::isScarce; as of scarceTenantsUpdatedAt_
};

}  // namespace duneturn
