// The replicated state on its way between nodes: as the steps since the receiver's version, and whole only
// where those are not kept or do not fit.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "large_configuration.hpp"
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
    int number = 0;
    int routes;
    ConfiguredFleet(std::uint64_t seed, int nodes, int routeCount) : Fleet(seed), routes(routeCount) {
        startCluster(3, nodes);
        change(2);
    }
    auto version() -> std::int64_t { return leader()->n->replicatedState().configVersion(); }
    /// Puts a configuration in force at the leader, whose last route has so many tries.
    auto change(int tries) -> void {
        auto base = version();
        auto id = ++ids;
        number++;
        leader()->n->order(id, "config", fmt::format("change-{}", number),
            replaceRequest(base, largeConfiguration(routes, tries, number)), t);
        CHECK(until(3 * SECOND, [&] { return ok(id); }));
        CHECK_EQ(base + 1, version());
    }
    auto sameEverywhere() -> bool {
        auto lead = leader();
        if (!lead) return false;
        auto digest = stateDigest(lead->n->replicatedState());
        return std::all_of(nodes.begin(), nodes.end(),
            [&](auto& box) { return !box->up || stateDigest(box->n->replicatedState()) == digest; });
    }
    auto count(const char* counter) -> std::int64_t {
        auto sum = std::int64_t(0);
        for (auto& box : nodes) sum += box->ct.get(counter);
        return sum;
    }
    /// A node without a disk.
    auto plain() -> FleetNode& { return *nodes.back(); }
};

}  // namespace

TEST(StateHistory, givesTheStepsSinceAVersion) {
    auto history = StateHistory();
    CHECK(!history.since({1, 0}));
    for (auto version = 5; version <= 9; version++) history.record(1, step(version));
    CHECK(!history.since({1, 3}));
    CHECK(!history.since({2, 6}));
    CHECK(!history.since({1, 9}));
    CHECK_EQ(std::size_t(5), history.since({1, 4})->size());
    CHECK_EQ(std::int64_t(8), history.since({1, 7})->front().version);
    history.record(1, step(7));  // an old one
    CHECK_EQ(std::size_t(5), history.since({1, 4})->size());
    history.record(1, step(11));  // one is missing
    CHECK(!history.since({1, 4}));
    CHECK_EQ(std::size_t(1), history.since({1, 10})->size());
    history.record(2, step(12));  // another epoch
    CHECK(!history.since({1, 10}));
    CHECK_EQ(std::size_t(1), history.since({2, 11})->size());
}

TEST(StateHistory, isBounded) {
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

// One changed route of 2,000 is in force at 72 nodes within a second, and costs each less than 2 kB.
TEST(StateDistribution, changeOfALargeConfigurationIsShort) {
    auto q = MutedLog();
    auto f = ConfiguredFleet(41, 72, 2000);
    f.run(3 * SECOND);
    CHECK(f.sameEverywhere());
    auto wholeBefore = f.count("whole_states_sent_total");
    f.weigh = true;
    f.run(SECOND);
    auto atRest = f.all;
    f.all = 0;
    auto before = f.t;
    f.change(3);
    CHECK(f.until(SECOND - (f.t - before), [&] { return f.sameEverywhere(); }));
    auto took = f.t - before;
    f.run(SECOND - took);
    auto bytes = (f.all - atRest) / std::int64_t(f.nodes.size());
    if (getenv("DT_SHOW")) fmt::print("{} bytes a node, everywhere after {} us\n", bytes, took);
    CHECK(bytes > 100);  // counted at all
    CHECK(bytes < 2'000);
    CHECK_EQ(wholeBefore, f.count("whole_states_sent_total"));
}

// A node that was cut off asks from its version on, and is sent what it missed.
TEST(StateDistribution, returningNodeIsSentWhatItMissed) {
    auto q = MutedLog();
    auto f = ConfiguredFleet(42, 12, 200);
    f.run(2 * SECOND);
    auto& node = f.plain();
    f.lone(node, true);
    for (auto tries = 3; tries < 9; tries++) f.change(tries);
    f.run(6 * SECOND);
    auto whole = f.count("whole_states_sent_total");
    f.lone(node, false);
    CHECK(f.until(3 * SECOND, [&] { return f.sameEverywhere(); }));
    CHECK_EQ(whole, f.count("whole_states_sent_total"));
    CHECK(node.ct.get("state_changes_taken_total") > 0);
}

// What it missed is not kept any more: the whole state comes, once.
TEST(StateDistribution, tooOldVersionIsSentTheWholeStateOnce) {
    auto q = MutedLog();
    auto f = ConfiguredFleet(43, 12, 200);
    f.run(2 * SECOND);
    auto& node = f.plain();
    f.lone(node, true);
    // Each change is longer than half of what is kept: nothing in it repeats.
    for (auto i = 0; i < 3; i++) {
        auto id = ++f.ids;
        auto noise = std::string();
        while (noise.size() < 250'000) noise += fmt::format("{:016x}", f.r.next());
        auto configuration =
            fmt::format(R"({{"mappings":[],"origin":{{"number":{},"text":"{}"}}}})", 100 + i, noise);
        f.leader()->n->order(
            id, "config", fmt::format("noise-{}", i), replaceRequest(f.version(), configuration), f.t);
        CHECK(f.until(3 * SECOND, [&] { return f.ok(id); }));
    }
    f.run(3 * SECOND);
    auto taken = node.ct.get("state_changes_taken_total");
    auto whole = f.count("whole_states_sent_total");
    f.lone(node, false);
    CHECK(f.until(5 * SECOND, [&] { return f.sameEverywhere(); }));
    f.run(5 * SECOND);
    CHECK_EQ(taken, node.ct.get("state_changes_taken_total"));
    CHECK(f.count("whole_states_sent_total") > whole);
    CHECK(f.count("whole_states_sent_total") <= whole + 4);  // by whom it asked at its return
    CHECK(f.sameEverywhere());
}

// Messages with steps are lost: the gap is seen and closed.
TEST(StateDistribution, lostChangesAreAskedFor) {
    auto q = MutedLog();
    for (auto seed = 50u; seed < 56; seed++) {
        auto f = ConfiguredFleet(seed, 12, 100);
        f.run(SECOND);
        f.loss = .3;
        for (auto tries = 3; tries < 9; tries++) {
            auto id = ++f.ids;
            if (auto lead = f.leader())
                lead->n->order(id, "config", fmt::format("lossy-{}", tries),
                    replaceRequest(f.version(), largeConfiguration(100, tries, 50 + tries)), f.t);
            f.run(Microseconds(f.r.below(600 * MILLISECOND)));
        }
        f.loss = 0;
        f.run(2 * SECOND);
        CHECK(f.until(3 * SECOND, [&] { return f.sameEverywhere(); }));
    }
}

// A node whose state differs from the others' sees it by the digest, and is sent the whole state.
TEST(StateDistribution, differentDigestBringsTheWholeState) {
    auto q = MutedLog();
    auto f = ConfiguredFleet(44, 12, 50);
    f.run(2 * SECOND);
    auto& node = f.plain();
    // Another state of the same version: with a zone evacuated that the others know nothing of.
    auto other = node.n->replicatedState();
    CHECK_EQ(200, other.apply(*orderPrepare(other, "empty", "alien", R"({"district":"alien"})", 1)).status);
    other.version--;
    auto envelope = wire::Envelope();
    envelope.wire = 2;
    envelope.node = f.leader()->st.node;
    auto whole = wire::ReplicatedState();
    whole.epoch = other.epoch;
    whole.version = other.version;
    whole.document = other.text();
    envelope.__set_replicatedState(whole);
    node.n->broken.acceptOldState = true;
    node.n->handle(envelope, f.t);
    node.n->broken.acceptOldState = false;
    CHECK(node.n->replicatedState().evacuated("alien"));
    f.change(3);
    CHECK(f.until(3 * SECOND, [&] { return f.sameEverywhere(); }));
    CHECK_EQ(std::int64_t(1), node.ct.get("state_change_misfits_total"));
    CHECK(!node.n->replicatedState().evacuated("alien"));
}

// A node of a program before this one says nothing of changes: it is sent whole documents.
TEST(StateDistribution, earlierProgramsAreSentDocuments) {
    auto q = MutedLog();
    auto f = ConfiguredFleet(45, 12, 50);
    f.run(2 * SECOND);
    auto& node = f.plain();
    f.filter = [&](std::size_t from, const std::string& to, wire::Envelope& envelope) {
        if (from == f.of(node)) {
            for (auto& record : envelope.heartbeat.records)
                record.__isset.readsChanges = record.readsChanges = false;
            envelope.replicatedStateRequest.__isset.readsChanges = false;
            envelope.replicatedStateRequest.readsChanges = false;
        }
        if (to != node.st.peer) return;
        CHECK(!envelope.__isset.stateChange);
        CHECK(!envelope.replicatedState.__isset.compressed);
    };
    f.stop(node);
    f.run(5 * SECOND);
    f.restart(node);
    f.run(3 * SECOND);
    CHECK(f.sameEverywhere());
    auto taken = node.ct.get("state_changes_taken_total");
    for (auto tries = 3; tries < 6; tries++) {
        f.change(tries);
        CHECK(f.until(2 * SECOND, [&] { return f.sameEverywhere(); }));
    }
    CHECK_EQ(taken, node.ct.get("state_changes_taken_total"));
}

}  // namespace duneturn
