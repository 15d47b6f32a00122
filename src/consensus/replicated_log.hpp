#pragma once
// The replicated log as a voter holds it in memory: the entries behind a base, which is the last entry
// that is not held any more. Behind a snapshot some entries stay for replicas that are slightly behind.
#include <cstddef>
#include <cstdint>
#include <vector>

#include "wire_types.h"

namespace duneturn {

/// Entries with consecutive indices from base() + 1 on. Owned by the voter; nothing here touches the disk.
class ReplicatedLog {
  public:
    /// The term of an entry that is not held.
    static constexpr std::int64_t UNKNOWN_TERM = -1;

    /// Drops all entries; the next one follows the entry of this index and term.
    auto reset(std::int64_t baseIndex, std::int64_t baseTerm) -> void;
    /// Adds an entry, whose index must be last() + 1.
    auto append(wire::Entry entry) -> void;
    /// Drops the entries from `index` on, which must lie behind the base.
    auto truncateFrom(std::int64_t index) -> void;
    /// Drops entries up to `snapshotIndex` but for the newest of them, as many as TAIL_ENTRIES and
    /// TAIL_BYTES allow.
    auto compact(std::int64_t snapshotIndex) -> void;

    [[nodiscard]] auto base() const -> std::int64_t { return base_; }
    [[nodiscard]] auto last() const -> std::int64_t { return base_ + std::int64_t(entries_.size()); }
    /// How many entries are held.
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /// The entry of an index in base() + 1 .. last().
    [[nodiscard]] auto at(std::int64_t index) const -> const wire::Entry& {
        return entries_[std::size_t(index - base_ - 1)];
    }
    /// The term of an entry, also of the base; UNKNOWN_TERM outside.
    [[nodiscard]] auto termAt(std::int64_t index) const -> std::int64_t;
    [[nodiscard]] auto lastTerm() const -> std::int64_t { return termAt(last()); }
    /// The bytes of the bodies of the entries `first` to `last`.
    [[nodiscard]] auto bodyBytes(std::int64_t first, std::int64_t last) const -> std::size_t;
    /// The newest entry that changes the configuration; null if none is held.
    [[nodiscard]] auto newestConfigurationEntry() const -> const wire::Entry*;

  private:
    std::int64_t base_ = 0;
    std::int64_t baseTerm_ = 0;
    std::vector<wire::Entry> entries_;
};

}  // namespace duneturn
