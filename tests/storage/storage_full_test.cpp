// A store that fills up, and stores that the program before this one wrote.
#include <cstdint>
#include <deque>
#include <lmdb.h>
#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "storage/storage_fixture.hpp"
#include "storage/record_codec.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto LARGE_ENTRY_BYTES = std::size_t(600'000);

/// Appends entries to a store and to a plain state side by side.
struct Writer {
    Store* store = nullptr;
    DiskState state;

    auto write(DiskWrite write) -> bool {
        auto written = bool(store->write(write));
        if (written) applyDiskWrite(state, write);
        return written;
    }
    auto base() const -> DiskWrite {
        auto write = writeAfter(state);
        write.meta.snapshotDocument.clear();
        write.meta.disk = "d";
        return write;
    }
    auto last() const -> std::int64_t { return state.snapshotIndex + std::int64_t(state.log.size()); }
    auto append(std::size_t bytes) -> bool {
        auto next = base();
        next.entries = {makeEntry(last() + 1, 1, bytes)};
        return write(next);
    }
    auto snapshot(std::int64_t index, std::string document) -> bool {
        auto next = base();
        next.hasSnapshot = true;
        next.meta.snapshotIndex = index;
        next.meta.snapshotTerm = 1;
        next.document = std::move(document);
        return write(next);
    }
};

// What the program before this one wrote: the records of format 1, by LMDB itself, in a file
// of at most 32 MB that a synced last page makes count.
auto writeEarlierStore(const std::string& directory, const DiskState& state) -> void {
    MDB_env* environment = nullptr;
    MDB_txn* transaction = nullptr;
    auto database = MDB_dbi();
    CHECK_EQ(0, mdb_env_create(&environment));
    CHECK_EQ(0, mdb_env_set_mapsize(environment, 32u << 20));
    CHECK_EQ(0, mdb_env_open(environment, directory.c_str(), MDB_NOTLS | MDB_NOLOCK | MDB_NOMETASYNC, 0644));
    CHECK_EQ(0, mdb_txn_begin(environment, nullptr, 0, &transaction));
    CHECK_EQ(0, mdb_dbi_open(transaction, nullptr, 0, &database));
    auto put = [&](const std::string& key, const std::string& bytes) {
        auto checksum = hash64(bytes, hash64(key));
        auto sealed = std::string(reinterpret_cast<const char*>(&checksum), sizeof checksum) + bytes;
        auto keyValue = MDB_val{key.size(), const_cast<char*>(key.data())};
        auto dataValue = MDB_val{sealed.size(), sealed.data()};
        CHECK_EQ(0, mdb_put(transaction, database, &keyValue, &dataValue, 0));
    };
    for (auto& entry : state.log) {
        auto key = std::string("e");
        for (auto shift = 56; shift >= 0; shift -= 8) key += char(std::uint64_t(entry.index) >> shift);
        put(key, packRecord(entry));
    }
    if (state.snapshotIndex) put("snap", state.snapshotDocument);
    auto meta = wire::Meta();
    copyVoterFields(state, meta);
    meta.format = 1;
    put("meta", packRecord(meta));
    CHECK_EQ(0, mdb_txn_commit(transaction));
    CHECK_EQ(0, mdb_env_sync(environment, 1));
    mdb_env_close(environment);
}

auto earlierState(int entries, std::size_t bytes) -> DiskState {
    auto state = DiskState();
    state.disk = "0123456789abcdef";
    state.epoch = 1025;
    state.term = 7;
    state.vote = "fedcba9876543210";
    state.commit = 12;
    state.snapshotIndex = 10;
    state.snapshotTerm = 6;
    state.snapshotDocument = R"({"a":"document"})";
    for (auto i = 1; i <= entries; i++) state.log.push_back(makeEntry(10 + i, 7, bytes));
    return state;
}

/// One voter alone on a real store.
struct LoneVoter : VoterPort {
    Counters counters;
    Store store;
    std::deque<DiskWrite> writes;
    Voter voter{*this, counters, 1};
    Microseconds now = SECOND;
    int applied = 0;

    explicit LoneVoter(const std::string& directory) {
        auto state = store.open(directory);
        CHECK(bool(state));
        CHECK(!store.setAside());
        voter.start(*state, "d", now);
    }
    auto sendToReplica(const std::string&, wire::Envelope&) -> void override {}
    auto writeToDisk(const DiskWrite& write) -> void override { writes.push_back(write); }
    auto onStateApplied(const ReplicatedState&, const AppliedEntry& entry) -> void override {
        applied += !entry.key.empty() && entry.outcome.status == 200;
    }
    auto onReadDone(std::int64_t, bool) -> void override {}
    auto run(Microseconds duration) -> void {
        for (auto end = now + duration; now < end; now += 50 * MILLISECOND) {
            voter.tick(now);
            finishWrites();
        }
    }
    auto finishWrites() -> void {
        while (!writes.empty()) {
            auto write = std::move(writes.front());
            writes.pop_front();
            voter.onDiskWriteDone(write.seq, bool(store.write(write)), now);
        }
    }
    auto bootstrap() -> void {
        auto state = ReplicatedState();
        state.bootstrap({}, {{"a", "d"}});
        voter.bootstrap(state, 1, now);
        run(3 * SECOND);
    }
    auto propose(int number, std::size_t bytes) -> bool {
        auto text = std::string(bytes, char('a' + number % 20));
        auto order = fmt::format(
            R"({{"key":"k{}","op":"config","base":{},"config":{{"mappings":[],"origin":{{"number":{},"text":"{}"}}}}}})",
            number, voter.latestState().configVersion(), number, text);
        auto taken = voter.propose(1, order, now);
        finishWrites();
        return taken;
    }
};

}  // namespace

// Two hundred changes of 600 kB each, of which 55 used to end a voter for good: all are taken,
// the file stays within its bound, and the voter comes back with all of it.
TEST(Store, voterTakesLargeChangesWithoutEnd) {
    auto directory = TemporaryDirectory();
    {
        auto lone = LoneVoter(directory.path);
        lone.bootstrap();
        CHECK(lone.voter.ready());
        for (auto number = 1; number <= 200; number++) {
            CHECK(lone.propose(number, LARGE_ENTRY_BYTES));
            CHECK_EQ(number, lone.applied);
            CHECK(fileBytes(directory.path + "/data.mdb") <= StoreLimits().fileBytes);
        }
        CHECK_EQ(std::int64_t(0), lone.counters.get("disk_failed_total"));
    }
    auto again = LoneVoter(directory.path);
    again.run(3 * SECOND);
    CHECK(again.voter.ready());
    CHECK_EQ(std::int64_t(200), again.voter.replicatedState().configVersion());
}

// Entries of 600 kB fill the file. They are refused then, but a snapshot never is, and with the
// room that it frees entries are taken again; so too after a restart in between.
TEST(Store, snapshotIsTakenWhenTheFileIsFull) {
    for (auto reopened : {false, true}) {
        auto directory = TemporaryDirectory();
        auto store = std::make_unique<Store>();
        CHECK(bool(store->open(directory.path)));
        auto writer = Writer{store.get(), {}};
        CHECK(writer.snapshot(1, "first"));
        for (auto round = 0; round < 3; round++) {
            auto refused = false;
            for (auto i = 0; i < 100 && !refused; i++) refused = !writer.append(LARGE_ENTRY_BYTES);
            CHECK(refused);
            CHECK(writer.state.log.size() >= 20);
            CHECK(!writer.append(LARGE_ENTRY_BYTES));
            if (reopened) {
                store = std::make_unique<Store>();
                auto state = store->open(directory.path);
                CHECK(bool(state));
                CHECK(!store->setAside());
                CHECK(sameState(*state, writer.state));
                writer.store = store.get();
            }
            CHECK(writer.snapshot(writer.last() - 1, std::string(LARGE_ENTRY_BYTES * 2, 'd')));
            CHECK(writer.append(LARGE_ENTRY_BYTES));
            CHECK_EQ(std::size_t(2), writer.state.log.size());
            CHECK(fileBytes(directory.path + "/data.mdb") <= StoreLimits().fileBytes);
        }
        store = std::make_unique<Store>();
        auto state = store->open(directory.path);
        CHECK(bool(state));
        CHECK(!store->setAside());
        CHECK(sameState(*state, writer.state));
    }
}

// Votes and terms are small: they are taken while the log is as full as it gets.
TEST(Store, voteIsTakenWhenTheLogIsFull) {
    auto directory = TemporaryDirectory();
    auto store = Store();
    CHECK(bool(store.open(directory.path)));
    auto writer = Writer{&store, {}};
    while (writer.append(LARGE_ENTRY_BYTES)) continue;
    for (auto term = 2; term < 40; term++) {
        auto vote = writer.base();
        vote.meta.term = term;
        vote.meta.vote = fmt::format("v{}", term);
        CHECK(writer.write(vote));
    }
}

// Hundreds of changes of a large configuration with a snapshot every few megabytes: the file
// stays within its bound, and is made smaller again after a peak.
TEST(Store, fileStaysWithinItsBound) {
    auto directory = TemporaryDirectory();
    auto store = Store();
    CHECK(bool(store.open(directory.path)));
    auto writer = Writer{&store, {}};
    CHECK(writer.snapshot(1, std::string(1'200'000, 's')));
    for (auto i = 0; i < 300; i++) {
        CHECK(writer.append(i % 50 == 0 ? 1'200'000 : 2'000));
        if (writer.state.log.size() >= 20)
            CHECK(writer.snapshot(writer.last(), std::string(1'200'000, char('a' + i % 20))));
        CHECK(fileBytes(directory.path + "/data.mdb") <= StoreLimits().fileBytes);
    }
    while (writer.append(LARGE_ENTRY_BYTES)) continue;
    CHECK(fileBytes(directory.path + "/data.mdb") > StoreLimits().sparseBytes);
    CHECK(writer.snapshot(writer.last(), "small"));
    CHECK(fileBytes(directory.path + "/data.mdb") <= StoreLimits().sparseBytes);
    CHECK(store.rewrites() > 0);
}

// The records of a store of the present format are read as they were written, and the first
// writes of this program go on from them.
TEST(Store, earlierStoreIsTakenOver) {
    auto directory = TemporaryDirectory();
    auto state = earlierState(5, 3000);
    writeEarlierStore(directory.path, state);
    auto store = std::make_unique<Store>();
    auto opened = store->open(directory.path);
    CHECK(bool(opened));
    CHECK(!store->setAside());
    CHECK(sameState(*opened, state));
    auto writer = Writer{store.get(), state};
    auto next = writer.base();
    next.meta.disk = state.disk;
    next.meta.term = 8;
    next.entries = {makeEntry(16, 8, 100)};
    CHECK(writer.write(next));
    store = std::make_unique<Store>();
    CHECK(sameState(*store->open(directory.path), writer.state));
}

// One that grew to nearly the 32 MB that it was allowed: it is read whole, a vote is taken, and
// a snapshot brings it within this program's bound.
TEST(Store, earlierStoreLargerThanTheBoundIsTakenOver) {
    auto directory = TemporaryDirectory();
    auto state = earlierState(50, LARGE_ENTRY_BYTES);
    writeEarlierStore(directory.path, state);
    CHECK(fileBytes(directory.path + "/data.mdb") > StoreLimits().fileBytes);
    auto store = Store();
    auto opened = store.open(directory.path);
    CHECK(bool(opened));
    CHECK(!store.setAside());
    CHECK(sameState(*opened, state));
    auto writer = Writer{&store, state};
    auto vote = writer.base();
    vote.meta.disk = state.disk;
    vote.meta.term = 9;
    CHECK(writer.write(vote));
    auto snapshot = writer.base();
    snapshot.meta.disk = state.disk;
    snapshot.hasSnapshot = true;
    snapshot.meta.snapshotIndex = 58;
    snapshot.meta.snapshotTerm = 7;
    snapshot.document = "document";
    CHECK(writer.write(snapshot));
    CHECK(fileBytes(directory.path + "/data.mdb") <= StoreLimits().fileBytes);
    auto again = Store();
    CHECK(sameState(*again.open(directory.path), writer.state));
}

}  // namespace duneturn
