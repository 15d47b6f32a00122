// The store on a disk in trouble: failed snapshots, a last page half written, a store begun anew.
#include <cstdint>
#include <memory>
#include <string>

#include "base/log.hpp"
#include "storage/storage_fixture.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto LARGE_DOCUMENT_BYTES = std::size_t(100'000);
constexpr auto SMALL_DISK_BYTES = rlim_t(32) * 1024;  // the large document does not fit in

/// A write of a snapshot at index 1 and of entries 2 to 10.
auto firstWrite() -> DiskWrite {
    auto write = writeInTerm(0);
    write.hasSnapshot = true;
    write.document = "old";
    write.meta.snapshotIndex = 1;
    for (auto i = 2; i <= 10; i++) write.entries.push_back(makeEntry(i, 1, 100));
    return write;
}

auto writeAndApply(Store& store, DiskState& state, const DiskWrite& write) -> void {
    CHECK(bool(store.write(write)));
    applyDiskWrite(state, write);
}

}  // namespace

// A snapshot that a full disk refused: the next write brings it, since it speaks of what stands
// on it. Without that, the old document would be read back under the new one's number.
TEST(Store, failedSnapshotIsOwed) {
    for (auto isBehindFailedWrite : {false, true}) {
        auto directory = TemporaryDirectory();
        auto store = std::make_unique<Store>();
        auto state = DiskState();
        CHECK(bool(store->open(directory.path)));
        writeAndApply(*store, state, firstWrite());
        auto snapshot = writeAfter(state);
        snapshot.meta.snapshotIndex = 8;
        snapshot.meta.snapshotTerm = 1;
        snapshot.hasSnapshot = true;
        snapshot.document = "new" + std::string(LARGE_DOCUMENT_BYTES, 'n');
        if (isBehindFailedWrite) {
            store->carryOver(snapshot);
        } else {
            auto limit = FileSizeLimit(SMALL_DISK_BYTES);
            CHECK(!store->write(snapshot));
            CHECK(!store->write(snapshot));
        }
        applyDiskWrite(state, snapshot);
        auto next = writeAfter(state);
        next.meta.term = 2;
        next.truncateFrom = 10;
        next.entries = {makeEntry(10, 2, 50)};
        writeAndApply(*store, state, next);
        store = std::make_unique<Store>();
        auto read = store->open(directory.path);
        CHECK(bool(read));
        CHECK(!store->setAside());
        CHECK(sameState(*read, state));
        // It is carried over once: a later write without a snapshot leaves the document as it is.
        auto later = next;
        later.meta.term = 3;
        later.truncateFrom = -1;
        later.entries = {makeEntry(11, 3, 50)};
        writeAndApply(*store, state, later);
        store = std::make_unique<Store>();
        CHECK(sameState(*store->open(directory.path), state));
    }
}

// An epoch that was left while the disk refused: nothing of it is read back beside the new one's.
TEST(Store, failedResetIsOwed) {
    auto directory = TemporaryDirectory();
    auto store = std::make_unique<Store>();
    CHECK(bool(store->open(directory.path)));
    auto first = firstWrite();
    first.meta.epoch = 1;
    CHECK(bool(store->write(first)));
    auto reset = writeInTerm(0);
    reset.reset = reset.hasSnapshot = true;
    reset.document = "found" + std::string(LARGE_DOCUMENT_BYTES, 'n');
    reset.meta.epoch = 2;
    reset.meta.snapshotIndex = 1;
    reset.meta.snapshotTerm = 5;
    {
        auto limit = FileSizeLimit(SMALL_DISK_BYTES);
        CHECK(!store->write(reset));
    }
    auto next = reset;
    next.reset = next.hasSnapshot = false;
    next.document.clear();
    next.meta.vote = "v";
    auto state = DiskState();
    applyDiskWrite(state, reset);
    writeAndApply(*store, state, next);
    store = std::make_unique<Store>();
    auto read = store->open(directory.path);
    CHECK(bool(read));
    CHECK(sameState(*read, state));
    CHECK(read->log.empty());
}

// Power goes while the last page of a write, which makes it count, is written: the state is the
// one before or the one after, wherever its bytes were cut.
TEST(Store, tornLastPage) {
    constexpr auto WRITES = 41;
    constexpr auto TORN_BYTES = std::size_t(512);
    auto directory = TemporaryDirectory();
    auto before = DiskState(), after = DiskState();
    auto bytesBefore = std::string(), bytesAfter = std::string();
    {
        auto store = Store();
        CHECK(bool(store.open(directory.path)));
        for (auto i = 1; i <= WRITES; i++) {
            auto write = writeInTerm(i);
            write.entries = {makeEntry(i, i, std::size_t(i) * 97)};
            before = after;
            bytesBefore = directory.storeBytes();
            writeAndApply(store, after, write);
        }
        bytesAfter = directory.storeBytes();
    }
    bytesBefore.resize(bytesAfter.size());
    auto tries = 0;
    for (auto page = std::size_t(0); page < 2; page++) {
        auto at = page * STORE_PAGE_BYTES;
        if (bytesBefore.compare(at, STORE_PAGE_BYTES, bytesAfter, at, STORE_PAGE_BYTES) == 0) continue;
        for (auto written = std::size_t(0); written <= TORN_BYTES; written++) {
            // All other pages are there, for they were synced before.
            auto torn = bytesAfter;
            torn.replace(at, STORE_PAGE_BYTES, bytesBefore, at, STORE_PAGE_BYTES);
            torn.replace(at, written, bytesAfter, at, written);
            auto copy = TemporaryDirectory();
            copy.setStoreBytes(torn);
            auto state = openSound(copy.path);
            CHECK(sameState(state, before) || sameState(state, after));
            tries++;
        }
    }
    CHECK_EQ(513, tries);
}

// A disk that is full when the store is opened: it is opened once there is room.
TEST(Store, fullAtOpen) {
    muteLog(true);  // the limit would hold for a log file, too
    auto directory = TemporaryDirectory();
    auto store = Store();
    {
        auto limit = FileSizeLimit(100);
        CHECK(!store.open(directory.path));
        CHECK(!store.open(directory.path));
    }
    CHECK(bool(store.open(directory.path)));
    CHECK(bool(store.write(writeInTerm(0))));
    muteLog(false);
}

}  // namespace duneturn
