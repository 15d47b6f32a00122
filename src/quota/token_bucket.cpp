#include "quota/token_bucket.hpp"

#include <algorithm>

namespace duneturn {

auto TokenBucket::configure(double ratePerSecond, double capacity, Microseconds now) -> void {
    refill(now);
    auto deficit = capacity_ - level_;
    ratePerSecond_ = ratePerSecond;
    capacity_ = capacity;
    level_ = capacity - deficit;
}

auto TokenBucket::refill(Microseconds now) -> void {
    auto seconds = double(std::max<Microseconds>(now - refilledAt_, 0)) / double(SECOND);
    level_ = std::min(capacity_, level_ + ratePerSecond_ * seconds);
    refilledAt_ = std::max(refilledAt_, now);
}

auto TokenBucket::refund(std::int64_t tokens) -> void {
    level_ = std::min(capacity_, level_ + double(tokens));
}

}  // namespace duneturn
