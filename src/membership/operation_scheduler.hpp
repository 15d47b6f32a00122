#pragma once
// Begins planned operations when they are due. The due time is compared with the median of the living nodes'
// calendar clocks, so that one clock that jumped begins nothing. That an operation begins once only is
// settled in the replicated log, by the operation's own state.
#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

class OperationScheduler {
  public:
    /// On a leader: proposes the first operation that is due. `wall`: this node's calendar time.
    auto tick(NodeContext& context, Microseconds wall, Microseconds now) -> void;

  private:
    Microseconds lastProposedAt_ = 0;
};

}  // namespace duneturn
