#pragma once
// The number of nodes among which the limits of the whole fleet are divided.
#include <algorithm>
#include <cstddef>

#include "base/time.hpp"
#include "membership/node.hpp"

namespace duneturn {

/// Counts all nodes known within the last two minutes, not only those alive now. So a partition of the fleet
/// uses no more than its nodes' share of retry budgets and of the request rate of cold servers.
class FleetSize {
  public:
    explicit FleetSize(const Node& node) : node_(node) {}

    /// The number of nodes, including this one; at least the roster that the configuration names.
    [[nodiscard]] auto nodes() const -> std::size_t {
        return std::max({node_.nodes().size() + 1, rosterSize_, recentMaximum_});
    }
    /// Whether this node has run long enough (3 s) to have received heartbeats from the others, so that the
    /// number of nodes can be relied on.
    [[nodiscard]] auto settled(Microseconds now) const -> bool {
        return startedAt_ && now - startedAt_ >= SETTLING_TIME;
    }
    /// Sets the start time with the first call; later calls have no effect. Must precede all other calls.
    auto start(Microseconds now) -> void {
        if (!startedAt_) startedAt_ = now;
    }
    /// Updates the recent maximum; called periodically.
    auto tick(Microseconds now) -> void {
        auto known = node_.nodes().size() + 1;
        if (known < recentMaximum_ && now - recentMaximumAt_ <= MAXIMUM_RETENTION) return;
        recentMaximum_ = known;
        recentMaximumAt_ = now;
    }
    /// Sets the number of nodes in the roster of the configuration.
    auto setRosterSize(std::size_t size) -> void { rosterSize_ = size; }

  private:
    static constexpr Microseconds SETTLING_TIME = 3 * SECOND;
    static constexpr Microseconds MAXIMUM_RETENTION = 120 * SECOND;

    const Node& node_;
    std::size_t rosterSize_ = 0, recentMaximum_ = 0;
    Microseconds recentMaximumAt_ = 0, startedAt_ = 0;
};

}  // namespace duneturn
