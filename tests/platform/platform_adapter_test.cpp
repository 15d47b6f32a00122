// The platform's interfaces over a shell whose word is the product's own.
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "platform.hpp"
#include "state/accepted_changes.hpp"
#include "state/replicated_state.hpp"
#include "test.hpp"

namespace duneturn::platform {

namespace {

auto withoutRevision(const std::string& body) -> std::string {
    auto d = rapidjson::Document();
    parseJson(body, d);
    d.RemoveMember("revision");
    return jsonText(d);
}

struct FakeShell : Shell {
    ReplicatedState w;
    Settings st;
    bool up = true, ok = true, hidden = false;
    bool unfenced = false;  // a deliberate fault: evacuations don't name what they rest on
    int status = 0;         // what orders answer instead of doing anything
    std::function<void()> before;
    std::map<std::string, std::pair<unsigned, std::string>> pages;
    std::vector<std::string> asked, lists, keys;
    std::string places = R"({"nodes":[]})";

    FakeShell() { w.bootstrap({"n1"}, {{"n1", "d1"}}); }
    auto order(const std::string& op, const std::string& key, const std::string& body)
        -> asio::awaitable<Outcome> override {
        auto f = std::move(before);
        before = nullptr;
        if (f) f();
        keys.push_back(key);
        if (status) co_return Outcome{status, "{}"};
        // Without the fence each try has a key of its own, as it once had.
        auto once = unfenced ? fmt::format("{}-{}", key, keys.size()) : key;
        if (auto o = w.accepted(once); o.status) co_return o;
        auto p = orderPrepare(w, op, once, unfenced ? withoutRevision(body) : body, 1000);
        auto o = p ? w.apply(*p) : p.error();
        if (hidden) co_return Outcome{504, "{}"};
        co_return o;
    }
    auto readState(const StateQuery& query) -> asio::awaitable<Outcome> override {
        if (!up) co_return Outcome{503, "{}"};
        co_return Outcome{200, query.answer(w)};
    }
    auto list(const std::string& body) -> asio::awaitable<Outcome> override {
        lists.push_back(body);
        co_return Outcome{200, "{}"};
    }
    auto where(const std::string&, const std::string&) -> std::string override { return places; }
    auto ready() -> bool override { return ok; }
    auto duty() -> bool override { return true; }
    auto replicatedState() -> std::string override { return w.text(); }
    auto fetch(const std::string& addr, const std::string& target, Microseconds)
        -> asio::awaitable<tl::expected<HttpResponse, CallError>> override {
        asked.push_back(addr + target);
        auto i = pages.find(target);
        if (i == pages.end()) co_return tl::make_unexpected(CallError{"silent"});
        auto r = HttpResponse(http::status(i->second.first), 11);
        r.body() = i->second.second;
        co_return r;
    }
    auto settings() -> const Settings& override { return st; }
};

template <class T>
auto wait(asio::awaitable<T> a) -> T {
    auto io = asio::io_context();
    auto o = std::optional<T>();
    asio::co_spawn(io, std::move(a), [&](std::exception_ptr e, T v) {
        if (e) std::rethrow_exception(e);
        o = std::move(v);
    });
    io.run();
    CHECK(bool(o));
    return std::move(*o);
}

auto given() -> PlatformSettings {
    auto p = PlatformSettings();
    p.st.node = "n1";
    p.readiness = "10.0.0.1:3";
    p.control = "10.0.0.1:1";
    p.directory = "10.0.0.1:2";
    p.api = "10.9.0.1:9";
    p.zones = {{"x", "p"}, {"two words", "p"}};
    return p;
}

struct Site {
    FakeShell sh;
    PlatformAdapter ad{given(), ""};

    auto ask(http::verb m, const std::string& target, const std::string& body = "",
        const std::string& base = "", std::string at = "10.0.0.1:1") -> HttpResponse {
        auto q = HttpRequest(m, target, 11);
        q.body() = body;
        if (!base.empty()) q.set("If-Match", base);
        return wait(ad.serve(at, q, sh));
    }
    auto put(const std::string& body, const std::string& base) -> unsigned {
        return ask(http::verb::put, "/v1/config", body, base).result_int();
    }
    auto patch(const std::string& body, const std::string& base) -> unsigned {
        return ask(http::verb::patch, "/v1/config", body, base).result_int();
    }
    auto held() -> std::string { return ask(http::verb::get, "/v1/config").body(); }
};

auto document(int version, int deadline = 100, const std::string& more = "") -> std::string {
    return fmt::format(
        R"({{"ConfigVersion": {},"Routes":[{{"Name":"r","Hostname":"h","PathPrefix":"/","DeadlineMs":{},"Backend":"b"}}],"Backends":[{{"Name":"b"}}]{}}})",
        version, deadline, more);
}

}  // namespace

TEST(PlatformAdapter, aConfigurationIsTakenAndReadBack) {
    auto s = Site();
    CHECK_EQ(404u, s.ask(http::verb::get, "/v1/config").result_int());
    auto one = document(3, 100, R"(, "Unknown" : [ 1.0e1 ])");
    CHECK_EQ(200u, s.put(one, "0"));
    CHECK_EQ(one, s.held());
    CHECK_EQ(std::int64_t(1), s.sh.w.configVersion());
    // Again, unchanged, also later and to any node: it has been taken.
    CHECK_EQ(200u, s.put(one, "0"));
    CHECK_EQ(200u, s.put(document(8), "3"));
    CHECK_EQ(200u, s.put(one, "0"));
    CHECK_EQ(200u, s.put(document(8), "3"));
    CHECK_EQ(std::int64_t(2), s.sh.w.configVersion());
    CHECK_EQ(document(8), s.held());
    // Another on the same version has lost, and stays so.
    CHECK_EQ(412u, s.put(document(8, 200), "3"));
    CHECK_EQ(412u, s.put(document(9), "3"));
    CHECK_EQ(412u, s.put(document(9), "0"));
    CHECK_EQ(412u, s.put(document(9), "9"));
    CHECK_EQ(200u, s.put(document(9), "8"));
}

TEST(PlatformAdapter, theOrderOfChecks) {
    auto s = Site();
    CHECK_EQ(200u, s.put(document(5), "0"));
    CHECK_EQ(400u, s.put("{", "5"));
    CHECK_EQ(400u, s.put("{", "4"));
    CHECK_EQ(400u, s.put("[]", "5"));
    CHECK_EQ(428u, s.put(document(6), ""));
    for (auto b : {"x", "\"5\"", "-5", "5 5", "5.0", "99999999999999999999"})
        CHECK_EQ(400u, s.put(document(6), b));
    CHECK_EQ(412u, s.put(document(6, 0), "4"));
    CHECK_EQ(400u, s.put(document(6, 0), "5"));
    CHECK_EQ(400u, s.put(document(5, 200), "5"));
    CHECK_EQ(400u, s.put(document(4), "5"));
    CHECK_EQ(document(5), s.held());
    CHECK_EQ(std::int64_t(1), s.sh.w.configVersion());
}

TEST(PlatformAdapter, patchesOnTheSameTerms) {
    auto s = Site();
    CHECK_EQ(200u, s.put(document(5), "0"));
    auto p = std::string(
        R"({"ConfigVersion":7,"Upsert":{"Routes":[{"Name":"q","Hostname":"h","PathPrefix":"/q/","DeadlineMs":5,"Backend":"b"}]}})");
    CHECK_EQ(200u, s.patch(p, "5"));
    auto seven = s.held();
    CHECK_EQ(*patched(document(5), *readWhole(p)), seven);
    CHECK_EQ(200u, s.patch(p, "5"));
    CHECK_EQ(412u, s.patch(R"({"ConfigVersion":7})", "5"));
    CHECK_EQ(400u, s.patch(R"({"ConfigVersion":7})", "7"));
    CHECK_EQ(400u, s.patch(R"({"ConfigVersion":9,"Remove":{"Backends":["b"]}})", "7"));
    CHECK_EQ(400u, s.patch(R"({"ConfigVersion":9,"Upsert":{"Routes":[{"Name":"z"}]}})", "7"));
    CHECK_EQ(seven, s.held());
    CHECK_EQ(200u, s.patch(R"({"ConfigVersion":9,"Remove":{"Routes":["q"]}})", "7"));
    CHECK_EQ(200u, s.patch(p, "5"));  // taken once, whatever came after
    CHECK_EQ(std::int64_t(3), s.sh.w.configVersion());
    // The same body as a whole configuration is another call.
    CHECK_EQ(412u, s.put(p, "5"));
}

// Another operator's change comes between the reading and the order.
TEST(PlatformAdapter, oneOfTwoWins) {
    auto s = Site();
    CHECK_EQ(200u, s.put(document(5), "0"));
    s.sh.before = [&] { CHECK_EQ(200u, s.put(document(6, 300), "5")); };
    CHECK_EQ(412u, s.put(document(6, 200), "5"));
    CHECK_EQ(document(6, 300), s.held());
    // The same call, sent twice at once to two nodes: both are told that it was taken.
    s.sh.before = [&] { CHECK_EQ(200u, s.put(document(7), "6")); };
    CHECK_EQ(200u, s.put(document(7), "6"));
    CHECK_EQ(std::int64_t(3), s.sh.w.configVersion());
    // The product's own operators changed something that leaves the document as it was.
    auto merge = [&] {
        auto p = orderPrepare(s.sh.w, "merge", "m",
            fmt::format(R"({{"base":{},"patch":{{"name":"n"}}}})", s.sh.w.configVersion()), 0);
        CHECK_EQ(200, s.sh.w.apply(*p).status);
    };
    s.sh.before = merge;
    CHECK_EQ(200u, s.put(document(8), "7"));
    CHECK_EQ(document(8), s.held());
}

// Without a clear answer it is sent again, and is in force once.
TEST(PlatformAdapter, anUnclearOutcome) {
    auto s = Site();
    s.sh.hidden = true;
    auto r = s.ask(http::verb::put, "/v1/config", document(2), "0");
    CHECK_EQ(503u, r.result_int());
    CHECK_EQ(std::string("0.3"), std::string(r["Retry-After"]));
    CHECK_EQ(200u, s.put(document(2), "0"));
    CHECK_EQ(std::size_t(1), s.sh.keys.size());
    s.sh.hidden = false;
    for (auto st : {503, 504, 421}) {
        s.sh.status = st;
        CHECK_EQ(503u, s.put(document(4), "2"));
        CHECK_EQ(503u, s.ask(http::verb::post, "/v1/evacuation/x").result_int());
    }
    s.sh.status = 422;
    CHECK_EQ(400u, s.put(document(4), "2"));
    s.sh.status = 0;
    s.sh.up = false;
    CHECK_EQ(503u, s.put(document(4), "2"));
    CHECK_EQ(503u, s.ask(http::verb::get, "/v1/config").result_int());
    CHECK_EQ(400u, s.put("{", "2"));
}

// Whatever calls come in whatever order, from operators that repeat what they are not sure of: a
// document comes into force by a call that names the one before, and what is acknowledged was in
// force once.
TEST(PlatformAdapter, fuzzOperators) {
    for (auto seed = 1; seed <= 40; seed++) {
        auto r = RandomSource{std::uint64_t(seed)};
        auto s = Site();
        struct Call {
            std::string body;
            std::int64_t base;
        };
        auto open = std::vector<Call>();
        auto taken = std::set<std::string>();
        auto was = Origin();
        for (auto i = 0; i < 60; i++) {
            auto c = Call();
            if (!open.empty() && r.chance(0.4)) c = open[r.below(open.size())];
            else {
                c.base = r.chance(0.8) ? was.number : std::max<std::int64_t>(0, was.number - 1);
                auto n = was.number + std::int64_t(r.below(6));
                c.body = document(int(n), int(r.below(4)) * 100);
                open.push_back(c);
            }
            s.sh.hidden = r.chance(0.3);
            s.sh.status = r.chance(0.2) ? 503 : 0;
            auto st = s.put(c.body, fmt::to_string(c.base));
            s.sh.hidden = false;
            auto is = originOf(s.sh.w.config());
            if (is.text != was.text) {
                CHECK_EQ(was.number, c.base);
                CHECK(is.number > was.number);
                CHECK_EQ(c.body, is.text);
                CHECK(c.body.find("\"DeadlineMs\":0,") == std::string::npos);
                CHECK(st == 200 || st == 503);
                taken.insert(c.body);
            }
            if (st == 200) CHECK(taken.count(c.body));
            was = is;
        }
        CHECK(was.number > 0);
    }
}

TEST(PlatformAdapter, evacuations) {
    auto s = Site();
    CHECK_EQ(200u, s.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK(s.sh.w.evacuated("x"));
    // One that finds the zone as wanted is acknowledged and changes nothing.
    auto before = s.sh.w.text();
    CHECK_EQ(200u, s.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK_EQ(before, s.sh.w.text());
    CHECK_EQ(std::size_t(1), s.sh.keys.size());
    CHECK_EQ(200u, s.ask(http::verb::delete_, "/v1/evacuation/x").result_int());
    CHECK(!s.sh.w.evacuated("x"));
    CHECK_EQ(200u, s.ask(http::verb::post, "/v1/evacuation/two%20words?a=b").result_int());
    CHECK(s.sh.w.evacuated("two words"));
    CHECK_EQ(404u, s.ask(http::verb::post, "/v1/evacuation/nowhere").result_int());
    CHECK_EQ(404u, s.ask(http::verb::post, "/v1/evacuation/").result_int());
    auto r = s.ask(http::verb::put, "/v1/evacuation/x");
    CHECK_EQ(405u, r.result_int());
    CHECK_EQ(std::string("POST, DELETE"), std::string(r["Allow"]));
    // Each order that was laid has a key of its own.
    CHECK_EQ(std::size_t(3), s.sh.keys.size());
    CHECK_EQ(std::size_t(3), std::set<std::string>(s.sh.keys.begin(), s.sh.keys.end()).size());
    CHECK_EQ(200u, s.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK_EQ(std::size_t(4), std::set<std::string>(s.sh.keys.begin(), s.sh.keys.end()).size());
    s.sh.up = false;
    CHECK_EQ(503u, s.ask(http::verb::post, "/v1/evacuation/x").result_int());
}

// An evacuation is held up on its way to the log; meanwhile it is sent again, acknowledged and
// withdrawn, and `others` orders follow. Tells how it ends, and whether the zone is empty then.
static auto heldUpEvacuation(bool unfenced, int others) -> std::pair<unsigned, bool> {
    auto s = Site();
    s.sh.unfenced = unfenced;
    auto zone = std::string("/v1/evacuation/x");
    s.sh.before = [&] {
        CHECK_EQ(200u, s.ask(http::verb::post, zone).result_int());
        CHECK_EQ(200u, s.ask(http::verb::delete_, zone).result_int());
        for (auto i = 0; i < others; i++) {
            auto verb = i % 2 ? http::verb::delete_ : http::verb::post;
            CHECK_EQ(200u, s.ask(verb, "/v1/evacuation/two%20words").result_int());
        }
    };
    auto status = s.ask(http::verb::post, zone).result_int();
    return {status, s.sh.w.evacuated("x")};
}
TEST(PlatformAdapter, heldUpEvacuationsAreFenced) {
    // The order that was acknowledged while this call waited is its own: known by its key.
    CHECK(heldUpEvacuation(false, 0) == std::pair(200u, false));
    // And where the key is forgotten the zone's revision tells.
    CHECK(heldUpEvacuation(false, 300) == std::pair(503u, false));
    CHECK(heldUpEvacuation(true, 0).second);
    CHECK(heldUpEvacuation(true, 300).second);
    // Superseded by one that wants the same: acknowledged.
    auto s = Site();
    auto zone = std::string("/v1/evacuation/x");
    s.sh.before = [&] { CHECK_EQ(200u, s.ask(http::verb::post, zone).result_int()); };
    CHECK_EQ(200u, s.ask(http::verb::post, zone).result_int());
    CHECK(s.sh.w.evacuated("x"));
}

// What was acknowledged is acknowledged again, whatever other orders, refusals and changes came since.
TEST(PlatformAdapter, acknowledgedChangesOutliveOtherOrders) {
    auto s = Site();
    CHECK_EQ(200u, s.put(document(3), "0"));
    for (auto i = 0; i < 400; i++) {
        auto verb = i % 2 ? http::verb::delete_ : http::verb::post;
        CHECK_EQ(200u, s.ask(verb, "/v1/evacuation/x").result_int());
        CHECK_EQ(412u, s.put(document(4, i + 200), "0"));
    }
    CHECK_EQ(200u, s.put(document(3), "0"));
    auto last = std::int64_t(3);
    for (auto n = 4; n < 300; n++) {
        CHECK_EQ(200u, s.put(document(n), fmt::to_string(last)));
        last = n;
    }
    CHECK_EQ(200u, s.put(document(3), "0"));
    for (auto n = 4; n < 300; n += 37) CHECK_EQ(200u, s.put(document(n), fmt::to_string(n - 1)));
    auto loaded = ReplicatedState();
    CHECK(loaded.load(s.sh.w.text()));
    s.sh.w = loaded;
    CHECK_EQ(200u, s.put(document(3), "0"));
}

// Beyond what the memory holds the outcome is not known; it is no refusal.
TEST(PlatformAdapter, forgottenChangesAreNotRefused) {
    auto s = Site();
    auto most = int(AcceptedChanges::CAPACITY);
    for (auto n = 1; n <= most + 3; n++) CHECK_EQ(200u, s.put(document(n), fmt::to_string(n - 1)));
    // The changes that made 1 to 3 are forgotten.
    CHECK_EQ(503u, s.put(document(1), "0"));
    CHECK_EQ(503u, s.put(document(3), "2"));
    CHECK_EQ(200u, s.put(document(4), "3"));
    CHECK_EQ(412u, s.put(document(4, 200), "3"));
    CHECK_EQ(412u, s.put(document(most + 9), fmt::to_string(most)));
    CHECK_EQ(std::int64_t(3), AcceptedChanges::forgottenVersion(s.sh.w.d["acceptedChanges"]));
}

TEST(PlatformAdapter, readyAndResolve) {
    auto s = Site();
    CHECK_EQ(200u, s.ask(http::verb::get, "/v1/ready", "", "", "10.0.0.1:3").result_int());
    s.sh.ok = false;
    CHECK_EQ(503u, s.ask(http::verb::get, "/v1/ready", "", "", "10.0.0.1:3").result_int());
    auto q = std::string("/v1/resolve?Name=h&Region=p&Zone=x");
    CHECK_EQ(503u, s.ask(http::verb::get, q, "", "", "10.0.0.1:2").result_int());
    s.sh.places = R"({"nodes":[{"node":"n","address":"10.0.0.1:7","region":"p","district":"x"}]})";
    CHECK_EQ(std::string(R"({"Addresses":["10.0.0.1:7"],"TtlS":2})"),
        s.ask(http::verb::get, q, "", "", "10.0.0.1:2").body());
    CHECK_EQ(405u, s.ask(http::verb::post, q, "", "", "10.0.0.1:2").result_int());
    // Each at its own address only.
    for (auto at : {"10.0.0.1:1", "10.0.0.1:2"})
        CHECK_EQ(404u, s.ask(http::verb::get, "/v1/ready", "", "", at).result_int());
    CHECK_EQ(404u, s.ask(http::verb::get, "/v1/config", "", "", "10.0.0.1:2").result_int());
    CHECK_EQ(404u, s.ask(http::verb::get, "/", "", "").result_int());
    CHECK_EQ(405u, s.ask(http::verb::delete_, "/v1/config").result_int());
}

// The list comes whole or not at all.
TEST(PlatformAdapter, pullsAllPagesOrNothing) {
    using P = PlatformAdapter::Pulled;
    auto s = Site();
    auto page = [](const std::string& id, const std::string& state, const std::string& next) {
        return std::pair(200u,
            fmt::format(
                R"({{"Instances":[{{"InstanceId":"{}","Backend":"b","Address":"10.0.1.1:1","Zone":"x","State":"{}"}}],"NextToken":{}}})",
                id, state, next.empty() ? "null" : jsonQuote(next)));
    };
    s.sh.pages["/instances"] = page("i1", "ready", "a/b");
    CHECK(wait(s.ad.pull(s.sh)) == P::Nothing);
    CHECK_EQ(std::string("10.9.0.1:9/instances?PageToken=a%2Fb"), s.sh.asked.back());
    CHECK(s.sh.lists.empty());
    s.sh.pages["/instances?PageToken=a%2Fb"] = page("i2", "ready", "");
    CHECK(wait(s.ad.pull(s.sh)) == P::News);
    CHECK(s.sh.lists.back().find("\"i1\"") != std::string::npos
        && s.sh.lists.back().find("\"i2\"") != std::string::npos);
    CHECK(wait(s.ad.pull(s.sh)) == P::Same);
    CHECK_EQ(std::size_t(2), s.sh.lists.size());
    s.sh.pages["/instances?PageToken=a%2Fb"] = page("i2", "draining", "");
    CHECK(wait(s.ad.pull(s.sh)) == P::News);
    CHECK(s.sh.lists.back().find("leaving") != std::string::npos);
    s.sh.pages["/instances?PageToken=a%2Fb"] = {429u, "{}"};
    CHECK(wait(s.ad.pull(s.sh)) == P::Nothing);
    s.sh.pages["/instances?PageToken=a%2Fb"] = {200u, R"({"Instances":[{"Instan)"};
    CHECK(wait(s.ad.pull(s.sh)) == P::Nothing);
    // Pages without end are no list.
    s.sh.pages["/instances?PageToken=a%2Fb"] = page("i2", "ready", "a/b");
    CHECK(wait(s.ad.pull(s.sh)) == P::Nothing);
    CHECK_EQ(std::size_t(3), s.sh.lists.size());
}

}  // namespace duneturn::platform
