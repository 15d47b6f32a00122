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
    auto ps = decltype(x.received.promptParts)();
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
    x.received.prefixKey = 1;
    for (auto i = std::size_t(0); i < shared; i++) {
        x.received.prefixKey = x.received.prefixKey * 0x9e3779b97f4a7c15ull ^ ps[i].first;
        x.received.sharedTokens += ps[i].second;
    }
    x.received.prefixKey |= 1;
    x.received.promptParts = std::move(ps);
}

}  // namespace

auto Edge::accept(const std::string& method, const std::string& path, const Headers& h,
    const std::string& body, Microseconds now, Microseconds arrived) -> std::int64_t {
    // A long body may have taken a while; the sender counts from the request's beginning.
    auto since = arrived > 0 ? std::min(arrived, now) : now;
    if (!startedAt_) startedAt_ = now;
    auto id = ++lastRequestId_;
    auto& x = requests_[id];
    x.id = id;
    x.received.acceptedAt = now;
    x.received.method = method;
    x.received.path = path;
    x.received.host = header(h, "Host");
    x.received.name = fmt::format("{}-{:x}-{}", node_.me().node, node_.me().boot, id);
    if (!dialect_.clientNamesRequests) x.received.region = header(h, "X-Region");
    if (x.received.region.empty()) x.received.region = node_.me().region;
    x.route.name = "none";
    x.route.timeout = 10 * SECOND;
    x.limits.deadline = now + x.route.timeout;
    if (dialect_.clientNamesRequests) {
        auto n = header(h, dialect_.request);
        if (n.empty() || n.size() > 256)
            return fail(x, 400, "the header " + dialect_.request + " is missing or too long", now), id;
        x.received.name = n;
    }
    if (refusingNew_ || (draining_ && !dialect_.clientNamesRequests))
        return fail(x, 503, "this node is stopping", now), id;
    if (broken.noServe) return fail(x, 503, "broken", now), id;
    if (!node_.withinLease(now))
        return fail(x, 503, "this node has not heard a majority within its lease", now), id;
    if (evacuatedAt_ > 0 && now - evacuatedAt_ > 4 * SECOND && !dialect_.clientNamesRequests)
        return fail(x, 503, "this district is emptied", now), id;
    auto i = routes_.match(method, x.received.host, path);
    if (i < 0)
        return fail(x, routes_.configVersion ? 404 : 503,
                   routes_.configVersion ? "no mapping for this path" : "no configuration yet", now),
               id;
    x.received.headers = h;
    x.received.body = body;
    x.limits.routesRevision = routesRevision_;
    x.limits.sequenceTokens = std::int64_t(body.size() / 4);
    x.received.model = header(h, dialect_.model);
    x.route = adapt(x, routes_.routes[std::size_t(i)]);
    x.limits.deadline = since + x.route.timeout;
    if (auto t = header(h, dialect_.deadlineMs); !t.empty())
        if (auto n = parseNumber(t.substr(0, t.find('.'))); n >= 0)
            x.limits.deadline = std::min(x.limits.deadline, since + n * MILLISECOND);
    if (auto v = std::vector<std::int64_t>(); parseNumbers(header(h, dialect_.tokens), v)) {
        x.limits.sequenceTokens = x.received.promptTokens = v[0];
        x.received.outputTokens = v.size() > 1 ? v[1] : 0;
    }
    if (auto t = header(h, dialect_.parts); !t.empty()) partsOf(t, x);
    else if (x.route.affinityBytes)
        x.received.prefixKey = beginning(std::string_view(body).substr(0, x.route.affinityBytes));
    if (auto l = header(h, dialect_.lastEvent); !l.empty() && dialect_.clientNamesRequests) {
        // A further try of the sender's, and as such a first send; on what cannot be resumed it is
        // passed on like any other header.
        if (x.route.mayRunAgain() && x.route.stream) {
            x.relayed.lastEventId = parseNumber(l);
            x.relayed.countable = x.relayed.lastEventId >= 0;
            x.limits.sequenceTokens += std::max<std::int64_t>(0, x.relayed.lastEventId);
        }
    } else if (!l.empty()) {
        if (auto no = resume(x, l, header(h, dialect_.weights)); !no.empty()) {
            counters_.add("resumptions_denied_total");
            return fail(x, 409, no, now), id;
        }
        if (!budgetAllows(x, now)) {
            budgetShortAt_ = now;
            counters_.add("budget_denied_total");
            return fail(x, 503, "the fleet's budget for extra sends is spent", now), id;
        }
    }
    x.limits.immovable = x.limits.sequenceTokens > x.route.maxSequenceTokens || !x.relayed.countable;
    note(x,
        fmt::format("accept: mapping {}, region {}, deadline {} us, migrations {}, sends {}{}", x.route.name,
            x.received.region, x.limits.deadline - now, x.migrationsLeft(),
            x.route.maxAttempts - x.attempts.sent,
            x.limits.resumedByClient ? fmt::format(
                ", resumed after event {} of weights {}", x.relayed.lastEventId, x.relayed.weights)
                                     : ""));
    counters_.add("accepted_total");
    if (dialect_.clientNamesRequests) claim(x);
    // Nobody goes ahead of those who wait for the same servers with no less urgency.
    if (queued_[x.route.service] == 0 && start(x, now)) return id;
    if (x.phase() == Phase::Finished) return id;
    if (!queue(x, now)) fail(x, 503, "the servers are full and so is the queue", now);
    return id;
}

// A sender whose own node was lost picks its stream up here. That is a migration which the
// sender asks for: allowed where ours are, counted as ours are, of the same weights only.
auto Edge::resume(Request& x, const std::string& l, const std::string& w) -> std::string {
    auto n = parseNumber(l);
    x.limits.resumedByClient = true;
    x.attempts.sent = x.attempts.migrations = 1;
    x.relayed.lastEventId = n;
    x.relayed.weights = w;
    x.limits.sequenceTokens += std::max<std::int64_t>(0, n);
    if (broken.resumeAny) return "";
    if (!x.route.resumable)
        return "streams of this mapping cannot be resumed; send it anew without Last-Event-Id";
    if (n < 0) return "Last-Event-Id is not the number of an event";
    if (w.empty()) return "X-Weights, as it came with the stream, is missing";
    if (x.route.migrationLimit < 1 || x.route.maxAttempts < 2) return "streams of this mapping may not move";
    if (x.limits.sequenceTokens > x.route.maxSequenceTokens)
        return "the stream is past the maximum sequence length";
    return "";
}

// A place in the pool's queue. A full queue gives up its least urgent for one more urgent.
auto Edge::queue(Request& x, Microseconds now) -> bool {
    if (x.route.queueTimeout == 0) return false;
    if (auto pr = serviceRule(x.route.service); pr && serviceStatistics_[x.route.service].held > 0) {
        // Of the places that fall free, each node gets its part.
        auto all = 0;
        for (auto& [n, s] : node_.servers())
            if (s.listing.serviceName == x.route.service && s.listing.state == UP) all += slots(n, s, *pr);
        auto before = 0;
        for (auto& [id, y] : requests_)
            before += y.queuePlace.service == x.route.service && y.route.urgency >= x.route.urgency;
        auto wait =
            serviceStatistics_[x.route.service].held * before * double(nodeCount()) / std::max(1, all);
        if (all && wait > double(std::min(x.limits.deadline - now, x.route.queueTimeout))) return false;
    }
    if (queued_[x.route.service] >= x.route.queueCapacity) {
        auto w = (Request*)nullptr;
        for (auto& [id, y] : requests_)
            if (y.queuePlace.service == x.route.service && y.route.urgency < x.route.urgency
                && (!w || y.route.urgency < w->route.urgency
                    || (y.route.urgency == w->route.urgency && y.limits.deadline >= w->limits.deadline)))
                w = &y;
        if (!w) return false;
        counters_.add("displaced_total");
        fail(*w, 503, "more urgent work took its place in the queue", now);
    }
    queued_[x.route.service]++;
    x.queuePlace.service = x.route.service;
    x.queuePlace.until = std::min(x.limits.deadline,
        x.relayed.headSent ? now + std::max(x.route.queueTimeout, SECOND) : now + x.route.queueTimeout);
    note(
        x, fmt::format("+{} us queued behind {}", now - x.received.acceptedAt, queued_[x.route.service] - 1));
    counters_.add("queued_total");
    return true;
}

auto Edge::unqueue(Request& x) -> void {
    if (x.queuePlace.service.empty()) return;
    queued_[broken.queueLeak ? x.route.service + "?" : x.queuePlace.service]--;
    x.queuePlace.service.clear();
    x.queuePlace.until = 0;
}

auto Edge::queuedCount() const -> std::size_t {
    auto n = std::size_t(0);
    for (auto& [p, k] : queued_) n += k > requests_.size() ? 1 : k;  // one given back twice is one too few
    return n;
}

auto Edge::inflightCount() const -> int {
    auto n = 0;
    for (auto& [s, f] : statistics_) n += f.inflight;
    return n;
}

// Where the shared part of a prompt ends nobody says: it is the longest beginning, in steps
// of 512 bytes, that has come before.
auto Edge::beginning(std::string_view body) -> std::uint64_t {
    constexpr auto B = std::size_t(512);
    auto key = std::uint64_t(0);
    for (auto n = B; n <= body.size(); n += B) {
        auto h = hash64(body.substr(0, n), 1) | 1;
        if (knownBeginnings_.count(h)) key = h;
        else knownBeginnings_.insert(h), knownBeginningsOrder_.push_back(h);
    }
    while (knownBeginningsOrder_.size() > 16384) {
        knownBeginnings_.erase(knownBeginningsOrder_.front());
        knownBeginningsOrder_.pop_front();
    }
    return key;
}

auto Edge::serveQueue(Microseconds now) -> void {
    auto q = std::vector<Request*>();
    for (auto& [id, x] : requests_)
        if (x.phase() == Phase::Queued && x.queuePlace.until) q.push_back(&x);
    if (q.empty()) return;
    std::stable_sort(q.begin(), q.end(), [](auto a, auto b) {
        return a->route.urgency != b->route.urgency ? a->route.urgency > b->route.urgency
                                                    : a->limits.deadline < b->limits.deadline;
    });
    auto full = std::map<std::string, int>();
    for (auto x : q) {
        if (now >= x->queuePlace.until) {
            fail(*x, 503, "no server had room in time", now);
            continue;
        }
        // After a few that found no room the rest of that mapping would not either.
        if (full[x->route.name] >= 2) continue;
        auto tr = x->trace.size();
        if (start(*x, now)) unqueue(*x);
        else {
            full[x->route.name]++;
            if (x->phase() != Phase::Finished) x->trace.resize(tr);
        }
    }
}

}  // namespace duneturn
