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
    ct_.add("sends_total");
    if (!x.first) return;
    x.first = false;
    auto& c = budgetOf(x.m.service, now);
    if (x.resumed) {
        c -= cost(x);
        ct_.add("resumptions_total");
        ct_.add("extra_sends_total");
        ct_.add("prompt_tokens_again_total", x.seq);
    } else {
        ct_.add("first_sends_total");
        c += std::int64_t(ru_.share * ONE);
        if (ru_.slack < 0) c = std::min(c, ru_.cap * ONE);
        budgetOf(x.m.service, now);
    }
}

// What extra sends are paid from: one purse for all, or where a slack is named one for each
// pool, since what one pool's exchanges earned must not fall on another pool's servers.
auto Edge::budgetOf(const std::string& service, Microseconds now) -> std::int64_t& {
    if (ru_.slack < 0) return credit_;
    auto& p = budgets_[service];
    auto cap = std::int64_t(ru_.slack * double(ONE) / double(nodes()));
    if (!p.open && settled(now)) {  // how many nodes there are is known by now
        p.open = true;
        p.milli += cap / 2;
    }
    p.milli = std::min(p.milli, cap);
    return p.milli;
}

auto Edge::pays(const Request& x, Microseconds now) -> bool { return budgetOf(x.m.service, now) >= cost(x); }

// Reading a long prompt again costs more than reading a short one; where arrivals are what is
// counted, each is one.
auto Edge::cost(const Request& x) const -> std::int64_t {
    if (broken.noBudget) return 0;
    return di_.clientNamesRequests ? ONE : ONE + ONE * x.seq / 4096;
}

// Where arrivals are what is counted, what did not arrive is no extra send.
auto Edge::isExtraSend(Execution execution) const -> bool {
    return execution != Execution::NotArrived || !di_.clientNamesRequests;
}

}  // namespace duneturn
