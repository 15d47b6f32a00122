#pragma once
// How many requests of a tenant a node may expect, from those that came lately.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// Two averages that decay exponentially: a short one for many requests, a long one for few.
class DemandEstimate {
  public:
    auto noteRequest(Microseconds now) -> void;
    /// How many tokens cover the requests until more can be granted, with a margin for their variance.
    [[nodiscard]] auto wantedTokens(Microseconds now) const -> std::int64_t;

  private:
    [[nodiscard]] auto decayed(double count, Microseconds time, Microseconds now) const -> double;

    double short_ = 0, long_ = 0;  // requests, each weighted by its age
    Microseconds notedAt_ = 0;
};

}  // namespace duneturn
