#pragma once
// One tenant's part of the granter's ledger: what is outstanding, what was spent in the window, and how many
// more tokens may be granted. Logic only.
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

/// The limit of one tenant. Two bounds follow from it: one that holds always, and a bucket that says how much
/// is granted while all is well.
class TenantLedger {
  public:
    /// Tokens of predecessors of whom nothing is known: more than any bound.
    static constexpr std::int64_t UNKNOWN_PREDECESSORS = std::int64_t(1) << 40;

    /// The tenant's limit, or none.
    auto setLimit(const Tenant* tenant, const QuotaBounds& bounds, Microseconds now) -> void;
    /// What an image of an earlier term says of this tenant; `imageAt`: when a voter received it at the
    /// latest.
    auto inherit(const wire::QuotaTenantImage& image, Microseconds imageAt, Microseconds now) -> void;
    /// Tokens of earlier terms may be outstanding, nobody knows how many.
    auto inheritUnknown() -> void { predecessors_ = UNKNOWN_PREDECESSORS; }
    /// Forgets what has left the window.
    auto tick(Microseconds now) -> void;

    // What nodes report.
    /// A node brings tokens along from an earlier term.
    auto claim(std::int64_t tokens) -> void;
    /// Tokens are outstanding that this ledger did not grant.
    auto addHeld(std::int64_t tokens) -> void { held_ += tokens; }
    /// A node's tokens were spent, `charged` of them were taken out of the bucket when they were granted.
    auto spend(std::int64_t tokens, std::int64_t charged, Microseconds now) -> void;
    /// Tokens of which `charged` were taken out of the bucket came back.
    auto takeBack(std::int64_t tokens, std::int64_t charged) -> void;
    /// A silent node's tokens may have been spent.
    auto lapse(std::int64_t tokens, Microseconds now) -> void;
    /// What became of lapsed tokens has been reported after all.
    auto settleLapsed(std::int64_t tokens, Microseconds lapsedAt) -> void { spent_.remove(tokens, lapsedAt); }
    /// Predecessors' tokens that nobody has claimed can't be used any more since `lapsedAt`.
    auto lapsePredecessors(Microseconds lapsedAt) -> void;

    // What nodes get.
    /// Grants up to so many tokens to requests that wait.
    auto grantWaiting(std::int64_t tokens, Microseconds now) -> std::int64_t;
    /// Grants up to so many tokens for requests to come.
    auto grantStock(std::int64_t tokens, Microseconds now) -> std::int64_t;
    /// Whether nodes should return what no request needs.
    [[nodiscard]] auto isScarce() const -> bool;
    /// Whether requests that wait have nothing to wait for.
    [[nodiscard]] auto isExhausted() const -> bool;

    // Images.
    /// The image's part; it reserves tokens.
    auto image(std::int64_t sequence, Microseconds now) -> wire::QuotaTenantImage;
    auto confirmImage(std::int64_t sequence) -> void { reserve_.confirm(sequence); }
    /// Whether a newer image is wanted, since much of the reserve is used.
    [[nodiscard]] auto wantsImage() const -> bool;
    /// Whether requests wait for nothing else than a newer image.
    [[nodiscard]] auto isBlockedByReserve() const -> bool { return blocked_ > 0; }

    [[nodiscard]] auto isLimited() const -> bool { return limited_; }
    [[nodiscard]] auto isIdle() const -> bool { return outstanding() == 0 && spent_.total() == 0; }
    [[nodiscard]] auto limit() const -> double { return limit_; }
    [[nodiscard]] auto bound() const -> double { return bound_; }
    [[nodiscard]] auto spentInWindow() const -> std::int64_t { return spent_.total(); }
    [[nodiscard]] auto outstanding() const -> std::int64_t { return held_ + predecessors_; }
    [[nodiscard]] auto refused() const -> std::int64_t { return refused_; }
    auto noteRefused(std::int64_t requests) -> void { refused_ += requests; }

    /// Test-only faults.
    const QuotaFaults* faults = nullptr;

  private:
    [[nodiscard]] auto total() const -> std::int64_t { return outstanding() + spent_.total(); }
    [[nodiscard]] auto roomBelow(double bound) const -> std::int64_t;
    [[nodiscard]] auto reserveNeeded(Microseconds now) -> std::int64_t;
    auto grant(std::int64_t tokens, Microseconds now) -> void;
    auto configureBucket(const Tenant& tenant, const QuotaBounds& bounds, Microseconds now) -> void;

    bool limited_ = false, hasBucket_ = false;
    double limit_ = 0, bound_ = 0, grantBound_ = 0;  // grantBound_: less what is kept for further attempts
    Microseconds window_ = 0;
    std::int64_t held_ = 0;          // by nodes, of this term
    std::int64_t predecessors_ = 0;  // that no node has claimed
    std::int64_t refused_ = 0;
    std::int64_t blocked_ = 0;  // requests that wait since the last image, because the reserve was used up
    std::int64_t announcedReserve_ = 0;
    SlidingWindowCounter spent_{QUOTA_LEDGER_STEP};
    SlidingWindowCounter granted_{QUOTA_LEDGER_STEP};  // lately
    TokenBucket bucket_;
    GrantReserve reserve_;
};

}  // namespace duneturn
