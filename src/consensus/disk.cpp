#include "consensus/disk.hpp"

#include <utility>

namespace duneturn {

auto applyDiskWrite(DiskState& state, const DiskWrite& write) -> void {
    if (write.reset) state = DiskState();
    auto snapshotIndex = write.hasSnapshot ? write.meta.snapshotIndex : state.snapshotIndex;
    auto snapshotTerm = write.hasSnapshot ? write.meta.snapshotTerm : state.snapshotTerm;
    auto snapshotDocument = write.hasSnapshot ? write.document : state.snapshotDocument;
    auto log = std::move(state.log);
    if (write.truncateFrom >= 0)
        while (!log.empty() && log.back().index >= write.truncateFrom) log.pop_back();
    log.insert(log.end(), write.entries.begin(), write.entries.end());
    state = write.meta;
    state.snapshotIndex = snapshotIndex;
    state.snapshotTerm = snapshotTerm;
    state.snapshotDocument = std::move(snapshotDocument);
    state.log.clear();
    for (auto& entry : log)
        if (entry.index > snapshotIndex) state.log.push_back(std::move(entry));
}

}  // namespace duneturn
