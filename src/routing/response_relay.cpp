// Responses of servers: validates them and forwards them to the client.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "routing/edge.hpp"
#include "routing/request_phases.hpp"

namespace duneturn {
namespace {

// HTTP status 421, Misdirected Request: another server than the one that was selected answers at the address.
constexpr auto MISDIRECTED = 421;
// How long a server counts as full after it stated that it did not execute a request.
constexpr auto FULL_SERVER_PAUSE = 150 * MILLISECOND;
constexpr auto MIN_SLOW_FIRST_BYTE = 200 * MILLISECOND;  // a shorter time to the first byte is never slow
constexpr auto SLOW_FIRST_BYTE_MEDIANS = 5;  // a longer time than this multiple of the median is slow
// Factors by which a server's health score (outlier_ejection.hpp) is multiplied.
constexpr auto SLOW_FIRST_BYTE_FACTOR = 0.9;
constexpr auto NOT_EXECUTED_FACTOR = 0.8;
constexpr auto SERVER_ERROR_FACTOR = 0.7;
constexpr auto MALFORMED_EVENT_FACTOR = 0.3;
constexpr auto WRONG_IDENTITY_FACTOR = 0.2;

// Whether the bytes of an event consist only of comments and empty lines.
auto isComment(std::string_view raw) -> bool {
    for (auto lineStart = std::size_t(0); lineStart < raw.size();) {
        auto first = raw[lineStart];
        if (first != ':' && first != '\n' && first != '\r') return false;
        auto lineEnd = raw.find('\n', lineStart);
        lineStart = lineEnd == std::string_view::npos ? raw.size() : lineEnd + 1;
    }
    return true;
}

// Whether the status reports an error in the request itself, so that any other server would reject it too.
auto isClientError(int status) -> bool {
    return status >= 400 && status < 500 && status != 408 && status != MISDIRECTED && status != 429;
}

// Whether clients take the status as a promise that the request was not executed.
auto promisesNoRun(int status) -> bool { return status == 503 || status == 429 || status == 408; }

}  // namespace

// Whether the response belongs to another request, or does not prove that it belongs to this one.
auto Edge::belongsToAnotherRequest(const Request& request, const Headers& headers, int status) const -> bool {
    if (broken.ignoreRequestIdentity) return false;
    auto name = header(headers, dialect_.request);
    if (!name.empty()) return name != request.received.name;
    // The response names no request. A success could belong to any request. A failure is accepted on a new
    // connection, but on a reused one it may be a late response to an earlier request.
    auto isSuccess = status >= 200 && status < 300;
    return dialect_.clientNamesRequests && (isSuccess || request.attempts.onReusedConnection);
}

// Whether the server states that it did not execute the request.
auto Edge::isNotExecuted(int status, const Headers& headers) const -> bool {
    return !header(headers, dialect_.notExecuted).empty()
        || (dialect_.clientNamesRequests && status == MISDIRECTED);
}

// Records that the head of the response was received, unless that is recorded already. Also called for later
// parts of a response, which imply that its head was received.
auto Edge::recordResponseHead(Request& request, int status, const Headers& headers) -> void {
    auto state = request.attempts.tracker.state();
    if (state != AttemptState::Writing && state != AttemptState::Written) return;
    applyAttemptEvent(
        request, isNotExecuted(status, headers) ? AttemptEvent::NotExecutedHead : AttemptEvent::FinalHead);
}

// Records the time to the first byte. If that is long, and the server's smoothed time is far above the median
// of its service, lowers the health score of the server.
auto Edge::recordFirstByteTime(const Request& request, int status, const Headers& headers, Microseconds now)
    -> void {
    auto& statistics = statistics_.of(request.attempts.server);
    auto firstByteTime = now - request.attempts.serverSelectedAt;
    statistics.recordFirstByte(firstByteTime);
    if (firstByteTime <= MIN_SLOW_FIRST_BYTE || isNotExecuted(status, headers)) return;
    auto median = statistics_.median(request.route.service, &ServerStatistics::firstByteTime);
    if (median > 0 && statistics.firstByteTime > SLOW_FIRST_BYTE_MEDIANS * median)
        statistics.ejection.lowerHealthScore(SLOW_FIRST_BYTE_FACTOR, now);
}

auto Edge::onResponseHead(std::int64_t id, int attempt, int status, const Headers& headers, Microseconds now)
    -> bool {
    auto request = currentAttempt(id, attempt);
    if (!request) return false;
    auto& attempts = request->attempts;
    auto& relayed = request->relayed;
    attempts.lastActivityAt = now;
    recordFirstByteTime(*request, status, headers, now);
    auto isIdentityChecked = status == 200 || dialect_.clientNamesRequests;
    if (isIdentityChecked && belongsToAnotherRequest(*request, headers, status)) {
        onWrongIdentity(*request, now);
        return false;
    }
    recordResponseHead(*request, status, headers);
    releasePendingPrompt(*request);
    auto isMisdirected = dialect_.clientNamesRequests && status == MISDIRECTED;
    if (!isMisdirected) statistics_.readAnswer(attempts.server, headers, dialect_, now);
    attempts.headReceivedOf = attempt;
    // The version of the weights that the server itself reports replaces the one in its listing, which may be
    // outdated.
    if (auto weights = header(headers, dialect_.weights); status == 200 && !weights.empty()) {
        attempts.weights = weights;
        auto isBound = relayed.lastEventId >= 0 && !relayed.weights.empty() && !broken.ignoreWeightsVersion;
        if (isBound && weights != relayed.weights) {
            counters_.add("wrong_weights_total");
            retryElsewhere(
                *request, AttemptEvent::ResponseUnusable, "the server runs other weights by now", now);
            return false;
        }
    }
    if (!relayed.headSent && dialect_.passThroughHeaders) {
        relayed.status = status;
        relayed.headers = endToEndHeaders(headers);
    }
    return true;
}

auto Edge::onWrongIdentity(Request& request, Microseconds now) -> void {
    statistics_.of(request.attempts.server).ejection.lowerHealthScore(WRONG_IDENTITY_FACTOR, now);
    counters_.add("wrong_exchange_total");
    retryElsewhere(request, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
}

auto Edge::onClientSlow(std::int64_t id, int attempt, Microseconds now) -> void {
    if (auto request = currentAttempt(id, attempt)) request->attempts.lastActivityAt = now;
}

// Sends the head of a stream to the client before the first event is forwarded, once per request. The head is
// that of the server that sent the first event; the client does not see the heads of later servers. A stream
// that its client resumes stays bound to the weights version with which it began.
auto Edge::sendHeadOnce(Request& request) -> void {
    auto& relayed = request.relayed;
    if (relayed.headSent) return;
    relayed.headSent = true;
    if (!request.limits.resumedByClient) relayed.weights = request.attempts.weights;
    if (dialect_.passThroughHeaders) return port_.sendHead(request.id, relayed.status, relayed.headers);
    port_.sendHead(request.id, 200,
        {{"Content-Type", "text/event-stream"}, {dialect_.request, request.received.name},
            {dialect_.weights, relayed.weights}});
}

// Validates the id of the next event, and records it if it is valid, where clients name requests
// (Dialect::clientNamesRequests): there ids increase by any amount. A stream that begins with an event
// without a numeric id counts as one without ordered ids, and the ids of its later events are not checked.
auto Edge::validateIncreasingId(RelayedStream& relayed, const ServerSentEvent& event) const -> EventCheck {
    if (event.id.empty()) {
        if (isComment(event.raw)) return EventCheck::Valid;
        if (relayed.lastEventId >= 0 || (event.data.empty() && event.type.empty()))
            return EventCheck::Malformed;
        relayed.hasOrderedIds = false;
        return EventCheck::Valid;
    }
    if (!relayed.hasOrderedIds) return EventCheck::Valid;
    auto number = parseNumber(event.id);
    if (number < 0) {
        if (relayed.lastEventId >= 0) return EventCheck::Malformed;
        relayed.hasOrderedIds = false;
        return EventCheck::Valid;
    }
    if (number <= relayed.lastEventId && !broken.joinUnorderedEvents) return EventCheck::OutOfOrder;
    relayed.lastEventId = number;
    return EventCheck::Valid;
}

// Checks that the next event of a stream follows the events forwarded so far, and records its id if so.
// Unless clients name requests, each id is the previous one plus 1, and events may have no id.
auto Edge::validateEvent(RelayedStream& relayed, const ServerSentEvent& event) const -> EventCheck {
    if (dialect_.clientNamesRequests) return validateIncreasingId(relayed, event);
    if (event.id.empty()) {
        if (!event.done()) relayed.hasOrderedIds = false;
        return EventCheck::Valid;
    }
    if (!relayed.hasOrderedIds) return EventCheck::Valid;
    auto number = parseNumber(event.id);
    if (number < 0) {
        // A stream whose ids are not numbers is forwarded, but cannot be resumed at another server.
        if (relayed.lastEventId >= 0) return EventCheck::NonNumericId;
        relayed.hasOrderedIds = false;
        return EventCheck::Valid;
    }
    auto isNext = relayed.lastEventId < 0 || number == relayed.lastEventId + 1;
    if (!isNext && !broken.joinUnorderedEvents) return EventCheck::OutOfOrder;
    relayed.lastEventId = number;
    return EventCheck::Valid;
}

auto Edge::rejectEvent(Request& request, const ServerSentEvent& event, EventCheck check, Microseconds now)
    -> void {
    auto lastId = request.relayed.lastEventId;
    if (check == EventCheck::NonNumericId)
        return fail(request, 502, fmt::format("the event after {} came as {}", lastId, event.id), now);
    statistics_.of(request.attempts.server).ejection.lowerHealthScore(MALFORMED_EVENT_FACTOR, now);
    counters_.add(check == EventCheck::OutOfOrder ? "events_out_of_line_total" : "events_unsound_total");
    if (dialect_.clientNamesRequests && !request.relayed.headSent)
        return retryElsewhere(request, AttemptEvent::MalformedResponse, "its first event is unsound", now);
    auto receivedId = event.id.empty() ? "garbage" : event.id;
    fail(request, 502, fmt::format("the event after {} came as {}", lastId, receivedId), now);
}

auto Edge::onStreamEvent(std::int64_t id, int attempt, const ServerSentEvent& event, Microseconds now)
    -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    auto gap = now - request->attempts.lastActivityAt;
    request->attempts.lastActivityAt = now;
    statistics_.of(request->attempts.server).lastReceivedAt = now;
    recordResponseHead(*request, 200, {});
    auto check = validateEvent(request->relayed, event);
    if (check != EventCheck::Valid) return rejectEvent(*request, event, check, now);
    if (!request->relayed.hasOrderedIds) request->limits.migrationDisabled = true;
    sendHeadOnce(*request);
    applyPhaseEvent(*request, counters_, PhaseEvent::BytesForwarded);
    applyAttemptEvent(*request, AttemptEvent::EventReceived);
    if (migration_.recordRelayed(*request, event))
        note(*request,
            fmt::format("+{} us maximum sequence length exceeded: no further migration",
                now - request->received.acceptedAt));
    port_.sendStreamBytes(id, event.raw);
    if (dialect_.streamEndsWithDoneEvent && event.done()) completeStream(*request, now);
    else if (request->relayed.lastEventId > 0) migrateIfServerSlow(*request, gap, now);
}

auto Edge::completeStream(Request& request, Microseconds now) -> void {
    statistics_.of(request.attempts.server).ejection.raiseHealthScore(now);
    applyAttemptEvent(request, AttemptEvent::ResponseCompleted);
    port_.endStream(request.id, true);
    countOutcome(request, request.attempts.sent > 1 ? "whole_moved" : "whole");
    finish(request, "whole", now);
}

auto Edge::onStreamEnd(std::int64_t id, int attempt, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    if (dialect_.streamEndsWithDoneEvent)
        return onConnectionLost(id, attempt, "the stream ended without its completion mark", now);
    recordResponseHead(*request, 200, {});
    sendHeadOnce(*request);
    applyPhaseEvent(*request, counters_, PhaseEvent::BytesForwarded);
    statistics_.of(request->attempts.server).lastReceivedAt = now;
    completeStream(*request, now);
    dispatchQueuedRequests(now);
}

auto Edge::onResponse(std::int64_t id, int attempt, int status, const Headers& headers,
    const std::string& body, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    if (belongsToAnotherRequest(*request, headers, status)) return onWrongIdentity(*request, now);
    recordResponseHead(*request, status, headers);
    releasePendingPrompt(*request);
    auto& attempts = request->attempts;
    auto isMisdirected = dialect_.clientNamesRequests && status == MISDIRECTED;
    if (attempts.headReceivedOf != attempt && !isMisdirected)
        statistics_.readAnswer(attempts.server, headers, dialect_, now);
    auto isRequestAtFault = dialect_.clientNamesRequests && isClientError(status);
    if (isNotExecuted(status, headers) && (!isRequestAtFault || request->relayed.headSent))
        return onNotExecuted(*request, status, now);
    if (auto why = whyResponseUnusable(*request, status, now); !why.empty())
        return retryElsewhere(*request, AttemptEvent::ResponseUnusable, why, now);
    relayResponse(*request, status, headers, body, now);
}

// Retries a request that the server states it did not execute, and avoids that server for a while.
auto Edge::onNotExecuted(Request& request, int status, Microseconds now) -> void {
    counters_.add("server_denied_total");
    auto& statistics = statistics_.of(request.attempts.server);
    if (!dialect_.clientNamesRequests) {
        statistics.ejection.lowerHealthScore(NOT_EXECUTED_FACTOR, now);
    } else if (status == MISDIRECTED) {
        // The address now belongs to another server, but the outdated listing may stay published for a while;
        // its revision is recorded so that it is not used again.
        if (auto server = node_.servers().find(request.attempts.server); server != node_.servers().end())
            statistics.wrongAddressRevision =
                std::max(statistics.wrongAddressRevision, server->second.listing.revision);
        statistics.ejection.eject(now);
    } else {
        statistics.fullUntil = now + FULL_SERVER_PAUSE;
    }
    retryElsewhere(
        request, AttemptEvent::ResponseUnusable, fmt::format("denied by the server with {}", status), now);
}

// Returns why a complete response cannot be forwarded as it is; empty if it can. Adjusts the server's
// health score by the status.
auto Edge::whyResponseUnusable(Request& request, int status, Microseconds now) -> std::string {
    if (request.relayed.headSent) return fmt::format("the resumed stream was not one (status {})", status);
    if (request.route.stream && status == 200 && !dialect_.passThroughHeaders) return "not a stream";
    auto& ejection = statistics_.of(request.attempts.server).ejection;
    if (status >= 500) ejection.lowerHealthScore(SERVER_ERROR_FACTOR, now);
    else ejection.raiseHealthScore(now);
    if (!dialect_.clientNamesRequests) return "";
    auto isRepeatable = request.retryRights().repeatable;
    if (status >= 500 && isRepeatable && canRetryElsewhere(request, AttemptEvent::ResponseUnusable, now))
        return fmt::format("the server failed with {}", status);
    // Clients take these statuses as a promise that the request did not run, but the server gave none.
    if (promisesNoRun(status) && !isRepeatable)
        return fmt::format("the server replied {} but may have run it", status);
    return "";
}

auto Edge::relayResponse(
    Request& request, int status, const Headers& headers, const std::string& body, Microseconds now) -> void {
    auto forwarded = Headers{{dialect_.request, request.received.name}};
    if (dialect_.passThroughHeaders) {
        forwarded = endToEndHeaders(headers);
    } else {
        for (auto name : {"Content-Type", "Retry-After", "Cache-Control", "ETag"})
            if (auto value = header(headers, name); !value.empty()) forwarded.emplace_back(name, value);
    }
    applyPhaseEvent(request, counters_, PhaseEvent::BytesForwarded);
    applyAttemptEvent(request, AttemptEvent::ResponseCompleted);
    port_.sendReply(request.id, status, forwarded, body);
    auto success = request.attempts.sent > 1 ? "whole_moved" : "whole";
    countOutcome(request, status < 400 ? success : "server_error");
    finish(request, fmt::format("reply {}", status), now);
    if (dialect_.clientNamesRequests) dispatchQueuedRequests(now);
}

}  // namespace duneturn
