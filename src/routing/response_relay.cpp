// What servers answer, and what of it is passed on to the client.
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

constexpr auto MISDIRECTED = 421;                    // the address is another server's by now
constexpr auto FULL_FOR = 150 * MILLISECOND;         // a server that said that it was full
constexpr auto SLOW_FIRST_BYTE = 200 * MILLISECOND;  // a shorter time to the first byte is never slow
constexpr auto SLOW_FACTOR = 5;                      // times the median of its like
// Factors of a server's fitness.
constexpr auto SLOW = 0.9;
constexpr auto DECLINED = 0.8;
constexpr auto SERVER_ERROR = 0.7;
constexpr auto UNSOUND_EVENT = 0.3;
constexpr auto WRONG_IDENTITY = 0.2;

// Whether an event's bytes are comments only.
auto isComment(std::string_view raw) -> bool {
    for (auto i = std::size_t(0); i < raw.size();) {
        if (raw[i] != ':' && raw[i] != '\n' && raw[i] != '\r') return false;
        auto end = raw.find('\n', i);
        i = end == std::string_view::npos ? raw.size() : end + 1;
    }
    return true;
}

// Whether a status says that something is wrong with the request itself, which no other server would take
// either.
auto isClientError(int status) -> bool {
    return status >= 400 && status < 500 && status != 408 && status != MISDIRECTED && status != 429;
}

// Whether a status promises that nothing ran.
auto promisesNoRun(int status) -> bool { return status == 503 || status == 429 || status == 408; }

}  // namespace

// Whether the answer is another request's, or does not prove that it is this one's.
auto Edge::isOtherRequests(const Request& request, const Headers& headers, int status) const -> bool {
    if (broken.ignoreRequestIdentity) return false;
    auto name = header(headers, dialect_.request);
    if (!name.empty()) return name != request.received.name;
    // Of a success without a name nobody knows whose it is; of a failure neither, where a late answer to an
    // earlier request may come on the same connection.
    auto isSuccess = status >= 200 && status < 300;
    return dialect_.clientNamesRequests && (isSuccess || request.attempts.onReusedConnection);
}

// Whether the server says that it did not run the request.
auto Edge::isNotExecuted(int status, const Headers& headers) const -> bool {
    return !header(headers, dialect_.notExecuted).empty()
        || (dialect_.clientNamesRequests && status == MISDIRECTED);
}

// The head of the answer was read, or what implies it.
auto Edge::headRead(Request& request, int status, const Headers& headers) -> void {
    auto state = request.attempts.tracker.state();
    if (state != AttemptState::Writing && state != AttemptState::Written) return;
    apply(request, isNotExecuted(status, headers) ? AttemptEvent::NotExecutedHead : AttemptEvent::FinalHead);
}

// A server is slow beside its like: judged against the service's median.
auto Edge::judgeFirstByteTime(const Request& request, int status, const Headers& headers, Microseconds now)
    -> void {
    auto& statistics = statistics_.of(request.attempts.server);
    auto taken = now - request.attempts.chosenAt;
    statistics.recordFirstByte(taken);
    if (taken <= SLOW_FIRST_BYTE || isNotExecuted(status, headers)) return;
    auto median = statistics_.median(request.route.service, &ServerStatistics::firstByteTime);
    if (median > 0 && statistics.firstByteTime > SLOW_FACTOR * median)
        statistics.ejection.lowerFitness(SLOW, now);
}

auto Edge::onResponseHead(std::int64_t id, int attempt, int status, const Headers& headers, Microseconds now)
    -> bool {
    auto request = currentAttempt(id, attempt);
    if (!request) return false;
    auto& attempts = request->attempts;
    auto& relayed = request->relayed;
    attempts.lastActivityAt = now;
    judgeFirstByteTime(*request, status, headers, now);
    auto mustBeNamed = status == 200 || dialect_.clientNamesRequests;
    if (mustBeNamed && isOtherRequests(*request, headers, status)) {
        onWrongIdentity(*request, now);
        return false;
    }
    headRead(*request, status, headers);
    promptRead(*request);
    auto isMisdirected = dialect_.clientNamesRequests && status == MISDIRECTED;
    if (!isMisdirected) statistics_.readAnswer(attempts.server, headers, dialect_, now);
    attempts.headReadOf = attempt;
    // What a server says of its weights itself is newer than the listing.
    if (auto weights = header(headers, dialect_.weights); status == 200 && !weights.empty()) {
        attempts.weights = weights;
        auto isBound = relayed.lastEventId >= 0 && !relayed.weights.empty() && !broken.ignoreWeightsVersion;
        if (isBound && weights != relayed.weights) {
            counters_.add("wrong_weights_total");
            retryElsewhere(
                *request, AttemptEvent::AnswerUnsuitable, "the server runs other weights by now", now);
            return false;
        }
    }
    if (!relayed.headSent && dialect_.passHeaders) {
        relayed.status = status;
        relayed.headers = endToEnd(headers);
    }
    return true;
}

auto Edge::onWrongIdentity(Request& request, Microseconds now) -> void {
    statistics_.of(request.attempts.server).ejection.lowerFitness(WRONG_IDENTITY, now);
    counters_.add("wrong_exchange_total");
    retryElsewhere(request, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
}

auto Edge::onClientSlow(std::int64_t id, int attempt, Microseconds now) -> void {
    if (auto request = currentAttempt(id, attempt)) request->attempts.lastActivityAt = now;
}

// Once, before the first bytes of a stream: the head that the client gets, of whatever server gave the
// first event.
auto Edge::sendHeadOnce(Request& request) -> void {
    auto& relayed = request.relayed;
    if (relayed.headSent) return;
    relayed.headSent = true;
    if (!request.limits.resumedByClient) relayed.weights = request.attempts.weights;
    if (dialect_.passHeaders) return port_.sendHead(request.id, relayed.status, relayed.headers);
    port_.sendHead(request.id, 200,
        {{"Content-Type", "text/event-stream"}, {dialect_.request, request.received.name},
            {dialect_.weights, relayed.weights}});
}

// Where clients name requests, ids rise, by how much nobody says.
auto Edge::judgeRisingEvent(RelayedStream& relayed, const ServerSentEvent& event) const -> EventVerdict {
    if (event.id.empty()) {
        if (isComment(event.raw)) return EventVerdict::Sound;
        if (relayed.lastEventId >= 0 || (event.data.empty() && event.type.empty()))
            return EventVerdict::Unsound;
        relayed.hasOrderedIds = false;
        return EventVerdict::Sound;
    }
    if (!relayed.hasOrderedIds) return EventVerdict::Sound;
    auto number = parseNumber(event.id);
    if (number < 0) {
        if (relayed.lastEventId >= 0) return EventVerdict::Unsound;
        relayed.hasOrderedIds = false;
        return EventVerdict::Sound;
    }
    if (number <= relayed.lastEventId && !broken.joinUnorderedEvents) return EventVerdict::OutOfOrder;
    relayed.lastEventId = number;
    return EventVerdict::Sound;
}

// Whether the next event of a stream follows what was relayed of it; notes its id if so.
auto Edge::judgeEvent(RelayedStream& relayed, const ServerSentEvent& event) const -> EventVerdict {
    if (dialect_.clientNamesRequests) return judgeRisingEvent(relayed, event);
    if (event.id.empty()) {
        if (!event.done()) relayed.hasOrderedIds = false;
        return EventVerdict::Sound;
    }
    if (!relayed.hasOrderedIds) return EventVerdict::Sound;
    auto number = parseNumber(event.id);
    if (number < 0) {
        // Ids that are no numbers cannot be counted, nor joined.
        if (relayed.lastEventId >= 0) return EventVerdict::Uncountable;
        relayed.hasOrderedIds = false;
        return EventVerdict::Sound;
    }
    auto isNext = relayed.lastEventId < 0 || number == relayed.lastEventId + 1;
    if (!isNext && !broken.joinUnorderedEvents) return EventVerdict::OutOfOrder;
    relayed.lastEventId = number;
    return EventVerdict::Sound;
}

auto Edge::rejectEvent(Request& request, const ServerSentEvent& event, EventVerdict verdict, Microseconds now)
    -> void {
    auto last = request.relayed.lastEventId;
    if (verdict == EventVerdict::Uncountable)
        return fail(request, 502, fmt::format("the event after {} came as {}", last, event.id), now);
    statistics_.of(request.attempts.server).ejection.lowerFitness(UNSOUND_EVENT, now);
    counters_.add(verdict == EventVerdict::OutOfOrder ? "events_out_of_line_total" : "events_unsound_total");
    if (dialect_.clientNamesRequests && !request.relayed.headSent)
        return retryElsewhere(request, AttemptEvent::MalformedResponse, "its first event is unsound", now);
    auto came = event.id.empty() ? "garbage" : event.id;
    fail(request, 502, fmt::format("the event after {} came as {}", last, came), now);
}

auto Edge::onStreamEvent(std::int64_t id, int attempt, const ServerSentEvent& event, Microseconds now)
    -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    auto gap = now - request->attempts.lastActivityAt;
    request->attempts.lastActivityAt = now;
    statistics_.of(request->attempts.server).lastReceivedAt = now;
    headRead(*request, 200, {});
    auto verdict = judgeEvent(request->relayed, event);
    if (verdict != EventVerdict::Sound) return rejectEvent(*request, event, verdict, now);
    if (!request->relayed.hasOrderedIds) request->limits.migrationDisabled = true;
    sendHeadOnce(*request);
    turn(*request, counters_, PhaseEvent::Bytes);
    apply(*request, AttemptEvent::EventReceived);
    if (migration_.recordRelayed(*request, event))
        note(*request,
            fmt::format(
                "+{} us past the maximum sequence length: migrations 0", now - request->received.acceptedAt));
    port_.sendStreamBytes(id, event.raw);
    if (dialect_.doneEvent && event.done()) completeStream(*request, now);
    else if (request->relayed.lastEventId > 0) moveIfCrawling(*request, gap, now);
}

auto Edge::completeStream(Request& request, Microseconds now) -> void {
    statistics_.of(request.attempts.server).ejection.raiseFitness(now);
    apply(request, AttemptEvent::AnswerWhole);
    port_.endStream(request.id, true);
    countOutcome(request, request.attempts.sent > 1 ? "whole_moved" : "whole");
    finish(request, "whole", now);
}

auto Edge::onStreamEnd(std::int64_t id, int attempt, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    if (dialect_.doneEvent)
        return onConnectionLost(id, attempt, "the stream ended without its completion mark", now);
    headRead(*request, 200, {});
    sendHeadOnce(*request);
    turn(*request, counters_, PhaseEvent::Bytes);
    statistics_.of(request->attempts.server).lastReceivedAt = now;
    completeStream(*request, now);
    serveQueue(now);
}

auto Edge::onResponse(std::int64_t id, int attempt, int status, const Headers& headers,
    const std::string& body, Microseconds now) -> void {
    auto request = currentAttempt(id, attempt);
    if (!request) return;
    if (isOtherRequests(*request, headers, status)) return onWrongIdentity(*request, now);
    headRead(*request, status, headers);
    promptRead(*request);
    auto& attempts = request->attempts;
    auto isMisdirected = dialect_.clientNamesRequests && status == MISDIRECTED;
    if (attempts.headReadOf != attempt && !isMisdirected)
        statistics_.readAnswer(attempts.server, headers, dialect_, now);
    auto isRequestsFault = dialect_.clientNamesRequests && isClientError(status);
    if (isNotExecuted(status, headers) && (!isRequestsFault || request->relayed.headSent))
        return onDeclined(*request, status, now);
    if (auto why = whyUnsuitable(*request, status, now); !why.empty())
        return retryElsewhere(*request, AttemptEvent::AnswerUnsuitable, why, now);
    relayResponse(*request, status, headers, body, now);
}

// The server says that it did not run the request.
auto Edge::onDeclined(Request& request, int status, Microseconds now) -> void {
    counters_.add("server_denied_total");
    auto& statistics = statistics_.of(request.attempts.server);
    if (!dialect_.clientNamesRequests) {
        statistics.ejection.lowerFitness(DECLINED, now);
    } else if (status == MISDIRECTED) {
        // Its address is another server's by now; it may be listed for a while yet.
        if (auto server = node_.servers().find(request.attempts.server); server != node_.servers().end())
            statistics.wrongAddressRevision =
                std::max(statistics.wrongAddressRevision, server->second.listing.revision);
        statistics.ejection.eject(now);
    } else {
        statistics.fullUntil = now + FULL_FOR;
    }
    retryElsewhere(
        request, AttemptEvent::AnswerUnsuitable, fmt::format("denied by the server with {}", status), now);
}

// Why a whole answer cannot be passed on as it is; empty if it can. Judges the server by it.
auto Edge::whyUnsuitable(Request& request, int status, Microseconds now) -> std::string {
    if (request.relayed.headSent) return fmt::format("the resumed stream was not one (status {})", status);
    if (request.route.stream && status == 200 && !dialect_.passHeaders) return "not a stream";
    auto& ejection = statistics_.of(request.attempts.server).ejection;
    if (status >= 500) ejection.lowerFitness(SERVER_ERROR, now);
    else ejection.raiseFitness(now);
    if (!dialect_.clientNamesRequests) return "";
    auto isRepeatable = request.retryRights().repeatable;
    if (status >= 500 && isRepeatable && couldMove(request, AttemptEvent::AnswerUnsuitable, now))
        return fmt::format("the server failed with {}", status);
    // These promise that nothing ran, which this server did not say.
    if (promisesNoRun(status) && !isRepeatable)
        return fmt::format("the server replied {} but may have run it", status);
    return "";
}

auto Edge::relayResponse(
    Request& request, int status, const Headers& headers, const std::string& body, Microseconds now) -> void {
    auto passed = Headers{{dialect_.request, request.received.name}};
    if (dialect_.passHeaders) {
        passed = endToEnd(headers);
    } else {
        for (auto name : {"Content-Type", "Retry-After", "Cache-Control", "ETag"})
            if (auto value = header(headers, name); !value.empty()) passed.emplace_back(name, value);
    }
    turn(request, counters_, PhaseEvent::Bytes);
    apply(request, AttemptEvent::AnswerWhole);
    port_.sendReply(request.id, status, passed, body);
    auto success = request.attempts.sent > 1 ? "whole_moved" : "whole";
    countOutcome(request, status < 400 ? success : "server_error");
    finish(request, fmt::format("reply {}", status), now);
    if (dialect_.clientNamesRequests) serveQueue(now);
}

}  // namespace duneturn
