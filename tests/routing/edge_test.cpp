// One edge where nodes name the requests: configuration changes, resumed streams, full queues, and selection.
#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/node_fixture.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr auto RESUMABLE = R"(,"Resumable":true,"MaxTries":3)";

// A configuration with one route of streams at /s. `members`: further members of the route.
auto configurationOfStreams(const std::string& members) -> std::string {
    return R"({"models":{"m":{"migrationLimit":2,"maxSequence":64}},"ramp":{"overUs":0},"mappings":[
        {"name":"s","path":"/s","pool":"p","model":"m","stream":true,"spill":["far"])"
        + members + "}]}";
}

// Completes streams, each of which earns credit in the retry budget.
auto completeStreams(NodeFixture& fixture, int count) -> void {
    auto& edge = *fixture.e;
    for (auto i = 0; i < count; i++) {
        auto id = edge.accept("POST", "/s", {}, "b", fixture.now);
        CHECK(edge.confirmSend(id, 1, fixture.now));
        edge.onResponseHead(id, 1, 200, {}, fixture.now);
        edge.onStreamEvent(id, 1, {"1", "", "d", "id: 1\ndata: d\n\n"}, fixture.now);
        edge.onStreamEvent(id, 1, {"", "done", "", "event: done\n\n"}, fixture.now);
    }
}

}  // namespace

// Whether an interrupted stream may migrate depends on the configuration at that time, not on the one under
// which the stream began.
TEST(Edge, newestConfigurationDecidesAboutMigration) {
    struct Case {
        std::string newConfiguration;
        bool migrates;
    };
    for (auto& testCase :
        std::vector<Case>{{configurationOfStreams(RESUMABLE), true},
            {configurationOfStreams(R"(,"MaxTries":3)"), false},
            {configurationOfStreams(R"(,"Resumable":true,"MaxTries":1)"), false},
            {R"({"mappings":[{"name":"t","path":"/t","pool":"p"}]})", false},
            {R"({"models":{"m":{}},"ramp":{"overUs":0},"mappings":[{"name":"s","path":"/s","pool":"p","model":"m","stream":true,"Resumable":true,"MaxTries":3}]})",
                false}}) {
        auto fixture = NodeFixture();
        auto& edge = *fixture.e;
        CHECK_EQ(200, fixture.config(configurationOfStreams(RESUMABLE)));
        fixture.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "w"}});
        completeStreams(fixture, 12);
        auto id = edge.accept("POST", "/s", {}, "b", fixture.now);
        CHECK(edge.confirmSend(id, 1, fixture.now));
        edge.onStreamEvent(id, 1, {"1", "", "d", "id: 1\ndata: d\n\n"}, fixture.now);
        CHECK_EQ(200, fixture.config(testCase.newConfiguration));
        auto sent = fixture.sends.size();
        edge.onConnectionLost(id, 1, "reset", fixture.now);
        CHECK_EQ(testCase.migrates, fixture.sends.size() == sent + 1);
        CHECK_EQ(!testCase.migrates, fixture.cut.count(id) > 0);
        CHECK_EQ(std::int64_t(0), fixture.ct.get("illegal_transitions_total"));
    }
}

// A refused connection that is reported after the first byte was written does not prove that nothing ran, so
// the request must not be sent again.
TEST(Edge, refusalAfterFirstByteIsNotRetried) {
    auto fixture = NodeFixture();
    auto& edge = *fixture.e;
    CHECK_EQ(200, fixture.config(configurationOfStreams(R"(,"MaxTries":3)")));
    fixture.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "w"}});
    auto id = edge.accept("POST", "/s", {}, "b", fixture.now);
    CHECK(edge.confirmSend(id, 1, fixture.now));
    edge.onConnectionRefused(id, 1, fixture.now);
    CHECK_EQ(502, fixture.replies[id].first);
    CHECK_EQ(std::size_t(1), fixture.sends.size());
}

// A client may resume a stream only on a resumable route, with a valid event id within the model's sequence
// and the weights version. A rejected resumption must not be sent to any server. A resumption counts as a
// retry in the budget, and goes to a server with the same weights.
TEST(Edge, clientResumesStream) {
    auto fixture = NodeFixture();
    auto& edge = *fixture.e;
    auto configuration = configurationOfStreams(RESUMABLE);
    configuration.insert(configuration.size() - 2,
        R"(,{"name":"n","path":"/n","pool":"p","model":"m","stream":true,"MaxTries":3})");
    CHECK_EQ(200, fixture.config(configuration));
    fixture.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "v"}});
    auto send = [&](const std::string& path, const Headers& headers) {
        return edge.accept("POST", path, headers, "b", fixture.now);
    };
    for (auto& [path, headers] :
        std::vector<std::pair<std::string, Headers>>{{"/n", {{"Last-Event-Id", "3"}, {"X-Weights", "w"}}},
            {"/s", {{"Last-Event-Id", "3"}}}, {"/s", {{"Last-Event-Id", "x"}, {"X-Weights", "w"}}},
            {"/s", {{"Last-Event-Id", "65"}, {"X-Weights", "w"}}}}) {
        auto sent = fixture.sends.size();
        auto id = send(path, headers);
        CHECK_EQ(409, fixture.replies[id].first);
        CHECK_EQ(sent, fixture.sends.size());
    }
    auto resumption = Headers{{"last-event-id", "3"}, {"x-weights", "v"}};
    CHECK_EQ(503, fixture.replies[send("/s", resumption)].first);  // the retry budget has no credit yet
    for (auto i = 0; i < 12; i++) {
        static_cast<void>(edge.confirmSend(send("/s", {}), 1, fixture.now));  // false if it is queued
        fixture.run(20 * MILLISECOND);
    }
    edge.abortAll(fixture.now);
    fixture.run(40 * MILLISECOND);
    auto credit = edge.credit();
    auto id = send("/s", resumption);
    CHECK_EQ(std::string("y"), fixture.sends.back().second);
    CHECK(edge.confirmSend(id, 1, fixture.now));
    CHECK(edge.credit() < credit);
    CHECK_EQ(1, edge.find(id)->migrationsLeft());
    // An answer by other weights must not continue the stream.
    CHECK(!edge.onResponseHead(id, 1, 200, {{"X-Weights", "w"}}, fixture.now));
    CHECK(fixture.cut.empty() || !fixture.whole.count(id));
}

// In a full queue an urgent request displaces a less urgent one, which is rejected at once.
TEST(Edge, urgentRequestDisplacesFromFullQueue) {
    auto fixture = NodeFixture();
    auto& edge = *fixture.e;
    CHECK_EQ(200,
        fixture.config(
            R"({"ramp":{"overUs":0},"mappings":[{"name":"lo","path":"/lo","pool":"p","urgency":2,"queue":2},
        {"name":"hi","path":"/hi","pool":"p","urgency":8,"queue":2}]})"));
    fixture.list({{"x", "near", "z", "p", "w"}});
    auto send = [&](const std::string& path) { return edge.accept("POST", path, {}, "b", fixture.now); };
    for (auto i = 0; i < 4; i++) send("/hi");
    auto firstQueued = send("/lo"), secondQueued = send("/lo"), rejected = send("/lo");
    CHECK_EQ(503, fixture.replies[rejected].first);
    CHECK(!fixture.replies.count(firstQueued) && !fixture.replies.count(secondQueued));
    auto urgent = send("/hi");
    CHECK_EQ(503, fixture.replies[secondQueued].first);
    CHECK(!fixture.replies.count(firstQueued) && !fixture.replies.count(urgent));
    CHECK_EQ(std::size_t(2), edge.queuedCount());
}

// The stages of selection against a direct evaluation of the configuration, over random fleets: a request
// must go to an eligible server, in the client's region if it has one, and be rejected if there is none.
TEST(Edge, fuzzSelectionAgainstDirectEvaluation) {
    auto random = RandomSource{21};
    auto served = 0, rejected = 0;
    for (auto round = 0; round < 25; round++) {
        auto fixture = NodeFixture();
        auto& edge = *fixture.e;
        auto regions = std::vector<std::string>{"near", "far", "off"};
        auto anyRegion = [&] { return regions[random.below(regions.size())]; };
        auto home =
            random.chance(.4) ? (random.chance(.5) ? std::string("@near") : anyRegion()) : std::string();
        auto spillover = std::vector<std::string>();
        if (home.empty())
            for (auto& region : regions)
                if (random.chance(.4)) spillover.push_back(region);
        auto service = fmt::format("p{}", random.below(2));
        auto spilloverList = std::string();
        for (auto& region : spillover)
            spilloverList += (spilloverList.empty() ? "" : ",") + jsonQuote(region);
        CHECK_EQ(200,
            fixture.config(fmt::format(
                R"({{"ramp":{{"overUs":0}},"mappings":[{{"name":"a","path":"/a/*","pool":"{}","queueUs":0{}}}]}})",
                service,
                home.empty() ? ",\"spill\":[" + spilloverList + "]" : ",\"home\":" + jsonQuote(home))));
        auto servers = std::vector<std::array<std::string, 5>>();  // name, region, zone, service, weights
        for (auto i = 0; i < 6; i++)
            servers.push_back({fmt::format("s{}", i), anyRegion(), fmt::format("z{}", random.below(2)),
                fmt::format("p{}", random.below(2)), "w"});
        fixture.list(servers);
        auto draining = fmt::format("s{}", random.below(6));
        fixture.n->mark(99, draining, ++fixture.rev, fixture.now);
        auto zone = fmt::format("z{}", random.below(2));
        auto isEvacuated = random.chance(.5);
        if (isEvacuated)
            fixture.n->order(98, "empty", "e", bodyOf({{"district", jsonQuote(zone)}}), fixture.now);
        fixture.run(2 * SECOND);
        for (auto i = 0; i < 20; i++) {
            auto clientRegion = anyRegion();
            auto eligible = std::set<std::string>(), inClientRegion = std::set<std::string>();
            for (auto& server : servers) {
                auto& region = server[1];
                auto homeRegion = home == "@near" ? clientRegion : home;
                if (server[3] != service || server[0] == draining) continue;
                if (isEvacuated && server[2] == zone) continue;
                auto isSpillover = std::find(spillover.begin(), spillover.end(), region) != spillover.end();
                auto isAllowed =
                    homeRegion.empty() ? region == clientRegion || isSpillover : region == homeRegion;
                if (!isAllowed) continue;
                eligible.insert(server[0]);
                if (region == clientRegion) inClientRegion.insert(server[0]);
            }
            auto sent = fixture.sends.size();
            auto id = edge.accept("POST", "/a/b", {{"X-Region", clientRegion}}, "b", fixture.now);
            if (eligible.empty()) {
                rejected++;
                CHECK_EQ(sent, fixture.sends.size());
                CHECK_EQ(503, fixture.replies[id].first);
            } else {
                served++;
                CHECK_EQ(sent + 1, fixture.sends.size());
                auto& server = fixture.sends.back().second;
                CHECK(eligible.count(server));
                CHECK(inClientRegion.empty() || !home.empty() || inClientRegion.count(server));
                CHECK(edge.confirmSend(id, 1, fixture.now));
                edge.onResponse(id, 1, 200, {}, "x", fixture.now);
            }
            fixture.run(20 * MILLISECOND);
        }
    }
    CHECK(served > 100);
    CHECK(rejected > 50);
}

}  // namespace duneturn
