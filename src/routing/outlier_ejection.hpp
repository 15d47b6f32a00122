#pragma once
// Outlier ejection of one server: after failures and slow answers other servers are preferred for a while.
// It is only a preference: where no healthy server is left, an unhealthy one is used.
#include <algorithm>

#include "base/time.hpp"

namespace duneturn {

/// The health score runs from 0 (failing) to 1 (healthy). Each failure multiplies it by a factor, each
/// success adds 0.1, and it recovers linearly over HEALTH_RECOVERY_TIME. A server that refuses or resets
/// connections is ejected in addition: other servers are preferred for half a second, and for twice as long,
/// up to 4 s, with each further ejection that follows without an answer in between.
class OutlierEjection {
  public:
    /// The time in which a health score of 0 recovers to 1 without any request.
    static constexpr Microseconds HEALTH_RECOVERY_TIME = 20 * SECOND;

    [[nodiscard]] auto healthScore(Microseconds now) const -> double {
        return std::min(1.0, healthScore_ + double(now - healthScoreAt_) / double(HEALTH_RECOVERY_TIME));
    }
    /// Records a failure: multiplies the health score by `factor`, which is below 1.
    auto lowerHealthScore(double factor, Microseconds now) -> void {
        healthScore_ = healthScore(now) * factor;
        healthScoreAt_ = now;
    }
    /// Records a success.
    auto raiseHealthScore(Microseconds now) -> void {
        healthScore_ = std::min(1.0, healthScore(now) + SUCCESS_BONUS);
        healthScoreAt_ = now;
    }
    /// Ejects the server, for twice as long as the last time unless it has answered since.
    auto eject(Microseconds now) -> void {
        ejectedUntil_ =
            now + std::min(MAX_EJECTION_TIME, BASE_EJECTION_TIME << std::min(consecutiveEjections_, 3));
        consecutiveEjections_++;
    }
    /// Resets the ejection backoff; called when the server has answered.
    auto clearEjections() -> void { consecutiveEjections_ = 0; }
    /// Whether the server was ejected and has not answered since.
    [[nodiscard]] auto wasEjected() const -> bool { return consecutiveEjections_ > 0; }
    [[nodiscard]] auto ejectedUntil() const -> Microseconds { return ejectedUntil_; }

  private:
    static constexpr Microseconds BASE_EJECTION_TIME = 500 * MILLISECOND;
    static constexpr Microseconds MAX_EJECTION_TIME = 4 * SECOND;
    static constexpr double SUCCESS_BONUS = 0.1;

    double healthScore_ = 1;
    Microseconds healthScoreAt_ = 0;  // when healthScore_ was computed; it has recovered further since
    Microseconds ejectedUntil_ = 0;
    int consecutiveEjections_ = 0;
};

}  // namespace duneturn
