// Configurations, and the routes compiled from them.
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

// Against a plain reading: of its host, else of any; the longest path; this very method first.
TEST(EdgePlatform, fuzzMatch) {
    auto g = RandomSource{5};
    auto found = 0, none = 0;
    for (auto k = 0; k < 300; k++) {
        auto any = [&](std::initializer_list<const char*> l) {
            return std::string(*(l.begin() + g.below(l.size())));
        };
        auto path = [&] {
            auto p = std::string("/");
            for (auto n = g.below(4); n > 0; n--) p += any({"a", "b", "a/", "b/"});
            return p;
        };
        auto host = [&] { return any({"", "h.example", "i.example", "[::1]"}); };
        struct M {
            std::string host, method, path;
            bool prefix;
        };
        auto ms = std::vector<M>();
        auto t = std::string();
        for (auto i = 0; i < 12; i++) {
            auto m = M{host(), any({"GET", "POST", "*"}), path(), g.chance(.7)};
            t += fmt::format(R"({}{{"name":"m{}","method":"{}","path":"{}{}","pool":"p"{}}})", i ? "," : "",
                i, m.method, m.path, m.prefix ? "*" : "",
                m.host.empty() ? "" : ",\"host\":" + jsonQuote(m.host));
            ms.push_back(m);
        }
        auto d = rapidjson::Document();
        CHECK(parseJson("{\"mappings\":[" + t + "]}", d));
        auto ru = compileRoutes(std::make_shared<const Configuration>(d), 1);
        for (auto i = 0; i < 40; i++) {
            auto h = host(), me = any({"GET", "POST", "DELETE"}), p = path();
            auto want = -1;
            for (auto& of : {h, std::string()}) {
                auto key = std::array<long, 3>{-1, 0, 0};
                for (auto j = 0; j < 12; j++) {
                    auto& m = ms[std::size_t(j)];
                    if (m.host != of || (m.method != "*" && m.method != me)) continue;
                    if (m.prefix ? p.compare(0, m.path.size(), m.path) != 0 : p != m.path) continue;
                    auto c = std::array<long, 3>{long(m.path.size()), m.method != "*", -j};
                    if (c > key) key = c, want = j;
                }
                if (want >= 0) break;
            }
            auto said = h;
            if (g.chance(.5))
                for (auto& c : said) c = char(std::toupper(c));
            if (g.chance(.5) && !said.empty()) said += ":8080";
            CHECK_EQ(want, ru.match(me, said, p + any({"", "?x=/a/b"})));
            (want < 0 ? none : found)++;
        }
    }
    CHECK(found > 1000 && none > 1000);
}

TEST(EdgePlatform, configuration) {
    auto check = [](const std::string& s) {
        auto d = rapidjson::Document();
        CHECK(parseJson(s, d));
        auto o = std::string();
        for (auto& f : validateConfiguration(d)) o += f.path + " ";
        return o;
    };
    auto m = [](const std::string& more) {
        return R"({"name":"a","host":"h","method":"*","path":"/a/*")" + more + "}";
    };
    auto c = [](const std::string& ms, const std::string& top = "") {
        return "{" + top + "\"mappings\":[" + ms + "]}";
    };
    CHECK_EQ(
        std::string(), check(c(m(R"(,"pool":"p","homes":["r"],"repeatable":true,"aimUs":1,"gapUs":0)"))));
    CHECK_EQ(std::string(),
        check(c(m(R"(,"pools":[{"pool":"p","share":0},{"pool":"q","share":2}])"),
            R"("pools":{"p":{"maxConns":3,"coldUs":1,"coldRate":1.5,"slots":4,"kvTokens":5,"stride":6,"engine":true},"q":{}},
            "limits":{"headerBytes":1,"bodyBytes":2,"headerReadUs":3,"idleUs":4},"budget":{"slack":64,"share":0.2},
            "cold":{"overrun":1.5,"slack":5},"origin":{"number":7,"text":"{"},)")));
    CHECK_EQ(std::string("/mappings/0/pool "), check(c(m(""))));
    CHECK_EQ(
        std::string("/mappings/0/pool "), check(c(m(R"(,"pool":"p","pools":[{"pool":"p","share":1}])"))));
    CHECK_EQ(std::string("/mappings/0/pools "), check(c(m(R"(,"pools":[{"pool":"p","share":0}])"))));
    CHECK_EQ(std::string("/mappings/0/pool "), check(c(m(R"(,"pool":"p")"), R"("pools":{"q":{}},)")));
    CHECK_EQ(std::string("/mappings/0/deadlineUs "), check(c(m(R"(,"pool":"p","deadlineUs":0)"))));
    CHECK_EQ(std::string("/mappings/0/colour "), check(c(m(R"(,"pool":"p","colour":0)"))));
    CHECK_EQ(std::string("/origin/text "), check(c("", R"("origin":{"text":1},)")));
    CHECK_EQ(std::string("/mappings/1/name /mappings/1/path "),
        check(c(m(R"(,"pool":"p")") + "," + m(R"(,"pool":"q")"))));
    CHECK_EQ(std::string("/mappings "), check(R"({"mappings":{}})"));
}

// A quarter of a core has 50 ms of its time in 200 ms.
TEST(EdgePlatform, thousandsOfRoutes) {
    auto t = R"({"origin":{"number":1,"text":")" + std::string(2 << 20, 'x') + R"("},"mappings":[)";
    for (auto i = 0; i < 4000; i++)
        t += fmt::format(
            R"({}{{"name":"r-{}","host":"h{}.example","method":"*","path":"/x{}/*","pool":"p","stream":true,
            "Resumable":true,"MaxTries":2,"deadlineUs":5000000,"aimUs":800000,"gapUs":400000,"homes":["a"]}})",
            i ? "," : "", i, i % 3, i);
    t += "]}";
    auto d = rapidjson::Document();
    CHECK(parseJson(t, d));
    auto configuration = std::make_shared<const Configuration>(d);
    auto best = 1e9;
    auto ru = RouteTable();
    for (auto k = 0; k < 5; k++) {
        auto a = clock();
        CHECK(validateConfiguration(d).empty());
        ru = compileRoutes(configuration, 1);
        best = std::min(best, double(clock() - a) / CLOCKS_PER_SEC);
    }
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(best < 0.05);
#endif
    CHECK_EQ(3998, ru.match("GET", "h2.example", "/x3998/y"));
    // A configuration is not copied for each order, nor kept with the outcomes.
    auto w = ReplicatedState();
    auto p = orderPrepare(w, "config", "k", "{\"base\":0,\"config\":" + t + "}", 1);
    CHECK(bool(p));
    CHECK_EQ(200, w.apply(*p).status);
    auto document = rapidjson::Document();
    CHECK(parseJson(w.text(), document));
    CHECK(jsonText(document["outcomes"]).size() < 200);
    CHECK_EQ(200, w.apply(*p).status);  // the same key again
    CHECK_EQ(std::int64_t(1), w.configVersion());
}

// Each pool gets its share, and a further try with another name may draw the other pool.
TEST(EdgePlatform, weightedPools) {
    auto rig = EdgeFixture();
    auto d = configOf("");
    d.replace(d.find(R"("pool":"p")"), 10,
        R"("pools":[{"pool":"p","share":90},{"pool":"q","share":10},{"pool":"o","share":0}])");
    CHECK_EQ(200, rig.orderConfig(d));
    rig.listServers({{"x", "near", "p"}, {"y", "near", "q"}, {"z", "near", "o"}});
    auto n = std::map<std::string, int>();
    for (auto i = 0; i < 2000; i++) {
        auto x = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(x));
        n[rig.lastSend().server]++;
        rig.answer(x);
        if (i % 100 == 0) rig.runFor(20 * MILLISECOND);
    }
    CHECK(n["x"] > 1700 && n["y"] > 120);
    CHECK_EQ(0, n["z"]);
}

}  // namespace duneturn
