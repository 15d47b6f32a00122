#include "routing/retry_budget.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

// Prompt tokens whose repeated processing by a server costs as much as one attempt.
constexpr auto TOKENS_PER_ATTEMPT_COST = 4096;
constexpr auto CREDIT_PER_GRANT = 2 * CREDIT_PER_ATTEMPT;
constexpr auto CREDIT_RESERVE = 8 * CREDIT_PER_ATTEMPT;  // a node with no more than this grants nothing
constexpr auto GRANT_INTERVAL = 200 * MILLISECOND;
constexpr auto SHORTAGE_REPORT_TIME = 2 * SECOND;  // for how long a node asks others for credit

}  // namespace

// Returns the credit that requests of a service use: that of all services, or, if the configuration sets a
// slack, that of the service's own account, limited to this node's share of the slack.
auto RetryBudget::account(const std::string& service, Microseconds now) -> std::int64_t& {
    if (routes_.budgetSlack < 0) return credit_;
    auto& account = accounts_[service];
    auto cap = std::int64_t(routes_.budgetSlack * double(CREDIT_PER_ATTEMPT) / double(fleet_.nodes()));
    // The initial credit is half the cap. The cap depends on the number of nodes, which is known only once
    // the fleet has settled.
    if (!account.opened && fleet_.settled(now)) {
        account.opened = true;
        account.credit += cap / 2;
    }
    account.credit = std::min(account.credit, cap);
    return account.credit;
}

// Each attempt costs the same where clients name requests (Dialect::clientNamesRequests), since there the
// budget limits the number of requests that arrive at servers. Elsewhere the cost grows with the tokens of
// the sequence, which the next server has to process again.
auto RetryBudget::cost(const Request& request) const -> std::int64_t {
    if (faults_.ignoreRetryBudget) return 0;
    if (dialect_.clientNamesRequests) return CREDIT_PER_ATTEMPT;
    return CREDIT_PER_ATTEMPT + CREDIT_PER_ATTEMPT * request.limits.sequenceTokens / TOKENS_PER_ATTEMPT_COST;
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
    if (!request.attempts.isFirstAttemptUncounted) return;
    request.attempts.isFirstAttemptUncounted = false;
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
    account(request.route.service, now);  // limits the credit of a service's own account to its cap
}

auto RetryBudget::isCharged(Execution execution) const -> bool {
    return execution != Execution::NotArrived || !dialect_.clientNamesRequests;
}

auto RetryBudget::receiveGrant(std::int64_t credit) -> void {
    credit_ = std::min(credit_ + credit, routes_.budgetCap * CREDIT_PER_ATTEMPT);
    counters_.add("grants_taken_total");
}

auto RetryBudget::tick(Node& node, Microseconds now) -> void {
    node.setCredit(credit_, shortageAt_ && now - shortageAt_ < SHORTAGE_REPORT_TIME ? 1 : 0);
    if (now - grantedAt_ > GRANT_INTERVAL && credit_ > CREDIT_RESERVE) {
        grantedAt_ = now;
        grantToOthers(node, now);
    }
    counters_.set("credit_milli", credit_);
}

// Grants spare credit to nodes that lack it. The credit is subtracted here before it is sent, so a lost
// message loses credit and cannot create any. Of several nodes that could grant credit to a recipient, only
// the one that rendezvous hashing ranks first for this recipient does.
auto RetryBudget::grantToOthers(Node& node, Microseconds now) -> void {
    auto isFirstGranter = [&](const std::string& recipient) {
        for (auto& [name, known] : node.nodes())
            if (name != recipient && now - known.lastHeartbeatAt < ALIVE_TIMEOUT
                && known.record.credit > CREDIT_RESERVE
                && rendezvousRank(recipient, name) > rendezvousRank(recipient, node.ownRecord().node))
                return false;
        return true;
    };
    for (auto& [name, known] : node.nodes()) {
        auto lacksCredit = known.record.want && known.record.credit < CREDIT_PER_GRANT;
        if (now - known.lastHeartbeatAt >= ALIVE_TIMEOUT || !lacksCredit || credit_ <= CREDIT_RESERVE
            || !isFirstGranter(name))
            continue;
        credit_ -= CREDIT_PER_GRANT;
        node.grantCredit(name, CREDIT_PER_GRANT, now);
        counters_.add("grants_given_total");
    }
}

}  // namespace duneturn
