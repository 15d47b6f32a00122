// The attempts of a request: a server is chosen, and checked once more just before the first byte.
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

constexpr auto UNSTATED_MEMORY_TOKENS = std::int64_t(1 << 18);  // of an engine of which nothing is said
constexpr auto HELD_UP = 250 * MILLISECOND;  // after which a cold server is asked for a place again
constexpr auto MAX_HELD_BACK = 3;            // attempts given up just before the first byte
constexpr auto TOKEN_LAPSED = "its token of its tenant's quota has lapsed";

}  // namespace

// Sends a request to a server, if one may take it now. The request may have ended if none may.
auto Edge::dispatch(Request& request, Microseconds now) -> bool {
    if (auto refusal = rebindToNewestConfiguration(request)) {
        fail(request, refusal->status, refusal->why, now);
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

auto Edge::beginAttempt(Request& request, const std::string& name, Microseconds now) -> void {
    auto& attempts = request.attempts;
    attempts.server = name;
    attempts.current++;
    attempts.onReusedConnection = false;
    attempts.eventGapSamples = 0;
    attempts.lastActivityAt = attempts.chosenAt = now;
    auto& statistics = statistics_.of(name);
    statistics.inflight++;
    attempts.countedInflight = true;
    auto& server = node_.servers().at(name);
    if (auto rule = serviceRule(request)) {
        slowStart_.admits(name, server, *rule, now, BucketUse::Consume);
        if (rule->isEngine) reserveEngine(request, statistics, *rule);
    }
    turn(request, counters_, PhaseEvent::Send);
    apply(request, AttemptEvent::ServerChosen);
    port_.startAttempt(request.id, attempts.current, name, server.listing.address);
}

// What a request takes of an engine: its prompt is to be read, its tokens fill the memory.
auto Edge::reserveEngine(Request& request, ServerStatistics& statistics, const ServiceRule& rule) -> void {
    auto& received = request.received;
    request.attempts.pendingPromptTokens =
        uncachedPromptTokens(statistics, received, PrefixAssumption::AsRecorded);
    statistics.pendingPromptTokens += double(request.attempts.pendingPromptTokens);
    statistics.reservedTokens += double(received.unsharedTokens());
    statistics_.ofService(request.route.service).recordUnsharedTokens(received.unsharedTokens());
    auto capacity = rule.kvCacheTokens ? rule.kvCacheTokens : UNSTATED_MEMORY_TOKENS;
    for (auto& [part, tokens] : received.promptParts) statistics.prefixCache.add(part, tokens, capacity);
}

// The present attempt no longer counts at its server.
auto Edge::release(Request& request) -> void {
    promptRead(request);
    if (!request.attempts.countedInflight) return;
    request.attempts.countedInflight = false;
    auto& statistics = statistics_.of(request.attempts.server);
    statistics.inflight--;
    auto held = std::max(0.0, statistics.reservedTokens - double(request.received.unsharedTokens()));
    statistics.reservedTokens = statistics.inflight ? held : 0;
}

// The server has read the prompt, or never will.
auto Edge::promptRead(Request& request) -> void {
    auto& unread = request.attempts.pendingPromptTokens;
    if (!unread) return;
    auto& statistics = statistics_.of(request.attempts.server);
    statistics.pendingPromptTokens = std::max(0.0, statistics.pendingPromptTokens - double(unread));
    unread = 0;
}

// Why the newest configuration no longer lets the request be sent, if it does not.
auto Edge::rebindToNewestConfiguration(Request& request) -> std::optional<RequestRejection> {
    auto tenant = request.tenant.name;
    auto refusal = rebind(request, routes_, dialect_, broken);
    if (request.tenant.name != tenant)
        note(request,
            "its key now belongs to " + (request.tenant.isKnown() ? request.tenant.name : "no tenant"));
    return refusal;
}

// Why the request may not be sent, whatever the server.
auto Edge::whyNoAttempt(Request& request) -> std::optional<RequestRejection> {
    if (auto refusal = rebindToNewestConfiguration(request)) return refusal;
    auto why = migration_.objection(request, request.attempts.tracker.earlier(), AttemptGrant::Granted);
    return why.empty() ? std::nullopt : std::optional(RequestRejection{503, why});
}

// Why the server that was chosen may not be sent to after all.
auto Edge::whyNotToServer(const Request& request, bool reused, Microseconds now) -> std::string {
    if (!node_.withinLease(now)) return "no majority was heard within the lease";
    if (now >= request.limits.deadline) return "its time is over";
    auto server = node_.servers().find(request.attempts.server);
    if (server == node_.servers().end()) return "it is no longer known";
    if (!selection_.allows(request, server->second)) return "it may no longer be sent there";
    if (reused && !mayReuseConnection(request)) return "it may not go on a used connection any more";
    auto rule = serviceRule(request);
    auto isHeldUp = now - request.attempts.chosenAt > HELD_UP;
    if (rule && isHeldUp && !slowStart_.admits(server->first, server->second, *rule, now, BucketUse::Consume))
        return "it is cold, and this send was held up";
    return "";
}

// The process may just have woken from a freeze, so all is asked again.
auto Edge::confirmSend(std::int64_t id, int attempt, Microseconds now, bool reused) -> bool {
    auto request = currentAttempt(id, attempt);
    if (!request) return false;
    // Some things no other server can mend.
    if (auto refusal = whyNoAttempt(*request)) {
        giveUpAttempt(*request, refusal->why, now);
        fail(*request, refusal->status, refusal->why, now);
        return false;
    }
    if (auto why = whyNotToServer(*request, reused, now); !why.empty()) {
        holdBack(*request, why, now);
        return false;
    }
    if (!quota_.spend(*request, now)) {
        giveUpAttempt(*request, TOKEN_LAPSED, now);
        fail(*request, 503, TOKEN_LAPSED, now);
        return false;
    }
    budget_.recordAttempt(*request, now);
    auto& attempts = request->attempts;
    attempts.sent++;
    apply(*request, AttemptEvent::WriteStarted);
    attempts.sentUnrepeatable = attempts.sentUnrepeatable || !request->route.mayRunAgain();
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

// The attempt ends before its first byte.
auto Edge::giveUpAttempt(Request& request, const std::string& why, Microseconds now) -> void {
    auto& attempts = request.attempts;
    note(request,
        fmt::format("+{} us held back from {}: {}", now - request.received.acceptedAt, attempts.server, why));
    counters_.add("held_back_total");
    release(request);
    turn(request, counters_, PhaseEvent::Loss);
    apply(request, AttemptEvent::HeldBack);
    attempts.tracker.startOver();
    port_.cancelAttempt(request.id, attempts.current);
    attempts.current++;
}

// The attempt ends before its first byte; another server may do.
auto Edge::holdBack(Request& request, const std::string& why, Microseconds now) -> void {
    giveUpAttempt(request, why, now);
    auto& attempts = request.attempts;
    if (++attempts.heldBack > MAX_HELD_BACK || now >= request.limits.deadline)
        return fail(request, 503, "no server may take it now", now);
    if (dispatch(request, now) || request.phase() == Phase::Finished) return;
    if (!selection_.mayFindServerLater(request) || !enqueue(request, now))
        return fail(request, 503, "no server has room", now);
    turn(request, counters_, PhaseEvent::Wait);
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

// An attempt's event, by the table of attempt_state.hpp; gives what is known of it then. What the table
// does not allow is never done in silence.
auto Edge::apply(Request& request, AttemptEvent event) -> Execution {
    auto& tracker = request.attempts.tracker;
    if (tracker.apply(event).step == NextStep::Illegal) counters_.add("illegal_transitions_total");
    return tracker.current();
}

// The request, if this is its present attempt and it has not ended.
auto Edge::currentAttempt(std::int64_t id, int attempt) -> Request* {
    auto found = requests_.find(id);
    if (found == requests_.end()) return nullptr;
    auto& request = found->second;
    auto isPast = request.attempts.current != attempt || request.phase() == Phase::Finished;
    return isPast ? nullptr : &request;
}

auto Edge::onRequestWritten(std::int64_t id, int attempt) -> void {
    if (auto request = currentAttempt(id, attempt)) apply(*request, AttemptEvent::WriteFinished);
}

}  // namespace duneturn
