#include "quota/quota_account.hpp"

#include <algorithm>

namespace duneturn {
namespace {

/// How long rejected clients are asked to wait; meanwhile a part of the tenant's bucket refills.
constexpr Microseconds RETRY_AFTER = 1 * SECOND;

}  // namespace

auto QuotaAccount::setTenants(const TenantTable& tenants, Microseconds now) -> void {
    expireIfDue(now);
    for (auto& [name, account] : accounts_) {
        auto tenant = tenants.find(name);
        account.limited = tenant && tenant->isLimited();
        if (!account.limited) voidTokens(account);
    }
    for (auto& [name, tenant] : tenants.all())
        if (tenant.isLimited()) accounts_[name].limited = true;
}

auto QuotaAccount::findLimited(const std::string& tenant) -> TenantAccount* {
    auto found = accounts_.find(tenant);
    return found == accounts_.end() || !found->second.limited ? nullptr : &found->second;
}

auto QuotaAccount::voidTokens(TenantAccount& account) -> void {
    account.returnAll();
    account.leaseNumber = ++lastLeaseNumber_;
}

// The clock also runs while the process or the machine is suspended, so that a lease that ends meanwhile is
// found expired in the first call afterwards.
auto QuotaAccount::expireIfDue(Microseconds now) -> void {
    if (!leaseEndsAt_ || !isLeaseOver(now) || faults.spendWithoutLease) return;
    leaseEndsAt_ = 0;
    for (auto& [name, account] : accounts_) {
        if (account.outstanding() > 0) counters_.add("quota_tokens_lapsed_total", account.outstanding());
        voidTokens(account);
    }
}

// ---- requests

auto QuotaAccount::takeToken(TenantAccount& account, const std::string& tenant, QuotaReservation& reservation)
    -> bool {
    if (!account.reserve()) return false;
    reservation.tenant = tenant;
    reservation.leaseNumber = account.leaseNumber;
    return true;
}

auto QuotaAccount::reserve(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
    -> QuotaDecision {
    reservation = {};
    expireIfDue(now);
    auto account = findLimited(tenant);
    if (!account) return QuotaDecision::Granted;
    account->recordRequest(now);
    if (takeToken(*account, tenant, reservation)) return QuotaDecision::Granted;
    if (now < account->rejectedUntil) return QuotaDecision::Refused;
    account->waitingRequests++;
    waitingRequests_++;
    reportSoon_ = true;
    return QuotaDecision::Wait;
}

// The request needs no token if the tenant's limit was removed while the request waited.
auto QuotaAccount::reserveWaiting(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
    -> QuotaDecision {
    reservation = {};
    expireIfDue(now);
    auto account = findLimited(tenant);
    if (account && !takeToken(*account, tenant, reservation)) {
        if (now >= account->rejectedUntil) return QuotaDecision::Wait;
        stopWaiting(tenant);
        return QuotaDecision::Refused;
    }
    stopWaiting(tenant);
    return QuotaDecision::Granted;
}

auto QuotaAccount::stopWaiting(const std::string& tenant) -> void {
    auto found = accounts_.find(tenant);
    if (found == accounts_.end() || found->second.waitingRequests <= 0) return;
    found->second.waitingRequests--;
    waitingRequests_--;
}

auto QuotaAccount::spend(const QuotaReservation& reservation, Microseconds now) -> bool {
    if (reservation.tenant.empty()) return true;
    expireIfDue(now);
    auto account = findLimited(reservation.tenant);
    if (!account) return true;
    if (account->leaseNumber != reservation.leaseNumber) return false;
    account->spend();
    return true;
}

auto QuotaAccount::release(const QuotaReservation& reservation, Microseconds now) -> void {
    if (reservation.tenant.empty()) return;
    expireIfDue(now);
    auto account = findLimited(reservation.tenant);
    if (account && account->leaseNumber == reservation.leaseNumber) account->release();
}

// ---- reports

auto QuotaAccount::reportDue(Microseconds now) const -> bool {
    auto sinceReport = now - reportedAt_;
    if (reportedAt_ && sinceReport < QUOTA_MIN_REPORT_INTERVAL) return false;
    if (reportSoon_) return true;
    if (waitingRequests_ > 0 && sinceReport >= QUOTA_WAITING_REPORT_INTERVAL) return true;
    if (sinceReport < QUOTA_REPORT_INTERVAL) return false;
    return std::any_of(accounts_.begin(), accounts_.end(),
        [](auto& entry) { return entry.second.outstanding() > 0 || entry.second.needsReport(); });
}

auto QuotaAccount::report(Microseconds now) -> wire::QuotaReport {
    expireIfDue(now);
    auto report = wire::QuotaReport();
    report.life = incarnation_;
    report.sequence = ++sequence_;
    report.term = term_;
    auto sent = SentReport{sequence_, now, {}};
    for (auto& [name, account] : accounts_) {
        if (account.limited) account.adjustPrefetch(now);
        if (!account.needsReport()) continue;
        report.uses.push_back(account.usage());
        report.uses.back().tenant = name;
        sent.usages.push_back({name, account.version(), account.spent()});
    }
    reportedAt_ = now;
    reportSoon_ = false;
    while (!sentReports_.empty() && now - sentReports_.front().sentAt > QUOTA_LEASE) sentReports_.pop_front();
    sentReports_.push_back(std::move(sent));
    return report;
}

// A grant has sequence 0 if it announces a new granter or if the report was not accepted. The last check for
// expiry is needed because the lease counts from the sending of the report and may have ended already.
auto QuotaAccount::take(const wire::QuotaGrant& grant, Microseconds now) -> bool {
    expireIfDue(now);
    if (grant.term < term_ && !faults.acceptStaleGrants) return false;
    if (grant.sequence && grant.life != incarnation_) return false;
    if (grant.term != term_) beginTerm(grant);
    granter_ = grant.granter;
    if (grant.sequence <= answeredSequence_) return true;
    while (!sentReports_.empty() && sentReports_.front().sequence < grant.sequence) sentReports_.pop_front();
    if (sentReports_.empty() || sentReports_.front().sequence != grant.sequence) return true;
    answeredSequence_ = grant.sequence;
    answeredAt_ = now;
    leaseEndsAt_ = std::max(leaseEndsAt_, sentReports_.front().sentAt + QUOTA_LEASE);
    acknowledge(sentReports_.front());
    sentReports_.pop_front();
    for (auto& allowance : grant.allowances) accounts_[allowance.tenant].applyAllowance(allowance, now);
    expireIfDue(now);
    return true;
}

auto QuotaAccount::acknowledge(const SentReport& report) -> void {
    for (auto& usage : report.usages) accounts_[usage.tenant].acknowledge(usage.version, usage.spent);
}

// Tokens stay usable under the lease of the previous term; the next report informs the new granter of them.
auto QuotaAccount::beginTerm(const wire::QuotaGrant& grant) -> void {
    term_ = grant.term;
    sentReports_.clear();
    for (auto& [name, account] : accounts_) {
        account.beginTerm(faults.omitCarriedTokens);
        reportSoon_ = reportSoon_ || account.waitingRequests > 0 || account.outstanding() > 0;
    }
}

auto QuotaAccount::available(const std::string& tenant, Microseconds now) const -> std::int64_t {
    auto found = accounts_.find(tenant);
    return found == accounts_.end() || isLeaseOver(now) ? 0 : found->second.available();
}

auto QuotaAccount::outstanding(const std::string& tenant, Microseconds now) const -> std::int64_t {
    auto found = accounts_.find(tenant);
    auto isExpired = isLeaseOver(now) && !faults.spendWithoutLease;
    return found == accounts_.end() || isExpired ? 0 : found->second.outstanding();
}

auto QuotaAccount::retryAfter(const std::string& tenant, Microseconds now) const -> Microseconds {
    auto found = accounts_.find(tenant);
    return found != accounts_.end() && now < found->second.rejectedUntil ? RETRY_AFTER : 0;
}

}  // namespace duneturn
