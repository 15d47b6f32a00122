#include "membership/membership_protocol.hpp"

#include "base/settings.hpp"
#include "base/time.hpp"

namespace duneturn {

auto MembershipProtocol::refreshOwnRecord() -> void {
    auto& own = context_.members.own();
    own.blank = true;
    if (auto& voter = context_.voter) {
        own.disk = voter->disk();
        own.blank = voter->blank();
        own.term = voter->term();
        own.leader = voter->leads();
    }
    own.epoch = context_.state.epoch;
    own.stateVersion = context_.state.version;
    own.marks.clear();
    completeOwnRecord();
}

auto MembershipProtocol::ready(Microseconds now) const -> bool {
    if (context_.members.own().stopping || !withinLease(now) || context_.state.configVersion() == 0)
        return false;
    return context_.directory.anyUp();
}

auto orderRetry(const Settings& settings) -> OrderRetry {
    if (!settings.gossip) return {};
    return {250 * MILLISECOND, 250 * MILLISECOND, true};
}

}  // namespace duneturn
