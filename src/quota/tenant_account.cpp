#include "quota/tenant_account.hpp"

#include <algorithm>

#include "quota/quota_limits.hpp"

namespace duneturn {

auto TenantAccount::reserve() -> bool {
    if (free_ <= 0) return false;
    free_--;
    reserved_++;
    return true;
}

auto TenantAccount::spend() -> void {
    reserved_--;
    spent_++;
    version_++;
}

auto TenantAccount::release() -> void {
    reserved_--;
    free_++;
}

auto TenantAccount::returnFree(std::int64_t tokens) -> void {
    free_ -= tokens;
    returned_ += tokens;
    version_++;
}

auto TenantAccount::returnAll() -> void {
    free_ += reserved_;
    reserved_ = 0;
    if (free_ > 0) returnFree(free_);
}

auto TenantAccount::adjustPrefetch(Microseconds now) -> void {
    auto isScarce = now < scarceUntil_;
    auto target = isScarce ? 0 : demand_.prefetchTarget(now);
    updatePrefetchTarget(target, now);
    auto surplus = free_ - waitingRequests - target;
    if (surplus <= 0) {
        surplusSince_ = 0;
        return;
    }
    if (!surplusSince_) surplusSince_ = now;
    if (!isScarce && now - surplusSince_ < QUOTA_SURPLUS_TIME) return;
    returnFree(surplus);
    surplusSince_ = 0;
}

// Prefetched tokens that were not granted are requested again, but only every QUOTA_PREFETCH_RETRY_INTERVAL.
auto TenantAccount::updatePrefetchTarget(std::int64_t target, Microseconds now) -> void {
    auto isRequestDue = target > free_ && now - prefetchRequestedAt_ >= QUOTA_PREFETCH_RETRY_INTERVAL;
    if (isRequestDue) {
        version_++;
        prefetchRequestedAt_ = now;
    }
    prefetchTarget_ = target;
}

auto TenantAccount::usage() const -> wire::QuotaUse {
    auto usage = wire::QuotaUse();
    usage.carried = carried_;
    usage.granted = granted_;
    usage.spent = spent_;
    usage.returned = returned_;
    usage.waiting = waitingRequests;
    usage.wanted = reserved_ + prefetchTarget_;
    return usage;
}

auto TenantAccount::acknowledge(std::int64_t version, std::int64_t spent) -> void {
    acknowledgedVersion_ = std::max(acknowledgedVersion_, version);
    acknowledgedSpent_ = std::max(acknowledgedSpent_, spent);
}

auto TenantAccount::applyAllowance(const wire::QuotaAllowance& allowance, Microseconds now) -> void {
    auto added = allowance.granted - granted_;
    if (added > 0) {
        granted_ += added;
        free_ += added;
    }
    scarceUntil_ = allowance.scarce ? now + QUOTA_SCARCE_TIME : 0;
    rejectedUntil = allowance.refused ? now + QUOTA_REJECTION_TIME : 0;
}

auto TenantAccount::beginTerm(bool omitCarriedTokens) -> void {
    auto unacknowledgedSpent = spent_ - acknowledgedSpent_;
    carried_ = omitCarriedTokens ? 0 : outstanding() + unacknowledgedSpent;
    granted_ = omitCarriedTokens ? outstanding() : 0;
    spent_ = omitCarriedTokens ? 0 : unacknowledgedSpent;
    returned_ = 0;
    acknowledgedSpent_ = 0;
    if (carried_ > 0) version_++;
}

}  // namespace duneturn
