// Server selection: regions, prefix affinity, and many edges that select at the same time.
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
namespace {

// A request that a server runs until a point in time; `edge` is the index of the edge that sent it.
struct RunningRequest {
    Microseconds until;
    std::size_t edge;
    std::int64_t id;
    std::string server;
};

auto serversOfOneRegion(int count, int slots) -> std::vector<EdgeFixture::ListedServer> {
    auto servers = std::vector<EdgeFixture::ListedServer>();
    for (auto i = 0; i < count; i++) servers.push_back({fmt::format("i-{}", i), "near", "p", "z", slots});
    return servers;
}

}  // namespace

// A request must never be sent outside the home regions that the newest configuration names, nor to a server
// that is not listed for its service, even if configurations and listings change between selection and
// sending.
TEST(EdgePlatform, fuzzHomeRegionsUnderChanges) {
    auto random = RandomSource{9};
    auto sent = 0, withheld = 0;
    for (auto round = 0; round < 20; round++) {
        auto rig = EdgeFixture();
        auto homes = std::vector<std::vector<std::string>>{{"near"}, {"far"}, {"near", "far"}, {"off"}, {}};
        auto current = std::size_t(0);
        auto changeHomes = [&] {
            current = random.below(homes.size());
            auto list = std::string();
            for (auto& home : homes[current]) list += (list.empty() ? "" : ",") + jsonQuote(home);
            CHECK_EQ(
                200, rig.orderConfig(configOf(R"(,"MaxTries":4,"repeatable":true,"homes":[)" + list + "]")));
        };
        auto servers = std::vector<EdgeFixture::ListedServer>();
        auto changeListing = [&] {
            servers.clear();
            for (auto i = 0; i < 5; i++)
                if (random.chance(.8))
                    servers.push_back({fmt::format("s{}", i),
                        std::string(std::array{"near", "far", "off"}[random.below(3)]),
                        random.chance(.8) ? "p" : "q", "z", 40});
            rig.listServers(servers, 0);
        };
        changeHomes();
        changeListing();
        for (auto i = 0; i < 60; i++) {
            rig.sendRequest("/a/x");
            if (random.chance(.3)) changeListing();
            if (random.chance(.05)) changeHomes();
            for (auto before = rig.sends.size(), j = std::size_t(0); j < rig.sends.size() && j < before + 40;
                 j++) {
                auto send = rig.sends[j];
                auto request = rig.edge->find(send.request);
                if (!request || request->attempts.current != send.attempt) continue;
                if (request->attempts.tracker.written()) continue;
                if (random.chance(.4)) {
                    rig.edge->onConnectionRefused(send.request, send.attempt, rig.now);
                } else if (rig.edge->confirmSend(send.request, send.attempt, rig.now)) {
                    sent++;
                    auto server = std::find_if(servers.begin(), servers.end(),
                        [&](auto& listed) { return listed.name == send.server; });
                    CHECK(server != servers.end());
                    CHECK_EQ(std::string("p"), server->service);
                    auto& allowed = homes[current];
                    CHECK(allowed.empty()
                        || std::find(allowed.begin(), allowed.end(), server->region) != allowed.end());
                    if (random.chance(.5)) rig.answer(send.request);
                } else withheld++;
            }
            rig.runFor(20 * MILLISECOND);
        }
    }
    CHECK(sent > 300 && withheld > 20);
}

// 32 shared prefixes of 13,300 tokens over eleven engines whose KV caches hold 319,818 tokens: all edges must
// send a prefix to the same server, no server may get too many prefixes, and each prefix is processed about
// once. With random selection prefixes are processed again and again, which shows that the load of the test
// suffices.
TEST(EdgePlatform, prefixAffinityAvoidsRepeatedPrefill) {
    for (auto selectRandomly : {false, true}) {
        auto random = RandomSource{51};
        auto fleet = EdgeFleet(12,
            R"({"budget":{"slack":64},"pools":{"p":{"engine":true,"kvTokens":319818,"stride":6}},"mappings":[
             {"name":"a","path":"/a/*","pool":"p","aimUs":1000000,"stream":true},
             {"name":"b","path":"/b/*","pool":"p","aimUs":800000,"stream":true}]})",
            serversOfOneRegion(11, 64));
        auto caches = std::map<std::string, std::map<int, Microseconds>>();  // last use by server and prefix
        auto running = std::map<std::string, int>();                         // by server
        auto prefills = 0, longPrompts = 0;
        auto requests = std::deque<RunningRequest>();
        for (auto step = 0; step < 3000; step++) {  // a minute
            for (auto i = std::size_t(0); i < fleet.edges.size(); i++) {
                auto& rig = *fleet.edges[i];
                rig.edge->broken.selectRandomly = selectRandomly;
                if (random.chance(8.47 / 50 / 12)) {
                    auto prefix = int(random.below(32));
                    auto ownPart = 1000 + i * 100000 + rig.requestCount;
                    rig.sendRequest("/a/x",
                        {{"X-Tokens", "17020,120"},
                            {"X-Parts", fmt::format("{:x}:13300,{:x}:3720", prefix, ownPart)}});
                }
                if (random.chance(224. / 50 / 12))
                    rig.sendRequest("/b/x",
                        {{"X-Tokens", "383,48"},
                            {"X-Parts",
                                fmt::format("{:x}:92,{:x}:291", 500 + random.below(20),
                                    99000000 + rig.requestCount)}});
                for (auto& send : fleet.newSends(i)) {
                    CHECK(rig.edge->confirmSend(send.request, send.attempt, rig.now));
                    auto request = rig.edge->find(send.request);
                    auto isLongPrompt =
                        request->received.promptParts.size() > 1 && request->received.sharedTokens > 1000;
                    auto& cache = caches[send.server];
                    auto load = fmt::format("{},0,64", ++running[send.server]);
                    auto duration = 300 * MILLISECOND;
                    if (isLongPrompt) {
                        longPrompts++;
                        auto prefix = std::stoi(headerOf(request->received.headers, "X-Parts"), nullptr, 16);
                        if (!cache.count(prefix)) {
                            prefills++;
                            duration += 200 * MILLISECOND;
                            if (cache.size() >= 20)
                                cache.erase(std::min_element(cache.begin(), cache.end(),
                                    [](auto& left, auto& right) { return left.second < right.second; }));
                        }
                        cache[prefix] = rig.now;
                    }
                    rig.edge->onResponseHead(send.request, send.attempt, 200,
                        rig.answerHeaders(send.request, {{"X-Load", load}}), rig.now);
                    rig.sendEvent(send.request, "1");
                    requests.push_back({rig.now + duration, i, send.request, send.server});
                }
            }
            for (auto remaining = requests.size(); remaining > 0; remaining--) {
                auto request = requests.front();
                requests.pop_front();
                if (request.until > fleet.now()) {
                    requests.push_back(request);
                    continue;
                }
                running[request.server]--;
                auto& rig = *fleet.edges[request.edge];
                auto attempt = rig.edge->find(request.id)->attempts.current;
                rig.edge->onStreamEnd(request.id, attempt, rig.now);
            }
            fleet.step();
        }
        CHECK(longPrompts > 400);
        if (selectRandomly) CHECK(prefills > 150);
        else {
            CHECK(prefills <= 32 + 6);
            auto mostPrefixes = std::size_t(0);
            for (auto& [server, cache] : caches) mostPrefixes = std::max(mostPrefixes, cache.size());
            CHECK(mostPrefixes <= 10);
        }
    }
}

// Edges that received the servers' loads at different times, with three quarters of all slots in use: few
// requests may arrive at a server whose slots are all in use, and a new server must not get requests from all
// edges at once. Random selection is the counterexample.
TEST(EdgePlatform, edgesDoNotHerdToOneServer) {
    struct Case {
        int nodes;
        bool selectsRandomly;
        double overloadedShare = 0;  // measured: requests that arrived at a server without a free slot
        int mostAtNewServer = 0;     // measured: concurrent requests at the new server
    };
    auto cases = std::vector<Case>{{12, false}, {12, true}, {48, false}};
    for (auto& testCase : cases) {
        auto random = RandomSource{61};
        auto servers = serversOfOneRegion(11, 32);
        auto fleet = EdgeFleet(testCase.nodes,
            R"({"budget":{"slack":64},"pools":{"p":{"engine":true,"kvTokens":319818}},"mappings":[
             {"name":"b","path":"/b/*","pool":"p","aimUs":800000,"stream":true}]})",
            servers);
        auto running = std::map<std::string, int>();  // by server
        auto requests = std::deque<RunningRequest>();
        auto arrived = 0, overloaded = 0, rejected = 0;
        for (auto step = 0; step < 450; step++) {
            if (step == 400) {
                servers[0].name = "new";
                for (auto& rig : fleet.edges) rig->listServers(servers, 0);
            }
            for (auto i = std::size_t(0); i < fleet.edges.size(); i++) {
                auto& rig = *fleet.edges[i];
                rig.edge->broken.selectRandomly = testCase.selectsRandomly;
                for (auto k = 0; k < 2; k++)
                    if (random.chance(11 * 24 / (0.4 * 50) / testCase.nodes / 2))
                        rejected += rig.outcome(rig.sendRequest("/b/x", {{"X-Tokens", "383,48"}})) != 0;
                for (auto& send : fleet.newSends(i)) {
                    CHECK(rig.edge->confirmSend(send.request, send.attempt, rig.now));
                    auto count = ++running[send.server];
                    if (step > 100 && step < 400) {
                        arrived++;
                        overloaded += count > 32;
                    }
                    if (send.server == "new")
                        testCase.mostAtNewServer = std::max(testCase.mostAtNewServer, count);
                    auto load = fmt::format("{},0,32", count);
                    rig.edge->onResponseHead(send.request, send.attempt, 200,
                        rig.answerHeaders(send.request, {{"X-Load", load}}), rig.now);
                    requests.push_back({rig.now + 400 * MILLISECOND, i, send.request, send.server});
                }
            }
            while (!requests.empty() && requests.front().until <= fleet.now()) {
                auto request = requests.front();
                requests.pop_front();
                running[request.server]--;
                auto& edge = *fleet.edges[request.edge]->edge;
                edge.onStreamEnd(request.id, edge.find(request.id)->attempts.current, fleet.now());
            }
            fleet.step();
        }
        testCase.overloadedShare = double(overloaded) / arrived;
        if (!testCase.selectsRandomly) CHECK_EQ(0, rejected);
    }
    CHECK(cases[0].overloadedShare < 0.01);
    CHECK(cases[1].overloadedShare > 3 * cases[0].overloadedShare + 0.02);
    CHECK(cases[0].mostAtNewServer <= 40);
    CHECK(cases[2].mostAtNewServer <= 41);
}

// Short prompts must avoid a server that processes a long one, and a repeated prefix must go to the server
// that has it. The client's region is preferred until it is much more occupied than another region.
TEST(EdgePlatform, shortPromptsAvoidPrefillAndRegionsSpillOver) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"aimUs":800000)", R"(,"pools":{"p":{"engine":true,"kvTokens":300000}})")));
    rig.listServers({{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
    auto longPrompt = rig.sendRequest("/a/x", {{"X-Tokens", "17000,10"}, {"X-Parts", "a1:13000,b2:4000"}});
    CHECK(rig.sendFirstByte(longPrompt));
    auto prefilling = rig.lastSend().server;
    // The other server of the region is more occupied, but processes no long prompt.
    auto shortPrompt = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
    CHECK(rig.sendFirstByte(shortPrompt));
    CHECK(rig.lastSend().server != prefilling);
    rig.answer(shortPrompt, {{"X-Load", "4,0,10"}});
    for (auto i = 0; i < 5; i++) {
        auto request = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
        CHECK(rig.sendFirstByte(request));
        CHECK(rig.lastSend().server != prefilling && rig.lastSend().server != "f");
        rig.answer(request);
    }
    // Requests with the same prefix go to the server that processed it.
    for (auto i = 0; i < 3; i++) {
        auto request = rig.sendRequest(
            "/a/x", {{"X-Tokens", "14000,10"}, {"X-Parts", fmt::format("A1:13000,c{}:1000", i)}});
        CHECK(rig.sendFirstByte(request));
        CHECK_EQ(prefilling, rig.lastSend().server);
        rig.answer(request);
    }
    auto sentFar = 0, sentBeforeFar = 0;
    for (auto i = 0; i < 30; i++) {
        auto request = rig.sendRequest("/a/x", {{"X-Tokens", "300,10"}});
        if (rig.outcome(request) || rig.edge->find(request)->phase() != Phase::Sending) break;
        CHECK(rig.sendFirstByte(request));
        sentFar += rig.lastSend().server == "f";
        sentBeforeFar += !sentFar;
    }
    CHECK(sentFar >= 5);
    CHECK(sentBeforeFar >= 6 && sentBeforeFar < 20);  // less than the 20 slots of the client's region
}

// If many requests can only go to the client's region, long prompts that may go to any region must go to the
// other one. Without such requests they stay in the client's region.
TEST(EdgePlatform, longPromptsAvoidRegionsInDemand) {
    auto configuration = std::string(
        R"({"pools":{"p":{"engine":true,"kvTokens":300000}},"mappings":[{"name":"a","path":"/a/*","pool":"p","homes":["near"],"aimUs":800000},{"name":"l","path":"/l/*","pool":"p","aimUs":1000000}]})");
    for (auto isSingleRegion : {false, true}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(configuration));
        rig.listServers(
            {{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
        for (auto i = 0; i < 60; i++) {
            auto request = rig.sendRequest(isSingleRegion ? "/a/x" : "/l/x", {{"X-Tokens", "300,10"}});
            CHECK(rig.sendFirstByte(request));
            CHECK(!isSingleRegion || rig.lastSend().server != "f");
            rig.answer(request);
        }
        auto sentFar = 0;
        for (auto i = 0; i < 4; i++) {
            auto request = rig.sendRequest(
                "/l/x", {{"X-Tokens", "17000,10"}, {"X-Parts", fmt::format("a{}:13000,b{}:4000", i, i)}});
            CHECK(rig.sendFirstByte(request));
            sentFar += rig.lastSend().server == "f";
            rig.answer(request);
        }
        CHECK_EQ(isSingleRegion ? 4 : 0, sentFar);
    }
}

}  // namespace duneturn
