#include "quota/quota_account.hpp"

#include <algorithm>

namespace duneturn {
namespace {

/// What rejected clients are asked to wait: as long as it takes to refill a part of a bucket.
constexpr Microseconds RETRY_AFTER = 1 * SECOND;

}  // namespace

auto QuotaAccount::setTenants(const TenantTable& tenants, Microseconds now) -> void {
    lapseIfDue(now);
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
    account.voidTokens();
    account.lease = ++leases_;
}

// The clock counts the time that the process was stopped, so a lease has lapsed when it wakes up.
auto QuotaAccount::lapseIfDue(Microseconds now) -> void {
    if (!leaseUntil_ || !isLeaseOver(now) || broken.spendWithoutLease) return;
    leaseUntil_ = 0;
    for (auto& [name, account] : accounts_) {
        if (account.held() > 0) counters_.add("quota_tokens_lapsed_total", account.held());
        voidTokens(account);
    }
}

// ---- requests

auto QuotaAccount::takeToken(TenantAccount& account, const std::string& tenant, QuotaReservation& reservation)
    -> bool {
    if (!account.reserve()) return false;
    reservation.tenant = tenant;
    reservation.lease = account.lease;
    return true;
}

auto QuotaAccount::reserve(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
    -> QuotaDecision {
    reservation = {};
    lapseIfDue(now);
    auto account = findLimited(tenant);
    if (!account) return QuotaDecision::Granted;
    account->noteRequest(now);
    if (takeToken(*account, tenant, reservation)) return QuotaDecision::Granted;
    if (now < account->refusedUntil) return QuotaDecision::Refused;
    account->waiting++;
    waiting_++;
    reportSoon_ = true;
    return QuotaDecision::Wait;
}

auto QuotaAccount::reserveWaiting(const std::string& tenant, QuotaReservation& reservation, Microseconds now)
    -> QuotaDecision {
    reservation = {};
    lapseIfDue(now);
    auto account = findLimited(tenant);
    if (account && !takeToken(*account, tenant, reservation)) {
        if (now >= account->refusedUntil) return QuotaDecision::Wait;
        stopWaiting(tenant);
        return QuotaDecision::Refused;
    }
    stopWaiting(tenant);
    return QuotaDecision::Granted;
}

auto QuotaAccount::stopWaiting(const std::string& tenant) -> void {
    auto found = accounts_.find(tenant);
    if (found == accounts_.end() || found->second.waiting <= 0) return;
    found->second.waiting--;
    waiting_--;
}

auto QuotaAccount::spend(const QuotaReservation& reservation, Microseconds now) -> bool {
    if (reservation.tenant.empty()) return true;
    lapseIfDue(now);
    auto account = findLimited(reservation.tenant);
    if (!account) return true;
    if (account->lease != reservation.lease) return false;
    account->spend();
    return true;
}

auto QuotaAccount::release(const QuotaReservation& reservation, Microseconds now) -> void {
    if (reservation.tenant.empty()) return;
    lapseIfDue(now);
    auto account = findLimited(reservation.tenant);
    if (account && account->lease == reservation.lease) account->release();
}

// ---- reports

auto QuotaAccount::reportDue(Microseconds now) const -> bool {
    auto since = now - reportedAt_;
    if (reportedAt_ && since < QUOTA_REPORT_SPACING) return false;
    if (reportSoon_) return true;
    if (waiting_ > 0 && since >= QUOTA_WAITING_INTERVAL) return true;
    if (since < QUOTA_REPORT_INTERVAL) return false;
    return std::any_of(accounts_.begin(), accounts_.end(),
        [](auto& entry) { return entry.second.held() > 0 || entry.second.hasNews(); });
}

auto QuotaAccount::report(Microseconds now) -> wire::QuotaReport {
    lapseIfDue(now);
    auto report = wire::QuotaReport();
    report.life = life_;
    report.sequence = ++sequence_;
    report.term = term_;
    auto sent = SentReport{sequence_, now, {}};
    for (auto& [name, account] : accounts_) {
        if (account.limited) account.adjustStock(now);
        if (!account.hasNews()) continue;
        report.uses.push_back(account.use());
        report.uses.back().tenant = name;
        sent.uses.push_back({name, account.version(), account.spent()});
    }
    reportedAt_ = now;
    reportSoon_ = false;
    while (!sentReports_.empty() && now - sentReports_.front().sentAt > QUOTA_LEASE) sentReports_.pop_front();
    sentReports_.push_back(std::move(sent));
    return report;
}

auto QuotaAccount::take(const wire::QuotaGrant& grant, Microseconds now) -> bool {
    lapseIfDue(now);
    if (grant.term < term_ && !broken.takeLowerTerm) return false;
    if (grant.sequence && grant.life != life_) return false;
    if (grant.term != term_) beginTerm(grant);
    granter_ = grant.granter;
    if (grant.sequence <= answeredSequence_) return true;
    while (!sentReports_.empty() && sentReports_.front().sequence < grant.sequence) sentReports_.pop_front();
    if (sentReports_.empty() || sentReports_.front().sequence != grant.sequence) return true;
    answeredSequence_ = grant.sequence;
    answeredAt_ = now;
    leaseUntil_ = std::max(leaseUntil_, sentReports_.front().sentAt + QUOTA_LEASE);
    acknowledge(sentReports_.front());
    sentReports_.pop_front();
    for (auto& allowance : grant.allowances) accounts_[allowance.tenant].take(allowance, now);
    lapseIfDue(now);
    return true;
}

auto QuotaAccount::acknowledge(const SentReport& report) -> void {
    for (auto& use : report.uses) accounts_[use.tenant].acknowledge(use.version, use.spent);
}

// Tokens stay usable under the lease of the earlier term; the new granter learns of them by the next report.
auto QuotaAccount::beginTerm(const wire::QuotaGrant& grant) -> void {
    term_ = grant.term;
    sentReports_.clear();
    for (auto& [name, account] : accounts_) {
        account.beginTerm(broken.forgetCarried);
        reportSoon_ = reportSoon_ || account.waiting > 0 || account.held() > 0;
    }
}

auto QuotaAccount::available(const std::string& tenant, Microseconds now) const -> std::int64_t {
    auto found = accounts_.find(tenant);
    return found == accounts_.end() || isLeaseOver(now) ? 0 : found->second.available();
}

auto QuotaAccount::outstanding(const std::string& tenant, Microseconds now) const -> std::int64_t {
    auto found = accounts_.find(tenant);
    auto isOver = isLeaseOver(now) && !broken.spendWithoutLease;
    return found == accounts_.end() || isOver ? 0 : found->second.held();
}

auto QuotaAccount::retryAfter(const std::string& tenant, Microseconds now) const -> Microseconds {
    auto found = accounts_.find(tenant);
    return found != accounts_.end() && now < found->second.refusedUntil ? RETRY_AFTER : 0;
}

}  // namespace duneturn
