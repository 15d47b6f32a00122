#include "membership/failure_detector.hpp"

#include "base/settings.hpp"
#include "base/time.hpp"

namespace duneturn {

auto failureTimeouts(const Settings& settings) -> FailureTimeouts {
    auto timeouts = FailureTimeouts();
    if (settings.gossip) timeouts.heartbeat = GOSSIP_HEARTBEAT;
    if (settings.heartbeat) timeouts.heartbeat = settings.heartbeat;
    if (settings.gossip) {
        timeouts.alive = timeouts.heartbeat * 7 / 2 + 250 * MILLISECOND;
        timeouts.late = timeouts.heartbeat * 2 + 250 * MILLISECOND;
    }
    return timeouts;
}

}  // namespace duneturn
