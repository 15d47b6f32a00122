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
    auto name = header(h, di_.request);
    if (!name.empty()) return name != x.exid;
    // Of a success without a name nobody knows whose it is; of a failure neither, where a late
    // answer to an earlier request may come on the same connection.
    auto success = status >= 200 && status < 300;
    return di_.clientNamesRequests && (success || x.reusedLink);
}

// The head of the answer was read, or what implies it.
auto Edge::headRead(Request& x, int status, const Headers& h) -> void {
    if (x.attempt.state() != AttemptState::Writing && x.attempt.state() != AttemptState::Written) return;
    apply(x, rejection(status, h) ? AttemptEvent::NotExecutedHead : AttemptEvent::FinalHead);
}

// Did the server say that it did not run it?
auto Edge::rejection(int status, const Headers& h) const -> bool {
    return !header(h, di_.notExecuted).empty() || (di_.clientNamesRequests && status == 421);
}

auto Edge::forClient(const Headers& h) const -> Headers { return endToEnd(h); }

auto Edge::upHead(std::int64_t id, int a, int status, const Headers& h, Microseconds now) -> bool {
    auto x = get(id, a);
    if (!x) return false;
    x->lastByte = now;
    auto& f = fit_[x->server];
    auto t = double(now - x->sentAt);
    f.first = f.first > 0 ? f.first * 0.8 + t * 0.2 : t;
    // Slow beside its like: judged against the pool's median.
    if (t > 200 * MILLISECOND && !rejection(status, h))
        if (auto m = median(x->m.service, &Fitness::first); m > 0 && f.first > 5 * m)
            hurt(x->server, 0.9, now);
    if ((status == 200 || di_.clientNamesRequests) && wrongRequest(*x, h, status)) {
        hurt(x->server, 0.2, now);
        ct_.add("wrong_exchange_total");
        again(*x, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
        return false;
    }
    headRead(*x, status, h);
    readDone(*x);
    if (!(di_.clientNamesRequests && status == 421)) readLoad(x->server, h, now);
    x->headOf = a;
    // What a server says of its weights itself is newer than the listing.
    if (auto w = header(h, di_.weights); status == 200 && !w.empty()) {
        x->sentWeights = w;
        if (x->last >= 0 && !x->weights.empty() && w != x->weights && !broken.anyWeights) {
            ct_.add("wrong_weights_total");
            again(*x, AttemptEvent::AnswerUnsuitable, "the server runs other weights by now", now);
            return false;
        }
    }
    if (!x->headSent && di_.passHeaders) x->status = status, x->head = forClient(h);
    return true;
}

auto Edge::waiting(std::int64_t id, int a, Microseconds now) -> void {
    if (auto x = get(id, a)) x->lastByte = now;
}

// A server that crawls is as good as lost to a stream that may move: once a stream, and only
// where another server would take it now, for a stream is better slow than cut.
auto Edge::slow(Request& x, Microseconds gap, Microseconds now) -> void {
    auto& f = fit_[x.server];
    f.pace = f.pace > 0 ? f.pace * 0.9 + double(gap) * 0.1 : double(gap);
    x.pace = x.paced++ ? x.pace * 0.8 + double(gap) * 0.2 : double(gap);
    if (x.paced < 8 || x.pace < double(100 * MILLISECOND) || x.moved > 0 || !x.m.resumable || x.left() <= 0)
        return;
    auto m = median(x.m.service, &Fitness::pace);
    if (m <= 0 || x.pace < 5 * m) return;
    hurt(x.server, 0.5, now);
    if (!pays(x, now) || !bind(x) || now >= x.due || !bar(x, true, true).empty()) return;
    x.tried.push_back(x.server);
    auto to = place(x, now, true);
    x.tried.pop_back();
    if (to.empty() || to == x.server) return;
    ct_.add("slow_moved_total");
    again(x, AttemptEvent::Silence,
        fmt::format("an event every {:.0f} us, where others need {:.0f}", x.pace, m), now);
}

// Once, before the first bytes of a stream: the head that the sender gets, of whatever server
// gave the first event.
auto Edge::headOut(Request& x) -> void {
    if (x.headSent) return;
    x.headSent = true;
    if (!x.resumed) x.weights = x.sentWeights;
    if (di_.passHeaders) return po_.head(x.id, x.status, x.head);
    po_.head(
        x.id, 200, {{"Content-Type", "text/event-stream"}, {di_.request, x.exid}, {di_.weights, x.weights}});
}

auto Edge::upEvent(std::int64_t id, int a, const ServerSentEvent& e, Microseconds now) -> void {
    auto x = get(id, a);
    if (!x) return;
    auto gap = now - x->lastByte;
    x->lastByte = now;
    fit_[x->server].heard = now;
    headRead(*x, 200, {});
    auto n = parseNumber(e.id);
    auto out = [&](bool late) {
        hurt(x->server, 0.3, now);
        ct_.add(late ? "events_out_of_line_total" : "events_unsound_total");
        if (di_.clientNamesRequests && !x->headSent)
            return again(*x, AttemptEvent::MalformedAnswer, "its first event is unsound", now);
        fail(*x, 502, fmt::format("the event after {} came as {}", x->last, e.id.empty() ? "garbage" : e.id),
            now);
    };
    if (di_.clientNamesRequests) {
        // Here ids rise, by how much nobody says.
        if (e.id.empty() && !comment(e.raw)) {
            if (x->last >= 0 || (e.data.empty() && e.type.empty())) return out(false);
            x->counting = false;
        } else if (!e.id.empty() && x->counting) {
            if (n < 0 && x->last >= 0) return out(false);
            if (n >= 0 && n <= x->last && !broken.joinAny) return out(true);
            if (n < 0) x->counting = false;
            else x->last = n;
        }
    } else if (!e.id.empty() && x->counting) {
        if (n < 0) {
            // Ids that are no numbers cannot be counted, nor joined.
            if (x->last >= 0)
                return fail(*x, 502, fmt::format("the event after {} came as {}", x->last, e.id), now);
            x->counting = false;
        } else if (x->last >= 0 && n != x->last + 1 && !broken.joinAny) return out(true);
        else x->last = n;
    } else if (e.id.empty() && !e.done()) x->counting = false;
    if (!x->counting) x->fixed = true;
    headOut(*x);
    turn(*x, ct_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::EventReceived);
    auto pr = described(x->m.service);
    x->seq += di_.clientNamesRequests && e.id.empty() ? 0 : pr && pr->stride > 0 ? pr->stride : 1;
    if (x->seq > x->m.maxSequence) {
        if (!x->fixed)
            note(*x, fmt::format("+{} us past the maximum sequence length: migrations 0", now - x->born));
        x->fixed = true;
        x->events.clear();
    } else if (x->left() > 0) x->events.push_back(e.raw);
    po_.part(x->id, e.raw);
    if (di_.doneEvent && e.done()) {
        auto& f = fit_[x->server];
        f.fit = std::min(1.0, fitOf(x->server, now) + 0.1);
        f.at = now;
        apply(*x, AttemptEvent::AnswerWhole);
        po_.end(x->id, true);
        tally(*x, x->tries > 1 ? "whole_moved" : "whole");
        finish(*x, "whole", now);
    } else if (x->last > 0) slow(*x, gap, now);
}

auto Edge::upEnd(std::int64_t id, int a, Microseconds now) -> void {
    auto x = get(id, a);
    if (!x) return;
    if (di_.doneEvent) return upLost(id, a, "the stream ended without its completion mark", now);
    headRead(*x, 200, {});
    headOut(*x);
    turn(*x, ct_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::AnswerWhole);
    auto& f = fit_[x->server];
    f.fit = std::min(1.0, fitOf(x->server, now) + 0.1);
    f.at = f.heard = now;
    po_.end(x->id, true);
    tally(*x, x->tries > 1 ? "whole_moved" : "whole");
    finish(*x, "whole", now);
    pump(now);
}

auto Edge::upWhole(
    std::int64_t id, int a, int status, const Headers& h, const std::string& body, Microseconds now) -> void {
    auto x = get(id, a);
    if (!x) return;
    if (wrongRequest(*x, h, status)) {
        hurt(x->server, 0.2, now);
        ct_.add("wrong_exchange_total");
        return again(*x, AttemptEvent::WrongIdentity, "the server sent another exchange's reply", now);
    }
    headRead(*x, status, h);
    readDone(*x);
    if (x->headOf != a && !(di_.clientNamesRequests && status == 421)) readLoad(x->server, h, now);
    auto& f = fit_[x->server];
    // What is wrong with the exchange itself no other server would take either.
    auto wrong = di_.clientNamesRequests && status >= 400 && status < 500 && status != 408 && status != 421
        && status != 429;
    if (rejection(status, h) && !(wrong && !x->headSent)) {
        ct_.add("server_denied_total");
        if (status == 421 && di_.clientNamesRequests) {
            // Its address is another server's by now; it may be listed for a while yet.
            if (auto s = n_.servers().find(x->server); s != n_.servers().end())
                f.wrongRevision = std::max(f.wrongRevision, s->second.listing.revision);
            strike(x->server, now);
        } else if (di_.clientNamesRequests) f.fullTill = now + 150 * MILLISECOND;
        else hurt(x->server, 0.8, now);
        return again(
            *x, AttemptEvent::AnswerUnsuitable, fmt::format("denied by the server with {}", status), now);
    }
    if (x->headSent)
        return again(*x, AttemptEvent::AnswerUnsuitable,
            fmt::format("the resumed stream was not one (status {})", status), now);
    if (x->m.stream && status == 200 && !di_.passHeaders)
        return again(*x, AttemptEvent::AnswerUnsuitable, "not a stream", now);
    if (status >= 500) hurt(x->server, 0.7, now);
    else f.fit = std::min(1.0, fitOf(x->server, now) + 0.1), f.at = now;
    if (di_.clientNamesRequests && status >= 500 && x->rights().repeatable
        && movable(*x, AttemptEvent::AnswerUnsuitable, now))
        return again(
            *x, AttemptEvent::AnswerUnsuitable, fmt::format("the server failed with {}", status), now);
    // These promise that nothing ran, which this server did not say.
    if (di_.clientNamesRequests && (status == 503 || status == 429 || status == 408)
        && !x->rights().repeatable)
        return again(*x, AttemptEvent::AnswerUnsuitable,
            fmt::format("the server replied {} but may have run it", status), now);
    auto o = Headers{{di_.request, x->exid}};
    if (di_.passHeaders) o = forClient(h);
    else
        for (auto k : {"Content-Type", "Retry-After", "Cache-Control", "ETag"})
            if (auto v = header(h, k); !v.empty()) o.emplace_back(k, v);
    turn(*x, ct_, PhaseEvent::Bytes);
    apply(*x, AttemptEvent::AnswerWhole);
    po_.reply(x->id, status, o, body);
    tally(*x, status < 400 ? (x->tries > 1 ? "whole_moved" : "whole") : "server_error");
    finish(*x, fmt::format("reply {}", status), now);
    if (di_.clientNamesRequests) pump(now);
}

auto Edge::upFailed(std::int64_t id, int a, AttemptEvent event, const std::string& why, Microseconds now)
    -> void {
    auto x = get(id, a);
    if (!x) return;
    hurt(x->server, 0.4, now);
    if (auto& f = fit_[x->server]; f.asked > f.heard || now - f.heard > SECOND) strike(x->server, now);
    fit_[x->server].lostAt = now;
    ct_.add("sends_lost_total");
    again(*x, event, why, now);
}

}  // namespace duneturn
