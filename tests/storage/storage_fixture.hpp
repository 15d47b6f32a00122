#pragma once
// What the tests of the store share: folders that go with the test, entries, comparisons.
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "consensus/voter.hpp"

namespace duneturn {

/// A folder of its own for a test, removed with everything in it.
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
};

inline auto makeEntry(std::int64_t index, std::int64_t term, std::size_t bytes) -> wire::Entry {
    auto entry = wire::Entry();
    entry.index = index;
    entry.term = term;
    entry.kind = 1;
    entry.body = std::string(bytes, char('a' + index % 20));
    return entry;
}

inline auto sameState(const DiskState& a, const DiskState& b) -> bool {
    return a.disk == b.disk && a.epoch == b.epoch && a.term == b.term && a.vote == b.vote
        && a.commit == b.commit && a.snapshotIndex == b.snapshotIndex && a.snapshotTerm == b.snapshotTerm
        && a.snapshotDocument == b.snapshotDocument && a.log == b.log;
}

}  // namespace duneturn
