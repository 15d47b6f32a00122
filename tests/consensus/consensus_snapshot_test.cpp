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
    ConsensusFixture f;
    std::string leader, late;
    std::int64_t chunksBefore = 0;
    explicit Laggard(std::size_t size) {
        f.bootstrap({"a", "b", "c"}, std::string(size, 'x'));
        leader = f.leader();
        late = leader == "c" ? "b" : "c";
        f.stop(late);
        for (auto i = 0; i < 700; i++) {
            f.propose(leader, fmt::format("z{}", i % 9));
            f.step();
        }
        chunksBefore = chunks();
    }
    /// Chunks that the leader sent since it was founded.
    auto chunks() -> std::int64_t { return f.counter(leader, "snapshot_chunks_sent_total") - chunksBefore; }
    auto caughtUp() -> bool {
        return f.at(late).commit() + 2 >= f.at(leader).commit() && f.at(late).commit() > 700;
    }
};

}  // namespace

// A restarted voter catches up within 4 s while 5 changes a second go on, and never leads with a
// state older than what was acknowledged.
TEST(ConsensusSnapshot, catchesUpOnASlowLink) {
    auto l = Laggard(MEGABYTE);
    auto& f = l.f;
    for (auto d : {"a", "b", "c"}) f.bitsPerSecond[d] = SLOW_LINK;
    f.members.at(l.late)->start();
    auto began = f.now, caughtAt = Microseconds(0), nextChange = f.now;
    auto acknowledged = std::int64_t(0);
    auto changes = 0;
    while (f.now < began + 6 * SECOND) {
        if (f.now >= nextChange) {
            nextChange += 200 * MILLISECOND;
            changes += f.propose(l.leader, fmt::format("y{}", changes));
        }
        f.step();
        acknowledged = std::max(acknowledged, f.at(l.leader).replicatedState().version);
        if (f.at(l.late).ready()) CHECK(f.at(l.late).replicatedState().version >= acknowledged);
        if (!caughtAt && l.caughtUp()) caughtAt = f.now;
    }
    if (getenv("DT_SHOW")) fmt::print("caught up after {} us, {} changes\n", caughtAt - began, changes);
    CHECK(changes >= 25);
    CHECK(f.at(l.leader).leads());
    CHECK(caughtAt > 0 && caughtAt - began <= 4 * SECOND);
    CHECK(l.caughtUp());
}

TEST(ConsensusSnapshot, slightlyBehindGetsEntries) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"}, std::string(MEGABYTE, 'x'));
    auto leader = f.leader(), late = std::string(leader == "c" ? "b" : "c");
    for (auto i = 0; i < 250; i++) {
        f.propose(leader, "z");
        f.step();
    }
    f.stop(late);
    auto chunks = f.counter(leader, "snapshot_chunks_sent_total");
    for (auto i = 0; i < 50; i++) {  // a snapshot is taken meanwhile
        f.propose(leader, "z");
        f.step();
    }
    CHECK(f.counter(leader, "snapshots_total") > 0);
    f.members.at(late)->start();
    f.run(2 * SECOND);
    CHECK_EQ(f.at(leader).commit(), f.at(late).commit());
    CHECK_EQ(chunks, f.counter(leader, "snapshot_chunks_sent_total"));
}

TEST(ConsensusSnapshot, logIsCutByBytes) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader();
    for (auto i = 0; i < 40; i++) {
        f.at(leader).propose(ENTRY_NOOP, std::string(100'000, 'x'), f.now);
        f.run(50 * MILLISECOND);
    }
    CHECK(f.counter(leader, "snapshots_total") >= 3);
    for (auto& [d, m] : f.members) {
        auto bytes = std::size_t(0);
        for (auto& e : m->held.log) bytes += e.body.size();
        CHECK(bytes < 2 * COMPACTION_BYTES);
        CHECK(m->voter->logSize() * 100'000 < 3 * COMPACTION_BYTES);
    }
}

// No entry is sent again while it is on its way.
TEST(ConsensusSnapshot, batchesAreBounded) {
    auto f = ConsensusFixture();
    f.bootstrap({"a", "b", "c"});
    auto leader = f.leader(), late = std::string(leader == "c" ? "b" : "c");
    f.bitsPerSecond[late] = SLOW_LINK;
    f.stop(late);
    for (auto i = 0; i < 90; i++) {
        f.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), f.now);
        f.step();
    }
    f.members.at(late)->start();
    f.run(2 * SECOND);  // no more than the leader needs to see that it is back
    auto largest = std::int64_t(0), sent = std::int64_t(0);
    f.drop = [&](const std::string& to, wire::Envelope& e) {
        if (to != late) return false;
        largest = std::max(largest, ConsensusFixture::sizeOf(e));
        sent += std::int64_t(e.appendEntries.entries.size());
        return false;
    };
    for (auto i = 0; i < 60; i++) {
        f.at(leader).propose(ENTRY_NOOP, std::string(10'000, 'x'), f.now);
        f.step();
    }
    CHECK(f.until([&] { return f.at(late).commit() == f.at(leader).commit(); }, 3 * SECOND));
    CHECK(largest < std::int64_t(BATCH_BYTES) + 12'000);
    CHECK_EQ(std::int64_t(60), sent);
}

TEST(ConsensusSnapshot, resumesAfterALoss) {
    auto l = Laggard(MEGABYTE);
    auto& f = l.f;
    auto chunks = 0;
    f.drop = [&](const std::string& to, wire::Envelope& e) {
        if (to != l.late || !e.__isset.snapshotChunk) return false;
        chunks++;
        return chunks == 5 || (chunks >= 9 && chunks <= 12);
    };
    f.members.at(l.late)->start();
    CHECK(f.until([&] { return l.caughtUp(); }, 6 * SECOND));
    CHECK(l.chunks() >= 16 && l.chunks() <= 16 + 14);  // 16 are the whole
}

// Another leader goes on where the former one stopped.
TEST(ConsensusSnapshot, resumesUnderAnotherLeader) {
    auto l = Laggard(MEGABYTE);
    auto& f = l.f;
    f.bitsPerSecond[l.late] = SLOW_LINK / 4;
    f.members.at(l.late)->start();
    CHECK(f.until([&] { return l.chunks() >= 8; }, 10 * SECOND));
    CHECK(f.at(l.leader).transferLeadership(f.now));
    auto former = l.leader;
    CHECK(f.until([&] { return !f.leader().empty() && f.leader() != former; }, 5 * SECOND));
    l.leader = f.leader();
    l.chunksBefore = 0;
    l.chunksBefore = l.chunks();
    CHECK(f.until([&] { return l.caughtUp(); }, 10 * SECOND));
    CHECK(l.chunks() > 0 && l.chunks() <= 16);
}

TEST(ConsensusSnapshot, unsoundChunksAreRefusedAndCounted) {
    auto l = Laggard(3 * CHUNK_BYTES);
    auto& f = l.f;
    auto chunks = std::vector<wire::Envelope>();
    f.drop = [&](const std::string& to, wire::Envelope& e) {
        if (to != l.late || !e.__isset.snapshotChunk) return false;
        if (e.snapshotChunk.offset == std::int64_t(chunks.size() * CHUNK_BYTES)) chunks.push_back(e);
        return false;
    };
    f.members.at(l.late)->start();
    CHECK(f.until([&] { return l.caughtUp(); }, 5 * SECOND));
    f.drop = nullptr;
    CHECK(chunks.size() >= 3);
    // A voter that has heard none of them, in the same state as the late one was.
    auto g = ConsensusFixture();
    auto& m = g.add("n");
    g.run(SECOND);
    auto& v = *m.voter;
    auto unharmed = [&] { return v.blank() && v.commit() == 0 && m.held.snapshotIndex == 0; };
    auto handle = [&](std::size_t i, const std::function<void(wire::SnapshotChunk&)>& change) {
        auto e = chunks[i];
        change(e.snapshotChunk);
        v.handle(e, g.now);
        CHECK(unharmed());
    };
    handle(0, [](auto& c) { c.data.resize(c.data.size() / 2); });
    handle(0, [](auto& c) { c.data[100] ^= 1; });
    handle(0, [](auto& c) { c.offset = 5; });
    handle(0, [](auto& c) { c.size = 10; });
    handle(0, [](auto& c) { c.lastIncludedTerm = c.term + 1; });
    CHECK_EQ(std::int64_t(5), m.counters.get("snapshot_chunk_malformed_total"));
    handle(1, [](auto&) {});
    handle(0, [](auto&) {});
    handle(2, [](auto&) {});
    CHECK_EQ(std::int64_t(2), m.counters.get("snapshot_chunk_out_of_order_total"));
    for (auto i = std::size_t(1); i < chunks.size(); i++) v.handle(chunks[i], g.now);
    CHECK(!v.blank());
    g.run(100 * MILLISECOND);
    CHECK_EQ(chunks[0].snapshotChunk.lastIncludedIndex, m.held.snapshotIndex);
    // Of a term that is over.
    auto old = chunks[0];
    v.handle(old, g.now);
    auto later = chunks[0];
    later.snapshotChunk.term += 5;
    v.handle(later, g.now);
    v.handle(old, g.now);
    CHECK_EQ(std::int64_t(1), m.counters.get("snapshot_chunk_old_term_total"));
}

// Chunks of two documents do not make one.
TEST(ConsensusSnapshot, digestCoversTheWhole) {
    auto l = Laggard(3 * CHUNK_BYTES);
    auto& f = l.f;
    f.drop = [&](const std::string& to, wire::Envelope& e) {
        if (to == l.late && e.__isset.snapshotChunk) e.snapshotChunk.digest ^= 1;
        if (e.__isset.snapshotChunkReply) e.snapshotChunkReply.digest ^= 1;
        return false;
    };
    auto installed = f.counter(l.late, "snapshots_installed_total");
    f.members.at(l.late)->start();
    f.run(3 * SECOND);
    CHECK(f.counter(l.late, "snapshot_digest_wrong_total") > 0);
    CHECK_EQ(installed, f.counter(l.late, "snapshots_installed_total"));
    f.drop = nullptr;
    CHECK(f.until([&] { return l.caughtUp(); }, 10 * SECOND));
}

// A program that reads no chunks is sent the whole document, and one that sends it is understood.
TEST(ConsensusSnapshot, wholeDocumentForAnEarlierProgram) {
    auto l = Laggard(1000);
    auto& f = l.f;
    f.drop = [](const std::string&, wire::Envelope& e) { return e.__isset.snapshotChunk; };
    f.members.at(l.late)->start();
    CHECK(f.until([&] { return l.caughtUp(); }, 10 * SECOND));
    CHECK(f.counter(l.leader, "snapshots_sent_whole_total") > 0);
}

TEST(ConsensusSnapshot, malformedDocumentHarmsNothing) {
    auto f = ConsensusFixture();
    auto& m = f.add("n");
    f.run(SECOND);
    auto e = wire::Envelope();
    auto s = wire::InstallSnapshot();
    e.wire = WIRE;
    e.epoch = 1;
    e.disk = "a";
    s.term = 3;
    s.lastIncludedIndex = 9;
    s.lastIncludedTerm = 2;
    s.document = "{\"reign\":1";
    e.__set_installSnapshot(s);
    m.voter->handle(e, f.now);
    CHECK(m.voter->blank());
    CHECK_EQ(std::int64_t(1), m.counters.get("snapshot_malformed_total"));
}

}  // namespace duneturn
