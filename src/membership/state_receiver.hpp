#pragma once
// Receives the replicated state from other nodes, as the complete state or as steps from a version on.
#include <functional>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "membership/membership_protocol.hpp"
#include "membership/node_context.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// The receiving side of the dissemination of the replicated state.
class StateReceiver {
  public:
    /// Adopts a newer state on this node. `change`: the steps that led to it; null if it was sent complete.
    using Adopt = std::function<void(const ReplicatedState& state, const wire::StateChange* change)>;

    /// `context` and `protocol` must outlive this object.
    StateReceiver(NodeContext& context, MembershipProtocol& protocol, Adopt adopt)
        : context_(context), protocol_(protocol), adopt_(std::move(adopt)) {}

    /// Adopts a complete state if it is newer.
    auto handleFullState(const wire::ReplicatedState& message, Microseconds now) -> void;
    /// Applies steps to the state held and adopts the result. `from`: the sending node, from which missing
    /// steps or the complete state are requested.
    auto handleChange(const wire::StateChange& message, const std::string& from, Microseconds now) -> void;

  private:
    /// Why steps were not applied.
    enum class ChangeFault {
        Gap,            // the steps start after the version held, or in another epoch
        DoesNotFit,     // a step could not be applied or gave another version than stated
        DigestDiffers,  // the result differs from the state of the sending node
    };

    [[nodiscard]] auto isVoter() const -> bool { return context_.voter && !context_.voter->blank(); }
    /// The state that steps are applied to: the newest known one.
    [[nodiscard]] auto held() const -> const ReplicatedState& {
        return isVoter() ? context_.newestKnownState() : context_.state;
    }
    [[nodiscard]] auto shouldHandle(StateVersion version) const -> bool;
    auto receiveAsVoter(const ReplicatedState& state, const wire::StateChange* change, Microseconds now)
        -> void;
    auto adoptBeforeLog(const ReplicatedState& state, const wire::StateChange* change, Microseconds now)
        -> void;
    /// Returns the state that results from applying the steps to the one held.
    [[nodiscard]] auto apply(const wire::StateChange& message) const
        -> tl::expected<ReplicatedState, ChangeFault>;
    auto requestMissing(ChangeFault fault, const std::string& from, Microseconds now) -> void;

    NodeContext& context_;
    MembershipProtocol& protocol_;
    Adopt adopt_;
    Microseconds nextFullRequestAt_ = 0;
};

}  // namespace duneturn
