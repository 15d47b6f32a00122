// An edge behind another wire: placement, retries, streams, queues, budgets and cold servers.
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fixture.hpp"
#include "state/configuration_validation.hpp"

namespace duneturn {
namespace {

using Rig = EdgeFixture;

}  // namespace

TEST(EdgePlatform, sendsAndReplies) {
    auto r = Rig();
    auto early = r.ask("/a/x");
    CHECK_EQ(503, r.fate(early));  // no configuration yet
    CHECK(get(r.replies[early].h, "Retry-After") != "-");
    CHECK_EQ(200, r.config(one(R"(,"MaxTries":2,"urgency":9,"deadlineUs":5000000)")));
    r.list({{"x"}});
    CHECK_EQ(404, r.fate(r.ask("/b/x")));
    CHECK_EQ(404, r.fate(r.ask("/a/x", {}, "other.example")));
    CHECK_EQ(400, r.fate(r.e->accept("POST", "/a/x", {{"Host", "h.example"}}, "", r.now)));
    auto x = r.ask("/a/x?q=1",
        {{"X-Left", "900"}, {"Connection", "close, X-Mine"}, {"X-Mine", "1"}, {"X-Else", "2"}, {"Te", "x"}},
        "H.example:80");
    CHECK(r.go(x));
    auto h = r.e->outgoing(*r.e->find(x), r.now + 100 * MILLISECOND);
    CHECK_EQ(std::string("H.example:80"), get(h, "Host"));
    CHECK_EQ(r.e->find(x)->exid, get(h, "X-Try"));
    CHECK_EQ(std::string("x"), get(h, "X-For"));
    CHECK_EQ(std::string("800"), get(h, "X-Left"));
    CHECK_EQ(std::string("0"), get(h, "X-Urgency"));
    CHECK_EQ(std::string("2"), get(h, "X-Else"));
    for (auto k : {"Connection", "X-Mine", "Te"}) CHECK_EQ(std::string("-"), get(h, k));
    auto back = r.acks(x, {{"X-Seal", "s"}, {"Keep-Alive", "3"}, {"Content-Length", "4"}});
    CHECK(r.e->upHead(x, 1, 201, back, r.now));
    r.e->upWhole(x, 1, 201, back, "body", r.now);
    CHECK_EQ(201, r.fate(x));
    CHECK_EQ(std::string("s"), get(r.replies[x].h, "X-Seal"));
    CHECK_EQ(std::size_t(2), r.replies[x].h.size());
    // Its own failure is passed on; what promises that nothing ran is not, unless the server says so.
    auto y = r.ask("/a/x");
    CHECK(r.go(y));
    r.e->upWhole(y, 1, 500, r.acks(y), "oops", r.now);
    CHECK_EQ(500, r.fate(y));
    CHECK_EQ(std::string("oops"), r.replies[y].body);
    auto z = r.ask("/a/x");
    CHECK(r.go(z));
    r.e->upWhole(z, 1, 503, r.acks(z), "", r.now);
    CHECK_EQ(502, r.fate(z));
    auto w = r.ask("/a/x");
    CHECK(r.go(w));
    r.e->upWhole(w, 1, 503, {{"X-Not-Run", "1"}}, "", r.now);
    CHECK_EQ(503, r.fate(w));
    CHECK_EQ(std::string("true"), get(r.replies[w].h, "X-Not-Run"));
    // Another's reply, and a success that says not whose it is.
    for (auto& o : {Headers{{"X-Try", "t1"}}, Headers{}}) {
        auto v = r.ask("/a/x");
        CHECK(r.go(v));
        CHECK(!r.e->upHead(v, 1, 200, o, r.now));
        CHECK_EQ(502, r.fate(v));
    }
    // The shorter of both deadlines; what ran is not told to come back.
    auto d = r.ask("/a/x", {{"X-Left", "300"}});
    CHECK(r.go(d));
    r.run(280 * MILLISECOND);
    CHECK_EQ(0, r.fate(d));
    r.run(60 * MILLISECOND);
    CHECK_EQ(504, r.fate(d));
    auto l = r.ask("/a/x", {{"X-Left", "30000"}});
    CHECK(r.go(l));
    r.run(4900 * MILLISECOND);
    CHECK_EQ(0, r.fate(l));
    r.run(200 * MILLISECOND);
    CHECK_EQ(504, r.fate(l));
    r.e->drain();
    auto on = r.ask("/a/x");
    CHECK_EQ(0, r.fate(on));
    r.e->refuseNew();
    CHECK_EQ(503, r.fate(r.ask("/a/x")));
    CHECK_EQ(0, r.fate(on));
    CHECK_EQ(std::int64_t(0), r.ct.get("illegal_transitions_total"));
}

TEST(EdgePlatform, streams) {
    auto r = Rig();
    CHECK_EQ(200,
        r.config(one(R"(,"stream":true,"Resumable":true,"MaxTries":3},
      {"name":"n","host":"h.example","method":"*","path":"/n/*","pool":"p","stream":true,"MaxTries":3},
      {"name":"p","host":"h.example","method":"*","path":"/p/*","pool":"p","repeatable":true,"MaxTries":3)",
            R"(,"models":{"m":{"migrationLimit":2,"maxSequence":40}},"pools":{"p":{"stride":6}})")));
    r.list({{"x"}, {"y"}});
    auto m = Headers{{"X-Model", "m"}, {"X-Tokens", "10,20"}};
    // Ids rise, by whatever; the end of the message is the end.
    auto x = r.ask("/a/1", m);
    CHECK(r.go(x));
    CHECK(r.e->upHead(x, 1, 200, r.acks(x, {{"X-Seal", "1"}}), r.now));
    for (auto i : {"3", "5", "6"}) r.event(x, i);
    auto first = r.last().server;
    r.e->upLost(x, 1, "reset", r.now);
    CHECK(r.last().server != first);
    CHECK(r.go(x));
    CHECK_EQ(std::string("6"), get(r.e->outgoing(*r.e->find(x), r.now), "Last-Event-Id"));
    CHECK(r.e->upHead(x, r.last().a, 200, r.acks(x, {{"X-Seal", "2"}}), r.now));
    r.event(x, "9");
    r.e->upEnd(x, r.last().a, r.now);
    CHECK_EQ(1, r.fate(x));
    CHECK_EQ(std::string("1"), get(r.heads[x].second, "X-Seal"));
    CHECK_EQ(
        std::string("id: 3\ndata: d\n\nid: 5\ndata: d\n\nid: 6\ndata: d\n\nid: 9\ndata: d\n\n"), r.parts[x]);
    // An id that does not rise, and garbage, cut it.
    for (auto bad : {"5", "4", "x", ""}) {
        auto y = r.ask("/a/1", m);
        CHECK(r.go(y));
        CHECK(r.e->upHead(y, 1, 200, r.acks(y), r.now));
        r.event(y, "5");
        r.event(y, bad, "");
        CHECK_EQ(2, r.fate(y));
        CHECK_EQ(std::string("id: 5\ndata: d\n\n"), r.parts[y]);
    }
    // Not past the maximum sequence, not without a limit of its model, not what cannot be resumed.
    auto lost = [&](const std::string& p, const Headers& h, int events) {
        auto y = r.ask(p, h);
        CHECK(r.go(y));
        CHECK(r.e->upHead(y, 1, 200, r.acks(y), r.now));
        for (auto i = 1; i <= events; i++) r.event(y, fmt::to_string(i));
        auto k = r.sends.size();
        r.e->upLost(y, 1, "reset", r.now);
        CHECK_EQ(r.sends.size() > k ? 0 : events ? 2 : 502, r.fate(y));
        r.e->gone(y, r.now);
        return r.sends.size() > k;
    };
    CHECK(lost("/a/1", m, 5));
    CHECK(lost("/a/1", m, 0));
    CHECK(!lost("/a/1", m, 6));
    CHECK(!lost("/a/1", {{"X-Model", "other"}}, 2));
    CHECK(!lost("/n/1", m, 2));
    CHECK(!lost("/n/1", m, 0));
    // What may be repeated is not joined: its events are no stream that can be resumed.
    auto p = r.ask("/p/1");
    CHECK(r.go(p));
    CHECK(r.e->upHead(p, 1, 200, r.acks(p), r.now));
    r.event(p, "1");
    r.e->upLost(p, 1, "reset", r.now);
    CHECK_EQ(2, r.fate(p));
    // A sender's own resumption is a first send and passes on what it says.
    auto ct = r.ct.get("extra_sends_total");
    auto z = r.ask("/a/1", {{"X-Model", "m"}, {"Last-Event-Id", "7"}});
    CHECK(r.go(z));
    CHECK_EQ(std::string("7"), get(r.e->outgoing(*r.e->find(z), r.now), "Last-Event-Id"));
    CHECK_EQ(ct, r.ct.get("extra_sends_total"));
    CHECK(r.e->upHead(z, 1, 200, r.acks(z), r.now));
    auto k = r.sends.size();
    r.event(z, "7");  // it began anew; another server may do better
    CHECK_EQ(k + 1, r.sends.size());
    auto v = r.ask("/n/1", {{"Last-Event-Id", "q 7"}});
    CHECK(r.go(v));
    CHECK_EQ(std::string("q 7"), get(r.e->outgoing(*r.e->find(v), r.now), "Last-Event-Id"));
}

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
        auto ru = compile(d, 1);
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
    auto best = 1e9;
    auto ru = Rules();
    for (auto k = 0; k < 5; k++) {
        auto a = clock();
        CHECK(validateConfiguration(d).empty());
        ru = compile(d, 1);
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

// Whatever is listed or ordered between the pick and the send.
TEST(EdgePlatform, fuzzHomes) {
    auto g = RandomSource{9};
    auto sent = 0, held = 0;
    for (auto k = 0; k < 20; k++) {
        auto r = Rig();
        auto homes = std::vector<std::vector<std::string>>{{"near"}, {"far"}, {"near", "far"}, {"off"}, {}};
        auto at = std::size_t(0);
        auto give = [&] {
            at = g.below(homes.size());
            auto t = std::string();
            for (auto& h : homes[at]) t += (t.empty() ? "" : ",") + jsonQuote(h);
            CHECK_EQ(200, r.config(one(R"(,"MaxTries":4,"repeatable":true,"homes":[)" + t + "]")));
        };
        auto ls = std::vector<Rig::S>();
        auto list = [&] {
            ls.clear();
            for (auto i = 0; i < 5; i++)
                if (g.chance(.8))
                    ls.push_back(
                        {fmt::format("s{}", i), std::string(std::array{"near", "far", "off"}[g.below(3)]),
                            g.chance(.8) ? "p" : "q", "z", 40});
            r.list(ls, 0);
        };
        give();
        list();
        auto open = std::vector<std::int64_t>();
        for (auto i = 0; i < 60; i++) {
            open.push_back(r.ask("/a/x"));
            if (g.chance(.3)) list();
            if (g.chance(.05)) give();
            for (auto n = r.sends.size(), j = std::size_t(0); j < r.sends.size() && j < n + 40; j++) {
                auto s = r.sends[j];
                auto x = r.e->find(s.x);
                if (!x || x->a != s.a || x->attempt.written()) continue;
                if (g.chance(.4)) {
                    r.e->refused(s.x, s.a, r.now);
                } else if (r.e->maySend(s.x, s.a, r.now)) {
                    sent++;
                    auto l = std::find_if(ls.begin(), ls.end(), [&](auto& v) { return v.name == s.server; });
                    CHECK(l != ls.end());
                    CHECK_EQ(std::string("p"), l->service);
                    auto& h = homes[at];
                    CHECK(h.empty() || std::find(h.begin(), h.end(), l->region) != h.end());
                    if (g.chance(.5)) r.ok(s.x);
                } else held++;
            }
            r.run(20 * MILLISECOND);
        }
    }
    CHECK(sent > 300 && held > 20);
}

TEST(EdgePlatform, anotherServerHasTheAddress) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one(R"(,"MaxTries":2)")));
    r.list({{"x"}, {"y"}});
    auto x = r.ask("/a/x");
    CHECK(r.go(x));
    auto bad = r.last().server;
    r.e->upWhole(x, r.last().a, 421, {{"X-Server", "other"}}, "", r.now);
    CHECK(r.last().server != bad);
    CHECK(r.go(x));
    r.ok(x);
    CHECK_EQ(200, r.fate(x));
    for (auto i = 0; i < 20; i++) {
        auto y = r.ask("/a/x");
        CHECK(r.last().server != bad);
        CHECK(r.go(y));
        r.ok(y);
    }
    r.listed.clear();
    r.run(6 * SECOND);  // not by time alone
    for (auto i = 0; i < 20; i++) {
        auto y = r.ask("/a/x");
        CHECK(r.last().server != bad);
        CHECK(r.go(y));
        r.ok(y);
    }
    // Listed again it is asked again; where it says the same again, less often.
    r.list({{"x"}, {"y"}});
    auto rejected = 0;
    for (auto i = 0; i < 100; i++) {
        auto y = r.ask("/a/x");
        CHECK(r.go(y));
        if (r.last().server == bad) {
            rejected++;
            r.e->upWhole(y, r.last().a, 421, {}, "", r.now);
            CHECK(r.go(y));
        }
        r.ok(y);
        r.list({{"x"}, {"y"}}, 20 * MILLISECOND);
    }
    CHECK(rejected >= 1 && rejected <= 4);
    r.run(8 * SECOND);
    r.list({{"x"}, {"y"}});
    auto seen = 0;
    for (auto i = 0; i < 40; i++) {
        auto y = r.ask("/a/x");
        seen += r.last().server == bad;
        CHECK(r.go(y));
        r.ok(y);
    }
    CHECK(seen > 5);
}

// Nothing that may not be repeated runs twice, and no promise is broken, whatever is lost when.
TEST(EdgePlatform, fuzzRuns) {
    auto g = RandomSource{31};
    auto again = 0, promises = 0, wholes = 0, cuts = 0;
    auto broke = 0;
    for (auto k = 0; k < 40; k++) {
        auto r = Rig();
        r.e->broken.resendAny = k == 39;
        auto conf = [&](int v) {
            return fmt::format(
                R"({{"budget":{{"slack":500,"share":0.2}},"models":{{"m":{{"migrationLimit":3}}}},"mappings":[
              {{"name":"e","path":"/e","pool":"p","MaxTries":{0}}},
              {{"name":"s","path":"/s","pool":"p","MaxTries":{0},"repeatable":true}},
              {{"name":"n","path":"/n","pool":"p","MaxTries":{0},"stream":true}},
              {{"name":"r","path":"/r","pool":"p","MaxTries":{0},"stream":true,"Resumable":true,"idleUs":300000}}]}})",
                v);
        };
        CHECK_EQ(200, r.config(conf(3)));
        auto ls = std::vector<Rig::S>{{"a", "near", "p", "z", 9}, {"b", "near", "p", "z", 9},
            {"c", "near", "p", "z", 9}, {"d", "far", "p", "z", 9}};
        r.list(ls);
        struct X {
            std::string path;
            int runs = 0, sends = 0, most = 3;
            std::int64_t given = -1;
            bool over = false;
        };
        auto xs = std::map<std::int64_t, X>();
        for (auto i = 0; i < 150; i++) {
            auto p = std::string(std::array{"/e", "/s", "/n", "/r"}[g.below(4)]);
            auto id = r.ask(p, p == "/r" || p == "/n" ? Headers{{"X-Model", "m"}} : Headers{});
            xs[id].path = p;
            for (auto& [x, v] : xs) {
                auto e = r.e->find(x);
                if (!e || r.fate(x) || e->phase() == Phase::Queued || g.chance(.4)) continue;
                auto a = e->a;
                if (!e->attempt.written()) {
                    if (g.chance(.2)) r.e->refused(x, a, r.now);
                    else if (g.chance(.1)) r.e->upLost(x, a, "broke", r.now);
                    else if (r.e->maySend(x, a, r.now)) {
                        v.runs++, v.sends++;
                        if (v.sends > v.most && k != 39) CHECK(false);
                        if (v.path == "/r") {
                            auto l = get(r.e->outgoing(*r.e->find(x), r.now), "Last-Event-Id");
                            CHECK_EQ(v.given < 0 ? std::string("-") : fmt::to_string(v.given), l);
                        }
                    }
                    continue;
                }
                auto deny = [&](int s) {
                    v.runs--;
                    r.e->upWhole(x, a, s,
                        s == 421 && g.chance(.5) ? Headers{} : r.acks(x, {{"X-Not-Run", "1"}}), "", r.now);
                };
                auto h = r.acks(x, {{"X-Load", fmt::format("{},{},9", g.below(9), g.below(3))}});
                switch (g.below(v.path == "/e" || v.path == "/s" ? 8 : 13)) {
                case 0: r.e->upLost(x, a, "reset", r.now); break;
                case 1: deny(e->headSent ? 421 : 503); break;
                case 2: deny(421); break;
                case 3: r.e->upHead(x, a, 200, {{"X-Try", "not this"}}, r.now); break;
                case 4: r.e->upHead(x, a, 200, {}, r.now); break;
                case 5: r.e->upWhole(x, a, int(500 + 4 * g.below(2)), h, "", r.now); break;
                case 6: r.e->upWhole(x, a, std::array{503, 429, 408}[g.below(3)], h, "", r.now); break;
                case 7:
                    if (v.path == "/e" || v.path == "/s") r.ok(x);
                    else r.e->upHead(x, a, 200, h, r.now);
                    break;
                case 8: r.e->upEnd(x, a, r.now); break;
                case 9:
                    if (v.given >= 0) r.event(x, g.chance(.5) ? "0" : "?");
                    break;
                default:
                    if (!r.e->upHead(x, a, 200, h, r.now)) break;
                    v.given = std::max<std::int64_t>(0, v.given) + 1 + std::int64_t(g.below(3));
                    r.event(x, fmt::to_string(v.given));
                }
            }
            for (auto& [x, v] : xs) {
                auto f = r.fate(x);
                if (k == 39) {
                    broke += (v.path == "/e" || v.path == "/n") && v.runs > 1;
                    continue;
                }
                if (v.path == "/e" || v.path == "/n") {
                    CHECK(v.runs <= 1);
                    if (f == 503 || f == 429 || f == 408 || f == 421) CHECK_EQ(0, v.runs);
                    if (f == 503 && r.replies[x].h.size() > 1) CHECK(get(r.replies[x].h, "X-Not-Run") != "-");
                } else again += v.runs > 1 && !v.over;
                if (!f || v.over) continue;
                v.over = true;
                promises += f == 503;
                wholes += f == 1 || f == 200;
                cuts += f == 2;
                CHECK(!r.e->find(x) || r.e->find(x)->phase() == Phase::Finished);
                auto e = r.e->find(x);
                CHECK(!r.e->maySend(x, e ? e->a : 1, r.now));  // nothing runs later
            }
            if (g.chance(.05)) r.config(conf(3));
            if (g.chance(.1)) r.list(ls, 0);
            r.run(20 * MILLISECOND * Microseconds(1 + g.below(8)));
        }
        r.run(40 * SECOND);
        CHECK_EQ(std::size_t(0), r.e->busy());
        CHECK_EQ(0, r.e->inflightNow());
        CHECK_EQ(std::size_t(0), r.e->queuedNow());
        CHECK_EQ(std::int64_t(0), r.ct.get("illegal_transitions_total"));
    }
    CHECK(again > 100 && promises > 100 && wholes > 100 && cuts > 50);
    CHECK(broke > 0);
}

// A stream that was moved is what one run would have been, to the byte.
TEST(EdgePlatform, fuzzJoined) {
    auto g = RandomSource{77};
    auto moved = 0, whole = 0;
    for (auto k = 0; k < 10; k++) {
        auto r = Rig();
        CHECK_EQ(200,
            r.config(one(R"(,"stream":true,"Resumable":true,"MaxTries":64)",
                R"(,"models":{"m":{"migrationLimit":16}})")));
        r.list({{"x", "near", "p", "z", 50}, {"y", "near", "p", "z", 50}, {"w", "near", "p", "z", 50}});
        r.run(3 * SECOND);
        for (auto i = 0; i < 30; i++) {
            auto ids = std::vector<std::int64_t>();
            for (auto j = 0, at = 0; j < 12; j++) ids.push_back(at += 1 + int(g.below(4)));
            auto from = g.chance(.3) ? g.below(12) : 0;
            auto h = Headers{{"X-Model", "m"}};
            if (from) h.emplace_back("Last-Event-Id", fmt::to_string(ids[from - 1]));
            auto x = r.ask("/a/x", h);
            auto want = std::string();
            for (auto j = from; j < 12; j++) want += fmt::format("id: {}\ndata: d\n\n", ids[j]);
            while (!r.fate(x) && r.e->find(x)->phase() == Phase::Sending) {
                auto a = r.e->find(x)->a;
                CHECK(r.e->maySend(x, a, r.now));
                auto l = get(r.e->outgoing(*r.e->find(x), r.now), "Last-Event-Id");
                auto j = l == "-"
                    ? std::size_t(0)
                    : std::size_t(std::find(ids.begin(), ids.end(), std::stoll(l)) - ids.begin()) + 1;
                CHECK(j <= 12);
                if (!r.e->upHead(x, a, 200, r.acks(x), r.now)) continue;
                auto lost = false;
                for (; j < 12 && !lost; j++) {
                    r.event(x, fmt::to_string(ids[j]));
                    lost = g.chance(.1);
                }
                if (lost) r.e->upLost(x, a, "reset", r.now), moved++;
                else r.e->upEnd(x, a, r.now);
            }
            if (r.fate(x) == 1) {
                whole++;
                CHECK_EQ(want, r.parts[x]);
            } else CHECK(want.starts_with(r.parts[x]));
            r.run(100 * MILLISECOND);
        }
    }
    CHECK(moved > 50);
    CHECK(whole > 150);
}

TEST(EdgePlatform, silenceEndsNothing) {
    auto r = Rig();
    CHECK_EQ(200,
        r.config(one(R"(,"stream":true,"Resumable":true,"MaxTries":3,"idleUs":500000,"deadlineUs":6000000},
      {"name":"e","path":"/e","pool":"p","MaxTries":3,"idleUs":500000,"deadlineUs":6000000)",
            R"(,"models":{"m":{"migrationLimit":2}})")));
    r.list({{"x"}});
    r.run(2 * SECOND);
    auto e = r.ask("/e");
    CHECK(r.go(e));
    auto x = r.ask("/a/x", {{"X-Model", "m"}});
    CHECK(r.go(x));
    r.run(2 * SECOND);
    auto n = r.sends.size();
    CHECK_EQ(std::size_t(2), n);  // no other server: it waits on
    CHECK_EQ(0, r.fate(x));
    r.list({{"x"}, {"y"}}, 500 * MILLISECOND);
    CHECK_EQ(n + 1, r.sends.size());
    CHECK_EQ(x, r.last().x);
    CHECK_EQ(std::string("y"), r.last().server);
    CHECK(r.go(x));
    r.ok(x);
    r.run(3200 * MILLISECOND);
    CHECK_EQ(0, r.fate(e));
    r.run(600 * MILLISECOND);
    CHECK_EQ(504, r.fate(e));
}

TEST(EdgePlatform, refusedConnections) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one(R"(,"MaxTries":1)")));
    r.list({{"x"}, {"y"}, {"z"}, {"w"}, {"v"}, {"u"}});
    auto x = r.ask("/a/x");
    for (auto i = 0; i < 3; i++) {
        r.e->refused(x, r.last().a, r.now);
        CHECK_EQ(std::size_t(2 + i), r.sends.size());
    }
    CHECK_EQ(std::int64_t(0), r.ct.get("extra_sends_total"));
    r.e->refused(x, r.last().a, r.now);
    CHECK_EQ(503, r.fate(x));
    CHECK_EQ(std::string("true"), get(r.replies[x].h, "X-Not-Run"));
    // Those four are left alone for a while, and then asked one at a time.
    auto bad = std::set<std::string>();
    for (auto& s : r.sends) bad.insert(s.server);
    for (auto i = 0; i < 6; i++) {
        r.ask("/a/x");
        CHECK(!bad.count(r.last().server));
    }
}

// A long body takes a while to arrive; the time that the client gave runs meanwhile.
TEST(EdgePlatform, timeRunsFromTheFirstByte) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one(R"(,"deadlineUs":2000000)")));
    r.list({{"x"}});
    auto headers = Headers{{"Host", "h.example"}, {"X-Try", "t"}, {"X-Left", "1500"}};
    auto x = r.e->accept("POST", "/a/x", headers, "body", r.now, r.now - 600 * MILLISECOND);
    CHECK(r.go(x));
    CHECK_EQ(std::string("900"), get(r.e->outgoing(*r.e->find(x), r.now), "X-Left"));
    r.run(960 * MILLISECOND);
    CHECK_EQ(504, r.fate(x));
    auto late = r.e->accept("POST", "/a/x", headers, "body", r.now, r.now - 2 * SECOND);
    CHECK(!r.go(late));
    CHECK_EQ(503, r.fate(late));
}

// What was sent as not repeatable stays so, whatever a newer configuration says of its path.
TEST(EdgePlatform, sentOnceStaysOnce) {
    auto repeatable = std::string(R"(,"MaxTries":3,"repeatable":true)");
    for (auto first : {std::string(R"(,"MaxTries":3)"), repeatable}) {
        auto r = Rig();
        CHECK_EQ(200, r.config(one(first)));
        r.list({{"x"}, {"y"}});
        auto x = r.ask("/a/x");
        CHECK(r.go(x));
        CHECK_EQ(200, r.config(one(repeatable)));
        auto sends = r.sends.size();
        r.e->upLost(x, r.last().a, "reset", r.now);
        CHECK_EQ(first == repeatable, r.sends.size() > sends);
        CHECK_EQ(first == repeatable ? 0 : 502, r.fate(x));
    }
}

// On a used connection an answer must say whose it is, also a failure.
TEST(EdgePlatform, namelessAnswersOnUsedConnections) {
    for (auto used : {false, true}) {
        auto r = Rig();
        CHECK_EQ(200, r.config(one(R"(,"MaxTries":2,"repeatable":true)")));
        r.list({{"x"}});
        auto x = r.ask("/a/x");
        CHECK(r.e->maySend(x, r.last().a, r.now, used));
        r.e->upWhole(x, r.last().a, 404, {{"X-Seal", "1"}}, "of another", r.now);
        CHECK_EQ(!used, r.fate(x) == 404);
    }
    // What may not be repeated does not go on one at all.
    auto r = Rig();
    CHECK_EQ(200, r.config(one("")));
    r.list({{"x"}});
    auto x = r.ask("/a/x");
    CHECK(!r.e->maySend(x, r.last().a, r.now, true));
    CHECK_EQ(std::size_t(2), r.sends.size());
    CHECK(r.go(x));
}

// Where the configuration says nothing of silence: while it may still come in time. What has not
// left yet goes elsewhere in any case, for nothing can have run.
TEST(EdgePlatform, darkServers) {
    auto r = Rig();
    CHECK_EQ(200,
        r.config(one(R"(,"stream":true,"Resumable":true,"MaxTries":2,"aimUs":1000000,"gapUs":400000},
      {"name":"e","path":"/e","pool":"p","MaxTries":1,"aimUs":1000000)",
            R"(,"models":{"m":{"migrationLimit":1}})")));
    r.list({{"x"}, {"y"}});
    r.run(2 * SECOND);
    auto e = r.ask("/e");
    auto was = r.last();
    r.run(380 * MILLISECOND);
    CHECK_EQ(was.a, r.last().a);
    r.run(60 * MILLISECOND);
    CHECK_EQ(e, r.last().x);
    CHECK(r.last().server != was.server);
    CHECK(!r.e->maySend(e, was.a, r.now));
    CHECK(r.go(e));
    CHECK_EQ(std::int64_t(0), r.ct.get("extra_sends_total"));
    auto n = r.sends.size();
    r.run(3 * SECOND);
    CHECK_EQ(n, r.sends.size());  // now it may run
    CHECK_EQ(0, r.fate(e));
    r.ok(e);
    r.run(5 * SECOND);
    auto x = r.ask("/a/x", {{"X-Model", "m"}});
    CHECK(r.go(x));
    r.run(760 * MILLISECOND);
    CHECK_EQ(n + 2, r.sends.size());
    CHECK(r.go(x));
    auto y = r.ask("/a/x", {{"X-Model", "m"}});
    CHECK(r.go(y));
    CHECK(r.e->upHead(y, r.last().a, 200, r.acks(y), r.now));
    r.event(y, "1");
    r.run(220 * MILLISECOND);
    CHECK_EQ(n + 3, r.sends.size());
    r.run(100 * MILLISECOND);
    CHECK_EQ(n + 4, r.sends.size());
    CHECK_EQ(y, r.last().x);
}

// No room: a short wait, then the reply, at once and with its promise. More urgent work first.
TEST(EdgePlatform, queues) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one(R"(,"aimUs":1000000,"urgency":5},
      {"name":"u","path":"/u","pool":"p","aimUs":1000000,"urgency":9)")));
    r.list({{"x"}});
    auto in = std::vector<std::int64_t>();
    for (auto i = 0; i < 5; i++) {  // four slots, and one that it may queue itself
        in.push_back(r.ask("/a/x"));
        CHECK(r.go(in.back()));
    }
    auto a = r.ask("/a/x"), b = r.ask("/u");
    CHECK_EQ(std::size_t(5), r.sends.size());
    r.ok(in[0]);
    CHECK_EQ(std::size_t(6), r.sends.size());  // not only at the next tick
    CHECK_EQ(b, r.last().x);
    r.run(180 * MILLISECOND);
    CHECK_EQ(0, r.fate(a));
    r.run(60 * MILLISECOND);
    CHECK_EQ(503, r.fate(a));
    auto t = std::stod(get(r.replies[a].h, "Retry-After"));
    CHECK(t > 0.1 && t < 0.6);
    CHECK_EQ(std::string("true"), get(r.replies[a].h, "X-Not-Run"));
    // What the server says of itself counts too.
    r.run(10 * SECOND);
    for (auto i = 1; i < 5; i++) r.e->gone(in[std::size_t(i)], r.now);
    r.e->gone(b, r.now);
    r.run(100 * MILLISECOND);
    auto y = r.ask("/a/x");
    CHECK(r.go(y));
    r.ok(y, {{"X-Load", "4,2,4"}});
    auto n = r.sends.size();
    r.ask("/a/x");
    r.run(100 * MILLISECOND);
    CHECK_EQ(n, r.sends.size());
}

namespace {
// Several edges of one fleet, each with its own knowledge, and what all of them sent.
struct Fleet {
    std::vector<std::unique_ptr<Rig>> es;
    std::vector<std::size_t> seen;
    explicit Fleet(int n, const std::string& conf, const std::vector<Rig::S>& ls) {
        for (auto i = 0; i < n; i++)
            es.push_back(std::make_unique<Rig>(fmt::format("n{}", i), n - 1, 100 + i));
        for (auto& r : es) {
            CHECK_EQ(200, r->config(conf));
            r->list(ls);
        }
        for (auto& r : es) r->run(4 * SECOND), seen.push_back(r->sends.size());
    }
    auto now() const -> Microseconds { return es[0]->now; }
    /// What edge `i` began since it was last asked.
    auto withinLease(std::size_t i) -> std::vector<Sent> {
        auto& r = *es[i];
        auto o = std::vector<Sent>(r.sends.begin() + std::ptrdiff_t(seen[i]), r.sends.end());
        seen[i] = r.sends.size();
        return o;
    }
    auto step() -> void {
        for (auto& r : es) r->step();
    }
};
// The most events of `v` in any span of that length.
auto densest(std::vector<Microseconds> v, Microseconds span) -> std::size_t {
    std::sort(v.begin(), v.end());
    auto m = std::size_t(0), j = std::size_t(0);
    for (auto i = std::size_t(0); i < v.size(); i++) {
        while (v[i] - v[j] >= span) j++;
        m = std::max(m, i - j + 1);
    }
    return m;
}
}  // namespace

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
        auto f = Fleet(c.nodes, conf, {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}});
        for (auto& r : f.es) {
            r->e->broken.noRamp = c.broken;
            r->chill("c", r->now + 60 * SECOND);
        }
        auto at = std::vector<Microseconds>();
        for (auto t = 0; t < 500; t++) {
            auto crowd = t % 100 < 30 ? .9 : .3;  // a crowd now and then
            for (auto i = std::size_t(0); i < f.es.size(); i++) {
                auto& r = *f.es[i];
                for (auto k = 0; k < 400 / c.nodes; k++)
                    if (g.chance(crowd * .3)) r.ask("/a/x");
                for (auto& s : f.withinLease(i)) {
                    if (!r.e->maySend(s.x, s.a, r.now)) continue;
                    if (s.server == "c") at.push_back(r.now + Microseconds(g.below(5 * MILLISECOND)));
                    if (g.chance(.7)) r.ok(s.x);
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

// Extra arrivals over all edges, in any ten seconds, against what was asked for there.
TEST(EdgePlatform, fuzzBudget) {
    for (auto broken : {false, true}) {
        auto g = RandomSource{43};
        auto f = Fleet(12,
            R"({"budget":{"slack":64,"share":0.2},"mappings":[
             {"name":"a","path":"/a/*","pool":"p","MaxTries":6,"repeatable":true},
             {"name":"b","path":"/b/*","pool":"q","MaxTries":6,"repeatable":true}]})",
            {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}, {"d", "near", "p", "z", 60},
                {"e", "near", "q", "z", 60}, {"f", "near", "q", "z", 60}});
        auto first = std::map<std::string, std::vector<Microseconds>>(), extra = first;
        for (auto t = 0; t < 1500; t++) {
            for (auto i = std::size_t(0); i < f.es.size(); i++) {
                auto& r = *f.es[i];
                r.e->broken.noBudget = broken;
                if (g.chance(.4)) r.ask("/a/x");  // far more of one pool than of the other
                if (g.chance(.02)) r.ask("/b/x");
                for (auto n = 0; n < 8; n++)
                    for (auto& s : f.withinLease(i)) {
                        if (!r.e->maySend(s.x, s.a, r.now)) continue;
                        auto p = r.e->find(s.x)->m.service;
                        (r.e->find(s.x)->tries == 1 ? first : extra)[p].push_back(r.now);
                        // First only the smaller pool is in trouble, then both.
                        if (t < 700 ? p == "q" : t % 500 < 250 || g.chance(.6))
                            r.e->upLost(s.x, s.a, "reset", r.now);
                        else r.ok(s.x);
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

// 32 shared beginnings of 13,300 tokens over eleven engines with memory for 319,818 tokens: all
// edges send one to the same server, no server is named for too many, and each is read once.
TEST(EdgePlatform, cacheHomes) {
    for (auto random : {false, true}) {
        auto g = RandomSource{51};
        auto ls = std::vector<Rig::S>();
        for (auto i = 0; i < 11; i++) ls.push_back({fmt::format("i-{}", i), "near", "p", "z", 64});
        auto f = Fleet(12,
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
            for (auto i = std::size_t(0); i < f.es.size(); i++) {
                auto& r = *f.es[i];
                r.e->broken.pickRandom = random;
                if (g.chance(8.47 / 50 / 12)) {
                    auto p = int(g.below(32));
                    auto own = r.names;
                    r.ask("/a/x",
                        {{"X-Tokens", "17020,120"},
                            {"X-Parts", fmt::format("{:x}:13300,{:x}:3720", p, 1000 + i * 100000 + own)}});
                }
                if (g.chance(224. / 50 / 12))
                    r.ask("/b/x",
                        {{"X-Tokens", "383,48"},
                            {"X-Parts",
                                fmt::format("{:x}:92,{:x}:291", 500 + g.below(20), 99000000 + r.names)}});
                for (auto& s : f.withinLease(i)) {
                    CHECK(r.e->maySend(s.x, s.a, r.now));
                    auto e = r.e->find(s.x);
                    auto p =
                        e->parts.size() > 1 && e->sharedTokens > 1000 ? get(e->h, "X-Parts") : std::string();
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
                        c[id] = r.now;
                    }
                    r.e->upHead(s.x, s.a, 200, r.acks(s.x, {{"X-Load", load}}), r.now);
                    r.event(s.x, "1");
                    runs.push_back({r.now + lat, i, s.x, s.server});
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
                auto& r = *f.es[v.e];
                r.e->upEnd(v.x, r.e->find(v.x)->a, r.now);
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
        auto ls = std::vector<Rig::S>();
        for (auto i = 0; i < 11; i++) ls.push_back({fmt::format("i-{}", i), "near", "p", "z", 32});
        auto f = Fleet(c.nodes,
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
                for (auto& r : f.es) r->list(ls, 0);
            }
            for (auto i = std::size_t(0); i < f.es.size(); i++) {
                auto& r = *f.es[i];
                r.e->broken.pickRandom = c.how == "random";
                for (auto k = 0; k < 2; k++)
                    if (g.chance(11 * 24 / (0.4 * 50) / c.nodes / 2))
                        refused += r.fate(r.ask("/b/x", {{"X-Tokens", "383,48"}})) != 0;
                for (auto& s : f.withinLease(i)) {
                    CHECK(r.e->maySend(s.x, s.a, r.now));
                    auto n = ++running[s.server];
                    if (t > 100 && t < 400) all++, over += n > 32;
                    if (s.server == "new") c.fresh = std::max(c.fresh, n);
                    r.e->upHead(s.x, s.a, 200, r.acks(s.x, {{"X-Load", fmt::format("{},0,32", n)}}), r.now);
                    runs.push_back({r.now + 400 * MILLISECOND, i, s.x, s.server});
                }
            }
            while (!runs.empty() && runs.front().till <= f.now()) {
                auto v = runs.front();
                runs.pop_front();
                running[v.server]--;
                f.es[v.e]->e->upEnd(v.x, f.es[v.e]->e->find(v.x)->a, f.now());
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

// New among the listed in our time, and nobody says how it is: cold by its pool's time.
TEST(EdgePlatform, newServersAreCold) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one("", R"(,"pools":{"p":{"coldUs":4000000,"coldRate":5}})")));
    r.list({{"x", "near", "p", "z", 90}});
    r.run(3 * SECOND);
    auto in = [&](int steps) {
        auto n = 0;
        for (auto i = 0; i < steps; i++) {
            auto x = r.ask("/a/x");
            CHECK(r.go(x));
            n += r.last().server == "c";
            r.ok(x);
            r.run(20 * MILLISECOND);
        }
        return n;
    };
    r.list({{"x", "near", "p", "z", 90}, {"c", "near", "p", "z", 90}}, 20 * MILLISECOND);
    auto n = in(50);
    CHECK(n >= 2 && n <= 6);
    in(160);
    CHECK(in(50) > 12);
    // A reply may tell that it is cold again.
    auto x = r.ask("/a/x");
    CHECK(r.go(x));
    auto who = r.last().server;
    r.ok(x, {{"X-Cold", "3000"}});
    auto k = 0;
    for (auto i = 0; i < 50; i++) {
        auto y = r.ask("/a/x");
        CHECK(r.go(y));
        k += r.last().server == who;
        r.ok(y);
        r.run(20 * MILLISECOND);
    }
    CHECK(k <= 6);
}

// Short prompts go round a server that reads a long one; the near region comes first, until it
// is much fuller than another.
TEST(EdgePlatform, shortPromptsAndRegions) {
    auto r = Rig();
    CHECK_EQ(200, r.config(one(R"(,"aimUs":800000)", R"(,"pools":{"p":{"engine":true,"kvTokens":300000}})")));
    r.list({{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
    auto big = r.ask("/a/x", {{"X-Tokens", "17000,10"}, {"X-Parts", "a1:13000,b2:4000"}});
    CHECK(r.go(big));
    auto reading = r.last().server;
    // The other server holds more, but reads nothing.
    auto o = r.ask("/a/x", {{"X-Tokens", "300,10"}});
    CHECK(r.go(o));
    CHECK(r.last().server != reading);
    r.ok(o, {{"X-Load", "4,0,10"}});
    for (auto i = 0; i < 5; i++) {
        auto x = r.ask("/a/x", {{"X-Tokens", "300,10"}});
        CHECK(r.go(x));
        CHECK(r.last().server != reading && r.last().server != "f");
        r.ok(x);
    }
    // The same beginning again goes where it was read.
    for (auto i = 0; i < 3; i++) {
        auto x = r.ask("/a/x", {{"X-Tokens", "14000,10"}, {"X-Parts", fmt::format("A1:13000,c{}:1000", i)}});
        CHECK(r.go(x));
        CHECK_EQ(reading, r.last().server);
        r.ok(x);
    }
    auto far = 0, before = 0;
    for (auto i = 0; i < 30; i++) {
        auto x = r.ask("/a/x", {{"X-Tokens", "300,10"}});
        if (r.fate(x) || r.e->find(x)->phase() != Phase::Sending) break;
        CHECK(r.go(x));
        far += r.last().server == "f";
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
        auto r = Rig();
        CHECK_EQ(200, r.config(conf));
        r.list({{"x", "near", "p", "z", 10}, {"y", "near", "p", "z", 10}, {"f", "far", "p", "z", 10}});
        for (auto i = 0; i < 60; i++) {
            auto x = r.ask(bound ? "/a/x" : "/l/x", {{"X-Tokens", "300,10"}});
            CHECK(r.go(x));
            CHECK(!bound || r.last().server != "f");
            r.ok(x);
        }
        auto far = 0;
        for (auto i = 0; i < 4; i++) {
            auto x = r.ask(
                "/l/x", {{"X-Tokens", "17000,10"}, {"X-Parts", fmt::format("a{}:13000,b{}:4000", i, i)}});
            CHECK(r.go(x));
            far += r.last().server == "f";
            r.ok(x);
        }
        CHECK_EQ(bound ? 4 : 0, far);
    }
}

// Each pool gets its share, and a further try with another name may draw the other pool.
TEST(EdgePlatform, weightedPools) {
    auto r = Rig();
    auto d = one("");
    d.replace(d.find(R"("pool":"p")"), 10,
        R"("pools":[{"pool":"p","share":90},{"pool":"q","share":10},{"pool":"o","share":0}])");
    CHECK_EQ(200, r.config(d));
    r.list({{"x", "near", "p"}, {"y", "near", "q"}, {"z", "near", "o"}});
    auto n = std::map<std::string, int>();
    for (auto i = 0; i < 2000; i++) {
        auto x = r.ask("/a/x");
        CHECK(r.go(x));
        n[r.last().server]++;
        r.ok(x);
        if (i % 100 == 0) r.run(20 * MILLISECOND);
    }
    CHECK(n["x"] > 1700 && n["y"] > 120);
    CHECK_EQ(0, n["z"]);
}

}  // namespace duneturn
