#pragma once
// The persistent state of a voter and the writes that change it. The store performs the writes; the
// simulator and the tests apply them to a DiskState in memory.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "wire_types.h"

namespace duneturn {

/// The persistent state of a voter.
struct DiskState {
    std::string disk;  // the identity of this disk; empty before the first write
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string vote;         // the disk that received this voter's vote in `term`; empty: none
    std::int64_t commit = 0;  // the commit index known at the time of the write; the cluster's may be higher
    std::int64_t snapshotIndex = 0;
    std::int64_t snapshotTerm = 0;
    std::string snapshotDocument;
    std::vector<wire::Entry> log;  // the entries from snapshotIndex + 1 on
};

/// An atomic write, which must be durable before it is reported as done. The parts apply in the order
/// reset, truncation, entries, snapshot.
struct DiskWrite {
    std::int64_t seq = 0;
    std::int64_t writeEpoch = 0;     // incremented each time the voter learns of a failed write
    DiskState meta;                  // disk, epoch, term, vote, commit; log and snapshotDocument are unused
    std::int64_t truncateFrom = -1;  // entries from this index on are removed first; -1: none
    std::vector<wire::Entry> entries;
    // Whether `document`, with meta.snapshotIndex and snapshotTerm, replaces everything up to snapshotIndex.
    bool hasSnapshot = false;
    bool reset = false;  // everything stored before is removed
    std::string document;
};

/// After a failed write, rejects the writes that were issued before the voter learned of the failure. Their
/// entries would follow entries that are missing on disk.
struct DiskWriteFence {
    std::int64_t failed = -1;  // the highest write epoch with a failed write; -1: none
    [[nodiscard]] auto takes(const DiskWrite& write) const -> bool { return write.writeEpoch > failed; }
    auto fail(const DiskWrite& write) -> void { failed = std::max(failed, write.writeEpoch); }
};

/// Applies a write to a state; the reference for what a store must do.
auto applyDiskWrite(DiskState& state, const DiskWrite& write) -> void;

}  // namespace duneturn
