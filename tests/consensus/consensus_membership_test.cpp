// Replacing a voter: joint configurations, learners, retiring, and what may be lost meanwhile.
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

// ---- by enumeration

/// A moment of a replacement: the sets of voters of which each needs a majority.
struct Moment {
    std::string name;
    std::vector<Disks> quorums;
};

auto available(const Moment& moment, const Disks& alive) -> bool {
    return std::all_of(moment.quorums.begin(), moment.quorums.end(), [&](auto& voters) {
        auto living =
            std::count_if(voters.begin(), voters.end(), [&](auto& disk) { return alive.count(disk) > 0; });
        return std::size_t(living) * 2 > voters.size();
    });
}

/// Of how many sets of `losses` among the living a quorum is left, and of how many sets there are.
auto borne(const Moment& moment, const Disks& alive, int losses) -> std::pair<int, int> {
    auto list = std::vector<std::string>(alive.begin(), alive.end());
    auto ok = 0, all = 0;
    for (auto bits = 0u; bits < 1u << list.size(); bits++) {
        if (__builtin_popcount(bits) != losses) continue;
        auto left = alive;
        for (auto i = std::size_t(0); i < list.size(); i++)
            if (bits >> i & 1) left.erase(list[i]);
        all++;
        ok += available(moment, left);
    }
    return {ok, all};
}

struct Procedure {
    std::string name;
    std::vector<Moment> moments;
};

// The disk `newcomer` takes the place of `old`.
auto procedures(const Disks& voters, const std::string& old, const std::string& newcomer)
    -> std::vector<Procedure> {
    auto after = voters, both = voters, without = voters;
    after.erase(old);
    after.insert(newcomer);
    both.insert(newcomer);
    without.erase(old);
    auto first = Moment{"before, the newcomer learns", {voters}}, last = Moment{"after", {after}};
    return {{"add, then remove", {first, {"both vote", {both}}, last}},
        {"remove, then add", {first, {"one fewer", {without}}, last}},
        {"joint", {first, {"joint", {voters, after}}, last}}};
}

auto disksOf(int count) -> Disks {
    auto out = Disks();
    for (auto i = 0; i < count; i++) out.insert(std::string(1, char('a' + i)));
    return out;
}

// ---- the voter itself

struct Replacement {
    ConsensusFixture cluster;
    Replacement() { cluster.bootstrap({"a", "b", "c"}); }
    // Steps to the moment at which the leader has appended the joint configuration.
    auto toJoint(const std::string& replaced) -> std::string {
        auto leader = cluster.leader();
        cluster.add("d");
        cluster.spares = {{"s-" + replaced, "d"}};
        CHECK(cluster.until([&] { return cluster.at(leader).joint(); }, 10 * SECOND));
        return leader;
    }
};

}  // namespace

TEST(ConsensusMembership, lossesBorneByEachProcedure) {
    for (auto size : {3, 5})
        for (auto dead : {true, false}) {
            auto voters = disksOf(size);
            auto alive = voters;
            alive.insert("new");
            if (dead) alive.erase("a");
            auto all = procedures(voters, "a", "new");
            auto& joint = all[2];
            for (auto& procedure : all)
                for (auto i = std::size_t(0); i < procedure.moments.size(); i++)
                    for (auto losses = 1; losses <= 3; losses++) {
                        auto [ok, sum] = borne(procedure.moments[i], alive, losses);
                        if (getenv("DT_SHOW"))
                            fmt::print("{} voters, replaced one {}: {} / {}: {} of {} sets of {}\n", size,
                                dead ? "dead" : "alive", procedure.name, procedure.moments[i].name, ok, sum,
                                losses);
                        // At no moment does another procedure bear more than the joint one.
                        CHECK(borne(joint.moments[i], alive, losses).first >= ok);
                    }
            // Adding first bears fewer: this comparison is able to fail.
            auto sum = [&](const Procedure& procedure) {
                auto total = 0;
                for (auto losses = 1; losses <= 3; losses++)
                    total += borne(procedure.moments[1], alive, losses).first;
                return total;
            };
            CHECK(sum(all[0]) < sum(joint));
        }
}

TEST(ConsensusMembership, replacesALostVoter) {
    auto replacement = Replacement();
    auto leader = replacement.cluster.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    replacement.cluster.lose(lost);
    replacement.toJoint(lost);
    CHECK(replacement.cluster.at(leader).voters().size() == 3
        && replacement.cluster.at(leader).outgoingVoters().size() == 3);
    CHECK(replacement.cluster.until([&] { return !replacement.cluster.at(leader).joint(); }, 2 * SECOND));
    replacement.cluster.run(SECOND);
    for (auto& [disk, member] : replacement.cluster.members) {
        CHECK_EQ(std::size_t(1), replacement.cluster.votersOf(disk).count("d"));
        CHECK_EQ(std::size_t(0), replacement.cluster.votersOf(disk).count(lost));
        CHECK_EQ(replacement.cluster.at(leader).replicatedState().version,
            member->voter->replicatedState().version);
        CHECK_EQ(std::size_t(3), member->voter->replicatedState().voters().size());
    }
}

// With four voters of which three are needed nothing would be committed again.
TEST(ConsensusMembership, newcomerLostWhileJoint) {
    auto replacement = Replacement();
    auto leader = replacement.cluster.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    replacement.cluster.lose(lost);
    replacement.toJoint(lost);
    replacement.cluster.lose("d");
    CHECK(replacement.cluster.until([&] { return !replacement.cluster.at(leader).joint(); }, 2 * SECOND));
    CHECK(replacement.cluster.propose(leader, "z"));
    auto index = replacement.cluster.at(leader).last();
    CHECK(
        replacement.cluster.until([&] { return replacement.cluster.at(leader).commit() >= index; }, SECOND));
    // And the next newcomer takes the place.
    replacement.cluster.add("e");
    replacement.cluster.spares = {{"s-" + lost, "e"}};
    CHECK(replacement.cluster.until(
        [&] {
            return !replacement.cluster.at(leader).joint() && replacement.cluster.votersOf(leader).count("e");
        },
        10 * SECOND));
}

TEST(ConsensusMembership, nextLeaderEndsAJointChange) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto replaced = leader == "c" ? std::string("b") : std::string("c");
    replacement.toJoint(replaced);
    // The others get the joint configuration, no answer reaches the leader.
    for (auto& [disk, member] : cluster.members) cluster.cut.insert({disk, leader});
    cluster.run(100 * MILLISECOND);
    cluster.lose(leader);
    cluster.spares.clear();
    for (auto& [disk, member] : cluster.members) CHECK(member->voter->joint());
    CHECK(cluster.until(
        [&] { return !cluster.leader().empty() && !cluster.at(cluster.leader()).joint(); }, 10 * SECOND));
    CHECK_EQ(std::size_t(1), cluster.votersOf(cluster.leader()).count("d"));
}

// Of a joint configuration the new majority alone commits nothing: the old one may elect another.
static auto newMajorityCommits(Voter::Broken broken) -> bool {
    auto cluster = ConsensusFixture();
    cluster.broken = broken;
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader();
    auto replaced = leader == "c" ? std::string("b") : std::string("c");
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

TEST(ConsensusMembership, oldMajorityIsNeededToo) {
    CHECK(!newMajorityCommits({}));
    auto broken = Voter::Broken();
    broken.newMajorityOnly = true;
    CHECK(newMajorityCommits(broken));
}

// Entries come faster than the learner's link carries them.
TEST(ConsensusMembership, slowLearnerDoesNotVote) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    auto storm = [&](Microseconds duration) {
        for (auto end = cluster.now + duration; cluster.now < end;) {
            cluster.at(leader).propose(ENTRY_NOOP, std::string(20'000, 'x'), cluster.now);
            cluster.run(50 * MILLISECOND);
        }
    };
    cluster.lose(lost);
    storm(2 * SECOND);
    cluster.add("d");
    cluster.bitsPerSecond["d"] = 1'000'000;
    cluster.spares = {{"s-" + lost, "d"}};
    while (cluster.counter(leader, "learner_too_slow_total") == 0 && cluster.now < 200 * SECOND) {
        storm(SECOND);
        CHECK_EQ(std::size_t(0), cluster.votersOf(leader).count("d"));
    }
    CHECK(cluster.counter(leader, "learner_too_slow_total") > 0);
    cluster.bitsPerSecond.clear();
    CHECK(cluster.until(
        [&] { return !cluster.at(leader).joint() && cluster.votersOf(leader).count("d"); }, 60 * SECOND));
}

// A store of the format before joint configurations, in the middle of "add, then remove".
TEST(ConsensusMembership, formerVotersEntryIsRead) {
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

// A program that reads no joint configurations is sent none.
TEST(ConsensusMembership, waitsForMembersOfAnEarlierProgram) {
    auto replacement = Replacement();
    auto& cluster = replacement.cluster;
    auto leader = cluster.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    cluster.lose(lost);
    cluster.drop = [](const std::string&, wire::Envelope& message) {
        message.appendEntriesReply.knowsJoint = false;
        return false;
    };
    cluster.lead(leader);  // a leader remembers what was answered in its own term only
    cluster.add("d");
    cluster.spares = {{"s-" + lost, "d"}};
    cluster.run(10 * SECOND);
    CHECK(!cluster.at(cluster.leader()).joint());
    CHECK(cluster.counter(cluster.leader(), "change_waits_for_upgrade_total") > 0);
    cluster.drop = nullptr;
    CHECK(cluster.until([&] { return cluster.votersOf(cluster.leader()).count("d") > 0; }, 10 * SECOND));
}

// A program that reads no compact commands is sent none, and the leader logs none while one such answers.
TEST(ConsensusMembership, compactCommandsWaitForAllVoters) {
    auto cluster = ConsensusFixture();
    cluster.drop = [](const std::string& to, wire::Envelope& message) {
        message.appendEntriesReply.knowsCompact =
            message.appendEntriesReply.knowsCompact && message.disk != "c";
        // The earlier program refuses an entry of a kind that it does not know.
        for (auto& entry : message.appendEntries.entries) CHECK(to != "c" || entry.kind != ENTRY_COMPACT);
        return false;
    };
    cluster.bootstrap({"a", "b", "c"});
    cluster.lead("a");
    CHECK(!cluster.at("a").allReadCompact());
    // One that was logged all the same, by a leader that had not heard of it, goes to the others only.
    CHECK(cluster.at("a").propose(ENTRY_COMPACT, R"({"key":"x","op":"empty","district":"z"})", cluster.now));
    CHECK(cluster.until([&] { return cluster.at("b").replicatedState().evacuated("z"); }, SECOND));
    CHECK(!cluster.at("c").replicatedState().evacuated("z"));
    cluster.drop = nullptr;  // it is upgraded
    CHECK(cluster.until([&] { return cluster.at("c").replicatedState().evacuated("z"); }, 2 * SECOND));
    CHECK(cluster.at("a").allReadCompact());
}

// The replaced voter gives its content up, then another disk is lost: whatever was acknowledged
// must be there, and somebody must lead. `early`: by a change that is not committed.
static auto survivesRetiring(bool early, const std::string& victim) -> bool {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    cluster.lead("a");
    cluster.isolate("b", true);  // so that the acknowledged order is on a and c
    cluster.propose("a", "kept");
    CHECK(cluster.until([&] { return cluster.at("a").replicatedState().evacuated("kept"); }, SECOND));
    cluster.add("d");
    cluster.isolate("b", true);
    cluster.spares = {{"s-c", "d"}};
    auto named = [&] {
        auto voters = early ? cluster.at("a").voters() : cluster.at("a").replicatedState().voters();
        return std::none_of(voters.begin(), voters.end(), [](auto& voter) { return voter.disk == "c"; });
    };
    CHECK(cluster.until(named, 10 * SECOND));
    auto version =
        early ? cluster.at("c").replicatedState().version + 1000 : cluster.at("a").replicatedState().version;
    // One whose log holds the change itself knows of it; only one that is behind retires.
    cluster.at("c").retire(version, "c2", cluster.now);
    if (early) CHECK(cluster.at("c").blank());
    cluster.spares.clear();
    cluster.cut.clear();
    cluster.lose(victim);
    auto kept = [&] {
        return !cluster.leader().empty() && cluster.at(cluster.leader()).replicatedState().evacuated("kept");
    };
    cluster.run(5 * SECOND);
    return cluster.until(kept, 10 * SECOND);
}

TEST(ConsensusMembership, retiringLosesNothing) {
    for (auto victim : {"a", "b", "d"}) CHECK(survivesRetiring(false, victim));
    auto lost = 0;
    for (auto victim : {"a", "b", "d"}) lost += !survivesRetiring(true, victim);
    CHECK(lost > 0);
}

}  // namespace duneturn
