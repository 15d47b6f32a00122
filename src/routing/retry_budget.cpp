#include "routing/retry_budget.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto TOKENS_PER_CREDIT = 4096;  // of a prompt that is read again, beside the attempt itself
constexpr auto GRANT = 2 * CREDIT_PER_ATTEMPT;
constexpr auto GRANT_RESERVE = 8 * CREDIT_PER_ATTEMPT;  // what a node keeps for itself
constexpr auto GRANT_INTERVAL = 200 * MILLISECOND;
constexpr auto SHORTAGE_HOLDS = 2 * SECOND;  // how long others are asked for credit

}  // namespace

auto RetryBudget::account(const std::string& service, Microseconds now) -> std::int64_t& {
    if (routes_.budgetSlack < 0) return credit_;
    auto& account = accounts_[service];
    auto cap = std::int64_t(routes_.budgetSlack * double(CREDIT_PER_ATTEMPT) / double(fleet_.nodes()));
    if (!account.opened && fleet_.settled(now)) {  // how many nodes there are is known by now
        account.opened = true;
        account.credit += cap / 2;
    }
    account.credit = std::min(account.credit, cap);
    return account.credit;
}

// Reading a long prompt again costs more than reading a short one; where arrivals are what is counted,
// each is one.
auto RetryBudget::cost(const Request& request) const -> std::int64_t {
    if (faults_.ignoreRetryBudget) return 0;
    if (dialect_.clientNamesRequests) return CREDIT_PER_ATTEMPT;
    return CREDIT_PER_ATTEMPT + CREDIT_PER_ATTEMPT * request.limits.sequenceTokens / TOKENS_PER_CREDIT;
}

auto RetryBudget::allows(const Request& request, Microseconds now) -> bool {
    return account(request.route.service, now) >= cost(request);
}

auto RetryBudget::pay(const Request& request, Microseconds now) -> void {
    account(request.route.service, now) -= cost(request);
}

auto RetryBudget::recordShortage(Microseconds now) -> void {
    shortageAt_ = now;
    counters_.add("budget_denied_total");
}

auto RetryBudget::recordAttempt(Request& request, Microseconds now) -> void {
    counters_.add("sends_total");
    if (!request.attempts.noneCounted) return;
    request.attempts.noneCounted = false;
    auto& credit = account(request.route.service, now);
    if (request.limits.resumedByClient) {
        credit -= cost(request);
        counters_.add("resumptions_total");
        counters_.add("extra_sends_total");
        counters_.add("prompt_tokens_again_total", request.limits.sequenceTokens);
        return;
    }
    counters_.add("first_sends_total");
    credit += std::int64_t(routes_.budgetShare * CREDIT_PER_ATTEMPT);
    if (routes_.budgetSlack < 0) credit = std::min(credit, routes_.budgetCap * CREDIT_PER_ATTEMPT);
    account(request.route.service, now);  // bounds it
}

auto RetryBudget::countsAsFurther(Execution execution) const -> bool {
    return execution != Execution::NotArrived || !dialect_.clientNamesRequests;
}

auto RetryBudget::receiveGrant(std::int64_t credit) -> void {
    credit_ = std::min(credit_ + credit, routes_.budgetCap * CREDIT_PER_ATTEMPT);
    counters_.add("grants_taken_total");
}

auto RetryBudget::tick(Node& node, Microseconds now) -> void {
    node.setCredit(credit_, shortageAt_ && now - shortageAt_ < SHORTAGE_HOLDS ? 1 : 0);
    if (now - grantedAt_ > GRANT_INTERVAL && credit_ > GRANT_RESERVE) {
        grantedAt_ = now;
        grantToOthers(node, now);
    }
    counters_.set("credit_milli", credit_);
}

// Spare credit goes to nodes that lack it: taken off here first, so none is minted. Of several nodes that
// could grant, the one that rendezvous hashing puts first does.
auto RetryBudget::grantToOthers(Node& node, Microseconds now) -> void {
    auto isFirst = [&](const std::string& poor) {
        for (auto& [name, known] : node.nodes())
            if (name != poor && now - known.lastHeartbeatAt < ALIVE_TIMEOUT
                && known.record.credit > GRANT_RESERVE
                && rendezvousRank(poor, name) > rendezvousRank(poor, node.ownRecord().node))
                return false;
        return true;
    };
    for (auto& [name, known] : node.nodes()) {
        auto isPoor = known.record.want && known.record.credit < GRANT;
        if (now - known.lastHeartbeatAt >= ALIVE_TIMEOUT || !isPoor || credit_ <= GRANT_RESERVE
            || !isFirst(name))
            continue;
        credit_ -= GRANT;
        node.grantCredit(name, GRANT, now);
        counters_.add("grants_given_total");
    }
}

}  // namespace duneturn
