// Membership by gossip over virtual time: how news of states and nodes reaches all.
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

TEST(GossipMembership, orderIsEverywhereWithinASecond) {
    auto q = MutedLog();
    auto f = Fleet(5);
    f.startCluster();
    for (auto& b : f.nodes) {
        auto id = f.order(*b, b->st.node);
        CHECK(f.until(SECOND, [&] { return f.ok(id); }));
        CHECK(f.until(SECOND, [&] { return f.everywhere(b->st.node); }));
    }
}

TEST(GossipMembership, leaderLost) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 9; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        auto l = f.leader();
        f.stop(*l);
        auto a = f.t;
        CHECK(f.until(2 * SECOND, [&] { return f.leader() != nullptr; }));
        CHECK(f.ordered("z", 4 * SECOND - (f.t - a)));
        CHECK(f.until(2500 * MILLISECOND, [&] { return f.everywhere("z"); }));
        f.restart(*l);
        CHECK(l->n->withinLease(f.t));  // by its disk, at once
        CHECK(f.until(3 * SECOND, [&] { return f.everywhere("z"); }));
    }
}

// A node that only passes news on is lost just before an order.
TEST(GossipMembership, relayLost) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 4; seed++)
        for (auto i = 3u; i < 12; i++) {
            auto f = Fleet(seed);
            f.startCluster();
            f.run(Microseconds(f.r.below(SECOND)));
            f.stop(*f.nodes[i]);
            CHECK(f.ordered("z", 2 * SECOND));
            CHECK(f.until(1700 * MILLISECOND, [&] { return f.everywhere("z"); }));
        }
}

// What was lost on its way is sent again: all hold the same records and the same listing.
TEST(GossipMembership, lossIsMadeUp) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 13; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        f.loss = .3;
        for (auto k = 0; k < 30; k++) {
            auto ns = std::vector<std::string>();
            for (auto i = 0; i < 6; i++)
                if (f.r.chance(.7)) ns.push_back(fmt::format("s{}", i));
            if (auto d = f.duties(); !d.empty()) f.list(*d[f.r.below(d.size())], ns);
            if (f.r.chance(.2)) f.order(*f.nodes[f.r.below(12)], fmt::format("z{}", k));
            f.run(Microseconds(f.r.below(600 * MILLISECOND)));
        }
        f.loss = 0;
        f.run(4 * SECOND);
        CHECK(f.leader() && f.leader()->n->hasSingletonDuty(f.t));
        auto& l = *f.leader()->n;
        for (auto& b : f.nodes) {
            CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
            CHECK_EQ(l.replicatedState().version, b->n->replicatedState().version);
            CHECK_EQ(l.servers().size(), b->n->servers().size());
            for (auto& [n, s] : l.servers()) {
                CHECK_EQ(s.listing.state, b->n->servers().at(n).listing.state);
                CHECK_EQ(s.listing.revision, b->n->servers().at(n).listing.revision);
            }
            for (auto& o : f.nodes)
                if (o != b) {
                    auto& r = b->n->nodes().at(o->st.node).record;
                    CHECK_EQ(o->n->ownRecord().version, r.version);
                    CHECK_EQ(o->n->ownRecord().stateVersion, r.stateVersion);
                    CHECK_EQ(o->n->ownRecord().leader, r.leader);
                }
        }
    }
}

// Where out of touch means to reject, requests are rejected.
TEST(GossipMembership, cutNodeRejectsIfConfigured) {
    auto q = MutedLog();
    auto f = Fleet(50);
    f.serveOn = false;
    f.startCluster();
    auto& c = *f.nodes[7];
    f.lone(c, true);
    f.run(4 * SECOND);
    CHECK(!c.n->withinLease(f.t));
    CHECK(f.nodes[8]->n->withinLease(f.t));
    f.lone(c, false);
    CHECK(f.until(2 * SECOND, [&] { return c.n->withinLease(f.t); }));
}

TEST(GossipMembership, fewBytesBetweenRegions) {
    auto q = MutedLog();
    auto f = Fleet(80);
    f.weigh = true;
    f.startCluster();
    for (auto i = 0; i < 20; i++) {
        auto ns = std::vector<std::string>();
        for (auto k = 0; k < 14; k++) ns.push_back(fmt::format("server-{}", k));
        CHECK_EQ(200, f.list(*f.leader(), ns));
        if (i == 4) f.between = f.heartbeats = 0;
        f.run(SECOND);
    }
    auto rate = f.between / 16;
    if (getenv("DT_SHOW")) fmt::print("{} bytes and {} beats a second\n", rate, f.heartbeats / 16);
    CHECK(rate > 500);  // counted at all
    CHECK(rate < 5'000);
    CHECK(f.heartbeats / 16 < 70);
    CHECK_EQ(std::int64_t(0), f.probes);
    f.nodes[0]->st.probes = true;
    f.stop(*f.nodes[0]);
    f.restart(*f.nodes[0]);
    f.run(2 * SECOND);
    CHECK(f.probes > 0);
}

// A larger fleet: nobody is thought gone that is not, and what a node says grows no faster than
// the fleet.
TEST(GossipMembership, larger) {
    auto q = MutedLog();
    auto f = Fleet(300);
    auto nodes = getenv("DT_NODES") ? atoi(getenv("DT_NODES")) : 60;
    f.startCluster(3, nodes);
    f.run((2 + nodes / 100) * SECOND);  // hundreds that start at once take a while to settle
    f.weigh = true;
    auto again = [&] {
        auto n = std::int64_t(0);
        for (auto& b : f.nodes) n += b->ct.get("node_heard_again_total") + b->ct.get("asked_total");
        return n;
    };
    auto was = again();
    auto c = clock();
    f.run(5 * SECOND);
    if (getenv("DT_SHOW"))
        fmt::print(
            "{} nodes: {} bytes a second between regions, {} a node; {} us of work a node and second\n",
            nodes, f.between / 5, f.all / 5 / nodes, (clock() - c) / 5 / nodes);
    CHECK_EQ(was, again());
    for (auto& b : f.nodes) CHECK_EQ(std::size_t(nodes), b->n->aliveNodes(f.t).size());
    CHECK(f.all / 5 / nodes < 80 * nodes);
    auto id = f.order(*f.nodes.back(), "z");
    CHECK(f.until(SECOND, [&] { return f.ok(id); }));
    CHECK(f.until(SECOND, [&] { return f.everywhere("z"); }));
}

}  // namespace duneturn
