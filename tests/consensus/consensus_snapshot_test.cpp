// Snapshot transfer in chunks, catching up over slow links, and log compaction.
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "base/version.hpp"
#include "consensus/consensus_fixture.hpp"

namespace duneturn {
namespace {

constexpr std::size_t MEGABYTE = 1'000'000;
constexpr std::int64_t SLOW_LINK = 10'000'000;  // bit/s

/// A cluster of three in which one voter was down while more entries were logged than stay in memory behind a
/// snapshot, so that the voter needs a snapshot.
struct LaggingVoter {
    ConsensusFixture cluster;
    std::string leader, lagging;
    std::int64_t chunksBefore = 0;
    explicit LaggingVoter(std::size_t size) {
        cluster.bootstrap({"a", "b", "c"}, std::string(size, 'x'));
        leader = cluster.leader();
        lagging = cluster.follower();
        cluster.stop(lagging);
        for (auto i = 0; i < 700; i++) {
            cluster.propose(leader, fmt::format("z{}", i % 9));
            cluster.step();
        }
        chunksBefore = chunks();
    }
    /// The number of chunks that the leader has sent since the voter stopped.
    auto chunks() -> std::int64_t {
        return cluster.counter(leader, "snapshot_chunks_sent_total") - chunksBefore;
    }
    auto caughtUp() -> bool {
        return cluster.at(lagging).commit() + 2 >= cluster.at(leader).commit()
            && cluster.at(lagging).commit() > 700;
    }
};

}  // namespace

// A restarted voter catches up within 4 s during a load of 5 changes per second, and never leads with a state
// older than an acknowledged one.
TEST(ConsensusSnapshot, catchesUpOnASlowLink) {
    auto scenario = LaggingVoter(MEGABYTE);
    auto& cluster = scenario.cluster;
    for (auto disk : {"a", "b", "c"}) cluster.bitsPerSecond[disk] = SLOW_LINK;
    cluster.members.at(scenario.lagging)->start();
    auto startedAt = cluster.now, caughtUpAt = Microseconds(0), nextChange = cluster.now;
    auto acknowledged = std::int64_t(0);
    auto changes = 0;
    while (cluster.now < startedAt + 6 * SECOND) {
        if (cluster.now >= nextChange) {
            nextChange += 200 * MILLISECOND;
            changes += cluster.propose(scenario.leader, fmt::format("y{}", changes));
        }
        cluster.step();
        acknowledged = std::max(acknowledged, cluster.at(scenario.leader).replicatedState().version);
        if (cluster.at(scenario.lagging).ready())
            CHECK(cluster.at(scenario.lagging).replicatedState().version >= acknowledged);
        if (!caughtUpAt && scenario.caughtUp()) caughtUpAt = cluster.now;
    }
    if (getenv("DT_SHOW")) fmt::print("caught up after {} us, {} changes\n", caughtUpAt - startedAt, changes);
    CHECK(changes >= 25);
    CHECK(cluster.at(scenario.leader).leads());
    CHECK(caughtUpAt > 0 && caughtUpAt - startedAt <= 4 * SECOND);
    CHECK(scenario.caughtUp());
}

TEST(ConsensusSnapshot, slightlyLaggingVoterReceivesEntries) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"}, std::string(MEGABYTE, 'x'));
    auto leader = cluster.leader(), lagging = cluster.follower();
    for (auto i = 0; i < 250; i++) {
        cluster.propose(leader, "z");
        cluster.step();
    }
    cluster.stop(lagging);
    auto chunks = cluster.counter(leader, "snapshot_chunks_sent_total");
    for (auto i = 0; i < 50; i++) {  // the leader takes a snapshot in this time
        cluster.propose(leader, "z");
        cluster.step();
    }
    CHECK(cluster.counter(leader, "snapshots_total") > 0);
    cluster.members.at(lagging)->start();
    cluster.run(2 * SECOND);
    CHECK_EQ(cluster.at(leader).commit(), cluster.at(lagging).commit());
    CHECK_EQ(chunks, cluster.counter(leader, "snapshot_chunks_sent_total"));
}

TEST(ConsensusSnapshot, logIsCompactedBySize) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader();
    for (auto i = 0; i < 40; i++) {
        cluster.at(leader).propose(ENTRY_NOOP, std::string(100'000, 'x'), cluster.now);
        cluster.run(50 * MILLISECOND);
    }
    CHECK(cluster.counter(leader, "snapshots_total") >= 3);
    for (auto& [disk, member] : cluster.members) {
        auto bytes = std::size_t(0);
        for (auto& entry : member->held.log) bytes += entry.body.size();
        CHECK(bytes < 2 * COMPACTION_BYTES);
        CHECK(member->voter->logSize() * 100'000 < 3 * COMPACTION_BYTES);
    }
}

// Messages are limited in size, and no entry is sent again while it is in flight over a slow link.
TEST(ConsensusSnapshot, batchesAreBoundedAndSentOnce) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), lagging = cluster.follower();
    cluster.bitsPerSecond[lagging] = SLOW_LINK;
    cluster.stop(lagging);
    for (auto i = 0; i < 90; i++) {
        cluster.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), cluster.now);
        cluster.step();
    }
    cluster.members.at(lagging)->start();
    cluster.run(2 * SECOND);  // the time that the leader needs to notice the restart
    auto largest = std::int64_t(0), sent = std::int64_t(0);
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != lagging) return false;
        largest = std::max(largest, ConsensusFixture::sizeOf(message));
        sent += std::int64_t(message.appendEntries.entries.size());
        return false;
    };
    for (auto i = 0; i < 60; i++) {
        cluster.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), cluster.now);
        cluster.step();
    }
    CHECK(cluster.until(
        [&] { return cluster.at(lagging).commit() == cluster.at(leader).commit(); }, 3 * SECOND));
    CHECK(largest < std::int64_t(BATCH_BYTES) + 12'000);
    CHECK_EQ(std::int64_t(60), sent);
}

TEST(ConsensusSnapshot, transferResumesAfterLostChunks) {
    auto scenario = LaggingVoter(MEGABYTE);
    auto& cluster = scenario.cluster;
    auto chunks = 0;
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != scenario.lagging || !message.__isset.snapshotChunk) return false;
        chunks++;
        return chunks == 5 || (chunks >= 9 && chunks <= 12);
    };
    cluster.members.at(scenario.lagging)->start();
    CHECK(cluster.until([&] { return scenario.caughtUp(); }, 6 * SECOND));
    CHECK(scenario.chunks() >= 16 && scenario.chunks() <= 16 + 14);  // the document has 16 chunks
}

// A new leader continues the transfer at the offset that the former leader had reached.
TEST(ConsensusSnapshot, transferResumesUnderNewLeader) {
    auto scenario = LaggingVoter(MEGABYTE);
    auto& cluster = scenario.cluster;
    cluster.bitsPerSecond[scenario.lagging] = SLOW_LINK / 4;
    cluster.members.at(scenario.lagging)->start();
    CHECK(cluster.until([&] { return scenario.chunks() >= 8; }, 10 * SECOND));
    CHECK(cluster.at(scenario.leader).transferLeadership(cluster.now));
    auto formerLeader = scenario.leader;
    CHECK(cluster.until(
        [&] { return !cluster.leader().empty() && cluster.leader() != formerLeader; }, 5 * SECOND));
    scenario.leader = cluster.leader();
    scenario.chunksBefore = 0;
    scenario.chunksBefore = scenario.chunks();
    CHECK(cluster.until([&] { return scenario.caughtUp(); }, 10 * SECOND));
    CHECK(scenario.chunks() > 0 && scenario.chunks() <= 16);
}

TEST(ConsensusSnapshot, malformedChunksAreRejectedAndCounted) {
    auto scenario = LaggingVoter(3 * CHUNK_BYTES);
    auto& cluster = scenario.cluster;
    auto chunks = std::vector<wire::Envelope>();
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != scenario.lagging || !message.__isset.snapshotChunk) return false;
        if (message.snapshotChunk.offset == std::int64_t(chunks.size() * CHUNK_BYTES))
            chunks.push_back(message);
        return false;
    };
    cluster.members.at(scenario.lagging)->start();
    CHECK(cluster.until([&] { return scenario.caughtUp(); }, 5 * SECOND));
    cluster.drop = nullptr;
    CHECK(chunks.size() >= 3);
    // Another voter with an uninitialized disk, which has received none of the chunks.
    auto otherCluster = ConsensusFixture();
    auto& member = otherCluster.add("n");
    otherCluster.run(SECOND);
    auto& voter = *member.voter;
    auto isUnchanged = [&] { return voter.blank() && voter.commit() == 0 && member.held.snapshotIndex == 0; };
    auto handle = [&](std::size_t i, const std::function<void(wire::SnapshotChunk&)>& change) {
        auto message = chunks[i];
        change(message.snapshotChunk);
        voter.handle(message, otherCluster.now);
        CHECK(isUnchanged());
    };
    handle(0, [](auto& chunk) { chunk.data.resize(chunk.data.size() / 2); });
    handle(0, [](auto& chunk) { chunk.data[100] ^= 1; });
    handle(0, [](auto& chunk) { chunk.offset = 5; });
    handle(0, [](auto& chunk) { chunk.size = 10; });
    handle(0, [](auto& chunk) { chunk.lastIncludedTerm = chunk.term + 1; });
    CHECK_EQ(std::int64_t(5), member.counters.get("snapshot_chunk_malformed_total"));
    handle(1, [](auto&) {});
    handle(0, [](auto&) {});
    handle(2, [](auto&) {});
    CHECK_EQ(std::int64_t(2), member.counters.get("snapshot_chunk_out_of_order_total"));
    for (auto i = std::size_t(1); i < chunks.size(); i++) voter.handle(chunks[i], otherCluster.now);
    CHECK(!voter.blank());
    otherCluster.run(100 * MILLISECOND);
    CHECK_EQ(chunks[0].snapshotChunk.lastIncludedIndex, member.held.snapshotIndex);
    // A chunk of an earlier term.
    auto chunkOfOldTerm = chunks[0];
    voter.handle(chunkOfOldTerm, otherCluster.now);
    auto chunkOfNewTerm = chunks[0];
    chunkOfNewTerm.snapshotChunk.term += 5;
    voter.handle(chunkOfNewTerm, otherCluster.now);
    voter.handle(chunkOfOldTerm, otherCluster.now);
    CHECK_EQ(std::int64_t(1), member.counters.get("snapshot_chunk_old_term_total"));
}

// A document whose digest differs from the announced one, such as one assembled from chunks of two documents,
// must not be installed.
TEST(ConsensusSnapshot, digestMismatchIsRejected) {
    auto scenario = LaggingVoter(3 * CHUNK_BYTES);
    auto& cluster = scenario.cluster;
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to == scenario.lagging && message.__isset.snapshotChunk) message.snapshotChunk.digest ^= 1;
        if (message.__isset.snapshotChunkReply) message.snapshotChunkReply.digest ^= 1;
        return false;
    };
    auto installed = cluster.counter(scenario.lagging, "snapshots_installed_total");
    cluster.members.at(scenario.lagging)->start();
    cluster.run(3 * SECOND);
    CHECK(cluster.counter(scenario.lagging, "snapshot_digest_wrong_total") > 0);
    CHECK_EQ(installed, cluster.counter(scenario.lagging, "snapshots_installed_total"));
    cluster.drop = nullptr;
    CHECK(cluster.until([&] { return scenario.caughtUp(); }, 10 * SECOND));
}

// A voter without support for chunks receives the complete document in a single InstallSnapshot message. A
// voter with support accepts that message too.
TEST(ConsensusSnapshot, replicaWithoutChunkSupportReceivesOneMessage) {
    auto scenario = LaggingVoter(1000);
    auto& cluster = scenario.cluster;
    cluster.drop = [](const std::string&, wire::Envelope& message) { return message.__isset.snapshotChunk; };
    cluster.members.at(scenario.lagging)->start();
    CHECK(cluster.until([&] { return scenario.caughtUp(); }, 10 * SECOND));
    CHECK(cluster.counter(scenario.leader, "snapshots_sent_whole_total") > 0);
}

TEST(ConsensusSnapshot, malformedDocumentIsRejected) {
    auto cluster = ConsensusFixture();
    auto& member = cluster.add("n");
    cluster.run(SECOND);
    auto message = wire::Envelope();
    auto snapshot = wire::InstallSnapshot();
    message.wire = WIRE;
    message.epoch = 1;
    message.disk = "a";
    snapshot.term = 3;
    snapshot.lastIncludedIndex = 9;
    snapshot.lastIncludedTerm = 2;
    snapshot.document = "{\"reign\":1";
    message.__set_installSnapshot(snapshot);
    member.voter->handle(message, cluster.now);
    CHECK(member.voter->blank());
    CHECK_EQ(std::int64_t(1), member.counters.get("snapshot_malformed_total"));
}

}  // namespace duneturn
