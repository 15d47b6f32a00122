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
    grantBound_ = bound_ - QUOTA_ATTEMPT_RESERVE * tolerance;
    configureBucket(*tenant, bounds, now);
}

// A granter's first bucket is as full as its predecessors' spends would have left it.
auto TenantLedger::configureBucket(const Tenant& tenant, const QuotaBounds& bounds, Microseconds now)
    -> void {
    auto rate = QUOTA_REFILL * tenant.ratePerSecond;
    auto capacity = tenant.burst + QUOTA_SLACK_IN_BUCKET * bounds.slack;
    auto isFirst = !std::exchange(hasBucket_, true);
    if (!isFirst) return bucket_.configure(rate, capacity, now);
    auto spends = spent_.ages(QUOTA_AGE_STEP, now);
    bucket_.configure(rate, capacity, now - Microseconds(spends.size()) * QUOTA_AGE_STEP);
    for (auto age = spends.size(); age-- > 0;) {
        bucket_.refill(now - Microseconds(age) * QUOTA_AGE_STEP);
        bucket_.charge(spends[age]);
    }
}

auto TenantLedger::inherit(const wire::QuotaTenantImage& image, Microseconds imageAt, Microseconds now)
    -> void {
    predecessors_ = image.outstanding;
    for (auto i = std::size_t(0); i < image.spent.size(); i++)
        spent_.add(image.spent[i], std::min(imageAt, now) - Microseconds(i) * QUOTA_AGE_STEP);
}

auto TenantLedger::tick(Microseconds now) -> void {
    auto early = faults && faults->forgetSpendsEarly;
    spent_.expire(early ? window_ / 2 : window_, now);
    bucket_.refill(now);
}

// ---- what nodes report

auto TenantLedger::claim(std::int64_t tokens) -> void {
    predecessors_ -= std::min(predecessors_, tokens);
    held_ += tokens;
}

auto TenantLedger::spend(std::int64_t tokens, std::int64_t charged, Microseconds now) -> void {
    held_ -= tokens;
    spent_.add(tokens, now);
    bucket_.charge(tokens - charged);
}

auto TenantLedger::takeBack(std::int64_t tokens, std::int64_t charged) -> void {
    auto times = faults && faults->countReturnsTwice ? 2 : 1;
    held_ -= times * tokens;
    bucket_.refund(charged);
}

auto TenantLedger::lapse(std::int64_t tokens, Microseconds now) -> void {
    held_ -= tokens;
    if (faults && faults->freeLapsed) return;
    spent_.add(tokens, now);
}

auto TenantLedger::lapsePredecessors(Microseconds lapsedAt) -> void {
    spent_.add(predecessors_, lapsedAt);
    predecessors_ = 0;
}

// ---- what nodes get

auto TenantLedger::roomBelow(double bound) const -> std::int64_t {
    return std::max<std::int64_t>(std::int64_t(bound) - total(), 0);
}

auto TenantLedger::grantWaiting(std::int64_t tokens, Microseconds now) -> std::int64_t {
    if (!limited_) {
        held_ += tokens;
        return tokens;
    }
    auto possible = std::min({tokens, bucket_.available(), roomBelow(grantBound_)});
    auto covered = faults && faults->ignoreReserve ? possible : reserve_.remaining();
    if (possible > covered) blocked_ += possible - covered;
    possible = std::min(possible, covered);
    bucket_.charge(possible);
    grant(possible, now);
    return possible;
}

auto TenantLedger::grantStock(std::int64_t tokens, Microseconds now) -> std::int64_t {
    if (!limited_ || isScarce() || blocked_ > 0) return 0;
    auto possible = std::min({tokens, roomBelow(QUOTA_STOCK_SHARE * grantBound_), reserve_.remaining()});
    grant(possible, now);
    return possible;
}

auto TenantLedger::grant(std::int64_t tokens, Microseconds now) -> void {
    held_ += tokens;
    reserve_.grant(tokens);
    granted_.add(tokens, now);
}

auto TenantLedger::isScarce() const -> bool {
    if (!limited_) return false;
    return bucket_.isBelow(QUOTA_LOW_BUCKET) || double(total()) >= QUOTA_SCARCE_SHARE * grantBound_;
}

// What nodes hold may be returned soon; all else leaves the bound with time alone.
auto TenantLedger::isExhausted() const -> bool {
    if (!limited_) return false;
    return bucket_.available() < 1 || double(predecessors_ + spent_.total() + 1) > grantBound_;
}

// ---- images

auto TenantLedger::reserveNeeded(Microseconds now) -> std::int64_t {
    granted_.expire(QUOTA_RESERVE_TIME, now);
    return std::max({std::int64_t(QUOTA_LEAST_RESERVE), 2 * granted_.total(), blocked_});
}

auto TenantLedger::image(std::int64_t sequence, Microseconds now) -> wire::QuotaTenantImage {
    auto part = wire::QuotaTenantImage();
    announcedReserve_ = limited_ ? reserveNeeded(now) : 0;
    reserve_.announce(sequence, announcedReserve_);
    blocked_ = 0;
    part.outstanding = outstanding() + announcedReserve_;
    part.spent = spent_.ages(QUOTA_AGE_STEP, now);
    return part;
}

auto TenantLedger::wantsImage() const -> bool {
    return limited_ && reserve_.remaining() * 4 < announcedReserve_;
}

}  // namespace duneturn
