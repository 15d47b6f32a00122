#pragma once
// A token bucket whose level may fall below zero, so that what was used unasked is made up for later.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// Turner, "New directions in communications", 1986.
class TokenBucket {
  public:
    /// A bucket that is new is full; a changed one keeps what it lacks.
    auto configure(double ratePerSecond, double capacity, Microseconds now) -> void;
    auto refill(Microseconds now) -> void;
    auto charge(std::int64_t tokens) -> void { level_ -= double(tokens); }
    auto refund(std::int64_t tokens) -> void;
    /// Whole tokens left; 0 if there are none.
    [[nodiscard]] auto available() const -> std::int64_t { return level_ < 1 ? 0 : std::int64_t(level_); }
    [[nodiscard]] auto isBelow(double part) const -> bool { return level_ < capacity_ * part; }
    [[nodiscard]] auto level() const -> double { return level_; }

  private:
    double rate_ = 0, capacity_ = 0, level_ = 0;
    Microseconds refilledAt_ = 0;
};

}  // namespace duneturn
