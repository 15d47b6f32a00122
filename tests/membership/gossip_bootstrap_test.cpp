// The first start of a fleet with gossip membership, restarts of the whole fleet, and nodes that join it.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

TEST(GossipMembership, emptyDisksBootstrapOneCluster) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 6; seed++) {
        auto fleet = Fleet(seed);
        fleet.bootstrap();
        for (auto& node : fleet.nodes) CHECK(!node->n->withinLease(fleet.t));
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.leader() != nullptr; }));
        CHECK_EQ(std::size_t(3), fleet.voterDisks().size());
        auto orderedAt = fleet.t;
        CHECK(fleet.putConfiguration());
        CHECK(fleet.t - orderedAt < SECOND);
        CHECK(fleet.until(SECOND, [&] { return fleet.allWithinLease(); }));
        for (auto& node : fleet.nodes) CHECK_EQ(std::size_t(12), node->n->aliveNodes(fleet.t).size());
        CHECK_EQ(std::int64_t(0), fleet.probes);
        auto epochsBegun = std::int64_t(0);
        for (auto& node : fleet.nodes) epochsBegun += node->counters.get("reigns_begun_total");
        CHECK_EQ(std::int64_t(1), epochsBegun);
    }
}

TEST(GossipMembership, fiveOfSixDisksVoteSpreadOverTheZones) {
    auto muted = MutedLog();
    auto fleet = Fleet(3);
    fleet.bootstrap(6);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.leader() != nullptr; }));
    CHECK_EQ(std::size_t(5), fleet.voterDisks().size());
    auto votersInZone = std::map<std::string, int>();
    for (auto& node : fleet.nodes)
        if (fleet.isVoter(*node)) votersInZone[node->st.zone]++;
    CHECK_EQ(std::size_t(3), votersInZone.size());
    for (auto& [zone, voters] : votersInZone) CHECK(voters <= 2);
}

// Without the setting `bootstrap`, which only the first start has, no node begins an epoch.
TEST(GossipMembership, restartWithoutBootstrapBeginsNoEpoch) {
    auto muted = MutedLog();
    auto fleet = Fleet(4);
    fleet.bootstrap();
    for (auto& node : fleet.nodes) {
        fleet.stop(*node);
        fleet.restart(*node);
    }
    CHECK(!fleet.until(10 * SECOND, [&] { return fleet.leader() != nullptr; }));
}

TEST(GossipMembership, fleetRecoversAfterAllNodesLosePower) {
    auto muted = MutedLog();
    for (auto seed = 60u; seed < 66; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        CHECK(fleet.orderUntilAcknowledged("z", 4 * SECOND));
        for (auto& node : fleet.nodes) fleet.stop(*node);
        fleet.run(500 * MILLISECOND);
        for (auto& node : fleet.nodes) {
            // The seeds of the later start may be gone; core nodes have saved the addresses of their peers.
            if (seed % 2) node->st.seeds = {node->core ? "10.1.0.99:7720" : "10.1.0.1:7720"};
            fleet.restart(*node);
        }
        for (auto i = 0u; i < 3; i++) CHECK(fleet.nodes[i]->n->withinLease(fleet.t));
        CHECK(fleet.until(5 * SECOND, [&] { return fleet.leader() && fleet.evacuatedEverywhere("z"); }));
        CHECK(fleet.orderUntilAcknowledged("y", 4 * SECOND));
        for (auto& node : fleet.nodes) CHECK(node->n->withinLease(fleet.t));
        fleet.run(2 * SECOND);
        for (auto& node : fleet.nodes) CHECK_EQ(std::size_t(12), node->n->aliveNodes(fleet.t).size());
    }
}

TEST(GossipMembership, newNodeJoinsAndRemovedNodeIsDetected) {
    auto muted = MutedLog();
    auto fleet = Fleet(70);
    fleet.startCluster();
    CHECK_EQ(200, fleet.list(*fleet.leader(), {"s1", "s2"}));
    auto& newNode = fleet.add("sindh", "khi-hall", false, false);
    fleet.start(newNode);
    CHECK(fleet.until(SECOND, [&] { return newNode.n->ready(fleet.t); }));
    CHECK(fleet.until(2 * SECOND, [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
            [&](auto& node) { return node->n->alive(newNode.st.node, fleet.t); });
    }));
    fleet.run(3 * SECOND);
    for (auto& node : fleet.nodes) CHECK_EQ(std::size_t(13), node->n->aliveNodes(fleet.t).size());
    fleet.stop(newNode);
    newNode.removed = true;
    fleet.run(4 * SECOND);
    for (auto& node : fleet.nodes)
        if (node->up) CHECK_EQ(std::size_t(12), node->n->aliveNodes(fleet.t).size());
}

TEST(GossipMembership, settingsOfTheMembershipProtocolAreValidated) {
    auto base =
        std::map<std::string, std::string>{{"node", "a"}, {"peer", "127.0.0.1:1"}, {"sender", "127.0.0.1:2"},
            {"operator", "127.0.0.1:3"}, {"seeds", "127.0.0.1:1"}, {"district", "d"}, {"region", "r"}};
    auto settings = readSettings("", base);
    CHECK(settings && !settings->gossip && !settings->bootstrap && !settings->serveOn && settings->probes
        && !settings->heartbeat);
    auto with = [&](std::map<std::string, std::string> values) {
        values.insert(base.begin(), base.end());
        return readSettings("", values);
    };
    settings = with({{"membership", "learnt"}, {"bootstrap", "true"}, {"outOfTouch", "serve"},
        {"probes", "false"}, {"beatUs", "300000"}});
    CHECK(settings && settings->gossip && settings->bootstrap && settings->serveOn && !settings->probes);
    CHECK_EQ(Microseconds(300000), settings->heartbeat);
    CHECK(!with({{"outOfTouch", "serve"}}));
    CHECK(!with({{"bootstrap", "true"}}));
    CHECK(!with({{"membership", "learnt"}, {"roster", "a"}}));
    CHECK(!with({{"membership", "some"}}));
    CHECK(!with({{"bootstrap", "yes"}, {"membership", "learnt"}}));
    CHECK(!with({{"beatUs", "1"}}));
}

}  // namespace duneturn
