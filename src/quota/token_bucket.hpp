#pragma once
// A token bucket whose level may fall below zero.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// A token bucket (Turner, "New directions in communications", 1986). charge() always succeeds and may take
/// the level below zero, so that tokens used without a prior check are paid back by later refills.
class TokenBucket {
  public:
    /// Sets the rate and the capacity. A new bucket starts full; one that is reconfigured keeps its distance
    /// from full.
    auto configure(double ratePerSecond, double capacity, Microseconds now) -> void;
    /// Adds the tokens accrued since the last refill. A `now` before the last refill adds none.
    auto refill(Microseconds now) -> void;
    auto charge(std::int64_t tokens) -> void { level_ -= double(tokens); }
    /// Puts tokens back, up to the capacity.
    auto refund(std::int64_t tokens) -> void;
    /// Whole tokens left as of the last refill; 0 if the level is below one.
    [[nodiscard]] auto available() const -> std::int64_t { return level_ < 1 ? 0 : std::int64_t(level_); }
    /// Whether the level is below this fraction of the capacity.
    [[nodiscard]] auto isBelow(double fraction) const -> bool { return level_ < capacity_ * fraction; }
    [[nodiscard]] auto level() const -> double { return level_; }

  private:
    double ratePerSecond_ = 0, capacity_ = 0, level_ = 0;
    Microseconds refilledAt_ = 0;
};

}  // namespace duneturn
