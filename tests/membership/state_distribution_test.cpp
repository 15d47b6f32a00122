// Dissemination of the replicated state between nodes: as the steps since the receiver's version, and as the
// complete state only where these steps have been dropped or do not fit.
#include <algorithm>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "large_configuration.hpp"
#include "membership/change_cost.hpp"
#include "membership/fleet_fixture.hpp"
#include "membership/state_history.hpp"
#include "state/state_digest.hpp"

namespace duneturn {

namespace {

auto step(std::int64_t version, std::size_t bytes = 10) -> wire::StateStep {
    auto made = wire::StateStep();
    made.version = version;
    made.kind = 1;
    made.body = std::string(bytes, 'x');
    return made;
}

/// A fleet in which a configuration of `routes` routes is in force.
struct ConfiguredFleet : Fleet {
    int changes = 0;
    int routes;
    ConfiguredFleet(std::uint64_t seed, int nodes, int routeCount) : Fleet(seed), routes(routeCount) {
        startCluster(3, nodes);
        change(2);
    }
    auto version() -> std::int64_t { return leader()->n->replicatedState().configVersion(); }
    /// Puts a configuration in force on the leader. `tries`: the attempt limit of its last route.
    auto change(int tries) -> void {
        auto base = version();
        auto id = ++ids;
        changes++;
        leader()->n->order(id, "config", fmt::format("change-{}", changes),
            replaceRequest(base, largeConfiguration(routes, tries, changes)), t);
        CHECK(until(3 * SECOND, [&] { return ok(id); }));
        CHECK_EQ(base + 1, version());
    }
    auto sameStateEverywhere() -> bool {
        auto current = leader();
        if (!current) return false;
        auto digest = stateDigest(current->n->replicatedState());
        return std::all_of(nodes.begin(), nodes.end(),
            [&](auto& node) { return !node->up || stateDigest(node->n->replicatedState()) == digest; });
    }
    auto count(const char* counter) -> std::int64_t {
        auto sum = std::int64_t(0);
        for (auto& node : nodes) sum += node->counters.get(counter);
        return sum;
    }
    auto nodeWithoutDisk() -> FleetNode& { return *nodes.back(); }
};

}  // namespace

TEST(StateHistory, returnsTheStepsSinceAVersion) {
    auto history = StateHistory();
    CHECK(!history.since({1, 0}));
    for (auto version = 5; version <= 9; version++) history.record(1, step(version));
    CHECK(!history.since({1, 3}));
    CHECK(!history.since({2, 6}));
    CHECK(!history.since({1, 9}));
    CHECK_EQ(std::size_t(5), history.since({1, 4})->size());
    CHECK_EQ(std::int64_t(8), history.since({1, 7})->front().version);
    history.record(1, step(7));  // already recorded
    CHECK_EQ(std::size_t(5), history.since({1, 4})->size());
    history.record(1, step(11));  // version 10 is missing
    CHECK(!history.since({1, 4}));
    CHECK_EQ(std::size_t(1), history.since({1, 10})->size());
    history.record(2, step(12));  // another epoch
    CHECK(!history.since({1, 10}));
    CHECK_EQ(std::size_t(1), history.since({2, 11})->size());
}

TEST(StateHistory, isBoundedInStepsAndBytes) {
    auto history = StateHistory();
    for (auto version = 1; version <= 3000; version++) history.record(1, step(version));
    CHECK_EQ(StateHistory::MAX_STEPS, history.since({1, 3000 - 1024})->size());
    CHECK(!history.since({1, 3000 - 1025}));
    for (auto version = 3001; version <= 3010; version++)
        history.record(1, step(version, StateHistory::MAX_BYTES / 4));
    CHECK_EQ(std::size_t(4), history.since({1, 3006})->size());
    CHECK(!history.since({1, 3005}));
    history.record(1, step(3011, StateHistory::MAX_BYTES + 1));
    CHECK(!history.since({1, 3010}));
}

// A change of one route of 2,000 is in force on 72 nodes within a second and costs less than 2 kB per node.
TEST(StateDistribution, smallChangeOfALargeConfigurationCostsFewBytes) {
    auto muted = MutedLog();
    auto fleet = ConfiguredFleet(41, 72, 2000);
    fleet.run(3 * SECOND);
    CHECK(fleet.sameStateEverywhere());
    auto fullStatesBefore = fleet.count("whole_states_sent_total");
    auto cost = measureChange(
        fleet, [&] { fleet.change(3); }, [&] { return fleet.sameStateEverywhere(); });
    CHECK(cost.bytesPerNode < 2'000);
    CHECK_EQ(fullStatesBefore, fleet.count("whole_states_sent_total"));
}

// After a partition a node requests the steps since its version, and is not sent the complete state.
TEST(StateDistribution, nodeIsSentTheMissedStepsAfterAPartition) {
    auto muted = MutedLog();
    auto fleet = ConfiguredFleet(42, 12, 200);
    fleet.run(2 * SECOND);
    auto& node = fleet.nodeWithoutDisk();
    fleet.lone(node, true);
    for (auto tries = 3; tries < 9; tries++) fleet.change(tries);
    fleet.run(6 * SECOND);
    auto fullStatesBefore = fleet.count("whole_states_sent_total");
    fleet.lone(node, false);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.sameStateEverywhere(); }));
    CHECK_EQ(fullStatesBefore, fleet.count("whole_states_sent_total"));
    CHECK(node.counters.get("state_changes_taken_total") > 0);
}

// The steps that the node missed have been dropped, so it is sent the complete state, and only once.
TEST(StateDistribution, nodeTooFarBehindIsSentTheCompleteStateOnce) {
    auto muted = MutedLog();
    auto fleet = ConfiguredFleet(43, 12, 200);
    fleet.run(2 * SECOND);
    auto& node = fleet.nodeWithoutDisk();
    fleet.lone(node, true);
    // Random text does not compress, so each change is longer than half of what the history keeps.
    for (auto i = 0; i < 3; i++) {
        auto id = ++fleet.ids;
        auto noise = std::string();
        while (noise.size() < 250'000) noise += fmt::format("{:016x}", fleet.r.next());
        auto configuration =
            fmt::format(R"({{"mappings":[],"origin":{{"number":{},"text":"{}"}}}})", 100 + i, noise);
        fleet.leader()->n->order(id, "config", fmt::format("noise-{}", i),
            replaceRequest(fleet.version(), configuration), fleet.t);
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.ok(id); }));
    }
    fleet.run(3 * SECOND);
    auto changesBefore = node.counters.get("state_changes_taken_total");
    auto fullStatesBefore = fleet.count("whole_states_sent_total");
    fleet.lone(node, false);
    CHECK(fleet.until(5 * SECOND, [&] { return fleet.sameStateEverywhere(); }));
    fleet.run(5 * SECOND);
    CHECK_EQ(changesBefore, node.counters.get("state_changes_taken_total"));
    CHECK(fleet.count("whole_states_sent_total") > fullStatesBefore);
    CHECK(fleet.count("whole_states_sent_total") <= fullStatesBefore + 4);  // one by each node that it asked
    CHECK(fleet.sameStateEverywhere());
}

// If messages with steps are lost, the receiver detects the gap and requests the missing steps.
TEST(StateDistribution, lostStepsAreRequested) {
    auto muted = MutedLog();
    for (auto seed = 50u; seed < 56; seed++) {
        auto fleet = ConfiguredFleet(seed, 12, 100);
        fleet.run(SECOND);
        fleet.lossRate = .3;
        for (auto tries = 3; tries < 9; tries++) {
            auto id = ++fleet.ids;
            if (auto current = fleet.leader())
                current->n->order(id, "config", fmt::format("lossy-{}", tries),
                    replaceRequest(fleet.version(), largeConfiguration(100, tries, 50 + tries)), fleet.t);
            fleet.run(Microseconds(fleet.r.below(600 * MILLISECOND)));
        }
        fleet.lossRate = 0;
        fleet.run(2 * SECOND);
        CHECK(fleet.until(3 * SECOND, [&] { return fleet.sameStateEverywhere(); }));
    }
}

// A node whose state differs from that of the others detects this by the digest and is sent the complete
// state.
TEST(StateDistribution, differentDigestIsRepairedByTheCompleteState) {
    auto muted = MutedLog();
    auto fleet = ConfiguredFleet(44, 12, 50);
    fleet.run(2 * SECOND);
    auto& node = fleet.nodeWithoutDisk();
    // Another state of the same version, in which a zone is evacuated that is not evacuated on the other
    // nodes.
    auto other = node.n->replicatedState();
    CHECK_EQ(200, other.apply(*orderPrepare(other, "empty", "alien", R"({"district":"alien"})", 1)).status);
    other.version--;
    auto envelope = wire::Envelope();
    envelope.wire = 2;
    envelope.node = fleet.leader()->st.node;
    auto whole = wire::ReplicatedState();
    whole.epoch = other.epoch;
    whole.version = other.version;
    whole.document = other.text();
    envelope.__set_replicatedState(whole);
    node.n->broken.acceptOldState = true;
    node.n->handle(envelope, fleet.t);
    node.n->broken.acceptOldState = false;
    CHECK(node.n->replicatedState().evacuated("alien"));
    fleet.change(3);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.sameStateEverywhere(); }));
    CHECK_EQ(std::int64_t(1), node.counters.get("state_change_misfits_total"));
    CHECK(!node.n->replicatedState().evacuated("alien"));
}

// A node of an earlier version does not report that it reads steps, so it is sent uncompressed complete
// documents.
TEST(StateDistribution, earlierVersionsAreSentCompleteDocuments) {
    auto muted = MutedLog();
    auto fleet = ConfiguredFleet(45, 12, 50);
    fleet.run(2 * SECOND);
    auto& node = fleet.nodeWithoutDisk();
    fleet.filter = [&](std::size_t from, const std::string& to, wire::Envelope& envelope) {
        if (from == fleet.indexOf(node)) {
            for (auto& record : envelope.heartbeat.records)
                record.__isset.readsChanges = record.readsChanges = false;
            envelope.replicatedStateRequest.__isset.readsChanges = false;
            envelope.replicatedStateRequest.readsChanges = false;
        }
        if (to != node.st.peer) return;
        CHECK(!envelope.__isset.stateChange);
        CHECK(!envelope.replicatedState.__isset.compressed);
    };
    fleet.stop(node);
    fleet.run(5 * SECOND);
    fleet.restart(node);
    fleet.run(3 * SECOND);
    CHECK(fleet.sameStateEverywhere());
    auto changesBefore = node.counters.get("state_changes_taken_total");
    for (auto tries = 3; tries < 6; tries++) {
        fleet.change(tries);
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.sameStateEverywhere(); }));
    }
    CHECK_EQ(changesBefore, node.counters.get("state_changes_taken_total"));
}

}  // namespace duneturn
