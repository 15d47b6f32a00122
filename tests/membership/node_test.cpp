#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/node_fixture.hpp"
#include "test.hpp"

namespace duneturn {

// A clock that was set back between two lives, and a freeze, as one node sees them.
TEST(Node, clocksAndFreezes) {
    auto r = NodeFixture();
    auto e = wire::Envelope();
    e.wire = WIRE;
    e.node = "b";
    auto b = wire::Heartbeat();
    b.records.resize(2);
    b.records[0].node = "b", b.records[0].boot = 5, b.records[0].heartbeat = 1,
    b.records[0].peer = "127.0.0.1:2";
    b.records[1].node = "a", b.records[1].boot = 900, b.records[1].heartbeat = 44,
    b.records[1].peer = "127.0.0.1:1";
    e.__set_heartbeat(b);
    r.n->handle(e, r.now);
    CHECK(r.n->ownRecord().boot > 900);
    // The load that comes after a freeze was written before it.
    r.list({{"x", "near", "z", "p", "w"}});
    auto seen = r.n->servers().at("x").loadReadAt;
    r.now += 5 * SECOND;
    e.heartbeat.records.resize(1);
    e.heartbeat.records[0].heartbeat = 2;
    e.heartbeat.loads.resize(1);
    e.heartbeat.loads[0].server = "x";
    r.n->handle(e, r.now);
    CHECK_EQ(seen, r.n->servers().at("x").loadReadAt);
    CHECK_EQ(std::int64_t(1), r.ct.get("woke_total"));
    CHECK(!r.n->withinLease(r.now) || r.n->replicatedState().roster().size() == 1);
}

// What the platform says late undoes nothing newer; what it says later is believed.
TEST(Node, listingsByNumber) {
    auto r = NodeFixture();
    auto l = [](std::int64_t rev, const std::string& st) {
        return fmt::format(
            R"({{"revision":{},"servers":[{{"name":"x","address":"127.0.0.1:9","region":"r","district":"d","pool":"p","state":"{}"}}]}})",
            rev, st);
    };
    r.n->list(1, l(10, "up"), r.now);
    CHECK_EQ(200, r.outcomes[1].status);
    r.n->mark(2, "x", 12, r.now);
    r.run(SECOND);
    CHECK_EQ(200, r.outcomes[2].status);
    r.n->list(3, l(11, "up"), r.now);
    CHECK_EQ(409, r.outcomes[3].status);
    CHECK_EQ(int(LEAVING), int(r.n->servers().at("x").listing.state));
    r.n->mark(4, "x", 9, r.now);
    CHECK_EQ(409, r.outcomes[4].status);
    r.n->list(5, l(13, "up"), r.now);
    CHECK_EQ(200, r.outcomes[5].status);
    CHECK_EQ(int(UP), int(r.n->servers().at("x").listing.state));
}

// The last resort is refused here: one node that stands is its own majority.
TEST(Node, rescueRejected) {
    auto r = NodeFixture();
    CHECK_EQ(409, r.n->rescue(r.n->replicatedState().epoch, r.n->replicatedState().version, r.now).status);
    CHECK_EQ(
        409, r.n->rescue(r.n->replicatedState().epoch, r.n->replicatedState().version + 1, r.now).status);
}

}  // namespace duneturn
