// Slow start of servers that have just started.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fleet.hpp"

namespace duneturn {

// All edges together must not send a cold server more requests in any second than its rate times the overrun
// plus the slack permits, and must not starve it. With slow start disabled the bound is exceeded, which shows
// that the load of the test suffices.
TEST(EdgePlatform, fuzzColdServerRateOfAllEdges) {
    auto random = RandomSource{41};
    struct Case {
        int nodes;
        double rate;
        bool skipsSlowStart;
    };
    for (auto& testCase : std::vector<Case>{
             {12, 31, false}, {12, 3, false}, {12, 200, false}, {40, 8, false}, {12, 31, true}}) {
        auto configuration = fmt::format(
            R"({{"budget":{{"slack":64}},"pools":{{"p":{{"coldRate":{},"coldUs":3000000}}}},"mappings":[{{"name":"a","path":"/a/*","pool":"p","aimUs":1000000}}]}})",
            testCase.rate);
        auto fleet = EdgeFleet(
            testCase.nodes, configuration, {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}});
        for (auto& rig : fleet.edges) {
            rig->edge->broken.skipSlowStart = testCase.skipsSlowStart;
            rig->setColdUntil("c", rig->now + 60 * SECOND);
        }
        auto coldSendTimes = std::vector<Microseconds>();
        for (auto step = 0; step < 500; step++) {
            auto load = step % 100 < 30 ? .9 : .3;  // a load surge for 0.6 s of every 2 s
            for (auto i = std::size_t(0); i < fleet.edges.size(); i++) {
                auto& rig = *fleet.edges[i];
                for (auto k = 0; k < 400 / testCase.nodes; k++)
                    if (random.chance(load * .3)) rig.sendRequest("/a/x");
                for (auto& send : fleet.newSends(i)) {
                    if (!rig.edge->confirmSend(send.request, send.attempt, rig.now)) continue;
                    if (send.server == "c")
                        coldSendTimes.push_back(rig.now + Microseconds(random.below(5 * MILLISECOND)));
                    if (random.chance(.7)) rig.answer(send.request);
                }
            }
            fleet.step();
        }
        auto maximum = maxInWindow(coldSendTimes, SECOND);
        if (testCase.skipsSlowStart) CHECK(double(maximum) > testCase.rate * 1.5 + 5);
        else {
            CHECK(double(maximum) <= testCase.rate * 1.5 + 5);
            CHECK(double(coldSendTimes.size()) > testCase.rate * 10 * 0.4);
        }
    }
}

// A server that is listed newly without a cold time counts as cold for the time configured for its service:
// it gets few requests at first and its full share later. A server that reports a cold time in an answer is
// cold again.
TEST(EdgePlatform, newlyListedServersAreCold) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("", R"(,"pools":{"p":{"coldUs":4000000,"coldRate":5}})")));
    rig.listServers({{"x", "near", "p", "z", 90}});
    rig.runFor(3 * SECOND);
    auto sentTo = [&](const std::string& server, int requests) {
        auto count = 0;
        for (auto i = 0; i < requests; i++) {
            auto request = rig.sendRequest("/a/x");
            CHECK(rig.sendFirstByte(request));
            count += rig.lastSend().server == server;
            rig.answer(request);
            rig.runFor(20 * MILLISECOND);
        }
        return count;
    };
    rig.listServers({{"x", "near", "p", "z", 90}, {"c", "near", "p", "z", 90}}, 20 * MILLISECOND);
    auto sentWhileCold = sentTo("c", 50);
    CHECK(sentWhileCold >= 2);
    CHECK(sentWhileCold <= 6);
    sentTo("c", 160);
    CHECK(sentTo("c", 50) > 12);
    auto reporting = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(reporting));
    auto coldServer = rig.lastSend().server;
    rig.answer(reporting, {{"X-Cold", "3000"}});
    CHECK(sentTo(coldServer, 50) <= 6);
}

}  // namespace duneturn
