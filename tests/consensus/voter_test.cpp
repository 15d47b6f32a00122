#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/log.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr auto ORDER = 1;  // the kind of an order in the log, as on the wire

// Voters on a lawless network: messages are lost, doubled and late, disks sync when they
// like, power goes and takes with it what was not synced, disks are replaced.
struct Cluster : VoterPort {
    struct Replica : VoterPort {
        Cluster& l;
        int i;
        Counters ct;
        DiskState held;
        std::deque<DiskWrite> under;
        DiskGate gate;
        std::unique_ptr<Voter> v;
        std::string disk;
        Microseconds wake = 0;
        Replica(Cluster& x, int k) : l(x), i(k) {}
        auto voterSend(const std::string& d, wire::Envelope& e) -> void override { l.post(d, e); }
        auto voterWrite(const DiskWrite& w) -> void override { under.push_back(w); }
        auto voterApplied(const ReplicatedState& w, const std::string& key, const Outcome& o)
            -> void override {
            l.applied(*this, w);
            // The one who proposed it hears of it: from here on it is acknowledged.
            if (!key.empty() && o.status == 200 && v && v->leads()) l.acked.push_back(key);
        }
        auto voterRead(std::int64_t id, bool ok) -> void override {
            if (!ok) return;
            auto& r = l.reads[id];
            if (v->replicatedState().version < r)
                l.bad = fmt::format(
                    "a readback gave generation {} after {} was known", v->replicatedState().version, r);
        }
        auto start() -> void {
            gate = {};
            v = std::make_unique<Voter>(*this, ct, l.r.next());
            v->broken = l.broken;
            v->start(held, disk, l.t);
            disk = v->disk();
        }
    };
    auto voterSend(const std::string&, wire::Envelope&) -> void override {}
    auto voterWrite(const DiskWrite&) -> void override {}
    auto voterApplied(const ReplicatedState&, const std::string&, const Outcome&) -> void override {}
    auto voterRead(std::int64_t, bool) -> void override {}

    Rng r;
    Voter::Broken broken;
    Microseconds t = 0;
    std::vector<std::unique_ptr<Replica>> bs;
    std::multimap<Microseconds, std::pair<std::string, wire::Envelope>> net;
    std::map<std::int64_t, std::string> texts;  // generation -> the word
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> leads;
    std::vector<std::string> acked;
    std::map<std::int64_t, std::int64_t> reads;
    std::int64_t top = 0;
    std::string bad;
    int n = 0, disks = 0;
    double loss = 0.05;
    double syncChance = 0.2;  // of the oldest write, each step
    bool calm = false;

    explicit Cluster(std::uint64_t s, int k) : r{s}, n(k) {
        for (auto i = 0; i < k; i++) {
            bs.push_back(std::make_unique<Replica>(*this, i));
            bs[std::size_t(i)]->disk = fmt::format("d{}", disks++);
        }
    }
    auto post(const std::string& d, const wire::Envelope& e) -> void {
        if (r.chance(loss)) return;
        net.emplace(
            t + Microseconds(r.below(r.chance(.1) ? 400 * MILLISECOND : 20 * MILLISECOND)), std::pair(d, e));
        if (r.chance(.03)) net.emplace(t + Microseconds(r.below(800 * MILLISECOND)), std::pair(d, e));
    }
    auto applied(Replica&, const ReplicatedState& w) -> void {
        if (w.version == 0) return;
        auto& x = texts[w.version];
        if (x.empty()) x = w.text();
        else if (x != w.text())
            bad = fmt::format("two words of generation {}: {} {}", w.version, getenv("DT_SHOW") ? x : "",
                getenv("DT_SHOW") ? w.text() : "");
        top = std::max(top, w.version);
    }
    auto run(int steps) -> void {
        for (auto& b : bs) b->start();
        auto vs = std::vector<VoterIdentity>();
        for (auto& b : bs) vs.push_back({fmt::format("s{}", b->i), b->disk});
        auto w = ReplicatedState();
        w.bootstrap({"n"}, vs);
        bs[0]->v->bootstrap(w, 1, t);
        auto key = 0;
        auto nextFault = SECOND;
        for (auto s = 0; s < steps && bad.empty(); s++) {
            t += 5 * MILLISECOND;
            while (!net.empty() && net.begin()->first <= t) {
                auto [d, e] = net.begin()->second;
                net.erase(net.begin());
                for (auto& b : bs)
                    if (b->v && b->disk == d && t >= b->wake) b->v->handle(e, t);
            }
            for (auto& b : bs) {
                if (!b->v) {
                    if (t >= b->wake) b->start();
                    continue;
                }
                if (t < b->wake) continue;
                while (!b->under.empty() && r.chance(syncChance)) {
                    auto x = b->under.front();
                    b->under.pop_front();
                    auto ok = b->gate.takes(x) && (calm || !r.chance(.002));
                    if (ok) diskApply(b->held, x);
                    else b->gate.fail(x);
                    b->v->diskDone(x.seq, ok, t);
                }
                auto un = std::vector<std::string>();
                for (auto& o : bs)
                    if (o->v && o->v->blank()) un.push_back(o->disk);
                b->v->setBlankVoters(un);
                auto of = std::vector<std::pair<std::string, std::string>>();
                for (auto& o : bs)
                    if (o->v) of.emplace_back(fmt::format("s{}", o->i), o->disk);
                b->v->setSpareDisks(of);
                b->v->tick(t);
                if (b->v->leads()) {
                    auto& l = leads[{b->v->epoch(), b->v->term()}];
                    if (l.empty()) l = b->disk;
                    if (l != b->disk) bad = fmt::format("two leaders in term {}", b->v->term());
                    if (r.chance(.05)) {
                        auto k = fmt::format("k{}", key++);
                        if (auto o = orderPrepare(b->v->latestState(), "empty", k,
                                fmt::format("{{\"district\":\"z{}\"}}", r.below(5)), t))
                            b->v->propose(ORDER, *o, t);
                    }
                    if (r.chance(.03)) {
                        reads[key] = top;
                        b->v->read(key++, t);
                    }
                    if (!calm && r.chance(.002)) b->v->transferLeadership(t);
                }
            }
            if (t >= nextFault) {
                nextFault = t + Microseconds(r.below(1500 * MILLISECOND));
                auto& b = *bs[r.below(bs.size())];
                auto k = r.below(10);
                if (k < 4) {  // power
                    b.v.reset();
                    b.under.clear();
                    b.wake = t + Microseconds(r.below(800 * MILLISECOND));
                } else if (k < 6) b.wake = t + Microseconds(r.below(2 * SECOND));  // frozen
                else if (k < 7) loss = r.chance(.5) ? 0.4 : 0.05;
                else if (k < 8 && s < steps * 3 / 4) {
                    // A disk is replaced, where all the others are sound voters.
                    auto good = 0;
                    for (auto& o : bs) {
                        auto ok =
                            o->v && !o->v->blank() && !o->v->joint() && o->v->voters().size() == bs.size();
                        for (auto& x : bs)
                            ok = ok
                                && std::any_of(o->v->voters().begin(), o->v->voters().end(),
                                    [&](auto& q) { return q.disk == x->disk; });
                        good += ok;
                    }
                    if (good != n) continue;
                    b.v.reset();
                    b.under.clear();
                    b.held = {};
                    b.disk = fmt::format("d{}", disks++);
                    b.wake = t + Microseconds(r.below(500 * MILLISECOND));
                }
            }
            if (s == steps - 1200)
                loss = 0, nextFault = INT64_MAX, calm = true;  // calm: they must agree again
        }
        if (!bad.empty()) return;
        auto lead = 0;
        for (auto& b : bs) lead += b->v && b->v->leads();
        if (lead != 1) {
            bad = fmt::format("{} leaders after six calm seconds:", lead);
            for (auto& b : bs) {
                bad += fmt::format(" [{} role {} term {} last {} commit {} bad {} under {} voters", b->disk,
                    b->v ? int(b->v->role()) : -1, b->v ? b->v->term() : 0, b->v ? b->v->last() : 0,
                    b->v ? b->v->commit() : 0, b->v && b->v->diskBad(), b->under.size());
                if (b->v)
                    for (auto& q : b->v->voters()) bad += " " + q.disk;
                bad += "]";
            }
        }
        for (auto& b : bs)
            for (auto k = acked.size() > 100 ? acked.end() - 100 : acked.begin(); k != acked.end();
                 ++k)  // a word keeps the last 256
                if (b->v && b->v->leads() && b->v->replicatedState().outcome(*k).status != 200)
                    bad = "acknowledged and gone: " + *k;
    }
};

auto lab(Voter::Broken b, int from, int n, int size) -> std::pair<int, std::string> {
    logMute(true);
    auto bad = 0;
    auto why = std::string();
    auto acks = std::size_t(0);
    for (auto s = from; s < from + n; s++) {
        auto l = Cluster(std::uint64_t(s), size);
        l.broken = b;
        // Slower disks: more is acknowledged that a loss of power takes.
        if (b.ackBeforeSync) l.syncChance = 0.05;
        l.run(6000);
        acks += l.acked.size();
        if (!l.bad.empty()) {
            bad++;
            if (why.empty()) why = fmt::format("seed {}: {}", s, l.bad);
            if (getenv("DT_SHOW")) fmt::print("seed {}: {}\n", s, l.bad);
        }
    }
    logMute(false);
    CHECK(acks > 0 || bad > 0);
    return {bad, why};
}

}  // namespace

TEST(Voter, fuzzThree) {
    auto [bad, why] = lab({}, 1, 60, 3);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why, 0, bad);
}
TEST(Voter, fuzzFive) {
    auto [bad, why] = lab({}, 1000, 30, 5);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why, 0, bad);
}
// The oracle must see each deliberate fault.
TEST(Voter, brokenIsSeen) {
    for (auto k = 0; k < 3; k++) {
        auto b = Voter::Broken();
        b.ackBeforeSync = k == 0;
        b.voteTwice = k == 1;
        b.noQuorum = k == 2;
        // The refusal to give committed entries up would hide these faults behind it.
        b.truncateCommitted = true;
        auto n = lab(b, 1, k == 1 ? 300 : k == 0 ? 50 : 20, k == 1 ? 5 : 3).first;
        if (getenv("DT_SHOW")) fmt::print("variant {}: {} seeds\n", k, n);
        CHECK(n > 0);
    }
}

}  // namespace duneturn
