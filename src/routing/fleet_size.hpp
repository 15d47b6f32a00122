#pragma once
// How many nodes share what the fleet may do together.
#include <algorithm>
#include <cstddef>

#include "base/time.hpp"
#include "membership/node.hpp"

namespace duneturn {

/// All nodes that were known lately count, so that a part of the fleet that is cut off takes no more
/// than its part of budgets and of cold servers.
class FleetSize {
  public:
    explicit FleetSize(const Node& node) : node_(node) {}

    /// The number of nodes, this one included.
    [[nodiscard]] auto nodes() const -> std::size_t {
        return std::max({node_.nodes().size() + 1, rosterSize_, most_});
    }
    /// Whether this node has run for long enough to know the others.
    [[nodiscard]] auto settled(Microseconds now) const -> bool {
        return startedAt_ && now - startedAt_ >= SETTLING;
    }
    /// Called before anything else; the first call counts.
    auto start(Microseconds now) -> void {
        if (!startedAt_) startedAt_ = now;
    }
    auto tick(Microseconds now) -> void {
        auto known = node_.nodes().size() + 1;
        if (known < most_ && now - mostAt_ <= MOST_HOLDS) return;
        most_ = known;
        mostAt_ = now;
    }
    /// The nodes that the configuration names.
    auto setRosterSize(std::size_t size) -> void { rosterSize_ = size; }

  private:
    static constexpr Microseconds SETTLING = 3 * SECOND;
    static constexpr Microseconds MOST_HOLDS = 120 * SECOND;  // how long a greater number is remembered

    const Node& node_;
    std::size_t rosterSize_ = 0, most_ = 0;
    Microseconds mostAt_ = 0, startedAt_ = 0;
};

}  // namespace duneturn
