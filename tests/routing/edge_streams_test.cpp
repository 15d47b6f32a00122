// Event streams: their order, their migration, and servers that fall silent.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

TEST(EdgePlatform, streams) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(configOf(R"(,"stream":true,"Resumable":true,"MaxTries":3},
      {"name":"n","host":"h.example","method":"*","path":"/n/*","pool":"p","stream":true,"MaxTries":3},
      {"name":"p","host":"h.example","method":"*","path":"/p/*","pool":"p","repeatable":true,"MaxTries":3)",
            R"(,"models":{"m":{"migrationLimit":2,"maxSequence":40}},"pools":{"p":{"stride":6}})")));
    rig.listServers({{"x"}, {"y"}});
    auto m = Headers{{"X-Model", "m"}, {"X-Tokens", "10,20"}};
    // Ids rise, by whatever; the end of the message is the end.
    auto x = rig.sendRequest("/a/1", m);
    CHECK(rig.sendFirstByte(x));
    CHECK(rig.edge->onResponseHead(x, 1, 200, rig.answerHeaders(x, {{"X-Seal", "1"}}), rig.now));
    for (auto i : {"3", "5", "6"}) rig.sendEvent(x, i);
    auto first = rig.lastSend().server;
    rig.edge->onConnectionLost(x, 1, "reset", rig.now);
    CHECK(rig.lastSend().server != first);
    CHECK(rig.sendFirstByte(x));
    CHECK_EQ(
        std::string("6"), headerOf(rig.edge->requestHeaders(*rig.edge->find(x), rig.now), "Last-Event-Id"));
    CHECK(rig.edge->onResponseHead(
        x, rig.lastSend().attempt, 200, rig.answerHeaders(x, {{"X-Seal", "2"}}), rig.now));
    rig.sendEvent(x, "9");
    rig.edge->onStreamEnd(x, rig.lastSend().attempt, rig.now);
    CHECK_EQ(1, rig.outcome(x));
    CHECK_EQ(std::string("1"), headerOf(rig.heads[x].second, "X-Seal"));
    CHECK_EQ(std::string("id: 3\ndata: d\n\nid: 5\ndata: d\n\nid: 6\ndata: d\n\nid: 9\ndata: d\n\n"),
        rig.parts[x]);
    // An id that does not rise, and garbage, cut it.
    for (auto bad : {"5", "4", "x", ""}) {
        auto y = rig.sendRequest("/a/1", m);
        CHECK(rig.sendFirstByte(y));
        CHECK(rig.edge->onResponseHead(y, 1, 200, rig.answerHeaders(y), rig.now));
        rig.sendEvent(y, "5");
        rig.sendEvent(y, bad, "");
        CHECK_EQ(2, rig.outcome(y));
        CHECK_EQ(std::string("id: 5\ndata: d\n\n"), rig.parts[y]);
    }
    // Not past the maximum sequence, not without a limit of its model, not what cannot be resumed.
    auto lost = [&](const std::string& p, const Headers& h, int events) {
        auto y = rig.sendRequest(p, h);
        CHECK(rig.sendFirstByte(y));
        CHECK(rig.edge->onResponseHead(y, 1, 200, rig.answerHeaders(y), rig.now));
        for (auto i = 1; i <= events; i++) rig.sendEvent(y, fmt::to_string(i));
        auto k = rig.sends.size();
        rig.edge->onConnectionLost(y, 1, "reset", rig.now);
        CHECK_EQ(rig.sends.size() > k ? 0 : events ? 2 : 502, rig.outcome(y));
        rig.edge->clientClosed(y, rig.now);
        return rig.sends.size() > k;
    };
    CHECK(lost("/a/1", m, 5));
    CHECK(lost("/a/1", m, 0));
    CHECK(!lost("/a/1", m, 6));
    CHECK(!lost("/a/1", {{"X-Model", "other"}}, 2));
    CHECK(!lost("/n/1", m, 2));
    CHECK(!lost("/n/1", m, 0));
    // What may be repeated is not joined: its events are no stream that can be resumed.
    auto p = rig.sendRequest("/p/1");
    CHECK(rig.sendFirstByte(p));
    CHECK(rig.edge->onResponseHead(p, 1, 200, rig.answerHeaders(p), rig.now));
    rig.sendEvent(p, "1");
    rig.edge->onConnectionLost(p, 1, "reset", rig.now);
    CHECK_EQ(2, rig.outcome(p));
    // A sender's own resumption is a first send and passes on what it says.
    auto ct = rig.counters.get("extra_sends_total");
    auto z = rig.sendRequest("/a/1", {{"X-Model", "m"}, {"Last-Event-Id", "7"}});
    CHECK(rig.sendFirstByte(z));
    CHECK_EQ(
        std::string("7"), headerOf(rig.edge->requestHeaders(*rig.edge->find(z), rig.now), "Last-Event-Id"));
    CHECK_EQ(ct, rig.counters.get("extra_sends_total"));
    CHECK(rig.edge->onResponseHead(z, 1, 200, rig.answerHeaders(z), rig.now));
    auto k = rig.sends.size();
    rig.sendEvent(z, "7");  // it began anew; another server may do better
    CHECK_EQ(k + 1, rig.sends.size());
    auto v = rig.sendRequest("/n/1", {{"Last-Event-Id", "q 7"}});
    CHECK(rig.sendFirstByte(v));
    CHECK_EQ(
        std::string("q 7"), headerOf(rig.edge->requestHeaders(*rig.edge->find(v), rig.now), "Last-Event-Id"));
}

// A stream that was moved is what one run would have been, to the byte.
TEST(EdgePlatform, fuzzJoined) {
    auto g = RandomSource{77};
    auto moved = 0, whole = 0;
    for (auto k = 0; k < 10; k++) {
        auto rig = EdgeFixture();
        CHECK_EQ(200,
            rig.orderConfig(configOf(R"(,"stream":true,"Resumable":true,"MaxTries":64)",
                R"(,"models":{"m":{"migrationLimit":16}})")));
        rig.listServers(
            {{"x", "near", "p", "z", 50}, {"y", "near", "p", "z", 50}, {"w", "near", "p", "z", 50}});
        rig.runFor(3 * SECOND);
        for (auto i = 0; i < 30; i++) {
            auto ids = std::vector<std::int64_t>();
            for (auto j = 0, at = 0; j < 12; j++) ids.push_back(at += 1 + int(g.below(4)));
            auto from = g.chance(.3) ? g.below(12) : 0;
            auto h = Headers{{"X-Model", "m"}};
            if (from) h.emplace_back("Last-Event-Id", fmt::to_string(ids[from - 1]));
            auto x = rig.sendRequest("/a/x", h);
            auto want = std::string();
            for (auto j = from; j < 12; j++) want += fmt::format("id: {}\ndata: d\n\n", ids[j]);
            while (!rig.outcome(x) && rig.edge->find(x)->phase() == Phase::Sending) {
                auto a = rig.edge->find(x)->attempts.current;
                CHECK(rig.edge->confirmSend(x, a, rig.now));
                auto l = headerOf(rig.edge->requestHeaders(*rig.edge->find(x), rig.now), "Last-Event-Id");
                auto j = l == "-"
                    ? std::size_t(0)
                    : std::size_t(std::find(ids.begin(), ids.end(), std::stoll(l)) - ids.begin()) + 1;
                CHECK(j <= 12);
                if (!rig.edge->onResponseHead(x, a, 200, rig.answerHeaders(x), rig.now)) continue;
                auto lost = false;
                for (; j < 12 && !lost; j++) {
                    rig.sendEvent(x, fmt::to_string(ids[j]));
                    lost = g.chance(.1);
                }
                if (lost) rig.edge->onConnectionLost(x, a, "reset", rig.now), moved++;
                else rig.edge->onStreamEnd(x, a, rig.now);
            }
            if (rig.outcome(x) == 1) {
                whole++;
                CHECK_EQ(want, rig.parts[x]);
            } else CHECK(want.starts_with(rig.parts[x]));
            rig.runFor(100 * MILLISECOND);
        }
    }
    CHECK(moved > 50);
    CHECK(whole > 150);
}

TEST(EdgePlatform, silenceEndsNothing) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"stream":true,"Resumable":true,"MaxTries":3,"idleUs":500000,"deadlineUs":6000000},
      {"name":"e","path":"/e","pool":"p","MaxTries":3,"idleUs":500000,"deadlineUs":6000000)",
                R"(,"models":{"m":{"migrationLimit":2}})")));
    rig.listServers({{"x"}});
    rig.runFor(2 * SECOND);
    auto e = rig.sendRequest("/e");
    CHECK(rig.sendFirstByte(e));
    auto x = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(x));
    rig.runFor(2 * SECOND);
    auto n = rig.sends.size();
    CHECK_EQ(std::size_t(2), n);  // no other server: it waits on
    CHECK_EQ(0, rig.outcome(x));
    rig.listServers({{"x"}, {"y"}}, 500 * MILLISECOND);
    CHECK_EQ(n + 1, rig.sends.size());
    CHECK_EQ(x, rig.lastSend().request);
    CHECK_EQ(std::string("y"), rig.lastSend().server);
    CHECK(rig.sendFirstByte(x));
    rig.answer(x);
    rig.runFor(3200 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(e));
    rig.runFor(600 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(e));
}

// Where the configuration says nothing of silence: while it may still come in time. What has not
// left yet goes elsewhere in any case, for nothing can have run.
TEST(EdgePlatform, darkServers) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"stream":true,"Resumable":true,"MaxTries":2,"aimUs":1000000,"gapUs":400000},
      {"name":"e","path":"/e","pool":"p","MaxTries":1,"aimUs":1000000)",
                R"(,"models":{"m":{"migrationLimit":1}})")));
    rig.listServers({{"x"}, {"y"}});
    rig.runFor(2 * SECOND);
    auto e = rig.sendRequest("/e");
    auto was = rig.lastSend();
    rig.runFor(380 * MILLISECOND);
    CHECK_EQ(was.attempt, rig.lastSend().attempt);
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(e, rig.lastSend().request);
    CHECK(rig.lastSend().server != was.server);
    CHECK(!rig.edge->confirmSend(e, was.attempt, rig.now));
    CHECK(rig.sendFirstByte(e));
    CHECK_EQ(std::int64_t(0), rig.counters.get("extra_sends_total"));
    auto n = rig.sends.size();
    rig.runFor(3 * SECOND);
    CHECK_EQ(n, rig.sends.size());  // now it may run
    CHECK_EQ(0, rig.outcome(e));
    rig.answer(e);
    rig.runFor(5 * SECOND);
    auto x = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(x));
    rig.runFor(760 * MILLISECOND);
    CHECK_EQ(n + 2, rig.sends.size());
    CHECK(rig.sendFirstByte(x));
    auto y = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(y));
    CHECK(rig.edge->onResponseHead(y, rig.lastSend().attempt, 200, rig.answerHeaders(y), rig.now));
    rig.sendEvent(y, "1");
    rig.runFor(220 * MILLISECOND);
    CHECK_EQ(n + 3, rig.sends.size());
    rig.runFor(100 * MILLISECOND);
    CHECK_EQ(n + 4, rig.sends.size());
    CHECK_EQ(y, rig.lastSend().request);
}

}  // namespace duneturn
