#include "routing/prompt_demand.hpp"

#include <algorithm>
#include <cmath>

namespace duneturn {
namespace {

constexpr auto MEMORY = 10 * SECOND;      // after which a request counts for 1/e
constexpr auto CLASSES_PER_OCTAVE = 2.0;  // of prompt length
constexpr auto DECAY_STEP = SECOND / 4;   // the sums are not decayed more often
constexpr auto SHORTEST_SPAN = SECOND;    // over which a rate is taken

}  // namespace

auto PromptDemand::classOf(std::int64_t tokens) -> std::size_t {
    if (tokens <= 1) return 0;
    return std::min(CLASSES - 1, std::size_t(CLASSES_PER_OCTAVE * std::log2(double(tokens))));
}

auto PromptDemand::leastTokens(std::size_t promptClass) -> std::int64_t {
    return std::int64_t(std::ceil(std::exp2(double(promptClass) / CLASSES_PER_OCTAVE)));
}

auto PromptDemand::recordRequest(const std::string& region, std::int64_t tokens, Microseconds now) -> void {
    if (!startedAt_) startedAt_ = decayedAt_ = now;
    if (now - decayedAt_ >= DECAY_STEP) decayTo(now);
    loads_[region][classOf(tokens)].requests += 1;
}

auto PromptDemand::recordHold(const std::string& region, std::int64_t tokens, Microseconds taken) -> void {
    loads_[region][classOf(tokens)].running += double(taken) / double(SECOND);
}

auto PromptDemand::load(const std::string& region, std::size_t promptClass, Microseconds now) const
    -> PromptLoad {
    auto found = loads_.find(region);
    if (found == loads_.end()) return {};
    auto& sum = found->second.at(promptClass);
    // A sum that has decayed since its beginning covers this many seconds of undecayed requests.
    auto elapsed = double(std::max(SHORTEST_SPAN, now - startedAt_));
    auto span = double(MEMORY) * (1 - std::exp(-elapsed / double(MEMORY))) / double(SECOND);
    auto factor = decayFactor(now) / span;
    return {sum.requests * factor, sum.running * factor};
}

auto PromptDemand::regions() const -> std::vector<std::string> {
    auto names = std::vector<std::string>();
    for (auto& [region, classes] : loads_) names.push_back(region);
    return names;
}

auto PromptDemand::decayTo(Microseconds now) -> void {
    auto factor = decayFactor(now);
    decayedAt_ = now;
    for (auto& [region, classes] : loads_)
        for (auto& load : classes) load = {load.requests * factor, load.running * factor};
}

auto PromptDemand::decayFactor(Microseconds now) const -> double {
    return std::exp(-double(now - decayedAt_) / double(MEMORY));
}

}  // namespace duneturn
