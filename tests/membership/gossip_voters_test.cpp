// Membership by gossip over virtual time: voters, their disks and what was acknowledged.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

// The term of a disk that is no voter deposes nobody; a voter's does.
TEST(GossipMembership, strangersTerm) {
    auto q = MutedLog();
    auto f = Fleet(93);
    f.startCluster();
    auto l = f.leader();
    auto other = std::string();
    for (auto& d : f.voters())
        if (d != l->n->ownRecord().disk) other = d;
    auto say = [&](const std::string& disk) {
        auto e = wire::Envelope();
        auto r = wire::AppendEntriesReply();
        r.term = l->n->voter()->term() + 5;
        e.wire = WIRE;
        e.node = "x";
        e.disk = disk;
        e.epoch = l->n->voter()->epoch();
        e.__set_appendEntriesReply(r);
        l->n->handle(e, f.t);
    };
    say("disk-of-nobody");
    CHECK(l->n->voter()->leads());
    say(other);
    CHECK(!l->n->voter()->leads());
}

// A disk retires only when the state it received stands behind all that its own log could hold.
TEST(GossipMembership, retiresBehindItsLogOnly) {
    auto q = MutedLog();
    struct Port : VoterPort {
        auto sendToReplica(const std::string&, wire::Envelope&) -> void override {}
        auto writeToDisk(const DiskWrite&) -> void override {}
        auto onStateApplied(const ReplicatedState&, const AppliedEntry&) -> void override {}
        auto onReadDone(std::int64_t, bool) -> void override {}
    } p;
    auto ct = Counters();
    auto v = Voter(p, ct, 1);
    v.start({}, "a", 0);
    auto w = ReplicatedState();
    w.bootstrap({}, {{"x", "a"}, {"y", "b"}, {"z", "c"}});
    v.bootstrap(w, 1, 0);
    // Two entries more, of which it does not know yet whether they are committed.
    auto e = wire::Envelope();
    auto a = wire::AppendEntries();
    a.term = a.prevLogTerm = a.prevLogIndex = a.commit = 1;
    for (auto i : {2, 3}) {
        auto x = wire::Entry();
        x.term = 1;
        x.index = i;
        x.kind = 1;
        x.body = "{}";
        a.entries.push_back(x);
    }
    e.disk = "b";
    e.epoch = 1;
    e.__set_appendEntries(a);
    v.handle(e, 1);
    CHECK_EQ(std::int64_t(3), v.last());
    CHECK(!v.retire(3, "new", 2));
    CHECK_EQ(std::string("a"), v.disk());
    CHECK(v.retire(4, "new", 2));
    CHECK(v.blank());
    CHECK_EQ(std::string("new"), v.disk());
    CHECK(!v.retire(9, "newer", 3));
}

// One core loses its disk at the moment of an acknowledgement, others their power. True if all
// that was acknowledged can be read back, and the voter is replaced.
static auto wiped(std::uint64_t seed, Microseconds sync, bool broken) -> bool {
    {
        auto f = Fleet(seed);
        f.broken = broken;
        f.startCluster();
        f.sync = sync;
        auto acked = std::vector<std::string>();
        for (auto round = 0; round < 3; round++) {
            auto what = fmt::format("z{}", round);
            CHECK(f.ordered(what, 6 * SECOND));
            acked.push_back(what);
            // At the very moment of the acknowledgement.
            auto cs = std::vector<FleetNode*>{f.nodes[0].get(), f.nodes[1].get(), f.nodes[2].get()};
            auto w = f.r.below(3);
            for (auto i = 0u; i < 3; i++)
                if (i == w || f.r.chance(.7)) f.stop(*cs[i]);
            f.wipe(*cs[w]);
            f.run(Microseconds(f.r.below(800 * MILLISECOND)));
            for (auto c : cs)
                if (!c->up) f.restart(*c);
            if (!f.until(6 * SECOND, [&] { return f.leader() != nullptr; })) return false;
            auto id = ++f.ids;
            f.nodes[5]->n->read(id, f.t);
            if (!f.until(4 * SECOND, [&] { return f.ok(id); })) return false;
            auto d = rapidjson::Document();
            CHECK(parseJson(f.outcomes[id].body, d));
            for (auto& a : acked)
                if (!d["empties"].HasMember(a.c_str())) return false;
            // The wiped one is a voter again before the next.
            auto back = f.until(8 * SECOND, [&] { return f.seated(*cs[w]) && f.voters().size() == 3; });
            if (!back) {
                f.show();
                return false;
            }
        }
    }
    return true;
}

TEST(GossipMembership, wipedAndPowerCycledLoseNothing) {
    auto q = MutedLog();
    for (auto seed = 1u; seed < 16; seed++)
        CHECK(wiped(seed, seed % 2 ? 3 * MILLISECOND : 300 * MILLISECOND, false));
    // The check must see voters that speak before their disk holds what they say.
    auto n = 0;
    for (auto seed = 1u; seed < 31; seed++) n += !wiped(seed, 300 * MILLISECOND, true);
    CHECK(n > 0);
}

// The world must see it when what was acknowledged is gone: two disks of three at once.
TEST(GossipMembership, twoWipedAreSeen) {
    auto q = MutedLog();
    auto f = Fleet(2);
    f.startCluster();
    CHECK(f.ordered("z", 6 * SECOND));
    for (auto i : {0, 1}) f.stop(*f.nodes[std::size_t(i)]), f.wipe(*f.nodes[std::size_t(i)]);
    f.run(500 * MILLISECOND);
    for (auto i : {0, 1}) f.restart(*f.nodes[std::size_t(i)]);
    CHECK(!f.until(10 * SECOND, [&] { return f.leader() != nullptr; }));
    // None founds anew; what is known is served on, and a survivor can be ordered to begin.
    for (auto i = 2u; i < 12; i++) CHECK(f.nodes[i]->n->withinLease(f.t));
    auto& w = f.nodes[2]->n->newestKnownState();
    CHECK_EQ(409, f.nodes[2]->n->rescue(w.epoch, w.version - 1, f.t).status);
    CHECK_EQ(200, f.nodes[2]->n->rescue(w.epoch, w.version, f.t).status);
    CHECK(f.until(8 * SECOND, [&] { return f.leader() != nullptr; }));
    CHECK(f.leader()->n->replicatedState().evacuated("z"));
}

TEST(GossipMembership, coreIsReplacedForGood) {
    auto q = MutedLog();
    for (auto k = 0u; k < 3; k++) {
        auto f = Fleet(20 + k);
        f.startCluster();
        CHECK(f.ordered("a", 4 * SECOND));
        auto& gone = *f.nodes[k];
        f.stop(gone);
        gone.removed = true;
        f.run(f.r.below(2) ? 300 * MILLISECOND : 4 * SECOND);
        auto& n = f.add(gone.st.region, gone.st.zone, true, false);
        f.start(n);
        CHECK(f.until(5 * SECOND, [&] { return f.seated(n) && f.voters().size() == 3; }));
        CHECK(f.ordered("b", 4 * SECOND));
        // Then one of the old ones may go as well.
        f.stop(*f.nodes[(k + 1) % 3]);
        CHECK(f.ordered("c", 5 * SECOND));
        CHECK(f.until(3 * SECOND, [&] { return f.everywhere("c"); }));
    }
}

// A stopping voter's place passes while it still runs; without a spare nothing is waited for.
TEST(GossipMembership, stoppingVoterPassesItsSeat) {
    auto q = MutedLog();
    for (auto k = 0u; k < 3; k++) {
        auto f = Fleet(60 + k);
        f.startCluster();
        CHECK(f.ordered("a", 4 * SECOND));
        auto& leaving = *f.nodes[k];
        CHECK(leaving.n->voteHandedOver(f.t));
        auto& spare = f.add(leaving.st.region, leaving.st.zone, true, false);
        f.start(spare);
        f.run(2 * SECOND);
        CHECK(!f.seated(spare));
        CHECK(!leaving.n->voteHandedOver(f.t));
        leaving.n->leave(f.t);
        CHECK(f.until(3 * SECOND, [&] { return leaving.n->voteHandedOver(f.t); }));
        CHECK(f.seated(spare) && f.voters().size() == 3);
        f.stop(leaving);
        CHECK(f.ordered("b", 4 * SECOND));
        // One more loss is borne.
        f.stop(*f.nodes[(k + 1) % 3]);
        CHECK(f.ordered("c", 5 * SECOND));
    }
}

// A disk that was replaced and comes back is a spare: it deposes nobody, and is of use later.
TEST(GossipMembership, replacedComesBack) {
    auto q = MutedLog();
    for (auto seed = 30u; seed < 34; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        auto& old = *(f.leader() == f.nodes[0].get() ? f.nodes[1] : f.nodes[0]);
        auto was = old.n->ownRecord().disk;
        f.lone(old, true);
        auto& n = f.add(old.st.region, old.st.zone, true, false);
        f.lone(old, true);
        f.start(n);
        CHECK(f.until(6 * SECOND, [&] { return f.seated(n) && f.voters().size() == 3; }));
        for (auto i = 0; i < 20; i++) CHECK(f.ordered(fmt::format("z{}", i), 4 * SECOND));
        auto l = f.leader();
        auto term = l->n->voter()->term();
        f.lone(old, false);
        f.run(6 * SECOND);
        CHECK(f.leader() == l);
        CHECK_EQ(term, l->n->voter()->term());
        CHECK(!f.seated(old));
        CHECK(old.n->ownRecord().blank);
        CHECK(old.n->ownRecord().disk != was);
        CHECK(f.everywhere("z19"));
        // Two voters lost, one after the other: the old machine takes the first.
        f.stop(n);
        CHECK(f.until(6 * SECOND, [&] { return f.seated(old) && f.voters().size() == 3; }));
        CHECK(f.ordered("after", 4 * SECOND));
    }
}

TEST(GossipMembership, cutCoreDeposesNobody) {
    auto q = MutedLog();
    for (auto seed = 40u; seed < 46; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        auto l = f.leader();
        auto& c = *(l == f.nodes[2].get() ? f.nodes[1] : f.nodes[2]);
        f.lone(c, true);
        CHECK(f.ordered("z", 4 * SECOND));
        f.run(5 * SECOND);
        CHECK(c.n->withinLease(f.t));  // it serves on by what it knows
        CHECK(!c.n->replicatedState().evacuated("z"));
        auto term = l->n->voter()->term();
        f.lone(c, false);
        CHECK(f.until(2 * SECOND, [&] { return f.everywhere("z"); }));
        f.run(3 * SECOND);
        CHECK(f.leader() == l);
        CHECK_EQ(term, l->n->voter()->term());
    }
}

// A leader that was frozen acknowledges nothing before it has asked.
TEST(GossipMembership, frozenLeaderWakes) {
    auto q = MutedLog();
    for (auto seed = 100u; seed < 106; seed++) {
        auto f = Fleet(seed);
        f.startCluster();
        auto l = f.leader();
        l->frozen = f.t + 3 * SECOND;
        CHECK(f.ordered("z", 3 * SECOND));
        f.run(l->frozen - f.t + 2 * MILLISECOND);
        auto id = f.order(*l, "y");
        auto rd = ++f.ids;
        l->n->read(rd, f.t);
        f.until(4 * SECOND, [&] { return f.ok(id) && f.ok(rd); });
        CHECK(f.ok(id));
        CHECK(f.ok(rd));
        auto d = rapidjson::Document();
        CHECK(parseJson(f.outcomes[rd].body, d));
        CHECK(d["empties"].HasMember("z"));
        CHECK(f.until(2 * SECOND, [&] { return f.everywhere("z") && f.everywhere("y"); }));
    }
}

// Whatever happens within what is to be borne, what was acknowledged stays and a calm fleet serves.
// `cores` with a disk, three or five of them voters: one beyond that is a spare.
static auto fuzz(unsigned seed, int cores) -> std::string {
    auto f = Fleet(seed);
    f.startCluster(cores);
    auto acked = std::vector<std::string>();
    auto size = cores > 4 ? 5u : 3u;
    auto cs = std::vector<FleetNode*>();
    for (auto i = 0; i < cores; i++) cs.push_back(f.nodes[std::size_t(i)].get());
    for (auto k = 0; k < 12; k++) {
        auto at = fmt::format("seed {}, {} cores, round {}: ", seed, cores, k);
        auto what = fmt::format("z{}", k);
        if (f.ordered(what, Microseconds(f.r.below(3 * SECOND)))) acked.push_back(what);
        auto i = f.r.below(cs.size());
        auto c = cs[i];
        auto e = f.nodes[std::size_t(cores) + f.r.below(std::uint64_t(12 - cores))].get();
        auto fault = f.r.below(7);
        auto d = Microseconds(f.r.below(f.r.chance(.5) ? 2 * SECOND : 7 * SECOND));
        if (getenv("DT_SHOW")) fmt::print("{} {} fault {} of {}, {} us\n", f.t, at, fault, c->st.node, d);
        if (fault == 0) {
            for (auto& b : f.nodes)
                if (b->up) f.stop(*b), f.back(*b);
        } else if (fault == 1) f.stop(*c), f.wipe(*c), f.run(d), f.back(*c);
        else if (fault == 2) {
            f.stop(*c);
            c->removed = true;
            f.run(d);
            f.reseed();
            auto& n = f.add(c->st.region, c->st.zone, true, false);
            f.start(n);
            cs[i] = &n;
        } else if (fault == 3) c->frozen = f.t + d;
        else if (fault == 4) {
            f.lone(*c, true);
            f.order(*c, fmt::format("lone{}", k));  // may or may not come to be
            f.run(d);
            f.lone(*c, false);
        } else if (fault == 5) f.stop(*c), f.run(d), f.back(*c);
        else f.stop(*e), f.run(d), f.back(*e);
        // One loss at a time: the next one only when all voters are replaced.
        auto whole = f.until(20 * SECOND, [&] {
            if (!f.leader() || f.voters().size() != size) return false;
            auto n = 0u;
            for (auto x : cs) n += x->up && x->frozen <= f.t && f.seated(*x);
            return n == size;
        });
        if (!whole) {
            f.show();
            return at + "the seats are not filled";
        }
        f.run(3 * SECOND);
        if (!f.leader()) return at + "no leader";
        for (auto& b : f.nodes)
            if (b->up && !b->n->withinLease(f.t)) return at + b->st.node + " has no configuration";
        for (auto& a : acked)
            if (!f.leader()->n->replicatedState().evacuated(a) || !f.everywhere(a))
                return at + a + " is not everywhere";
    }
    return acked.empty() ? "nothing was acknowledged" : "";
}

TEST(GossipMembership, fuzz) {
    auto q = MutedLog();
    auto more = getenv("DT_SEEDS") ? unsigned(atoi(getenv("DT_SEEDS"))) : 8u;
    for (auto seed = 200u; seed < 200 + more; seed++)
        for (auto cores : {3, 4, 6}) CHECK_EQ(std::string(), fuzz(seed, cores));
}

}  // namespace duneturn
