#pragma once
// Takes the replicated state that other nodes send, whole or as steps from the version held here on.
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

class StateReceiver {
  public:
    /// Takes a newer state in this node's name; `change`: the steps that led to it, null if it came whole.
    using Adopt = std::function<void(const ReplicatedState& state, const wire::StateChange* change)>;

    /// `context` and `protocol` outlive this object.
    StateReceiver(NodeContext& context, MembershipProtocol& protocol, Adopt adopt)
        : context_(context), protocol_(protocol), adopt_(std::move(adopt)) {}

    auto handleWhole(const wire::ReplicatedState& message, Microseconds now) -> void;
    /// `from`: the node that sent the message, which is asked for what is missing here.
    auto handleChange(const wire::StateChange& message, const std::string& from, Microseconds now) -> void;

  private:
    /// Why steps were not applied.
    enum class ChangeFault { Gap, DoesNotFit, DigestDiffers };

    [[nodiscard]] auto isVoter() const -> bool { return context_.voter && !context_.voter->blank(); }
    /// What steps are applied to: the newest state known here.
    [[nodiscard]] auto held() const -> const ReplicatedState& {
        return isVoter() ? context_.newestKnownState() : context_.state;
    }
    [[nodiscard]] auto isNews(StateVersion version) const -> bool;
    auto takeAsVoter(const ReplicatedState& state, const wire::StateChange* change, Microseconds now) -> void;
    auto actBeforeLog(const ReplicatedState& state, const wire::StateChange* change, Microseconds now)
        -> void;
    /// The state that the steps make of the one held here.
    [[nodiscard]] auto apply(const wire::StateChange& message) const
        -> tl::expected<ReplicatedState, ChangeFault>;
    auto askForMissing(ChangeFault fault, const std::string& from, Microseconds now) -> void;

    NodeContext& context_;
    MembershipProtocol& protocol_;
    Adopt adopt_;
    Microseconds nextWholeRequestAt_ = 0;
};

}  // namespace duneturn
