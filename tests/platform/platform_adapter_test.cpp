// The platform's interfaces over a stand-in shell with a replicated state of its own.
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
#include "configuration.hpp"
#include "document.hpp"
#include "patch.hpp"
#include "platform_adapter.hpp"
#include "platform_settings.hpp"
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
    ReplicatedState state;
    Settings nodeSettings;
    bool majorityReachable = true;
    bool nodeReady = true;
    bool outcomeLost = false;           // orders are carried out, and their answers lost
    bool unfenced = false;              // a deliberate fault: evacuations don't name what they rest on
    int orderStatus = 0;                // what orders answer instead of doing anything
    std::function<void()> beforeOrder;  // happens once, between the adapter's reading and its order
    std::map<std::string, std::pair<unsigned, std::string>> pages;
    std::vector<std::string> fetched, lists, keys;
    std::string nodes = R"({"nodes":[]})";

    FakeShell() { state.bootstrap({"n1"}, {{"n1", "d1"}}); }
    auto order(const std::string& operation, const std::string& key, const std::string& body)
        -> asio::awaitable<Outcome> override {
        auto before = std::move(beforeOrder);
        beforeOrder = nullptr;
        if (before) before();
        keys.push_back(key);
        if (orderStatus) co_return Outcome{orderStatus, "{}"};
        // Without the fence each attempt has a key of its own, as it once had.
        auto usedKey = unfenced ? fmt::format("{}-{}", key, keys.size()) : key;
        if (auto known = state.accepted(usedKey); known.status) co_return known;
        auto entry = orderPrepare(state, operation, usedKey, unfenced ? withoutRevision(body) : body, 1000);
        auto outcome = entry ? state.apply(*entry) : entry.error();
        if (outcomeLost) co_return Outcome{504, "{}"};
        co_return outcome;
    }
    auto readState(const StateQuery& query) -> asio::awaitable<Outcome> override {
        if (!majorityReachable) co_return Outcome{503, "{}"};
        co_return Outcome{200, query.answer(state)};
    }
    auto list(const std::string& body) -> asio::awaitable<Outcome> override {
        lists.push_back(body);
        co_return Outcome{200, "{}"};
    }
    auto where(const std::string&, const std::string&) -> std::string override { return nodes; }
    auto ready() -> bool override { return nodeReady; }
    auto duty() -> bool override { return true; }
    auto replicatedState() -> std::string override { return state.text(); }
    auto fetch(const std::string& address, const std::string& target, Microseconds)
        -> asio::awaitable<tl::expected<HttpResponse, CallError>> override {
        fetched.push_back(address + target);
        auto page = pages.find(target);
        if (page == pages.end()) co_return tl::make_unexpected(CallError{"silent"});
        auto response = HttpResponse(http::status(page->second.first), 11);
        response.body() = page->second.second;
        co_return response;
    }
    auto settings() -> const Settings& override { return nodeSettings; }
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
    p.node.node = "n1";
    p.readiness = "10.0.0.1:3";
    p.control = "10.0.0.1:1";
    p.directory = "10.0.0.1:2";
    p.api = "10.9.0.1:9";
    p.zones = {{"x", "p"}, {"two words", "p"}};
    return p;
}

struct Site {
    FakeShell shell;
    PlatformAdapter adapter{given(), ""};

    auto ask(http::verb m, const std::string& target, const std::string& body = "",
        const std::string& base = "", std::string at = "10.0.0.1:1") -> HttpResponse {
        auto q = HttpRequest(m, target, 11);
        q.body() = body;
        if (!base.empty()) q.set("If-Match", base);
        return wait(adapter.serve(at, q, shell));
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
    auto site = Site();
    CHECK_EQ(404u, site.ask(http::verb::get, "/v1/config").result_int());
    auto one = document(3, 100, R"(, "Unknown" : [ 1.0e1 ])");
    CHECK_EQ(200u, site.put(one, "0"));
    CHECK_EQ(one, site.held());
    CHECK_EQ(std::int64_t(1), site.shell.state.configVersion());
    // Again, unchanged, also later and to any node: it has been taken.
    CHECK_EQ(200u, site.put(one, "0"));
    CHECK_EQ(200u, site.put(document(8), "3"));
    CHECK_EQ(200u, site.put(one, "0"));
    CHECK_EQ(200u, site.put(document(8), "3"));
    CHECK_EQ(std::int64_t(2), site.shell.state.configVersion());
    CHECK_EQ(document(8), site.held());
    // Another on the same version has lost, and stays so.
    CHECK_EQ(412u, site.put(document(8, 200), "3"));
    CHECK_EQ(412u, site.put(document(9), "3"));
    CHECK_EQ(412u, site.put(document(9), "0"));
    CHECK_EQ(412u, site.put(document(9), "9"));
    CHECK_EQ(200u, site.put(document(9), "8"));
}

TEST(PlatformAdapter, theOrderOfChecks) {
    auto site = Site();
    CHECK_EQ(200u, site.put(document(5), "0"));
    CHECK_EQ(400u, site.put("{", "5"));
    CHECK_EQ(400u, site.put("{", "4"));
    CHECK_EQ(400u, site.put("[]", "5"));
    CHECK_EQ(428u, site.put(document(6), ""));
    for (auto b : {"x", "\"5\"", "-5", "5 5", "5.0", "99999999999999999999"})
        CHECK_EQ(400u, site.put(document(6), b));
    CHECK_EQ(412u, site.put(document(6, 0), "4"));
    CHECK_EQ(400u, site.put(document(6, 0), "5"));
    CHECK_EQ(400u, site.put(document(5, 200), "5"));
    CHECK_EQ(400u, site.put(document(4), "5"));
    CHECK_EQ(document(5), site.held());
    CHECK_EQ(std::int64_t(1), site.shell.state.configVersion());
}

TEST(PlatformAdapter, patchesOnTheSameTerms) {
    auto site = Site();
    CHECK_EQ(200u, site.put(document(5), "0"));
    auto p = std::string(
        R"({"ConfigVersion":7,"Upsert":{"Routes":[{"Name":"q","Hostname":"h","PathPrefix":"/q/","DeadlineMs":5,"Backend":"b"}]}})");
    CHECK_EQ(200u, site.patch(p, "5"));
    auto seven = site.held();
    CHECK_EQ(*applyPatch(document(5), *readDocument(p)), seven);
    CHECK_EQ(200u, site.patch(p, "5"));
    CHECK_EQ(412u, site.patch(R"({"ConfigVersion":7})", "5"));
    CHECK_EQ(400u, site.patch(R"({"ConfigVersion":7})", "7"));
    CHECK_EQ(400u, site.patch(R"({"ConfigVersion":9,"Remove":{"Backends":["b"]}})", "7"));
    CHECK_EQ(400u, site.patch(R"({"ConfigVersion":9,"Upsert":{"Routes":[{"Name":"z"}]}})", "7"));
    CHECK_EQ(seven, site.held());
    CHECK_EQ(200u, site.patch(R"({"ConfigVersion":9,"Remove":{"Routes":["q"]}})", "7"));
    CHECK_EQ(200u, site.patch(p, "5"));  // taken once, whatever came after
    CHECK_EQ(std::int64_t(3), site.shell.state.configVersion());
    // The same body as a whole configuration is another call.
    CHECK_EQ(412u, site.put(p, "5"));
}

TEST(PlatformAdapter, tenantsAreReadBackWholeAndPatchedByName) {
    auto site = Site();
    auto tenants = std::string(
        R"(, "Tenants" : [{"Name":"a","ApiKeys":["k1","k2"],"Rank":1,"RatePerS":140,"Burst":1.50},{"Name":"b","ApiKeys":["k3"]}])");
    CHECK_EQ(200u, site.put(document(5, 100, tenants), "0"));
    CHECK_EQ(document(5, 100, tenants), site.held());
    auto withdraw = R"({"ConfigVersion":7,"Upsert":{"Tenants":[{"Name":"a","ApiKeys":["k2"],"Rank":1}]}})";
    CHECK_EQ(200u, site.patch(withdraw, "5"));
    CHECK(site.held().ends_with(
        R"("Tenants":[{"Name":"a","ApiKeys":["k2"],"Rank":1},{"Name":"b","ApiKeys":["k3"]}]})"));
    auto table = site.shell.state.configuration()->tenants();
    CHECK(!table.findByKey("k1") && table.findByKey("k2") && table.findByKey("k3"));
    auto shared = R"({"ConfigVersion":8,"Upsert":{"Tenants":[{"Name":"c","ApiKeys":["k3"]}]}})";
    auto refusal = site.ask(http::verb::patch, "/v1/config", shared, "7");
    CHECK_EQ(400u, refusal.result_int());
    CHECK(refusal.body().find("/Tenants/2/ApiKeys/0: the same key as /Tenants/1/ApiKeys/0")
        != std::string::npos);
    CHECK(refusal.body().find("k3") == std::string::npos);
    CHECK_EQ(200u, site.patch(R"({"ConfigVersion":8,"Remove":{"Tenants":["a","b"]}})", "7"));
    CHECK(site.held().ends_with(R"("Tenants":[]})"));
}

// Another operator's change comes between the reading and the order.
TEST(PlatformAdapter, oneOfTwoWins) {
    auto site = Site();
    CHECK_EQ(200u, site.put(document(5), "0"));
    site.shell.beforeOrder = [&] { CHECK_EQ(200u, site.put(document(6, 300), "5")); };
    CHECK_EQ(412u, site.put(document(6, 200), "5"));
    CHECK_EQ(document(6, 300), site.held());
    // The same call, sent twice at once to two nodes: both learn that it was accepted.
    site.shell.beforeOrder = [&] { CHECK_EQ(200u, site.put(document(7), "6")); };
    CHECK_EQ(200u, site.put(document(7), "6"));
    CHECK_EQ(std::int64_t(3), site.shell.state.configVersion());
    // The product's own operators changed something that leaves the document as it was.
    auto merge = [&] {
        auto p = orderPrepare(site.shell.state, "merge", "m",
            fmt::format(R"({{"base":{},"patch":{{"name":"n"}}}})", site.shell.state.configVersion()), 0);
        CHECK_EQ(200, site.shell.state.apply(*p).status);
    };
    site.shell.beforeOrder = merge;
    CHECK_EQ(200u, site.put(document(8), "7"));
    CHECK_EQ(document(8), site.held());
}

// Without a clear answer it is sent again, and is in force once.
TEST(PlatformAdapter, anUnclearOutcome) {
    auto site = Site();
    site.shell.outcomeLost = true;
    auto r = site.ask(http::verb::put, "/v1/config", document(2), "0");
    CHECK_EQ(503u, r.result_int());
    CHECK_EQ(std::string("0.3"), std::string(r["Retry-After"]));
    CHECK_EQ(200u, site.put(document(2), "0"));
    CHECK_EQ(std::size_t(1), site.shell.keys.size());
    site.shell.outcomeLost = false;
    for (auto status : {503, 504, 421}) {
        site.shell.orderStatus = status;
        CHECK_EQ(503u, site.put(document(4), "2"));
        CHECK_EQ(503u, site.ask(http::verb::post, "/v1/evacuation/x").result_int());
    }
    site.shell.orderStatus = 422;
    CHECK_EQ(400u, site.put(document(4), "2"));
    site.shell.orderStatus = 0;
    site.shell.majorityReachable = false;
    CHECK_EQ(503u, site.put(document(4), "2"));
    CHECK_EQ(503u, site.ask(http::verb::get, "/v1/config").result_int());
    CHECK_EQ(400u, site.put("{", "2"));
}

// Whatever calls come in whatever order, from operators that repeat what they are not sure of: a
// document comes into force by a call that names the one before, and what is acknowledged was in
// force once.
TEST(PlatformAdapter, fuzzOperators) {
    for (auto seed = 1; seed <= 40; seed++) {
        auto r = RandomSource{std::uint64_t(seed)};
        auto site = Site();
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
            site.shell.outcomeLost = r.chance(0.3);
            site.shell.orderStatus = r.chance(0.2) ? 503 : 0;
            auto status = site.put(c.body, fmt::to_string(c.base));
            site.shell.outcomeLost = false;
            auto is = originOf(site.shell.state.config());
            if (is.text != was.text) {
                CHECK_EQ(was.number, c.base);
                CHECK(is.number > was.number);
                CHECK_EQ(c.body, is.text);
                CHECK(c.body.find("\"DeadlineMs\":0,") == std::string::npos);
                CHECK(status == 200 || status == 503);
                taken.insert(c.body);
            }
            if (status == 200) CHECK(taken.count(c.body));
            was = is;
        }
        CHECK(was.number > 0);
    }
}

TEST(PlatformAdapter, evacuations) {
    auto site = Site();
    CHECK_EQ(200u, site.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK(site.shell.state.evacuated("x"));
    // One that finds the zone as wanted is acknowledged and changes nothing.
    auto before = site.shell.state.text();
    CHECK_EQ(200u, site.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK_EQ(before, site.shell.state.text());
    CHECK_EQ(std::size_t(1), site.shell.keys.size());
    CHECK_EQ(200u, site.ask(http::verb::delete_, "/v1/evacuation/x").result_int());
    CHECK(!site.shell.state.evacuated("x"));
    CHECK_EQ(200u, site.ask(http::verb::post, "/v1/evacuation/two%20words?a=b").result_int());
    CHECK(site.shell.state.evacuated("two words"));
    CHECK_EQ(404u, site.ask(http::verb::post, "/v1/evacuation/nowhere").result_int());
    CHECK_EQ(404u, site.ask(http::verb::post, "/v1/evacuation/").result_int());
    auto r = site.ask(http::verb::put, "/v1/evacuation/x");
    CHECK_EQ(405u, r.result_int());
    CHECK_EQ(std::string("POST, DELETE"), std::string(r["Allow"]));
    // Each order that was laid has a key of its own.
    CHECK_EQ(std::size_t(3), site.shell.keys.size());
    CHECK_EQ(std::size_t(3), std::set<std::string>(site.shell.keys.begin(), site.shell.keys.end()).size());
    CHECK_EQ(200u, site.ask(http::verb::post, "/v1/evacuation/x").result_int());
    CHECK_EQ(std::size_t(4), std::set<std::string>(site.shell.keys.begin(), site.shell.keys.end()).size());
    site.shell.majorityReachable = false;
    CHECK_EQ(503u, site.ask(http::verb::post, "/v1/evacuation/x").result_int());
}

// An evacuation is held up on its way to the log; meanwhile it is sent again, acknowledged and
// withdrawn, and `others` orders follow. Gives its answer, and whether the zone is evacuated then.
static auto heldUpEvacuation(bool unfenced, int others) -> std::pair<unsigned, bool> {
    auto site = Site();
    site.shell.unfenced = unfenced;
    auto zone = std::string("/v1/evacuation/x");
    site.shell.beforeOrder = [&] {
        CHECK_EQ(200u, site.ask(http::verb::post, zone).result_int());
        CHECK_EQ(200u, site.ask(http::verb::delete_, zone).result_int());
        for (auto i = 0; i < others; i++) {
            auto verb = i % 2 ? http::verb::delete_ : http::verb::post;
            CHECK_EQ(200u, site.ask(verb, "/v1/evacuation/two%20words").result_int());
        }
    };
    auto status = site.ask(http::verb::post, zone).result_int();
    return {status, site.shell.state.evacuated("x")};
}
TEST(PlatformAdapter, heldUpEvacuationsAreFenced) {
    // The order that was acknowledged while this call waited is its own: known by its key.
    CHECK(heldUpEvacuation(false, 0) == std::pair(200u, false));
    // And where the key is forgotten the zone's revision decides.
    CHECK(heldUpEvacuation(false, 300) == std::pair(503u, false));
    CHECK(heldUpEvacuation(true, 0).second);
    CHECK(heldUpEvacuation(true, 300).second);
    // Superseded by one that wants the same: acknowledged.
    auto site = Site();
    auto zone = std::string("/v1/evacuation/x");
    site.shell.beforeOrder = [&] { CHECK_EQ(200u, site.ask(http::verb::post, zone).result_int()); };
    CHECK_EQ(200u, site.ask(http::verb::post, zone).result_int());
    CHECK(site.shell.state.evacuated("x"));
}

// What was acknowledged is acknowledged again, whatever other orders, refusals and changes came since.
TEST(PlatformAdapter, acknowledgedChangesOutliveOtherOrders) {
    auto site = Site();
    CHECK_EQ(200u, site.put(document(3), "0"));
    for (auto i = 0; i < 400; i++) {
        auto verb = i % 2 ? http::verb::delete_ : http::verb::post;
        CHECK_EQ(200u, site.ask(verb, "/v1/evacuation/x").result_int());
        CHECK_EQ(412u, site.put(document(4, i + 200), "0"));
    }
    CHECK_EQ(200u, site.put(document(3), "0"));
    auto last = std::int64_t(3);
    for (auto n = 4; n < 300; n++) {
        CHECK_EQ(200u, site.put(document(n), fmt::to_string(last)));
        last = n;
    }
    CHECK_EQ(200u, site.put(document(3), "0"));
    for (auto n = 4; n < 300; n += 37) CHECK_EQ(200u, site.put(document(n), fmt::to_string(n - 1)));
    auto loaded = ReplicatedState();
    CHECK(loaded.load(site.shell.state.text()));
    site.shell.state = loaded;
    CHECK_EQ(200u, site.put(document(3), "0"));
}

// Beyond what the memory holds the outcome is not known; it is no refusal.
TEST(PlatformAdapter, forgottenChangesAreNotRefused) {
    auto site = Site();
    auto most = int(AcceptedChanges::CAPACITY);
    for (auto n = 1; n <= most + 3; n++) CHECK_EQ(200u, site.put(document(n), fmt::to_string(n - 1)));
    // The changes that made 1 to 3 are forgotten.
    CHECK_EQ(503u, site.put(document(1), "0"));
    CHECK_EQ(503u, site.put(document(3), "2"));
    CHECK_EQ(200u, site.put(document(4), "3"));
    CHECK_EQ(412u, site.put(document(4, 200), "3"));
    CHECK_EQ(412u, site.put(document(most + 9), fmt::to_string(most)));
    CHECK_EQ(std::int64_t(3),
        ChangeState::parse(StateQuery::change("").answer(site.shell.state))->forgottenVersion);
}

TEST(PlatformAdapter, readyAndResolve) {
    auto site = Site();
    CHECK_EQ(200u, site.ask(http::verb::get, "/v1/ready", "", "", "10.0.0.1:3").result_int());
    site.shell.nodeReady = false;
    CHECK_EQ(503u, site.ask(http::verb::get, "/v1/ready", "", "", "10.0.0.1:3").result_int());
    auto q = std::string("/v1/resolve?Name=h&Region=p&Zone=x");
    CHECK_EQ(503u, site.ask(http::verb::get, q, "", "", "10.0.0.1:2").result_int());
    site.shell.nodes = R"({"nodes":[{"node":"n","address":"10.0.0.1:7","region":"p","district":"x"}]})";
    CHECK_EQ(std::string(R"({"Addresses":["10.0.0.1:7"],"TtlS":2})"),
        site.ask(http::verb::get, q, "", "", "10.0.0.1:2").body());
    CHECK_EQ(405u, site.ask(http::verb::post, q, "", "", "10.0.0.1:2").result_int());
    // Each at its own address only.
    for (auto at : {"10.0.0.1:1", "10.0.0.1:2"})
        CHECK_EQ(404u, site.ask(http::verb::get, "/v1/ready", "", "", at).result_int());
    CHECK_EQ(404u, site.ask(http::verb::get, "/v1/config", "", "", "10.0.0.1:2").result_int());
    CHECK_EQ(404u, site.ask(http::verb::get, "/", "", "").result_int());
    CHECK_EQ(405u, site.ask(http::verb::delete_, "/v1/config").result_int());
}

// The list comes whole or not at all.
TEST(PlatformAdapter, pullsAllPagesOrNothing) {
    using Result = PlatformAdapter::PullResult;
    auto site = Site();
    auto page = [](const std::string& id, const std::string& state, const std::string& next) {
        return std::pair(200u,
            fmt::format(
                R"({{"Instances":[{{"InstanceId":"{}","Backend":"b","Address":"10.0.1.1:1","Zone":"x","State":"{}"}}],"NextToken":{}}})",
                id, state, next.empty() ? "null" : jsonQuote(next)));
    };
    site.shell.pages["/instances"] = page("i1", "ready", "a/b");
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Failed);
    CHECK_EQ(std::string("10.9.0.1:9/instances?PageToken=a%2Fb"), site.shell.fetched.back());
    CHECK(site.shell.lists.empty());
    site.shell.pages["/instances?PageToken=a%2Fb"] = page("i2", "ready", "");
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Changed);
    CHECK(site.shell.lists.back().find("\"i1\"") != std::string::npos
        && site.shell.lists.back().find("\"i2\"") != std::string::npos);
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Unchanged);
    CHECK_EQ(std::size_t(2), site.shell.lists.size());
    site.shell.pages["/instances?PageToken=a%2Fb"] = page("i2", "draining", "");
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Changed);
    CHECK(site.shell.lists.back().find("leaving") != std::string::npos);
    site.shell.pages["/instances?PageToken=a%2Fb"] = {429u, "{}"};
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Failed);
    site.shell.pages["/instances?PageToken=a%2Fb"] = {200u, R"({"Instances":[{"Instan)"};
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Failed);
    // Pages without end are no list.
    site.shell.pages["/instances?PageToken=a%2Fb"] = page("i2", "ready", "a/b");
    CHECK(wait(site.adapter.pull(site.shell)) == Result::Failed);
    CHECK_EQ(std::size_t(3), site.shell.lists.size());
}

}  // namespace duneturn::platform
