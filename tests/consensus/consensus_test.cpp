// What a voter refuses, and what it says only once its disk holds it.
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

auto appendFrom(ConsensusFixture& f, const std::string& leader) -> wire::Envelope {
    auto e = wire::Envelope();
    auto ask = wire::AppendEntries();
    e.wire = WIRE;
    e.disk = leader;
    e.epoch = f.at(leader).epoch();
    ask.term = f.at(leader).term();
    ask.commit = f.at(leader).commit();
    e.__set_appendEntries(ask);
    return e;
}

auto entry(std::int64_t term, std::int64_t index, int kind = ENTRY_NOOP) -> wire::Entry {
    auto e = wire::Entry();
    e.term = term;
    e.index = index;
    e.kind = kind;
    return e;
}

auto other(ConsensusFixture& f, const std::string& not1, const std::string& not2 = "") -> std::string {
    for (auto& [d, m] : f.members)
        if (d != not1 && d != not2) return d;
    return "";
}

// An entry of another term at a committed index.
auto contradict(Voter::Broken broken) -> std::pair<std::int64_t, std::int64_t> {
    auto f = ConsensusFixture();
    f.broken = broken;
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader);
    for (auto i = 0; i < 5; i++) f.propose(leader, "z");
    f.run(SECOND);
    auto& v = f.at(follower);
    auto before = v.last();
    CHECK_EQ(before, v.commit());
    auto e = appendFrom(f, leader);
    e.appendEntries.term++;
    e.appendEntries.prevLogIndex = before - 3;
    e.appendEntries.prevLogTerm = v.term();
    e.appendEntries.entries = {entry(v.term() + 1, before - 2)};
    v.handle(e, f.now);
    return {before - v.last(), f.counter(follower, "append_contradicts_committed_total")};
}

}  // namespace

TEST(Consensus, committedEntriesStay) {
    CHECK(contradict({}) == std::pair(std::int64_t(0), std::int64_t(1)));
    auto broken = Voter::Broken();
    broken.truncateCommitted = true;
    CHECK(contradict(broken).first > 0);
}

TEST(Consensus, malformedAppendsAreRefused) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader);
    auto& v = f.at(follower);
    auto last = v.last(), term = v.term();
    auto handle = [&](std::int64_t prev, std::vector<wire::Entry> entries) {
        auto e = appendFrom(f, leader);
        e.appendEntries.prevLogIndex = prev;
        e.appendEntries.prevLogTerm = term;
        e.appendEntries.entries = std::move(entries);
        v.handle(e, f.now);
    };
    handle(last, {entry(term, last + 2)});                         // a gap
    handle(last, {entry(term, last + 1), entry(term, last + 1)});  // an index twice
    handle(last, {entry(term + 1, last + 1)});                     // of a term to come
    handle(last, {entry(term - 1, last + 1)});                     // falling terms
    handle(last, {entry(term, last + 1, 77)});                     // of an unknown kind
    handle(last, {entry(term, last + 1, ENTRY_JOINT)});            // without its voters
    handle(-1, {});
    CHECK_EQ(std::int64_t(7), f.counter(follower, "append_malformed_total"));
    CHECK_EQ(last, v.last());
    handle(last, {entry(term, last + 1)});
    CHECK_EQ(last + 1, v.last());
}

TEST(Consensus, secondLeaderOfATermIsRefused) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader), third = other(f, leader, follower);
    auto e = appendFrom(f, leader);
    e.disk = third;
    e.appendEntries.prevLogIndex = f.at(follower).last();
    e.appendEntries.prevLogTerm = f.at(follower).term();
    f.at(follower).handle(e, f.now);
    CHECK_EQ(std::int64_t(1), f.counter(follower, "append_second_leader_total"));
    CHECK_EQ(leader, f.at(follower).leader());
}

TEST(Consensus, repliesOfStrangersAndBeyondTheLogAreRefused) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader);
    auto e = wire::Envelope();
    auto reply = wire::AppendEntriesReply();
    e.wire = WIRE;
    e.epoch = f.at(leader).epoch();
    e.disk = "stranger";
    reply.term = f.at(leader).term();
    reply.ok = true;
    reply.match = f.at(leader).last();
    e.__set_appendEntriesReply(reply);
    f.at(leader).handle(e, f.now);
    CHECK_EQ(std::int64_t(1), f.counter(leader, "reply_of_stranger_total"));
    e.disk = follower;
    e.appendEntriesReply.match = f.at(leader).last() + 1;
    f.at(leader).handle(e, f.now);
    CHECK_EQ(std::int64_t(1), f.counter(leader, "reply_beyond_log_total"));
}

TEST(Consensus, takeOverComesFromTheLeaderOnly) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader), third = other(f, leader, follower);
    auto e = wire::Envelope();
    auto timeoutNow = wire::TimeoutNow();
    e.wire = WIRE;
    e.epoch = f.at(leader).epoch();
    e.disk = third;
    timeoutNow.term = f.at(leader).term();
    e.__set_timeoutNow(timeoutNow);
    f.at(follower).handle(e, f.now);
    CHECK(f.at(follower).role() == Voter::Role::Follower);
    CHECK_EQ(std::int64_t(1), f.counter(follower, "transfer_refused_total"));
}

// An append of a new term whose write fails: that term must be on disk before one is answered.
static auto answersWithUnsavedTerm(Voter::Broken broken) -> bool {
    auto f = ConsensusFixture();
    f.broken = broken;
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), follower = other(f, leader);
    f.isolate(follower, true);
    auto& m = *f.members.at(follower);
    f.step();
    auto e = appendFrom(f, leader);
    e.appendEntries.term = m.voter->term() + 1;
    e.appendEntries.prevLogIndex = m.voter->last();
    e.appendEntries.prevLogTerm = m.held.log.empty() ? m.held.snapshotTerm : m.held.log.back().term;
    m.failNextWrite = true;
    m.voter->handle(e, f.now);
    m.sync();
    CHECK(m.voter->diskBad());
    m.diskHangs = true;
    f.record = true;
    m.sent.clear();
    m.voter->handle(e, f.now + 10 * MILLISECOND);
    CHECK(m.held.term < e.appendEntries.term);
    return std::any_of(
        m.sent.begin(), m.sent.end(), [](auto& s) { return s.second.__isset.appendEntriesReply; });
}

TEST(Consensus, termIsSavedBeforeAnAnswer) {
    CHECK(!answersWithUnsavedTerm({}));
    auto broken = Voter::Broken();
    broken.ackUnsavedTerm = true;
    CHECK(answersWithUnsavedTerm(broken));
}

TEST(Consensus, ownVoteCountsOnceItIsSaved) {
    auto f = ConsensusFixture();
    f.bootstrap({"a"});
    CHECK(f.at("a").leads());
    f.stop("a");
    f.members.at("a")->start();
    f.members.at("a")->diskHangs = true;
    f.run(900 * MILLISECOND);  // a write that takes longer makes the disk bad
    CHECK(!f.at("a").leads());
    f.members.at("a")->diskHangs = false;
    CHECK(f.until([&] { return f.at("a").ready(); }, 3 * SECOND));
}

TEST(Consensus, failedSnapshotIsWrittenAgain) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), late = other(f, leader);
    f.stop(late);
    for (auto i = 0; i < 600; i++) {
        f.propose(leader, fmt::format("z{}", i % 7));
        f.step();
    }
    auto& m = *f.members.at(late);
    m.start();
    f.step();
    m.diskHangs = true;
    auto installed = f.counter(late, "snapshots_installed_total");
    CHECK(f.until([&] { return f.counter(late, "snapshots_installed_total") > installed; }, 5 * SECOND));
    // The write of the snapshot is under way.
    CHECK(std::any_of(m.pending.begin(), m.pending.end(), [](auto& w) { return w.hasSnapshot; }));
    m.failNextWrite = true;
    m.diskHangs = false;
    m.sync();
    CHECK(m.voter->diskBad());
    f.run(5 * SECOND);
    CHECK(!m.voter->diskBad());
    CHECK_EQ(f.at(leader).commit(), m.voter->commit());
    auto again = ConsensusFixture();
    again.members["x"] = std::make_unique<ConsensusFixture::Member>(again, "x");
    again.members.at("x")->held = m.held;
    again.members.at("x")->start();
    CHECK_EQ(f.at(leader).replicatedState().version, again.at("x").replicatedState().version);
}

TEST(Consensus, readNeedsAMajorityAfterTheQuestion) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader();
    f.isolate(leader, true);
    f.network.clear();
    f.at(leader).read(7, f.now);
    f.run(800 * MILLISECOND);
    CHECK(f.members.at(leader)->reads.empty());
    f.run(3 * SECOND);
    CHECK(!f.members.at(leader)->reads.at(7));
    f.cut.clear();
    f.run(3 * SECOND);
    f.at(f.leader()).read(8, f.now);
    f.run(SECOND);
    CHECK(f.members.at(f.leader())->reads.at(8));
}

}  // namespace duneturn
