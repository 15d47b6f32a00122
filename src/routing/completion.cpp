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
        port_.cancelAttempt(x.id, x.attempts.current);
        x.attempts.current++;
    }
    // 503 and its like promise that nothing ran and nothing will; all else promises nothing.
    auto mayHaveRun = x.attempts.tracker.mayHaveRun();
    if (dialect_.clientNamesRequests && status >= 500)
        status = !mayHaveRun ? 503 : status == 503 ? 502 : status;
    if (x.relayed.headSent && dialect_.passHeaders) port_.endStream(x.id, broken.cutLooksWhole);
    else if (x.relayed.headSent) {
        port_.sendPart(x.id,
            fmt::format("event: failed\ndata: {}\n\n",
                bodyOf({{"error", jsQuote(why)}, {"lastEventId", fmt::to_string(x.relayed.lastEventId)},
                    {"retryAfter", "1"}})));
        port_.endStream(x.id, broken.cutLooksWhole);
    } else {
        auto h = Headers{{"Content-Type", "application/json"}};
        if (status >= 500)  // else coming back changes nothing
            h.emplace_back("Retry-After",
                dialect_.clientNamesRequests
                    ? fmt::format("{:.2f}", refusingNew_ ? 0.2 : 0.2 + 0.002 * double(random_.below(100)))
                    : "1");
        if (!mayHaveRun) h.emplace_back(dialect_.notExecuted, "true");
        port_.sendReply(x.id, status, h,
            bodyOf({{"error", jsQuote(why)}, {"executed", mayHaveRun ? "\"unknown\"" : "false"},
                {"exchange", jsQuote(x.received.name)}}));
    }
    countOutcome(x, x.relayed.headSent ? "cut" : mayHaveRun ? "failed" : "denied");
    finish(x, "failed: " + why, now);
}

auto Edge::finish(Request& x, const std::string& how, Microseconds now) -> void {
    if (x.attempts.countedInflight && x.attempts.tracker.written()) {
        auto& k = serviceStatistics_[x.route.service].held;
        auto t = double(now - x.attempts.chosenAt);
        k = k > 0 ? k * 0.95 + t * 0.05 : t;
    }
    release(x);
    unqueue(x);
    turn(x, counters_, PhaseEvent::End);
    if (broken.badStep) turn(x, counters_, PhaseEvent::Loss);
    note(x, fmt::format("+{} us {}", now - x.received.acceptedAt, how));
    auto t = std::string();
    for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsQuote(l);
    decisions_.push_back({++lastDecision_, x.id, x.received.name,
        bodyOf({{"seq", fmt::to_string(lastDecision_)}, {"exchange", jsQuote(x.received.name)},
            {"mapping", jsQuote(x.route.name)}, {"end", jsQuote(how)}, {"steps", "[" + t + "]"}})});
    if (decisions_.size() > 1024) decisions_.erase(decisions_.begin(), decisions_.begin() + 512);
    finished_.push_back(x.id);
}

auto Edge::clientClosed(std::int64_t id, Microseconds now) -> void {
    auto i = requests_.find(id);
    if (i == requests_.end() || i->second.phase() == Phase::Finished) return;
    auto& x = i->second;
    port_.cancelAttempt(x.id, x.attempts.current);
    x.attempts.current++;
    apply(x, AttemptEvent::ClientGone);
    countOutcome(x, "sender_gone");
    finish(x, "the sender has gone", now);
}

auto Edge::abortAll(Microseconds now) -> void {
    for (auto& [id, x] : requests_)
        if (x.phase() != Phase::Finished) fail(x, 503, "this node is stopping", now);
}

}  // namespace duneturn
