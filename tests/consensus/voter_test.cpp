#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
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

// Contested elections: see Cluster::contestElections().
constexpr Microseconds CONTEST_INTERVAL = 5 * SECOND;
constexpr Microseconds CONTEST_QUIET = 1 * SECOND;           // before it, in which all logs become equal
constexpr Microseconds CONTEST_FREEZE = 1500 * MILLISECOND;  // longer than a leader leads unheard
constexpr Microseconds CONTEST_LENGTH = 2500 * MILLISECOND;
constexpr double USUAL_LOSS = 0.05;  // of messages

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

    RandomSource r;
    Voter::Broken broken;
    Microseconds t = 0;
    std::vector<std::unique_ptr<Replica>> bs;
    std::multimap<Microseconds, std::pair<std::string, wire::Envelope>> net;
    std::map<std::int64_t, std::string> texts;  // generation -> the word
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> leads;
    std::vector<std::string> acked;
    std::map<std::int64_t, std::int64_t> reads;
    std::int64_t top = 0;
    std::string bad;        // a broken promise
    std::string unsettled;  // why nobody leads after the calm time, which an overloaded disk may cause too
    int n = 0, disks = 0;
    double loss = USUAL_LOSS;
    double syncChance = 0.2;  // of the oldest write, each step
    bool calm = false;
    bool contestedElections = false;
    Microseconds nextContest = CONTEST_INTERVAL, contestEnds = 0;
    std::pair<std::string, std::string> cutLink;  // the disks at the two ends of a link that loses everything
    std::string heldDisk;                         // what is sent to this disk waits until then
    Microseconds heldUntil = 0;

    explicit Cluster(std::uint64_t s, int k) : r{s}, n(k) {
        for (auto i = 0; i < k; i++) {
            bs.push_back(std::make_unique<Replica>(*this, i));
            bs[std::size_t(i)]->disk = fmt::format("d{}", disks++);
        }
    }
    auto post(const std::string& d, const wire::Envelope& e) -> void {
        if (cutLink == std::pair(d, e.disk) || cutLink == std::pair(e.disk, d)) return;
        if (r.chance(loss)) return;
        auto earliest = d == heldDisk ? heldUntil : t;
        auto arrival = t + Microseconds(r.below(r.chance(.1) ? 400 * MILLISECOND : 20 * MILLISECOND));
        net.emplace(std::max(arrival, earliest), std::pair(d, e));
        if (r.chance(.03))
            net.emplace(std::max(t + Microseconds(r.below(800 * MILLISECOND)), earliest), std::pair(d, e));
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
    // Nothing else goes wrong shortly before a contest and during it.
    auto contestNear() const -> bool {
        return contestedElections && !calm && (t >= nextContest - CONTEST_QUIET || t < contestEnds);
    }
    auto contestElections() -> void {
        if (t >= contestEnds || calm) cutLink = {};
        if (!contestNear()) return;
        loss = USUAL_LOSS;
        if (t < nextContest) return;
        nextContest = t + CONTEST_INTERVAL;
        contestEnds = t + CONTEST_LENGTH;
        contestElection();
    }
    // The leader freezes, and the two next to it don't hear each other. Their requests for a pre-vote
    // wait for the frozen one, which reads them all when it wakes; so both campaign in the same term,
    // and both need its vote.
    auto contestElection() -> void {
        auto leader = std::find_if(bs.begin(), bs.end(), [](auto& b) { return b->v && b->v->leads(); });
        if (leader == bs.end()) return;
        auto i = std::size_t(leader - bs.begin());
        heldDisk = (*leader)->disk;
        heldUntil = (*leader)->wake = t + CONTEST_FREEZE;
        cutLink = {bs[(i + 1) % bs.size()]->disk, bs[(i + 2) % bs.size()]->disk};
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
                    if (!contestNear() && r.chance(.05)) {
                        auto k = fmt::format("k{}", key++);
                        if (auto o = orderPrepare(b->v->latestState(), "empty", k,
                                fmt::format("{{\"district\":\"z{}\"}}", r.below(5)), t))
                            b->v->propose(ORDER, *o, t);
                    }
                    if (r.chance(.03)) {
                        reads[key] = top;
                        b->v->read(key++, t);
                    }
                    if (!calm && !contestNear() && r.chance(.002)) b->v->transferLeadership(t);
                }
            }
            contestElections();
            if (t >= nextFault && !contestNear()) {
                nextFault = t + Microseconds(r.below(1500 * MILLISECOND));
                auto& b = *bs[r.below(bs.size())];
                auto k = r.below(10);
                if (k < 4) {  // power
                    b.v.reset();
                    b.under.clear();
                    b.wake = t + Microseconds(r.below(800 * MILLISECOND));
                } else if (k < 6) b.wake = t + Microseconds(r.below(2 * SECOND));  // frozen
                else if (k < 7) loss = r.chance(.5) ? 0.4 : USUAL_LOSS;
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
            unsettled = fmt::format("{} leaders after six calm seconds:", lead);
            for (auto& b : bs) {
                unsettled += fmt::format(" [{} role {} term {} last {} commit {} bad {} under {} voters",
                    b->disk, b->v ? int(b->v->role()) : -1, b->v ? b->v->term() : 0, b->v ? b->v->last() : 0,
                    b->v ? b->v->commit() : 0, b->v && b->v->diskBad(), b->under.size());
                if (b->v)
                    for (auto& q : b->v->voters()) unsettled += " " + q.disk;
                unsettled += "]";
            }
        }
        for (auto& b : bs)
            for (auto k = acked.size() > 100 ? acked.end() - 100 : acked.begin(); k != acked.end();
                 ++k)  // a word keeps the last 256
                if (b->v && b->v->leads() && b->v->replicatedState().outcome(*k).status != 200)
                    bad = "acknowledged and gone: " + *k;
    }
};

struct FuzzOptions {
    int firstSeed = 1, seeds = 1, replicas = 3;
    bool contestedElections = false;
    double syncChance = 0.2;
};

struct FuzzResult {
    int unsafe = 0;     // seeds that broke a promise
    int unsettled = 0;  // seeds that had no leader after the calm time
    std::string firstFailure;
};

auto fuzz(const Voter::Broken& broken, const FuzzOptions& options) -> FuzzResult {
    muteLog(true);
    auto result = FuzzResult();
    auto acknowledged = std::size_t(0);
    for (auto seed = options.firstSeed; seed < options.firstSeed + options.seeds; seed++) {
        auto cluster = Cluster(std::uint64_t(seed), options.replicas);
        cluster.broken = broken;
        cluster.contestedElections = options.contestedElections;
        cluster.syncChance = options.syncChance;
        cluster.run(6000);
        acknowledged += cluster.acked.size();
        result.unsafe += !cluster.bad.empty();
        result.unsettled += !cluster.unsettled.empty();
        auto& failure = cluster.bad.empty() ? cluster.unsettled : cluster.bad;
        if (failure.empty()) continue;
        if (result.firstFailure.empty()) result.firstFailure = fmt::format("seed {}: {}", seed, failure);
        if (getenv("DT_SHOW")) fmt::print("seed {}: {}\n", seed, failure);
    }
    muteLog(false);
    CHECK(acknowledged > 0 || result.unsafe > 0);
    return result;
}

auto isSound(const FuzzOptions& options) -> void {
    auto result = fuzz({}, options);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.firstFailure, 0, result.unsafe + result.unsettled);
}

}  // namespace

TEST(Voter, fuzzThree) { isSound({.firstSeed = 1, .seeds = 60}); }
TEST(Voter, fuzzFive) { isSound({.firstSeed = 1000, .seeds = 30, .replicas = 5}); }
TEST(Voter, fuzzContestedElections) { isSound({.seeds = 60, .contestedElections = true}); }
// Each deliberate fault must break a promise. That nobody leads doesn't count: disks as slow as
// those of `ackBeforeSync` bring that about with sound voters too.
TEST(Voter, brokenIsSeen) {
    struct Variant {
        std::string_view name;
        bool Voter::Broken::*fault;
        FuzzOptions options;
    };
    const auto variants = std::vector<Variant>{
        // Slow disks: more is acknowledged that a loss of power takes.
        {"ackBeforeSync", &Voter::Broken::ackBeforeSync, {.seeds = 100, .syncChance = 0.05}},
        {"voteTwice", &Voter::Broken::voteTwice, {.seeds = 60, .contestedElections = true}},
        {"noQuorum", &Voter::Broken::noQuorum, {.seeds = 20}},
    };
    for (auto& variant : variants) {
        auto broken = Voter::Broken();
        broken.*variant.fault = true;
        // The refusal to give committed entries up would hide these faults behind it.
        broken.truncateCommitted = true;
        auto unsafe = fuzz(broken, variant.options).unsafe;
        if (getenv("DT_SHOW"))
            fmt::print("{}: {} of {} seeds\n", variant.name, unsafe, variant.options.seeds);
        CPPUNIT_ASSERT_MESSAGE(std::string(variant.name), unsafe > 0);
    }
}

}  // namespace duneturn
