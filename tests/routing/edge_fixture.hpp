#pragma once
// An edge behind another wire: clients name their requests, servers tell their load, streams
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

/// The names of a wire on which clients name their requests.
inline auto testDialect() -> Dialect {
    auto d = Dialect();
    d.request = "X-Try", d.notExecuted = "X-Not-Run", d.weights = "", d.target = "X-For";
    d.deadlineMs = "X-Left", d.urgency = "X-Urgency", d.load = "X-Load", d.serverId = "X-Server";
    d.coldMs = "X-Cold", d.parts = "X-Parts", d.tokens = "X-Tokens", d.model = "X-Model";
    d.clientNamesRequests = d.passThroughHeaders = true;
    d.streamEndsWithDoneEvent = false;
    return d;
}

/// An attempt that the edge began.
struct StartedAttempt {
    std::int64_t request;
    int attempt;
    std::string server;
};
/// A whole answer to a client.
struct Reply {
    int status;
    Headers headers;
    std::string body;
};

/// A node that is a fleet of its own, with its edge, in virtual time; the other nodes are records only.
struct EdgeFixture : NodePort, EdgePort {
    Settings settings;
    Counters counters;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::deque<DiskWrite> diskWrites;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, Outcome> outcomes;
    std::vector<StartedAttempt> sends;
    std::vector<std::pair<std::int64_t, int>> cancelled;
    std::map<std::int64_t, Reply> replies;
    std::map<std::int64_t, std::pair<int, Headers>> heads;
    std::map<std::int64_t, std::string> parts;
    std::set<std::int64_t> cut, whole;
    std::int64_t revision = 0, requestCount = 0, heartbeat = 0;
    std::string region = "near";
    int others = 0;

    explicit EdgeFixture(const std::string& name = "a", int otherNodes = 0, std::uint64_t seed = 2)
        : others(otherNodes) {
        muteLog(true);
        settings.node = name, settings.zone = "d", settings.region = region, settings.peer = "127.0.0.1:1";
        settings.roster = settings.initialVoters = {name};
        node = std::make_unique<Node>(settings, *this, counters, 7, seed);
        edge = std::make_unique<Edge>(*node, *this, counters, seed, testDialect());
        node->startCore({}, "disk", now);
        runFor(8 * SECOND);
    }
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite& w) -> void override { diskWrites.push_back(w); }
    auto done(std::int64_t id, const Outcome& o) -> void override { outcomes[id] = o; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string&, const std::string&) -> void override {}
    auto startAttempt(std::int64_t x, int a, const std::string& s, const std::string&) -> void override {
        sends.push_back({x, a, s});
    }
    auto cancelAttempt(std::int64_t x, int a) -> void override { cancelled.emplace_back(x, a); }
    auto sendHead(std::int64_t x, int s, const Headers& h) -> void override { heads[x] = {s, h}; }
    auto sendStreamBytes(std::int64_t x, const std::string& s) -> void override { parts[x] += s; }
    auto endStream(std::int64_t x, bool w) -> void override {
        CHECK(!cut.count(x) && !whole.count(x));
        (w ? whole : cut).insert(x);
    }
    auto sendReply(std::int64_t x, int s, const Headers& h, const std::string& b) -> void override {
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
                if (w.node == settings.node) continue;
                w.boot = 5, w.heartbeat = heartbeat, w.peer = fmt::format("127.0.0.2:{}", 100 + i);
                b.records.push_back(w);
            }
            v.__set_heartbeat(b);
            if (settings.node == "n1") v.node = "n0";
            node->handle(v, now);
        }
        if (!listed.empty() && now % (5 * SECOND) == 0) listServers(listed, 0);
        node->tick(now, 1800000000 * SECOND + now);
        edge->tick(now);
        auto q = std::move(diskWrites);
        diskWrites.clear();
        for (auto& w : q) node->onDiskWriteDone(w.seq, true, now);
        now += 20 * MILLISECOND;
    }
    auto runFor(Microseconds d) -> void {
        for (auto t = now + d; now < t;) step();
    }
    auto orderConfig(const std::string& c) -> int {
        auto id = std::int64_t(1000 + requestCount++);
        node->order(id, "config", fmt::format("k{}", id),
            fmt::format("{{\"base\":{},\"config\":{}}}", node->replicatedState().configVersion(), c), now);
        runFor(SECOND);
        return outcomes[id].status;
    }
    struct ListedServer {
        std::string name, region = "near", service = "p", zone = "z";
        int slots = 4;
    };
    std::vector<ListedServer> listed;  // sent again before its lease ends
    auto listServers(const std::vector<ListedServer>& v, Microseconds wait = SECOND) -> void {
        listed = std::vector<ListedServer>(v);
        auto o = std::string();
        for (auto& s : v)
            o += (o.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(s.name)}, {"address", "\"127.0.0.1:9\""},
                    {"region", jsonQuote(s.region)}, {"district", jsonQuote(s.zone)},
                    {"pool", jsonQuote(s.service)}, {"slots", fmt::to_string(s.slots)}});
        for (auto& [s, till] : slowStartUntil)  // named for those alone whose cold time is known
            if (auto i = o.find(bodyOf({{"name", jsonQuote(s)}}).substr(1, s.size() + 9));
                i != std::string::npos)
                o.insert(i, fmt::format("\"coldUs\":{},", std::max<Microseconds>(0, till - now)));
        node->list(1, fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++revision, o), now);
        runFor(wait);
    }
    /// A server's cold time, as a listing would name it.
    auto setColdUntil(const std::string& s, Microseconds till) -> void {
        slowStartUntil[s] = till;
        listServers(std::vector<ListedServer>(listed), 0);
    }
    std::map<std::string, Microseconds> slowStartUntil;  // named by every listing
    auto sendRequest(const std::string& path, Headers h = {}, const std::string& host = "h.example")
        -> std::int64_t {
        h.emplace_back("Host", host);
        h.emplace_back("X-Try", fmt::format("t{}", ++requestCount));
        return edge->accept("POST", path, h, "body", now);
    }
    auto answerHeaders(std::int64_t x, Headers h = {}) -> Headers {
        auto p = edge->find(x);
        h.emplace_back("X-Try", p ? p->received.name : "");
        return h;
    }
    auto lastSend() -> StartedAttempt { return sends.back(); }
    auto sendFirstByte(std::int64_t x) -> bool { return edge->confirmSend(x, lastSend().attempt, now); }
    auto answer(std::int64_t x, Headers h = {}) -> void {
        auto p = edge->find(x);
        auto a = p->attempts.current;
        h = answerHeaders(x, h);
        if (edge->onResponseHead(x, a, 200, h, now)) edge->onResponse(x, a, 200, h, "done", now);
    }
    auto sendEvent(std::int64_t x, const std::string& id, const std::string& data = "d") -> void {
        edge->onStreamEvent(x, edge->find(x)->attempts.current,
            {id, "", data, fmt::format("id: {}\ndata: {}\n\n", id, data)}, now);
    }
    /// Ended, and how: the status of a reply, 1 for a whole stream, 2 for a cut one, 0 for neither.
    auto outcome(std::int64_t x) -> int {
        return replies.count(x) ? replies[x].status : whole.count(x) ? 1 : cut.count(x) ? 2 : 0;
    }
};

/// The value of a header by its exact name; "-" if there is none.
inline auto headerOf(const Headers& headers, const std::string& name) -> std::string {
    for (auto& [key, value] : headers)
        if (key == name) return value;
    return "-";
}
/// A configuration of one route, with `more` in it and `top` beside it.
inline auto configOf(const std::string& more, const std::string& top = "") -> std::string {
    return R"({"budget":{"slack":64,"share":0.2})" + top
        + R"(,"mappings":[{"name":"a","host":"h.example","method":"*","path":"/a/*","pool":"p")" + more
        + "}]}";
}

}  // namespace duneturn
