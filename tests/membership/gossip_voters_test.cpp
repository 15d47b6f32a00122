// Gossip membership in virtual time: the voters, the replacement of their disks, and the durability of
// acknowledged orders.
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

// Messages with a higher term depose the leader only if they come from the disk of a voter.
TEST(GossipMembership, termOfANonVoterDoesNotDeposeTheLeader) {
    auto muted = MutedLog();
    auto fleet = Fleet(93);
    fleet.startCluster();
    auto leader = fleet.leader();
    auto otherVoter = std::string();
    for (auto& disk : fleet.voterDisks())
        if (disk != leader->n->ownRecord().disk) otherVoter = disk;
    auto sendHigherTerm = [&](const std::string& disk) {
        auto envelope = wire::Envelope();
        auto reply = wire::AppendEntriesReply();
        reply.term = leader->n->voter()->term() + 5;
        envelope.wire = WIRE;
        envelope.node = "x";
        envelope.disk = disk;
        envelope.epoch = leader->n->voter()->epoch();
        envelope.__set_appendEntriesReply(reply);
        leader->n->handle(envelope, fleet.t);
    };
    sendHigherTerm("disk-of-nobody");
    CHECK(leader->n->voter()->leads());
    sendHigherTerm(otherVoter);
    CHECK(!leader->n->voter()->leads());
}

// A disk may retire only if the state that excludes it is newer than everything its own log could contain.
TEST(GossipMembership, diskRetiresOnlyAfterAStateBeyondItsLog) {
    auto muted = MutedLog();
    struct Port : VoterPort {
        auto sendToReplica(const std::string&, wire::Envelope&) -> void override {}
        auto writeToDisk(const DiskWrite&) -> void override {}
        auto onStateApplied(const ReplicatedState&, const AppliedEntry&) -> void override {}
        auto onReadDone(std::int64_t, bool) -> void override {}
    } port;
    auto counters = Counters();
    auto voter = Voter(port, counters, 1);
    voter.start({}, "a", 0);
    auto state = ReplicatedState();
    state.bootstrap({}, {{"x", "a"}, {"y", "b"}, {"z", "c"}});
    voter.bootstrap(state, 1, 0);
    // Two more entries, of which the voter does not know yet whether they are committed.
    auto envelope = wire::Envelope();
    auto append = wire::AppendEntries();
    append.term = append.prevLogTerm = append.prevLogIndex = append.commit = 1;
    for (auto index : {2, 3}) {
        auto entry = wire::Entry();
        entry.term = 1;
        entry.index = index;
        entry.kind = 1;
        entry.body = "{}";
        append.entries.push_back(entry);
    }
    envelope.disk = "b";
    envelope.epoch = 1;
    envelope.__set_appendEntries(append);
    voter.handle(envelope, 1);
    CHECK_EQ(std::int64_t(3), voter.last());
    CHECK(!voter.retire(3, "new", 2));
    CHECK_EQ(std::string("a"), voter.disk());
    CHECK(voter.retire(4, "new", 2));
    CHECK(voter.blank());
    CHECK_EQ(std::string("new"), voter.disk());
    CHECK(!voter.retire(9, "newer", 3));
}

/// Whether a linearizable read at a node without a disk returns all these evacuated zones.
static auto readContains(Fleet& fleet, const std::vector<std::string>& zones) -> bool {
    auto id = ++fleet.ids;
    fleet.nodes[5]->n->read(id, fleet.t);
    if (!fleet.until(4 * SECOND, [&] { return fleet.ok(id); })) return false;
    auto document = rapidjson::Document();
    CHECK(parseJson(fleet.outcomes[id].body, document));
    for (auto& zone : zones)
        if (!document["empties"].HasMember(zone.c_str())) return false;
    return true;
}

/// Three times, at the moment of an acknowledgement, one core node loses its disk and others may lose their
/// power. Returns whether everything that was acknowledged can be read back and the voter is replaced.
static auto survivesDiskLosses(std::uint64_t seed, Microseconds maxSyncDelay, bool ackBeforeSync) -> bool {
    auto fleet = Fleet(seed);
    fleet.ackBeforeSync = ackBeforeSync;
    fleet.startCluster();
    fleet.maxSyncDelay = maxSyncDelay;
    auto acknowledged = std::vector<std::string>();
    for (auto round = 0; round < 3; round++) {
        auto zone = fmt::format("z{}", round);
        CHECK(fleet.orderUntilAcknowledged(zone, 6 * SECOND));
        acknowledged.push_back(zone);
        // Immediately after the acknowledgement, without letting time pass.
        auto cores =
            std::vector<FleetNode*>{fleet.nodes[0].get(), fleet.nodes[1].get(), fleet.nodes[2].get()};
        auto wiped = fleet.r.below(3);
        for (auto i = 0u; i < 3; i++)
            if (i == wiped || fleet.r.chance(.7)) fleet.stop(*cores[i]);
        fleet.wipeDisk(*cores[wiped]);
        fleet.run(Microseconds(fleet.r.below(800 * MILLISECOND)));
        for (auto core : cores)
            if (!core->up) fleet.restart(*core);
        if (!fleet.until(6 * SECOND, [&] { return fleet.leader() != nullptr; })) return false;
        if (!readContains(fleet, acknowledged)) return false;
        // The node with the wiped disk must be a voter again before the next loss.
        auto replaced = fleet.until(
            8 * SECOND, [&] { return fleet.isVoter(*cores[wiped]) && fleet.voterDisks().size() == 3; });
        if (!replaced) {
            fleet.printCores();
            return false;
        }
    }
    return true;
}

TEST(GossipMembership, acknowledgedOrdersSurviveDiskAndPowerLosses) {
    auto muted = MutedLog();
    for (auto seed = 1u; seed < 16; seed++)
        CHECK(survivesDiskLosses(seed, seed % 2 ? 3 * MILLISECOND : 300 * MILLISECOND, false));
    // The test must detect voters that acknowledge entries before these are on disk.
    auto detected = 0;
    for (auto seed = 1u; seed < 31; seed++) detected += !survivesDiskLosses(seed, 300 * MILLISECOND, true);
    CHECK(detected > 0);
}

// With two of three disks lost at once no node may begin an epoch by itself. The nodes keep serving with the
// configuration that they know, and an operator can order a survivor to begin an epoch.
TEST(GossipMembership, lossOfAMajorityNeedsAnOperator) {
    auto muted = MutedLog();
    auto fleet = Fleet(2);
    fleet.startCluster();
    CHECK(fleet.orderUntilAcknowledged("z", 6 * SECOND));
    for (auto i : {0, 1}) {
        fleet.stop(*fleet.nodes[std::size_t(i)]);
        fleet.wipeDisk(*fleet.nodes[std::size_t(i)]);
    }
    fleet.run(500 * MILLISECOND);
    for (auto i : {0, 1}) fleet.restart(*fleet.nodes[std::size_t(i)]);
    CHECK(!fleet.until(10 * SECOND, [&] { return fleet.leader() != nullptr; }));
    for (auto i = 2u; i < 12; i++) CHECK(fleet.nodes[i]->n->withinLease(fleet.t));
    auto& survivor = *fleet.nodes[2]->n;
    auto& state = survivor.newestKnownState();
    CHECK_EQ(409, survivor.rescue(state.epoch, state.version - 1, fleet.t).status);
    CHECK_EQ(200, survivor.rescue(state.epoch, state.version, fleet.t).status);
    CHECK(fleet.until(8 * SECOND, [&] { return fleet.leader() != nullptr; }));
    CHECK(fleet.leader()->n->replicatedState().evacuated("z"));
}

TEST(GossipMembership, removedCoreIsReplacedByANewOne) {
    auto muted = MutedLog();
    for (auto index = 0u; index < 3; index++) {
        auto fleet = Fleet(20 + index);
        fleet.startCluster();
        CHECK(fleet.orderUntilAcknowledged("a", 4 * SECOND));
        auto& removed = *fleet.nodes[index];
        fleet.stop(removed);
        removed.removed = true;
        fleet.run(fleet.r.below(2) ? 300 * MILLISECOND : 4 * SECOND);
        auto& newNode = fleet.add(removed.st.region, removed.st.zone, true, false);
        fleet.start(newNode);
        CHECK(fleet.until(
            5 * SECOND, [&] { return fleet.isVoter(newNode) && fleet.voterDisks().size() == 3; }));
        CHECK(fleet.orderUntilAcknowledged("b", 4 * SECOND));
        // Afterwards one of the other voters may fail as well.
        fleet.stop(*fleet.nodes[(index + 1) % 3]);
        CHECK(fleet.orderUntilAcknowledged("c", 5 * SECOND));
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.evacuatedEverywhere("c"); }));
    }
}

// The vote of a stopping node passes to a spare disk while the node still runs. Without a spare disk a stop
// need not wait.
TEST(GossipMembership, stoppingVoterIsReplacedBeforeItStops) {
    auto muted = MutedLog();
    for (auto index = 0u; index < 3; index++) {
        auto fleet = Fleet(60 + index);
        fleet.startCluster();
        CHECK(fleet.orderUntilAcknowledged("a", 4 * SECOND));
        auto& leaving = *fleet.nodes[index];
        CHECK(leaving.n->voteHandedOver(fleet.t));
        auto& spare = fleet.add(leaving.st.region, leaving.st.zone, true, false);
        fleet.start(spare);
        fleet.run(2 * SECOND);
        CHECK(!fleet.isVoter(spare));
        CHECK(!leaving.n->voteHandedOver(fleet.t));
        leaving.n->leave(fleet.t);
        CHECK(fleet.until(3 * SECOND, [&] { return leaving.n->voteHandedOver(fleet.t); }));
        CHECK(fleet.isVoter(spare) && fleet.voterDisks().size() == 3);
        fleet.stop(leaving);
        CHECK(fleet.orderUntilAcknowledged("b", 4 * SECOND));
        // The cluster tolerates the failure of one more voter.
        fleet.stop(*fleet.nodes[(index + 1) % 3]);
        CHECK(fleet.orderUntilAcknowledged("c", 5 * SECOND));
    }
}

// A disk that was replaced while its node was partitioned becomes a spare disk when the node returns. It does
// not depose the leader and can replace another voter later.
TEST(GossipMembership, returningReplacedVoterBecomesASpare) {
    auto muted = MutedLog();
    for (auto seed = 30u; seed < 34; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        auto& old = *(fleet.leader() == fleet.nodes[0].get() ? fleet.nodes[1] : fleet.nodes[0]);
        auto replacedDisk = old.n->ownRecord().disk;
        fleet.lone(old, true);
        auto& newNode = fleet.add(old.st.region, old.st.zone, true, false);
        fleet.lone(old, true);
        fleet.start(newNode);
        CHECK(fleet.until(
            6 * SECOND, [&] { return fleet.isVoter(newNode) && fleet.voterDisks().size() == 3; }));
        for (auto i = 0; i < 20; i++) CHECK(fleet.orderUntilAcknowledged(fmt::format("z{}", i), 4 * SECOND));
        auto leader = fleet.leader();
        auto term = leader->n->voter()->term();
        fleet.lone(old, false);
        fleet.run(6 * SECOND);
        CHECK(fleet.leader() == leader);
        CHECK_EQ(term, leader->n->voter()->term());
        CHECK(!fleet.isVoter(old));
        CHECK(old.n->ownRecord().blank);
        CHECK(old.n->ownRecord().disk != replacedDisk);
        CHECK(fleet.evacuatedEverywhere("z19"));
        // When another voter fails, the returned node replaces it.
        fleet.stop(newNode);
        CHECK(fleet.until(6 * SECOND, [&] { return fleet.isVoter(old) && fleet.voterDisks().size() == 3; }));
        CHECK(fleet.orderUntilAcknowledged("after", 4 * SECOND));
    }
}

TEST(GossipMembership, partitionedCoreDoesNotDeposeTheLeader) {
    auto muted = MutedLog();
    for (auto seed = 40u; seed < 46; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        auto leader = fleet.leader();
        auto& isolated = *(leader == fleet.nodes[2].get() ? fleet.nodes[1] : fleet.nodes[2]);
        fleet.lone(isolated, true);
        CHECK(fleet.orderUntilAcknowledged("z", 4 * SECOND));
        fleet.run(5 * SECOND);
        CHECK(isolated.n->withinLease(fleet.t));  // it keeps serving with the configuration that it knows
        CHECK(!isolated.n->replicatedState().evacuated("z"));
        auto term = leader->n->voter()->term();
        fleet.lone(isolated, false);
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.evacuatedEverywhere("z"); }));
        fleet.run(3 * SECOND);
        CHECK(fleet.leader() == leader);
        CHECK_EQ(term, leader->n->voter()->term());
    }
}

// A leader that was suspended must not answer orders or reads before a majority has confirmed it again: its
// state lacks the orders that its successor has acknowledged meanwhile.
TEST(GossipMembership, suspendedLeaderConfirmsItsLeadershipFirst) {
    auto muted = MutedLog();
    for (auto seed = 100u; seed < 106; seed++) {
        auto fleet = Fleet(seed);
        fleet.startCluster();
        auto suspended = fleet.leader();
        suspended->frozen = fleet.t + 3 * SECOND;
        CHECK(fleet.orderUntilAcknowledged("z", 3 * SECOND));
        fleet.run(suspended->frozen - fleet.t + 2 * MILLISECOND);
        auto orderId = fleet.order(*suspended, "y");
        auto readId = ++fleet.ids;
        suspended->n->read(readId, fleet.t);
        fleet.until(4 * SECOND, [&] { return fleet.ok(orderId) && fleet.ok(readId); });
        CHECK(fleet.ok(orderId));
        CHECK(fleet.ok(readId));
        auto document = rapidjson::Document();
        CHECK(parseJson(fleet.outcomes[readId].body, document));
        CHECK(document["empties"].HasMember("z"));
        CHECK(fleet.until(
            2 * SECOND, [&] { return fleet.evacuatedEverywhere("z") && fleet.evacuatedEverywhere("y"); }));
    }
}

namespace {

/// Random faults that a fleet must tolerate, one after another. Checks that acknowledged orders stay in force
/// and that the fleet serves again after each fault.
class FaultRun {
  public:
    /// The first `coreCount` nodes have a disk. Three or five of these vote; one beyond that is a spare.
    FaultRun(unsigned seed, int coreCount)
        : fleet_(seed), seed_(seed), coreCount_(coreCount), voterCount_(coreCount > 4 ? 5u : 3u) {}

    /// Returns what went wrong; empty if nothing did.
    auto run() -> std::string {
        fleet_.startCluster(coreCount_);
        for (auto i = 0; i < coreCount_; i++) cores_.push_back(fleet_.nodes[std::size_t(i)].get());
        for (auto round = 0; round < 12; round++)
            if (auto problem = runRound(round); !problem.empty()) return roundName(round) + problem;
        return acknowledged_.empty() ? "nothing was acknowledged" : "";
    }

  private:
    enum class FaultKind {
        AllLosePower,
        DiskLost,
        CoreReplaced,
        Suspended,
        Partitioned,
        CoreRestarted,
        EdgeRestarted
    };
    static constexpr auto FAULT_KINDS = 7;

    auto roundName(int round) const -> std::string {
        return fmt::format("seed {}, {} cores, round {}: ", seed_, coreCount_, round);
    }

    auto runRound(int round) -> std::string {
        auto& random = fleet_.r;
        auto zone = fmt::format("z{}", round);
        if (fleet_.orderUntilAcknowledged(zone, Microseconds(random.below(3 * SECOND))))
            acknowledged_.push_back(zone);
        auto coreIndex = random.below(cores_.size());
        auto& edge = *fleet_.nodes[std::size_t(coreCount_) + random.below(std::uint64_t(12 - coreCount_))];
        auto kind = FaultKind(random.below(FAULT_KINDS));
        auto duration = Microseconds(random.below(random.chance(.5) ? 2 * SECOND : 7 * SECOND));
        if (getenv("DT_SHOW"))
            fmt::print("{} {} fault {} of {}, {} us\n", fleet_.t, roundName(round), int(kind),
                cores_[coreIndex]->st.node, duration);
        cause(kind, coreIndex, edge, duration, round);
        // One loss at a time: the next one follows only when all voters are replaced.
        if (!fleet_.until(20 * SECOND, [&] { return allVotersAreUp(); })) {
            fleet_.printCores();
            return "the voters were not replaced";
        }
        fleet_.run(3 * SECOND);
        return problemAtRest();
    }

    auto cause(FaultKind kind, std::size_t coreIndex, FleetNode& edge, Microseconds duration, int round)
        -> void {
        auto& core = *cores_[coreIndex];
        switch (kind) {
        case FaultKind::AllLosePower:
            for (auto& node : fleet_.nodes)
                if (node->up) restartAfter(*node, 0);
            return;
        case FaultKind::DiskLost:
            fleet_.stop(core);
            fleet_.wipeDisk(core);
            fleet_.run(duration);
            return fleet_.restartWithNewSeeds(core);
        case FaultKind::CoreReplaced: return replaceCore(coreIndex, duration);
        case FaultKind::Suspended: core.frozen = fleet_.t + duration; return;
        case FaultKind::Partitioned:
            fleet_.lone(core, true);
            fleet_.order(core, fmt::format("lone{}", round));  // may or may not take effect
            fleet_.run(duration);
            return fleet_.lone(core, false);
        case FaultKind::CoreRestarted: return restartAfter(core, duration);
        case FaultKind::EdgeRestarted: return restartAfter(edge, duration);
        }
    }

    auto restartAfter(FleetNode& node, Microseconds duration) -> void {
        fleet_.stop(node);
        fleet_.run(duration);
        fleet_.restartWithNewSeeds(node);
    }

    auto replaceCore(std::size_t coreIndex, Microseconds duration) -> void {
        auto& removed = *cores_[coreIndex];
        fleet_.stop(removed);
        removed.removed = true;
        fleet_.run(duration);
        fleet_.updateSeeds();
        auto& newNode = fleet_.add(removed.st.region, removed.st.zone, true, false);
        fleet_.start(newNode);
        cores_[coreIndex] = &newNode;
    }

    auto allVotersAreUp() -> bool {
        if (!fleet_.leader() || fleet_.voterDisks().size() != voterCount_) return false;
        auto votersUp = 0u;
        for (auto core : cores_) votersUp += core->up && core->frozen <= fleet_.t && fleet_.isVoter(*core);
        return votersUp == voterCount_;
    }

    auto problemAtRest() -> std::string {
        if (!fleet_.leader()) return "no leader";
        for (auto& node : fleet_.nodes)
            if (node->up && !node->n->withinLease(fleet_.t)) return node->st.node + " has no configuration";
        for (auto& zone : acknowledged_)
            if (!fleet_.leader()->n->replicatedState().evacuated(zone) || !fleet_.evacuatedEverywhere(zone))
                return zone + " is not in force everywhere";
        return "";
    }

    Fleet fleet_;
    unsigned seed_;
    int coreCount_;
    std::size_t voterCount_;
    std::vector<FleetNode*> cores_;
    std::vector<std::string> acknowledged_;
};

}  // namespace

TEST(GossipMembership, acknowledgedOrdersSurviveRandomFaults) {
    auto muted = MutedLog();
    auto seeds = getenv("DT_SEEDS") ? unsigned(atoi(getenv("DT_SEEDS"))) : 8u;
    for (auto seed = 200u; seed < 200 + seeds; seed++)
        for (auto cores : {3, 4, 6}) CHECK_EQ(std::string(), FaultRun(seed, cores).run());
}

}  // namespace duneturn
