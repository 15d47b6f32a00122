// What servers that have just started are sent.
#include <cstdint>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fleet.hpp"

namespace duneturn {

// What a cold server gets from all edges together, in any second; and that it gets something.
TEST(EdgePlatform, fuzzColdRate) {
    auto g = RandomSource{41};
    struct Case {
        int nodes;
        double rate;
        bool broken;
    };
    for (auto& c : std::vector<Case>{
             {12, 31, false}, {12, 3, false}, {12, 200, false}, {40, 8, false}, {12, 31, true}}) {
        auto conf = fmt::format(
            R"({{"budget":{{"slack":64}},"pools":{{"p":{{"coldRate":{},"coldUs":3000000}}}},"mappings":[{{"name":"a","path":"/a/*","pool":"p","aimUs":1000000}}]}})",
            c.rate);
        auto f = EdgeFleet(c.nodes, conf, {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}});
        for (auto& rig : f.edges) {
            rig->edge->broken.skipSlowStart = c.broken;
            rig->setColdUntil("c", rig->now + 60 * SECOND);
        }
        auto at = std::vector<Microseconds>();
        for (auto t = 0; t < 500; t++) {
            auto crowd = t % 100 < 30 ? .9 : .3;  // a crowd now and then
            for (auto i = std::size_t(0); i < f.edges.size(); i++) {
                auto& rig = *f.edges[i];
                for (auto k = 0; k < 400 / c.nodes; k++)
                    if (g.chance(crowd * .3)) rig.sendRequest("/a/x");
                for (auto& s : f.newSends(i)) {
                    if (!rig.edge->confirmSend(s.request, s.attempt, rig.now)) continue;
                    if (s.server == "c") at.push_back(rig.now + Microseconds(g.below(5 * MILLISECOND)));
                    if (g.chance(.7)) rig.answer(s.request);
                }
            }
            f.step();
        }
        auto most = densest(at, SECOND);
        if (c.broken) CHECK(double(most) > c.rate * 1.5 + 5);
        else {
            CHECK(double(most) <= c.rate * 1.5 + 5);
            CHECK(double(at.size()) > c.rate * 10 * 0.4);
        }
    }
}

// New among the listed in our time, and nobody says how it is: cold by its pool's time.
TEST(EdgePlatform, newServersAreCold) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("", R"(,"pools":{"p":{"coldUs":4000000,"coldRate":5}})")));
    rig.listServers({{"x", "near", "p", "z", 90}});
    rig.runFor(3 * SECOND);
    auto in = [&](int steps) {
        auto n = 0;
        for (auto i = 0; i < steps; i++) {
            auto x = rig.sendRequest("/a/x");
            CHECK(rig.sendFirstByte(x));
            n += rig.lastSend().server == "c";
            rig.answer(x);
            rig.runFor(20 * MILLISECOND);
        }
        return n;
    };
    rig.listServers({{"x", "near", "p", "z", 90}, {"c", "near", "p", "z", 90}}, 20 * MILLISECOND);
    auto n = in(50);
    CHECK(n >= 2 && n <= 6);
    in(160);
    CHECK(in(50) > 12);
    // A reply may tell that it is cold again.
    auto x = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(x));
    auto who = rig.lastSend().server;
    rig.answer(x, {{"X-Cold", "3000"}});
    auto k = 0;
    for (auto i = 0; i < 50; i++) {
        auto y = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(y));
        k += rig.lastSend().server == who;
        rig.answer(y);
        rig.runFor(20 * MILLISECOND);
    }
    CHECK(k <= 6);
}

}  // namespace duneturn
