#pragma once
// Begins planned operations when they are due. The due time is compared with the median of the calendar
// clocks of the nodes that are alive, so a single clock that has jumped does not begin an operation. The
// state of the operation in the replicated log ensures that it begins only once.
#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Runs on every core node; only the leader acts.
class OperationScheduler {
  public:
    /// On the leader, proposes the first operation that is due. `wall`: this node's calendar time.
    auto tick(NodeContext& context, Microseconds wall, Microseconds now) -> void;

  private:
    Microseconds lastProposedAt_ = 0;
};

}  // namespace duneturn
