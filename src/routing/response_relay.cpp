// What servers answer, and what of it is passed on to the client.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

auto comment(std::string_view raw) -> bool {
    for (auto i = std::size_t(0); i < raw.size();) {
        if (raw[i] != ':' && raw[i] != '\n' && raw[i] != '\r') return false;
        auto n = raw.find('\n', i);
        i = n == std::string_view::npos ? raw.size() : n + 1;
    }
    return true;
}

}  // namespace

// Whether the answer is another request's, or does not prove that it is this one's.
auto Edge::wrongRequest(const Request& x, const Headers& h, int status) const -> bool {
    if (broken.anyIdentity) return false;
    auto name = header(h, dialect_.request);
    if (!name.empty()) return name != x.received.name;
    // Of a success without a name nobody knows whose it is; of a failure neither, where a late
    // answer to an earlier request may come on the same connection.
    auto success = status >= 200 && status < 300;
    return dialect_.clientNamesRequests && (success || x.attempts.onReusedConnection);
}

// The head of the answer was read, or what implies it.
auto Edge::headRead(Request& x, int status, const Headers& h) -> void {
    if (x.attempts.tracker.state() != AttemptState::Writing
        && x.attempts.tracker.state() != AttemptState::Written)
        return;
    apply(x, isNotExecuted(status, h) ? AttemptEvent::NotExecutedHead : AttemptEvent::FinalHead);
}

// Did the server say that it did not run it?
auto Edge::isNotExecuted(int status, const Headers& h) const -> bool {
    return !header(h, dialect_.notExecuted).empty() || (dialect_.clientNamesRequests && status == 421);
}

auto Edge::forClient(const Headers& h) const -> Headers { return endToEnd(h); }

auto Edge::onResponseHead(std::int64_t id, int a, int status, const Headers& h, Microseconds now) -> bool {
    auto x = currentAttempt(id, a);
    if (!x) return false;
    x->attempts.lastActivityAt = now;
    auto& f = statistics_[x->attempts.server];
    auto t = double(now - x->attempts.chosenAt);
    f.firstByteTime = f.firstByteTime > 0 ? f.firstByteTime * 0.8 + t * 0.2 : t;
    // Slow beside its like: judged against the pool's median.
    if (t > 200 * MILLISECOND && !isNotExecuted(status, h))
        if (auto m = median(x->route.service, &ServerStatistics::firstByteTime);
            m > 0 && f.firstByteTime > 5 * m)
            lowerFitness(x->attempts.server, 0.9, now);
    if ((status == 200 || dialect_.clientNamesRequests) && wrongRequest(*x, h, status)) {
        lowerFitness(x->attempts.server, 0.2, now);
        counters_.add("wrong_exchange_total");
        retryElsewhere(*x, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
        return false;
    }
    headRead(*x, status, h);
    promptRead(*x);
    if (!(dialect_.clientNamesRequests && status == 421)) readLoad(x->attempts.server, h, now);
    x->attempts.headReadOf = a;
    // What a server says of its weights itself is newer than the listing.
    if (auto w = header(h, dialect_.weights); status == 200 && !w.empty()) {
        x->attempts.weights = w;
        if (x->relayed.lastEventId >= 0 && !x->relayed.weights.empty() && w != x->relayed.weights
            && !broken.anyWeights) {
            counters_.add("wrong_weights_total");
            retryElsewhere(*x, AttemptEvent::AnswerUnsuitable, "the server runs other weights by now", now);
            return false;
        }
    }
    if (!x->relayed.headSent && dialect_.passHeaders)
        x->relayed.status = status, x->relayed.headers = forClient(h);
    return true;
}

auto Edge::onClientSlow(std::int64_t id, int a, Microseconds now) -> void {
    if (auto x = currentAttempt(id, a)) x->attempts.lastActivityAt = now;
}

// A server that crawls is as good as lost to a stream that may move: once a stream, and only
// where another server would take it now, for a stream is better slow than cut.
auto Edge::checkPace(Request& x, Microseconds gap, Microseconds now) -> void {
    auto& f = statistics_[x.attempts.server];
    f.eventGap = f.eventGap > 0 ? f.eventGap * 0.9 + double(gap) * 0.1 : double(gap);
    x.attempts.eventGap =
        x.attempts.eventGapSamples++ ? x.attempts.eventGap * 0.8 + double(gap) * 0.2 : double(gap);
    if (x.attempts.eventGapSamples < 8 || x.attempts.eventGap < double(100 * MILLISECOND)
        || x.attempts.migrations > 0 || !x.route.resumable || x.migrationsLeft() <= 0)
        return;
    auto m = median(x.route.service, &ServerStatistics::eventGap);
    if (m <= 0 || x.attempts.eventGap < 5 * m) return;
    lowerFitness(x.attempts.server, 0.5, now);
    if (!budgetAllows(x, now) || !bind(x) || now >= x.limits.deadline
        || !whyNoFurtherAttempt(x, true, true).empty())
        return;
    x.attempts.tried.push_back(x.attempts.server);
    auto to = place(x, now, true);
    x.attempts.tried.pop_back();
    if (to.empty() || to == x.attempts.server) return;
    counters_.add("slow_moved_total");
    retryElsewhere(x, AttemptEvent::Silence,
        fmt::format("an event every {:.0f} us, where others need {:.0f}", x.attempts.eventGap, m), now);
}

// Once, before the first bytes of a stream: the head that the sender gets, of whatever server
// gave the first event.
auto Edge::sendHeadOnce(Request& x) -> void {
    if (x.relayed.headSent) return;
    x.relayed.headSent = true;
    if (!x.limits.resumedByClient) x.relayed.weights = x.attempts.weights;
    if (dialect_.passHeaders) return port_.sendHead(x.id, x.relayed.status, x.relayed.headers);
    port_.sendHead(x.id, 200,
        {{"Content-Type", "text/event-stream"}, {dialect_.request, x.received.name},
            {dialect_.weights, x.relayed.weights}});
}

auto Edge::onStreamEvent(std::int64_t id, int a, const StreamEvent& e, Microseconds now) -> void {
    auto x = currentAttempt(id, a);
    if (!x) return;
    auto gap = now - x->attempts.lastActivityAt;
    x->attempts.lastActivityAt = now;
    statistics_[x->attempts.server].lastHeardAt = now;
    headRead(*x, 200, {});
    auto n = parseNumber(e.id);
    auto out = [&](bool late) {
        lowerFitness(x->attempts.server, 0.3, now);
        counters_.add(late ? "events_out_of_line_total" : "events_unsound_total");
        if (dialect_.clientNamesRequests && !x->relayed.headSent)
            return retryElsewhere(*x, AttemptEvent::MalformedAnswer, "its first event is unsound", now);
        fail(*x, 502,
            fmt::format(
                "the event after {} came as {}", x->relayed.lastEventId, e.id.empty() ? "garbage" : e.id),
            now);
    };
    if (dialect_.clientNamesRequests) {
        // Here ids rise, by how much nobody says.
        if (e.id.empty() && !comment(e.raw)) {
            if (x->relayed.lastEventId >= 0 || (e.data.empty() && e.type.empty())) return out(false);
            x->relayed.countable = false;
        } else if (!e.id.empty() && x->relayed.countable) {
            if (n < 0 && x->relayed.lastEventId >= 0) return out(false);
            if (n >= 0 && n <= x->relayed.lastEventId && !broken.joinAny) return out(true);
            if (n < 0) x->relayed.countable = false;
            else x->relayed.lastEventId = n;
        }
    } else if (!e.id.empty() && x->relayed.countable) {
        if (n < 0) {
            // Ids that are no numbers cannot be counted, nor joined.
            if (x->relayed.lastEventId >= 0)
                return fail(
                    *x, 502, fmt::format("the event after {} came as {}", x->relayed.lastEventId, e.id), now);
            x->relayed.countable = false;
        } else if (x->relayed.lastEventId >= 0 && n != x->relayed.lastEventId + 1 && !broken.joinAny)
            return out(true);
        else x->relayed.lastEventId = n;
    } else if (e.id.empty() && !e.isCompletionMark()) x->relayed.countable = false;
    if (!x->relayed.countable) x->limits.immovable = true;
    sendHeadOnce(*x);
    turn(*x, counters_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::EventReceived);
    auto pr = serviceRule(x->route.service);
    x->limits.sequenceTokens += dialect_.clientNamesRequests && e.id.empty() ? 0
        : pr && pr->eventTokens > 0                                          ? pr->eventTokens
                                                                             : 1;
    if (x->limits.sequenceTokens > x->route.maxSequenceTokens) {
        if (!x->limits.immovable)
            note(*x,
                fmt::format(
                    "+{} us past the maximum sequence length: migrations 0", now - x->received.acceptedAt));
        x->limits.immovable = true;
        x->relayed.events.clear();
    } else if (x->migrationsLeft() > 0) x->relayed.events.push_back(e.raw);
    port_.sendPart(x->id, e.raw);
    if (dialect_.doneEvent && e.isCompletionMark()) {
        auto& f = statistics_[x->attempts.server];
        f.fitness = std::min(1.0, fitnessOf(x->attempts.server, now) + 0.1);
        f.fitnessAt = now;
        apply(*x, AttemptEvent::AnswerWhole);
        port_.endStream(x->id, true);
        countOutcome(*x, x->attempts.sent > 1 ? "whole_moved" : "whole");
        finish(*x, "whole", now);
    } else if (x->relayed.lastEventId > 0) checkPace(*x, gap, now);
}

auto Edge::onStreamEnd(std::int64_t id, int a, Microseconds now) -> void {
    auto x = currentAttempt(id, a);
    if (!x) return;
    if (dialect_.doneEvent)
        return onConnectionLost(id, a, "the stream ended without its completion mark", now);
    headRead(*x, 200, {});
    sendHeadOnce(*x);
    turn(*x, counters_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::AnswerWhole);
    auto& f = statistics_[x->attempts.server];
    f.fitness = std::min(1.0, fitnessOf(x->attempts.server, now) + 0.1);
    f.fitnessAt = f.lastHeardAt = now;
    port_.endStream(x->id, true);
    countOutcome(*x, x->attempts.sent > 1 ? "whole_moved" : "whole");
    finish(*x, "whole", now);
    serveQueue(now);
}

auto Edge::onResponse(
    std::int64_t id, int a, int status, const Headers& h, const std::string& body, Microseconds now) -> void {
    auto x = currentAttempt(id, a);
    if (!x) return;
    if (wrongRequest(*x, h, status)) {
        lowerFitness(x->attempts.server, 0.2, now);
        counters_.add("wrong_exchange_total");
        return retryElsewhere(
            *x, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
    }
    headRead(*x, status, h);
    promptRead(*x);
    if (x->attempts.headReadOf != a && !(dialect_.clientNamesRequests && status == 421))
        readLoad(x->attempts.server, h, now);
    auto& f = statistics_[x->attempts.server];
    // What is wrong with the exchange itself no other server would take either.
    auto wrong = dialect_.clientNamesRequests && status >= 400 && status < 500 && status != 408
        && status != 421 && status != 429;
    if (isNotExecuted(status, h) && !(wrong && !x->relayed.headSent)) {
        counters_.add("server_denied_total");
        if (status == 421 && dialect_.clientNamesRequests) {
            // Its address is another server's by now; it may be listed for a while yet.
            if (auto s = node_.servers().find(x->attempts.server); s != node_.servers().end())
                f.wrongAddressRevision = std::max(f.wrongAddressRevision, s->second.listing.revision);
            eject(x->attempts.server, now);
        } else if (dialect_.clientNamesRequests) f.fullUntil = now + 150 * MILLISECOND;
        else lowerFitness(x->attempts.server, 0.8, now);
        return retryElsewhere(
            *x, AttemptEvent::AnswerUnsuitable, fmt::format("denied by the server with {}", status), now);
    }
    if (x->relayed.headSent)
        return retryElsewhere(*x, AttemptEvent::AnswerUnsuitable,
            fmt::format("the resumed stream was not one (status {})", status), now);
    if (x->route.stream && status == 200 && !dialect_.passHeaders)
        return retryElsewhere(*x, AttemptEvent::AnswerUnsuitable, "not a stream", now);
    if (status >= 500) lowerFitness(x->attempts.server, 0.7, now);
    else f.fitness = std::min(1.0, fitnessOf(x->attempts.server, now) + 0.1), f.fitnessAt = now;
    if (dialect_.clientNamesRequests && status >= 500 && x->retryRights().repeatable
        && couldMove(*x, AttemptEvent::AnswerUnsuitable, now))
        return retryElsewhere(
            *x, AttemptEvent::AnswerUnsuitable, fmt::format("the server failed with {}", status), now);
    // These promise that nothing ran, which this server did not say.
    if (dialect_.clientNamesRequests && (status == 503 || status == 429 || status == 408)
        && !x->retryRights().repeatable)
        return retryElsewhere(*x, AttemptEvent::AnswerUnsuitable,
            fmt::format("the server replied {} but may have run it", status), now);
    auto o = Headers{{dialect_.request, x->received.name}};
    if (dialect_.passHeaders) o = forClient(h);
    else
        for (auto k : {"Content-Type", "Retry-After", "Cache-Control", "ETag"})
            if (auto v = header(h, k); !v.empty()) o.emplace_back(k, v);
    turn(*x, counters_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::AnswerWhole);
    port_.sendReply(x->id, status, o, body);
    countOutcome(*x, status < 400 ? (x->attempts.sent > 1 ? "whole_moved" : "whole") : "server_error");
    finish(*x, fmt::format("reply {}", status), now);
    if (dialect_.clientNamesRequests) serveQueue(now);
}

auto Edge::onAttemptFailed(
    std::int64_t id, int a, AttemptEvent event, const std::string& why, Microseconds now) -> void {
    auto x = currentAttempt(id, a);
    if (!x) return;
    lowerFitness(x->attempts.server, 0.4, now);
    if (auto& f = statistics_[x->attempts.server];
        f.unansweredSince > f.lastHeardAt || now - f.lastHeardAt > SECOND)
        eject(x->attempts.server, now);
    statistics_[x->attempts.server].lastFailureAt = now;
    counters_.add("sends_lost_total");
    retryElsewhere(*x, event, why, now);
}

}  // namespace duneturn
