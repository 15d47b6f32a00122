// Failed attempts, silent servers and slow servers: whether the request continues at another server.
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

constexpr auto MAX_REFUSED_CONNECTIONS = 3;                // of one request, without counting as attempts
constexpr auto MIN_CHECKED_SILENCE = 150 * MILLISECOND;    // a shorter silence never causes a retry
constexpr auto SILENCE_CHECK_INTERVAL = 50 * MILLISECOND;  // between two checks of the same silent server
// Factors by which a server's health score (outlier_ejection.hpp) is multiplied.
constexpr auto CONNECTION_LOST_FACTOR = 0.4;
constexpr auto SLOW_STREAM_FACTOR = 0.5;

}  // namespace

// Whether the request could continue at another server if its current attempt failed by `event` now.
auto Edge::canRetryElsewhere(Request& request, AttemptEvent event, Microseconds now) -> bool {
    auto& attempts = request.attempts;
    auto execution = attemptRule(attempts.tracker.state(), event).execution;
    if (broken.silenceMeansNotArrived && event == AttemptEvent::ServerSilent)
        execution = Execution::NotArrived;
    auto known = std::max(execution, attempts.tracker.earlier());
    auto isCharged = budget_.isCharged(execution);
    auto charge = isCharged ? MigrationCharge::NotYetCounted : MigrationCharge::AlreadyCounted;
    if (rebindToNewestConfiguration(request) || now >= request.limits.deadline) return false;
    if (!migration_.rejectionReason(request, known, charge).empty()) return false;
    if (isCharged && !budget_.allows(request, now)) return false;
    attempts.tried.push_back(attempts.server);
    auto server = selection_.select(request, now).server;
    auto& tried = attempts.tried;
    auto isOther = !server.empty() && std::find(tried.begin(), tried.end(), server) == tried.end();
    tried.pop_back();
    return isOther;
}

// Handles a failure of the current attempt. By the table of attempt_state.hpp, the limits of the request and
// the retry budget, the request continues at another server, is queued for one, or fails.
auto Edge::retryElsewhere(Request& request, AttemptEvent event, const std::string& why, Microseconds now)
    -> void {
    auto execution = applyAttemptEvent(request, event);
    if (broken.silenceMeansNotArrived && event == AttemptEvent::ServerSilent) {
        request.attempts.tracker = AttemptTracker();
        execution = Execution::NotArrived;
    }
    auto known = std::max(execution, request.attempts.tracker.earlier());
    auto isCharged = budget_.isCharged(execution);
    auto charge = isCharged ? MigrationCharge::NotYetCounted : MigrationCharge::AlreadyCounted;
    endFailedAttempt(request, execution, why, now);
    // The newest configuration decides, not the one that the request was accepted with.
    if (auto rejection = rebindToNewestConfiguration(request)) {
        auto status = rejection->status == KEY_REJECTED_STATUS ? KEY_REJECTED_STATUS : 502;
        return fail(request, status, why + "; " + rejection->why, now);
    }
    if (auto reason = migration_.rejectionReason(request, known, charge); !reason.empty())
        return fail(request, 502, why + "; " + reason, now);
    if (now >= request.limits.deadline) return fail(request, 504, why + "; its time is over", now);
    if (isCharged && !budget_.allows(request, now)) {
        budget_.recordShortage(now);
        return fail(request, 503, why + "; the fleet's budget for extra sends is spent", now);
    }
    auto isSent = dispatch(request, now);
    if (request.phase() == Phase::Finished) return;
    if (!isSent) {
        // If a server may have free capacity soon, waiting for it is better than failing the request.
        if (!selection_.mayFindServerLater(request) || !enqueue(request, now))
            return fail(request, 503, why + "; no other server has room", now);
        applyPhaseEvent(request, counters_, PhaseEvent::Requeued);
    }
    recordRetry(request, execution, now);
}

// Ends the current attempt and excludes its server from the further attempts of the request.
auto Edge::endFailedAttempt(Request& request, Execution execution, const std::string& why, Microseconds now)
    -> void {
    auto& attempts = request.attempts;
    auto mayHaveRun = execution >= Execution::MayHaveRun;
    attempts.tracker.startOver();
    releaseServer(request);
    port_.cancelAttempt(request.id, attempts.current);
    attempts.current++;
    applyPhaseEvent(request, counters_, PhaseEvent::AttemptLost);
    attempts.tried.push_back(attempts.server);
    if (!mayHaveRun) attempts.rejected.push_back(attempts.server);
    note(request,
        fmt::format("+{} us attempt at {} failed: {}{}", now - request.received.acceptedAt, attempts.server,
            why, mayHaveRun ? "" : " (it did not run)"));
}

// Counts a retry in the metrics, and charges it to the retry budget and the migration limit where the outcome
// of the failed attempt requires that.
auto Edge::recordRetry(Request& request, Execution execution, Microseconds now) -> void {
    auto mayHaveRun = execution >= Execution::MayHaveRun;
    counters_.add(mayHaveRun ? "migrations_ongoing_total" : "migrations_new_total");
    if (mayHaveRun) counters_.add("prompt_tokens_again_total", request.limits.sequenceTokens);
    if (!budget_.isCharged(execution)) return;
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
    statistics.ejection.lowerHealthScore(CONNECTION_LOST_FACTOR, now);
    statistics.ejection.eject(now);
    statistics.lastFailureAt = now;
    statistics.prefixCache.clear();
    if (dialect_.clientNamesRequests) {
        // Nothing arrived at a server, so this counts neither as an attempt nor as a retry. The number is
        // limited so that the request does not go on without end.
        if (++attempts.refusedConnections > MAX_REFUSED_CONNECTIONS)
            attempts.sent = std::max(attempts.sent, request->route.maxAttempts);
    } else {
        attempts.sent++;  // here a refused connection counts as an attempt
        budget_.recordAttempt(*request, now);
    }
    retryElsewhere(*request, AttemptEvent::ConnectionRefused, "connection refused", now);
}

auto Edge::onAttemptFailed(
    std::int64_t id, int attempt, AttemptEvent event, const std::string& why, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    auto& statistics = statistics_.of(request->attempts.server);
    statistics.ejection.lowerHealthScore(CONNECTION_LOST_FACTOR, now);
    auto isUnanswered = statistics.unansweredSince > statistics.lastReceivedAt;
    if (isUnanswered || now - statistics.lastReceivedAt > SECOND) statistics.ejection.eject(now);
    statistics.lastFailureAt = now;
    counters_.add("sends_lost_total");
    retryElsewhere(*request, event, why, now);
}

// A server that was silent for the route's idle timeout counts as lost.
auto Edge::checkIdleTimeout(Request& request, Microseconds now) -> void {
    if (now - request.attempts.lastActivityAt < request.route.idleTimeout) return;
    statistics_.of(request.attempts.server).ejection.lowerHealthScore(CONNECTION_LOST_FACTOR, now);
    counters_.add("stalls_total");
    retryElsewhere(
        request, AttemptEvent::ServerSilent, fmt::format("silent for {} us", request.route.idleTimeout), now);
}

// Where clients name requests, silence of a server does not fail a request. The request is retried at another
// server if it is permitted to be and if such a server can be selected now; otherwise it keeps waiting.
auto Edge::checkSilenceOfNamedRequest(Request& request, Microseconds now) -> void {
    auto& attempts = request.attempts;
    auto silence = now - attempts.lastActivityAt;
    if (silence < MIN_CHECKED_SILENCE || now < attempts.nextStallCheckAt) return;
    // No byte was written yet, so any request may be retried, as after a refused connection.
    if (!attempts.tracker.written()) {
        if (now - attempts.serverSelectedAt < CONNECT_TIMEOUT) return;
        attempts.nextStallCheckAt = now + SILENCE_CHECK_INTERVAL;
        if (attempts.refusedConnections < MAX_REFUSED_CONNECTIONS
            && canRetryElsewhere(request, AttemptEvent::ConnectionRefused, now))
            onConnectionRefused(request.id, attempts.current, now);
        return;
    }
    auto mayMigrate = request.retryRights().repeatable || broken.silenceMeansNotArrived;
    if (!mayMigrate || silence < migration_.silenceTimeout(request)) return;
    attempts.nextStallCheckAt = now + SILENCE_CHECK_INTERVAL;
    if (!canRetryElsewhere(request, AttemptEvent::ServerSilent, now)) return;
    statistics_.of(attempts.server).ejection.lowerHealthScore(CONNECTION_LOST_FACTOR, now);
    counters_.add("stalls_total");
    retryElsewhere(request, AttemptEvent::ServerSilent, fmt::format("silent for {} us", silence), now);
}

// Moves a stream away from a server that is much slower than the others, once per stream. The stream moves
// only if another server can be selected now, because a slow stream is better than a truncated one.
auto Edge::migrateIfServerSlow(Request& request, Microseconds gap, Microseconds now) -> void {
    auto& attempts = request.attempts;
    auto& statistics = statistics_.of(attempts.server);
    statistics.recordEventGap(gap);
    auto why = migration_.slowServerReason(request, gap);
    if (!why) return;
    statistics.ejection.lowerHealthScore(SLOW_STREAM_FACTOR, now);
    if (!budget_.allows(request, now) || rebindToNewestConfiguration(request)) return;
    if (now >= request.limits.deadline) return;
    if (!migration_.rejectionReason(request, Execution::MayHaveRun, MigrationCharge::NotYetCounted).empty())
        return;
    attempts.tried.push_back(attempts.server);
    auto server = select(request, now).server;
    attempts.tried.pop_back();
    if (server.empty() || server == attempts.server) return;
    counters_.add("slow_moved_total");
    retryElsewhere(request, AttemptEvent::ServerSilent, *why, now);
}

}  // namespace duneturn
