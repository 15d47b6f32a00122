// A fleet whose membership is learnt, over virtual time.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

TEST(NodeLearnt, founds) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 6; seed++) {
        auto f = Fleet(seed);
        f.bootstrap();
        for (auto& b : f.bs) CHECK(!b->n->withinLease(f.t));
        CHECK(f.until(3 * SECOND, [&] { return f.leader() != nullptr; }));
        CHECK_EQ(std::size_t(3), f.voters().size());
        auto a = f.t;
        CHECK(f.config());
        CHECK(f.t - a < SECOND);
        CHECK(f.until(SECOND, [&] {
            return std::all_of(f.bs.begin(), f.bs.end(), [&](auto& b) { return b->n->withinLease(f.t); });
        }));
        for (auto& b : f.bs) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
        CHECK_EQ(std::int64_t(0), f.probes);
        auto begun = std::int64_t(0);
        for (auto& b : f.bs) begun += b->ct.get("reigns_begun_total");
        CHECK_EQ(std::int64_t(1), begun);
    }
}

TEST(NodeLearnt, foundsFiveOfSix) {
    auto q = Quiet();
    auto f = Fleet(3);
    f.bootstrap(6);
    CHECK(f.until(3 * SECOND, [&] { return f.leader() != nullptr; }));
    CHECK_EQ(std::size_t(5), f.voters().size());
    auto in = std::map<std::string, int>();
    for (auto& b : f.bs)
        if (f.seated(*b)) in[b->st.zone]++;
    CHECK_EQ(std::size_t(3), in.size());
    for (auto& [d, n] : in) CHECK(n <= 2);
}

TEST(NodeLearnt, foundsOnlyAtTheFirstStart) {
    auto q = Quiet();
    auto f = Fleet(4);
    f.bootstrap();
    for (auto& b : f.bs) {
        f.stop(*b);
        f.restart(*b);
    }
    CHECK(!f.until(10 * SECOND, [&] { return f.leader() != nullptr; }));
}

TEST(NodeLearnt, orderIsEverywhereWithinASecond) {
    auto q = Quiet();
    auto f = Fleet(5);
    f.standing();
    for (auto& b : f.bs) {
        auto id = f.order(*b, b->st.node);
        CHECK(f.until(SECOND, [&] { return f.ok(id); }));
        CHECK(f.until(SECOND, [&] { return f.everywhere(b->st.node); }));
    }
}

TEST(NodeLearnt, leaderLost) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 9; seed++) {
        auto f = Fleet(seed);
        f.standing();
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
TEST(NodeLearnt, relayLost) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 4; seed++)
        for (auto i = 3u; i < 12; i++) {
            auto f = Fleet(seed);
            f.standing();
            f.run(Microseconds(f.r.below(SECOND)));
            f.stop(*f.bs[i]);
            CHECK(f.ordered("z", 2 * SECOND));
            CHECK(f.until(1700 * MILLISECOND, [&] { return f.everywhere("z"); }));
        }
}

// What was lost on its way is told again: all hold the same rows and the same listing.
TEST(NodeLearnt, lossIsMadeUp) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 13; seed++) {
        auto f = Fleet(seed);
        f.standing();
        f.loss = .3;
        for (auto k = 0; k < 30; k++) {
            auto ns = std::vector<std::string>();
            for (auto i = 0; i < 6; i++)
                if (f.r.chance(.7)) ns.push_back(fmt::format("s{}", i));
            if (auto d = f.duties(); !d.empty()) f.list(*d[f.r.below(d.size())], ns);
            if (f.r.chance(.2)) f.order(*f.bs[f.r.below(12)], fmt::format("z{}", k));
            f.run(Microseconds(f.r.below(600 * MILLISECOND)));
        }
        f.loss = 0;
        f.run(4 * SECOND);
        CHECK(f.leader() && f.leader()->n->hasSingletonDuty(f.t));
        auto& l = *f.leader()->n;
        for (auto& b : f.bs) {
            CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
            CHECK_EQ(l.replicatedState().version, b->n->replicatedState().version);
            CHECK_EQ(l.servers().size(), b->n->servers().size());
            for (auto& [n, s] : l.servers()) {
                CHECK_EQ(s.listing.state, b->n->servers().at(n).listing.state);
                CHECK_EQ(s.listing.revision, b->n->servers().at(n).listing.revision);
            }
            for (auto& o : f.bs)
                if (o != b) {
                    auto& r = b->n->nodes().at(o->st.node).record;
                    CHECK_EQ(o->n->ownRecord().version, r.version);
                    CHECK_EQ(o->n->ownRecord().stateVersion, r.stateVersion);
                    CHECK_EQ(o->n->ownRecord().leader, r.leader);
                }
        }
    }
}

// A server that left while a node was cut off is not known there any more, nor told anew by it.
TEST(NodeLearnt, longCutForgetsServers) {
    auto q = Quiet();
    for (auto i : {2u, 9u}) {
        auto f = Fleet(92);
        f.standing();
        auto l = f.leader();
        if (l == f.bs[i].get()) continue;
        CHECK_EQ(200, f.list(*l, {"s1", "s2"}));
        f.run(SECOND);
        auto& c = *f.bs[i];
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
TEST(NodeLearnt, twoListingsBecomeOne) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 9; seed++) {
        auto f = Fleet(seed);
        f.standing();
        CHECK_EQ(200, f.list(*f.leader(), {"s0"}));
        f.run(SECOND);
        for (auto i = 0u; i < 3; i++) f.stop(*f.bs[i]);
        f.run(5 * SECOND);
        auto part = [&](bool on) {
            for (auto i = 0u; i < 12; i++)
                for (auto j = 0u; j < 12; j++)
                    if (f.bs[i]->st.region != f.bs[j]->st.region) {
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
        for (auto& b : f.bs) {
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

// The term of a disk that is no voter deposes nobody; a voter's does.
TEST(NodeLearnt, strangersTerm) {
    auto q = Quiet();
    auto f = Fleet(93);
    f.standing();
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

// A disk retires only when what it heard of stands behind all that its own log could hold.
TEST(NodeLearnt, retiresBehindItsLogOnly) {
    auto q = Quiet();
    struct Port : VoterPort {
        auto voterSend(const std::string&, wire::Envelope&) -> void override {}
        auto voterWrite(const DiskWrite&) -> void override {}
        auto voterApplied(const ReplicatedState&, const std::string&, const Outcome&) -> void override {}
        auto voterRead(std::int64_t, bool) -> void override {}
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
// that was acknowledged can be read back, and the seat is filled again.
static auto wiped(std::uint64_t seed, Microseconds sync, bool broken) -> bool {
    {
        auto f = Fleet(seed);
        f.broken = broken;
        f.standing();
        f.sync = sync;
        auto acked = std::vector<std::string>();
        for (auto round = 0; round < 3; round++) {
            auto what = fmt::format("z{}", round);
            CHECK(f.ordered(what, 6 * SECOND));
            acked.push_back(what);
            // At the very moment of the acknowledgement.
            auto cs = std::vector<Box*>{f.bs[0].get(), f.bs[1].get(), f.bs[2].get()};
            auto w = f.r.below(3);
            for (auto i = 0u; i < 3; i++)
                if (i == w || f.r.chance(.7)) f.stop(*cs[i]);
            f.wipe(*cs[w]);
            f.run(Microseconds(f.r.below(800 * MILLISECOND)));
            for (auto c : cs)
                if (!c->up) f.restart(*c);
            if (!f.until(6 * SECOND, [&] { return f.leader() != nullptr; })) return false;
            auto id = ++f.ids;
            f.bs[5]->n->read(id, f.t);
            if (!f.until(4 * SECOND, [&] { return f.ok(id); })) return false;
            auto d = rapidjson::Document();
            CHECK(parseJson(f.outs[id].body, d));
            for (auto& a : acked)
                if (!d["empties"].HasMember(a.c_str())) return false;
            // The wiped one sits in its seat again before the next.
            auto back = f.until(8 * SECOND, [&] { return f.seated(*cs[w]) && f.voters().size() == 3; });
            if (!back) {
                f.show();
                return false;
            }
        }
    }
    return true;
}
TEST(NodeLearnt, wipedAndPowerCycledLoseNothing) {
    auto q = Quiet();
    for (auto seed = 1u; seed < 16; seed++)
        CHECK(wiped(seed, seed % 2 ? 3 * MILLISECOND : 300 * MILLISECOND, false));
    // The check must see voters that speak before their disk holds what they say.
    auto n = 0;
    for (auto seed = 1u; seed < 31; seed++) n += !wiped(seed, 300 * MILLISECOND, true);
    CHECK(n > 0);
}

// The world must see it when what was acknowledged is gone: two disks of three at once.
TEST(NodeLearnt, twoWipedAreSeen) {
    auto q = Quiet();
    auto f = Fleet(2);
    f.standing();
    CHECK(f.ordered("z", 6 * SECOND));
    for (auto i : {0, 1}) f.stop(*f.bs[std::size_t(i)]), f.wipe(*f.bs[std::size_t(i)]);
    f.run(500 * MILLISECOND);
    for (auto i : {0, 1}) f.restart(*f.bs[std::size_t(i)]);
    CHECK(!f.until(10 * SECOND, [&] { return f.leader() != nullptr; }));
    // None founds anew; what is known is served on, and a survivor can be told to begin.
    for (auto i = 2u; i < 12; i++) CHECK(f.bs[i]->n->withinLease(f.t));
    auto& w = f.bs[2]->n->newestKnownState();
    CHECK_EQ(409, f.bs[2]->n->rescue(w.epoch, w.version - 1, f.t).status);
    CHECK_EQ(200, f.bs[2]->n->rescue(w.epoch, w.version, f.t).status);
    CHECK(f.until(8 * SECOND, [&] { return f.leader() != nullptr; }));
    CHECK(f.leader()->n->replicatedState().evacuated("z"));
}

TEST(NodeLearnt, coreIsReplacedForGood) {
    auto q = Quiet();
    for (auto k = 0u; k < 3; k++) {
        auto f = Fleet(20 + k);
        f.standing();
        CHECK(f.ordered("a", 4 * SECOND));
        auto& gone = *f.bs[k];
        f.stop(gone);
        gone.removed = true;
        f.run(f.r.below(2) ? 300 * MILLISECOND : 4 * SECOND);
        auto& n = f.add(gone.st.region, gone.st.zone, true, false);
        f.start(n);
        CHECK(f.until(5 * SECOND, [&] { return f.seated(n) && f.voters().size() == 3; }));
        CHECK(f.ordered("b", 4 * SECOND));
        // Then one of the old ones may go as well.
        f.stop(*f.bs[(k + 1) % 3]);
        CHECK(f.ordered("c", 5 * SECOND));
        CHECK(f.until(3 * SECOND, [&] { return f.everywhere("c"); }));
    }
}

// A stopping voter's seat passes while it still runs; without a spare nothing is waited for.
TEST(NodeLearnt, stoppingVoterPassesItsSeat) {
    auto q = Quiet();
    for (auto k = 0u; k < 3; k++) {
        auto f = Fleet(60 + k);
        f.standing();
        CHECK(f.ordered("a", 4 * SECOND));
        auto& leaving = *f.bs[k];
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
        f.stop(*f.bs[(k + 1) % 3]);
        CHECK(f.ordered("c", 5 * SECOND));
    }
}

// A disk that was replaced and comes back is a spare: it deposes nobody, and is of use later.
TEST(NodeLearnt, replacedComesBack) {
    auto q = Quiet();
    for (auto seed = 30u; seed < 34; seed++) {
        auto f = Fleet(seed);
        f.standing();
        auto& old = *(f.leader() == f.bs[0].get() ? f.bs[1] : f.bs[0]);
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
        // Two seats' worth of losses, one after the other: the old machine takes the first.
        f.stop(n);
        CHECK(f.until(6 * SECOND, [&] { return f.seated(old) && f.voters().size() == 3; }));
        CHECK(f.ordered("after", 4 * SECOND));
    }
}

TEST(NodeLearnt, cutCoreDeposesNobody) {
    auto q = Quiet();
    for (auto seed = 40u; seed < 46; seed++) {
        auto f = Fleet(seed);
        f.standing();
        auto l = f.leader();
        auto& c = *(l == f.bs[2].get() ? f.bs[1] : f.bs[2]);
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

// Where out of touch means to deny, it is denied.
TEST(NodeLearnt, cutNodeRejectsIfConfigured) {
    auto q = Quiet();
    auto f = Fleet(50);
    f.serveOn = false;
    f.standing();
    auto& c = *f.bs[7];
    f.lone(c, true);
    f.run(4 * SECOND);
    CHECK(!c.n->withinLease(f.t));
    CHECK(f.bs[8]->n->withinLease(f.t));
    f.lone(c, false);
    CHECK(f.until(2 * SECOND, [&] { return c.n->withinLease(f.t); }));
}

TEST(NodeLearnt, allLosePower) {
    auto q = Quiet();
    for (auto seed = 60u; seed < 66; seed++) {
        auto f = Fleet(seed);
        f.standing();
        CHECK(f.ordered("z", 4 * SECOND));
        for (auto& b : f.bs) f.stop(*b);
        f.run(500 * MILLISECOND);
        for (auto& b : f.bs) {
            // The seeds that the later settings name may be dead; cores keep a book.
            if (seed % 2) b->st.seeds = {b->core ? "10.1.0.99:7720" : "10.1.0.1:7720"};
            f.restart(*b);
        }
        for (auto i = 0u; i < 3; i++) CHECK(f.bs[i]->n->withinLease(f.t));
        CHECK(f.until(5 * SECOND, [&] { return f.leader() && f.everywhere("z"); }));
        CHECK(f.ordered("y", 4 * SECOND));
        for (auto& b : f.bs) CHECK(b->n->withinLease(f.t));
        f.run(2 * SECOND);
        for (auto& b : f.bs) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
    }
}

TEST(NodeLearnt, newcomerJoins) {
    auto q = Quiet();
    auto f = Fleet(70);
    f.standing();
    CHECK_EQ(200, f.list(*f.leader(), {"s1", "s2"}));
    auto& n = f.add("sindh", "khi-hall", false, false);
    f.start(n);
    CHECK(f.until(SECOND, [&] { return n.n->ready(f.t); }));
    CHECK(f.until(2 * SECOND, [&] {
        return std::all_of(f.bs.begin(), f.bs.end(), [&](auto& b) { return b->n->alive(n.st.node, f.t); });
    }));
    f.run(3 * SECOND);
    for (auto& b : f.bs) CHECK_EQ(std::size_t(13), b->n->aliveNodes(f.t).size());
    f.stop(n);
    n.removed = true;
    f.run(4 * SECOND);
    for (auto& b : f.bs)
        if (b->up) CHECK_EQ(std::size_t(12), b->n->aliveNodes(f.t).size());
}

TEST(NodeLearnt, fewBytesBetweenRegions) {
    auto q = Quiet();
    auto f = Fleet(80);
    f.weigh = true;
    f.standing();
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
    f.bs[0]->st.probes = true;
    f.stop(*f.bs[0]);
    f.restart(*f.bs[0]);
    f.run(2 * SECOND);
    CHECK(f.probes > 0);
}

TEST(NodeLearnt, oneDutyAndItsListing) {
    auto q = Quiet();
    auto f = Fleet(90);
    f.standing();
    CHECK_EQ(std::size_t(1), f.duties().size());
    auto l = f.leader();
    CHECK(f.duties()[0] == l);
    CHECK_EQ(409, f.list(*f.bs[8], {"x"}));
    CHECK_EQ(200, f.list(*l, {"s1", "s2"}, R"(,"coldUs":5000000)"));
    CHECK(f.until(400 * MILLISECOND, [&] { return f.listed("s1", UP) && f.listed("s2", UP); }));
    for (auto& b : f.bs) {
        auto left = b->n->servers().at("s1").coldUntil - f.t;
        CHECK(left > 4 * SECOND && left <= 5 * SECOND + 300 * MILLISECOND);
    }
    // Not told again it still stands: the platform may be out of reach.
    f.run(20 * SECOND);
    CHECK(f.listed("s1", UP));
    CHECK_EQ(200, f.list(*l, {"s1"}));
    CHECK(f.until(400 * MILLISECOND, [&] { return f.listed("s2", LEAVING) && f.listed("s1", UP); }));
    f.bs[6]->n->mark(++f.ids, "s1", 0, f.t);
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
TEST(NodeLearnt, dutyIsHandedOn) {
    auto q = Quiet();
    auto f = Fleet(91);
    f.standing();
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
    for (auto i = 0u; i < 3; i++) f.stop(*f.bs[i]);
    f.run(6 * SECOND);
    CHECK_EQ(std::size_t(1), f.duties().size());
    CHECK_EQ(200, f.list(*f.duties()[0], {"s3"}));
    CHECK(f.until(SECOND, [&] { return f.listed("s3", UP); }));
}

// All lose power at once: nobody has a listing then, and one is asked for before there is a leader.
TEST(NodeLearnt, listingBeforeTheElection) {
    auto q = Quiet();
    for (auto seed = 300u; seed < 304; seed++) {
        auto f = Fleet(seed);
        f.standing();
        CHECK_EQ(200, f.list(*f.leader(), {"s1"}));
        f.run(SECOND);
        for (auto& b : f.bs) f.stop(*b);
        f.run(SECOND);
        for (auto& b : f.bs) f.start(*b);
        CHECK(f.until(450 * MILLISECOND, [&] { return !f.leader() && !f.duties().empty(); }));
        CHECK_EQ(200, f.list(*f.duties()[0], {"s1"}));
        CHECK(f.until(3 * SECOND, [&] { return f.listed("s1", UP); }));
    }
}

// A leader that was frozen acknowledges nothing before it has asked.
TEST(NodeLearnt, frozenLeaderWakes) {
    auto q = Quiet();
    for (auto seed = 100u; seed < 106; seed++) {
        auto f = Fleet(seed);
        f.standing();
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
        CHECK(parseJson(f.outs[rd].body, d));
        CHECK(d["empties"].HasMember("z"));
        CHECK(f.until(2 * SECOND, [&] { return f.everywhere("z") && f.everywhere("y"); }));
    }
}

// Whatever happens within what is to be borne, what was acknowledged stays and a calm fleet serves.
// `cores` with a disk, three or five of them voters: one beyond that is a spare.
static auto fuzz(unsigned seed, int cores) -> std::string {
    auto f = Fleet(seed);
    f.standing(cores);
    auto acked = std::vector<std::string>();
    auto size = cores > 4 ? 5u : 3u;
    auto cs = std::vector<Box*>();
    for (auto i = 0; i < cores; i++) cs.push_back(f.bs[std::size_t(i)].get());
    for (auto k = 0; k < 12; k++) {
        auto at = fmt::format("seed {}, {} cores, round {}: ", seed, cores, k);
        auto what = fmt::format("z{}", k);
        if (f.ordered(what, Microseconds(f.r.below(3 * SECOND)))) acked.push_back(what);
        auto i = f.r.below(cs.size());
        auto c = cs[i];
        auto e = f.bs[std::size_t(cores) + f.r.below(std::uint64_t(12 - cores))].get();
        auto fault = f.r.below(7);
        auto d = Microseconds(f.r.below(f.r.chance(.5) ? 2 * SECOND : 7 * SECOND));
        if (getenv("DT_SHOW")) fmt::print("{} {} fault {} of {}, {} us\n", f.t, at, fault, c->st.node, d);
        if (fault == 0) {
            for (auto& b : f.bs)
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
        // One loss at a time: the next one only when all seats are filled again.
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
        for (auto& b : f.bs)
            if (b->up && !b->n->withinLease(f.t)) return at + b->st.node + " has no configuration";
        for (auto& a : acked)
            if (!f.leader()->n->replicatedState().evacuated(a) || !f.everywhere(a))
                return at + a + " is not everywhere";
    }
    return acked.empty() ? "nothing was acknowledged" : "";
}
TEST(NodeLearnt, fuzz) {
    auto q = Quiet();
    auto more = getenv("DT_SEEDS") ? unsigned(atoi(getenv("DT_SEEDS"))) : 8u;
    for (auto seed = 200u; seed < 200 + more; seed++)
        for (auto cores : {3, 4, 6}) CHECK_EQ(std::string(), fuzz(seed, cores));
}

// A larger fleet: nobody is thought gone that is not, and what a node says grows no faster than
// the fleet.
TEST(NodeLearnt, larger) {
    auto q = Quiet();
    auto f = Fleet(300);
    auto nodes = getenv("DT_NODES") ? atoi(getenv("DT_NODES")) : 60;
    f.standing(3, nodes);
    f.run((2 + nodes / 100) * SECOND);  // hundreds that start at once take a while to settle
    f.weigh = true;
    auto again = [&] {
        auto n = std::int64_t(0);
        for (auto& b : f.bs) n += b->ct.get("node_heard_again_total") + b->ct.get("asked_total");
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
    for (auto& b : f.bs) CHECK_EQ(std::size_t(nodes), b->n->aliveNodes(f.t).size());
    CHECK(f.all / 5 / nodes < 80 * nodes);
    auto id = f.order(*f.bs.back(), "z");
    CHECK(f.until(SECOND, [&] { return f.ok(id); }));
    CHECK(f.until(SECOND, [&] { return f.everywhere("z"); }));
}

TEST(NodeLearnt, settings) {
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
