#pragma once
// The steps that led to the newest versions of the replicated state. They are kept so that a node that holds
// a recent version can be sent the steps instead of the complete state.
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "membership/membership_table.hpp"
#include "wire_types.h"

namespace duneturn {

/// The newest steps of one epoch, without gaps. The oldest are dropped beyond MAX_STEPS or MAX_BYTES.
class StateHistory {
  public:
    static constexpr std::size_t MAX_STEPS = 1024;
    /// Limit on the total size of the bodies; about the compressed size of the complete state with a large
    /// configuration.
    static constexpr std::size_t MAX_BYTES = std::size_t(128) << 10;

    /// Adds the step that produced `step.version` in `epoch`. A step that does not follow the newest one, or
    /// is of another epoch, replaces the whole history. A step that is not newer is ignored.
    auto record(std::int64_t epoch, const wire::StateStep& step) -> void;
    /// Returns the steps from `base` to the newest version; empty if some of them have been dropped or there
    /// are none.
    [[nodiscard]] auto since(StateVersion base) const -> std::optional<std::vector<wire::StateStep>>;

  private:
    auto restart(StateVersion base) -> void;

    StateVersion base_;  // the version that the first step builds on
    std::deque<wire::StateStep> steps_;
    std::size_t bytes_ = 0;
};

}  // namespace duneturn
