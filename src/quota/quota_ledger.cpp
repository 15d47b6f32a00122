#include "quota/quota_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace duneturn {
namespace {

/// How long after a node's tokens have lapsed the counts of that life are kept.
constexpr Microseconds HOLDER_KEPT = 60 * SECOND;
/// How often the tenants whose tokens are scarce are looked for.
constexpr Microseconds SCARCE_INTERVAL = 50 * MILLISECOND;

}  // namespace

QuotaLedger::QuotaLedger(std::int64_t term, const wire::QuotaImage* predecessors, Microseconds age,
    Counters& counters, Microseconds now)
    : term_(term),
      counters_(counters),
      predecessorsLapseAt_(now - age + QUOTA_PREDECESSOR_LAPSE),
      predecessorsUnknown_(!predecessors) {
    if (!predecessors) return;
    for (auto& part : predecessors->tenants) tenantLedger(part.tenant).inherit(part, now - age, now);
}

auto QuotaLedger::tenantLedger(const std::string& tenant) -> TenantLedger& {
    auto [found, isNew] = tenants_.try_emplace(tenant);
    auto& ledger = found->second;
    if (!isNew) return ledger;
    ledger.faults = &broken;
    if (predecessorsUnknown_ && !predecessorsLapsed_) ledger.inheritUnknown();
    return ledger;
}

auto QuotaLedger::setTenants(const TenantTable& tenants, Microseconds now) -> void {
    for (auto& [name, tenant] : tenants.all())
        if (tenant.isLimited()) tenantLedger(name);
    for (auto& [name, ledger] : tenants_) ledger.setLimit(tenants.find(name), tenants.bounds(), now);
    tick(now);
}

// ---- reports

auto QuotaLedger::announcement(const std::string& node) const -> wire::QuotaGrant {
    auto grant = wire::QuotaGrant();
    grant.node = node;
    grant.term = term_;
    return grant;
}

auto QuotaLedger::take(const std::string& node, const wire::QuotaReport& report, Microseconds now)
    -> wire::QuotaGrant {
    auto grant = announcement(node);
    auto mayAnswer = hasGranterLease(now) || broken.answerWithoutAuthority;
    if (report.term != term_ || !mayAnswer) return grant;
    auto& holder = holders_[report.life];
    if (report.sequence <= holder.sequence) return grant;
    holder.sequence = report.sequence;
    holder.answeredAt = now;
    holder.hasLapsed = false;
    grant.life = report.life;
    grant.sequence = report.sequence;
    for (auto& use : report.uses) {
        auto& tenant = tenantLedger(use.tenant);
        tenant.tick(now);
        auto& holding = openHolding(holder, use, tenant);
        takeUse(holding, use, tenant, now);
        grant.allowances.push_back(grantFor(holding, use, tenant, now));
    }
    addScarce(holder, grant);
    return grant;
}

// A node that this term has no counts of brings tokens along, or its counts were dropped after a lapse: then
// it holds nothing that the ledger doesn't count as spent.
auto QuotaLedger::openHolding(Holder& holder, const wire::QuotaUse& use, TenantLedger& tenant) -> Holding& {
    auto [found, isNew] = holder.holdings.try_emplace(use.tenant);
    auto& holding = found->second;
    if (!isNew) return holding;
    holding.carried = use.carried;
    if (use.granted > 0) {
        holding.granted = use.granted;
        holding.spent = use.spent;
        holding.returned = use.returned;
        tenant.claim(holding.held());
        return holding;
    }
    auto spentBefore = std::min(use.spent, use.carried);
    tenant.claim(use.carried - spentBefore);
    tenant.addHeld(spentBefore);
    return holding;
}

auto QuotaLedger::takeUse(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant, Microseconds now)
    -> void {
    raiseGranted(holding, use, tenant);
    auto spent = std::max<std::int64_t>(use.spent - holding.spent, 0);
    auto returned = std::max<std::int64_t>(use.returned - holding.returned, 0);
    auto chargedSpent = std::min(holding.charged, spent);
    holding.charged -= chargedSpent;
    auto chargedReturned = std::min(holding.charged, returned);
    holding.charged -= chargedReturned;
    tenant.spend(spent, chargedSpent, now);
    tenant.takeBack(returned, chargedReturned);
    holding.spent += spent;
    holding.returned += returned;
}

// A node that was silent reports what became of tokens that have lapsed here: they count as granted again.
auto QuotaLedger::raiseGranted(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant) -> void {
    auto used = std::max(use.spent, holding.spent) + std::max(use.returned, holding.returned);
    auto missing = used - holding.carried - holding.granted;
    if (missing <= 0) return;
    holding.granted += missing;
    tenant.addHeld(missing);
    auto settled = std::min(missing, holding.lapsed);
    tenant.settleLapsed(settled, holding.lapsedAt);
    holding.lapsed -= settled;
}

// What was granted and has not reached the node yet is for those who wait, too.
auto QuotaLedger::grantFor(Holding& holding, const wire::QuotaUse& use, TenantLedger& tenant,
    Microseconds now) -> wire::QuotaAllowance {
    auto onTheWay = std::max<std::int64_t>(holding.granted - use.granted, 0);
    auto needed = std::max<std::int64_t>(use.waiting - onTheWay, 0);
    auto granted = tenant.grantWaiting(needed, now);
    holding.granted += granted;
    holding.charged += tenant.isLimited() ? granted : 0;
    auto allowance = wire::QuotaAllowance();
    if (granted < needed) {
        allowance.refused = tenant.isExhausted();
        if (allowance.refused) tenant.noteRefused(needed - granted);
    } else {
        auto stock = std::max<std::int64_t>(use.waiting + use.wanted - holding.held(), 0);
        holding.granted += tenant.grantStock(stock, now);
    }
    allowance.tenant = use.tenant;
    allowance.granted = holding.granted;
    allowance.scarce = tenant.isScarce();
    return allowance;
}

// A node learns of scarce tokens also where it has nothing to say of the tenant.
auto QuotaLedger::addScarce(const Holder& holder, wire::QuotaGrant& grant) const -> void {
    for (auto& tenant : scarce_) {
        auto found = holder.holdings.find(tenant);
        if (found == holder.holdings.end() || found->second.held() <= 0) continue;
        auto isNamed = std::any_of(grant.allowances.begin(), grant.allowances.end(),
            [&](auto& allowance) { return allowance.tenant == tenant; });
        if (isNamed) continue;
        auto allowance = wire::QuotaAllowance();
        allowance.tenant = tenant;
        allowance.granted = found->second.granted;
        allowance.scarce = true;
        grant.allowances.push_back(allowance);
    }
}

// ---- time

auto QuotaLedger::tick(Microseconds now) -> void {
    lapsePredecessors(now);
    auto silence = broken.freeSilentAtOnce ? SECOND : QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    for (auto holder = holders_.begin(); holder != holders_.end();) {
        auto silentFor = now - holder->second.answeredAt;
        if (!holder->second.hasLapsed && silentFor >= silence) lapseHolder(holder->second, now);
        auto isOver = predecessorsLapsed_ && silentFor >= silence + HOLDER_KEPT;
        holder = isOver ? holders_.erase(holder) : std::next(holder);
    }
    if (now - scarceAt_ < SCARCE_INTERVAL) return;
    scarceAt_ = now;
    scarce_.clear();
    for (auto& [name, tenant] : tenants_) {
        tenant.tick(now);
        if (tenant.isScarce()) scarce_.push_back(name);
    }
}

// The counts go on as if the lapsed tokens had not been granted; see raiseGranted.
auto QuotaLedger::lapseHolder(Holder& holder, Microseconds now) -> void {
    holder.hasLapsed = true;
    for (auto& [name, holding] : holder.holdings) {
        auto held = holding.held();
        if (held <= 0) continue;
        tenantLedger(name).lapse(held, now);
        holding.granted -= held;
        holding.charged = 0;
        holding.lapsed = held;
        holding.lapsedAt = now;
    }
}

auto QuotaLedger::lapsePredecessors(Microseconds now) -> void {
    if (predecessorsLapsed_ || now < predecessorsLapseAt_) return;
    predecessorsLapsed_ = true;
    for (auto& [name, tenant] : tenants_) tenant.lapsePredecessors(predecessorsLapseAt_);
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
    heldImageSentAt_ = std::max(heldImageSentAt_, sentAt);
    for (auto& [name, tenant] : tenants_) tenant.confirmImage(sequence);
}

auto QuotaLedger::hasGranterLease(Microseconds now) const -> bool {
    return heldImageSentAt_ && now - heldImageSentAt_ <= QUOTA_AUTHORITY;
}

auto QuotaLedger::imageDue(Microseconds now) const -> bool {
    auto since = now - imageMadeAt_;
    if (!imageSequence_ || since >= QUOTA_IMAGE_HEARTBEAT) return true;
    if (since < QUOTA_IMAGE_SPACING) return false;
    return std::any_of(tenants_.begin(), tenants_.end(), [&](auto& entry) {
        auto& tenant = entry.second;
        return tenant.isBlockedByReserve() || (since >= QUOTA_IMAGE_INTERVAL && tenant.wantsImage());
    });
}

auto QuotaLedger::views(Microseconds now) const -> std::vector<QuotaView> {
    auto views = std::vector<QuotaView>();
    for (auto& [name, tenant] : tenants_) {
        if (!tenant.isLimited()) continue;
        auto current = tenant;  // as of now
        current.tick(now);
        auto outstanding = std::min(current.outstanding(), std::int64_t(current.bound()));
        views.push_back({name, current.limit(), current.bound(), current.spentInWindow(), outstanding,
            current.refused()});
    }
    return views;
}

}  // namespace duneturn
