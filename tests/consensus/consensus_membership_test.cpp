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

auto available(const Moment& m, const Disks& alive) -> bool {
    return std::all_of(m.quorums.begin(), m.quorums.end(), [&](auto& voters) {
        auto n = std::count_if(voters.begin(), voters.end(), [&](auto& d) { return alive.count(d) > 0; });
        return std::size_t(n) * 2 > voters.size();
    });
}

/// Of how many sets of `losses` among the living a quorum is left, and of how many sets there are.
auto borne(const Moment& m, const Disks& alive, int losses) -> std::pair<int, int> {
    auto list = std::vector<std::string>(alive.begin(), alive.end());
    auto ok = 0, all = 0;
    for (auto bits = 0u; bits < 1u << list.size(); bits++) {
        if (__builtin_popcount(bits) != losses) continue;
        auto left = alive;
        for (auto i = std::size_t(0); i < list.size(); i++)
            if (bits >> i & 1) left.erase(list[i]);
        all++;
        ok += available(m, left);
    }
    return {ok, all};
}

struct Procedure {
    std::string name;
    std::vector<Moment> moments;
};

// The seat of `old` passes to `fresh`.
auto procedures(const Disks& voters, const std::string& old, const std::string& fresh)
    -> std::vector<Procedure> {
    auto after = voters, both = voters, without = voters;
    after.erase(old);
    after.insert(fresh);
    both.insert(fresh);
    without.erase(old);
    auto first = Moment{"before, the newcomer learns", {voters}}, last = Moment{"after", {after}};
    return {{"add, then remove", {first, {"both vote", {both}}, last}},
        {"remove, then add", {first, {"one fewer", {without}}, last}},
        {"joint", {first, {"joint", {voters, after}}, last}}};
}

auto disksOf(int n) -> Disks {
    auto out = Disks();
    for (auto i = 0; i < n; i++) out.insert(std::string(1, char('a' + i)));
    return out;
}

// ---- the voter itself

struct Replacement {
    ConsensusFixture f;
    Replacement() { f.bootstrap({"a", "b", "c"}); }
    // Steps to the moment at which the leader has appended the joint configuration.
    auto toJoint(const std::string& seat) -> std::string {
        auto leader = f.leader();
        f.add("d");
        f.spares = {{"s-" + seat, "d"}};
        CHECK(f.until([&] { return f.at(leader).joint(); }, 10 * SECOND));
        return leader;
    }
};

}  // namespace

TEST(ConsensusMembership, lossesBorneByEachProcedure) {
    for (auto n : {3, 5})
        for (auto dead : {true, false}) {
            auto voters = disksOf(n);
            auto alive = voters;
            alive.insert("new");
            if (dead) alive.erase("a");
            auto all = procedures(voters, "a", "new");
            auto& joint = all[2];
            for (auto& p : all)
                for (auto i = std::size_t(0); i < p.moments.size(); i++)
                    for (auto losses = 1; losses <= 3; losses++) {
                        auto [ok, sum] = borne(p.moments[i], alive, losses);
                        if (getenv("DT_SHOW"))
                            fmt::print("{} voters, replaced one {}: {} / {}: {} of {} sets of {}\n", n,
                                dead ? "dead" : "alive", p.name, p.moments[i].name, ok, sum, losses);
                        // At no moment does another procedure bear more than the joint one.
                        CHECK(borne(joint.moments[i], alive, losses).first >= ok);
                    }
            // Adding first bears fewer: this comparison is able to fail.
            auto sum = [&](const Procedure& p) {
                auto total = 0;
                for (auto losses = 1; losses <= 3; losses++)
                    total += borne(p.moments[1], alive, losses).first;
                return total;
            };
            CHECK(sum(all[0]) < sum(joint));
        }
}

TEST(ConsensusMembership, replacesALostVoter) {
    auto r = Replacement();
    auto leader = r.f.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    r.f.lose(lost);
    r.toJoint(lost);
    CHECK(r.f.at(leader).voters().size() == 3 && r.f.at(leader).outgoingVoters().size() == 3);
    CHECK(r.f.until([&] { return !r.f.at(leader).joint(); }, 2 * SECOND));
    r.f.run(SECOND);
    for (auto& [d, m] : r.f.members) {
        CHECK_EQ(std::size_t(1), r.f.votersOf(d).count("d"));
        CHECK_EQ(std::size_t(0), r.f.votersOf(d).count(lost));
        CHECK_EQ(r.f.at(leader).replicatedState().version, m->voter->replicatedState().version);
        CHECK_EQ(std::size_t(3), m->voter->replicatedState().voters().size());
    }
}

// With four voters of which three are needed nothing would be committed again.
TEST(ConsensusMembership, newcomerLostWhileJoint) {
    auto r = Replacement();
    auto leader = r.f.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    r.f.lose(lost);
    r.toJoint(lost);
    r.f.lose("d");
    CHECK(r.f.until([&] { return !r.f.at(leader).joint(); }, 2 * SECOND));
    CHECK(r.f.propose(leader, "z"));
    auto index = r.f.at(leader).last();
    CHECK(r.f.until([&] { return r.f.at(leader).commit() >= index; }, SECOND));
    // And the next newcomer takes the seat.
    r.f.add("e");
    r.f.spares = {{"s-" + lost, "e"}};
    CHECK(r.f.until([&] { return !r.f.at(leader).joint() && r.f.votersOf(leader).count("e"); }, 10 * SECOND));
}

TEST(ConsensusMembership, nextLeaderEndsAJointChange) {
    auto r = Replacement();
    auto& f = r.f;
    auto leader = f.leader();
    auto seat = leader == "c" ? std::string("b") : std::string("c");
    r.toJoint(seat);
    // The others get the joint configuration, the leader hears no answer.
    for (auto& [d, m] : f.members) f.cut.insert({d, leader});
    f.run(100 * MILLISECOND);
    f.lose(leader);
    f.spares.clear();
    for (auto& [d, m] : f.members) CHECK(m->voter->joint());
    CHECK(f.until([&] { return !f.leader().empty() && !f.at(f.leader()).joint(); }, 10 * SECOND));
    CHECK_EQ(std::size_t(1), f.votersOf(f.leader()).count("d"));
}

// Of a joint configuration the new majority alone commits nothing: the old one may elect another.
static auto newMajorityCommits(Voter::Broken broken) -> bool {
    auto f = ConsensusFixture();
    f.broken = broken;
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader();
    auto seat = leader == "c" ? std::string("b") : std::string("c");
    f.add("d");
    f.spares = {{"s-" + seat, "d"}};
    CHECK(f.until([&] { return f.at(leader).joint(); }, 10 * SECOND));
    auto index = f.at(leader).last();
    f.network.clear();
    for (auto& [d, m] : f.members)
        if (d != leader && d != "d") f.isolate(d, true);
    f.run(800 * MILLISECOND);
    return f.at(leader).commit() >= index;
}

TEST(ConsensusMembership, oldMajorityIsNeededToo) {
    CHECK(!newMajorityCommits({}));
    auto broken = Voter::Broken();
    broken.newMajorityOnly = true;
    CHECK(newMajorityCommits(broken));
}

// Entries come faster than the learner's link carries them.
TEST(ConsensusMembership, slowLearnerDoesNotVote) {
    auto r = Replacement();
    auto& f = r.f;
    auto leader = f.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    auto storm = [&](Microseconds duration) {
        for (auto end = f.now + duration; f.now < end;) {
            f.at(leader).propose(ENTRY_NOOP, std::string(20'000, 'x'), f.now);
            f.run(50 * MILLISECOND);
        }
    };
    f.lose(lost);
    storm(2 * SECOND);
    f.add("d");
    f.bitsPerSecond["d"] = 1'000'000;
    f.spares = {{"s-" + lost, "d"}};
    while (f.counter(leader, "learner_too_slow_total") == 0 && f.now < 200 * SECOND) {
        storm(SECOND);
        CHECK_EQ(std::size_t(0), f.votersOf(leader).count("d"));
    }
    CHECK(f.counter(leader, "learner_too_slow_total") > 0);
    f.bitsPerSecond.clear();
    CHECK(f.until([&] { return !f.at(leader).joint() && f.votersOf(leader).count("d"); }, 60 * SECOND));
}

// A store of the format before joint configurations, in the middle of "add, then remove".
TEST(ConsensusMembership, formerVotersEntryIsRead) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader();
    f.run(SECOND);
    auto index = f.at(leader).last();
    auto e = wire::Entry();
    e.term = f.at(leader).term();
    e.index = index + 1;
    e.kind = ENTRY_VOTERS;
    e.body = R"([{"seat":"s-a","disk":"a"},{"seat":"s-b","disk":"b"},{"seat":"s-c","disk":"c"},)"
             R"({"seat":"s-c","disk":"d"}])";
    for (auto& d : {"a", "b", "c"}) {
        auto& m = *f.members.at(d);
        f.stop(d);
        m.held.commit = std::min(m.held.commit, index);
        m.held.log.push_back(e);
    }
    f.lose("c");
    f.add("d");
    for (auto& d : {"a", "b"}) f.members.at(d)->start();
    CHECK_EQ(std::size_t(4), f.at("a").voters().size());
    f.members.at("d")->held = f.members.at("a")->held;
    f.members.at("d")->held.disk = "d";
    f.members.at("d")->start();
    auto done = [&] {
        return !f.leader().empty() && f.at(f.leader()).replicatedState().voters().size() == 3;
    };
    CHECK(f.until(done, 10 * SECOND));
    CHECK(f.votersOf(f.leader()) == (Disks{"a", "b", "d"}));
}

// A program that reads no joint configurations is not told one.
TEST(ConsensusMembership, waitsForMembersOfAnEarlierProgram) {
    auto r = Replacement();
    auto& f = r.f;
    auto leader = f.leader();
    auto lost = leader == "c" ? std::string("b") : std::string("c");
    f.lose(lost);
    f.drop = [](const std::string&, wire::Envelope& e) {
        e.appendEntriesReply.knowsJoint = false;
        return false;
    };
    f.lead(leader);  // a leader remembers what it heard in its own term only
    f.add("d");
    f.spares = {{"s-" + lost, "d"}};
    f.run(10 * SECOND);
    CHECK(!f.at(f.leader()).joint());
    CHECK(f.counter(f.leader(), "change_waits_for_upgrade_total") > 0);
    f.drop = nullptr;
    CHECK(f.until([&] { return f.votersOf(f.leader()).count("d") > 0; }, 10 * SECOND));
}

// The replaced voter gives its content up, then another disk is lost: whatever was acknowledged
// must be there, and somebody must lead. `early`: by hearsay of a change that is not committed.
static auto survivesRetiring(bool early, const std::string& victim) -> bool {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    f.lead("a");
    f.isolate("b", true);  // so that the acknowledged order is on a and c
    f.propose("a", "kept");
    CHECK(f.until([&] { return f.at("a").replicatedState().evacuated("kept"); }, SECOND));
    f.add("d");
    f.isolate("b", true);
    f.spares = {{"s-c", "d"}};
    auto named = [&] {
        auto voters = early ? f.at("a").voters() : f.at("a").replicatedState().voters();
        return std::none_of(voters.begin(), voters.end(), [](auto& v) { return v.disk == "c"; });
    };
    CHECK(f.until(named, 10 * SECOND));
    auto version = early ? f.at("c").replicatedState().version + 1000 : f.at("a").replicatedState().version;
    // One whose log holds the change itself knows of it; only one that is behind retires.
    f.at("c").retire(version, "c2", f.now);
    if (early) CHECK(f.at("c").blank());
    f.spares.clear();
    f.cut.clear();
    f.lose(victim);
    auto kept = [&] { return !f.leader().empty() && f.at(f.leader()).replicatedState().evacuated("kept"); };
    f.run(5 * SECOND);
    return f.until(kept, 10 * SECOND);
}

TEST(ConsensusMembership, retiringLosesNothing) {
    for (auto victim : {"a", "b", "d"}) CHECK(survivesRetiring(false, victim));
    auto lost = 0;
    for (auto victim : {"a", "b", "d"}) lost += !survivesRetiring(true, victim);
    CHECK(lost > 0);
}

}  // namespace duneturn
