// Snapshots in chunks, catching up on a slow link, and compaction.
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
constexpr std::int64_t SLOW_LINK = 10'000'000;  // bits a second

/// One voter of three is down while more is logged than is kept behind a snapshot.
struct Laggard {
    ConsensusFixture cluster;
    std::string leader, late;
    std::int64_t chunksBefore = 0;
    explicit Laggard(std::size_t size) {
        cluster.bootstrap({"a", "b", "c"}, std::string(size, 'x'));
        leader = cluster.leader();
        late = leader == "c" ? "b" : "c";
        cluster.stop(late);
        for (auto i = 0; i < 700; i++) {
            cluster.propose(leader, fmt::format("z{}", i % 9));
            cluster.step();
        }
        chunksBefore = chunks();
    }
    /// Chunks that the leader sent since the laggard stopped.
    auto chunks() -> std::int64_t {
        return cluster.counter(leader, "snapshot_chunks_sent_total") - chunksBefore;
    }
    auto caughtUp() -> bool {
        return cluster.at(late).commit() + 2 >= cluster.at(leader).commit()
            && cluster.at(late).commit() > 700;
    }
};

}  // namespace

// A restarted voter catches up within 4 s while 5 changes a second go on, and never leads with a
// state older than what was acknowledged.
TEST(ConsensusSnapshot, catchesUpOnASlowLink) {
    auto laggard = Laggard(MEGABYTE);
    auto& cluster = laggard.cluster;
    for (auto disk : {"a", "b", "c"}) cluster.bitsPerSecond[disk] = SLOW_LINK;
    cluster.members.at(laggard.late)->start();
    auto began = cluster.now, caughtAt = Microseconds(0), nextChange = cluster.now;
    auto acknowledged = std::int64_t(0);
    auto changes = 0;
    while (cluster.now < began + 6 * SECOND) {
        if (cluster.now >= nextChange) {
            nextChange += 200 * MILLISECOND;
            changes += cluster.propose(laggard.leader, fmt::format("y{}", changes));
        }
        cluster.step();
        acknowledged = std::max(acknowledged, cluster.at(laggard.leader).replicatedState().version);
        if (cluster.at(laggard.late).ready())
            CHECK(cluster.at(laggard.late).replicatedState().version >= acknowledged);
        if (!caughtAt && laggard.caughtUp()) caughtAt = cluster.now;
    }
    if (getenv("DT_SHOW")) fmt::print("caught up after {} us, {} changes\n", caughtAt - began, changes);
    CHECK(changes >= 25);
    CHECK(cluster.at(laggard.leader).leads());
    CHECK(caughtAt > 0 && caughtAt - began <= 4 * SECOND);
    CHECK(laggard.caughtUp());
}

TEST(ConsensusSnapshot, slightlyBehindGetsEntries) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"}, std::string(MEGABYTE, 'x'));
    auto leader = cluster.leader(), late = std::string(leader == "c" ? "b" : "c");
    for (auto i = 0; i < 250; i++) {
        cluster.propose(leader, "z");
        cluster.step();
    }
    cluster.stop(late);
    auto chunks = cluster.counter(leader, "snapshot_chunks_sent_total");
    for (auto i = 0; i < 50; i++) {  // a snapshot is taken meanwhile
        cluster.propose(leader, "z");
        cluster.step();
    }
    CHECK(cluster.counter(leader, "snapshots_total") > 0);
    cluster.members.at(late)->start();
    cluster.run(2 * SECOND);
    CHECK_EQ(cluster.at(leader).commit(), cluster.at(late).commit());
    CHECK_EQ(chunks, cluster.counter(leader, "snapshot_chunks_sent_total"));
}

TEST(ConsensusSnapshot, logIsCutByBytes) {
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

// No entry is sent again while it is on its way.
TEST(ConsensusSnapshot, batchesAreBounded) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    auto leader = cluster.leader(), late = std::string(leader == "c" ? "b" : "c");
    cluster.bitsPerSecond[late] = SLOW_LINK;
    cluster.stop(late);
    for (auto i = 0; i < 90; i++) {
        cluster.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), cluster.now);
        cluster.step();
    }
    cluster.members.at(late)->start();
    cluster.run(2 * SECOND);  // no more than the leader needs to see that it is back
    auto largest = std::int64_t(0), sent = std::int64_t(0);
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != late) return false;
        largest = std::max(largest, ConsensusFixture::sizeOf(message));
        sent += std::int64_t(message.appendEntries.entries.size());
        return false;
    };
    for (auto i = 0; i < 60; i++) {
        cluster.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), cluster.now);
        cluster.step();
    }
    CHECK(
        cluster.until([&] { return cluster.at(late).commit() == cluster.at(leader).commit(); }, 3 * SECOND));
    CHECK(largest < std::int64_t(BATCH_BYTES) + 12'000);
    CHECK_EQ(std::int64_t(60), sent);
}

TEST(ConsensusSnapshot, resumesAfterALoss) {
    auto laggard = Laggard(MEGABYTE);
    auto& cluster = laggard.cluster;
    auto chunks = 0;
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != laggard.late || !message.__isset.snapshotChunk) return false;
        chunks++;
        return chunks == 5 || (chunks >= 9 && chunks <= 12);
    };
    cluster.members.at(laggard.late)->start();
    CHECK(cluster.until([&] { return laggard.caughtUp(); }, 6 * SECOND));
    CHECK(laggard.chunks() >= 16 && laggard.chunks() <= 16 + 14);  // 16 are the whole
}

// Another leader goes on where the former one stopped.
TEST(ConsensusSnapshot, resumesUnderAnotherLeader) {
    auto laggard = Laggard(MEGABYTE);
    auto& cluster = laggard.cluster;
    cluster.bitsPerSecond[laggard.late] = SLOW_LINK / 4;
    cluster.members.at(laggard.late)->start();
    CHECK(cluster.until([&] { return laggard.chunks() >= 8; }, 10 * SECOND));
    CHECK(cluster.at(laggard.leader).transferLeadership(cluster.now));
    auto former = laggard.leader;
    CHECK(cluster.until([&] { return !cluster.leader().empty() && cluster.leader() != former; }, 5 * SECOND));
    laggard.leader = cluster.leader();
    laggard.chunksBefore = 0;
    laggard.chunksBefore = laggard.chunks();
    CHECK(cluster.until([&] { return laggard.caughtUp(); }, 10 * SECOND));
    CHECK(laggard.chunks() > 0 && laggard.chunks() <= 16);
}

TEST(ConsensusSnapshot, unsoundChunksAreRefusedAndCounted) {
    auto laggard = Laggard(3 * CHUNK_BYTES);
    auto& cluster = laggard.cluster;
    auto chunks = std::vector<wire::Envelope>();
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to != laggard.late || !message.__isset.snapshotChunk) return false;
        if (message.snapshotChunk.offset == std::int64_t(chunks.size() * CHUNK_BYTES))
            chunks.push_back(message);
        return false;
    };
    cluster.members.at(laggard.late)->start();
    CHECK(cluster.until([&] { return laggard.caughtUp(); }, 5 * SECOND));
    cluster.drop = nullptr;
    CHECK(chunks.size() >= 3);
    // A voter that has received none of them, in the same state as the late one was.
    auto other = ConsensusFixture();
    auto& member = other.add("n");
    other.run(SECOND);
    auto& voter = *member.voter;
    auto unharmed = [&] { return voter.blank() && voter.commit() == 0 && member.held.snapshotIndex == 0; };
    auto handle = [&](std::size_t i, const std::function<void(wire::SnapshotChunk&)>& change) {
        auto message = chunks[i];
        change(message.snapshotChunk);
        voter.handle(message, other.now);
        CHECK(unharmed());
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
    for (auto i = std::size_t(1); i < chunks.size(); i++) voter.handle(chunks[i], other.now);
    CHECK(!voter.blank());
    other.run(100 * MILLISECOND);
    CHECK_EQ(chunks[0].snapshotChunk.lastIncludedIndex, member.held.snapshotIndex);
    // Of a term that is over.
    auto old = chunks[0];
    voter.handle(old, other.now);
    auto later = chunks[0];
    later.snapshotChunk.term += 5;
    voter.handle(later, other.now);
    voter.handle(old, other.now);
    CHECK_EQ(std::int64_t(1), member.counters.get("snapshot_chunk_old_term_total"));
}

// Chunks of two documents do not make one.
TEST(ConsensusSnapshot, digestCoversTheWhole) {
    auto laggard = Laggard(3 * CHUNK_BYTES);
    auto& cluster = laggard.cluster;
    cluster.drop = [&](const std::string& to, wire::Envelope& message) {
        if (to == laggard.late && message.__isset.snapshotChunk) message.snapshotChunk.digest ^= 1;
        if (message.__isset.snapshotChunkReply) message.snapshotChunkReply.digest ^= 1;
        return false;
    };
    auto installed = cluster.counter(laggard.late, "snapshots_installed_total");
    cluster.members.at(laggard.late)->start();
    cluster.run(3 * SECOND);
    CHECK(cluster.counter(laggard.late, "snapshot_digest_wrong_total") > 0);
    CHECK_EQ(installed, cluster.counter(laggard.late, "snapshots_installed_total"));
    cluster.drop = nullptr;
    CHECK(cluster.until([&] { return laggard.caughtUp(); }, 10 * SECOND));
}

// A program that reads no chunks is sent the whole document, and one that sends it is understood.
TEST(ConsensusSnapshot, wholeDocumentForAnEarlierProgram) {
    auto laggard = Laggard(1000);
    auto& cluster = laggard.cluster;
    cluster.drop = [](const std::string&, wire::Envelope& message) { return message.__isset.snapshotChunk; };
    cluster.members.at(laggard.late)->start();
    CHECK(cluster.until([&] { return laggard.caughtUp(); }, 10 * SECOND));
    CHECK(cluster.counter(laggard.leader, "snapshots_sent_whole_total") > 0);
}

TEST(ConsensusSnapshot, malformedDocumentHarmsNothing) {
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
