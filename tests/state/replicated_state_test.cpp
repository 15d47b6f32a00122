#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "state/replicated_state.hpp"
#include "test.hpp"

namespace duneturn {

static auto order(ReplicatedState& w, const std::string& op, const std::string& key, const std::string& body)
    -> Outcome {
    auto p = orderPrepare(w, op, key, body, 1000);
    return p ? w.apply(*p) : p.error();
}
static constexpr auto ONE_ROUTE = R"({"mappings":[{"name":"a","path":"/a","pool":"p","MaxTries":2}]})";

TEST(ReplicatedState, raceAndKey) {
    auto w = ReplicatedState();
    w.bootstrap({"n1", "n2"}, {{"n1", "d1"}});
    auto body = fmt::format("{{\"base\":0,\"config\":{}}}", ONE_ROUTE);
    CHECK_EQ(200, order(w, "config", "k1", body).status);
    CHECK_EQ(std::int64_t(1), w.configVersion());
    // The same key again is the first outcome; another on the same base has lost.
    CHECK_EQ(200, order(w, "config", "k1", body).status);
    CHECK_EQ(std::int64_t(1), w.configVersion());
    auto o = order(w, "config", "k2", body);
    CHECK_EQ(409, o.status);
    CHECK(o.body.find("\"configGeneration\":1") != std::string::npos);
    CHECK_EQ(409, w.outcome("k2").status);
    CHECK_EQ(std::int64_t(2), w.version);
}

TEST(ReplicatedState, faultsAreNamed) {
    auto w = ReplicatedState();
    auto o = order(w, "config", "k",
        R"({"base":0,"config":{"colour":1,"mappings":[{"name":"a","path":"x","pool":"p","MaxTries":0,"tries":3}]}})");
    CHECK_EQ(422, o.status);
    for (auto p : {"/config/colour", "/config/mappings/0/tries", "/config/mappings/0/MaxTries",
             "/config/mappings/0/path"})
        CHECK(o.body.find(p) != std::string::npos);
    CHECK_EQ(400, order(w, "config", "k", "{\"base\":").status);
    CHECK_EQ(400, order(w, "config", "k", std::string(100000, '[')).status);
    CHECK_EQ(422, order(w, "config", "k", "[]").status);
    CHECK_EQ(404, order(w, "colour", "k", "{}").status);
    CHECK_EQ(422, order(w, "empty", "k", R"({"district":"z","zone":"z"})").status);
    CHECK_EQ(std::int64_t(0), w.version);
}

TEST(ReplicatedState, mergePatch) {
    // The examples of RFC 7396, appendix A, and what it says of nested nulls.
    auto t = std::vector<std::array<const char*, 3>>{{R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"}, {R"({"a":"b"})", R"({"a":null})", "{}"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"}, {R"({"a":"b"})", "[\"c\"]", "[\"c\"]"},
        {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
        {"[1,2]", R"({"a":"b","c":null})", R"({"a":"b"})"},
        {"{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"}};
    for (auto& [a, p, r] : t) {
        auto x = rapidjson::Document(), y = rapidjson::Document();
        parseJson(a, x);
        parseJson(p, y);
        applyMergePatch(x, y, x.GetAllocator());
        CHECK_EQ(std::string(r), jsonText(x));
    }
}

TEST(ReplicatedState, changeIsLaid) {
    auto w = ReplicatedState();
    CHECK_EQ(200, order(w, "config", "a", fmt::format("{{\"base\":0,\"config\":{}}}", ONE_ROUTE)).status);
    CHECK_EQ(200, order(w, "merge", "b", R"({"base":1,"patch":{"name":"x","budget":{"share":0.1}}})").status);
    CHECK_EQ(std::string("x"), jsonString(w.config(), "name"));
    CHECK_EQ(409, order(w, "merge", "c", R"({"base":1,"patch":{"name":"y"}})").status);
    CHECK_EQ(422, order(w, "merge", "d", R"({"base":2,"patch":{"mappings":null}})").status);
    CHECK_EQ(std::string("x"), jsonString(w.config(), "name"));
    CHECK_EQ(std::int64_t(2), w.configVersion());
}

TEST(ReplicatedState, planFiresOnce) {
    auto w = ReplicatedState();
    w.bootstrap({"n1"}, {{"n1", "d1"}});
    CHECK_EQ(200,
        order(w, "book", "b", R"({"at":"2026-01-31T06:00:00Z","move":{"op":"empty","district":"z"}})")
            .status);
    auto id = w.scheduledOperations().at(0).id;
    auto f = "{\"move\":" + jsonQuote(id) + "}";
    CHECK_EQ(200, order(w, "fire", "f1", f).status);
    CHECK(w.evacuated("z"));
    CHECK_EQ(200, order(w, "give-back", "g", R"({"district":"z"})").status);
    // Fired again by another leader, under another key: it has no effect.
    CHECK_EQ(409, order(w, "fire", "f2", f).status);
    CHECK(!w.evacuated("z"));
    CHECK_EQ(409, order(w, "cancel", "c", f).status);
}

// Whatever the orders, two words fed the same log are the same, a text loads back to
// the same word, and a generation never falls.
TEST(ReplicatedState, fuzzSameLogSameWord) {
    auto r = RandomSource{7};
    for (auto round = 0; round < 200; round++) {
        auto a = ReplicatedState(), b = ReplicatedState();
        a.bootstrap({"n1", "n2"}, {{"n1", "d1"}});
        b.bootstrap({"n1", "n2"}, {{"n1", "d1"}});
        for (auto i = 0; i < 30; i++) {
            auto z = fmt::format("z{}", r.below(3));
            auto base = a.configVersion() - std::int64_t(r.below(2));
            auto ops = std::vector<std::pair<std::string, std::string>>{
                {"config", fmt::format("{{\"base\":{},\"config\":{}}}", base, ONE_ROUTE)},
                {"merge", fmt::format("{{\"base\":{},\"patch\":{{\"name\":\"{}\"}}}}", base, z)},
                {"empty", "{\"district\":" + jsonQuote(z) + "}"},
                {"give-back", "{\"district\":" + jsonQuote(z) + "}"},
                {"book", R"({"at":"2026-01-31T06:00:00Z","move":{"op":"empty","district":"z"}})"},
                {"cancel", fmt::format("{{\"move\":\"m{}\"}}", r.below(30))},
                {"fire", fmt::format("{{\"move\":\"m{}\"}}", r.below(30))},
                {"roster", "{\"node\":" + jsonQuote(z) + "}"}};
            auto& [op, body] = ops[r.below(ops.size())];
            auto p = orderPrepare(a, op, fmt::format("k{}", r.below(40)), body, 5);
            if (!p) continue;
            auto g = a.version;
            auto x = a.apply(*p), y = b.apply(*p);
            CHECK_EQ(x.body, y.body);
            CHECK(a.version >= g);
            CHECK((x.status == 200) || a.version == g);
            CHECK_EQ(a.text(), b.text());
            auto c = ReplicatedState();
            CHECK(c.load(a.text()));
            CHECK_EQ(a.text(), c.text());
        }
    }
}

}  // namespace duneturn
