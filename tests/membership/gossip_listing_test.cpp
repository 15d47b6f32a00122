// Membership by gossip over virtual time: the singleton duty and the listing of servers.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

// A server that left while a node was cut off is not known there any more, nor announced anew by it.
TEST(GossipMembership, longCutForgetsServers) {
    auto q = MutedLog();
    for (auto i : {2u, 9u}) {
        auto f = Fleet(92);
        f.startCluster();
        auto l = f.leader();
        if (l == f.nodes[i].get()) continue;
        CHECK_EQ(200, f.list(*l, {"s1", "s2"}));
        f.run(SECOND);
        auto& c = *f.nodes[i];
        f.lone(c, true);
        CHECK_EQ(200, f.list(*l, {"s1"}));
        f.run(70 * SECOND);
        CHECK_EQ(-1, f.state(*l, "s2"));
        CHECK_EQ(int(UP), f.state(c, "s2"));
        f.lone(c, false);
        CHECK(f.until(3 * SECOND, [&] { return f.state(c, "s2") == -1 && f.listed("s1", UP); }));
        f.run(3 * SECOND);
        CHECK(f.listed("s2", -1));
    }
}

// Two halves without a leader, each with a listing of its own, come together on the one of the
// higher number, whole.
TEST(GossipMembership, twoListingsBecomeOne) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 9; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        CHECK_EQ(200, f.list(*f.leader(), {"s0"}));
        f.run(SECOND);
        for (auto i = 0u; i < 3; i++) f.stop(*f.nodes[i]);
        f.run(5 * SECOND);
        auto part = [&](bool on) {
            for (auto i = 0u; i < 12; i++)
                for (auto j = 0u; j < 12; j++)
                    if (f.nodes[i]->st.region != f.nodes[j]->st.region) {
                        if (on) f.cut.insert({i, j});
                        else f.cut.erase({i, j});
                    }
        };
        part(true);
        f.run(6 * SECOND);
        auto ds = f.duties();
        CHECK_EQ(std::size_t(2), ds.size());
        for (auto k = 0u; k < 3; k++)
            for (auto i = 0u; i < 2; i++) {
                auto ns = std::vector<std::string>{"s0"};
                for (auto x = 0u; x <= k; x++)
                    if (f.r.chance(.6)) ns.push_back(fmt::format("half{}-{}", i, x));
                CHECK_EQ(200, f.list(*ds[i], ns));
                f.run(Microseconds(f.r.below(SECOND)));
            }
        part(false);
        f.run(5 * SECOND);
        CHECK_EQ(std::size_t(1), f.duties().size());
        auto& a = *f.duties()[0]->n;
        for (auto& b : f.nodes) {
            if (!b->up) continue;
            CHECK_EQ(a.servers().size(), b->n->servers().size());
            for (auto& [n, s] : a.servers()) {
                CHECK_EQ(std::size_t(1), b->n->servers().count(n));
                CHECK_EQ(s.listing.revision, b->n->servers().at(n).listing.revision);
                CHECK_EQ(s.listing.state, b->n->servers().at(n).listing.state);
            }
        }
    }
}

TEST(GossipMembership, oneDutyAndItsListing) {
    auto q = MutedLog();
    auto f = Fleet(90);
    f.startCluster();
    CHECK_EQ(std::size_t(1), f.duties().size());
    auto l = f.leader();
    CHECK(f.duties()[0] == l);
    CHECK_EQ(409, f.list(*f.nodes[8], {"x"}));
    CHECK_EQ(200, f.list(*l, {"s1", "s2"}, R"(,"coldUs":5000000)"));
    CHECK(f.until(400 * MILLISECOND, [&] { return f.listed("s1", UP) && f.listed("s2", UP); }));
    for (auto& b : f.nodes) {
        auto left = b->n->servers().at("s1").slowStartUntil - f.t;
        CHECK(left > 4 * SECOND && left <= 5 * SECOND + 300 * MILLISECOND);
    }
    // Without confirmation it still stands: the platform may be out of reach.
    f.run(20 * SECOND);
    CHECK(f.listed("s1", UP));
    CHECK_EQ(200, f.list(*l, {"s1"}));
    CHECK(f.until(400 * MILLISECOND, [&] { return f.listed("s2", LEAVING) && f.listed("s1", UP); }));
    f.nodes[6]->n->mark(++f.ids, "s1", 0, f.t);
    CHECK(f.ok(f.ids));
    f.stop(*l);
    CHECK(f.until(4 * SECOND, [&] { return f.duties().size() == 1; }));
    auto d = f.duties()[0];
    CHECK(d != l);
    CHECK_EQ(200, f.list(*d, {"s1", "s3"}));
    CHECK(f.until(
        3 * SECOND, [&] { return f.listed("s3", UP) && f.listed("s1", UP) && f.listed("s2", LEAVING); }));
    f.run(61 * SECOND);
    CHECK(f.listed("s2", -1));
    CHECK(f.listed("s3", UP));
}

// With no leader at all the root of the tree does the duty; a listing of the one superseded, that
// was frozen meanwhile, undoes nothing.
TEST(GossipMembership, dutyIsHandedOn) {
    auto q = MutedLog();
    auto f = Fleet(91);
    f.startCluster();
    auto l = f.leader();
    CHECK_EQ(200, f.list(*l, {"s1"}));
    f.run(SECOND);
    l->frozen = f.t + 4 * SECOND;
    CHECK(f.until(4 * SECOND, [&] { return f.leader() && f.leader() != l; }));
    CHECK_EQ(200, f.list(*f.leader(), {"s2"}));
    f.run(l->frozen - f.t - 2 * MILLISECOND);
    f.run(4 * MILLISECOND);
    CHECK_EQ(409, f.list(*l, {"s1"}));
    f.run(2 * SECOND);
    CHECK(f.listed("s2", UP) && f.listed("s1", LEAVING));
    for (auto i = 0u; i < 3; i++) f.stop(*f.nodes[i]);
    f.run(6 * SECOND);
    CHECK_EQ(std::size_t(1), f.duties().size());
    CHECK_EQ(200, f.list(*f.duties()[0], {"s3"}));
    CHECK(f.until(SECOND, [&] { return f.listed("s3", UP); }));
}

// All lose power at once: nobody has a listing then, and one is asked for before there is a leader.
TEST(GossipMembership, listingBeforeTheElection) {
    auto q = MutedLog();
    for (auto seed = 300u; seed < 304; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        CHECK_EQ(200, f.list(*f.leader(), {"s1"}));
        f.run(SECOND);
        for (auto& b : f.nodes) f.stop(*b);
        f.run(SECOND);
        for (auto& b : f.nodes) f.start(*b);
        CHECK(f.until(450 * MILLISECOND, [&] { return !f.leader() && !f.duties().empty(); }));
        CHECK_EQ(200, f.list(*f.duties()[0], {"s1"}));
        CHECK(f.until(3 * SECOND, [&] { return f.listed("s1", UP); }));
    }
}

}  // namespace duneturn
