// The store against a plain state: random writes, losses of power, full disks, damage and newer formats.
#include <algorithm>
#include <cstdint>
#include <lmdb.h>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "storage/record_codec.hpp"
#include "storage/storage_fixture.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// A write that may follow `state`: some entries cut, some added, now and then a snapshot.
auto randomWrite(const DiskState& state, RandomSource& random) -> DiskWrite {
    auto last = state.snapshotIndex + std::int64_t(state.log.size());
    auto write = writeAfter(state);
    write.meta.disk = "d";
    write.meta.term = state.term + std::int64_t(random.below(2));
    write.meta.vote = fmt::format("v{}", random.below(3));
    if (last > state.snapshotIndex && random.chance(.2))
        write.truncateFrom =
            state.snapshotIndex + 1 + std::int64_t(random.below(std::uint64_t(last - state.snapshotIndex)));
    auto next = write.truncateFrom >= 0 ? write.truncateFrom : last + 1;
    for (auto count = random.below(4); count > 0; count--) {
        auto entry = makeEntry(next++, write.meta.term, 0);
        auto bytes = random.below(3000);
        entry.body = std::string(bytes, char('a' + random.below(20)));
        write.entries.push_back(entry);
    }
    if (next - 1 <= state.snapshotIndex || !random.chance(.15)) return write;
    write.hasSnapshot = true;
    write.meta.snapshotIndex =
        state.snapshotIndex + 1 + std::int64_t(random.below(std::uint64_t(next - 1 - state.snapshotIndex)));
    write.meta.snapshotTerm = write.meta.term;
    write.document = fmt::format("document {}", random.below(1000));
    return write;
}

/// A store's file before and after its last write, and what it held then.
struct LastWrite {
    DiskState before, after;
    std::string bytesBefore, bytesAfter;  // of the same length
};

auto makeLastWrite() -> LastWrite {
    constexpr auto WRITES = 40;
    auto directory = TemporaryDirectory();
    auto result = LastWrite();
    auto store = Store();
    CHECK(bool(store.open(directory.path)));
    for (auto i = 1; i <= WRITES; i++) {
        auto write = writeInTerm(i);
        write.entries = {makeEntry(i, i, std::size_t(i) * 97)};
        result.before = result.after;
        result.bytesBefore = directory.storeBytes();
        CHECK(bool(store.write(write)));
        applyDiskWrite(result.after, write);
    }
    result.bytesAfter = directory.storeBytes();
    result.bytesBefore.resize(std::max(result.bytesBefore.size(), result.bytesAfter.size()));
    result.bytesAfter.resize(result.bytesBefore.size());
    return result;
}

/// What a store of these bytes is opened with; it must be sound.
auto openedState(const std::string& bytes) -> DiskState {
    auto directory = TemporaryDirectory();
    directory.setStoreBytes(bytes);
    return openSound(directory.path);
}

/// Turns a bit in up to four of the entries in a store's file.
auto damageEntries(std::string& bytes, RandomSource& random) -> void {
    constexpr auto RUN = std::size_t(300);
    for (auto i = 0; i < 4; i++) {
        auto at = bytes.find(std::string(RUN, 'x'), random.below(bytes.size()));
        if (at != std::string::npos) bytes[at + random.below(RUN)] ^= 1;
    }
}

/// Puts one record with a sound checksum into a closed store, past Store and Environment.
auto putRecord(const std::string& directory, const std::string& key, const std::string& bytes) -> void {
    auto sealed = sealRecord(key, bytes);
    MDB_env* environment = nullptr;
    MDB_txn* transaction = nullptr;
    auto database = MDB_dbi();
    auto keyValue = MDB_val{key.size(), const_cast<char*>(key.data())};
    auto dataValue = MDB_val{sealed.size(), sealed.data()};
    CHECK_EQ(0, mdb_env_create(&environment));
    CHECK_EQ(0, mdb_env_open(environment, directory.c_str(), 0, 0644));
    CHECK_EQ(0, mdb_txn_begin(environment, nullptr, 0, &transaction));
    CHECK_EQ(0, mdb_dbi_open(transaction, nullptr, 0, &database));
    CHECK_EQ(0, mdb_put(transaction, database, &keyValue, &dataValue, 0));
    CHECK_EQ(0, mdb_txn_commit(transaction));
    mdb_env_close(environment);
}

}  // namespace

// Random writes to LMDB and to a plain state side by side; reopened now and then, they agree.
TEST(Store, fuzzAgainstState) {
    for (auto seed = 1U; seed <= 10; seed++) {
        auto directory = TemporaryDirectory();
        auto random = RandomSource{seed};
        auto store = std::make_unique<Store>();
        auto state = DiskState();
        CHECK(bool(store->open(directory.path)));
        for (auto i = 0; i < 60; i++) {
            auto write = randomWrite(state, random);
            CHECK(bool(store->write(write)));
            applyDiskWrite(state, write);
            if (!random.chance(.2)) continue;
            store.reset();
            CHECK(sameState(openSound(directory.path), state));
            store = std::make_unique<Store>();
            CHECK(bool(store->open(directory.path)));
        }
    }
}

// Power goes at every write point: after each system write of one order, in every length that
// the file can have been left in between. What is opened then is the state before or after.
TEST(Store, powerAtEveryWritePoint) {
    constexpr auto MAX_SUBSET_PAGES = std::size_t(8);
    constexpr auto SECTOR_BYTES = std::size_t(512);
    auto last = makeLastWrite();
    // A write changes some pages; they reach the disk in any order, but those of the meta
    // pages (the first two), which are written last and alone, behind a sync.
    auto changed = std::vector<std::size_t>();
    for (auto at = 2 * STORE_PAGE_BYTES; at < last.bytesBefore.size(); at += STORE_PAGE_BYTES)
        if (last.bytesBefore.compare(at, STORE_PAGE_BYTES, last.bytesAfter, at, STORE_PAGE_BYTES) != 0)
            changed.push_back(at);
    CHECK(changed.size() >= 2);
    auto tries = 0;
    for (auto subset = 0U; subset < (1U << std::min(changed.size(), MAX_SUBSET_PAGES)); subset++) {
        auto bytes = last.bytesBefore;
        for (auto i = std::size_t(0); i < changed.size(); i++)
            if (i >= MAX_SUBSET_PAGES || (subset >> i & 1))
                bytes.replace(changed[i], STORE_PAGE_BYTES, last.bytesAfter, changed[i], STORE_PAGE_BYTES);
        CHECK(sameState(openedState(bytes), last.before));
        tries++;
    }
    // A page half written, too.
    for (auto page : changed)
        for (auto written = SECTOR_BYTES; written < STORE_PAGE_BYTES; written += SECTOR_BYTES) {
            auto bytes = last.bytesBefore;
            bytes.replace(page, written, last.bytesAfter, page, written);
            CHECK(sameState(openedState(bytes), last.before));
            tries++;
        }
    CHECK(sameState(openedState(last.bytesAfter), last.after));
    CHECK(tries > 10);
}

// A disk that is full for real: the file may not grow. Writes fail whole, what is held stays,
// and they succeed again when there is room.
TEST(Store, fullDisk) {
    auto directory = TemporaryDirectory();
    auto state = DiskState();
    auto store = std::make_unique<Store>();
    CHECK(bool(store->open(directory.path)));
    auto put = [&](std::int64_t index) {
        auto write = writeInTerm(index);
        write.entries = {makeEntry(index, index, 20000)};
        auto written = bool(store->write(write));
        if (written) applyDiskWrite(state, write);
        return written;
    };
    CHECK(put(1));
    auto index = std::int64_t(2);
    auto isFull = false;
    {
        auto limit = FileSizeLimit(256 * 1024);
        while (index < 100 && put(index)) index++;
        isFull = !put(index);
    }
    CHECK(index > 2 && index < 100 && isFull);
    CHECK(put(index));
    store.reset();
    CHECK(sameState(openSound(directory.path), state));
}

TEST(Store, damageIsSetAside) {
    auto found = 0;
    for (auto seed = 1U; seed <= 20; seed++) {
        auto directory = TemporaryDirectory();
        auto random = RandomSource{seed};
        auto state = DiskState();
        {
            auto store = Store();
            CHECK(bool(store.open(directory.path)));
            auto write = writeInTerm(3);
            for (auto i = 1; i <= 20; i++) {
                write.entries.push_back(makeEntry(i, 3, 0));
                write.entries.back().body = std::string(700, 'x');
            }
            CHECK(bool(store.write(write)));
            applyDiskWrite(state, write);
        }
        auto bytes = directory.storeBytes();
        damageEntries(bytes, random);
        directory.setStoreBytes(bytes);
        auto store = Store();
        auto read = store.open(directory.path);
        CHECK(bool(read));
        // Either the page was an old copy, and all is there, or it is as if wiped; never a part.
        CHECK(store.setAside() ? read->disk.empty() && read->log.empty() : sameState(*read, state));
        // The record at fault is one of the entries.
        CHECK(!store.setAside() || store.damage()->record.starts_with("entry-"));
        found += store.setAside();
    }
    CHECK(found > 5);
}

TEST(Store, newerFormatIsRefused) {
    auto directory = TemporaryDirectory();
    CHECK(bool(Store().open(directory.path)));
    auto meta = wire::Meta();
    meta.disk = "d";
    meta.format = FORMAT + 1;
    putRecord(directory.path, "meta", packRecord(meta));
    auto store = Store();
    auto read = store.open(directory.path);
    CHECK(!read);
    CHECK(read.error().kind == StoreError::Kind::NewerFormat);
    CHECK_EQ(std::string("meta"), read.error().record);
    CHECK(!store.setAside());
}

}  // namespace duneturn
