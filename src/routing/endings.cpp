// How requests end.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

// The final reply, at once. X-Not-Executed is said only where it is certain.
auto Edge::fail(Request& x, int status, const std::string& why, Microseconds now) -> void {
    release(x);
    if (x.phase() == Phase::Sending || x.phase() == Phase::Delivering) {
        po_.drop(x.id, x.a);
        x.a++;
    }
    // 503 and its like promise that nothing ran and nothing will; all else promises nothing.
    auto mayHaveRun = x.attempt.mayHaveRun();
    if (di_.clientNamesRequests && status >= 500) status = !mayHaveRun ? 503 : status == 503 ? 502 : status;
    if (x.headSent && di_.passHeaders) po_.end(x.id, broken.cutLooksWhole);
    else if (x.headSent) {
        po_.part(x.id,
            fmt::format("event: failed\ndata: {}\n\n",
                bodyOf({{"error", jsonQuote(why)}, {"lastEventId", fmt::to_string(x.last)},
                    {"retryAfter", "1"}})));
        po_.end(x.id, broken.cutLooksWhole);
    } else {
        auto h = Headers{{"Content-Type", "application/json"}};
        if (status >= 500)  // else coming back changes nothing
            h.emplace_back("Retry-After",
                di_.clientNamesRequests
                    ? fmt::format("{:.2f}", refuseNew_ ? 0.2 : 0.2 + 0.002 * double(rng_.below(100)))
                    : "1");
        if (!mayHaveRun) h.emplace_back(di_.notExecuted, "true");
        po_.reply(x.id, status, h,
            bodyOf({{"error", jsonQuote(why)}, {"executed", mayHaveRun ? "\"unknown\"" : "false"},
                {"exchange", jsonQuote(x.exid)}}));
    }
    tally(x, x.headSent ? "cut" : mayHaveRun ? "failed" : "denied");
    finish(x, "failed: " + why, now);
}

auto Edge::finish(Request& x, const std::string& how, Microseconds now) -> void {
    if (x.counted && x.attempt.written()) {
        auto& k = seen_[x.m.service].held;
        auto t = double(now - x.sentAt);
        k = k > 0 ? k * 0.95 + t * 0.05 : t;
    }
    release(x);
    unqueue(x);
    turn(x, ct_, PhaseEvent::End);
    if (broken.badStep) turn(x, ct_, PhaseEvent::Loss);
    note(x, fmt::format("+{} us {}", now - x.born, how));
    auto t = std::string();
    for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsonQuote(l);
    past_.push_back({++decision_, x.id, x.exid,
        bodyOf({{"seq", fmt::to_string(decision_)}, {"exchange", jsonQuote(x.exid)},
            {"mapping", jsonQuote(x.m.name)}, {"end", jsonQuote(how)}, {"steps", "[" + t + "]"}})});
    if (past_.size() > 1024) past_.erase(past_.begin(), past_.begin() + 512);
    gone_.push_back(x.id);
}

auto Edge::gone(std::int64_t id, Microseconds now) -> void {
    auto i = xs_.find(id);
    if (i == xs_.end() || i->second.phase() == Phase::Finished) return;
    auto& x = i->second;
    po_.drop(x.id, x.a);
    x.a++;
    apply(x, AttemptEvent::ClientGone);
    tally(x, "sender_gone");
    finish(x, "the sender has gone", now);
}

auto Edge::cutAll(Microseconds now) -> void {
    for (auto& [id, x] : xs_)
        if (x.phase() != Phase::Finished) fail(x, 503, "this node is stopping", now);
}

}  // namespace duneturn
