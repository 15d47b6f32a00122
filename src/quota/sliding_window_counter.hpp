#pragma once
// Counts of events within a sliding window of time, in steps.
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// How many events lie within a window that ends now. An event counts until the window after the end of its
/// step: never too short, and at most a step too long.
class SlidingWindowCounter {
  public:
    explicit SlidingWindowCounter(Microseconds step) : step_(step) {}

    auto add(std::int64_t events, Microseconds at) -> void;
    /// Takes back up to so many events of this time; how many there were.
    auto remove(std::int64_t events, Microseconds at) -> std::int64_t;
    /// Forgets what has left the window.
    auto expire(Microseconds window, Microseconds now) -> void;
    /// Events that have not been forgotten.
    [[nodiscard]] auto total() const -> std::int64_t { return total_; }
    /// The same by age, in steps of `ageStep`; without trailing zeros. Ages are rounded down.
    [[nodiscard]] auto ages(Microseconds ageStep, Microseconds now) const -> std::vector<std::int64_t>;

  private:
    [[nodiscard]] auto stepEnd(Microseconds at) const -> Microseconds;

    Microseconds step_;
    std::map<Microseconds, std::int64_t> events_;  // by the end of their step
    std::int64_t total_ = 0;
};

}  // namespace duneturn
