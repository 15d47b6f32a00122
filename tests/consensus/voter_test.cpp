#include <algorithm>
#include <cstddef>
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

// Contested elections: see Cluster::contestElections().
constexpr Microseconds CONTEST_INTERVAL = 5 * SECOND;
constexpr Microseconds CONTEST_QUIET = 1 * SECOND;           // before it, in which all logs become equal
constexpr Microseconds CONTEST_FREEZE = 1500 * MILLISECOND;  // longer than a leader leads unheard
constexpr Microseconds CONTEST_LENGTH = 2500 * MILLISECOND;
constexpr double USUAL_LOSS = 0.05;  // of messages
constexpr Microseconds STEP = 5 * MILLISECOND;
constexpr int CALM_STEPS = 1200;              // at the end of a run, in which nothing goes wrong any more
constexpr std::size_t REMEMBERED_KEYS = 100;  // of acknowledged orders; the state keeps the last 256

// Voters on a lawless network: messages are lost, doubled and late, disks sync when they
// like, power goes and takes with it what was not synced, disks are replaced.
struct Cluster {
    struct Replica : VoterPort {
        Cluster& cluster;
        int number;
        Counters counters;
        DiskState held;
        std::deque<DiskWrite> pending;
        DiskWriteFence gate;
        std::unique_ptr<Voter> voter;  // none while the power is off
        std::string disk;
        Microseconds wakesAt = 0;  // it is off or frozen until then
        Replica(Cluster& owner, int index) : cluster(owner), number(index) {}
        auto sendToReplica(const std::string& toDisk, wire::Envelope& message) -> void override {
            cluster.post(toDisk, message);
        }
        auto writeToDisk(const DiskWrite& write) -> void override { pending.push_back(write); }
        auto onStateApplied(const ReplicatedState& state, const AppliedEntry& entry) -> void override {
            auto& key = entry.key;
            cluster.applied(state);
            // The one who proposed it learns of it: from here on it is acknowledged.
            if (!key.empty() && entry.outcome.status == 200 && voter && voter->leads())
                cluster.acknowledged.push_back(key);
        }
        auto onReadDone(std::int64_t id, bool ok) -> void override {
            if (!ok) return;
            auto known = cluster.versionAtRead[id];
            auto version = voter->replicatedState().version;
            if (version < known)
                cluster.violation =
                    fmt::format("a readback gave version {} after {} was known", version, known);
        }
        auto start() -> void {
            gate = {};
            voter = std::make_unique<Voter>(*this, counters, cluster.random.next());
            voter->broken = cluster.broken;
            voter->start(held, disk, cluster.now);
            disk = voter->disk();
        }
        auto powerOff(Microseconds duration) -> void {
            voter.reset();
            pending.clear();
            wakesAt = cluster.now + duration;
        }
        auto syncWrites() -> void {
            while (!pending.empty() && cluster.random.chance(cluster.syncChance)) {
                auto write = pending.front();
                pending.pop_front();
                auto ok = gate.takes(write) && (cluster.calm || !cluster.random.chance(.002));
                if (ok) applyDiskWrite(held, write);
                else gate.fail(write);
                voter->onDiskWriteDone(write.seq, ok, cluster.now);
            }
        }
        // Whether it runs, and holds a whole set of voters that are all of these disks.
        auto hasSoundVoters(const std::vector<std::unique_ptr<Replica>>& all) const -> bool {
            if (!voter || voter->blank() || voter->joint() || voter->voters().size() != all.size())
                return false;
            auto& voters = voter->voters();
            auto votes = [&](auto& other) {
                return std::any_of(voters.begin(), voters.end(),
                    [&](auto& identity) { return identity.disk == other->disk; });
            };
            return std::all_of(all.begin(), all.end(), votes);
        }
    };

    RandomSource random;
    Voter::Broken broken;
    Microseconds now = 0;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::multimap<Microseconds, std::pair<std::string, wire::Envelope>> network;
    std::map<std::int64_t, std::string> textOfVersion;
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> leaderOfTerm;  // by epoch and term
    std::vector<std::string> acknowledged;                                      // keys of orders
    std::map<std::int64_t, std::int64_t> versionAtRead;                         // the newest known when asked
    std::int64_t newestVersion = 0;
    std::string violation;  // a broken promise
    std::string unsettled;  // why nobody leads after the calm time, which an overloaded disk may cause too
    int nextKey = 0;
    int nextDisk = 0;
    double loss = USUAL_LOSS;
    double syncChance = 0.2;  // of the oldest write, each step
    bool calm = false;
    bool contestedElections = false;
    Microseconds nextContest = CONTEST_INTERVAL, contestEnds = 0, nextFault = SECOND;
    std::pair<std::string, std::string> cutLink;  // the disks at the two ends of a link that loses everything
    std::string heldDisk;                         // what is sent to this disk waits until then
    Microseconds heldUntil = 0;

    Cluster(std::uint64_t seed, int size) : random{seed} {
        for (auto number = 0; number < size; number++) {
            replicas.push_back(std::make_unique<Replica>(*this, number));
            replicas.back()->disk = fmt::format("d{}", nextDisk++);
        }
    }
    auto post(const std::string& toDisk, const wire::Envelope& message) -> void {
        if (cutLink == std::pair(toDisk, message.disk) || cutLink == std::pair(message.disk, toDisk)) return;
        if (random.chance(loss)) return;
        auto earliest = toDisk == heldDisk ? heldUntil : now;
        auto arrival =
            now + Microseconds(random.below(random.chance(.1) ? 400 * MILLISECOND : 20 * MILLISECOND));
        network.emplace(std::max(arrival, earliest), std::pair(toDisk, message));
        if (!random.chance(.03)) return;
        auto second = now + Microseconds(random.below(800 * MILLISECOND));
        network.emplace(std::max(second, earliest), std::pair(toDisk, message));
    }
    auto applied(const ReplicatedState& state) -> void {
        if (state.version == 0) return;
        auto& text = textOfVersion[state.version];
        if (text.empty()) text = state.text();
        else if (text != state.text())
            violation = fmt::format("two states of version {}: {} {}", state.version,
                getenv("DT_SHOW") ? text : "", getenv("DT_SHOW") ? state.text() : "");
        newestVersion = std::max(newestVersion, state.version);
    }
    // Nothing else goes wrong shortly before a contest and during it.
    auto contestNear() const -> bool {
        return contestedElections && !calm && (now >= nextContest - CONTEST_QUIET || now < contestEnds);
    }
    auto contestElections() -> void {
        if (now >= contestEnds || calm) cutLink = {};
        if (!contestNear()) return;
        loss = USUAL_LOSS;
        if (now < nextContest) return;
        nextContest = now + CONTEST_INTERVAL;
        contestEnds = now + CONTEST_LENGTH;
        contestElection();
    }
    // The leader freezes, and the two next to it don't reach each other. Their requests for a pre-vote
    // wait for the frozen one, which reads them all when it wakes; so both campaign in the same term,
    // and both need its vote.
    auto contestElection() -> void {
        auto leader = std::find_if(replicas.begin(), replicas.end(),
            [](auto& replica) { return replica->voter && replica->voter->leads(); });
        if (leader == replicas.end()) return;
        auto position = std::size_t(leader - replicas.begin());
        heldDisk = (*leader)->disk;
        heldUntil = (*leader)->wakesAt = now + CONTEST_FREEZE;
        cutLink = {replicas[(position + 1) % replicas.size()]->disk,
            replicas[(position + 2) % replicas.size()]->disk};
    }
    auto bootstrap() -> void {
        for (auto& replica : replicas) replica->start();
        auto initialVoters = std::vector<VoterIdentity>();
        for (auto& replica : replicas)
            initialVoters.push_back({fmt::format("s{}", replica->number), replica->disk});
        auto state = ReplicatedState();
        state.bootstrap({"n"}, initialVoters);
        replicas[0]->voter->bootstrap(state, 1, now);
    }
    auto deliver() -> void {
        while (!network.empty() && network.begin()->first <= now) {
            auto [toDisk, message] = network.begin()->second;
            network.erase(network.begin());
            for (auto& replica : replicas)
                if (replica->voter && replica->disk == toDisk && now >= replica->wakesAt)
                    replica->voter->handle(message, now);
        }
    }
    auto tick(Replica& replica) -> void {
        if (!replica.voter) {
            if (now >= replica.wakesAt) replica.start();
            return;
        }
        if (now < replica.wakesAt) return;
        replica.syncWrites();
        auto blank = std::vector<std::string>();
        auto spares = std::vector<std::pair<std::string, std::string>>();
        for (auto& other : replicas) {
            if (!other->voter) continue;
            if (other->voter->blank()) blank.push_back(other->disk);
            spares.emplace_back(fmt::format("s{}", other->number), other->disk);
        }
        replica.voter->setUninitializedVoters(blank);
        replica.voter->setSpareDisks(spares);
        replica.voter->tick(now);
        if (replica.voter->leads()) useLeader(replica);
    }
    // Checks that a leader is alone in its term, and gives it orders, reads and transfers of leadership.
    auto useLeader(Replica& replica) -> void {
        auto& voter = *replica.voter;
        auto& leader = leaderOfTerm[{voter.epoch(), voter.term()}];
        if (leader.empty()) leader = replica.disk;
        if (leader != replica.disk) violation = fmt::format("two leaders in term {}", voter.term());
        if (!contestNear() && random.chance(.05)) {
            auto key = fmt::format("k{}", nextKey++);
            auto body = orderPrepare(voter.latestState(), "empty", key,
                fmt::format("{{\"district\":\"z{}\"}}", random.below(5)), now);
            if (body) voter.propose(ENTRY_ORDER, *body, now);
        }
        if (random.chance(.03)) {
            versionAtRead[nextKey] = newestVersion;
            voter.read(nextKey++, now);
        }
        if (!calm && !contestNear() && random.chance(.002)) voter.transferLeadership(now);
    }
    auto injectFault(bool mayReplaceDisk) -> void {
        if (now < nextFault || contestNear()) return;
        nextFault = now + Microseconds(random.below(1500 * MILLISECOND));
        auto& replica = *replicas[random.below(replicas.size())];
        auto kind = random.below(10);
        if (kind < 4) replica.powerOff(Microseconds(random.below(800 * MILLISECOND)));
        else if (kind < 6) replica.wakesAt = now + Microseconds(random.below(2 * SECOND));  // frozen
        else if (kind < 7) loss = random.chance(.5) ? 0.4 : USUAL_LOSS;
        else if (kind < 8 && mayReplaceDisk) replaceDisk(replica);
    }
    // Where all the others are sound voters.
    auto replaceDisk(Replica& replica) -> void {
        auto isSound = [&](auto& other) { return other->hasSoundVoters(replicas); };
        if (!std::all_of(replicas.begin(), replicas.end(), isSound)) return;
        replica.held = {};
        replica.disk = fmt::format("d{}", nextDisk++);
        replica.powerOff(Microseconds(random.below(500 * MILLISECOND)));
    }
    auto run(int steps) -> void {
        bootstrap();
        for (auto step = 0; step < steps && violation.empty(); step++) {
            now += STEP;
            deliver();
            for (auto& replica : replicas) tick(*replica);
            contestElections();
            injectFault(step < steps * 3 / 4);
            if (step == steps - CALM_STEPS) {  // from here on they must agree again
                loss = 0;
                nextFault = INT64_MAX;
                calm = true;
            }
        }
        if (!violation.empty()) return;
        checkSettled();
        checkAcknowledged();
    }
    auto checkSettled() -> void {
        auto leaders = 0;
        for (auto& replica : replicas) leaders += replica->voter && replica->voter->leads();
        if (leaders == 1) return;
        unsettled = fmt::format("{} leaders after six calm seconds:", leaders);
        for (auto& replica : replicas) unsettled += describe(*replica);
    }
    static auto describe(const Replica& replica) -> std::string {
        if (!replica.voter)
            return fmt::format(" [{} without power, {} writes]", replica.disk, replica.pending.size());
        auto& voter = *replica.voter;
        auto text = fmt::format(" [{} role {} term {} last {} commit {} bad {} writes {} voters",
            replica.disk, int(voter.role()), voter.term(), voter.last(), voter.commit(), voter.isDiskFaulty(),
            replica.pending.size());
        for (auto& identity : voter.voters()) text += " " + identity.disk;
        return text + "]";
    }
    auto checkAcknowledged() -> void {
        auto count = std::min(acknowledged.size(), REMEMBERED_KEYS);
        for (auto& replica : replicas) {
            if (!replica->voter || !replica->voter->leads()) continue;
            for (auto key = acknowledged.end() - std::ptrdiff_t(count); key != acknowledged.end(); ++key)
                if (replica->voter->replicatedState().outcome(*key).status != 200)
                    violation = "acknowledged and gone: " + *key;
        }
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
        acknowledged += cluster.acknowledged.size();
        result.unsafe += !cluster.violation.empty();
        result.unsettled += !cluster.unsettled.empty();
        auto& failure = cluster.violation.empty() ? cluster.unsettled : cluster.violation;
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
