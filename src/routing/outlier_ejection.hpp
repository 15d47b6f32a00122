#pragma once
// Outlier ejection of one server: failures and slowness make it unfit for a while, so that others are
// preferred. It is a preference and no ban: where no other server is left, an unfit one is used.
#include <algorithm>

#include "base/time.hpp"

namespace duneturn {

/// Fitness runs from 0 to 1 (sound). Each failure multiplies it, each success adds a little, and it
/// recovers by itself within FITNESS_RECOVERY. An ejection is the harder measure for a server that does
/// not connect or breaks off: it is left alone for half a second, twice as long each time that it
/// follows without an answer between.
class OutlierEjection {
  public:
    /// The time in which a server of healthScore 0 is sound again by itself.
    static constexpr Microseconds FITNESS_RECOVERY = 20 * SECOND;

    [[nodiscard]] auto healthScore(Microseconds now) const -> double {
        return std::min(1.0, fitness_ + double(now - fitnessAt_) / double(FITNESS_RECOVERY));
    }
    /// A failure: the healthScore is multiplied by `factor`, which is below 1.
    auto lowerHealthScore(double factor, Microseconds now) -> void {
        fitness_ = healthScore(now) * factor;
        fitnessAt_ = now;
    }
    /// A success.
    auto raiseHealthScore(Microseconds now) -> void {
        fitness_ = std::min(1.0, healthScore(now) + 0.1);
        fitnessAt_ = now;
    }
    auto eject(Microseconds now) -> void {
        ejectedUntil_ = now + std::min(LONGEST_EJECTION, FIRST_EJECTION << std::min(ejections_, 3));
        ejections_++;
    }
    /// The server answered.
    auto clearEjections() -> void { ejections_ = 0; }
    /// Whether it was ejected since it last answered.
    [[nodiscard]] auto wasEjected() const -> bool { return ejections_ > 0; }
    [[nodiscard]] auto ejectedUntil() const -> Microseconds { return ejectedUntil_; }

  private:
    static constexpr Microseconds FIRST_EJECTION = 500 * MILLISECOND;
    static constexpr Microseconds LONGEST_EJECTION = 4 * SECOND;

    double fitness_ = 1;
    Microseconds fitnessAt_ = 0;
    Microseconds ejectedUntil_ = 0;
    int ejections_ = 0;
};

}  // namespace duneturn
