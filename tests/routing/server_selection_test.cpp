// Which server a request goes to: regions, prefix caches, and many edges that know the same.
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fleet.hpp"

namespace duneturn {

// Whatever is listed or ordered between the pick and the send.
TEST(EdgePlatform, fuzzHomes) {
    auto g = RandomSource{9};
    auto sent = 0, held = 0;
    for (auto k = 0; k < 20; k++) {
        auto rig = EdgeFixture();
        auto homes = std::vector<std::vector<std::string>>{{"near"}, {"far"}, {"near", "far"}, {"off"}, {}};
        auto at = std::size_t(0);
        auto give = [&] {
            at = g.below(homes.size());
            auto t = std::string();
            for (auto& h : homes[at]) t += (t.empty() ? "" : ",") + jsonQuote(h);
            CHECK_EQ(
                200, rig.orderConfig(configOf(R"(,"MaxTries":4,"repeatable":true,"homes":[)" + t + "]")));
        };
        auto ls = std::vector<EdgeFixture::ListedServer>();
        auto list = [&] {
            ls.clear();
            for (auto i = 0; i < 5; i++)
                if (g.chance(.8))
                    ls.push_back(
                        {fmt::format("s{}", i), std::string(std::array{"near", "far", "off"}[g.below(3)]),
                            g.chance(.8) ? "p" : "q", "z", 40});
            rig.listServers(ls, 0);
        };
        give();
        list();
        auto open = std::vector<std::int64_t>();
        for (auto i = 0; i < 60; i++) {
            open.push_back(rig.sendRequest("/a/x"));
            if (g.chance(.3)) list();
            if (g.chance(.05)) give();
            for (auto n = rig.sends.size(), j = std::size_t(0); j < rig.sends.size() && j < n + 40; j++) {
                auto s = rig.sends[j];
                auto x = rig.edge->find(s.request);
                if (!x || x->attempts.current != s.attempt || x->attempts.tracker.written()) continue;
                if (g.chance(.4)) {
                    rig.edge->onConnectionRefused(s.request, s.attempt, rig.now);
                } else if (rig.edge->confirmSend(s.request, s.attempt, rig.now)) {
                    sent++;
                    auto l = std::find_if(ls.begin(), ls.end(), [&](auto& v) { return v.name == s.server; });
                    CHECK(l != ls.end());
                    CHECK_EQ(std::string("p"), l->service);
                    auto& h = homes[at];
                    CHECK(h.empty() || std::find(h.begin(), h.end(), l->region) != h.end());
                    if (g.chance(.5)) rig.answer(s.request);
                } else held++;
            }
            rig.runFor(20 * MILLISECOND);
        }
    }
    CHECK(sent > 300 && held > 20);
}

// 32 shared beginnings of 13,300 tokens over eleven engines with memory for 319,818 tokens: all
// edges send one to the same server, no server is named for too many, and each is read once.
TEST(EdgePlatform, cacheHomes) {
    for (auto random : {false, true}) {
        auto g = RandomSource{51};
        auto ls = std::vector<EdgeFixture::ListedServer>();
        for (auto i = 0; i < 11; i++) ls.push_back({fmt::format("i-{}", i), "near", "p", "z", 64});
        auto f = EdgeFleet(12,
            R"({"budget":{"slack":64},"pools":{"p":{"engine":true,"kvTokens":319818,"stride":6}},"mappings":[
             {"name":"a","path":"/a/*","pool":"p","aimUs":1000000,"stream":true},
             {"name":"b","path":"/b/*","pool":"p","aimUs":800000,"stream":true}]})",
            ls);
        auto caches = std::map<std::string, std::map<int, Microseconds>>();
        auto running = std::map<std::string, int>();
        auto reads = 0, longs = 0;
        struct Run {
            Microseconds till;
            std::size_t e;
            std::int64_t x;
            std::string server;
        };
        auto runs = std::deque<Run>();
        for (auto t = 0; t < 3000; t++) {  // a minute
            for (auto i = std::size_t(0); i < f.edges.size(); i++) {
                auto& rig = *f.edges[i];
                rig.edge->broken.selectRandomly = random;
                if (g.chance(8.47 / 50 / 12)) {
                    auto p = int(g.below(32));
                    auto own = rig.requestCount;
                    rig.sendRequest("/a/x",
                        {{"X-Tokens", "17020,120"},
                            {"X-Parts", fmt::format("{:x}:13300,{:x}:3720", p, 1000 + i * 100000 + own)}});
                }
                if (g.chance(224. / 50 / 12))
                    rig.sendRequest("/b/x",
                        {{"X-Tokens", "383,48"},
                            {"X-Parts",
                                fmt::format(
                                    "{:x}:92,{:x}:291", 500 + g.below(20), 99000000 + rig.requestCount)}});
                for (auto& s : f.newSends(i)) {
                    CHECK(rig.edge->confirmSend(s.request, s.attempt, rig.now));
                    auto e = rig.edge->find(s.request);
                    auto p = e->received.promptParts.size() > 1 && e->received.sharedTokens > 1000
                        ? headerOf(e->received.headers, "X-Parts")
                        : std::string();
                    auto& c = caches[s.server];
                    auto load = fmt::format("{},0,64", ++running[s.server]);
                    auto lat = 300 * MILLISECOND;
                    if (!p.empty()) {
                        longs++;
                        auto id = std::stoi(p, nullptr, 16);
                        if (!c.count(id)) {
                            reads++;
                            lat += 200 * MILLISECOND;
                            if (c.size() >= 20)
                                c.erase(std::min_element(c.begin(), c.end(),
                                    [](auto& a, auto& b) { return a.second < b.second; }));
                        }
                        c[id] = rig.now;
                    }
                    rig.edge->onResponseHead(
                        s.request, s.attempt, 200, rig.answerHeaders(s.request, {{"X-Load", load}}), rig.now);
                    rig.sendEvent(s.request, "1");
                    runs.push_back({rig.now + lat, i, s.request, s.server});
                }
            }
            for (auto n = runs.size(); n > 0; n--) {
                auto v = runs.front();
                runs.pop_front();
                if (v.till > f.now()) {
                    runs.push_back(v);
                    continue;
                }
                running[v.server]--;
                auto& rig = *f.edges[v.e];
                rig.edge->onStreamEnd(v.x, rig.edge->find(v.x)->attempts.current, rig.now);
            }
            f.step();
        }
        CHECK(longs > 400);
        if (random) CHECK(reads > 150);
        else {
            CHECK(reads <= 32 + 6);
            auto most = std::size_t(0);
            for (auto& [s, c] : caches) most = std::max(most, c.size());
            CHECK(most <= 10);
        }
    }
}

// Edges that each heard of a server at another time, at three quarters of its places: few arrive
// where all places are taken, and all do not run to a server that is new.
TEST(EdgePlatform, noHerd) {
    struct Case {
        int nodes;
        std::string how;
        double over;
        int fresh;
    };
    auto cs = std::vector<Case>{{12, "", 0, 0}, {12, "random", 0, 0}, {48, "", 0, 0}};
    for (auto& c : cs) {
        auto g = RandomSource{61};
        auto ls = std::vector<EdgeFixture::ListedServer>();
        for (auto i = 0; i < 11; i++) ls.push_back({fmt::format("i-{}", i), "near", "p", "z", 32});
        auto f = EdgeFleet(c.nodes,
            R"({"budget":{"slack":64},"pools":{"p":{"engine":true,"kvTokens":319818}},"mappings":[
             {"name":"b","path":"/b/*","pool":"p","aimUs":800000,"stream":true}]})",
            ls);
        auto running = std::map<std::string, int>();
        struct Run {
            Microseconds till;
            std::size_t e;
            std::int64_t x;
            std::string server;
        };
        auto runs = std::deque<Run>();
        auto all = 0, over = 0, refused = 0;
        for (auto t = 0; t < 450; t++) {
            if (t == 400) {
                ls[0].name = "new";
                for (auto& rig : f.edges) rig->listServers(ls, 0);
            }
            for (auto i = std::size_t(0); i < f.edges.size(); i++) {
                auto& rig = *f.edges[i];
                rig.edge->broken.selectRandomly = c.how == "random";
                for (auto k = 0; k < 2; k++)
                    if (g.chance(11 * 24 / (0.4 * 50) / c.nodes / 2))
                        refused += rig.outcome(rig.sendRequest("/b/x", {{"X-Tokens", "383,48"}})) != 0;
                for (auto& s : f.newSends(i)) {
                    CHECK(rig.edge->confirmSend(s.request, s.attempt, rig.now));
                    auto n = ++running[s.server];
                    if (t > 100 && t < 400) all++, over += n > 32;
                    if (s.server == "new") c.fresh = std::max(c.fresh, n);
                    rig.edge->onResponseHead(s.request, s.attempt, 200,
                        rig.answerHeaders(s.request, {{"X-Load", fmt::format("{},0,32", n)}}), rig.now);
                    runs.push_back({rig.now + 400 * MILLISECOND, i, s.request, s.server});
                }
            }
            while (!runs.empty() && runs.front().till <= f.now()) {
                auto v = runs.front();
                runs.pop_front();
                running[v.server]--;
                f.edges[v.e]->edge->onStreamEnd(
                    v.x, f.edges[v.e]->edge->find(v.x)->attempts.current, f.now());
            }
            f.step();
        }
        c.over = double(over) / all;
        if (c.how.empty()) CHECK_EQ(0, refused);
    }
    CHECK(cs[0].over < 0.01);
    CHECK(cs[1].over > 3 * cs[0].over + 0.02);
    CHECK(cs[0].fresh <= 40);
    CHECK(cs[2].fresh <= 41);
}

// Short prompts go round a server that reads a long one; the near region comes first, until it
// is much fuller than another.
TEST(EdgePlatform, shortPromptsAndRegions) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"aimUs":800000)", R"(,"pools":{"p":{"engine":true,"kvTokens":300000}})")));
    rig.listServers({{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
    auto big = rig.sendRequest("/a/x", {{"X-Tokens", "17000,10"}, {"X-Parts", "a1:13000,b2:4000"}});
    CHECK(rig.sendFirstByte(big));
    auto reading = rig.lastSend().server;
    // The other server holds more, but reads nothing.
    auto o = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
    CHECK(rig.sendFirstByte(o));
    CHECK(rig.lastSend().server != reading);
    rig.answer(o, {{"X-Load", "4,0,10"}});
    for (auto i = 0; i < 5; i++) {
        auto x = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
        CHECK(rig.sendFirstByte(x));
        CHECK(rig.lastSend().server != reading && rig.lastSend().server != "f");
        rig.answer(x);
    }
    // The same beginning again goes where it was read.
    for (auto i = 0; i < 3; i++) {
        auto x = rig.sendRequest(
            "/a/x", {{"X-Tokens", "14000,10"}, {"X-Parts", fmt::format("A1:13000,c{}:1000", i)}});
        CHECK(rig.sendFirstByte(x));
        CHECK_EQ(reading, rig.lastSend().server);
        rig.answer(x);
    }
    auto far = 0, before = 0;
    for (auto i = 0; i < 30; i++) {
        auto x = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
        if (rig.outcome(x) || rig.edge->find(x)->phase() != Phase::Sending) break;
        CHECK(rig.sendFirstByte(x));
        far += rig.lastSend().server == "f";
        before += !far;
    }
    CHECK(far >= 5);
    CHECK(before >= 6 && before < 20);  // before the near ones were full
}

// Exchanges that may only go to the near region claim its servers; long prompts that may go anywhere
// are read in the other, unless that is full or no other exchange is bound.
TEST(EdgePlatform, boundRequestsClaimARegion) {
    auto conf = std::string(
        R"({"pools":{"p":{"engine":true,"kvTokens":300000}},"mappings":[{"name":"a","path":"/a/*","pool":"p","homes":["near"],"aimUs":800000},{"name":"l","path":"/l/*","pool":"p","aimUs":1000000}]})");
    for (auto bound : {false, true}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(conf));
        rig.listServers(
            {{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
        for (auto i = 0; i < 60; i++) {
            auto x = rig.sendRequest(bound ? "/a/x" : "/l/x", {{"X-Tokens", "300,10"}});
            CHECK(rig.sendFirstByte(x));
            CHECK(!bound || rig.lastSend().server != "f");
            rig.answer(x);
        }
        auto far = 0;
        for (auto i = 0; i < 4; i++) {
            auto x = rig.sendRequest(
                "/l/x", {{"X-Tokens", "17000,10"}, {"X-Parts", fmt::format("a{}:13000,b{}:4000", i, i)}});
            CHECK(rig.sendFirstByte(x));
            far += rig.lastSend().server == "f";
            rig.answer(x);
        }
        CHECK_EQ(bound ? 4 : 0, far);
    }
}

}  // namespace duneturn
