// A store whose machine loses power at any moment: what was promised is there afterwards.
#include <cstdint>
#include <string>
#include <vector>

#include "base/file.hpp"
#include "storage/power_loss_files.hpp"
#include "storage/storage_fixture.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto SMALL = StoreLimits{256 << 10, 96 << 10};

/// Runs a store on a disk that may lose power at any point, and counts what is wrong with what
/// it would come back to: anything else than the state promised last or the one under way.
struct PowerTrial {
    TemporaryDirectory root, after;
    PowerLossFiles files{root.path};
    Store store{files, SMALL};
    DiskState promised, underWay;
    int images = 0, violations = 0;
    bool checking = true;

    PowerTrial() {
        files.atPoint = [this] { checkImages(); };
    }
    auto checkImages() -> void {
        if (!checking) return;
        for (auto& image : files.images()) checkImage(image);
    }
    auto checkImage(const DiskImage& image) -> void {
        auto path = after.path + "/data";
        image.restore(path);
        auto store = Store(systemFiles(), SMALL);
        auto state = store.open(path);
        images++;
        auto sound =
            state && !store.setAside() && (sameState(*state, promised) || sameState(*state, underWay));
        violations += !sound;
    }
    auto open() -> bool { return bool(store.open(files.folder())); }
    auto write(const DiskWrite& write) -> bool {
        applyDiskWrite(underWay, write);
        auto written = bool(store.write(write));
        if (written) promised = underWay;
        checkImages();
        return written;
    }
    auto base() const -> DiskWrite {
        auto write = writeAfter(underWay);
        write.meta.snapshotDocument.clear();
        write.meta.disk = "d";
        return write;
    }
    auto append(std::size_t bytes) -> bool {
        auto next = base();
        auto last = underWay.snapshotIndex + std::int64_t(underWay.log.size());
        next.entries = {makeEntry(last + 1, 1, bytes)};
        return write(next);
    }
    auto snapshot(std::size_t bytes) -> bool {
        auto next = base();
        next.hasSnapshot = true;
        next.meta.snapshotIndex = underWay.snapshotIndex + std::int64_t(underWay.log.size());
        next.meta.snapshotTerm = 1;
        next.document = std::string(bytes, 's');
        return write(next);
    }
    /// A first start, some entries, a snapshot.
    auto play() -> void {
        CHECK(open());
        for (auto i = 1; i <= 10; i++) CHECK(append(std::size_t(i) * 700));
        CHECK(snapshot(5000));
        CHECK(append(100));
    }
};

}  // namespace

TEST(Store, promisesOutliveALossOfPower) {
    auto trial = PowerTrial();
    trial.play();
    CHECK_EQ(0, trial.violations);
    CHECK(trial.images > 100);
}

// The file is full and written anew, then made smaller: at each step there is one whole store.
TEST(Store, rewritesOutliveALossOfPower) {
    auto trial = PowerTrial();
    trial.play();
    trial.checking = false;
    for (auto i = 0; i < 7; i++) CHECK(trial.append(25'000));
    trial.checking = true;
    auto before = trial.store.rewrites();
    CHECK(trial.snapshot(60'000));
    CHECK(trial.append(300));
    CHECK(trial.store.rewrites() > before);
    CHECK_EQ(0, trial.violations);
}

// The model sees each kind of sync that is left out.
TEST(Store, missingSyncsAreSeen) {
    auto withoutFolder = PowerTrial();
    withoutFolder.files.skipsDirectorySync = true;
    withoutFolder.play();
    CHECK(withoutFolder.violations > 0);
    auto withoutContents = PowerTrial();
    withoutContents.files.skipsFileSync = true;
    withoutContents.play();
    CHECK(withoutContents.violations > 0);
}

// A folder that cannot be synced: nothing is promised before it is.
TEST(Store, folderThatCannotBeSynced) {
    auto trial = PowerTrial();
    trial.files.failingDirectorySyncs = 2;
    CHECK(!trial.open());
    CHECK(!trial.open());
    trial.play();
    trial.checking = false;
    for (auto i = 0; i < 7; i++) CHECK(trial.append(25'000));
    trial.checking = true;
    // The new file has its name, but may lose it yet: the write counts as failed, and the next
    // one brings what it owes.
    trial.files.failingDirectorySyncs = 1;
    CHECK(!trial.snapshot(60'000));
    CHECK(trial.write(trial.base()));
    CHECK_EQ(0, trial.violations);
    trial.checkImages();
    CHECK_EQ(0, trial.violations);
}

// A damaged store that was set aside does not come back under its identity, also if the power
// goes in the middle: the damage is found again.
TEST(Store, damagedStoreNeverComesBack) {
    auto directory = TemporaryDirectory();
    {
        auto store = Store(systemFiles(), SMALL);
        CHECK(bool(store.open(directory.path)));
        auto write = DiskWrite();
        write.meta.disk = "old";
        write.meta.term = 5;
        write.entries = {makeEntry(1, 5, 3000)};
        CHECK(bool(store.write(write)));
    }
    auto path = directory.path + "/data.mdb";
    auto bytes = *readFile(path);
    // The damage is to each copy of the entry.
    for (auto at = bytes.find(std::string(300, 'b')); at != std::string::npos;
         at = bytes.find(std::string(300, 'b'), at + 300))
        bytes[at + 10] ^= 1;
    auto points = std::vector<DiskImage>();
    auto trial = PowerTrial();
    trial.checking = false;
    CHECK_EQ(0, trial.files.makeDirectory(trial.files.folder()));
    CHECK_EQ(0, trial.files.createFile(trial.files.folder() + "/data.mdb"));
    DiskImage{true, {{"data.mdb", bytes}}}.restore(trial.files.folder());
    CHECK_EQ(0, trial.files.syncFile(trial.files.folder() + "/data.mdb", -1));
    CHECK_EQ(0, trial.files.syncDirectory(trial.root.path));
    CHECK_EQ(0, trial.files.syncDirectory(trial.files.folder()));
    trial.files.atPoint = [&] {
        for (auto& image : trial.files.images()) points.push_back(image);
    };
    auto state = trial.store.open(trial.files.folder());
    CHECK(bool(state));
    CHECK(trial.store.setAside());
    CHECK(state->disk.empty());
    CHECK(points.size() > 5);
    for (auto& image : points) {
        image.restore(trial.after.path + "/data");
        auto again = Store(systemFiles(), SMALL).open(trial.after.path + "/data");
        CHECK(bool(again));
        CHECK(again->disk.empty());
    }
}

}  // namespace duneturn
