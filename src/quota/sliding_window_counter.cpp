#include "quota/sliding_window_counter.hpp"

#include <algorithm>
#include <cstddef>

namespace duneturn {

auto SlidingWindowCounter::stepEnd(Microseconds at) const -> Microseconds {
    auto steps = at / step_ + (at % step_ > 0 ? 1 : 0);
    return steps * step_;
}

auto SlidingWindowCounter::add(std::int64_t events, Microseconds at) -> void {
    if (events <= 0) return;
    events_[stepEnd(at)] += events;
    total_ += events;
}

auto SlidingWindowCounter::remove(std::int64_t events, Microseconds at) -> std::int64_t {
    auto found = events_.find(stepEnd(at));
    if (found == events_.end() || events <= 0) return 0;
    auto removed = std::min(events, found->second);
    found->second -= removed;
    if (found->second == 0) events_.erase(found);
    total_ -= removed;
    return removed;
}

auto SlidingWindowCounter::expire(Microseconds window, Microseconds now) -> void {
    while (!events_.empty() && events_.begin()->first + window < now) {
        total_ -= events_.begin()->second;
        events_.erase(events_.begin());
    }
}

auto SlidingWindowCounter::ages(Microseconds ageStep, Microseconds now) const -> std::vector<std::int64_t> {
    auto counts = std::vector<std::int64_t>();
    for (auto& [at, events] : events_) {
        auto age = std::size_t(std::max<Microseconds>(now - at, 0) / ageStep);
        if (counts.size() <= age) counts.resize(age + 1);
        counts[age] += events;
    }
    return counts;
}

}  // namespace duneturn
