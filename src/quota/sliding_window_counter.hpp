#pragma once
// Counts events within a sliding window, grouped into time steps.
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// Counts the events of a window that ends now. Every event is dated to the end of its time step, so it is
/// counted for at least the window and at most one step longer, never for less.
class SlidingWindowCounter {
  public:
    explicit SlidingWindowCounter(Microseconds step) : step_(step) {}

    /// Counts events that happened at `at`; a count that is not positive is ignored.
    auto add(std::int64_t events, Microseconds at) -> void;
    /// Removes up to `events` events from the step that contains `at`. Returns the number removed.
    auto remove(std::int64_t events, Microseconds at) -> std::int64_t;
    /// Removes the events that are older than `window`.
    auto expire(Microseconds window, Microseconds now) -> void;
    /// All events that have not been removed.
    [[nodiscard]] auto total() const -> std::int64_t { return total_; }
    /// total() broken down by age: element i counts the events between i and i + 1 times `ageStep` old.
    /// Ages are rounded down; trailing zeros are omitted.
    [[nodiscard]] auto countsByAge(Microseconds ageStep, Microseconds now) const -> std::vector<std::int64_t>;

  private:
    [[nodiscard]] auto stepEnd(Microseconds at) const -> Microseconds;

    Microseconds step_;
    std::map<Microseconds, std::int64_t> eventsByStepEnd_;
    std::int64_t total_ = 0;
};

}  // namespace duneturn
