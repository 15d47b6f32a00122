#pragma once
// Linearizable reads without log entries (ReadIndex; Ongaro 2014, 6.4). The leader answers a read after a
// majority has confirmed its leadership in a heartbeat round that began after the read arrived, and after
// the state machine has reached the commit index of that time.
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace duneturn {

/// The pending reads of a leader. The caller chooses the ids; rounds and indices are the leader's.
class ReadIndexQueue {
  public:
    struct Read {
        std::int64_t id;
        std::int64_t round;      // the heartbeat round that a majority must confirm
        std::int64_t readIndex;  // the commit index when the read arrived
    };
    auto add(const Read& read) -> void { reads_.push_back(read); }
    /// Removes the oldest read that can be answered and returns its id. `isConfirmed` returns whether a
    /// majority has confirmed a heartbeat round.
    [[nodiscard]] auto takeAnswerable(std::int64_t lastApplied,
        const std::function<bool(std::int64_t round)>& isConfirmed) -> std::optional<std::int64_t>;
    /// Removes all reads, for a leader that steps down, and returns their ids.
    [[nodiscard]] auto takeAll() -> std::vector<std::int64_t>;

  private:
    std::vector<Read> reads_;
};

}  // namespace duneturn
