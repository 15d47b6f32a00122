// What a voter rejects, and what it answers only once its disk holds it.
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "base/version.hpp"
#include "consensus/consensus_fixture.hpp"

namespace duneturn {
namespace {

auto appendFrom(ConsensusFixture& cluster, const std::string& leader) -> wire::Envelope {
    auto message = wire::Envelope();
    auto request = wire::AppendEntries();
    message.wire = WIRE;
    message.disk = leader;
    message.epoch = cluster.at(leader).epoch();
    request.term = cluster.at(leader).term();
    request.commit = cluster.at(leader).commit();
    message.__set_appendEntries(request);
    return message;
}

auto entry(std::int64_t term, std::int64_t index, int kind = ENTRY_NOOP) -> wire::Entry {
    auto made = wire::Entry();
    made.term = term;
    made.index = index;
    made.kind = kind;
    return made;
}

auto other(ConsensusFixture& cluster, const std::string& excluded, const std::string& alsoExcluded = "")
    -> std::string {
    for (auto& [disk, member] : cluster.members)
        if (disk != excluded && disk != alsoExcluded) return disk;
    return "";
}

// An entry of another term at a committed index.
auto contradict(Voter::Broken broken) -> std::pair<std::int64_t, std::int64_t> {
    auto cluster = ConsensusFixture();
    cluster.broken = broken;
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader);
    for (auto i = 0; i < 5; i++) cluster.propose(leader, "z");
    cluster.run(SECOND);
    auto& voter = cluster.at(follower);
    auto before = voter.last();
    CHECK_EQ(before, voter.commit());
    auto message = appendFrom(cluster, leader);
    message.appendEntries.term++;
    message.appendEntries.prevLogIndex = before - 3;
    message.appendEntries.prevLogTerm = voter.term();
    message.appendEntries.entries = {entry(voter.term() + 1, before - 2)};
    voter.handle(message, cluster.now);
    return {before - voter.last(), cluster.counter(follower, "append_contradicts_committed_total")};
}

}  // namespace

TEST(Consensus, committedEntriesStay) {
    CHECK(contradict({}) == std::pair(std::int64_t(0), std::int64_t(1)));
    auto broken = Voter::Broken();
    broken.truncateCommitted = true;
    CHECK(contradict(broken).first > 0);
}

TEST(Consensus, malformedAppendsAreRefused) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader);
    auto& voter = cluster.at(follower);
    auto last = voter.last(), term = voter.term();
    auto handle = [&](std::int64_t prev, std::vector<wire::Entry> entries) {
        auto message = appendFrom(cluster, leader);
        message.appendEntries.prevLogIndex = prev;
        message.appendEntries.prevLogTerm = term;
        message.appendEntries.entries = std::move(entries);
        voter.handle(message, cluster.now);
    };
    handle(last, {entry(term, last + 2)});                         // a gap
    handle(last, {entry(term, last + 1), entry(term, last + 1)});  // an index twice
    handle(last, {entry(term + 1, last + 1)});                     // of a term to come
    handle(last, {entry(term - 1, last + 1)});                     // falling terms
    handle(last, {entry(term, last + 1, 77)});                     // of an unknown kind
    handle(last, {entry(term, last + 1, ENTRY_JOINT)});            // without its voters
    handle(-1, {});
    CHECK_EQ(std::int64_t(7), cluster.counter(follower, "append_malformed_total"));
    CHECK_EQ(last, voter.last());
    handle(last, {entry(term, last + 1)});
    CHECK_EQ(last + 1, voter.last());
}

TEST(Consensus, secondLeaderOfATermIsRefused) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader),
         third = other(cluster, leader, follower);
    auto message = appendFrom(cluster, leader);
    message.disk = third;
    message.appendEntries.prevLogIndex = cluster.at(follower).last();
    message.appendEntries.prevLogTerm = cluster.at(follower).term();
    cluster.at(follower).handle(message, cluster.now);
    CHECK_EQ(std::int64_t(1), cluster.counter(follower, "append_second_leader_total"));
    CHECK_EQ(leader, cluster.at(follower).leader());
}

TEST(Consensus, repliesOfStrangersAndBeyondTheLogAreRefused) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader);
    auto message = wire::Envelope();
    auto reply = wire::AppendEntriesReply();
    message.wire = WIRE;
    message.epoch = cluster.at(leader).epoch();
    message.disk = "stranger";
    reply.term = cluster.at(leader).term();
    reply.ok = true;
    reply.match = cluster.at(leader).last();
    message.__set_appendEntriesReply(reply);
    cluster.at(leader).handle(message, cluster.now);
    CHECK_EQ(std::int64_t(1), cluster.counter(leader, "reply_of_stranger_total"));
    message.disk = follower;
    message.appendEntriesReply.match = cluster.at(leader).last() + 1;
    cluster.at(leader).handle(message, cluster.now);
    CHECK_EQ(std::int64_t(1), cluster.counter(leader, "reply_beyond_log_total"));
}

TEST(Consensus, takeOverComesFromTheLeaderOnly) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader),
         third = other(cluster, leader, follower);
    auto message = wire::Envelope();
    auto timeoutNow = wire::TimeoutNow();
    message.wire = WIRE;
    message.epoch = cluster.at(leader).epoch();
    message.disk = third;
    timeoutNow.term = cluster.at(leader).term();
    message.__set_timeoutNow(timeoutNow);
    cluster.at(follower).handle(message, cluster.now);
    CHECK(cluster.at(follower).role() == Voter::Role::Follower);
    CHECK_EQ(std::int64_t(1), cluster.counter(follower, "transfer_refused_total"));
}

// An append of a new term whose write fails: that term must be on disk before one is answered.
static auto answersWithUnsavedTerm(Voter::Broken broken) -> bool {
    auto cluster = ConsensusFixture();
    cluster.broken = broken;
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), follower = other(cluster, leader);
    cluster.isolate(follower, true);
    auto& member = *cluster.members.at(follower);
    cluster.step();
    auto message = appendFrom(cluster, leader);
    message.appendEntries.term = member.voter->term() + 1;
    message.appendEntries.prevLogIndex = member.voter->last();
    message.appendEntries.prevLogTerm =
        member.held.log.empty() ? member.held.snapshotTerm : member.held.log.back().term;
    member.failNextWrite = true;
    member.voter->handle(message, cluster.now);
    member.sync();
    CHECK(member.voter->isDiskFaulty());
    member.diskHangs = true;
    cluster.record = true;
    member.sent.clear();
    member.voter->handle(message, cluster.now + 10 * MILLISECOND);
    CHECK(member.held.term < message.appendEntries.term);
    return std::any_of(member.sent.begin(), member.sent.end(),
        [](auto& sent) { return sent.second.__isset.appendEntriesReply; });
}

TEST(Consensus, termIsSavedBeforeAnAnswer) {
    CHECK(!answersWithUnsavedTerm({}));
    auto broken = Voter::Broken();
    broken.ackUnsavedTerm = true;
    CHECK(answersWithUnsavedTerm(broken));
}

TEST(Consensus, ownVoteCountsOnceItIsSaved) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a"});
    CHECK(cluster.at("a").leads());
    cluster.stop("a");
    cluster.members.at("a")->start();
    cluster.members.at("a")->diskHangs = true;
    cluster.run(900 * MILLISECOND);  // a write that takes longer makes the disk bad
    CHECK(!cluster.at("a").leads());
    cluster.members.at("a")->diskHangs = false;
    CHECK(cluster.until([&] { return cluster.at("a").ready(); }, 3 * SECOND));
}

TEST(Consensus, failedSnapshotIsWrittenAgain) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), late = other(cluster, leader);
    cluster.stop(late);
    for (auto i = 0; i < 600; i++) {
        cluster.propose(leader, fmt::format("z{}", i % 7));
        cluster.step();
    }
    auto& member = *cluster.members.at(late);
    member.start();
    cluster.step();
    member.diskHangs = true;
    auto installed = cluster.counter(late, "snapshots_installed_total");
    CHECK(cluster.until(
        [&] { return cluster.counter(late, "snapshots_installed_total") > installed; }, 5 * SECOND));
    // The write of the snapshot is under way.
    CHECK(std::any_of(
        member.pending.begin(), member.pending.end(), [](auto& write) { return write.hasSnapshot; }));
    member.failNextWrite = true;
    member.diskHangs = false;
    member.sync();
    CHECK(member.voter->isDiskFaulty());
    cluster.run(5 * SECOND);
    CHECK(!member.voter->isDiskFaulty());
    CHECK_EQ(cluster.at(leader).commit(), member.voter->commit());
    auto again = ConsensusFixture();
    again.members["x"] = std::make_unique<ConsensusFixture::Member>(again, "x");
    again.members.at("x")->held = member.held;
    again.members.at("x")->start();
    CHECK_EQ(cluster.at(leader).replicatedState().version, again.at("x").replicatedState().version);
}

TEST(Consensus, readNeedsAMajorityAfterTheQuestion) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader();
    cluster.isolate(leader, true);
    cluster.network.clear();
    cluster.at(leader).read(7, cluster.now);
    cluster.run(800 * MILLISECOND);
    CHECK(cluster.members.at(leader)->reads.empty());
    cluster.run(3 * SECOND);
    CHECK(!cluster.members.at(leader)->reads.at(7));
    cluster.cut.clear();
    cluster.run(3 * SECOND);
    cluster.at(cluster.leader()).read(8, cluster.now);
    cluster.run(SECOND);
    CHECK(cluster.members.at(cluster.leader())->reads.at(8));
}

}  // namespace duneturn
