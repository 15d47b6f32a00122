// Attempts that failed, and servers that are silent or crawl: whether the request goes on elsewhere.
#include <algorithm>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "routing/edge.hpp"
#include "routing/request_phases.hpp"
#include "routing/route_binding.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto MAX_REFUSALS = 3;                       // connections refused of one request, at no cost
constexpr auto SILENCE_LOOKED_AT = 150 * MILLISECOND;  // shorter silences are not looked at
constexpr auto SILENCE_INTERVAL = 50 * MILLISECOND;    // from one look at a silent server to the next
// Factors of a server's fitness.
constexpr auto LOST = 0.4;
constexpr auto CRAWLING = 0.5;

}  // namespace

// Whether the request could go on at another server if this happened now.
auto Edge::couldMove(Request& request, AttemptEvent event, Microseconds now) -> bool {
    auto& attempts = request.attempts;
    auto execution = attemptRule(attempts.tracker.state(), event).execution;
    if (broken.silenceMeansNotArrived && event == AttemptEvent::Silence) execution = Execution::NotArrived;
    auto known = std::max(execution, attempts.tracker.earlier());
    auto isFurther = budget_.countsAsFurther(execution);
    auto grant = isFurther ? AttemptGrant::Further : AttemptGrant::Granted;
    if (rebindToNewest(request) || now >= request.limits.deadline) return false;
    if (!migration_.objection(request, known, grant).empty()) return false;
    if (isFurther && !budget_.allows(request, now)) return false;
    attempts.tried.push_back(attempts.server);
    auto server = selection_.select(request, now).server;
    auto& tried = attempts.tried;
    auto isOther = !server.empty() && std::find(tried.begin(), tried.end(), server) == tried.end();
    tried.pop_back();
    return isOther;
}

// The present attempt has failed by `event`, which the table of attempt_state.hpp judges: the request goes
// on at another server, waits for one, or ends.
auto Edge::retryElsewhere(Request& request, AttemptEvent event, const std::string& why, Microseconds now)
    -> void {
    auto execution = apply(request, event);
    if (broken.silenceMeansNotArrived && event == AttemptEvent::Silence) {
        request.attempts.tracker = AttemptTracker();
        execution = Execution::NotArrived;
    }
    auto known = std::max(execution, request.attempts.tracker.earlier());
    auto isFurther = budget_.countsAsFurther(execution);
    auto grant = isFurther ? AttemptGrant::Further : AttemptGrant::Granted;
    abandonAttempt(request, execution, why, now);
    // What the newest configuration allows is what counts, not what it allowed at first.
    if (auto refusal = rebindToNewest(request)) {
        auto status = refusal->status == KEY_REFUSED ? KEY_REFUSED : 502;
        return fail(request, status, why + "; " + refusal->why, now);
    }
    if (auto objection = migration_.objection(request, known, grant); !objection.empty())
        return fail(request, 502, why + "; " + objection, now);
    if (now >= request.limits.deadline) return fail(request, 504, why + "; its time is over", now);
    if (isFurther && !budget_.allows(request, now)) {
        budget_.recordShortage(now);
        return fail(request, 503, why + "; the fleet's budget for extra sends is spent", now);
    }
    auto isSent = dispatch(request, now);
    if (request.phase() == Phase::Finished) return;
    if (!isSent) {
        // Where another place may soon fall free, waiting for it is better than a cut.
        if (!selection_.mayFindServerLater(request) || !enqueue(request, now))
            return fail(request, 503, why + "; no other server has room", now);
        turn(request, counters_, PhaseEvent::Wait);
    }
    recordRetry(request, execution, now);
}

// The present attempt is over, and its server is not asked again.
auto Edge::abandonAttempt(Request& request, Execution execution, const std::string& why, Microseconds now)
    -> void {
    auto& attempts = request.attempts;
    auto mayHaveRun = execution >= Execution::MayHaveRun;
    attempts.tracker.startOver();
    release(request);
    port_.cancelAttempt(request.id, attempts.current);
    attempts.current++;
    turn(request, counters_, PhaseEvent::Loss);
    attempts.tried.push_back(attempts.server);
    if (!mayHaveRun) attempts.rejected.push_back(attempts.server);
    note(request,
        fmt::format("+{} us lost {}: {}{}", now - request.received.acceptedAt, attempts.server, why,
            mayHaveRun ? "" : " (nothing ran)"));
}

// The request goes on: what that costs, by what the failed attempt was.
auto Edge::recordRetry(Request& request, Execution execution, Microseconds now) -> void {
    auto mayHaveRun = execution >= Execution::MayHaveRun;
    counters_.add(mayHaveRun ? "migrations_ongoing_total" : "migrations_new_total");
    if (mayHaveRun) counters_.add("prompt_tokens_again_total", request.limits.sequenceTokens);
    if (!budget_.countsAsFurther(execution)) return;
    budget_.pay(request, now);
    if (!request.route.model.empty()) request.attempts.migrations++;
    counters_.add("extra_sends_total");
}

auto Edge::onConnectionRefused(std::int64_t id, int attempt, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    auto& attempts = request->attempts;
    if (attempts.tracker.written())
        return onConnectionLost(id, attempt, "the connection broke while sending", now);
    auto& statistics = statistics_.of(attempts.server);
    statistics.ejection.lowerFitness(LOST, now);
    statistics.ejection.eject(now);
    statistics.lastFailureAt = now;
    statistics.prefixCache.clear();
    if (dialect_.clientNamesRequests) {
        // Nothing arrived: neither a try nor a further attempt, but not without end.
        if (++attempts.refusals > MAX_REFUSALS)
            attempts.sent = std::max(attempts.sent, request->route.maxAttempts);
    } else {
        attempts.sent++;  // a refused connection is an attempt too
        budget_.recordAttempt(*request, now);
    }
    retryElsewhere(*request, AttemptEvent::ConnectionRefused, "connection refused", now);
}

auto Edge::onAttemptFailed(
    std::int64_t id, int attempt, AttemptEvent event, const std::string& why, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    auto& statistics = statistics_.of(request->attempts.server);
    statistics.ejection.lowerFitness(LOST, now);
    auto isUnanswered = statistics.unansweredSince > statistics.lastReceivedAt;
    if (isUnanswered || now - statistics.lastReceivedAt > SECOND) statistics.ejection.eject(now);
    statistics.lastFailureAt = now;
    counters_.add("sends_lost_total");
    retryElsewhere(*request, event, why, now);
}

// Silence is a loss.
auto Edge::checkSilence(Request& request, Microseconds now) -> void {
    if (now - request.attempts.lastActivityAt < request.route.idleTimeout) return;
    statistics_.of(request.attempts.server).ejection.lowerFitness(LOST, now);
    counters_.add("stalls_total");
    retryElsewhere(
        request, AttemptEvent::Silence, fmt::format("silent for {} us", request.route.idleTimeout), now);
}

// Where clients name requests, silence ends nothing; it moves what may move, and only where it can.
auto Edge::checkSilenceOfNamed(Request& request, Microseconds now) -> void {
    auto& attempts = request.attempts;
    auto silence = now - attempts.lastActivityAt;
    if (silence < SILENCE_LOOKED_AT || now < attempts.nextStallCheckAt) return;
    // Nothing of it has left yet: any may go elsewhere, as if it had been refused.
    if (!attempts.tracker.written()) {
        if (now - attempts.chosenAt < CONNECT_TIMEOUT) return;
        attempts.nextStallCheckAt = now + SILENCE_INTERVAL;
        if (attempts.refusals < MAX_REFUSALS && couldMove(request, AttemptEvent::ConnectionRefused, now))
            onConnectionRefused(request.id, attempts.current, now);
        return;
    }
    auto mayMove = request.retryRights().repeatable || broken.silenceMeansNotArrived;
    if (!mayMove || silence < migration_.silenceLimit(request)) return;
    attempts.nextStallCheckAt = now + SILENCE_INTERVAL;
    if (!couldMove(request, AttemptEvent::Silence, now)) return;
    statistics_.of(attempts.server).ejection.lowerFitness(LOST, now);
    counters_.add("stalls_total");
    retryElsewhere(request, AttemptEvent::Silence, fmt::format("silent for {} us", silence), now);
}

// A server that crawls is as good as lost to a stream that may migrate: once a stream, and only where
// another server would take it now, for a stream is better slow than cut.
auto Edge::moveIfCrawling(Request& request, Microseconds gap, Microseconds now) -> void {
    auto& attempts = request.attempts;
    auto& statistics = statistics_.of(attempts.server);
    statistics.recordEventGap(gap);
    auto why = migration_.crawls(request, gap);
    if (!why) return;
    statistics.ejection.lowerFitness(CRAWLING, now);
    if (!budget_.allows(request, now) || rebindToNewest(request)) return;
    if (now >= request.limits.deadline) return;
    if (!migration_.objection(request, Execution::MayHaveRun, AttemptGrant::Further).empty()) return;
    attempts.tried.push_back(attempts.server);
    auto server = select(request, now).server;
    attempts.tried.pop_back();
    if (server.empty() || server == attempts.server) return;
    counters_.add("slow_moved_total");
    retryElsewhere(request, AttemptEvent::Silence, *why, now);
}

}  // namespace duneturn
