#pragma once
// The steps that made the newest versions of the replicated state, kept so that a node which holds a recent
// version is sent these and not the whole state.
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "membership/membership_table.hpp"
#include "wire_types.h"

namespace duneturn {

/// The newest steps of one epoch, without a gap. Older ones are dropped beyond MAX_STEPS and MAX_BYTES.
class StateHistory {
  public:
    static constexpr std::size_t MAX_STEPS = 1024;
    /// Of the bodies. The whole state of a large configuration, compressed, is about as long.
    static constexpr std::size_t MAX_BYTES = std::size_t(128) << 10;

    /// Adds the step that made `step.version` in `epoch`. One that does not follow the newest one, or is of
    /// another epoch, takes the place of all that was kept; one that is not newer is passed over.
    auto record(std::int64_t epoch, const wire::StateStep& step) -> void;
    /// The steps from `base` up to the newest version; none if they are not all kept, or there are none.
    [[nodiscard]] auto since(StateVersion base) const -> std::optional<std::vector<wire::StateStep>>;

  private:
    auto restart(StateVersion base) -> void;

    StateVersion base_;  // the version before the first step
    std::deque<wire::StateStep> steps_;
    std::size_t bytes_ = 0;
};

}  // namespace duneturn
