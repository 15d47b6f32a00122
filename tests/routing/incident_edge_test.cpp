// What the incidents inc-33e3 and inc-884a showed of an edge behind another wire: a district's
// servers fall over together. One node that is a fleet of its own.
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

auto dialect() -> Dialect {
    auto d = Dialect();
    d.request = "X-Try", d.notExecuted = "X-Not-Run", d.weights = "", d.target = "X-For";
    d.load = "X-Load", d.model = "X-Model";
    d.clientNamesRequests = d.passHeaders = true;
    d.doneEvent = false;
    return d;
}

struct Rig : NodePort, EdgePort {
    struct Sent {
        std::int64_t x;
        int a;
        std::string server;
    };
    Settings st;
    Counters ct;
    std::unique_ptr<Node> n;
    std::unique_ptr<Edge> e;
    std::deque<DiskWrite> dq;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, int> outs, replies;
    std::map<std::int64_t, bool> ends;
    std::vector<Sent> sends;
    std::int64_t names = 0;

    Rig(const std::string& routes, const std::vector<std::pair<std::string, std::string>>& servers) {
        muteLog(true);
        st.node = "a", st.zone = "d", st.region = "near", st.peer = "127.0.0.1:1";
        st.roster = st.initialVoters = {"a"};
        n = std::make_unique<Node>(st, *this, ct, 7, 2);
        e = std::make_unique<Edge>(*n, *this, ct, 2, dialect());
        n->startCore({}, "disk", now);
        run(8 * SECOND);
        n->order(1, "config", "k",
            R"({"base":0,"config":{"budget":{"slack":64,"share":0.2},"models":{"m":{"migrationLimit":1}},"mappings":[)"
                + routes + "]}}",
            now);
        run(SECOND);
        CHECK_EQ(200, outs[1]);
        auto o = std::string();
        for (auto& [s, z] : servers)
            o += (o.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(s)}, {"address", "\"127.0.0.1:9\""}, {"region", "\"near\""},
                    {"district", jsonQuote(z)}, {"pool", "\"p\""}, {"slots", "8"}});
        n->list(2, "{\"revision\":1,\"servers\":[" + o + "]}", now);
        run(SECOND);
    }
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite& w) -> void override { dq.push_back(w); }
    auto done(std::int64_t id, const Outcome& o) -> void override { outs[id] = o.status; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string&, const std::string&) -> void override {}
    auto send(std::int64_t x, int a, const std::string& s, const std::string&) -> void override {
        sends.push_back({x, a, s});
    }
    auto drop(std::int64_t, int) -> void override {}
    auto head(std::int64_t, int, const Headers&) -> void override {}
    auto part(std::int64_t, const std::string&) -> void override {}
    auto end(std::int64_t x, bool w) -> void override { ends[x] = w; }
    auto reply(std::int64_t x, int s, const Headers&, const std::string&) -> void override { replies[x] = s; }
    auto run(Microseconds d) -> void {
        for (auto t = now + d; now < t; now += 20 * MILLISECOND) {
            n->tick(now, 1800000000 * SECOND + now);
            e->tick(now);
            auto q = std::move(dq);
            dq.clear();
            for (auto& w : q) n->diskDone(w.seq, true, now);
        }
    }
    auto ask(const std::string& path) -> std::int64_t {
        return e->accept("POST", path,
            {{"Host", "h"}, {"X-Model", "m"}, {"X-Try", fmt::format("t{}", ++names)}}, "body", now);
    }
    auto last() -> Sent { return sends.back(); }
};

constexpr auto ONCE = R"({"name":"once","path":"/o/*","pool":"p","stream":true,"MaxTries":1})";
constexpr auto AGAIN =
    R"({"name":"again","path":"/r/*","pool":"p","stream":true,"Resumable":true,"MaxTries":2})";

}  // namespace

// Where nobody was there, nothing was migrated: a second closed door is no reason to give up.
TEST(Incident, refusedIsNoMigration) {
    auto six = std::vector<std::pair<std::string, std::string>>{
        {"u", "z"}, {"v", "z"}, {"w", "z"}, {"x", "z"}, {"y", "z"}, {"z", "z"}};
    for (auto path : {"/o/1", "/r/1"}) {
        auto r = Rig(fmt::format("{},{}", ONCE, AGAIN), six);
        auto x = r.ask(path);
        for (auto i = 0; i < 3; i++) r.e->refused(x, r.last().a, r.now);
        CHECK_EQ(std::size_t(4), r.sends.size());
        CHECK(!r.replies.count(x));
        CHECK(r.e->maySend(x, r.last().a, r.now));
    }
    // Of one that has run, the limit counts as before: one migration.
    auto r = Rig(fmt::format("{},{}", ONCE, AGAIN), six);
    auto x = r.ask("/r/1");
    CHECK(r.e->maySend(x, r.last().a, r.now));
    r.e->upLost(x, r.last().a, "reset", r.now);
    CHECK_EQ(std::size_t(2), r.sends.size());
    r.e->refused(x, r.last().a, r.now);
    CHECK_EQ(std::size_t(3), r.sends.size());
    CHECK(r.e->maySend(x, r.last().a, r.now));
    r.e->upLost(x, r.last().a, "reset", r.now);
    CHECK_EQ(std::size_t(3), r.sends.size());
    CHECK_EQ(502, r.replies[x]);
}

}  // namespace duneturn
