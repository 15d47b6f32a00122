// What is sent again and what is not, and what further attempts are paid from.
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fleet.hpp"

namespace duneturn {

// Nothing that may not be repeated runs twice, and no promise is broken, whatever is lost when.
TEST(EdgePlatform, fuzzRuns) {
    auto g = RandomSource{31};
    auto again = 0, promises = 0, wholes = 0, cuts = 0;
    auto broke = 0;
    for (auto k = 0; k < 40; k++) {
        auto rig = EdgeFixture();
        rig.edge->broken.retryNonRepeatable = k == 39;
        auto conf = [&](int v) {
            return fmt::format(
                R"({{"budget":{{"slack":500,"share":0.2}},"models":{{"m":{{"migrationLimit":3}}}},"mappings":[
              {{"name":"e","path":"/e","pool":"p","MaxTries":{0}}},
              {{"name":"s","path":"/s","pool":"p","MaxTries":{0},"repeatable":true}},
              {{"name":"n","path":"/n","pool":"p","MaxTries":{0},"stream":true}},
              {{"name":"r","path":"/r","pool":"p","MaxTries":{0},"stream":true,"Resumable":true,"idleUs":300000}}]}})",
                v);
        };
        CHECK_EQ(200, rig.orderConfig(conf(3)));
        auto ls = std::vector<EdgeFixture::ListedServer>{{"a", "near", "p", "z", 9},
            {"b", "near", "p", "z", 9}, {"c", "near", "p", "z", 9}, {"d", "far", "p", "z", 9}};
        rig.listServers(ls);
        struct X {
            std::string path;
            int runs = 0, sends = 0, most = 3;
            std::int64_t given = -1;
            bool over = false;
        };
        auto xs = std::map<std::int64_t, X>();
        for (auto i = 0; i < 150; i++) {
            auto p = std::string(std::array{"/e", "/s", "/n", "/r"}[g.below(4)]);
            auto id = rig.sendRequest(p, p == "/r" || p == "/n" ? Headers{{"X-Model", "m"}} : Headers{});
            xs[id].path = p;
            for (auto& [x, v] : xs) {
                auto e = rig.edge->find(x);
                if (!e || rig.outcome(x) || e->phase() == Phase::Queued || g.chance(.4)) continue;
                auto a = e->attempts.current;
                if (!e->attempts.tracker.written()) {
                    if (g.chance(.2)) rig.edge->onConnectionRefused(x, a, rig.now);
                    else if (g.chance(.1)) rig.edge->onConnectionLost(x, a, "broke", rig.now);
                    else if (rig.edge->confirmSend(x, a, rig.now)) {
                        v.runs++, v.sends++;
                        if (v.sends > v.most && k != 39) CHECK(false);
                        if (v.path == "/r") {
                            auto l = headerOf(
                                rig.edge->requestHeaders(*rig.edge->find(x), rig.now), "Last-Event-Id");
                            CHECK_EQ(v.given < 0 ? std::string("-") : fmt::to_string(v.given), l);
                        }
                    }
                    continue;
                }
                auto deny = [&](int s) {
                    v.runs--;
                    rig.edge->onResponse(x, a, s,
                        s == 421 && g.chance(.5) ? Headers{} : rig.answerHeaders(x, {{"X-Not-Run", "1"}}), "",
                        rig.now);
                };
                auto h = rig.answerHeaders(x, {{"X-Load", fmt::format("{},{},9", g.below(9), g.below(3))}});
                switch (g.below(v.path == "/e" || v.path == "/s" ? 8 : 13)) {
                case 0: rig.edge->onConnectionLost(x, a, "reset", rig.now); break;
                case 1: deny(e->relayed.headSent ? 421 : 503); break;
                case 2: deny(421); break;
                case 3: rig.edge->onResponseHead(x, a, 200, {{"X-Try", "not this"}}, rig.now); break;
                case 4: rig.edge->onResponseHead(x, a, 200, {}, rig.now); break;
                case 5: rig.edge->onResponse(x, a, int(500 + 4 * g.below(2)), h, "", rig.now); break;
                case 6:
                    rig.edge->onResponse(x, a, std::array{503, 429, 408}[g.below(3)], h, "", rig.now);
                    break;
                case 7:
                    if (v.path == "/e" || v.path == "/s") rig.answer(x);
                    else rig.edge->onResponseHead(x, a, 200, h, rig.now);
                    break;
                case 8: rig.edge->onStreamEnd(x, a, rig.now); break;
                case 9:
                    if (v.given >= 0) rig.sendEvent(x, g.chance(.5) ? "0" : "?");
                    break;
                default:
                    if (!rig.edge->onResponseHead(x, a, 200, h, rig.now)) break;
                    v.given = std::max<std::int64_t>(0, v.given) + 1 + std::int64_t(g.below(3));
                    rig.sendEvent(x, fmt::to_string(v.given));
                }
            }
            for (auto& [x, v] : xs) {
                auto f = rig.outcome(x);
                if (k == 39) {
                    broke += (v.path == "/e" || v.path == "/n") && v.runs > 1;
                    continue;
                }
                if (v.path == "/e" || v.path == "/n") {
                    CHECK(v.runs <= 1);
                    if (f == 503 || f == 429 || f == 408 || f == 421) CHECK_EQ(0, v.runs);
                    if (f == 503 && rig.replies[x].headers.size() > 1)
                        CHECK(headerOf(rig.replies[x].headers, "X-Not-Run") != "-");
                } else again += v.runs > 1 && !v.over;
                if (!f || v.over) continue;
                v.over = true;
                promises += f == 503;
                wholes += f == 1 || f == 200;
                cuts += f == 2;
                CHECK(!rig.edge->find(x) || rig.edge->find(x)->phase() == Phase::Finished);
                auto e = rig.edge->find(x);
                CHECK(!rig.edge->confirmSend(x, e ? e->attempts.current : 1, rig.now));  // nothing runs later
            }
            if (g.chance(.05)) rig.orderConfig(conf(3));
            if (g.chance(.1)) rig.listServers(ls, 0);
            rig.runFor(20 * MILLISECOND * Microseconds(1 + g.below(8)));
        }
        rig.runFor(40 * SECOND);
        CHECK_EQ(std::size_t(0), rig.edge->activeRequests());
        CHECK_EQ(0, rig.edge->inflightCount());
        CHECK_EQ(std::size_t(0), rig.edge->queuedCount());
        CHECK_EQ(std::int64_t(0), rig.counters.get("illegal_transitions_total"));
    }
    CHECK(again > 100 && promises > 100 && wholes > 100 && cuts > 50);
    CHECK(broke > 0);
}

TEST(EdgePlatform, refusedConnections) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":1)")));
    rig.listServers({{"x"}, {"y"}, {"z"}, {"w"}, {"v"}, {"u"}});
    auto x = rig.sendRequest("/a/x");
    for (auto i = 0; i < 3; i++) {
        rig.edge->onConnectionRefused(x, rig.lastSend().attempt, rig.now);
        CHECK_EQ(std::size_t(2 + i), rig.sends.size());
    }
    CHECK_EQ(std::int64_t(0), rig.counters.get("extra_sends_total"));
    rig.edge->onConnectionRefused(x, rig.lastSend().attempt, rig.now);
    CHECK_EQ(503, rig.outcome(x));
    CHECK_EQ(std::string("true"), headerOf(rig.replies[x].headers, "X-Not-Run"));
    // Those four are left alone for a while, and then asked one at a time.
    auto bad = std::set<std::string>();
    for (auto& s : rig.sends) bad.insert(s.server);
    for (auto i = 0; i < 6; i++) {
        rig.sendRequest("/a/x");
        CHECK(!bad.count(rig.lastSend().server));
    }
}

// What was sent as not repeatable stays so, whatever a newer configuration says of its path.
TEST(EdgePlatform, sentOnceStaysOnce) {
    auto repeatable = std::string(R"(,"MaxTries":3,"repeatable":true)");
    for (auto first : {std::string(R"(,"MaxTries":3)"), repeatable}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(configOf(first)));
        rig.listServers({{"x"}, {"y"}});
        auto x = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(x));
        CHECK_EQ(200, rig.orderConfig(configOf(repeatable)));
        auto sends = rig.sends.size();
        rig.edge->onConnectionLost(x, rig.lastSend().attempt, "reset", rig.now);
        CHECK_EQ(first == repeatable, rig.sends.size() > sends);
        CHECK_EQ(first == repeatable ? 0 : 502, rig.outcome(x));
    }
}

// Extra arrivals over all edges, in any ten seconds, against what was asked for there.
TEST(EdgePlatform, fuzzBudget) {
    for (auto broken : {false, true}) {
        auto g = RandomSource{43};
        auto f = EdgeFleet(12,
            R"({"budget":{"slack":64,"share":0.2},"mappings":[
             {"name":"a","path":"/a/*","pool":"p","MaxTries":6,"repeatable":true},
             {"name":"b","path":"/b/*","pool":"q","MaxTries":6,"repeatable":true}]})",
            {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}, {"d", "near", "p", "z", 60},
                {"e", "near", "q", "z", 60}, {"f", "near", "q", "z", 60}});
        auto first = std::map<std::string, std::vector<Microseconds>>(), extra = first;
        for (auto t = 0; t < 1500; t++) {
            for (auto i = std::size_t(0); i < f.edges.size(); i++) {
                auto& rig = *f.edges[i];
                rig.edge->broken.ignoreRetryBudget = broken;
                if (g.chance(.4)) rig.sendRequest("/a/x");  // far more of one pool than of the other
                if (g.chance(.02)) rig.sendRequest("/b/x");
                for (auto n = 0; n < 8; n++)
                    for (auto& s : f.newSends(i)) {
                        if (!rig.edge->confirmSend(s.request, s.attempt, rig.now)) continue;
                        auto p = rig.edge->find(s.request)->route.service;
                        (rig.edge->find(s.request)->attempts.sent == 1 ? first : extra)[p].push_back(rig.now);
                        // First only the smaller pool is in trouble, then both.
                        if (t < 700 ? p == "q" : t % 500 < 250 || g.chance(.6))
                            rig.edge->onConnectionLost(s.request, s.attempt, "reset", rig.now);
                        else rig.answer(s.request);
                    }
            }
            f.step();
        }
        auto over = false;
        for (auto p : {"p", "q"}) {
            auto n = extra[p].size();
            CHECK(n > 40);
            for (auto from = extra[p].empty() ? 0 : extra[p][0]; from < f.now(); from += 100 * MILLISECOND) {
                auto in = [&](auto& v) {
                    return double(std::count_if(
                        v.begin(), v.end(), [&](auto t) { return t >= from && t < from + 10 * SECOND; }));
                };
                over = over || in(extra[p]) > 0.2 * in(first[p]) + 64;
            }
        }
        CHECK_EQ(broken, over);
    }
}

}  // namespace duneturn
