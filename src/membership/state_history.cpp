#include "membership/state_history.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace duneturn {

auto StateHistory::restart(StateVersion base) -> void {
    base_ = base;
    steps_.clear();
    bytes_ = 0;
}

auto StateHistory::record(std::int64_t epoch, const wire::StateStep& step) -> void {
    auto newest = base_.version + std::int64_t(steps_.size());
    if (epoch == base_.epoch && step.version <= newest) return;
    if (epoch != base_.epoch || step.version != newest + 1) restart({epoch, step.version - 1});
    bytes_ += step.body.size();
    steps_.push_back(step);
    while (steps_.size() > MAX_STEPS || bytes_ > MAX_BYTES) {
        bytes_ -= steps_.front().body.size();
        steps_.pop_front();
        base_.version++;
    }
}

auto StateHistory::since(StateVersion base) const -> std::optional<std::vector<wire::StateStep>> {
    if (base.epoch != base_.epoch || base.version < base_.version) return std::nullopt;
    auto skipped = std::size_t(base.version - base_.version);
    if (skipped >= steps_.size()) return std::nullopt;
    return std::vector(steps_.begin() + std::ptrdiff_t(skipped), steps_.end());
}

}  // namespace duneturn
