// Dispatch: selects a server for a request, starts an attempt, and repeats all checks directly before the
// first byte is written.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "routing/edge.hpp"
#include "routing/request_phases.hpp"
#include "routing/route_binding.hpp"
#include "routing/scoring.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto DEFAULT_KV_CACHE_TOKENS = std::int64_t(1 << 18);  // of an engine that is configured without
// If a send is delayed for longer than this, the slow-start limit of a cold server is checked again.
constexpr auto MAX_SEND_DELAY = 250 * MILLISECOND;
constexpr auto MAX_WITHHELD_SENDS = 3;  // per request
constexpr auto QUOTA_TOKEN_EXPIRED = "its token of its tenant's quota has lapsed";

}  // namespace

// Starts an attempt if a server can take the request now; returns whether it did. If it did not, the request
// may have ended.
auto Edge::dispatch(Request& request, Microseconds now) -> bool {
    if (auto rejection = rebindToNewestConfiguration(request)) {
        fail(request, rejection->status, rejection->why, now);
        return false;
    }
    if (!node_.withinLease(now)) {
        fail(request, 503, "this node has not heard a majority within its lease", now);
        return false;
    }
    auto selection = select(request, now);
    if (selection.server.empty()) return false;
    if (selection.isOutsideRegion)
        counters_.add(fmt::format("spilled_total{{mapping=\"{}\"}}", request.route.name));
    beginAttempt(request, selection.server, now);
    return true;
}

auto Edge::beginAttempt(Request& request, const std::string& serverName, Microseconds now) -> void {
    auto& attempts = request.attempts;
    attempts.server = serverName;
    attempts.current++;
    attempts.onReusedConnection = false;
    attempts.eventGapSamples = 0;
    attempts.lastActivityAt = attempts.serverSelectedAt = now;
    auto& statistics = statistics_.of(serverName);
    statistics.inflight++;
    attempts.countedInflight = true;
    auto& server = node_.servers().at(serverName);
    if (auto rule = serviceRule(request)) {
        slowStart_.admits(serverName, server, *rule, now, BucketUse::Consume);
        if (rule->isEngine) reserveEngineTokens(request, statistics, *rule);
    }
    applyPhaseEvent(request, counters_, PhaseEvent::AttemptStarted);
    applyAttemptEvent(request, AttemptEvent::ServerSelected);
    port_.startAttempt(request.id, attempts.current, serverName, server.listing.address);
}

// Counts the request's tokens at an engine: the uncached tokens of the prompt as pending, the unshared tokens
// as reserved memory, and the parts of the prompt as cached.
auto Edge::reserveEngineTokens(Request& request, ServerStatistics& statistics, const ServiceRule& rule)
    -> void {
    auto& received = request.received;
    request.attempts.pendingPromptTokens =
        uncachedPromptTokens(statistics, received, PrefixAssumption::AsRecorded);
    statistics.pendingPromptTokens += double(request.attempts.pendingPromptTokens);
    statistics.reservedTokens += double(received.unsharedTokens());
    statistics_.ofService(request.route.service).recordUnsharedTokens(received.unsharedTokens());
    auto capacity = rule.kvCacheTokens ? rule.kvCacheTokens : DEFAULT_KV_CACHE_TOKENS;
    for (auto& [part, tokens] : received.promptParts) statistics.prefixCache.add(part, tokens, capacity);
}

// Stops counting the current attempt at its server.
auto Edge::releaseServer(Request& request) -> void {
    releasePendingPrompt(request);
    if (!request.attempts.countedInflight) return;
    request.attempts.countedInflight = false;
    auto& statistics = statistics_.of(request.attempts.server);
    statistics.inflight--;
    auto remaining = std::max(0.0, statistics.reservedTokens - double(request.received.unsharedTokens()));
    statistics.reservedTokens = statistics.inflight ? remaining : 0;
}

// Stops counting the prompt as pending, since the server has read it or never will.
auto Edge::releasePendingPrompt(Request& request) -> void {
    auto& pendingTokens = request.attempts.pendingPromptTokens;
    if (!pendingTokens) return;
    auto& statistics = statistics_.of(request.attempts.server);
    statistics.pendingPromptTokens = std::max(0.0, statistics.pendingPromptTokens - double(pendingTokens));
    pendingTokens = 0;
}

// Binds the request to the newest configuration. Returns the rejection if that no longer permits the request.
auto Edge::rebindToNewestConfiguration(Request& request) -> std::optional<RequestRejection> {
    auto tenant = request.tenant.name;
    auto rejection = rebind(request, routes_, dialect_, broken);
    if (request.tenant.name != tenant)
        note(request,
            "the API key now belongs to " + (request.tenant.isKnown() ? request.tenant.name : "no tenant"));
    return rejection;
}

// Returns why the request may not be sent to any server, if it may not.
auto Edge::whySendForbidden(Request& request) -> std::optional<RequestRejection> {
    if (auto rejection = rebindToNewestConfiguration(request)) return rejection;
    auto why = migration_.rejectionReason(
        request, request.attempts.tracker.earlier(), MigrationCharge::AlreadyCounted);
    return why.empty() ? std::nullopt : std::optional(RequestRejection{503, why});
}

// Returns why the request may no longer be sent to the server that was selected; empty if it may.
auto Edge::whyServerForbidden(const Request& request, bool reused, Microseconds now) -> std::string {
    if (!node_.withinLease(now)) return "this node is outside its lease";
    if (now >= request.limits.deadline) return "the deadline of the request has passed";
    auto server = node_.servers().find(request.attempts.server);
    if (server == node_.servers().end()) return "the server is no longer listed";
    if (!selection_.allows(request, server->second)) return "the server is no longer a candidate";
    if (reused && !mayReuseConnection(request))
        return "the request is no longer repeatable and the connection was used before";
    auto rule = serviceRule(request);
    auto isDelayed = now - request.attempts.serverSelectedAt > MAX_SEND_DELAY;
    if (rule && isDelayed
        && !slowStart_.admits(server->first, server->second, *rule, now, BucketUse::Consume))
        return "the send was delayed and slow start does not admit it now";
    return "";
}

// The process may have been frozen since the server was selected, so all conditions are checked again.
auto Edge::confirmSend(std::int64_t id, int attempt, Microseconds now, bool reused) -> bool {
    auto request = currentAttempt(id, attempt);
    if (!request) return false;
    // Selecting another server would not help here, so the request fails.
    if (auto rejection = whySendForbidden(*request)) {
        cancelUnsentAttempt(*request, rejection->why, now);
        fail(*request, rejection->status, rejection->why, now);
        return false;
    }
    if (auto why = whyServerForbidden(*request, reused, now); !why.empty()) {
        withholdSend(*request, why, now);
        return false;
    }
    if (!quota_.spend(*request, now)) {
        cancelUnsentAttempt(*request, QUOTA_TOKEN_EXPIRED, now);
        fail(*request, 503, QUOTA_TOKEN_EXPIRED, now);
        return false;
    }
    budget_.recordAttempt(*request, now);
    auto& attempts = request->attempts;
    attempts.sent++;
    applyAttemptEvent(*request, AttemptEvent::WriteStarted);
    attempts.sentAsNonRepeatable = attempts.sentAsNonRepeatable || !request->route.mayRunAgain();
    attempts.onReusedConnection = reused;
    attempts.lastActivityAt = now;
    auto& statistics = statistics_.of(attempts.server);
    if (statistics.unansweredSince <= statistics.lastReceivedAt) statistics.unansweredSince = now;
    attempts.weights = node_.servers().at(attempts.server).listing.weights;
    note(*request,
        fmt::format(
            "+{} us send {} to {}", now - request->received.acceptedAt, attempts.sent, attempts.server));
    return true;
}

// Ends the current attempt before its first byte was written.
auto Edge::cancelUnsentAttempt(Request& request, const std::string& why, Microseconds now) -> void {
    auto& attempts = request.attempts;
    note(request,
        fmt::format(
            "+{} us send to {} withheld: {}", now - request.received.acceptedAt, attempts.server, why));
    counters_.add("held_back_total");
    releaseServer(request);
    applyPhaseEvent(request, counters_, PhaseEvent::AttemptLost);
    applyAttemptEvent(request, AttemptEvent::SendWithheld);
    attempts.tracker.startOver();
    port_.cancelAttempt(request.id, attempts.current);
    attempts.current++;
}

// Ends the current attempt before its first byte was written, and tries another server or queues the request.
auto Edge::withholdSend(Request& request, const std::string& why, Microseconds now) -> void {
    cancelUnsentAttempt(request, why, now);
    auto& attempts = request.attempts;
    if (++attempts.withheldSends > MAX_WITHHELD_SENDS || now >= request.limits.deadline)
        return fail(request, 503, "no server may take it now", now);
    if (dispatch(request, now) || request.phase() == Phase::Finished) return;
    if (!selection_.mayFindServerLater(request) || !enqueue(request, now))
        return fail(request, 503, "no server has room", now);
    applyPhaseEvent(request, counters_, PhaseEvent::Requeued);
}

auto Edge::requestHeaders(const Request& request, Microseconds now) const -> Headers {
    auto headers = endToEndHeaders(request.received.headers);
    auto drop = [&](std::string_view name) {
        if (!name.empty())
            std::erase_if(headers, [&](auto& entry) { return equalsIgnoreCase(entry.first, name); });
    };
    auto set = [&](const std::string& name, std::string value) {
        if (name.empty()) return;
        drop(name);
        headers.emplace_back(name, std::move(value));
    };
    auto& attempts = request.attempts;
    if (!dialect_.clientNamesRequests) {
        auto server = node_.servers().find(attempts.server);
        set("Host", server == node_.servers().end() ? "" : server->second.listing.address);
        set(dialect_.request, request.received.name);
        drop(dialect_.lastEvent);
        drop(dialect_.weights);
    }
    auto& limits = request.limits;
    if (request.relayed.lastEventId >= 0)
        set(dialect_.lastEvent, fmt::to_string(request.relayed.lastEventId));
    set(dialect_.target, attempts.server);
    set(dialect_.deadlineMs,
        fmt::to_string(std::max<Microseconds>(1, (limits.deadline - now) / MILLISECOND)));
    set(dialect_.urgency,
        fmt::to_string(routes_.urgencyLevels.level(request.tenant.rank, request.route.urgency)));
    if (request.tenant.isKnown()) set(dialect_.tenant, request.tenant.name);
    return headers;
}

// Applies an event to the current attempt, by the table of attempt_state.hpp, and returns what is then known
// about its execution. An event that the table does not allow is counted.
auto Edge::applyAttemptEvent(Request& request, AttemptEvent event) -> Execution {
    auto& tracker = request.attempts.tracker;
    if (tracker.apply(event).step == NextStep::Illegal) counters_.add("illegal_transitions_total");
    return tracker.current();
}

// Returns the request if `attempt` is its current attempt and it has not ended, else null.
auto Edge::currentAttempt(std::int64_t id, int attempt) -> Request* {
    auto found = requests_.find(id);
    if (found == requests_.end()) return nullptr;
    auto& request = found->second;
    auto isOver = request.attempts.current != attempt || request.phase() == Phase::Finished;
    return isOver ? nullptr : &request;
}

auto Edge::onRequestWritten(std::int64_t id, int attempt) -> void {
    if (auto request = currentAttempt(id, attempt)) applyAttemptEvent(*request, AttemptEvent::WriteFinished);
}

}  // namespace duneturn
