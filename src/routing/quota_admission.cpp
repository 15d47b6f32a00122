#include "routing/quota_admission.hpp"

#include <algorithm>
#include <cstddef>

#include "routing/request_phases.hpp"

namespace duneturn {
namespace {

constexpr auto WAIT_PART_OF_TARGET = 4;  // a request waits for a token for this part of its target
constexpr Microseconds LONGEST_WAIT = 250 * MILLISECOND;

auto longestWait(const Request& request) -> Microseconds {
    auto target = request.route.firstByteTarget;
    return target ? std::min(LONGEST_WAIT, target / WAIT_PART_OF_TARGET) : LONGEST_WAIT;
}

/// Of a request that waits no longer.
auto verdictOf(QuotaDecision answer) -> QuotaVerdict {
    if (answer == QuotaDecision::Granted) return QuotaVerdict::Admitted;
    return answer == QuotaDecision::Refused ? QuotaVerdict::Refused : QuotaVerdict::Unanswered;
}

}  // namespace

auto QuotaAdmission::ask(Request& request, Microseconds now) -> QuotaDecision {
    auto& claim = request.quota;
    if (request.tenant.name.empty()) return QuotaDecision::Granted;
    auto answer = node_.quota().reserve(request.tenant.name, claim.reservation, now);
    if (answer == QuotaDecision::Granted) claim.state = QuotaClaim::State::Reserved;
    if (answer == QuotaDecision::Refused) counters_.add("quota_refused_total");
    if (answer != QuotaDecision::Wait) return answer;
    claim.state = QuotaClaim::State::Waiting;
    claim.tenant = request.tenant.name;
    claim.waitsUntil = std::min(request.limits.deadline, now + longestWait(request));
    waiting_.push_back(request.id);
    counters_.add("quota_waits_total");
    return answer;
}

auto QuotaAdmission::serveWaiting(const std::function<void(Request&, QuotaVerdict)>& settle, Microseconds now)
    -> void {
    for (auto count = waiting_.size(); count > 0; count--) {
        auto id = waiting_.front();
        waiting_.pop_front();
        auto found = requests_.find(id);
        if (found == requests_.end() || found->second.quota.state != QuotaClaim::State::Waiting) continue;
        auto& request = found->second;
        auto& claim = request.quota;
        auto answer = node_.quota().reserveWaiting(claim.tenant, claim.reservation, now);
        if (answer == QuotaDecision::Wait && now < claim.waitsUntil) {
            waiting_.push_back(id);
            continue;
        }
        if (answer == QuotaDecision::Wait) node_.quota().stopWaiting(claim.tenant);
        claim.state =
            answer == QuotaDecision::Granted ? QuotaClaim::State::Reserved : QuotaClaim::State::None;
        auto verdict = verdictOf(answer);
        if (verdict == QuotaVerdict::Refused) counters_.add("quota_refused_total");
        if (verdict == QuotaVerdict::Unanswered) counters_.add("quota_unanswered_total");
        settle(request, verdict);
    }
}

auto QuotaAdmission::spend(Request& request, Microseconds now) -> bool {
    auto& claim = request.quota;
    if (request.tenant.name.empty() || claim.state == QuotaClaim::State::Spent) return true;
    // A newer configuration may have given the request's key to another tenant.
    auto isOwn = claim.state == QuotaClaim::State::Reserved
        && (claim.reservation.tenant.empty() || claim.reservation.tenant == request.tenant.name);
    auto isSpent = isOwn && node_.quota().spend(claim.reservation, now);
    if (!isSpent && !reserveNow(request, now)) return false;
    claim.state = QuotaClaim::State::Spent;
    return true;
}

// Takes a token and spends it at once.
auto QuotaAdmission::reserveNow(Request& request, Microseconds now) -> bool {
    release(request, now);
    auto& claim = request.quota;
    auto& account = node_.quota();
    auto answer = account.reserve(request.tenant.name, claim.reservation, now);
    if (answer == QuotaDecision::Wait) account.stopWaiting(request.tenant.name);
    if (answer != QuotaDecision::Granted) return false;
    claim.state = QuotaClaim::State::Reserved;
    return account.spend(claim.reservation, now);
}

auto QuotaAdmission::release(Request& request, Microseconds now) -> void {
    auto& claim = request.quota;
    if (claim.state == QuotaClaim::State::Waiting) node_.quota().stopWaiting(claim.tenant);
    if (claim.state == QuotaClaim::State::Reserved) node_.quota().release(claim.reservation, now);
    if (claim.state != QuotaClaim::State::Spent) claim.state = QuotaClaim::State::None;
}

}  // namespace duneturn
