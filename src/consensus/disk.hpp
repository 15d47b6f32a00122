#pragma once
// What a voter keeps on its disk, and the writes that change it. The store performs the
// writes; the simulator and the tests apply them to a value in memory.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "wire_types.h"

namespace duneturn {

/// What a voter's disk holds.
struct DiskState {
    std::string disk;  // the voter's identity; empty before the first write
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string vote;         // the disk that this one voted for in `term`; empty: none
    std::int64_t commit = 0;  // the commit index when this was written; the cluster's may be higher
    std::int64_t snapshotIndex = 0;
    std::int64_t snapshotTerm = 0;
    std::string snapshotDocument;
    std::vector<wire::Entry> log;  // from snapshotIndex + 1
};

/// One write, all of it or none, synced before it is reported done.
struct DiskWrite {
    std::int64_t seq = 0;
    std::int64_t writeEpoch = 0;     // rises when the voter has learnt of a failed write
    DiskState meta;                  // disk, epoch, term, vote, commit; log and snapshotDocument unused
    std::int64_t truncateFrom = -1;  // entries from here on are dropped first
    std::vector<wire::Entry> entries;
    bool hasSnapshot =
        false;           // meta.snapshotIndex, snapshotTerm and document replace all up to snapshotIndex
    bool reset = false;  // everything kept before goes
    std::string document;
};

/// After a failed write, refuses the writes that were issued before the voter learnt of the
/// failure: their entries would follow entries that are missing.
struct DiskWriteFence {
    std::int64_t failed = -1;
    [[nodiscard]] auto takes(const DiskWrite& write) const -> bool { return write.writeEpoch > failed; }
    auto fail(const DiskWrite& write) -> void { failed = std::max(failed, write.writeEpoch); }
};

/// Applies a write to a state, as a store must.
auto applyDiskWrite(DiskState& state, const DiskWrite& write) -> void;

}  // namespace duneturn
