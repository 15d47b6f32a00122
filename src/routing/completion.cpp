// The ends of requests: complete, failed, truncated or abandoned by the client.
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/json.hpp"
#include "routing/edge.hpp"
#include "routing/request_phases.hpp"
#include "routing/route_binding.hpp"

namespace duneturn {
namespace {

// Retry-After of a rejected request. It is drawn from a range, so that the rejected clients do not all return
// at the same time.
constexpr auto MIN_RETRY_AFTER_SECONDS = 0.2;
constexpr auto RETRY_AFTER_STEP_SECONDS = 0.002;
constexpr auto RETRY_AFTER_STEPS = 100;

}  // namespace

// Ends the request without a complete response. Where clients name requests, 503 promises that the request
// did not run and never will, so it is sent exactly where that is certain; other statuses promise nothing.
// The simulators hash `why` as part of their trace, so a reworded text changes the digests in tests/pinned/.
auto Edge::fail(Request& request, int status, const std::string& why, Microseconds now) -> void {
    releaseServer(request);
    if (request.phase() == Phase::Sending || request.phase() == Phase::Delivering) {
        port_.cancelAttempt(request.id, request.attempts.current);
        request.attempts.current++;
    }
    auto mayHaveRun = request.attempts.tracker.mayHaveRun();
    if (dialect_.clientNamesRequests && status >= 500) {
        if (!mayHaveRun) status = 503;
        else if (status == 503) status = 502;
    }
    if (request.relayed.headSent) {
        truncateStream(request, why);
        countOutcome(request, "cut");
    } else {
        replyFailure(request, status, why);
        if (status == KEY_REJECTED_STATUS) counters_.add("keys_refused_total");
        countOutcome(request, mayHaveRun ? "failed" : "denied");
    }
    finish(request, "failed: " + why, now);
}

// Ends the client's stream so that it is visibly incomplete.
auto Edge::truncateStream(Request& request, const std::string& why) -> void {
    if (!dialect_.passThroughHeaders)
        port_.sendStreamBytes(request.id,
            fmt::format("event: failed\ndata: {}\n\n",
                bodyOf({{"error", jsonQuote(why)},
                    {"lastEventId", fmt::to_string(request.relayed.lastEventId)}, {"retryAfter", "1"}})));
    port_.endStream(request.id, broken.truncatedLooksComplete);
}

// Sends an error response. The header that states that the request was not executed is included only where
// that is certain.
auto Edge::replyFailure(Request& request, int status, const std::string& why) -> void {
    auto mayHaveRun = request.attempts.tracker.mayHaveRun();
    auto headers = Headers{{"Content-Type", "application/json"}};
    if (status >= 500 || status == 429) {  // after any other status a retry would fail in the same way
        auto retryAfter = std::string("1");
        if (dialect_.clientNamesRequests) {
            auto spread =
                rejectingNew_ ? 0 : RETRY_AFTER_STEP_SECONDS * double(random_.below(RETRY_AFTER_STEPS));
            retryAfter = fmt::format("{:.2f}", MIN_RETRY_AFTER_SECONDS + spread);
        }
        headers.emplace_back("Retry-After", retryAfter);
    }
    if (!mayHaveRun) headers.emplace_back(dialect_.notExecuted, "true");
    port_.sendReply(request.id, status, headers,
        bodyOf({{"error", jsonQuote(why)}, {"executed", mayHaveRun ? "\"unknown\"" : "false"},
            {"exchange", jsonQuote(request.received.name)}}));
}

// Releases everything that the request holds and records its end; common to all ways of ending.
auto Edge::finish(Request& request, const std::string& how, Microseconds now) -> void {
    auto& attempts = request.attempts;
    if (attempts.countedInflight && attempts.tracker.written())
        statistics_.ofService(request.route.service).recordRequestDuration(now - attempts.serverSelectedAt);
    releaseServer(request);
    backlog_.leave(request);
    quota_.release(request, now);
    applyPhaseEvent(request, counters_, PhaseEvent::RequestEnded);
    if (broken.illegalPhaseChange) applyPhaseEvent(request, counters_, PhaseEvent::AttemptLost);
    note(request, fmt::format("+{} us {}", now - request.received.acceptedAt, how));
    decisions_.record(request, how);
    finished_.push_back(request.id);
}

auto Edge::countOutcome(const Request& request, std::string_view outcome) -> void {
    counters_.add(
        fmt::format("exchanges_total{{mapping=\"{}\",outcome=\"{}\"}}", request.route.name, outcome));
}

auto Edge::clientClosed(std::int64_t id, Microseconds now) -> void {
    auto found = requests_.find(id);
    if (found == requests_.end() || found->second.phase() == Phase::Finished) return;
    auto& request = found->second;
    port_.cancelAttempt(id, request.attempts.current);
    request.attempts.current++;
    applyAttemptEvent(request, AttemptEvent::ClientDisconnected);
    countOutcome(request, "sender_gone");
    finish(request, "the sender has gone", now);
}

auto Edge::abortAll(Microseconds now) -> void {
    for (auto& [id, request] : requests_)
        if (request.phase() != Phase::Finished) fail(request, 503, "this node is stopping", now);
}

}  // namespace duneturn
