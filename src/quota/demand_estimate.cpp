#include "quota/demand_estimate.hpp"

#include <cmath>

namespace duneturn {
namespace {

constexpr Microseconds SHORT_TIME_CONSTANT = 2 * SECOND;
constexpr Microseconds LONG_TIME_CONSTANT = 20 * SECOND;
/// The time that prefetched tokens have to cover: one report interval and a round trip to the granter.
constexpr double PREFETCH_SECONDS = 0.7;
/// From this request rate on, the expected demand is prefetched; below it, at most one token.
constexpr double MIN_RATE_PER_SECOND = 1;
/// Below MIN_RATE_PER_SECOND, one token is prefetched if the long-term count reaches this value.
constexpr double MIN_LONG_TERM_COUNT = 0.5;

}  // namespace

auto DemandEstimate::decayed(double count, Microseconds timeConstant, Microseconds now) const -> double {
    return count * std::exp(-double(now - updatedAt_) / double(timeConstant));
}

auto DemandEstimate::recordRequest(Microseconds now) -> void {
    shortTermCount_ = decayed(shortTermCount_, SHORT_TIME_CONSTANT, now) + 1;
    longTermCount_ = decayed(longTermCount_, LONG_TIME_CONSTANT, now) + 1;
    updatedAt_ = now;
}

auto DemandEstimate::prefetchTarget(Microseconds now) const -> std::int64_t {
    auto ratePerSecond =
        decayed(shortTermCount_, SHORT_TIME_CONSTANT, now) * double(SECOND) / double(SHORT_TIME_CONSTANT);
    if (ratePerSecond < MIN_RATE_PER_SECOND)
        return decayed(longTermCount_, LONG_TIME_CONSTANT, now) >= MIN_LONG_TERM_COUNT ? 1 : 0;
    auto expectedRequests = ratePerSecond * PREFETCH_SECONDS;
    return std::int64_t(std::ceil(expectedRequests + std::sqrt(expectedRequests)));
}

}  // namespace duneturn
