#pragma once
// An edge behind another wire: senders name their requests, servers tell their load, streams
// end with their message.
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "routing/edge.hpp"
#include "test.hpp"

namespace duneturn {

/// The names of a wire on which senders name their requests.
inline auto testDialect() -> Dialect {
    auto d = Dialect();
    d.request = "X-Try", d.notExecuted = "X-Not-Run", d.weights = "", d.target = "X-For";
    d.deadlineMs = "X-Left", d.urgency = "X-Urgency", d.load = "X-Load", d.serverId = "X-Server";
    d.coldMs = "X-Cold", d.parts = "X-Parts", d.tokens = "X-Tokens", d.model = "X-Model";
    d.clientNamesRequests = d.passHeaders = true;
    d.doneEvent = false;
    return d;
}

struct Sent {
    std::int64_t x;
    int a;
    std::string server;
};
struct Reply {
    int status;
    Headers h;
    std::string body;
};

/// A node that is a fleet of its own, with its edge, in virtual time; the other nodes are rows.
struct EdgeFixture : NodePort, EdgePort {
    Settings st;
    Counters ct;
    std::unique_ptr<Node> n;
    std::unique_ptr<Edge> e;
    std::deque<DiskWrite> dq;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, Outcome> outs;
    std::vector<Sent> sends;
    std::vector<std::pair<std::int64_t, int>> drops;
    std::map<std::int64_t, Reply> replies;
    std::map<std::int64_t, std::pair<int, Headers>> heads;
    std::map<std::int64_t, std::string> parts;
    std::set<std::int64_t> cut, whole;
    std::int64_t rev = 0, names = 0, heartbeat = 0;
    std::string region = "near";
    int others = 0;

    explicit EdgeFixture(const std::string& name = "a", int oth = 0, std::uint64_t seed = 2) : others(oth) {
        muteLog(true);
        st.node = name, st.zone = "d", st.region = region, st.peer = "127.0.0.1:1";
        st.roster = st.initialVoters = {name};
        n = std::make_unique<Node>(st, *this, ct, 7, seed);
        e = std::make_unique<Edge>(*n, *this, ct, seed, testDialect());
        n->startCore({}, "disk", now);
        run(8 * SECOND);
    }
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite& w) -> void override { dq.push_back(w); }
    auto done(std::int64_t id, const Outcome& o) -> void override { outs[id] = o; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string&, const std::string&) -> void override {}
    auto send(std::int64_t x, int a, const std::string& s, const std::string&) -> void override {
        sends.push_back({x, a, s});
    }
    auto drop(std::int64_t x, int a) -> void override { drops.emplace_back(x, a); }
    auto head(std::int64_t x, int s, const Headers& h) -> void override { heads[x] = {s, h}; }
    auto part(std::int64_t x, const std::string& s) -> void override { parts[x] += s; }
    auto end(std::int64_t x, bool w) -> void override {
        CHECK(!cut.count(x) && !whole.count(x));
        (w ? whole : cut).insert(x);
    }
    auto reply(std::int64_t x, int s, const Headers& h, const std::string& b) -> void override {
        CHECK(!replies.count(x));
        replies[x] = {s, h, b};
    }

    auto step() -> void {
        if (others && now % (200 * MILLISECOND) == 0) {
            auto v = wire::Envelope();
            v.wire = WIRE;
            v.node = "n1";
            auto b = wire::Heartbeat();
            heartbeat++;
            for (auto i = 0; i <= others; i++) {
                auto w = wire::NodeRecord();
                w.node = fmt::format("n{}", i);
                if (w.node == st.node) continue;
                w.boot = 5, w.heartbeat = heartbeat, w.peer = fmt::format("127.0.0.2:{}", 100 + i);
                b.rows.push_back(w);
            }
            v.__set_heartbeat(b);
            if (st.node == "n1") v.node = "n0";
            n->handle(v, now);
        }
        if (!listed.empty() && now % (5 * SECOND) == 0) list(listed, 0);
        n->tick(now, 1800000000 * SECOND + now);
        e->tick(now);
        auto q = std::move(dq);
        dq.clear();
        for (auto& w : q) n->diskDone(w.seq, true, now);
        now += 20 * MILLISECOND;
    }
    auto run(Microseconds d) -> void {
        for (auto t = now + d; now < t;) step();
    }
    auto config(const std::string& c) -> int {
        auto id = std::int64_t(1000 + names++);
        n->order(id, "config", fmt::format("k{}", id),
            fmt::format("{{\"base\":{},\"config\":{}}}", n->replicatedState().configVersion(), c), now);
        run(SECOND);
        return outs[id].status;
    }
    struct S {
        std::string name, region = "near", service = "p", zone = "z";
        int slots = 4;
    };
    std::vector<S> listed;  // told again under its lease
    auto list(const std::vector<S>& v, Microseconds wait = SECOND) -> void {
        listed = std::vector<S>(v);
        auto o = std::string();
        for (auto& s : v)
            o += (o.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(s.name)}, {"address", "\"127.0.0.1:9\""},
                    {"region", jsonQuote(s.region)}, {"district", jsonQuote(s.zone)},
                    {"pool", jsonQuote(s.service)}, {"slots", fmt::to_string(s.slots)}});
        for (auto& [s, till] : colds)  // told of those alone whose cold time is known
            if (auto i = o.find(bodyOf({{"name", jsonQuote(s)}}).substr(1, s.size() + 9));
                i != std::string::npos)
                o.insert(i, fmt::format("\"coldUs\":{},", std::max<Microseconds>(0, till - now)));
        n->list(1, fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++rev, o), now);
        run(wait);
    }
    /// A server's cold time, as a listing would tell it.
    auto chill(const std::string& s, Microseconds till) -> void {
        colds[s] = till;
        list(std::vector<S>(listed), 0);
    }
    std::map<std::string, Microseconds> colds;  // until when; told by every listing
    auto ask(const std::string& path, Headers h = {}, const std::string& host = "h.example") -> std::int64_t {
        h.emplace_back("Host", host);
        h.emplace_back("X-Try", fmt::format("t{}", ++names));
        return e->accept("POST", path, h, "body", now);
    }
    auto acks(std::int64_t x, Headers h = {}) -> Headers {
        auto p = e->find(x);
        h.emplace_back("X-Try", p ? p->exid : "");
        return h;
    }
    auto last() -> Sent { return sends.back(); }
    auto go(std::int64_t x) -> bool { return e->maySend(x, last().a, now); }
    auto ok(std::int64_t x, Headers h = {}) -> void {
        auto p = e->find(x);
        auto a = p->a;
        h = acks(x, h);
        if (e->upHead(x, a, 200, h, now)) e->upWhole(x, a, 200, h, "done", now);
    }
    auto event(std::int64_t x, const std::string& id, const std::string& data = "d") -> void {
        e->upEvent(x, e->find(x)->a, {id, "", data, fmt::format("id: {}\ndata: {}\n\n", id, data)}, now);
    }
    /// Ended, and how: the status of a reply, 1 for a whole stream, 2 for a cut one, 0 for neither.
    auto fate(std::int64_t x) -> int {
        return replies.count(x) ? replies[x].status : whole.count(x) ? 1 : cut.count(x) ? 2 : 0;
    }
};

/// The value of a header by its exact name; "-" if there is none.
inline auto get(const Headers& h, const std::string& k) -> std::string {
    for (auto& [n, v] : h)
        if (n == k) return v;
    return "-";
}
/// A configuration of one mapping, with `more` in it and `top` beside it.
inline auto one(const std::string& more, const std::string& top = "") -> std::string {
    return R"({"budget":{"slack":64,"share":0.2})" + top
        + R"(,"mappings":[{"name":"a","host":"h.example","method":"*","path":"/a/*","pool":"p")" + more
        + "}]}";
}

}  // namespace duneturn
