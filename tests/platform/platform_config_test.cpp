// The platform's documents: what is invalid, what a patch makes of them, and what the product gets.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "configuration.hpp"
#include "directory.hpp"
#include "document.hpp"
#include "patch.hpp"
#include "server_list.hpp"
#include "state/configuration_validation.hpp"
#include "state/replicated_state.hpp"
#include "test.hpp"

namespace duneturn::platform {

static constexpr auto BOUNDS = Bounds{0.2, 64, 1.5, 5};
static const auto DOCUMENT = std::string(
    R"({"ConfigVersion":7,"Routes":[{"Name":"r-1","Hostname":"Ficu95.example","PathPrefix":"/lohu/","Variant":"stream","DeadlineMs":8000,"TargetMs":1000,"Rank":1,"Weighted":[{"Backend":"desk","Share":90},{"Backend":"map","Share":10}],"MaxTries":1,"Sticky":true,"Resumable":false,"GapTargetMs":400,"HomeRegions":[]},)"
    R"({"Name":"r-2","Hostname":"ficu95.example","PathPrefix":"/pufi/","Variant":"stream","DeadlineMs":4000,"TargetMs":800,"Rank":0,"Backend":"desk","MaxTries":3,"Sticky":true,"Resumable":true,"GapTargetMs":400,"HomeRegions":["punjab","sindh"],"New":{"a":[1.5,null]}},)"
    R"({"Name":"r-3","Hostname":"ficu95.example","PathPrefix":"/","Variant":"safe","DeadlineMs":2500.5,"TargetMs":500,"Rank":12,"Backend":"map","MaxTries":2},)"
    R"({"Name":"r 4/ü","Hostname":"other.example","PathPrefix":"/","Variant":"effectful","DeadlineMs":100,"Backend":"map"}],)"
    R"("Backends":[{"Name":"desk","HealthPath":"/health","MaxConns":390,"Protocol":"h1","Tls":false,"ColdS":3.0,"ColdRateS":45.5,"Engine":{"Slots":64,"KvCapacity":319818,"KvTokenBytes":163840,"LinkMbps":1100000.0,"Stride":6,"Models":[{"Name":"m"}]}},{"Name":"map","MaxConns":130,"ColdS":0.0,"ColdRateS":0.0}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderReadMs":3000,"IdleMs":15000},"Added":true})");

static auto replaced(std::string s, const std::string& a, const std::string& b) -> std::string {
    auto i = s.find(a);
    CPPUNIT_ASSERT_MESSAGE(a, i != std::string::npos);
    return s.replace(i, a.size(), b);
}
static auto parsed(const std::string& s) -> rapidjson::Document {
    auto d = rapidjson::Document();
    CPPUNIT_ASSERT_MESSAGE(s.substr(0, 200), parseJson(s, d));
    return d;
}

TEST(PlatformConfig, theProductsWords) {
    auto t = translateConfiguration(DOCUMENT, 5, BOUNDS);
    CHECK(bool(t));
    CHECK_EQ(std::int64_t(7), t->number);
    auto c = parsed(t->text);
    for (auto& f : validateConfiguration(c)) CPPUNIT_FAIL(f.path + ": " + f.why);
    CHECK_EQ(DOCUMENT, originOf(c).text);
    CHECK_EQ(std::int64_t(7), originOf(c).number);
    auto& ms = c["mappings"];
    CHECK_EQ(
        std::string(
            R"({"name":"r-1","host":"ficu95.example","method":"*","path":"/lohu/*","pools":[{"pool":"desk","share":90},{"pool":"map","share":10}],"model":"m","stream":true,"MaxTries":1,"urgency":8,"deadlineUs":8000000,"aimUs":1000000,"gapUs":400000,"queueUs":250000,"queue":256})"),
        jsonText(ms[0]));
    CHECK_EQ(
        std::string(
            R"({"name":"r-2","host":"ficu95.example","method":"*","path":"/pufi/*","pool":"desk","model":"m","stream":true,"Resumable":true,"MaxTries":3,"homes":["punjab","sindh"],"urgency":9,"deadlineUs":4000000,"aimUs":800000,"gapUs":400000,"queueUs":200000,"queue":256})"),
        jsonText(ms[1]));
    CHECK_EQ(
        std::string(
            R"({"name":"r-3","host":"ficu95.example","method":"*","path":"/*","pool":"map","repeatable":true,"MaxTries":2,"urgency":0,"deadlineUs":2500500,"aimUs":500000,"queueUs":125000,"queue":256})"),
        jsonText(ms[2]));
    // A name that the product would not take gets its hash; nobody gives up what is no stream.
    CHECK(jsonString(ms[3], "name").starts_with("r_4___."));
    CHECK(!ms[3].HasMember("idleUs"));  // how long a silence is borne, the edge weighs by aim and pause
    CHECK(!ms[3].HasMember("repeatable") && !ms[3].HasMember("queueUs"));
    CHECK_EQ(std::string(R"({"m":{"migrationLimit":2,"maxSequence":319818}})"), jsonText(c["models"]));
    CHECK_EQ(
        std::string(
            R"({"desk":{"maxConns":390,"coldUs":3000000,"coldRate":45.5,"engine":true,"slots":64,"kvTokens":319818,"stride":6},"map":{"maxConns":130,"coldUs":0,"coldRate":0.0}})"),
        jsonText(c["pools"]));
    CHECK_EQ(
        std::string(R"({"headerBytes":16384,"bodyBytes":4194304,"headerReadUs":3000000,"idleUs":15000000})"),
        jsonText(c["limits"]));
    CHECK(std::abs(c["budget"]["share"].GetDouble() - 0.15) < 1e-9);
    CHECK_EQ(32.0, c["budget"]["slack"].GetDouble());
    CHECK_EQ(1.5, c["cold"]["overrun"].GetDouble());
}

TEST(PlatformConfig, boundsOfTheProduct) {
    auto s = DOCUMENT;
    s = replaced(s, "\"MaxTries\":3", "\"MaxTries\":99");
    s = replaced(s, "\"DeadlineMs\":100,", "\"DeadlineMs\":0.25,");
    s = replaced(s, "\"DeadlineMs\":8000", "\"DeadlineMs\":1e300");
    s = replaced(s, "\"TargetMs\":1000", "\"TargetMs\":1e9");
    s = replaced(s, "\"KvCapacity\":319818", "\"KvCapacity\":9000000000");
    s = replaced(s, "\"Share\":90", "\"Share\":0.9");
    s = replaced(s, "\"Share\":10", "\"Share\":1e-12");
    s = replaced(s, "\"MaxConns\":390", "\"MaxConns\":18446744073709551615");
    s = replaced(s, "\"IdleMs\":15000", "\"IdleMs\":1e300");
    auto t = translateConfiguration(s, 0, BOUNDS);
    CHECK(bool(t));
    auto c = parsed(t->text);
    for (auto& f : validateConfiguration(c)) CPPUNIT_FAIL(f.path + ": " + f.why);
    CHECK_EQ(std::int64_t(16), jsonInteger(c["models"]["m"], "migrationLimit"));
    CHECK_EQ(std::int64_t(1048576), jsonInteger(c["models"]["m"], "maxSequence"));
    CHECK_EQ(std::string(R"([{"pool":"desk","share":1000000},{"pool":"map","share":1}])"),
        jsonText(c["mappings"][0]["pools"]));
    // Where several services hold a model, the least memory bounds it.
    s = replaced(DOCUMENT, R"({"Name":"map",)",
        R"({"Name":"map","Engine":{"KvCapacity":1000,"Models":[{"Name":"m"}]},)");
    CHECK_EQ(std::int64_t(1000),
        jsonInteger(parsed(translateConfiguration(s, 0, BOUNDS)->text)["models"]["m"], "maxSequence"));
}

TEST(PlatformConfig, whatIsAbsentOrNull) {
    auto s = replaced(DOCUMENT, "\"Backend\":\"desk\"", "\"Backend\":\"desk\",\"Weighted\":null");
    s = replaced(s, "\"HomeRegions\":[]", "\"HomeRegions\":null");
    s = replaced(s, "\"Variant\":\"safe\"", "\"Variant\":\"later-kind\"");
    s = replaced(s, "\"MaxTries\":2", "\"MaxTries\":0,\"Weighted\":[]");
    s = replaced(s,
        ",\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderReadMs\":3000,\"IdleMs\":"
        "15000}",
        "");
    auto t = translateConfiguration(s, 0, BOUNDS);
    CHECK(bool(t));
    auto c = parsed(t->text);
    for (auto& f : validateConfiguration(c)) CPPUNIT_FAIL(f.path + ": " + f.why);
    // Of an unknown kind nothing is run twice.
    CHECK(!c["mappings"][2].HasMember("repeatable"));
    CHECK_EQ(std::int64_t(1), jsonInteger(c["mappings"][2], "MaxTries"));
    CHECK(!c.HasMember("limits"));
}

TEST(PlatformConfig, everyInvalidKind) {
    struct {
        std::string from, to, where;
    } cases[] = {
        {"\"Backend\":\"map\",\"MaxTries\":2", "\"Backend\":\"gone\",\"MaxTries\":2", "/Routes/2/Backend"},
        {"\"Backend\":\"map\",\"Share\":10", "\"Backend\":\"gone\",\"Share\":0", "/Routes/0/Backend"},
        {"\"PathPrefix\":\"/pufi/\"", "\"PathPrefix\":\"/lohu/\"", "/Routes/1/PathPrefix"},
        {"\"Share\":90", "\"Share\":0", ""},
        {"\"Weighted\":[{\"Backend\":\"desk\",\"Share\":90},{\"Backend\":\"map\",\"Share\":10}]",
            "\"Weighted\":[]", "/Routes/0/Backend"},
        {"\"Weighted\":[{\"Backend\":\"desk\",\"Share\":90},{\"Backend\":\"map\",\"Share\":10}]",
            "\"Weighted\":[{\"Backend\":\"desk\",\"Share\":0},{\"Backend\":\"map\",\"Share\":0.0}]",
            "/Routes/0/Weighted"},
        {"\"Weighted\":[{\"Backend\":\"desk\",\"Share\":90},{\"Backend\":\"map\",\"Share\":10}]",
            "\"Weighted\":[{\"Backend\":\"desk\",\"Share\":0}]", "/Routes/0/Weighted"},
        {"\"Share\":90", "\"Share\":-1", "/Routes/0/Weighted/0/Share"},
        {"\"Share\":90", "\"Share\":\"90\"", "/Routes/0/Weighted/0/Share"},
        {"\"Backend\":\"desk\",\"Share\":90", "\"Share\":90", "/Routes/0/Weighted/0"},
        {"\"DeadlineMs\":4000", "\"DeadlineMs\":0", "/Routes/1/DeadlineMs"},
        {"\"DeadlineMs\":4000", "\"DeadlineMs\":0.0", "/Routes/1/DeadlineMs"},
        {"\"DeadlineMs\":4000", "\"DeadlineMs\":-4000", "/Routes/1/DeadlineMs"},
        {"\"DeadlineMs\":4000", "\"DeadlineMs\":\"4000\"", "/Routes/1/DeadlineMs"},
        {"\"DeadlineMs\":4000", "\"DeadlineMs\":null", "/Routes/1/DeadlineMs"},
        {"\"DeadlineMs\":4000,", "", "/Routes/1"}, {"\"DeadlineMs\":4000", "\"DeadlineMs\":1e999", ""},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":5", "/ConfigVersion"},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":4", "/ConfigVersion"},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":0", "/ConfigVersion"},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":\"7\"", "/ConfigVersion"},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":7.5", "/ConfigVersion"},
        {"\"ConfigVersion\":7", "\"ConfigVersion\":18446744073709551615", "/ConfigVersion"},
        {"\"ConfigVersion\":7,", "", "/"}, {"\"Routes\":", "\"Ways\":", "/"},
        {"\"Backends\":", "\"Services\":", "/"}, {"\"Routes\":[", "\"Routes\":[7,", "/Routes/0"},
        {"\"Name\":\"r-1\",", "", "/Routes/0"}, {"\"Name\":\"r-1\"", "\"Name\":\"\"", "/Routes/0/Name"},
        {"\"Name\":\"r-1\"", "\"Name\":\"r-2\"", "/Routes/1/Name"},
        {"\"Name\":\"map\",", "\"Name\":\"desk\",", "/Backends/1/Name"},
        {"\"Name\":\"map\",", "", "/Backends/1"}, {"\"Hostname\":\"other.example\",", "", "/Routes/3"},
        {"\"Hostname\":\"other.example\"", "\"Hostname\":7", "/Routes/3/Hostname"},
        {"\"PathPrefix\":\"/pufi/\",", "", "/Routes/1"}, {"\"/pufi/\"", "\"/pufi\"", "/Routes/1/PathPrefix"},
        {"\"/pufi/\"", "\"pufi/\"", "/Routes/1/PathPrefix"}, {"\"/pufi/\"", "\"\"", "/Routes/1/PathPrefix"},
        {"\"MaxTries\":3", "\"MaxTries\":-3", "/Routes/1/MaxTries"},
        {"\"MaxTries\":3", "\"MaxTries\":\"3\"", "/Routes/1/MaxTries"},
        {"\"Rank\":1", "\"Rank\":-1", "/Routes/0/Rank"}, {"\"Rank\":1", "\"Rank\":\"a\"", "/Routes/0/Rank"},
        {"\"TargetMs\":800", "\"TargetMs\":-1", "/Routes/1/TargetMs"},
        {"\"GapTargetMs\":400", "\"GapTargetMs\":[]", "/Routes/0/GapTargetMs"},
        {"\"Resumable\":true", "\"Resumable\":1", "/Routes/1/Resumable"},
        {"[\"punjab\",\"sindh\"]", "\"punjab\"", "/Routes/1/HomeRegions"},
        {"[\"punjab\",\"sindh\"]", "[\"punjab\",7]", "/Routes/1/HomeRegions/1"},
        {"\"MaxConns\":390", "\"MaxConns\":\"many\"", "/Backends/0/MaxConns"},
        {"\"Engine\":{", "\"Engine\":7,\"E\":{", "/Backends/0/Engine"},
        {"\"Limits\":{", "\"Limits\":[],\"L\":{", "/Limits"},
        {"\"Added\":true", "\"Added\":true,\"Added\":true", "/"},
        {"\"Rank\":1", "\"Rank\":1,\"Rank\":1", "/"}, {"\"Added\":true}", "\"Added\":true}}", "/"},
        {"\"Added\":true}", "\"Added\":true}x", "/"}, {"\"Added\":true}", "\"Added\":true},", "/"},
        {"\"Added\":true}", "\"Added\":tru}", "/"}, {"\"Added\":true}", "\"Added\":NaN}", "/"},
        {"\"Added\":true}", std::string("\"Added\":true}\0{}", 17), "/"},
        {"\"Added\":true", "\"Added\":\"\\ud800\"", "/"}, {"\"Added\":true", "\"Added\":\"\\udc00\"", "/"},
        {"\"Added\":true", "\"Added\":\"\xff\"", "/"}, {"\"Name\":\"r-1\"", "\"Name\":\"r-1\\u0000\"", "/"},
        {"\"Added\":true", "\"Added\":" + std::string(100000, '[') + std::string(100000, ']'), "/"}};
    for (auto& c : cases) {
        auto s = replaced(DOCUMENT, c.from, c.to);
        if (c.where.empty() && c.to == "\"Share\":0") {  // 10 is left
            CHECK(bool(translateConfiguration(s, 5, BOUNDS)));
            continue;
        }
        auto t = translateConfiguration(s, 5, BOUNDS);
        CPPUNIT_ASSERT_MESSAGE(c.to.substr(0, 100), !t);
        auto all = std::string();
        for (auto& f : t.error().faults) all += f.path + ": " + f.why + "\n";
        CPPUNIT_ASSERT_MESSAGE(c.where + " in " + all,
            std::any_of(t.error().faults.begin(), t.error().faults.end(),
                [&](auto& f) { return f.path.starts_with(c.where); }));
    }
    for (auto s : {"", " ", "null", "7", "[]", "{}", "\"x\""}) CHECK(!translateConfiguration(s, 0, BOUNDS));
    // Hosts are the same whatever their case, prefixes are not.
    CHECK(!translateConfiguration(
        replaced(
            replaced(DOCUMENT, "\"PathPrefix\":\"/pufi/\"", "\"PathPrefix\":\"/lohu/\""), "Ficu95", "FICU95"),
        5, BOUNDS));
    CHECK(bool(translateConfiguration(replaced(DOCUMENT, "/pufi/", "/LOHU/"), 5, BOUNDS)));
}

// A document that was cut short is invalid, wherever.
TEST(PlatformConfig, cutShortAnywhere) {
    auto s = DOCUMENT + " \n";
    for (auto i = std::size_t(0); i <= s.size(); i++) {
        auto t = translateConfiguration(std::string_view(s).substr(0, i), 0, BOUNDS);
        CHECK_EQ(i >= DOCUMENT.size(), bool(t));
        if (t) CHECK_EQ(s.substr(0, i), originOf(parsed(t->text)).text);
    }
}

// Whatever is altered in it: either it is refused, or the product takes what comes of it and
// keeps the text as it was.
TEST(PlatformConfig, fuzzAltered) {
    auto r = RandomSource{3};
    auto good = 0;
    static constexpr std::string_view pieces[] = {
        "0", "-1", "1e9", "\"", "null", "[]", "{}", ",", "\"r-1\"", "/", "\\u00e9", "desk", ":", "9"};
    for (auto i = 0; i < 6000; i++) {
        auto s = DOCUMENT;
        for (auto k = 1 + r.below(3); k-- > 0;) {
            auto at = r.below(s.size());
            auto p = pieces[r.below(std::size(pieces))];
            if (r.chance(0.4)) s[at] = char(r.below(256));
            else if (r.chance(0.5)) s.replace(at, r.below(6), p);
            else s.erase(at, 1 + r.below(20));
        }
        auto t = translateConfiguration(s, 0, BOUNDS);
        if (!t) {
            CHECK(!t.error().faults.empty());
            continue;
        }
        good++;
        auto c = parsed(t->text);
        for (auto& f : validateConfiguration(c)) CPPUNIT_FAIL(f.path + ": " + f.why + " in " + s);
        CHECK_EQ(s, originOf(c).text);
        CHECK_EQ(t->number, originOf(c).number);
    }
    CHECK(good > 100);
}

TEST(PlatformConfig, versionsRiseByUnevenSteps) {
    auto r = RandomSource{5};
    auto now = std::int64_t(0);
    for (auto i = 0; i < 200; i++) {
        auto next = now + 1 + std::int64_t(r.below(1000000));
        auto at = [&](std::int64_t n) {
            return translateConfiguration(
                replaced(DOCUMENT, "\"ConfigVersion\":7", fmt::format("\"ConfigVersion\":{}", n)), now,
                BOUNDS);
        };
        CHECK(!at(now));
        CHECK(!at(now - std::int64_t(r.below(100))));
        CHECK_EQ(next, at(next)->number);
        now = next;
    }
}

static auto many(int n) -> std::string {
    auto s = std::string(R"({"ConfigVersion":1,"Routes":[)");
    for (auto i = 0; i < n; i++)
        s += fmt::format(
            R"({}{{"Name":"r{}","Hostname":"h{}.example","PathPrefix":"/p{}/","Variant":"safe","DeadlineMs":100,"Backend":"b{}"}})",
            i ? "," : "", i, i % 3, i, i % 50);
    s += R"(],"Backends":[)";
    for (auto i = 0; i < 50; i++) s += fmt::format(R"({}{{"Name":"b{}"}})", i ? "," : "", i);
    return s + "]}";
}

// The work grows with the document and no faster.
TEST(PlatformConfig, twentyThousandRoutes) {
    auto a = translateConfiguration(many(10000), 0, BOUNDS),
         b = translateConfiguration(many(20000), 0, BOUNDS);
    CHECK(a && b);
    CHECK(b->steps <= 2 * a->steps);
    CHECK(b->steps <= 3 * 20050);
    CHECK(!translateConfiguration(many(20001), 0, BOUNDS));
}

// ---- patches

TEST(PlatformConfig, patchReplacesAddsAndRemoves) {
    auto p = parsed(
        R"({"ConfigVersion":9,"Limits":{"IdleMs":1},"Upsert":{"Routes":[{"Name":"r-9","X":1},{"Name":"r-2","Y":0.1}],"Tenants":[{"Name":"t"}]},"Remove":{"Routes":["r-1","never"],"Nothing":["n"]}})");
    auto s = applyPatch(
        R"({"Routes":[{"Name":"r-1"},{"Name":"r-2","Old":2},{"Name":"r-3","f":3.0,"g":0.1,"h":1e+22,"i":-9223372036854775808}],"Backends":[],"ConfigVersion":7,"Z":"ü\n"})",
        p);
    CHECK(bool(s));
    CHECK_EQ(
        std::string(
            R"({"Routes":[{"Name":"r-2","Y":0.1},{"Name":"r-3","f":3.0,"g":0.1,"h":1e22,"i":-9223372036854775808},{"Name":"r-9","X":1}],"Backends":[],"ConfigVersion":9,"Z":"ü\n","Limits":{"IdleMs":1},"Tenants":[{"Name":"t"}]})"),
        *s);
    // Where a list's place holds one thing, it is replaced whole.
    CHECK_EQ(std::string(R"({"Limits":{"b":2},"ConfigVersion":2})"),
        *applyPatch(R"({"Limits":{"a":1}})", parsed(R"({"ConfigVersion":2,"Upsert":{"Limits":{"b":2}}})")));
    // With nothing there yet, a patch may bring all.
    CHECK_EQ(std::string(R"({"ConfigVersion":2,"Routes":[{"Name":"a"}]})"),
        *applyPatch("", parsed(R"({"ConfigVersion":2,"Upsert":{"Routes":[{"Name":"a"}]}})")));
}

TEST(PlatformConfig, patchThatIsNone) {
    for (auto p : {"{}", "[]", "7", R"({"ConfigVersion":"9"})", R"({"ConfigVersion":9,"Upsert":[]})",
             R"({"ConfigVersion":9,"Upsert":{"Routes":7}})", R"({"ConfigVersion":9,"Upsert":{"Routes":[7]}})",
             R"({"ConfigVersion":9,"Upsert":{"Routes":[{"X":1}]}})",
             R"({"ConfigVersion":9,"Upsert":{"Routes":[{"Name":7}]}})",
             R"({"ConfigVersion":9,"Upsert":{"Routes":[{"Name":"a"},{"Name":"a"}]}})",
             R"({"ConfigVersion":9,"Upsert":{"ConfigVersion":[{"Name":"a"}]}})",
             R"({"ConfigVersion":9,"Upsert":{"Routes":[{"Name":"r-1"}]},"Remove":{"Routes":["r-1"]}})",
             R"({"ConfigVersion":9,"Remove":{"Routes":"r-1"}})",
             R"({"ConfigVersion":9,"Remove":{"Routes":[7]}})", R"({"ConfigVersion":9,"Remove":["r-1"]})",
             R"({"ConfigVersion":9,"Limits":7})"}) {
        auto s = applyPatch(DOCUMENT, parsed(p));
        CPPUNIT_ASSERT_MESSAGE(p, !s && !s.error().faults.empty());
    }
    // One may leave a document that is invalid: a service that routes name is gone.
    auto s = applyPatch(DOCUMENT, parsed(R"({"ConfigVersion":9,"Remove":{"Backends":["map"]}})"));
    CHECK(s && !translateConfiguration(*s, 7, BOUNDS));
}

// Against a plain reading: lists of names with a number each.
TEST(PlatformConfig, fuzzPatchAgainstAPlainReading) {
    using List = std::vector<std::pair<std::string, int>>;
    auto r = RandomSource{17};
    auto item = [](const std::pair<std::string, int>& x) {
        return fmt::format(R"({{"Name":"{}","n":{}}})", x.first, x.second);
    };
    auto list = [&](const List& l) {
        auto o = std::string();
        for (auto& x : l) o += (o.empty() ? "" : ",") + item(x);
        return "[" + o + "]";
    };
    auto whole = [&](int v, const std::map<std::string, List>& ls) {
        return fmt::format(R"({{"ConfigVersion":{},"Routes":{},"Backends":{},"Others":{}}})", v,
            list(ls.at("Routes")), list(ls.at("Backends")), list(ls.at("Others")));
    };
    auto now = std::map<std::string, List>{{"Routes", {}}, {"Backends", {}}, {"Others", {}}};
    auto text = whole(1, now);
    auto serial = 0;
    for (auto round = 2; round < 600; round++) {
        auto up = std::string(), down = std::string();
        for (auto& [k, l] : now) {
            auto add = List();
            auto gone = std::vector<std::string>();
            for (auto i = r.below(4); i-- > 0;) {
                auto n = fmt::format("x{}", r.below(12));
                if (std::none_of(add.begin(), add.end(), [&](auto& a) { return a.first == n; }))
                    add.push_back({n, ++serial});
            }
            for (auto i = r.below(3); i-- > 0;) {
                auto n = fmt::format("x{}", r.below(12));
                if (std::none_of(add.begin(), add.end(), [&](auto& a) { return a.first == n; }))
                    gone.push_back(n);
            }
            for (auto& g : gone)
                l.erase(std::remove_if(l.begin(), l.end(), [&](auto& x) { return x.first == g; }), l.end());
            for (auto& a : add) {
                auto i = std::find_if(l.begin(), l.end(), [&](auto& x) { return x.first == a.first; });
                if (i != l.end()) i->second = a.second;
                else l.push_back(a);
            }
            auto names = std::string();
            for (auto& g : gone) names += (names.empty() ? "" : ",") + jsonQuote(g);
            if (r.chance(0.8) || !add.empty())
                up += fmt::format("{}\"{}\":{}", up.empty() ? "" : ",", k, list(add));
            if (r.chance(0.8) || !gone.empty())
                down += fmt::format("{}\"{}\":[{}]", down.empty() ? "" : ",", k, names);
        }
        auto p = fmt::format(R"({{"ConfigVersion":{},"Remove":{{{}}},"Upsert":{{{}}}}})", round, down, up);
        auto s = applyPatch(text, parsed(p));
        CHECK(bool(s));
        text = *s;
        CHECK_EQ(whole(round, now), text);
    }
}

// ---- the list of servers, the directory

TEST(PlatformConfig, theListOfServers) {
    auto list = ServerList();
    auto next = readServerPage(
        R"({"Instances":[{"Backend":"desk","Address":"10.128.0.9:8080","Zone":"lhr-hall","ConfigVersion":"v1","Slots":64,"State":"ready","ColdLeftMs":1500,"Phase":"mixed","Models":[{"Name":"m","ConfigVersion":4,"Adapters":[]}],"InstanceId":"i-1"},{"Backend":"map","Address":"10.128.0.10:8080","Zone":"elsewhere","State":"draining","InstanceId":"i-2"}],"NextToken":"p-50"})",
        list);
    CHECK_EQ(std::string("p-50"), *next);
    CHECK_EQ(std::string(), *readServerPage(R"({"Instances":[],"NextToken":null})", list));
    CHECK_EQ(std::string(), *readServerPage(R"({"Instances":[]})", list));
    CHECK_EQ(
        std::string(
            R"({"servers":[{"name":"i-1","address":"10.128.0.9:8080","region":"punjab","district":"lhr-hall","pool":"desk","weights":"4","slots":64,"state":"up","coldUs":1500000},{"name":"i-2","address":"10.128.0.10:8080","region":"","district":"elsewhere","pool":"map","weights":"","slots":8,"state":"leaving","coldUs":0}]})"),
        productServerList(list, {{"lhr-hall", "punjab"}}));
    auto o = list.servers["i-1"];
    o.coldFor = 0;
    CHECK(o.sameAs(list.servers["i-1"]));
    o.leaving = true;
    CHECK(!o.sameAs(list.servers["i-1"]));
    for (auto s :
        {"", "{}", "[]", R"({"Instances":{}})", R"({"Instances":[7]})", R"({"Instances":[],"NextToken":7})",
            R"({"Instances":[{"Backend":"b","Address":"10.0.0.1:1","Zone":"z"}]})",
            R"({"Instances":[{"Backend":"b","Address":"host:1","InstanceId":"i"}]})",
            R"({"Instances":[{"Address":"10.0.0.1:1","InstanceId":"i"}]})",
            R"({"Instances":[],"Instances":[]})"})
        CPPUNIT_ASSERT_MESSAGE(s, !readServerPage(s, list));
    CHECK(bool(readServerPage(
        R"({"Instances":[{"Backend":"b","Address":"10.0.0.1:1","InstanceId":"i","Models":[7],"Slots":-4}]})",
        list)));
    CHECK_EQ(std::int64_t(1), list.servers["i"].slots);
}

TEST(PlatformConfig, nearNodesFirst) {
    auto node = [](const std::string& a, const std::string& r, const std::string& d) {
        return bodyOf({{"node", jsonQuote(a)}, {"address", jsonQuote(a)}, {"region", jsonQuote(r)},
            {"district", jsonQuote(d)}});
    };
    auto all = node("a", "p", "x") + "," + node("b", "p", "y") + "," + node("c", "s", "z");
    auto got = [&](const std::string& nodes, const std::string& region, const std::string& zone,
                   DirectorySpread s = {}) {
        auto o = std::string();
        for (auto& a : nearestAddresses("{\"nodes\":[" + nodes + "]}", {region, zone}, s)) o += a;
        return o;
    };
    CHECK_EQ(std::string("ab"), got(all, "p", "x"));  // one in its zone is too few
    CHECK_EQ(std::string("ad"),
        got(node("a", "p", "x") + "," + node("d", "p", "x") + "," + all.substr(all.find("},") + 2), "p",
            "x"));
    CHECK_EQ(std::string("c"), got(all, "s", "z"));
    CHECK_EQ(std::string("abc"), got(all, "q", "w"));
    CHECK_EQ(std::string("a"), got(all, "p", "x", {1, 1, 64}));
    CHECK_EQ(std::string("ab"), got(all, "q", "w", {2, 1, 2}));
    CHECK_EQ(std::string(), got("", "p", "x"));
    CHECK(nearestAddresses("no", {"p", "x"}).empty());
}

}  // namespace duneturn::platform
