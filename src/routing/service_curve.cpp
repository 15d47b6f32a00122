#include "routing/service_curve.hpp"

#include <algorithm>
#include <cmath>

#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto LEAST_SAMPLES = std::size_t(4);  // without which a figure is not known
constexpr auto FASTEST_FACTOR = 0.25;           // of the configured reading time, the least that is believed
constexpr auto SLOWEST_FACTOR = 2.0;            // and the most
constexpr auto MEDIAN = 0.5;
constexpr auto UNDELAYED = 0.25;       // quantile that did not wait for others, even at busy engines
constexpr auto FLOOR_QUANTILE = 0.05;  // of all answers: what an idle engine takes at least

}  // namespace

auto RecentSamples::record(double sample) -> void {
    if (samples_.size() < capacity_) samples_.push_back(sample);
    else samples_[next_] = sample;
    next_ = (next_ + 1) % capacity_;
}

auto RecentSamples::quantile(double share) const -> double {
    if (samples_.empty()) return 0;
    auto sorted = samples_;
    auto at = sorted.begin() + std::ptrdiff_t(share * double(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

auto ServiceCurve::recordFirstByte(std::int64_t promptTokens, Microseconds taken) -> void {
    auto time = double(std::max<Microseconds>(0, taken));
    byClass_[PromptDemand::classOf(promptTokens)].record(time);
    all_.record(time);
}

auto ServiceCurve::learntReadingTime(std::size_t promptClass) const -> double {
    auto known = byClass_.find(promptClass);
    if (known == byClass_.end() || known->second.size() < LEAST_SAMPLES) return 0;
    auto beyondFloor = known->second.quantile(UNDELAYED) - all_.quantile(FLOOR_QUANTILE);
    auto configured = configuredReadingTime(promptClass);
    return std::clamp(beyondFloor, FASTEST_FACTOR * configured, SLOWEST_FACTOR * configured);
}

auto configuredReadingTime(std::size_t promptClass) -> double {
    auto middle = std::sqrt(
        double(PromptDemand::leastTokens(promptClass)) * double(PromptDemand::leastTokens(promptClass + 1)));
    return middle / PROMPT_TOKENS_PER_MICROSECOND;
}

auto RegionLatency::recordConnect(const std::string& region, Microseconds taken) -> void {
    byRegion_[region].record(double(taken));
}

auto RegionLatency::roundTrip(const std::string& region) const -> double {
    auto known = byRegion_.find(region);
    if (known == byRegion_.end() || known->second.size() < LEAST_SAMPLES) return 0;
    return known->second.quantile(MEDIAN);
}

}  // namespace duneturn
