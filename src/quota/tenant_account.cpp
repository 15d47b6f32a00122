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

auto TenantAccount::voidTokens() -> void {
    free_ += reserved_;
    reserved_ = 0;
    if (free_ > 0) returnFree(free_);
}

auto TenantAccount::adjustStock(Microseconds now) -> void {
    auto isScarce = now < scarceUntil_;
    auto wanted = isScarce ? 0 : demand_.wantedTokens(now);
    noteWanted(wanted, now);
    auto surplus = free_ - waiting - wanted;
    if (surplus <= 0) {
        surplusSince_ = 0;
        return;
    }
    if (!surplusSince_) surplusSince_ = now;
    if (!isScarce && now - surplusSince_ < QUOTA_SURPLUS_TIME) return;
    returnFree(surplus);
    surplusSince_ = 0;
}

// Stock that was not granted is asked for again, but not with each report.
auto TenantAccount::noteWanted(std::int64_t wanted, Microseconds now) -> void {
    auto lacks = wanted > free_ && now - wantedAt_ >= QUOTA_STOCK_INTERVAL;
    if (lacks) {
        version_++;
        wantedAt_ = now;
    }
    wanted_ = wanted;
}

auto TenantAccount::use() const -> wire::QuotaUse {
    auto use = wire::QuotaUse();
    use.carried = carried_;
    use.granted = granted_;
    use.spent = spent_;
    use.returned = returned_;
    use.waiting = waiting;
    use.wanted = reserved_ + wanted_;
    return use;
}

auto TenantAccount::acknowledge(std::int64_t version, std::int64_t spent) -> void {
    answeredVersion_ = std::max(answeredVersion_, version);
    acknowledgedSpent_ = std::max(acknowledgedSpent_, spent);
}

auto TenantAccount::take(const wire::QuotaAllowance& allowance, Microseconds now) -> void {
    auto added = allowance.granted - granted_;
    if (added > 0) {
        granted_ += added;
        free_ += added;
    }
    scarceUntil_ = allowance.scarce ? now + QUOTA_SCARCE_TIME : 0;
    refusedUntil = allowance.refused ? now + QUOTA_REFUSAL_TIME : 0;
}

auto TenantAccount::beginTerm(bool forgetCarried) -> void {
    auto unacknowledged = spent_ - acknowledgedSpent_;
    carried_ = forgetCarried ? 0 : held() + unacknowledged;
    granted_ = forgetCarried ? held() : 0;
    spent_ = forgetCarried ? 0 : unacknowledged;
    returned_ = 0;
    acknowledgedSpent_ = 0;
    if (carried_ > 0) version_++;
}

}  // namespace duneturn
