// Validation of configurations, and the routes compiled from them.
#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fixture.hpp"
#include "state/configuration_validation.hpp"

namespace duneturn {

// RouteTable::match against a linear search over all routes: routes of the request's host precede those of
// any host, then the longest path wins, then exactly this method, then the route configured first.
TEST(EdgePlatform, fuzzMatchAgainstLinearSearch) {
    auto random = RandomSource{5};
    auto found = 0, none = 0;
    for (auto round = 0; round < 300; round++) {
        auto any = [&](std::initializer_list<const char*> choices) {
            return std::string(*(choices.begin() + random.below(choices.size())));
        };
        auto anyPath = [&] {
            auto path = std::string("/");
            for (auto segments = random.below(4); segments > 0; segments--)
                path += any({"a", "b", "a/", "b/"});
            return path;
        };
        auto anyHost = [&] { return any({"", "h.example", "i.example", "[::1]"}); };
        struct ConfiguredRoute {
            std::string host, method, path;
            bool isPrefix;
        };
        auto routes = std::vector<ConfiguredRoute>();
        auto text = std::string();
        for (auto i = 0; i < 12; i++) {
            auto route = ConfiguredRoute{anyHost(), any({"GET", "POST", "*"}), anyPath(), random.chance(.7)};
            text += fmt::format(R"({}{{"name":"m{}","method":"{}","path":"{}{}","pool":"p"{}}})",
                i ? "," : "", i, route.method, route.path, route.isPrefix ? "*" : "",
                route.host.empty() ? "" : ",\"host\":" + jsonQuote(route.host));
            routes.push_back(route);
        }
        auto document = rapidjson::Document();
        CHECK(parseJson("{\"mappings\":[" + text + "]}", document));
        auto table = compileRoutes(std::make_shared<const Configuration>(document), 1);
        // The index of the expected route, -1 if none matches.
        auto search = [&](const std::string& host, const std::string& method, const std::string& path) {
            for (auto& routeHost : {host, std::string()}) {
                auto expected = -1;
                auto bestRank = std::array<long, 3>{-1, 0, 0};
                for (auto i = 0; i < 12; i++) {
                    auto& route = routes[std::size_t(i)];
                    if (route.host != routeHost || (route.method != "*" && route.method != method)) continue;
                    if (route.isPrefix ? !path.starts_with(route.path) : path != route.path) continue;
                    auto rank = std::array<long, 3>{long(route.path.size()), route.method != "*", -i};
                    if (rank <= bestRank) continue;
                    bestRank = rank;
                    expected = i;
                }
                if (expected >= 0) return expected;
            }
            return -1;
        };
        for (auto i = 0; i < 40; i++) {
            auto host = anyHost(), method = any({"GET", "POST", "DELETE"}), path = anyPath();
            auto expected = search(host, method, path);
            // Neither the host's case and port nor the query make a difference.
            auto hostHeader = host;
            if (random.chance(.5))
                for (auto& letter : hostHeader) letter = char(std::toupper(letter));
            if (random.chance(.5) && !hostHeader.empty()) hostHeader += ":8080";
            CHECK_EQ(expected, table.match(method, hostHeader, path + any({"", "?x=/a/b"})));
            (expected < 0 ? none : found)++;
        }
    }
    CHECK(found > 1000);
    CHECK(none > 1000);
}

TEST(EdgePlatform, configurationFaultsAreReportedByPath) {
    auto check = [](const std::string& text) {
        auto document = rapidjson::Document();
        CHECK(parseJson(text, document));
        auto paths = std::string();
        for (auto& fault : validateConfiguration(document)) paths += fault.path + " ";
        return paths;
    };
    auto route = [](const std::string& members) {
        return R"({"name":"a","host":"h","method":"*","path":"/a/*")" + members + "}";
    };
    auto configuration = [](const std::string& routes, const std::string& topMembers = "") {
        return "{" + topMembers + "\"mappings\":[" + routes + "]}";
    };
    CHECK_EQ(std::string(),
        check(configuration(route(R"(,"pool":"p","homes":["r"],"repeatable":true,"aimUs":1,"gapUs":0)"))));
    CHECK_EQ(std::string(),
        check(configuration(route(R"(,"pools":[{"pool":"p","share":0},{"pool":"q","share":2}])"),
            R"("pools":{"p":{"maxConns":3,"coldUs":1,"coldRate":1.5,"slots":4,"kvTokens":5,"stride":6,"engine":true},"q":{}},
            "limits":{"headerBytes":1,"bodyBytes":2,"headerReadUs":3,"idleUs":4},"budget":{"slack":64,"share":0.2},
            "cold":{"overrun":1.5,"slack":5},"origin":{"number":7,"text":"{"},)")));
    CHECK_EQ(std::string("/mappings/0/pool "), check(configuration(route(""))));
    CHECK_EQ(std::string("/mappings/0/pool "),
        check(configuration(route(R"(,"pool":"p","pools":[{"pool":"p","share":1}])"))));
    CHECK_EQ(std::string("/mappings/0/pools "),
        check(configuration(route(R"(,"pools":[{"pool":"p","share":0}])"))));
    CHECK_EQ(std::string("/mappings/0/pool "),
        check(configuration(route(R"(,"pool":"p")"), R"("pools":{"q":{}},)")));
    CHECK_EQ(
        std::string("/mappings/0/deadlineUs "), check(configuration(route(R"(,"pool":"p","deadlineUs":0)"))));
    CHECK_EQ(std::string("/mappings/0/colour "), check(configuration(route(R"(,"pool":"p","colour":0)"))));
    CHECK_EQ(std::string("/origin/text "), check(configuration("", R"("origin":{"text":1},)")));
    CHECK_EQ(std::string("/mappings/1/name /mappings/1/path "),
        check(configuration(route(R"(,"pool":"p")") + "," + route(R"(,"pool":"q")"))));
    CHECK_EQ(std::string("/mappings "), check(R"({"mappings":{}})"));
}

// Validating and compiling 4000 routes must take less than 50 ms of CPU time, so that it ends within 200 ms
// on a quarter of a core. A configuration must not be copied for each order, nor be kept with the orders'
// outcomes.
TEST(EdgePlatform, thousandsOfRoutesCompileInTime) {
    auto text = R"({"origin":{"number":1,"text":")" + std::string(2 << 20, 'x') + R"("},"mappings":[)";
    for (auto i = 0; i < 4000; i++)
        text += fmt::format(
            R"({}{{"name":"r-{}","host":"h{}.example","method":"*","path":"/x{}/*","pool":"p","stream":true,
            "Resumable":true,"MaxTries":2,"deadlineUs":5000000,"aimUs":800000,"gapUs":400000,"homes":["a"]}})",
            i ? "," : "", i, i % 3, i);
    text += "]}";
    auto document = rapidjson::Document();
    CHECK(parseJson(text, document));
    auto configuration = std::make_shared<const Configuration>(document);
    auto bestSeconds = 1e9;
    auto table = RouteTable();
    for (auto i = 0; i < 5; i++) {
        auto start = clock();
        CHECK(validateConfiguration(document).empty());
        table = compileRoutes(configuration, 1);
        bestSeconds = std::min(bestSeconds, double(clock() - start) / CLOCKS_PER_SEC);
    }
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(bestSeconds < 0.05);
#endif
    CHECK_EQ(3998, table.match("GET", "h2.example", "/x3998/y"));
    auto state = ReplicatedState();
    auto command = orderPrepare(state, "config", "k", "{\"base\":0,\"config\":" + text + "}", 1);
    CHECK(bool(command));
    CHECK_EQ(200, state.apply(*command).status);
    auto stateDocument = rapidjson::Document();
    CHECK(parseJson(state.text(), stateDocument));
    CHECK(jsonText(stateDocument["outcomes"]).size() < 200);
    CHECK_EQ(200, state.apply(*command).status);  // the same idempotency key again
    CHECK_EQ(std::int64_t(1), state.configVersion());
}

// Each service of a route must get its share of the requests, by the hash of their names; none at share 0.
TEST(EdgePlatform, requestsAreDividedByServiceShares) {
    auto rig = EdgeFixture();
    auto configuration = configOf("");
    configuration.replace(configuration.find(R"("pool":"p")"), 10,
        R"("pools":[{"pool":"p","share":90},{"pool":"q","share":10},{"pool":"o","share":0}])");
    CHECK_EQ(200, rig.orderConfig(configuration));
    rig.listServers({{"x", "near", "p"}, {"y", "near", "q"}, {"z", "near", "o"}});
    auto sends = std::map<std::string, int>();  // by server
    for (auto i = 0; i < 2000; i++) {
        auto request = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(request));
        sends[rig.lastSend().server]++;
        rig.answer(request);
        if (i % 100 == 0) rig.runFor(20 * MILLISECOND);
    }
    CHECK(sends["x"] > 1700 && sends["y"] > 120);
    CHECK_EQ(0, sends["z"]);
}

}  // namespace duneturn
