// The first start of a fleet with membership by gossip, and starts of parts of it.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

TEST(GossipMembership, founds) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 6; seed++) {
        auto f = Fleet(seed);
        f.bootstrap();
        for (auto& b : f.nodes) CHECK(!b->n->withinLease(f.t));
        CHECK(f.until(3 * SECOND, [&] { return f.leader() != nullptr; }));
        CHECK_EQ(std::size_t(3), f.voters().size());
        auto a = f.t;
        CHECK(f.config());
        CHECK(f.t - a < SECOND);
        CHECK(f.until(SECOND, [&] {
            return std::all_of(
                f.nodes.begin(), f.nodes.end(), [&](auto& b) { return b->n->withinLease(f.t); });
        }));
        for (auto& b : f.nodes) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
        CHECK_EQ(std::int64_t(0), f.probes);
        auto begun = std::int64_t(0);
        for (auto& b : f.nodes) begun += b->ct.get("reigns_begun_total");
        CHECK_EQ(std::int64_t(1), begun);
    }
}

TEST(GossipMembership, foundsFiveOfSix) {
    auto q = MutedLog();
    auto f = Fleet(3);
    f.bootstrap(6);
    CHECK(f.until(3 * SECOND, [&] { return f.leader() != nullptr; }));
    CHECK_EQ(std::size_t(5), f.voters().size());
    auto in = std::map<std::string, int>();
    for (auto& b : f.nodes)
        if (f.seated(*b)) in[b->st.zone]++;
    CHECK_EQ(std::size_t(3), in.size());
    for (auto& [d, n] : in) CHECK(n <= 2);
}

TEST(GossipMembership, foundsOnlyAtTheFirstStart) {
    auto q = MutedLog();
    auto f = Fleet(4);
    f.bootstrap();
    for (auto& b : f.nodes) {
        f.stop(*b);
        f.restart(*b);
    }
    CHECK(!f.until(10 * SECOND, [&] { return f.leader() != nullptr; }));
}

TEST(GossipMembership, allLosePower) {
    auto q = MutedLog();
    for (auto seed = 60u; seed < 66; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        CHECK(f.ordered("z", 4 * SECOND));
        for (auto& b : f.nodes) f.stop(*b);
        f.run(500 * MILLISECOND);
        for (auto& b : f.nodes) {
            // The seeds that the later settings name may be dead; cores keep a book.
            if (seed % 2) b->st.seeds = {b->core ? "10.1.0.99:7720" : "10.1.0.1:7720"};
            f.restart(*b);
        }
        for (auto i = 0u; i < 3; i++) CHECK(f.nodes[i]->n->withinLease(f.t));
        CHECK(f.until(5 * SECOND, [&] { return f.leader() && f.everywhere("z"); }));
        CHECK(f.ordered("y", 4 * SECOND));
        for (auto& b : f.nodes) CHECK(b->n->withinLease(f.t));
        f.run(2 * SECOND);
        for (auto& b : f.nodes) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
    }
}

TEST(GossipMembership, newcomerJoins) {
    auto q = MutedLog();
    auto f = Fleet(70);
    f.startCluster();
    CHECK_EQ(200, f.list(*f.leader(), {"s1", "s2"}));
    auto& n = f.add("sindh", "khi-hall", false, false);
    f.start(n);
    CHECK(f.until(SECOND, [&] { return n.n->ready(f.t); }));
    CHECK(f.until(2 * SECOND, [&] {
        return std::all_of(
            f.nodes.begin(), f.nodes.end(), [&](auto& b) { return b->n->alive(n.st.node, f.t); });
    }));
    f.run(3 * SECOND);
    for (auto& b : f.nodes) CHECK_EQ(std::size_t(13), b->n->aliveNodes(f.t).size());
    f.stop(n);
    n.removed = true;
    f.run(4 * SECOND);
    for (auto& b : f.nodes)
        if (b->up) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
}

TEST(GossipMembership, settings) {
    auto base =
        std::map<std::string, std::string>{{"node", "a"}, {"peer", "127.0.0.1:1"}, {"sender", "127.0.0.1:2"},
            {"operator", "127.0.0.1:3"}, {"seeds", "127.0.0.1:1"}, {"district", "d"}, {"region", "r"}};
    auto s = readSettings("", base);
    CHECK(s && !s->gossip && !s->bootstrap && !s->serveOn && s->probes && !s->heartbeat);
    auto with = [&](std::map<std::string, std::string> m) {
        m.insert(base.begin(), base.end());
        return readSettings("", m);
    };
    s = with({{"membership", "learnt"}, {"bootstrap", "true"}, {"outOfTouch", "serve"}, {"probes", "false"},
        {"beatUs", "300000"}});
    CHECK(s && s->gossip && s->bootstrap && s->serveOn && !s->probes);
    CHECK_EQ(Microseconds(300000), s->heartbeat);
    CHECK(!with({{"outOfTouch", "serve"}}));
    CHECK(!with({{"bootstrap", "true"}}));
    CHECK(!with({{"membership", "learnt"}, {"roster", "a"}}));
    CHECK(!with({{"membership", "some"}}));
    CHECK(!with({{"bootstrap", "yes"}, {"membership", "learnt"}}));
    CHECK(!with({{"beatUs", "1"}}));
}

}  // namespace duneturn
