#include "quota/demand_estimate.hpp"

#include <cmath>

namespace duneturn {
namespace {

constexpr Microseconds SHORT_TIME = 2 * SECOND;
constexpr Microseconds LONG_TIME = 20 * SECOND;
/// How long a stock has to last: a report's interval and its way there and back.
constexpr double STOCK_SECONDS = 0.7;
/// From so many requests in the long time on, one token is worth holding.
constexpr double LEAST_REQUESTS = 0.5;
/// From so many requests a second on more than one.
constexpr double MANY_PER_SECOND = 1;

}  // namespace

auto DemandEstimate::decayed(double count, Microseconds time, Microseconds now) const -> double {
    return count * std::exp(-double(now - notedAt_) / double(time));
}

auto DemandEstimate::noteRequest(Microseconds now) -> void {
    short_ = decayed(short_, SHORT_TIME, now) + 1;
    long_ = decayed(long_, LONG_TIME, now) + 1;
    notedAt_ = now;
}

auto DemandEstimate::wantedTokens(Microseconds now) const -> std::int64_t {
    auto perSecond = decayed(short_, SHORT_TIME, now) * double(SECOND) / double(SHORT_TIME);
    if (perSecond < MANY_PER_SECOND) return decayed(long_, LONG_TIME, now) >= LEAST_REQUESTS ? 1 : 0;
    auto expected = perSecond * STOCK_SECONDS;
    return std::int64_t(std::ceil(expected + std::sqrt(expected)));
}

}  // namespace duneturn
