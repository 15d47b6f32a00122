// Replacement of voters: joint configurations, learners, retired disks, and which losses a cluster survives
// during the replacement.
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "consensus/consensus_fixture.hpp"

namespace duneturn {
namespace {

using Disks = std::set<std::string>;

// ---- comparison of procedures by enumeration

/// A phase of a replacement, with the sets of voters of which each needs a majority.
struct Phase {
    std::string name;
    std::vector<Disks> quorums;
};

auto hasQuorums(const Phase& phase, const Disks& alive) -> bool {
    return std::all_of(phase.quorums.begin(), phase.quorums.end(), [&](auto& voters) {
        auto aliveCount =
            std::count_if(voters.begin(), voters.end(), [&](auto& disk) { return alive.count(disk) > 0; });
        return std::size_t(aliveCount) * 2 > voters.size();
    });
}

/// Enumerates all ways to lose `losses` of the disks that are alive. Returns after how many of them the
/// cluster still has its quorums, and how many there are.
auto countSurvivedLosses(const Phase& phase, const Disks& alive, int losses) -> std::pair<int, int> {
    auto list = std::vector<std::string>(alive.begin(), alive.end());
    auto survived = 0, total = 0;
    for (auto bits = 0u; bits < 1u << list.size(); bits++) {
        if (__builtin_popcount(bits) != losses) continue;
        auto left = alive;
        for (auto i = std::size_t(0); i < list.size(); i++)
            if (bits >> i & 1) left.erase(list[i]);
        total++;
        survived += hasQuorums(phase, left);
    }
    return {survived, total};
}

struct Procedure {
    std::string name;
    std::vector<Phase> phases;
};

// The procedures by which the disk `newcomer` can replace `old`.
auto procedures(const Disks& voters, const std::string& old, const std::string& newcomer)
    -> std::vector<Procedure> {
    auto after = voters, both = voters, without = voters;
    after.erase(old);
    after.insert(newcomer);
    both.insert(newcomer);
    without.erase(old);
    auto first = Phase{"before, newcomer is a learner", {voters}}, last = Phase{"after", {after}};
    return {{"add, then remove", {first, {"both vote", {both}}, last}},
        {"remove, then add", {first, {"one fewer", {without}}, last}},
        {"joint", {first, {"joint", {voters, after}}, last}}};
}

auto disksOf(int count) -> Disks {
    auto disks = Disks();
    for (auto i = 0; i < count; i++) disks.insert(std::string(1, char('a' + i)));
    return disks;
}

// ---- replacement by Voter

struct Replacement {
    ConsensusFixture cluster;
    Replacement() { cluster.bootstrap({"a", "b", "c"}); }
    /// Adds disk "d" on the node of the replaced disk and steps until the leader has appended the joint
    /// configuration. Returns the leader.
    auto runUntilJoint(const std::string& replaced) -> std::string {
        auto leader = cluster.leader();
        cluster.add("d");
        cluster.spares = {{"s-" + replaced, "d"}};
        CHECK(cluster.until([&] { return cluster.at(leader).joint(); }, 10 * SECOND));
        return leader;
    }
};

}  // namespace

TEST(ConsensusMembership, jointChangeSurvivesMostLosses) {
    for (auto size : {3, 5})
        for (auto replacedIsDead : {true, false}) {
            auto voters = disksOf(size);
            auto alive = voters;
            alive.insert("new");
            if (replacedIsDead) alive.erase("a");
            auto all = procedures(voters, "a", "new");
            auto& joint = all[2];
            for (auto& procedure : all)
                for (auto i = std::size_t(0); i < procedure.phases.size(); i++)
                    for (auto losses = 1; losses <= 3; losses++) {
                        auto [survived, total] = countSurvivedLosses(procedure.phases[i], alive, losses);
                        if (getenv("DT_SHOW"))
                            fmt::print("{} voters, replaced one {}: {} / {}: {} of {} sets of {}\n", size,
                                replacedIsDead ? "dead" : "alive", procedure.name, procedure.phases[i].name,
                                survived, total, losses);
                        // In no phase does another procedure survive more losses than the joint one.
                        CHECK(countSurvivedLosses(joint.phases[i], alive, losses).first >= survived);
                    }
            // "add, then remove" survives fewer, which shows that the comparison above can fail.
            auto sumOfSurvived = [&](const Procedure& procedure) {
                auto sum = 0;
                for (auto losses = 1; losses <= 3; losses++)
                    sum += countSurvivedLosses(procedure.phases[1], alive, losses).first;
                return sum;
            };
            CHECK(sumOfSurvived(all[0]) < sumOfSurvived(joint));
        }
}

TEST(ConsensusMembership, lostVoterIsReplaced) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = cluster.follower();
    cluster.lose(lost);
    replacement.runUntilJoint(lost);
    CHECK(cluster.at(leader).voters().size() == 3 && cluster.at(leader).outgoingVoters().size() == 3);
    CHECK(cluster.until([&] { return !cluster.at(leader).joint(); }, 2 * SECOND));
    cluster.run(SECOND);
    for (auto& [disk, member] : cluster.members) {
        CHECK_EQ(std::size_t(1), cluster.votersOf(disk).count("d"));
        CHECK_EQ(std::size_t(0), cluster.votersOf(disk).count(lost));
        CHECK_EQ(cluster.at(leader).replicatedState().version, member->voter->replicatedState().version);
        CHECK_EQ(std::size_t(3), member->voter->replicatedState().voters().size());
    }
}

// The new voter is lost during the joint configuration. With single-server changes there would be four
// voters, of which three are needed and two are left, so nothing could be committed any more.
TEST(ConsensusMembership, newVoterLostDuringJointChange) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = cluster.follower();
    cluster.lose(lost);
    replacement.runUntilJoint(lost);
    cluster.lose("d");
    CHECK(cluster.until([&] { return !cluster.at(leader).joint(); }, 2 * SECOND));
    CHECK(cluster.propose(leader, "z"));
    auto index = cluster.at(leader).last();
    CHECK(cluster.until([&] { return cluster.at(leader).commit() >= index; }, SECOND));
    // Another disk can then replace the lost voter.
    cluster.add("e");
    cluster.spares = {{"s-" + lost, "e"}};
    CHECK(cluster.until(
        [&] { return !cluster.at(leader).joint() && cluster.votersOf(leader).count("e"); }, 10 * SECOND));
}

TEST(ConsensusMembership, newLeaderCompletesJointChange) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto replaced = cluster.follower();
    replacement.runUntilJoint(replaced);
    // The others receive the joint configuration, but their replies do not reach the leader.
    for (auto& [disk, member] : cluster.members) cluster.partitioned.insert({disk, leader});
    cluster.run(100 * MILLISECOND);
    cluster.lose(leader);
    cluster.spares.clear();
    for (auto& [disk, member] : cluster.members) CHECK(member->voter->joint());
    CHECK(cluster.until(
        [&] { return !cluster.leader().empty() && !cluster.at(cluster.leader()).joint(); }, 10 * SECOND));
    CHECK_EQ(std::size_t(1), cluster.votersOf(cluster.leader()).count("d"));
}

// Only the voters of the new majority are reachable. If they could commit entries, the old majority could
// elect another leader without these entries.
static auto newMajorityCommits(Voter::Broken broken) -> bool {
    auto cluster = ConsensusFixture();
    cluster.broken = broken;
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader();
    auto replaced = cluster.follower();
    cluster.add("d");
    cluster.spares = {{"s-" + replaced, "d"}};
    CHECK(cluster.until([&] { return cluster.at(leader).joint(); }, 10 * SECOND));
    auto index = cluster.at(leader).last();
    cluster.network.clear();
    for (auto& [disk, member] : cluster.members)
        if (disk != leader && disk != "d") cluster.isolate(disk, true);
    cluster.run(800 * MILLISECOND);
    return cluster.at(leader).commit() >= index;
}

TEST(ConsensusMembership, jointCommitNeedsOutgoingMajority) {
    CHECK(!newMajorityCommits({}));
    auto broken = Voter::Broken();
    broken.newMajorityOnly = true;
    CHECK(newMajorityCommits(broken));
}

// Entries are appended faster than the learner's link can transfer them.
TEST(ConsensusMembership, slowLearnerIsNotPromoted) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = cluster.follower();
    auto proposeFor = [&](Microseconds duration) {
        for (auto end = cluster.now + duration; cluster.now < end;) {
            cluster.at(leader).propose(ENTRY_NOOP, std::string(20'000, 'x'), cluster.now);
            cluster.run(50 * MILLISECOND);
        }
    };
    cluster.lose(lost);
    proposeFor(2 * SECOND);
    cluster.add("d");
    cluster.bitsPerSecond["d"] = 1'000'000;
    cluster.spares = {{"s-" + lost, "d"}};
    while (cluster.counter(leader, "learner_too_slow_total") == 0 && cluster.now < 200 * SECOND) {
        proposeFor(SECOND);
        CHECK_EQ(std::size_t(0), cluster.votersOf(leader).count("d"));
    }
    CHECK(cluster.counter(leader, "learner_too_slow_total") > 0);
    cluster.bitsPerSecond.clear();
    CHECK(cluster.until(
        [&] { return !cluster.at(leader).joint() && cluster.votersOf(leader).count("d"); }, 60 * SECOND));
}

// A store written by a program without joint configurations, which stopped between adding the new disk of a
// node and removing the old one. The present program must complete the replacement.
TEST(ConsensusMembership, singleServerChangeOfEarlierProgramIsCompleted) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader();
    cluster.run(SECOND);
    auto index = cluster.at(leader).last();
    auto entry = wire::Entry();
    entry.term = cluster.at(leader).term();
    entry.index = index + 1;
    entry.kind = ENTRY_VOTERS;
    entry.body = R"([{"seat":"s-a","disk":"a"},{"seat":"s-b","disk":"b"},{"seat":"s-c","disk":"c"},)"
                 R"({"seat":"s-c","disk":"d"}])";
    for (auto& disk : {"a", "b", "c"}) {
        auto& member = *cluster.members.at(disk);
        cluster.stop(disk);
        member.held.commit = std::min(member.held.commit, index);
        member.held.log.push_back(entry);
    }
    cluster.lose("c");
    cluster.add("d");
    for (auto& disk : {"a", "b"}) cluster.members.at(disk)->start();
    CHECK_EQ(std::size_t(4), cluster.at("a").voters().size());
    cluster.members.at("d")->held = cluster.members.at("a")->held;
    cluster.members.at("d")->held.disk = "d";
    cluster.members.at("d")->start();
    auto done = [&] {
        return !cluster.leader().empty()
            && cluster.at(cluster.leader()).replicatedState().voters().size() == 3;
    };
    CHECK(cluster.until(done, 10 * SECOND));
    CHECK(cluster.votersOf(cluster.leader()) == (Disks{"a", "b", "d"}));
}

// A voter without support for joint configurations would misinterpret them, so no change may begin.
TEST(ConsensusMembership, changeWaitsForUpgradeOfAllVoters) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = cluster.follower();
    cluster.lose(lost);
    cluster.drop = [](const std::string&, wire::Envelope& message) {
        message.appendEntriesReply.knowsJoint = false;
        return false;
    };
    cluster.lead(leader);  // a new term, since a leader remembers supported features for its term
    cluster.add("d");
    cluster.spares = {{"s-" + lost, "d"}};
    cluster.run(10 * SECOND);
    CHECK(!cluster.at(cluster.leader()).joint());
    CHECK(cluster.counter(cluster.leader(), "change_waits_for_upgrade_total") > 0);
    cluster.drop = nullptr;
    CHECK(cluster.until([&] { return cluster.votersOf(cluster.leader()).count("d") > 0; }, 10 * SECOND));
}

// A voter without support for compact commands rejects them and all later entries. It must not be sent any,
// and the leader must not log any while such a voter answers.
TEST(ConsensusMembership, compactCommandsWaitForAllVoters) {
    auto cluster = ConsensusFixture();
    cluster.drop = [](const std::string& to, wire::Envelope& message) {
        message.appendEntriesReply.knowsCompact =
            message.appendEntriesReply.knowsCompact && message.disk != "c";
        // The earlier program rejects entries of unknown kinds.
        for (auto& entry : message.appendEntries.entries) CHECK(to != "c" || entry.kind != ENTRY_COMPACT);
        return false;
    };
    cluster.bootstrap({"a", "b", "c"});
    cluster.lead("a");
    CHECK(!cluster.at("a").allVotersReadCompact());
    // One may be logged nevertheless, by a leader that has no answer from c yet. It goes to the other voters
    // only.
    CHECK(cluster.at("a").propose(ENTRY_COMPACT, R"({"key":"x","op":"empty","district":"z"})", cluster.now));
    CHECK(cluster.until([&] { return cluster.at("b").replicatedState().evacuated("z"); }, SECOND));
    CHECK(!cluster.at("c").replicatedState().evacuated("z"));
    cluster.drop = nullptr;  // c is upgraded
    CHECK(cluster.until([&] { return cluster.at("c").replicatedState().evacuated("z"); }, 2 * SECOND));
    CHECK(cluster.at("a").allVotersReadCompact());
}

// The replaced voter c erases its disk, then another disk is lost. Returns whether there is a leader that
// still has the acknowledged order. `early`: c erases its disk because of a change that is not committed yet.
static auto acknowledgedOrderSurvives(bool early, const std::string& victim) -> bool {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    cluster.lead("a");
    cluster.isolate("b", true);  // so that the acknowledged order is on a and c
    cluster.propose("a", "kept");
    CHECK(cluster.until([&] { return cluster.at("a").replicatedState().evacuated("kept"); }, SECOND));
    cluster.add("d");
    cluster.isolate("b", true);
    cluster.spares = {{"s-c", "d"}};
    auto isRemoved = [&] {
        auto voters = early ? cluster.at("a").voters() : cluster.at("a").replicatedState().voters();
        return std::none_of(voters.begin(), voters.end(), [](auto& voter) { return voter.disk == "c"; });
    };
    CHECK(cluster.until(isRemoved, 10 * SECOND));
    auto version =
        early ? cluster.at("c").replicatedState().version + 1000 : cluster.at("a").replicatedState().version;
    // A voter retires only if its log lacks the change.
    cluster.at("c").retire(version, "c2", cluster.now);
    if (early) CHECK(cluster.at("c").blank());
    cluster.spares.clear();
    cluster.partitioned.clear();
    cluster.lose(victim);
    auto kept = [&] {
        return !cluster.leader().empty() && cluster.at(cluster.leader()).replicatedState().evacuated("kept");
    };
    cluster.run(5 * SECOND);
    return cluster.until(kept, 10 * SECOND);
}

TEST(ConsensusMembership, retiredDiskLosesNoAcknowledgedOrder) {
    for (auto victim : {"a", "b", "d"}) CHECK(acknowledgedOrderSurvives(false, victim));
    auto lostOrders = 0;
    for (auto victim : {"a", "b", "d"}) lostOrders += !acknowledgedOrderSurvives(true, victim);
    CHECK(lostOrders > 0);
}

}  // namespace duneturn
