// Requests as they come in: checked, placed at once, queued by urgency, or refused.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

// "ID:TOKENS,…": the parts of a prompt in order, of which the last is the request's own.
auto partsOf(const std::string& t, Request& x) -> void {
    auto ps = decltype(x.parts)();
    for (auto i = std::size_t(0); i < t.size() && ps.size() < 256;) {
        auto j = std::min(t.find(',', i), t.size());
        auto a = std::min(t.find_first_not_of(' ', i), j), c = t.find(':', a);
        if (c == std::string::npos || c >= j) return;
        auto n = parseNumber(t.substr(c + 1, t.find_last_not_of(' ', j - 1) - c));
        if (n < 0 || c == a) return;
        ps.emplace_back(hash64(toLower(std::string_view(t).substr(a, c - a)), 3), n);
        i = j + 1;
    }
    if (ps.empty()) return;
    auto shared = ps.size() > 1 ? ps.size() - 1 : 1;
    x.key = 1;
    for (auto i = std::size_t(0); i < shared; i++) {
        x.key = x.key * 0x9e3779b97f4a7c15ull ^ ps[i].first;
        x.sharedTokens += ps[i].second;
    }
    x.key |= 1;
    x.parts = std::move(ps);
}

}  // namespace

auto Edge::accept(const std::string& method, const std::string& path, const Headers& h,
    const std::string& body, Microseconds now, Microseconds arrived) -> std::int64_t {
    // A long body may have taken a while; the sender counts from the request's beginning.
    auto since = arrived > 0 ? std::min(arrived, now) : now;
    if (!born_) born_ = now;
    auto id = ++next_;
    auto& x = xs_[id];
    x.id = id;
    x.born = now;
    x.method = method;
    x.path = path;
    x.host = header(h, "Host");
    x.exid = fmt::format("{}-{:x}-{}", n_.ownRecord().node, n_.ownRecord().boot, id);
    if (!di_.clientNamesRequests) x.region = header(h, "X-Region");
    if (x.region.empty()) x.region = n_.ownRecord().region;
    x.m.name = "none";
    x.m.deadline = 10 * SECOND;
    x.due = now + x.m.deadline;
    if (di_.clientNamesRequests) {
        auto n = header(h, di_.request);
        if (n.empty() || n.size() > 256)
            return fail(x, 400, "the header " + di_.request + " is missing or too long", now), id;
        x.exid = n;
    }
    if (refuseNew_ || (draining_ && !di_.clientNamesRequests))
        return fail(x, 503, "this node is stopping", now), id;
    if (broken.noServe) return fail(x, 503, "broken", now), id;
    if (!n_.withinLease(now))
        return fail(x, 503, "this node has not heard a majority within its lease", now), id;
    if (evacuatedAt_ > 0 && now - evacuatedAt_ > 4 * SECOND && !di_.clientNamesRequests)
        return fail(x, 503, "this district is emptied", now), id;
    auto i = ru_.match(method, x.host, path);
    if (i < 0)
        return fail(x, ru_.configVersion ? 404 : 503,
                   ru_.configVersion ? "no mapping for this path" : "no configuration yet", now),
               id;
    x.h = h;
    x.body = body;
    x.rulesRevision = rulesRevision_;
    x.seq = std::int64_t(body.size() / 4);
    x.askedModel = header(h, di_.model);
    x.m = adapt(x, ru_.ms[std::size_t(i)]);
    x.due = since + x.m.deadline;
    if (auto t = header(h, di_.deadlineMs); !t.empty())
        if (auto n = parseNumber(t.substr(0, t.find('.'))); n >= 0)
            x.due = std::min(x.due, since + n * MILLISECOND);
    if (auto v = std::vector<std::int64_t>(); parseNumbers(header(h, di_.tokens), v)) {
        x.seq = x.tokensIn = v[0];
        x.tokensOut = v.size() > 1 ? v[1] : 0;
    }
    if (auto t = header(h, di_.parts); !t.empty()) partsOf(t, x);
    else if (x.m.affinity) x.key = beginning(std::string_view(body).substr(0, x.m.affinity));
    if (auto l = header(h, di_.lastEvent); !l.empty() && di_.clientNamesRequests) {
        // A further try of the sender's, and as such a first send; on what cannot be resumed it is
        // passed on like any other header.
        if (x.m.again() && x.m.stream) {
            x.last = parseNumber(l);
            x.counting = x.last >= 0;
            x.seq += std::max<std::int64_t>(0, x.last);
        }
    } else if (!l.empty()) {
        if (auto no = resume(x, l, header(h, di_.weights)); !no.empty()) {
            ct_.add("resumptions_denied_total");
            return fail(x, 409, no, now), id;
        }
        if (!pays(x, now)) {
            wantAt_ = now;
            ct_.add("budget_denied_total");
            return fail(x, 503, "the fleet's budget for extra sends is spent", now), id;
        }
    }
    x.fixed = x.seq > x.m.maxSequence || !x.counting;
    note(x,
        fmt::format("accept: mapping {}, region {}, deadline {} us, migrations {}, sends {}{}", x.m.name,
            x.region, x.due - now, x.left(), x.m.maxTries - x.tries,
            x.resumed ? fmt::format(", resumed after event {} of weights {}", x.last, x.weights) : ""));
    ct_.add("accepted_total");
    if (di_.clientNamesRequests) claim(x);
    // Nobody goes ahead of those who wait for the same servers with no less urgency.
    if (queued_[x.m.service] == 0 && start(x, now)) return id;
    if (x.phase() == Phase::Finished) return id;
    if (!queue(x, now)) fail(x, 503, "the servers are full and so is the queue", now);
    return id;
}

// A sender whose own node was lost picks its stream up here. That is a migration which the
// sender asks for: allowed where ours are, counted as ours are, of the same weights only.
auto Edge::resume(Request& x, const std::string& l, const std::string& w) -> std::string {
    auto n = parseNumber(l);
    x.resumed = true;
    x.tries = x.moved = 1;
    x.last = n;
    x.weights = w;
    x.seq += std::max<std::int64_t>(0, n);
    if (broken.resumeAny) return "";
    if (!x.m.resumable)
        return "streams of this mapping cannot be resumed; send it anew without Last-Event-Id";
    if (n < 0) return "Last-Event-Id is not the number of an event";
    if (w.empty()) return "X-Weights, as it came with the stream, is missing";
    if (x.m.limit < 1 || x.m.maxTries < 2) return "streams of this mapping may not move";
    if (x.seq > x.m.maxSequence) return "the stream is past the maximum sequence length";
    return "";
}

// A place in the pool's queue. A full queue gives up its least urgent for one more urgent.
auto Edge::queue(Request& x, Microseconds now) -> bool {
    if (x.m.queueUs == 0) return false;
    if (auto pr = described(x.m.service); pr && seen_[x.m.service].held > 0) {
        // Of the places that fall free, each node gets its part.
        auto all = 0;
        for (auto& [n, s] : n_.servers())
            if (s.listing.serviceName == x.m.service && s.listing.state == UP) all += slots(n, s, *pr);
        auto before = 0;
        for (auto& [id, y] : xs_) before += y.queuedIn == x.m.service && y.m.urgency >= x.m.urgency;
        auto wait = seen_[x.m.service].held * before * double(nodes()) / std::max(1, all);
        if (all && wait > double(std::min(x.due - now, x.m.queueUs))) return false;
    }
    if (queued_[x.m.service] >= x.m.queue) {
        auto w = (Request*)nullptr;
        for (auto& [id, y] : xs_)
            if (y.queuedIn == x.m.service && y.m.urgency < x.m.urgency
                && (!w || y.m.urgency < w->m.urgency || (y.m.urgency == w->m.urgency && y.due >= w->due)))
                w = &y;
        if (!w) return false;
        ct_.add("displaced_total");
        fail(*w, 503, "more urgent work took its place in the queue", now);
    }
    queued_[x.m.service]++;
    x.queuedIn = x.m.service;
    x.queuedTill = std::min(x.due, x.headSent ? now + std::max(x.m.queueUs, SECOND) : now + x.m.queueUs);
    note(x, fmt::format("+{} us queued behind {}", now - x.born, queued_[x.m.service] - 1));
    ct_.add("queued_total");
    return true;
}

auto Edge::unqueue(Request& x) -> void {
    if (x.queuedIn.empty()) return;
    queued_[broken.queueLeak ? x.m.service + "?" : x.queuedIn]--;
    x.queuedIn.clear();
    x.queuedTill = 0;
}

auto Edge::queuedNow() const -> std::size_t {
    auto n = std::size_t(0);
    for (auto& [p, k] : queued_) n += k > xs_.size() ? 1 : k;  // one given back twice is one too few
    return n;
}

auto Edge::inflightNow() const -> int {
    auto n = 0;
    for (auto& [s, f] : fit_) n += f.inflight;
    return n;
}

// Where the shared part of a prompt ends nobody says: it is the longest beginning, in steps
// of 512 bytes, that has come before.
auto Edge::beginning(std::string_view body) -> std::uint64_t {
    constexpr auto B = std::size_t(512);
    auto key = std::uint64_t(0);
    for (auto n = B; n <= body.size(); n += B) {
        auto h = hash64(body.substr(0, n), 1) | 1;
        if (begun_.count(h)) key = h;
        else begun_.insert(h), begunOrder_.push_back(h);
    }
    while (begunOrder_.size() > 16384) {
        begun_.erase(begunOrder_.front());
        begunOrder_.pop_front();
    }
    return key;
}

auto Edge::pump(Microseconds now) -> void {
    auto q = std::vector<Request*>();
    for (auto& [id, x] : xs_)
        if (x.phase() == Phase::Queued && x.queuedTill) q.push_back(&x);
    if (q.empty()) return;
    std::stable_sort(q.begin(), q.end(), [](auto a, auto b) {
        return a->m.urgency != b->m.urgency ? a->m.urgency > b->m.urgency : a->due < b->due;
    });
    auto full = std::map<std::string, int>();
    for (auto x : q) {
        if (now >= x->queuedTill) {
            fail(*x, 503, "no server had room in time", now);
            continue;
        }
        // After a few that found no room the rest of that mapping would not either.
        if (full[x->m.name] >= 2) continue;
        auto tr = x->trace.size();
        if (start(*x, now)) unqueue(*x);
        else {
            full[x->m.name]++;
            if (x->phase() != Phase::Finished) x->trace.resize(tr);
        }
    }
}

}  // namespace duneturn
