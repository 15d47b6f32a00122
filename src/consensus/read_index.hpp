#pragma once
// Reads that wait until the leader knows that it still leads (ReadIndex; Ongaro 2014, 6.4). A read is
// answered once a majority has confirmed a round of heartbeats that began after the question, and the
// state has reached what was committed then.
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace duneturn {

/// The open reads of a leader. Ids are the asker's; rounds and indices are the leader's.
class ReadIndexQueue {
  public:
    struct Read {
        std::int64_t id;
        std::int64_t round;      // of heartbeats, which must be confirmed
        std::int64_t readIndex;  // the commit index when the question came
    };
    auto add(const Read& read) -> void { reads_.push_back(read); }
    /// Takes the oldest read that may be answered, where `isConfirmed` says whether a majority has
    /// confirmed a round.
    [[nodiscard]] auto takeAnswerable(std::int64_t applied,
        const std::function<bool(std::int64_t round)>& isConfirmed) -> std::optional<std::int64_t>;
    /// Takes all reads, which can't be answered any more; their ids.
    [[nodiscard]] auto takeAll() -> std::vector<std::int64_t>;

  private:
    std::vector<Read> reads_;
};

}  // namespace duneturn
