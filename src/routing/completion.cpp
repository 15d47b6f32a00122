// How requests end.
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/json.hpp"
#include "routing/edge.hpp"
#include "routing/request_phases.hpp"
#include "routing/route_binding.hpp"

namespace duneturn {
namespace {

// Seconds after which a client that was refused may come back; spread, lest all come at once.
constexpr auto RETRY_AFTER = 0.2;
constexpr auto RETRY_AFTER_STEP = 0.002;
constexpr auto RETRY_AFTER_STEPS = 100;

}  // namespace

// The request ends without a whole answer. 503 and its like promise that nothing ran and nothing will; all
// else promises nothing.
auto Edge::fail(Request& request, int status, const std::string& why, Microseconds now) -> void {
    release(request);
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
        cutStream(request, why);
        countOutcome(request, "cut");
    } else {
        replyFailure(request, status, why);
        if (status == KEY_REFUSED) counters_.add("keys_refused_total");
        countOutcome(request, mayHaveRun ? "failed" : "denied");
    }
    finish(request, "failed: " + why, now);
}

// Ends a stream visibly incomplete.
auto Edge::cutStream(Request& request, const std::string& why) -> void {
    if (!dialect_.passHeaders)
        port_.sendStreamBytes(request.id,
            fmt::format("event: failed\ndata: {}\n\n",
                bodyOf({{"error", jsonQuote(why)},
                    {"lastEventId", fmt::to_string(request.relayed.lastEventId)}, {"retryAfter", "1"}})));
    port_.endStream(request.id, broken.truncatedLooksComplete);
}

// The header by which nothing ran is said only where it is certain.
auto Edge::replyFailure(Request& request, int status, const std::string& why) -> void {
    auto mayHaveRun = request.attempts.tracker.mayHaveRun();
    auto headers = Headers{{"Content-Type", "application/json"}};
    if (status >= 500 || status == 429) {  // else coming back changes nothing
        auto after = std::string("1");
        if (dialect_.clientNamesRequests) {
            auto spread = rejectingNew_ ? 0 : RETRY_AFTER_STEP * double(random_.below(RETRY_AFTER_STEPS));
            after = fmt::format("{:.2f}", RETRY_AFTER + spread);
        }
        headers.emplace_back("Retry-After", after);
    }
    if (!mayHaveRun) headers.emplace_back(dialect_.notExecuted, "true");
    port_.sendReply(request.id, status, headers,
        bodyOf({{"error", jsonQuote(why)}, {"executed", mayHaveRun ? "\"unknown\"" : "false"},
            {"exchange", jsonQuote(request.received.name)}}));
}

// What every end has in common, whatever the client was sent.
auto Edge::finish(Request& request, const std::string& how, Microseconds now) -> void {
    auto& attempts = request.attempts;
    if (attempts.countedInflight && attempts.tracker.written())
        statistics_.ofService(request.route.service).recordHoldTime(now - attempts.chosenAt);
    release(request);
    backlog_.leave(request);
    quota_.release(request, now);
    turn(request, counters_, PhaseEvent::End);
    if (broken.illegalPhaseChange) turn(request, counters_, PhaseEvent::Loss);
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
    apply(request, AttemptEvent::ClientGone);
    countOutcome(request, "sender_gone");
    finish(request, "the sender has gone", now);
}

auto Edge::abortAll(Microseconds now) -> void {
    for (auto& [id, request] : requests_)
        if (request.phase() != Phase::Finished) fail(request, 503, "this node is stopping", now);
}

}  // namespace duneturn
