// Randomized tests of Voter under faults. Invariants: one leader per term, equal states for equal versions,
// no acknowledged order lost, linearizable reads. Each run ends without faults and must then have a leader.
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

// Contested elections; see Cluster::contestElection().
constexpr Microseconds CONTEST_INTERVAL = 5 * SECOND;
constexpr Microseconds CONTEST_QUIET = 1 * SECOND;  // fault-free time before, in which all logs become equal
constexpr Microseconds CONTEST_FREEZE = 1500 * MILLISECOND;  // longer than QUORUM_TIMEOUT
constexpr Microseconds CONTEST_LENGTH = 2500 * MILLISECOND;
constexpr double USUAL_LOSS = 0.05;  // probability of losing a message
constexpr Microseconds STEP = 5 * MILLISECOND;
constexpr int FAULT_FREE_STEPS = 1200;        // fault-free steps at the end of a run
constexpr std::size_t REMEMBERED_KEYS = 100;  // acknowledged orders to check; the state keeps the last 256

// A cluster of voters with faults: messages are lost, duplicated and delayed; disks complete writes after
// random times, and some writes fail; replicas freeze or lose power together with unsynced writes; disks are
// replaced.
struct Cluster {
    struct Replica : VoterPort {
        Cluster& cluster;
        int number;
        Counters counters;
        DiskState durable;
        std::deque<DiskWrite> pending;
        DiskWriteFence fence;
        std::unique_ptr<Voter> voter;  // null while the power is off
        std::string disk;
        Microseconds resumesAt = 0;  // without power or frozen until then
        Replica(Cluster& owner, int index) : cluster(owner), number(index) {}
        auto sendToReplica(const std::string& toDisk, wire::Envelope& message) -> void override {
            cluster.post(toDisk, message);
        }
        auto writeToDisk(const DiskWrite& write) -> void override { pending.push_back(write); }
        auto onStateApplied(const ReplicatedState& state, const AppliedEntry& entry) -> void override {
            auto& key = entry.key;
            cluster.applied(state);
            // A leader that has applied an order acknowledges it.
            if (!key.empty() && entry.outcome.status == 200 && voter && voter->leads())
                cluster.acknowledged.push_back(key);
        }
        auto onReadDone(std::int64_t id, bool confirmed) -> void override {
            if (!confirmed) return;
            auto expected = cluster.versionAtRead[id];
            auto version = voter->replicatedState().version;
            if (version < expected)
                cluster.violation = fmt::format(
                    "a read returned version {} although version {} existed before it", version, expected);
        }
        auto start() -> void {
            fence = {};
            voter = std::make_unique<Voter>(*this, counters, cluster.random.next());
            voter->broken = cluster.broken;
            voter->start(durable, disk, cluster.now);
            disk = voter->disk();
        }
        auto powerOff(Microseconds duration) -> void {
            voter.reset();
            pending.clear();
            resumesAt = cluster.now + duration;
        }
        auto syncWrites() -> void {
            while (!pending.empty() && cluster.random.chance(cluster.syncChance)) {
                auto write = pending.front();
                pending.pop_front();
                auto succeeded = fence.takes(write) && (cluster.faultFree || !cluster.random.chance(.002));
                if (succeeded) applyDiskWrite(durable, write);
                else fence.fail(write);
                voter->onDiskWriteDone(write.seq, succeeded, cluster.now);
            }
        }
        // Whether the voter is running with a single set of voters, which consists of the disks of all
        // replicas.
        auto hasCompleteVoters(const std::vector<std::unique_ptr<Replica>>& all) const -> bool {
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
    std::vector<std::string> acknowledged;                                      // idempotency keys of orders
    std::map<std::int64_t, std::int64_t> versionAtRead;  // the newest version when a read began, by id
    std::int64_t newestVersion = 0;
    std::string violation;  // the violated invariant; empty: none
    // Why there is no leader after the fault-free time; empty: there is one. Overloaded disks may cause it
    // too.
    std::string leaderless;
    int nextKey = 0;
    int nextDisk = 0;
    double loss = USUAL_LOSS;
    double syncChance = 0.2;  // probability per step that the oldest write completes
    bool faultFree = false;
    bool contestedElections = false;
    Microseconds nextContest = CONTEST_INTERVAL, contestEnds = 0, nextFault = SECOND;
    std::pair<std::string, std::string> partitionedLink;  // the two disks of a link that loses all messages
    std::string delayedDisk;  // messages to this disk are delivered at delayedUntil or later
    Microseconds delayedUntil = 0;

    Cluster(std::uint64_t seed, int size) : random{seed} {
        for (auto number = 0; number < size; number++) {
            replicas.push_back(std::make_unique<Replica>(*this, number));
            replicas.back()->disk = fmt::format("d{}", nextDisk++);
        }
    }
    auto post(const std::string& toDisk, const wire::Envelope& message) -> void {
        if (partitionedLink == std::pair(toDisk, message.disk)
            || partitionedLink == std::pair(message.disk, toDisk))
            return;
        if (random.chance(loss)) return;
        auto earliest = toDisk == delayedDisk ? delayedUntil : now;
        auto arrival =
            now + Microseconds(random.below(random.chance(.1) ? 400 * MILLISECOND : 20 * MILLISECOND));
        network.emplace(std::max(arrival, earliest), std::pair(toDisk, message));
        if (!random.chance(.03)) return;
        auto secondArrival = now + Microseconds(random.below(800 * MILLISECOND));
        network.emplace(std::max(secondArrival, earliest), std::pair(toDisk, message));
    }
    auto applied(const ReplicatedState& state) -> void {
        if (state.version == 0) return;
        auto& text = textOfVersion[state.version];
        if (text.empty()) text = state.text();
        else if (text != state.text())
            violation = fmt::format("different states of version {}: {} {}", state.version,
                getenv("DT_SHOW") ? text : "", getenv("DT_SHOW") ? state.text() : "");
        newestVersion = std::max(newestVersion, state.version);
    }
    // Whether a contested election is in progress or begins soon. No other faults are injected in that time.
    auto isContestNear() const -> bool {
        return contestedElections && !faultFree && (now >= nextContest - CONTEST_QUIET || now < contestEnds);
    }
    auto contestElections() -> void {
        if (now >= contestEnds || faultFree) partitionedLink = {};
        if (!isContestNear()) return;
        loss = USUAL_LOSS;
        if (now < nextContest) return;
        nextContest = now + CONTEST_INTERVAL;
        contestEnds = now + CONTEST_LENGTH;
        contestElection();
    }
    // Makes two replicas compete for the vote of a third in one term. The leader freezes, and the next two
    // replicas can't reach each other. Their pre-vote requests are delivered when the former leader resumes,
    // so both campaign in the same term, and both need its vote.
    auto contestElection() -> void {
        auto leader = std::find_if(replicas.begin(), replicas.end(),
            [](auto& replica) { return replica->voter && replica->voter->leads(); });
        if (leader == replicas.end()) return;
        auto position = std::size_t(leader - replicas.begin());
        delayedDisk = (*leader)->disk;
        delayedUntil = (*leader)->resumesAt = now + CONTEST_FREEZE;
        partitionedLink = {replicas[(position + 1) % replicas.size()]->disk,
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
                if (replica->voter && replica->disk == toDisk && now >= replica->resumesAt)
                    replica->voter->handle(message, now);
        }
    }
    auto tick(Replica& replica) -> void {
        if (!replica.voter) {
            if (now >= replica.resumesAt) replica.start();
            return;
        }
        if (now < replica.resumesAt) return;
        replica.syncWrites();
        auto uninitialized = std::vector<std::string>();
        auto spares = std::vector<std::pair<std::string, std::string>>();
        for (auto& other : replicas) {
            if (!other->voter) continue;
            if (other->voter->blank()) uninitialized.push_back(other->disk);
            spares.emplace_back(fmt::format("s{}", other->number), other->disk);
        }
        replica.voter->setUninitializedVoters(uninitialized);
        replica.voter->setSpareDisks(spares);
        replica.voter->tick(now);
        if (replica.voter->leads()) useLeader(replica);
    }
    // Checks that there is one leader per term, and requests orders, reads and leadership transfers from it.
    auto useLeader(Replica& replica) -> void {
        auto& voter = *replica.voter;
        auto& leader = leaderOfTerm[{voter.epoch(), voter.term()}];
        if (leader.empty()) leader = replica.disk;
        if (leader != replica.disk) violation = fmt::format("two leaders in term {}", voter.term());
        if (!isContestNear() && random.chance(.05)) {
            auto key = fmt::format("k{}", nextKey++);
            auto body = orderPrepare(voter.latestState(), "empty", key,
                fmt::format("{{\"district\":\"z{}\"}}", random.below(5)), now);
            if (body) voter.propose(ENTRY_ORDER, *body, now);
        }
        if (random.chance(.03)) {
            versionAtRead[nextKey] = newestVersion;
            voter.read(nextKey++, now);
        }
        if (!faultFree && !isContestNear() && random.chance(.002)) voter.transferLeadership(now);
    }
    auto injectFault(bool mayReplaceDisk) -> void {
        if (now < nextFault || isContestNear()) return;
        nextFault = now + Microseconds(random.below(1500 * MILLISECOND));
        auto& replica = *replicas[random.below(replicas.size())];
        auto kind = random.below(10);
        if (kind < 4) replica.powerOff(Microseconds(random.below(800 * MILLISECOND)));
        else if (kind < 6) replica.resumesAt = now + Microseconds(random.below(2 * SECOND));  // frozen
        else if (kind < 7) loss = random.chance(.5) ? 0.4 : USUAL_LOSS;
        else if (kind < 8 && mayReplaceDisk) replaceDisk(replica);
    }
    // Replaces the disk of a replica, provided that all replicas are running and list the disks of all as
    // voters.
    auto replaceDisk(Replica& replica) -> void {
        auto hasCompleteVoters = [&](auto& other) { return other->hasCompleteVoters(replicas); };
        if (!std::all_of(replicas.begin(), replicas.end(), hasCompleteVoters)) return;
        replica.durable = {};
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
            if (step == steps - FAULT_FREE_STEPS) {  // no faults from here on
                loss = 0;
                nextFault = INT64_MAX;
                faultFree = true;
            }
        }
        if (!violation.empty()) return;
        checkHasLeader();
        checkAcknowledged();
    }
    auto checkHasLeader() -> void {
        auto leaders = 0;
        for (auto& replica : replicas) leaders += replica->voter && replica->voter->leads();
        if (leaders == 1) return;
        leaderless = fmt::format("{} leaders after six fault-free seconds:", leaders);
        for (auto& replica : replicas) leaderless += describe(*replica);
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
                    violation = "acknowledged order lost: " + *key;
        }
    }
};

struct FuzzOptions {
    int firstSeed = 1, seeds = 1, replicas = 3;
    bool contestedElections = false;
    double syncChance = 0.2;
};

struct FuzzResult {
    int unsafe = 0;      // seeds with a violation
    int leaderless = 0;  // seeds without a leader after the fault-free time
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
        result.leaderless += !cluster.leaderless.empty();
        auto& failure = cluster.violation.empty() ? cluster.leaderless : cluster.violation;
        if (failure.empty()) continue;
        if (result.firstFailure.empty()) result.firstFailure = fmt::format("seed {}: {}", seed, failure);
        if (getenv("DT_SHOW")) fmt::print("seed {}: {}\n", seed, failure);
    }
    muteLog(false);
    CHECK(acknowledged > 0 || result.unsafe > 0);
    return result;
}

auto checkNoViolation(const FuzzOptions& options) -> void {
    auto result = fuzz({}, options);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.firstFailure, 0, result.unsafe + result.leaderless);
}

}  // namespace

TEST(Voter, threeVotersUnderRandomFaults) { checkNoViolation({.firstSeed = 1, .seeds = 60}); }
TEST(Voter, fiveVotersUnderRandomFaults) {
    checkNoViolation({.firstSeed = 1000, .seeds = 30, .replicas = 5});
}
TEST(Voter, contestedElectionsUnderRandomFaults) {
    checkNoViolation({.seeds = 60, .contestedElections = true});
}
// Each injected fault must cause a violation. A missing leader doesn't count as one: disks as slow as those
// of `ackBeforeSync` cause it with correct voters too.
TEST(Voter, injectedFaultsAreDetected) {
    struct Variant {
        std::string_view name;
        bool Voter::Broken::*fault;
        FuzzOptions options;
    };
    const auto variants = std::vector<Variant>{
        // With slow disks, more of what was acknowledged is lost with the power.
        {"ackBeforeSync", &Voter::Broken::ackBeforeSync, {.seeds = 100, .syncChance = 0.05}},
        {"voteTwice", &Voter::Broken::voteTwice, {.seeds = 60, .contestedElections = true}},
        {"noQuorum", &Voter::Broken::noQuorum, {.seeds = 20}},
    };
    for (auto& variant : variants) {
        auto broken = Voter::Broken();
        broken.*variant.fault = true;
        // The check that rejects conflicts with committed entries would hide these faults.
        broken.truncateCommitted = true;
        auto unsafe = fuzz(broken, variant.options).unsafe;
        if (getenv("DT_SHOW"))
            fmt::print("{}: {} of {} seeds\n", variant.name, unsafe, variant.options.seeds);
        CPPUNIT_ASSERT_MESSAGE(std::string(variant.name), unsafe > 0);
    }
}

}  // namespace duneturn
