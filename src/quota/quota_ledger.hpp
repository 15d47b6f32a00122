#pragma once
// The granter's side of the tenants' quotas: how many tokens every node holds, how many were spent when, and
// how many more may be granted. Logic only. docs/quotas.md proves the bound.
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

/// What operators see of one tenant.
struct QuotaView {
    std::string tenant;
    double limit = 0;              ///< Requests in a window, burst included.
    double bound = 0;              ///< What must never be exceeded in a window.
    std::int64_t spent = 0;        ///< In the last window, over all nodes.
    std::int64_t outstanding = 0;  ///< Tokens that nodes hold, and those of predecessors that may be spent.
    std::int64_t refused = 0;      ///< Waiting requests that got no token in this term.
};

/// The ledger of one granter's term. Between two calls: for every tenant, the tokens that may still be spent
/// and those that were spent within the last window are together at most the tenant's bound.
class QuotaLedger {
  public:
    QuotaLedger(const QuotaLedger&) = delete;  // its tenants refer to its faults
    auto operator=(const QuotaLedger&) -> QuotaLedger& = delete;
    /// `predecessors`: what a majority of voters knew of earlier terms, the newest image; `age`: since a
    /// voter had it. Null if too few of them remember: then nothing is granted until all that may have been
    /// granted before has lapsed; `age`: since any of a majority of voters can have held an image.
    QuotaLedger(std::int64_t term, const wire::QuotaImage* predecessors, Microseconds age, Counters& counters,
        Microseconds now);

    /// The tenants of the configuration in force.
    auto setTenants(const TenantTable& tenants, Microseconds now) -> void;
    /// Answers a node's report. One that is not newer than another of the same node and life changes nothing.
    /// Each life of a node holds tokens of its own.
    [[nodiscard]] auto take(const std::string& node, const wire::QuotaReport& report, Microseconds now)
        -> wire::QuotaGrant;
    /// Forgets what has left the window and the tokens of nodes that were silent for too long.
    auto tick(Microseconds now) -> void;

    /// The image for the other voters; its sequence rises with each call. It includes a reserve: so many
    /// tokens may be granted before a later image must be held by a majority.
    [[nodiscard]] auto image(Microseconds now) -> wire::QuotaImage;
    /// A majority of the voters holds this image, which was sent at `sentAt`.
    auto confirmImage(std::int64_t sequence, Microseconds sentAt) -> void;
    /// Whether the newest such image is recent enough for reports to be answered.
    [[nodiscard]] auto hasGranterLease(Microseconds now) const -> bool;
    /// Whether tokens were granted or spent since the last image.
    [[nodiscard]] auto imageDue(Microseconds now) const -> bool;

    [[nodiscard]] auto term() const -> std::int64_t { return term_; }
    [[nodiscard]] auto views(Microseconds now) const -> std::vector<QuotaView>;

    /// Test-only faults.
    QuotaFaults broken;

  private:
    /// One node's tokens of one tenant, in counts that rise within the term.
    struct Holding {
        std::int64_t carried = 0, granted = 0, spent = 0, returned = 0;
        std::int64_t charged = 0;  ///< Of the held tokens, those that the bucket was charged for.
        std::int64_t lapsed = 0;   ///< Tokens that lapsed, and of which nothing was reported since,
        Microseconds lapsedAt = 0;
        [[nodiscard]] auto held() const -> std::int64_t { return carried + granted - spent - returned; }
    };
    /// One life of a node.
    struct Holder {
        std::int64_t sequence = 0;  ///< Of its newest report,
        Microseconds answeredAt = 0;
        bool hasLapsed = false;
        std::map<std::string, Holding> holdings;  // by tenant
    };
    [[nodiscard]] auto announcement(const std::string& node) const -> wire::QuotaGrant;
    auto tenantLedger(const std::string& tenant) -> TenantLedger&;
    auto openHolding(Holder& holder, const wire::QuotaUse& use, TenantLedger& tenant) -> Holding&;
    auto takeUse(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant, Microseconds now) -> void;
    auto raiseGranted(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant) -> void;
    auto grantFor(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant, Microseconds now)
        -> wire::QuotaAllowance;
    auto addScarce(const Holder& holder, wire::QuotaGrant& grant) const -> void;
    auto lapseHolder(Holder& holder, Microseconds now) -> void;
    auto lapsePredecessors(Microseconds now) -> void;

    std::int64_t term_;
    Counters& counters_;
    std::map<std::string, TenantLedger> tenants_;
    std::map<std::int64_t, Holder> holders_;  // by life
    Microseconds predecessorsLapseAt_;
    bool predecessorsLapsed_ = false;
    bool predecessorsUnknown_;
    std::int64_t imageSequence_ = 0;
    Microseconds imageMadeAt_ = 0, heldImageSentAt_ = 0;
    Microseconds scarceAt_ = 0;
    std::vector<std::string> scarce_;  // tenants, as of scarceAt_
};

}  // namespace duneturn
