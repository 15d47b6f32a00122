#pragma once
// The in-memory part of the replicated log: the entries after a base, which is the last entry that was
// removed by compaction. Compaction keeps some entries that the snapshot includes, for replicas that lag
// slightly.
#include <cstddef>
#include <cstdint>
#include <vector>

#include "wire_types.h"

namespace duneturn {

/// Entries with consecutive indices from base() + 1 on. Owned by the voter; does not access the disk.
class ReplicatedLog {
  public:
    /// The term of an entry that is not in memory.
    static constexpr std::int64_t UNKNOWN_TERM = -1;

    /// Removes all entries. The next entry follows the one with this index and term.
    auto reset(std::int64_t baseIndex, std::int64_t baseTerm) -> void;
    /// Appends an entry. Its index must be last() + 1.
    auto append(wire::Entry entry) -> void;
    /// Removes the entries from `index` on. `index` must be in base() + 1 .. last() + 1.
    auto truncateFrom(std::int64_t index) -> void;
    /// Removes the entries up to `snapshotIndex`, except for the newest of them within the limits
    /// TAIL_ENTRIES and TAIL_BYTES.
    auto compact(std::int64_t snapshotIndex) -> void;

    /// The index of the entry before the first one in memory.
    [[nodiscard]] auto base() const -> std::int64_t { return base_; }
    [[nodiscard]] auto last() const -> std::int64_t { return base_ + std::int64_t(entries_.size()); }
    /// The number of entries in memory.
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /// The entry with this index, which must be in base() + 1 .. last().
    [[nodiscard]] auto at(std::int64_t index) const -> const wire::Entry& {
        return entries_[std::size_t(index - base_ - 1)];
    }
    /// The term of the entry with this index, including the base; UNKNOWN_TERM for any other.
    [[nodiscard]] auto termAt(std::int64_t index) const -> std::int64_t;
    [[nodiscard]] auto lastTerm() const -> std::int64_t { return termAt(last()); }
    /// The total size of the bodies of the entries `first` to `last`, both included.
    [[nodiscard]] auto bodyBytes(std::int64_t first, std::int64_t last) const -> std::size_t;
    /// The newest entry in memory that changes the configuration; null if there is none.
    [[nodiscard]] auto newestConfigurationEntry() const -> const wire::Entry*;

  private:
    std::int64_t base_ = 0;
    std::int64_t baseTerm_ = 0;
    std::vector<wire::Entry> entries_;
};

}  // namespace duneturn
