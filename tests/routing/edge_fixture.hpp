#pragma once
// A fixture with one edge in a deployment whose clients name their requests, whose servers report their load
// in headers, and whose streams end with their HTTP message.
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

/// The header names and conventions of a deployment whose clients name their requests.
inline auto testDialect() -> Dialect {
    auto dialect = Dialect();
    dialect.request = "X-Try";
    dialect.notExecuted = "X-Not-Run";
    dialect.weights = "";
    dialect.target = "X-For";
    dialect.deadlineMs = "X-Left";
    dialect.urgency = "X-Urgency";
    dialect.load = "X-Load";
    dialect.serverId = "X-Server";
    dialect.coldMs = "X-Cold";
    dialect.parts = "X-Parts";
    dialect.tokens = "X-Tokens";
    dialect.model = "X-Model";
    dialect.clientNamesRequests = true;
    dialect.passThroughHeaders = true;
    dialect.streamEndsWithDoneEvent = false;
    return dialect;
}

/// An attempt that the edge started.
struct StartedAttempt {
    std::int64_t request;
    int attempt;
    std::string server;
};
/// A complete answer to a client.
struct Reply {
    int status;
    Headers headers;
    std::string body;
};

/// A node that is the only voter, with its edge, in virtual time. Of the other nodes it knows only the
/// records in their heartbeats.
struct EdgeFixture : NodePort, EdgePort {
    Settings settings;
    Counters counters;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::deque<DiskWrite> diskWrites;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, Outcome> outcomes;  // of operator orders
    std::vector<StartedAttempt> sends;
    std::vector<std::pair<std::int64_t, int>> cancelled;
    std::map<std::int64_t, Reply> replies;
    std::map<std::int64_t, std::pair<int, Headers>> heads;
    std::map<std::int64_t, std::string> parts;  // the stream's bytes that were sent to the client
    std::set<std::int64_t> cut, whole;          // requests whose streams were interrupted or completed
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
    auto disk(const DiskWrite& write) -> void override { diskWrites.push_back(write); }
    auto done(std::int64_t id, const Outcome& outcome) -> void override { outcomes[id] = outcome; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string&, const std::string&) -> void override {}
    auto startAttempt(std::int64_t request, int attempt, const std::string& server, const std::string&)
        -> void override {
        sends.push_back({request, attempt, server});
    }
    auto cancelAttempt(std::int64_t request, int attempt) -> void override {
        cancelled.emplace_back(request, attempt);
    }
    auto sendHead(std::int64_t request, int status, const Headers& headers) -> void override {
        heads[request] = {status, headers};
    }
    auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void override {
        parts[request] += bytes;
    }
    auto endStream(std::int64_t request, bool isComplete) -> void override {
        CHECK(!cut.count(request) && !whole.count(request));
        (isComplete ? whole : cut).insert(request);
    }
    auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void override {
        CHECK(!replies.count(request));
        replies[request] = {status, headers, body};
    }

    /// A heartbeat with the records of all other nodes.
    auto receiveHeartbeat() -> void {
        auto envelope = wire::Envelope();
        envelope.wire = WIRE;
        envelope.node = "n1";
        auto message = wire::Heartbeat();
        heartbeat++;
        for (auto i = 0; i <= others; i++) {
            auto record = wire::NodeRecord();
            record.node = fmt::format("n{}", i);
            if (record.node == settings.node) continue;
            record.boot = 5;
            record.heartbeat = heartbeat;
            record.peer = fmt::format("127.0.0.2:{}", 100 + i);
            message.records.push_back(record);
        }
        envelope.__set_heartbeat(message);
        if (settings.node == "n1") envelope.node = "n0";
        node->handle(envelope, now);
    }
    /// Lets 20 ms pass.
    auto step() -> void {
        if (others && now % (200 * MILLISECOND) == 0) receiveHeartbeat();
        if (!listed.empty() && now % (5 * SECOND) == 0) listServers(listed, 0);
        node->tick(now, 1800000000 * SECOND + now);
        edge->tick(now);
        auto writes = std::move(diskWrites);
        diskWrites.clear();
        for (auto& write : writes) node->onDiskWriteDone(write.seq, true, now);
        now += 20 * MILLISECOND;
    }
    auto runFor(Microseconds duration) -> void {
        for (auto end = now + duration; now < end;) step();
    }
    /// Orders a new configuration, and returns the status of the order.
    auto orderConfig(const std::string& configuration) -> int {
        auto id = std::int64_t(1000 + requestCount++);
        auto body = fmt::format(
            "{{\"base\":{},\"config\":{}}}", node->replicatedState().configVersion(), configuration);
        node->order(id, "config", fmt::format("k{}", id), body, now);
        runFor(SECOND);
        return outcomes[id].status;
    }
    struct ListedServer {
        std::string name, region = "near", service = "p", zone = "z";
        int slots = 4;
    };
    std::vector<ListedServer> listed;  // listed again every 5 s, before its lease expires
    auto listServers(const std::vector<ListedServer>& servers, Microseconds wait = SECOND) -> void {
        listed = std::vector<ListedServer>(servers);
        auto list = std::string();
        for (auto& server : servers)
            list += (list.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(server.name)}, {"address", "\"127.0.0.1:9\""},
                    {"region", jsonQuote(server.region)}, {"district", jsonQuote(server.zone)},
                    {"pool", jsonQuote(server.service)}, {"slots", fmt::to_string(server.slots)}});
        // Only the servers with a known cold time get a "coldUs" member.
        for (auto& [name, until] : slowStartUntil) {
            auto nameMember = bodyOf({{"name", jsonQuote(name)}}).substr(1, name.size() + 9);
            if (auto position = list.find(nameMember); position != std::string::npos)
                list.insert(position, fmt::format("\"coldUs\":{},", std::max<Microseconds>(0, until - now)));
        }
        node->list(1, fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++revision, list), now);
        runFor(wait);
    }
    /// Sets the end of a server's cold time, which all listings state from now on.
    auto setColdUntil(const std::string& server, Microseconds until) -> void {
        slowStartUntil[server] = until;
        listServers(std::vector<ListedServer>(listed), 0);
    }
    std::map<std::string, Microseconds> slowStartUntil;  // by server; stated by every listing
    auto sendRequest(const std::string& path, Headers headers = {}, const std::string& host = "h.example")
        -> std::int64_t {
        headers.emplace_back("Host", host);
        headers.emplace_back("X-Try", fmt::format("t{}", ++requestCount));
        return edge->accept("POST", path, headers, "body", now);
    }
    /// The headers of an answer to a request; they repeat its name.
    auto answerHeaders(std::int64_t id, Headers headers = {}) -> Headers {
        auto request = edge->find(id);
        headers.emplace_back("X-Try", request ? request->received.name : "");
        return headers;
    }
    auto lastSend() -> StartedAttempt { return sends.back(); }
    /// Sends the first byte of the newest attempt, if the edge confirms it.
    auto sendFirstByte(std::int64_t id) -> bool { return edge->confirmSend(id, lastSend().attempt, now); }
    /// A complete answer with status 200 to the current attempt.
    auto answer(std::int64_t id, Headers headers = {}) -> void {
        auto attempt = edge->find(id)->attempts.current;
        headers = answerHeaders(id, headers);
        if (edge->onResponseHead(id, attempt, 200, headers, now))
            edge->onResponse(id, attempt, 200, headers, "done", now);
    }
    auto sendEvent(std::int64_t id, const std::string& eventId, const std::string& data = "d") -> void {
        edge->onStreamEvent(id, edge->find(id)->attempts.current,
            {eventId, "", data, fmt::format("id: {}\ndata: {}\n\n", eventId, data)}, now);
    }
    /// How a request ended: the status of its reply, 1 for a complete stream, 2 for an interrupted one; 0 if
    /// it has not ended.
    auto outcome(std::int64_t id) -> int {
        if (replies.count(id)) return replies[id].status;
        return whole.count(id) ? 1 : cut.count(id) ? 2 : 0;
    }
};

/// The value of the header with exactly this name; "-" if there is none.
inline auto headerOf(const Headers& headers, const std::string& name) -> std::string {
    for (auto& [key, value] : headers)
        if (key == name) return value;
    return "-";
}
/// A configuration with one route. `routeMembers`: further members of the route; `topMembers`: further
/// members of the configuration. Each begins with a comma, unless it is empty.
inline auto configOf(const std::string& routeMembers, const std::string& topMembers = "") -> std::string {
    return R"({"budget":{"slack":64,"share":0.2})" + topMembers
        + R"(,"mappings":[{"name":"a","host":"h.example","method":"*","path":"/a/*","pool":"p")"
        + routeMembers + "}]}";
}

}  // namespace duneturn
