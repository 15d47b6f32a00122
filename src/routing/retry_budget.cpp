// What further sends are paid from.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

// Counts a send. The first of an exchange earns credit; one that carries on a stream whose
// sender lost its node was begun elsewhere, so it is an extra one.
auto Edge::count(Request& x, Microseconds now) -> void {
    counters_.add("sends_total");
    if (!x.attempts.noneCounted) return;
    x.attempts.noneCounted = false;
    auto& c = budgetOf(x.route.service, now);
    if (x.limits.resumedByClient) {
        c -= cost(x);
        counters_.add("resumptions_total");
        counters_.add("extra_sends_total");
        counters_.add("prompt_tokens_again_total", x.limits.sequenceTokens);
    } else {
        counters_.add("first_sends_total");
        c += std::int64_t(routes_.budgetShare * ONE);
        if (routes_.budgetSlack < 0) c = std::min(c, routes_.budgetCap * ONE);
        budgetOf(x.route.service, now);
    }
}

// What extra sends are paid from: one purse for all, or where a slack is named one for each
// pool, since what one pool's exchanges earned must not fall on another pool's servers.
auto Edge::budgetOf(const std::string& service, Microseconds now) -> std::int64_t& {
    if (routes_.budgetSlack < 0) return credit_;
    auto& p = budgets_[service];
    auto cap = std::int64_t(routes_.budgetSlack * double(ONE) / double(nodeCount()));
    if (!p.open && nodeCountSettled(now)) {  // how many nodes there are is known by now
        p.open = true;
        p.milli += cap / 2;
    }
    p.milli = std::min(p.milli, cap);
    return p.milli;
}

auto Edge::budgetAllows(const Request& x, Microseconds now) -> bool {
    return budgetOf(x.route.service, now) >= cost(x);
}

// Reading a long prompt again costs more than reading a short one; where arrivals are what is
// counted, each is one.
auto Edge::cost(const Request& x) const -> std::int64_t {
    if (broken.noBudget) return 0;
    return dialect_.clientNamesRequests ? ONE : ONE + ONE * x.limits.sequenceTokens / 4096;
}

// Where arrivals are what is counted, what did not arrive is no extra send.
auto Edge::isExtraSend(Execution execution) const -> bool {
    return execution != Execution::NotArrived || !dialect_.clientNamesRequests;
}

}  // namespace duneturn
