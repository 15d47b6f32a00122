#include "routing/quota_admission.hpp"

#include <algorithm>
#include <cstddef>

#include "routing/request_phases.hpp"

namespace duneturn {
namespace {

// A request waits for a token for at most a quarter of its first-byte latency target, and never longer than
// MAX_WAIT.
constexpr auto TARGET_DIVISOR = 4;
constexpr Microseconds MAX_WAIT = 250 * MILLISECOND;

auto maxWait(const Request& request) -> Microseconds {
    auto target = request.route.firstByteTarget;
    return target ? std::min(MAX_WAIT, target / TARGET_DIVISOR) : MAX_WAIT;
}

// The outcome for a request whose wait has ended; QuotaDecision::Wait means that no answer came in time.
auto outcomeOf(QuotaDecision decision) -> QuotaWaitOutcome {
    if (decision == QuotaDecision::Granted) return QuotaWaitOutcome::Admitted;
    return decision == QuotaDecision::Refused ? QuotaWaitOutcome::Rejected : QuotaWaitOutcome::TimedOut;
}

}  // namespace

auto QuotaAdmission::reserve(Request& request, Microseconds now) -> QuotaDecision {
    auto& claim = request.quota;
    if (request.tenant.name.empty()) return QuotaDecision::Granted;
    auto decision = node_.quota().reserve(request.tenant.name, claim.reservation, now);
    if (decision == QuotaDecision::Granted) claim.state = QuotaClaim::State::Reserved;
    if (decision == QuotaDecision::Refused) counters_.add("quota_refused_total");
    if (decision != QuotaDecision::Wait) return decision;
    claim.state = QuotaClaim::State::Waiting;
    claim.tenant = request.tenant.name;
    claim.waitsUntil = std::min(request.limits.deadline, now + maxWait(request));
    waiting_.push_back(request.id);
    counters_.add("quota_waits_total");
    return decision;
}

auto QuotaAdmission::serveWaiting(
    const std::function<void(Request&, QuotaWaitOutcome)>& onWaitEnded, Microseconds now) -> void {
    // Each request that was waiting is looked at once; one that waits on goes to the back of the same order.
    for (auto remaining = waiting_.size(); remaining > 0; remaining--) {
        auto id = waiting_.front();
        waiting_.pop_front();
        auto found = requests_.find(id);
        if (found == requests_.end() || found->second.quota.state != QuotaClaim::State::Waiting) continue;
        auto& request = found->second;
        auto& claim = request.quota;
        auto decision = node_.quota().reserveWaiting(claim.tenant, claim.reservation, now);
        if (decision == QuotaDecision::Wait && now < claim.waitsUntil) {
            waiting_.push_back(id);
            continue;
        }
        if (decision == QuotaDecision::Wait) node_.quota().stopWaiting(claim.tenant);
        claim.state =
            decision == QuotaDecision::Granted ? QuotaClaim::State::Reserved : QuotaClaim::State::None;
        auto outcome = outcomeOf(decision);
        if (outcome == QuotaWaitOutcome::Rejected) counters_.add("quota_refused_total");
        if (outcome == QuotaWaitOutcome::TimedOut) counters_.add("quota_unanswered_total");
        onWaitEnded(request, outcome);
    }
}

auto QuotaAdmission::spend(Request& request, Microseconds now) -> bool {
    auto& claim = request.quota;
    if (request.tenant.name.empty() || claim.state == QuotaClaim::State::Spent) return true;
    // A newer configuration may have assigned the request's key to another tenant, whose quota then counts.
    auto hasOwnToken = claim.state == QuotaClaim::State::Reserved
        && (claim.reservation.tenant.empty() || claim.reservation.tenant == request.tenant.name);
    auto isSpent = hasOwnToken && node_.quota().spend(claim.reservation, now);
    if (!isSpent && !reserveAndSpend(request, now)) return false;
    claim.state = QuotaClaim::State::Spent;
    return true;
}

// Replaces the request's token by a new one and spends that; false if none is available at once.
auto QuotaAdmission::reserveAndSpend(Request& request, Microseconds now) -> bool {
    release(request, now);
    auto& claim = request.quota;
    auto& account = node_.quota();
    auto decision = account.reserve(request.tenant.name, claim.reservation, now);
    if (decision == QuotaDecision::Wait) account.stopWaiting(request.tenant.name);
    if (decision != QuotaDecision::Granted) return false;
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
