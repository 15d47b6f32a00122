#include "quota/quota_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace duneturn {
namespace {

/// How long the counters of an incarnation are kept after its tokens have expired.
constexpr Microseconds EXPIRED_HOLDER_RETENTION = 60 * SECOND;
/// How often the list of tenants with scarce tokens is updated.
constexpr Microseconds SCARCE_UPDATE_INTERVAL = 50 * MILLISECOND;

}  // namespace

QuotaLedger::QuotaLedger(std::int64_t term, const wire::QuotaImage* predecessors, Microseconds age,
    Counters& counters, Microseconds now)
    : term_(term),
      counters_(counters),
      predecessorsExpireAt_(now - age + QUOTA_PREDECESSOR_EXPIRY),
      predecessorsUnknown_(!predecessors) {
    if (!predecessors) return;
    for (auto& tenantImage : predecessors->tenants)
        findOrAddTenant(tenantImage.tenant).inherit(tenantImage, now - age, now);
}

auto QuotaLedger::findOrAddTenant(const std::string& tenant) -> TenantLedger& {
    auto [found, isNew] = tenants_.try_emplace(tenant);
    auto& ledger = found->second;
    if (!isNew) return ledger;
    ledger.faults = &faults;
    if (predecessorsUnknown_ && !predecessorsExpired_) ledger.inheritUnknown();
    return ledger;
}

auto QuotaLedger::setTenants(const TenantTable& tenants, Microseconds now) -> void {
    for (auto& [name, tenant] : tenants.all())
        if (tenant.isLimited()) findOrAddTenant(name);
    for (auto& [name, ledger] : tenants_) ledger.setLimit(tenants.find(name), tenants.bounds(), now);
    tick(now);
}

// ---- reports

auto QuotaLedger::makeGrant(const std::string& node) const -> wire::QuotaGrant {
    auto grant = wire::QuotaGrant();
    grant.node = node;
    grant.term = term_;
    return grant;
}

auto QuotaLedger::take(const std::string& node, const wire::QuotaReport& report, Microseconds now)
    -> wire::QuotaGrant {
    auto grant = makeGrant(node);
    auto mayAnswer = hasGranterLease(now) || faults.answerWithoutLease;
    if (report.term != term_ || !mayAnswer) return grant;
    auto& holder = holders_[report.life];
    if (report.sequence <= holder.reportSequence) return grant;
    holder.reportSequence = report.sequence;
    holder.answeredAt = now;
    holder.hasExpired = false;
    grant.life = report.life;
    grant.sequence = report.sequence;
    for (auto& usage : report.uses) {
        auto& tenant = findOrAddTenant(usage.tenant);
        tenant.tick(now);
        auto& balance = findOrOpenBalance(holder, usage, tenant);
        applyUsage(balance, usage, tenant, now);
        grant.allowances.push_back(grantAllowance(balance, usage, tenant, now));
    }
    addScarceTenants(holder, grant);
    return grant;
}

// If the first report names granted tokens, an older balance was dropped some time after its tokens expired;
// their uses are not recorded again, since the expired tokens have been counted as spent. Otherwise the node
// claims tokens carried over from earlier terms; those that it spent without an acknowledgement are
// outstanding until applyUsage records them.
auto QuotaLedger::findOrOpenBalance(Holder& holder, const wire::QuotaUse& usage, TenantLedger& tenant)
    -> TokenBalance& {
    auto [found, isNew] = holder.balances.try_emplace(usage.tenant);
    auto& balance = found->second;
    if (!isNew) return balance;
    balance.carried = usage.carried;
    if (usage.granted > 0) {
        balance.granted = usage.granted;
        balance.spent = usage.spent;
        balance.returned = usage.returned;
        tenant.claimCarried(balance.outstanding());
        return balance;
    }
    auto spentBefore = std::min(usage.spent, usage.carried);
    tenant.claimCarried(usage.carried - spentBefore);
    tenant.addOutstanding(spentBefore);
    return balance;
}

auto QuotaLedger::applyUsage(
    TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant, Microseconds now) -> void {
    reinstateExpired(balance, usage, tenant);
    auto spent = std::max<std::int64_t>(usage.spent - balance.spent, 0);
    auto returned = std::max<std::int64_t>(usage.returned - balance.returned, 0);
    auto chargedSpent = std::min(balance.charged, spent);
    balance.charged -= chargedSpent;
    auto chargedReturned = std::min(balance.charged, returned);
    balance.charged -= chargedReturned;
    tenant.recordSpent(spent, chargedSpent, now);
    tenant.recordReturned(returned, chargedReturned);
    balance.spent += spent;
    balance.returned += returned;
}

// A node that was unresponsive may report that it spent or returned tokens that have expired in this ledger.
// These count as granted again, instead of as spent at the time of their expiry.
auto QuotaLedger::reinstateExpired(TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant)
    -> void {
    auto used = std::max(usage.spent, balance.spent) + std::max(usage.returned, balance.returned);
    auto unaccounted = used - balance.carried - balance.granted;
    if (unaccounted <= 0) return;
    balance.granted += unaccounted;
    tenant.addOutstanding(unaccounted);
    auto reconciled = std::min(unaccounted, balance.expired);
    tenant.reconcileExpired(reconciled, balance.expiredAt);
    balance.expired -= reconciled;
}

// Tokens that were granted but have not reached the node yet will serve some of its waiting requests. If all
// of these get tokens, more are granted up to the number that the node wants in addition.
auto QuotaLedger::grantAllowance(TokenBalance& balance, const wire::QuotaUse& usage, TenantLedger& tenant,
    Microseconds now) -> wire::QuotaAllowance {
    auto inFlight = std::max<std::int64_t>(balance.granted - usage.granted, 0);
    auto needed = std::max<std::int64_t>(usage.waiting - inFlight, 0);
    auto granted = tenant.grantToWaiting(needed, now);
    balance.granted += granted;
    balance.charged += tenant.isLimited() ? granted : 0;
    auto allowance = wire::QuotaAllowance();
    if (granted < needed) {
        allowance.refused = tenant.isExhausted();
        if (allowance.refused) tenant.recordRejected(needed - granted);
    } else {
        auto prefetch = std::max<std::int64_t>(usage.waiting + usage.wanted - balance.outstanding(), 0);
        balance.granted += tenant.grantPrefetch(prefetch, now);
    }
    allowance.tenant = usage.tenant;
    allowance.granted = balance.granted;
    allowance.scarce = tenant.isScarce();
    return allowance;
}

// A node that holds scarce tokens is informed even if its report did not mention the tenant.
auto QuotaLedger::addScarceTenants(const Holder& holder, wire::QuotaGrant& grant) const -> void {
    for (auto& tenant : scarceTenants_) {
        auto found = holder.balances.find(tenant);
        if (found == holder.balances.end() || found->second.outstanding() <= 0) continue;
        auto isIncluded = std::any_of(grant.allowances.begin(), grant.allowances.end(),
            [&](auto& allowance) { return allowance.tenant == tenant; });
        if (isIncluded) continue;
        auto allowance = wire::QuotaAllowance();
        allowance.tenant = tenant;
        allowance.granted = found->second.granted;
        allowance.scarce = true;
        grant.allowances.push_back(allowance);
    }
}

// ---- expiry

auto QuotaLedger::tick(Microseconds now) -> void {
    expirePredecessors(now);
    auto timeout = faults.expireHoldersEarly ? SECOND : QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    for (auto holder = holders_.begin(); holder != holders_.end();) {
        auto sinceAnswer = now - holder->second.answeredAt;
        if (!holder->second.hasExpired && sinceAnswer >= timeout) expireHolder(holder->second, now);
        auto isObsolete = predecessorsExpired_ && sinceAnswer >= timeout + EXPIRED_HOLDER_RETENTION;
        holder = isObsolete ? holders_.erase(holder) : std::next(holder);
    }
    if (now - scarceTenantsUpdatedAt_ < SCARCE_UPDATE_INTERVAL) return;
    scarceTenantsUpdatedAt_ = now;
    scarceTenants_.clear();
    for (auto& [name, tenant] : tenants_) {
        tenant.tick(now);
        if (tenant.isScarce()) scarceTenants_.push_back(name);
    }
}

// The counters continue as if the expired tokens had not been granted; reinstateExpired corrects this if the
// node reports that it used them.
auto QuotaLedger::expireHolder(Holder& holder, Microseconds now) -> void {
    holder.hasExpired = true;
    for (auto& [name, balance] : holder.balances) {
        auto outstanding = balance.outstanding();
        if (outstanding <= 0) continue;
        findOrAddTenant(name).expireHeld(outstanding, now);
        balance.granted -= outstanding;
        balance.charged = 0;
        balance.expired = outstanding;
        balance.expiredAt = now;
    }
}

auto QuotaLedger::expirePredecessors(Microseconds now) -> void {
    if (predecessorsExpired_ || now < predecessorsExpireAt_) return;
    predecessorsExpired_ = true;
    for (auto& [name, tenant] : tenants_) tenant.expirePredecessors(predecessorsExpireAt_);
}

// ---- images

auto QuotaLedger::image(Microseconds now) -> wire::QuotaImage {
    auto image = wire::QuotaImage();
    image.term = term_;
    image.sequence = ++imageSequence_;
    imageMadeAt_ = now;
    for (auto& [name, tenant] : tenants_) {
        tenant.tick(now);
        if (!tenant.isLimited() && tenant.isIdle()) continue;
        image.tenants.push_back(tenant.image(image.sequence, now));
        image.tenants.back().tenant = name;
    }
    return image;
}

auto QuotaLedger::confirmImage(std::int64_t sequence, Microseconds sentAt) -> void {
    confirmedImageSentAt_ = std::max(confirmedImageSentAt_, sentAt);
    for (auto& [name, tenant] : tenants_) tenant.confirmImage(sequence);
}

auto QuotaLedger::hasGranterLease(Microseconds now) const -> bool {
    return confirmedImageSentAt_ && now - confirmedImageSentAt_ <= QUOTA_GRANTER_LEASE;
}

auto QuotaLedger::imageDue(Microseconds now) const -> bool {
    auto sinceImage = now - imageMadeAt_;
    if (!imageSequence_ || sinceImage >= QUOTA_IMAGE_HEARTBEAT) return true;
    if (sinceImage < QUOTA_MIN_IMAGE_INTERVAL) return false;
    return std::any_of(tenants_.begin(), tenants_.end(), [&](auto& entry) {
        auto& tenant = entry.second;
        return tenant.isBlockedByReserve() || (sinceImage >= QUOTA_IMAGE_INTERVAL && tenant.wantsImage());
    });
}

auto QuotaLedger::views(Microseconds now) const -> std::vector<QuotaView> {
    auto views = std::vector<QuotaView>();
    for (auto& [name, tenant] : tenants_) {
        if (!tenant.isLimited()) continue;
        auto current = tenant;  // a copy, because tick() modifies it
        current.tick(now);
        auto outstanding = std::min(current.outstanding(), std::int64_t(current.bound()));
        views.push_back({name, current.limit(), current.bound(), current.spentInWindow(), outstanding,
            current.rejected()});
    }
    return views;
}

}  // namespace duneturn
