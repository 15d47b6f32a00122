#pragma once
// What the tests of the store share: temporary directories, a full disk, entries, comparisons, and records
// put into a store past Store.
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <signal.h>
#include <string>

#include <sys/resource.h>

#include "base/file.hpp"
#include "consensus/disk.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

/// The store's file in its directory.
constexpr auto STORE_FILE = "/data.mdb";
/// The bytes of one of LMDB's pages.
constexpr auto STORE_PAGE_BYTES = std::size_t(4096);

/// A directory of its own for a test, removed with everything in it.
struct TemporaryDirectory {
    std::string path;

    TemporaryDirectory() {
        char name[] = "/tmp/duneturn-storage-XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryDirectory() {
        auto error = std::error_code();
        std::filesystem::remove_all(path, error);
    }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    auto operator=(const TemporaryDirectory&) -> TemporaryDirectory& = delete;

    auto storeBytes() const -> std::string { return *readFile(path + STORE_FILE); }
    auto setStoreBytes(const std::string& bytes) const -> void {
        std::ofstream(path + STORE_FILE, std::ios::binary) << bytes;
    }
};

/// While it lives, no file of this process may grow beyond `bytes`, nor be written past that.
struct FileSizeLimit {
    explicit FileSizeLimit(rlim_t bytes) : handler_(signal(SIGXFSZ, SIG_IGN)) {
        getrlimit(RLIMIT_FSIZE, &former_);
        auto limit = former_;
        limit.rlim_cur = bytes;
        setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileSizeLimit() {
        setrlimit(RLIMIT_FSIZE, &former_);
        signal(SIGXFSZ, handler_);
    }
    FileSizeLimit(const FileSizeLimit&) = delete;
    auto operator=(const FileSizeLimit&) -> FileSizeLimit& = delete;

  private:
    rlimit former_{};
    sighandler_t handler_;
};

inline auto makeEntry(std::int64_t index, std::int64_t term, std::size_t bytes) -> wire::Entry {
    auto entry = wire::Entry();
    entry.index = index;
    entry.term = term;
    entry.kind = 1;
    entry.body = std::string(bytes, char('a' + index % 20));
    return entry;
}

/// A write of voter "d" in this term, which adds nothing yet.
inline auto writeInTerm(std::int64_t term) -> DiskWrite {
    auto write = DiskWrite();
    write.meta.disk = "d";
    write.meta.term = term;
    return write;
}

/// A write that begins with what `state` holds beside its log and adds nothing yet.
inline auto writeAfter(const DiskState& state) -> DiskWrite {
    auto write = DiskWrite();
    write.meta = state;
    write.meta.log.clear();
    return write;
}

inline auto sameState(const DiskState& left, const DiskState& right) -> bool {
    return left.disk == right.disk && left.epoch == right.epoch && left.term == right.term
        && left.vote == right.vote && left.commit == right.commit && left.snapshotIndex == right.snapshotIndex
        && left.snapshotTerm == right.snapshotTerm && left.snapshotDocument == right.snapshotDocument
        && left.log == right.log;
}

/// Opens the store in a directory anew; it must be sound.
inline auto openSound(const std::string& directory) -> DiskState {
    auto store = Store();
    auto state = store.open(directory);
    CHECK(bool(state));
    CHECK(!store.setAside());
    return *state;
}

}  // namespace duneturn
