// Gossip membership in virtual time: the singleton duty and the listing of servers.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

namespace {

/// Partitions the regions from each other, or ends the partition.
auto partitionRegions(Fleet& fleet, bool partitioned) -> void {
    for (auto i = 0u; i < 12; i++)
        for (auto j = 0u; j < 12; j++) {
            if (fleet.nodes[i]->st.region == fleet.nodes[j]->st.region) continue;
            if (partitioned) fleet.cut.insert({i, j});
            else fleet.cut.erase({i, j});
        }
}

/// Checks that all running nodes have the same listing as `expected`.
auto checkSameListing(Fleet& fleet, Node& expected) -> void {
    for (auto& node : fleet.nodes) {
        if (!node->up) continue;
        CHECK_EQ(expected.servers().size(), node->n->servers().size());
        for (auto& [name, server] : expected.servers()) {
            CHECK_EQ(std::size_t(1), node->n->servers().count(name));
            CHECK_EQ(server.listing.revision, node->n->servers().at(name).listing.revision);
            CHECK_EQ(server.listing.state, node->n->servers().at(name).listing.state);
        }
    }
}

}  // namespace

// A server left while a node was partitioned. After the partition that node no longer lists the server, nor
// does it reintroduce it at the others.
TEST(GossipMembership, partitionedNodeDropsServersThatLeft) {
    auto muted = MutedLog();
    for (auto i : {2u, 9u}) {
        auto fleet = Fleet(92);
        fleet.startCluster();
        auto leader = fleet.leader();
        if (leader == fleet.nodes[i].get()) continue;
        CHECK_EQ(200, fleet.list(*leader, {"s1", "s2"}));
        fleet.run(SECOND);
        auto& isolated = *fleet.nodes[i];
        fleet.lone(isolated, true);
        CHECK_EQ(200, fleet.list(*leader, {"s1"}));
        fleet.run(70 * SECOND);
        CHECK_EQ(-1, fleet.serverState(*leader, "s2"));
        CHECK_EQ(int(UP), fleet.serverState(isolated, "s2"));
        fleet.lone(isolated, false);
        CHECK(fleet.until(3 * SECOND,
            [&] { return fleet.serverState(isolated, "s2") == -1 && fleet.listedEverywhere("s1", UP); }));
        fleet.run(3 * SECOND);
        CHECK(fleet.listedEverywhere("s2", -1));
    }
}

// Two regions without a leader are partitioned, and each gets listings of its own. After the partition all
// nodes adopt the complete listing with the higher number.
TEST(GossipMembership, listingsOfTwoPartitionsConverge) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 9; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        CHECK_EQ(200, fleet.list(*fleet.leader(), {"s0"}));
        fleet.run(SECOND);
        for (auto i = 0u; i < 3; i++) fleet.stop(*fleet.nodes[i]);
        fleet.run(5 * SECOND);
        partitionRegions(fleet, true);
        fleet.run(6 * SECOND);
        auto holders = fleet.dutyHolders();
        CHECK_EQ(std::size_t(2), holders.size());
        for (auto round = 0u; round < 3; round++)
            for (auto side = 0u; side < 2; side++) {
                auto servers = std::vector<std::string>{"s0"};
                for (auto i = 0u; i <= round; i++)
                    if (fleet.r.chance(.6)) servers.push_back(fmt::format("half{}-{}", side, i));
                CHECK_EQ(200, fleet.list(*holders[side], servers));
                fleet.run(Microseconds(fleet.r.below(SECOND)));
            }
        partitionRegions(fleet, false);
        fleet.run(5 * SECOND);
        CHECK_EQ(std::size_t(1), fleet.dutyHolders().size());
        checkSameListing(fleet, *fleet.dutyHolders()[0]->n);
    }
}

TEST(GossipMembership, listingOfTheDutyHolderReachesAllNodes) {
    auto muted = MutedLog();
    auto fleet = Fleet(90);
    fleet.startCluster();
    CHECK_EQ(std::size_t(1), fleet.dutyHolders().size());
    auto leader = fleet.leader();
    CHECK(fleet.dutyHolders()[0] == leader);
    CHECK_EQ(409, fleet.list(*fleet.nodes[8], {"x"}));
    CHECK_EQ(200, fleet.list(*leader, {"s1", "s2"}, R"(,"coldUs":5000000)"));
    CHECK(fleet.until(400 * MILLISECOND,
        [&] { return fleet.listedEverywhere("s1", UP) && fleet.listedEverywhere("s2", UP); }));
    for (auto& node : fleet.nodes) {
        auto slowStartLeft = node->n->servers().at("s1").slowStartUntil - fleet.t;
        CHECK(slowStartLeft > 4 * SECOND && slowStartLeft <= 5 * SECOND + 300 * MILLISECOND);
    }
    // The listing does not expire without confirmation, because the platform may be unreachable.
    fleet.run(20 * SECOND);
    CHECK(fleet.listedEverywhere("s1", UP));
    CHECK_EQ(200, fleet.list(*leader, {"s1"}));
    CHECK(fleet.until(400 * MILLISECOND,
        [&] { return fleet.listedEverywhere("s2", LEAVING) && fleet.listedEverywhere("s1", UP); }));
    fleet.nodes[6]->n->mark(++fleet.ids, "s1", 0, fleet.t);
    CHECK(fleet.ok(fleet.ids));
    fleet.stop(*leader);
    CHECK(fleet.until(4 * SECOND, [&] { return fleet.dutyHolders().size() == 1; }));
    auto successor = fleet.dutyHolders()[0];
    CHECK(successor != leader);
    CHECK_EQ(200, fleet.list(*successor, {"s1", "s3"}));
    CHECK(fleet.until(3 * SECOND, [&] {
        return fleet.listedEverywhere("s3", UP) && fleet.listedEverywhere("s1", UP)
            && fleet.listedEverywhere("s2", LEAVING);
    }));
    fleet.run(61 * SECOND);
    CHECK(fleet.listedEverywhere("s2", -1));
    CHECK(fleet.listedEverywhere("s3", UP));
}

// A leader that was suspended and superseded cannot replace the listing of its successor. Without any leader
// the root of the dissemination tree takes the duty over.
TEST(GossipMembership, supersededDutyHolderIsRejected) {
    auto muted = MutedLog();
    auto fleet = Fleet(91);
    fleet.startCluster();
    auto superseded = fleet.leader();
    CHECK_EQ(200, fleet.list(*superseded, {"s1"}));
    fleet.run(SECOND);
    superseded->frozen = fleet.t + 4 * SECOND;
    CHECK(fleet.until(4 * SECOND, [&] { return fleet.leader() && fleet.leader() != superseded; }));
    CHECK_EQ(200, fleet.list(*fleet.leader(), {"s2"}));
    fleet.run(superseded->frozen - fleet.t - 2 * MILLISECOND);
    fleet.run(4 * MILLISECOND);
    CHECK_EQ(409, fleet.list(*superseded, {"s1"}));
    fleet.run(2 * SECOND);
    CHECK(fleet.listedEverywhere("s2", UP) && fleet.listedEverywhere("s1", LEAVING));
    for (auto i = 0u; i < 3; i++) fleet.stop(*fleet.nodes[i]);
    fleet.run(6 * SECOND);
    CHECK_EQ(std::size_t(1), fleet.dutyHolders().size());
    CHECK_EQ(200, fleet.list(*fleet.dutyHolders()[0], {"s3"}));
    CHECK(fleet.until(SECOND, [&] { return fleet.listedEverywhere("s3", UP); }));
}

// After all nodes have lost power none has a listing. One is fetched before there is a leader.
TEST(GossipMembership, listingIsFetchedBeforeTheFirstElection) {
    auto muted = MutedLog();
    for (auto seed = 300u; seed < 304; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        CHECK_EQ(200, fleet.list(*fleet.leader(), {"s1"}));
        fleet.run(SECOND);
        for (auto& node : fleet.nodes) fleet.stop(*node);
        fleet.run(SECOND);
        for (auto& node : fleet.nodes) fleet.start(*node);
        CHECK(
            fleet.until(450 * MILLISECOND, [&] { return !fleet.leader() && !fleet.dutyHolders().empty(); }));
        CHECK_EQ(200, fleet.list(*fleet.dutyHolders()[0], {"s1"}));
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.listedEverywhere("s1", UP); }));
    }
}

}  // namespace duneturn
