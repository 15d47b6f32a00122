// One node by itself: incarnation numbers, freezes of its process, and the numbers of listings.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/node_fixture.hpp"
#include "test.hpp"

namespace duneturn {

// The clock was set back between two incarnations: another node holds a record of this node with a higher
// incarnation number. Later the process is suspended; a load report that arrives right after that must not
// count as recent.
TEST(Node, higherOwnIncarnationIsRefutedAndLoadAfterAFreezeIgnored) {
    auto fixture = NodeFixture();
    auto envelope = wire::Envelope();
    envelope.wire = WIRE;
    envelope.node = "b";
    auto heartbeat = wire::Heartbeat();
    heartbeat.records.resize(2);
    auto& otherRecord = heartbeat.records[0];
    otherRecord.node = "b";
    otherRecord.boot = 5;
    otherRecord.heartbeat = 1;
    otherRecord.peer = "127.0.0.1:2";
    auto& ownRecord = heartbeat.records[1];
    ownRecord.node = "a";
    ownRecord.boot = 900;
    ownRecord.heartbeat = 44;
    ownRecord.peer = "127.0.0.1:1";
    envelope.__set_heartbeat(heartbeat);
    fixture.n->handle(envelope, fixture.now);
    CHECK(fixture.n->ownRecord().boot > 900);

    fixture.list({{"x", "near", "z", "p", "w"}});
    auto loadReadAt = fixture.n->servers().at("x").loadReadAt;
    fixture.now += 5 * SECOND;
    envelope.heartbeat.records.resize(1);
    envelope.heartbeat.records[0].heartbeat = 2;
    envelope.heartbeat.loads.resize(1);
    envelope.heartbeat.loads[0].server = "x";
    fixture.n->handle(envelope, fixture.now);
    CHECK_EQ(loadReadAt, fixture.n->servers().at("x").loadReadAt);
    CHECK_EQ(std::int64_t(1), fixture.ct.get("woke_total"));
    CHECK(!fixture.n->withinLease(fixture.now) || fixture.n->replicatedState().roster().size() == 1);
}

// A listing or mark of the platform that was delayed must not undo a newer one.
TEST(Node, delayedListingOrMarkIsRejected) {
    auto fixture = NodeFixture();
    auto& node = *fixture.n;
    auto listing = [](std::int64_t revision, const std::string& state) {
        return fmt::format(
            R"({{"revision":{},"servers":[{{"name":"x","address":"127.0.0.1:9","region":"r","district":"d","pool":"p","state":"{}"}}]}})",
            revision, state);
    };
    node.list(1, listing(10, "up"), fixture.now);
    CHECK_EQ(200, fixture.outcomes[1].status);
    node.mark(2, "x", 12, fixture.now);
    fixture.run(SECOND);
    CHECK_EQ(200, fixture.outcomes[2].status);
    node.list(3, listing(11, "up"), fixture.now);
    CHECK_EQ(409, fixture.outcomes[3].status);
    CHECK_EQ(int(LEAVING), int(node.servers().at("x").listing.state));
    node.mark(4, "x", 9, fixture.now);
    CHECK_EQ(409, fixture.outcomes[4].status);
    node.list(5, listing(13, "up"), fixture.now);
    CHECK_EQ(200, fixture.outcomes[5].status);
    CHECK_EQ(int(UP), int(node.servers().at("x").listing.state));
}

// Recovery by an operator is rejected while a majority exists; a single node is its own majority.
TEST(Node, recoveryIsRejectedWhileAMajorityExists) {
    auto fixture = NodeFixture();
    auto& state = fixture.n->replicatedState();
    CHECK_EQ(409, fixture.n->rescue(state.epoch, state.version, fixture.now).status);
    CHECK_EQ(409, fixture.n->rescue(state.epoch, state.version + 1, fixture.now).status);
}

}  // namespace duneturn
