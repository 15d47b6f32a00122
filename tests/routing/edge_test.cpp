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

static auto route(const std::string& more) -> std::string {
    return R"({"models":{"m":{"migrationLimit":2,"maxSequence":64}},"ramp":{"overUs":0},"mappings":[
        {"name":"s","path":"/s","pool":"p","model":"m","stream":true,"spill":["far"])"
        + more + "}]}";
}

// What is allowed at the moment of moving is what counts, not what was when it began.
TEST(Edge, newestRulesBind) {
    struct Case {
        std::string then;
        bool moves;
    };
    auto ok = std::string(R"(,"Resumable":true,"MaxTries":3)");
    for (auto& c :
        std::vector<Case>{{route(ok), true}, {route(R"(,"MaxTries":3)"), false},
            {route(R"(,"Resumable":true,"MaxTries":1)"), false},
            {R"({"mappings":[{"name":"t","path":"/t","pool":"p"}]})", false},
            {R"({"models":{"m":{}},"ramp":{"overUs":0},"mappings":[{"name":"s","path":"/s","pool":"p","model":"m","stream":true,"Resumable":true,"MaxTries":3}]})",
                false}}) {
        auto r = NodeFixture();
        CHECK_EQ(200, r.config(route(ok)));
        r.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "w"}});
        for (auto i = 0; i < 12; i++) {  // earns credit
            auto id = r.e->accept("POST", "/s", {}, "b", r.now);
            CHECK(r.e->confirmSend(id, 1, r.now));
            r.e->onResponseHead(id, 1, 200, {}, r.now);
            r.e->onStreamEvent(id, 1, {"1", "", "d", "id: 1\ndata: d\n\n"}, r.now);
            r.e->onStreamEvent(id, 1, {"", "done", "", "event: done\n\n"}, r.now);
        }
        auto id = r.e->accept("POST", "/s", {}, "b", r.now);
        CHECK(r.e->confirmSend(id, 1, r.now));
        r.e->onStreamEvent(id, 1, {"1", "", "d", "id: 1\ndata: d\n\n"}, r.now);
        CHECK_EQ(200, r.config(c.then));
        auto n = r.sends.size();
        r.e->onConnectionLost(id, 1, "reset", r.now);
        CHECK_EQ(c.moves, r.sends.size() == n + 1);
        CHECK_EQ(!c.moves, r.cut.count(id) > 0);
        CHECK_EQ(std::int64_t(0), r.ct.get("illegal_transitions_total"));
    }
}

// A refusal that is told of a send whose first byte was written proves nothing.
TEST(Edge, refusedAfterTheFirstByte) {
    auto r = NodeFixture();
    CHECK_EQ(200, r.config(route(R"(,"MaxTries":3)")));
    r.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "w"}});
    auto id = r.e->accept("POST", "/s", {}, "b", r.now);
    CHECK(r.e->confirmSend(id, 1, r.now));
    r.e->onConnectionRefused(id, 1, r.now);
    CHECK_EQ(502, r.replies[id].first);
    CHECK_EQ(std::size_t(1), r.sends.size());
}

// What a sender may pick up, and what not; nothing of a denied one runs.
TEST(Edge, resumption) {
    auto r = NodeFixture();
    auto two = route(R"(,"Resumable":true,"MaxTries":3)");
    two.insert(
        two.size() - 2, R"(,{"name":"n","path":"/n","pool":"p","model":"m","stream":true,"MaxTries":3})");
    CHECK_EQ(200, r.config(two));
    r.list({{"x", "near", "z", "p", "w"}, {"y", "near", "z", "p", "v"}});
    auto ask = [&](const std::string& p, const Headers& h) { return r.e->accept("POST", p, h, "b", r.now); };
    for (auto& [p, h] :
        std::vector<std::pair<std::string, Headers>>{{"/n", {{"Last-Event-Id", "3"}, {"X-Weights", "w"}}},
            {"/s", {{"Last-Event-Id", "3"}}}, {"/s", {{"Last-Event-Id", "x"}, {"X-Weights", "w"}}},
            {"/s", {{"Last-Event-Id", "65"}, {"X-Weights", "w"}}}}) {
        auto n = r.sends.size();
        auto id = ask(p, h);
        CHECK_EQ(409, r.replies[id].first);
        CHECK_EQ(n, r.sends.size());
    }
    auto h = Headers{{"last-event-id", "3"}, {"x-weights", "v"}};
    CHECK_EQ(503, r.replies[ask("/s", h)].first);  // no credit yet: it is an extra send
    for (auto i = 0; i < 12; i++) r.e->confirmSend(ask("/s", {}), 1, r.now), r.run(20 * MILLISECOND);
    r.e->abortAll(r.now);
    r.run(40 * MILLISECOND);
    auto credit = r.e->credit();
    auto id = ask("/s", h);
    CHECK_EQ(std::string("y"), r.sends.back().second);
    CHECK(r.e->confirmSend(id, 1, r.now));
    CHECK(r.e->credit() < credit);
    CHECK_EQ(1, r.e->find(id)->migrationsLeft());
    // It must go on exactly behind what the sender holds, on the same weights.
    CHECK(!r.e->onResponseHead(id, 1, 200, {{"X-Weights", "w"}}, r.now));
    CHECK(r.cut.empty() || !r.whole.count(id));
}

// Urgent work takes the queue place of work that is less so, which is told at once.
TEST(Edge, fullQueue) {
    auto r = NodeFixture();
    CHECK_EQ(200,
        r.config(
            R"({"ramp":{"overUs":0},"mappings":[{"name":"lo","path":"/lo","pool":"p","urgency":2,"queue":2},
        {"name":"hi","path":"/hi","pool":"p","urgency":8,"queue":2}]})"));
    r.list({{"x", "near", "z", "p", "w"}});
    auto ask = [&](const std::string& p) { return r.e->accept("POST", p, {}, "b", r.now); };
    for (auto i = 0; i < 4; i++) ask("/hi");
    auto a = ask("/lo"), b = ask("/lo"), c = ask("/lo");
    CHECK_EQ(503, r.replies[c].first);
    CHECK(!r.replies.count(a) && !r.replies.count(b));
    auto d = ask("/hi");
    CHECK_EQ(503, r.replies[b].first);
    CHECK(!r.replies.count(a) && !r.replies.count(d));
    CHECK_EQ(std::size_t(2), r.e->queuedCount());
}

// The steps against a plain reading of the configuration, over random fleets.
TEST(Edge, fuzzAgainstPlainReading) {
    auto g = RandomSource{21};
    auto picked = 0, none = 0;
    for (auto k = 0; k < 25; k++) {
        auto r = NodeFixture();
        auto names = std::vector<std::string>{"near", "far", "off"};
        auto any = [&](auto& v) { return v[g.below(v.size())]; };
        auto home = g.chance(.4) ? (g.chance(.5) ? std::string("@near") : any(names)) : std::string();
        auto spill = std::vector<std::string>();
        if (home.empty())
            for (auto& x : names)
                if (g.chance(.4)) spill.push_back(x);
        auto service = fmt::format("p{}", g.below(2));
        auto sp = std::string();
        for (auto& x : spill) sp += (sp.empty() ? "" : ",") + jsonQuote(x);
        CHECK_EQ(200,
            r.config(fmt::format(
                R"({{"ramp":{{"overUs":0}},"mappings":[{{"name":"a","path":"/a/*","pool":"{}","queueUs":0{}}}]}})",
                service, home.empty() ? ",\"spill\":[" + sp + "]" : ",\"home\":" + jsonQuote(home))));
        auto v = std::vector<std::array<std::string, 5>>();
        for (auto i = 0; i < 6; i++)
            v.push_back({fmt::format("s{}", i), any(names), fmt::format("z{}", g.below(2)),
                fmt::format("p{}", g.below(2)), "w"});
        r.list(v);
        auto gone = fmt::format("s{}", g.below(6));
        r.n->mark(99, gone, ++r.rev, r.now);
        auto z = fmt::format("z{}", g.below(2));
        auto evacuated = g.chance(.5);
        if (evacuated) r.n->order(98, "empty", "e", bodyOf({{"district", jsonQuote(z)}}), r.now);
        r.run(2 * SECOND);
        for (auto i = 0; i < 20; i++) {
            auto from = any(names);
            // The plain reading: who may take it at all, and whether near ones come first.
            auto may = std::set<std::string>(), near = std::set<std::string>();
            for (auto& s : v) {
                auto h = home == "@near" ? from : home;
                if (s[3] != service || s[0] == gone || (evacuated && s[2] == z)) continue;
                if (!h.empty() ? s[1] != h
                               : s[1] != from && std::find(spill.begin(), spill.end(), s[1]) == spill.end())
                    continue;
                may.insert(s[0]);
                if (s[1] == from) near.insert(s[0]);
            }
            auto n = r.sends.size();
            auto id = r.e->accept("POST", "/a/b", {{"X-Region", from}}, "b", r.now);
            if (may.empty()) {
                none++;
                CHECK_EQ(n, r.sends.size());
                CHECK_EQ(503, r.replies[id].first);
            } else {
                picked++;
                CHECK_EQ(n + 1, r.sends.size());
                CHECK(may.count(r.sends.back().second));
                CHECK(near.empty() || !home.empty() || near.count(r.sends.back().second));
                CHECK(r.e->confirmSend(id, 1, r.now));
                r.e->onResponse(id, 1, 200, {}, "x", r.now);
            }
            r.run(20 * MILLISECOND);
        }
    }
    CHECK(picked > 100);
    CHECK(none > 50);
}

}  // namespace duneturn
