#include "quota/tenant_ledger.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace duneturn {

auto TenantLedger::setLimit(const Tenant* tenant, const QuotaBounds& bounds, Microseconds now) -> void {
    limited_ = tenant && tenant->isLimited();
    window_ = bounds.window;
    if (!limited_) return;
    limit_ = tenant->ratePerSecond * double(bounds.window) / double(SECOND) + tenant->burst;
    auto tolerance = bounds.overrun * limit_ + bounds.slack;
    bound_ = limit_ + tolerance;
    grantBound_ = bound_ - QUOTA_EXTRA_ATTEMPT_SHARE * tolerance;
    configureBucket(*tenant, bounds, now);
}

// A new granter replays the spent tokens it inherited, so that its first bucket is as full as the bucket of
// its predecessors would be.
auto TenantLedger::configureBucket(const Tenant& tenant, const QuotaBounds& bounds, Microseconds now)
    -> void {
    auto rate = QUOTA_REFILL_FACTOR * tenant.ratePerSecond;
    auto capacity = tenant.burst + QUOTA_BUCKET_SLACK_SHARE * bounds.slack;
    auto isFirst = !std::exchange(hasBucket_, true);
    if (!isFirst) return bucket_.configure(rate, capacity, now);
    auto spentByAge = spent_.countsByAge(QUOTA_AGE_STEP, now);
    bucket_.configure(rate, capacity, now - Microseconds(spentByAge.size()) * QUOTA_AGE_STEP);
    for (auto age = spentByAge.size(); age-- > 0;) {
        bucket_.refill(now - Microseconds(age) * QUOTA_AGE_STEP);
        bucket_.charge(spentByAge[age]);
    }
}

auto TenantLedger::inherit(const wire::QuotaTenantImage& image, Microseconds imageAt, Microseconds now)
    -> void {
    unclaimedTokens_ = image.outstanding;
    for (auto age = std::size_t(0); age < image.spent.size(); age++)
        spent_.add(image.spent[age], std::min(imageAt, now) - Microseconds(age) * QUOTA_AGE_STEP);
}

auto TenantLedger::tick(Microseconds now) -> void {
    auto expiresEarly = faults && faults->expireSpendsEarly;
    spent_.expire(expiresEarly ? window_ / 2 : window_, now);
    bucket_.refill(now);
}

// ---- reports of nodes

auto TenantLedger::claimCarried(std::int64_t tokens) -> void {
    unclaimedTokens_ -= std::min(unclaimedTokens_, tokens);
    heldByNodes_ += tokens;
}

auto TenantLedger::recordSpent(std::int64_t tokens, std::int64_t charged, Microseconds now) -> void {
    heldByNodes_ -= tokens;
    spent_.add(tokens, now);
    bucket_.charge(tokens - charged);
}

auto TenantLedger::recordReturned(std::int64_t tokens, std::int64_t charged) -> void {
    auto times = faults && faults->countReturnsTwice ? 2 : 1;
    heldByNodes_ -= times * tokens;
    bucket_.refund(charged);
}

auto TenantLedger::expireHeld(std::int64_t tokens, Microseconds now) -> void {
    heldByNodes_ -= tokens;
    if (faults && faults->dropExpiredTokens) return;
    spent_.add(tokens, now);
}

auto TenantLedger::expirePredecessors(Microseconds expiredAt) -> void {
    spent_.add(unclaimedTokens_, expiredAt);
    unclaimedTokens_ = 0;
}

// ---- grants to nodes

auto TenantLedger::capacityBelow(double bound) const -> std::int64_t {
    return std::max<std::int64_t>(std::int64_t(bound) - total(), 0);
}

auto TenantLedger::grantToWaiting(std::int64_t tokens, Microseconds now) -> std::int64_t {
    if (!limited_) {
        heldByNodes_ += tokens;
        return tokens;
    }
    auto possible = std::min({tokens, bucket_.available(), capacityBelow(grantBound_)});
    auto reserved = faults && faults->ignoreReserve ? possible : reserve_.remaining();
    if (possible > reserved) blockedRequests_ += possible - reserved;
    auto granted = std::min(possible, reserved);
    bucket_.charge(granted);
    grant(granted, now);
    return granted;
}

auto TenantLedger::grantPrefetch(std::int64_t tokens, Microseconds now) -> std::int64_t {
    if (!limited_ || isScarce() || blockedRequests_ > 0) return 0;
    auto capacity = capacityBelow(QUOTA_PREFETCH_SHARE * grantBound_);
    auto granted = std::min({tokens, capacity, reserve_.remaining()});
    grant(granted, now);
    return granted;
}

auto TenantLedger::grant(std::int64_t tokens, Microseconds now) -> void {
    heldByNodes_ += tokens;
    reserve_.grant(tokens);
    granted_.add(tokens, now);
}

auto TenantLedger::isScarce() const -> bool {
    if (!limited_) return false;
    return bucket_.isBelow(QUOTA_LOW_BUCKET_SHARE) || double(total()) >= QUOTA_SCARCE_SHARE * grantBound_;
}

// Tokens held by nodes are left out, since nodes may return them soon. Spent tokens and those of predecessors
// stop counting only as time passes.
auto TenantLedger::isExhausted() const -> bool {
    if (!limited_) return false;
    return bucket_.available() < 1 || double(unclaimedTokens_ + spent_.total() + 1) > grantBound_;
}

// ---- images

auto TenantLedger::reserveNeeded(Microseconds now) -> std::int64_t {
    granted_.expire(QUOTA_RESERVE_WINDOW, now);
    return std::max({std::int64_t(QUOTA_MIN_RESERVE), 2 * granted_.total(), blockedRequests_});
}

auto TenantLedger::image(std::int64_t sequence, Microseconds now) -> wire::QuotaTenantImage {
    auto image = wire::QuotaTenantImage();
    announcedReserve_ = limited_ ? reserveNeeded(now) : 0;
    reserve_.addImage(sequence, announcedReserve_);
    blockedRequests_ = 0;
    image.outstanding = outstanding() + announcedReserve_;
    image.spent = spent_.countsByAge(QUOTA_AGE_STEP, now);
    return image;
}

auto TenantLedger::wantsImage() const -> bool {
    return limited_ && reserve_.remaining() * 4 < announcedReserve_;
}

}  // namespace duneturn
