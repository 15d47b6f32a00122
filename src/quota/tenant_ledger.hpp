#pragma once
// One tenant's entry in the granter's ledger: the tokens outstanding, the tokens spent within the window, and
// how many more may be granted. Free of I/O.
#include <cstdint>
#include <optional>

#include "base/time.hpp"
#include "quota/grant_reserve.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_limits.hpp"
#include "quota/sliding_window_counter.hpp"
#include "quota/token_bucket.hpp"
#include "state/tenants.hpp"
#include "wire_types.h"

namespace duneturn {

/// Enforces the limit of one tenant in two ways. Outstanding plus spent tokens never exceed a bound, whatever
/// fails: tokens are granted first and then spent without coordination, as in an escrow or bounded counter.
/// A token bucket, normally the tighter of the two, limits the grants to waiting requests.
class TenantLedger {
  public:
    /// Stands for the outstanding tokens of predecessors if their number is unknown; exceeds every bound.
    static constexpr std::int64_t UNKNOWN_PREDECESSORS = std::int64_t(1) << 40;

    /// Applies the tenant's limit. `tenant` is null if the configuration no longer contains the tenant.
    auto setLimit(const Tenant* tenant, const QuotaBounds& bounds, Microseconds now) -> void;
    /// Takes over outstanding and spent tokens from an image of an earlier term. `imageAt`: the latest time
    /// at which a voter can have received the image.
    auto inherit(const wire::QuotaTenantImage& image, Microseconds imageAt, Microseconds now) -> void;
    /// Records that an unknown number of tokens of earlier terms may be outstanding.
    auto inheritUnknown() -> void { unclaimedTokens_ = UNKNOWN_PREDECESSORS; }
    /// Drops spent tokens that have left the window, and refills the bucket.
    auto tick(Microseconds now) -> void;

    // Reports of nodes.

    /// A node reports tokens that it carried over from an earlier term. They no longer count as unclaimed.
    auto claimCarried(std::int64_t tokens) -> void;
    /// Counts tokens at a node as outstanding without a new grant or a claim.
    auto addOutstanding(std::int64_t tokens) -> void { heldByNodes_ += tokens; }
    /// A node has spent tokens; the bucket was charged for `charged` of them when they were granted.
    auto recordSpent(std::int64_t tokens, std::int64_t charged, Microseconds now) -> void;
    /// A node has returned tokens; the bucket was charged for `charged` of them when they were granted.
    auto recordReturned(std::int64_t tokens, std::int64_t charged) -> void;
    /// The tokens of an unresponsive node have expired. They count as spent, since the node may have spent
    /// them without a report.
    auto expireHeld(std::int64_t tokens, Microseconds now) -> void;
    /// A node has reported what became of tokens that expired at `expiredAt`; they no longer count as spent.
    auto reconcileExpired(std::int64_t tokens, Microseconds expiredAt) -> void {
        spent_.remove(tokens, expiredAt);
    }
    /// Tokens of predecessors that no node has claimed cannot be used after `expiredAt`. They count as spent
    /// at that time.
    auto expirePredecessors(Microseconds expiredAt) -> void;

    // Grants to nodes.

    /// Grants up to `tokens` tokens to waiting requests and returns the number granted.
    auto grantToWaiting(std::int64_t tokens, Microseconds now) -> std::int64_t;
    /// Grants up to `tokens` tokens for future requests and returns the number granted.
    auto grantPrefetch(std::int64_t tokens, Microseconds now) -> std::int64_t;
    /// Whether nodes should return tokens that no request needs, because the bucket is low or the outstanding
    /// and spent tokens come near the bound.
    [[nodiscard]] auto isScarce() const -> bool;
    /// Whether waiting requests cannot expect a token soon and should be rejected.
    [[nodiscard]] auto isExhausted() const -> bool;

    // Images.

    /// This tenant's part of the image with this sequence, which reserves tokens for later grants. The caller
    /// fills in the tenant's name.
    auto image(std::int64_t sequence, Microseconds now) -> wire::QuotaTenantImage;
    /// A majority of voters has acknowledged the image with this sequence or a newer one.
    auto confirmImage(std::int64_t sequence) -> void { reserve_.confirm(sequence); }
    /// Whether less than a quarter of the reserve of the last image remains.
    [[nodiscard]] auto wantsImage() const -> bool;
    /// Whether requests wait only because the reserve is used up.
    [[nodiscard]] auto isBlockedByReserve() const -> bool { return blockedRequests_ > 0; }

    [[nodiscard]] auto isLimited() const -> bool { return limited_; }
    /// Whether no tokens are outstanding and none were spent within the window.
    [[nodiscard]] auto isIdle() const -> bool { return outstanding() == 0 && spent_.total() == 0; }
    /// Requests per window, including the burst.
    [[nodiscard]] auto limit() const -> double { return limit_; }
    /// The limit plus the configured overrun and slack.
    [[nodiscard]] auto bound() const -> double { return bound_; }
    [[nodiscard]] auto spentInWindow() const -> std::int64_t { return spent_.total(); }
    /// Tokens that nodes may still spend, including unclaimed ones of predecessors.
    [[nodiscard]] auto outstanding() const -> std::int64_t { return heldByNodes_ + unclaimedTokens_; }
    /// Waiting requests that were rejected in this term.
    [[nodiscard]] auto rejected() const -> std::int64_t { return rejected_; }
    auto recordRejected(std::int64_t requests) -> void { rejected_ += requests; }

    /// For tests only. Null: no faults.
    const QuotaFaults* faults = nullptr;

  private:
    /// The tokens that count against the bound.
    [[nodiscard]] auto total() const -> std::int64_t { return outstanding() + spent_.total(); }
    /// How many tokens can be added before total() exceeds `bound`.
    [[nodiscard]] auto capacityBelow(double bound) const -> std::int64_t;
    [[nodiscard]] auto reserveNeeded(Microseconds now) -> std::int64_t;
    auto grant(std::int64_t tokens, Microseconds now) -> void;
    auto configureBucket(const Tenant& tenant, const QuotaBounds& bounds, Microseconds now) -> void;

    bool limited_ = false, hasBucket_ = false;
    double limit_ = 0, bound_ = 0;
    double grantBound_ = 0;  // bound_ less what is withheld from grants, see QUOTA_EXTRA_ATTEMPT_SHARE
    Microseconds window_ = 0;
    std::int64_t heldByNodes_ = 0;      // outstanding tokens that nodes claimed or were granted in this term
    std::int64_t unclaimedTokens_ = 0;  // outstanding tokens of earlier terms that no node has claimed
    std::int64_t rejected_ = 0;
    std::int64_t blockedRequests_ = 0;   // requests without a token for lack of reserve since the last image
    std::int64_t announcedReserve_ = 0;  // the reserve in the last image
    SlidingWindowCounter spent_{QUOTA_LEDGER_STEP};
    SlidingWindowCounter granted_{QUOTA_LEDGER_STEP};  // in the last QUOTA_RESERVE_WINDOW
    TokenBucket bucket_;
    GrantReserve reserve_;
};

}  // namespace duneturn
