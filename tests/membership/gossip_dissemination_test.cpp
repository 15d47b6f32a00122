// Gossip membership in virtual time: how changes of the replicated state, of nodes and of servers reach all
// nodes.
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

namespace {

/// Checks that a node has the same servers with the same listings as the leader.
auto checkSameListing(Node& leader, Node& node) -> void {
    CHECK_EQ(leader.servers().size(), node.servers().size());
    for (auto& [name, server] : leader.servers()) {
        CHECK_EQ(server.listing.state, node.servers().at(name).listing.state);
        CHECK_EQ(server.listing.revision, node.servers().at(name).listing.revision);
    }
}

/// Checks that a node has the newest records of all others.
auto checkNewestRecords(Fleet& fleet, FleetNode& node) -> void {
    for (auto& other : fleet.nodes) {
        if (other.get() == &node) continue;
        auto& record = node.n->nodes().at(other->st.node).record;
        CHECK_EQ(other->n->ownRecord().version, record.version);
        CHECK_EQ(other->n->ownRecord().stateVersion, record.stateVersion);
        CHECK_EQ(other->n->ownRecord().leader, record.leader);
    }
}

}  // namespace

TEST(GossipMembership, orderReachesAllNodesWithinASecond) {
    auto muted = MutedLog();
    auto fleet = Fleet(5);
    fleet.startCluster();
    for (auto& node : fleet.nodes) {
        auto id = fleet.order(*node, node->st.node);
        CHECK(fleet.until(SECOND, [&] { return fleet.ok(id); }));
        CHECK(fleet.until(SECOND, [&] { return fleet.evacuatedEverywhere(node->st.node); }));
    }
}

TEST(GossipMembership, orderReachesAllNodesAfterLossOfTheLeader) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 9; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        auto leader = fleet.leader();
        fleet.stop(*leader);
        auto stoppedAt = fleet.t;
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.leader() != nullptr; }));
        CHECK(fleet.orderUntilAcknowledged("z", 4 * SECOND - (fleet.t - stoppedAt)));
        CHECK(fleet.until(2500 * MILLISECOND, [&] { return fleet.evacuatedEverywhere("z"); }));
        fleet.restart(*leader);
        CHECK(leader->n->withinLease(fleet.t));  // at once, with the configuration on its disk
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.evacuatedEverywhere("z"); }));
    }
}

// A node that only relays is lost just before an order.
TEST(GossipMembership, orderReachesAllNodesAfterLossOfARelay) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 4; seed++)
        for (auto i = 3u; i < 12; i++) {
            auto fleet = Fleet(seed);
            fleet.startCluster();
            fleet.run(Microseconds(fleet.r.below(SECOND)));
            fleet.stop(*fleet.nodes[i]);
            CHECK(fleet.orderUntilAcknowledged("z", 2 * SECOND));
            CHECK(fleet.until(1700 * MILLISECOND, [&] { return fleet.evacuatedEverywhere("z"); }));
        }
}

// What was lost in transit is sent again: in the end all nodes hold the same records and the same listing.
TEST(GossipMembership, lostMessagesAreSentAgain) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 13; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        fleet.lossRate = .3;
        for (auto round = 0; round < 30; round++) {
            auto servers = std::vector<std::string>();
            for (auto i = 0; i < 6; i++)
                if (fleet.r.chance(.7)) servers.push_back(fmt::format("s{}", i));
            if (auto holders = fleet.dutyHolders(); !holders.empty())
                fleet.list(*holders[fleet.r.below(holders.size())], servers);
            if (fleet.r.chance(.2)) fleet.order(*fleet.nodes[fleet.r.below(12)], fmt::format("z{}", round));
            fleet.run(Microseconds(fleet.r.below(600 * MILLISECOND)));
        }
        fleet.lossRate = 0;
        fleet.run(4 * SECOND);
        CHECK(fleet.leader() && fleet.leader()->n->hasSingletonDuty(fleet.t));
        auto& leader = *fleet.leader()->n;
        for (auto& node : fleet.nodes) {
            CHECK_EQ(std::size_t(12), node->n->aliveNodes(fleet.t).size());
            CHECK_EQ(leader.replicatedState().version, node->n->replicatedState().version);
            checkSameListing(leader, *node->n);
            checkNewestRecords(fleet, *node);
        }
    }
}

// Where the settings do not let an isolated node serve, it loses its lease.
TEST(GossipMembership, isolatedNodeLosesItsLeaseIfConfigured) {
    auto muted = MutedLog();
    auto fleet = Fleet(50);
    fleet.serveOn = false;
    fleet.startCluster();
    auto& isolated = *fleet.nodes[7];
    fleet.lone(isolated, true);
    fleet.run(4 * SECOND);
    CHECK(!isolated.n->withinLease(fleet.t));
    CHECK(fleet.nodes[8]->n->withinLease(fleet.t));
    fleet.lone(isolated, false);
    CHECK(fleet.until(2 * SECOND, [&] { return isolated.n->withinLease(fleet.t); }));
}

TEST(GossipMembership, fewBytesAreSentBetweenRegions) {
    auto muted = MutedLog();
    auto fleet = Fleet(80);
    fleet.countBytes = true;
    fleet.startCluster();
    for (auto round = 0; round < 20; round++) {
        auto servers = std::vector<std::string>();
        for (auto i = 0; i < 14; i++) servers.push_back(fmt::format("server-{}", i));
        CHECK_EQ(200, fleet.list(*fleet.leader(), servers));
        if (round == 4) fleet.bytesBetweenRegions = fleet.heartbeats = 0;
        fleet.run(SECOND);
    }
    auto rate = fleet.bytesBetweenRegions / 16;
    if (getenv("DT_SHOW")) fmt::print("{} bytes and {} heartbeats a second\n", rate, fleet.heartbeats / 16);
    CHECK(rate > 500);  // shows that bytes are counted at all
    CHECK(rate < 5'000);
    CHECK(fleet.heartbeats / 16 < 70);
    CHECK_EQ(std::int64_t(0), fleet.probes);
    fleet.nodes[0]->st.probes = true;
    fleet.stop(*fleet.nodes[0]);
    fleet.restart(*fleet.nodes[0]);
    fleet.run(2 * SECOND);
    CHECK(fleet.probes > 0);
}

// In a larger fleet no running node is taken for failed, and the bytes that a node sends grow no faster than
// the number of nodes.
TEST(GossipMembership, largerFleetIsStable) {
    auto muted = MutedLog();
    auto fleet = Fleet(300);
    auto nodes = getenv("DT_NODES") ? atoi(getenv("DT_NODES")) : 60;
    fleet.startCluster(3, nodes);
    fleet.run(
        (2 + nodes / 100) * SECOND);  // hundreds of nodes that start at once need a while to discover all
    fleet.countBytes = true;
    auto rediscoveries = [&] {
        auto sum = std::int64_t(0);
        for (auto& node : fleet.nodes)
            sum += node->counters.get("node_heard_again_total") + node->counters.get("asked_total");
        return sum;
    };
    auto rediscoveriesBefore = rediscoveries();
    auto processorTimeBefore = clock();
    fleet.run(5 * SECOND);
    if (getenv("DT_SHOW"))
        fmt::print(
            "{} nodes: {} bytes a second between regions, {} a node; {} us of processor time a node and "
            "second\n",
            nodes, fleet.bytesBetweenRegions / 5, fleet.bytesSent / 5 / nodes,
            (clock() - processorTimeBefore) / 5 / nodes);
    CHECK_EQ(rediscoveriesBefore, rediscoveries());
    for (auto& node : fleet.nodes) CHECK_EQ(std::size_t(nodes), node->n->aliveNodes(fleet.t).size());
    CHECK(fleet.bytesSent / 5 / nodes < 80 * nodes);
    auto id = fleet.order(*fleet.nodes.back(), "z");
    CHECK(fleet.until(SECOND, [&] { return fleet.ok(id); }));
    CHECK(fleet.until(SECOND, [&] { return fleet.evacuatedEverywhere("z"); }));
}

}  // namespace duneturn
