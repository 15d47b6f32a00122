#pragma once
// Estimates from the recent requests of a tenant how many tokens a node should hold in advance.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// Estimates the demand of one tenant at one node by two exponentially decaying request counts: one with a
/// short time constant for frequent requests, one with a long time constant for rare ones.
class DemandEstimate {
  public:
    /// Counts one request. `now` must not decrease between calls.
    auto recordRequest(Microseconds now) -> void;
    /// The number of tokens to hold in advance: the requests expected until more tokens can be granted, plus
    /// one standard deviation of a Poisson process.
    [[nodiscard]] auto prefetchTarget(Microseconds now) const -> std::int64_t;

  private:
    /// `count`, which was valid at `updatedAt_`, as of `now`.
    [[nodiscard]] auto decayed(double count, Microseconds timeConstant, Microseconds now) const -> double;

    double shortTermCount_ = 0, longTermCount_ = 0;  // requests, weighted by age, as of updatedAt_
    Microseconds updatedAt_ = 0;
};

}  // namespace duneturn
