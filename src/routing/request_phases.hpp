#pragma once
// The state machine of a request's phases: queued, sending, delivering, migrating, finished.
#include "base/counters.hpp"
#include "routing/request.hpp"

namespace duneturn {

/// An event that moves a request from one phase to another.
enum class PhaseEvent {
    AttemptStarted,
    BytesForwarded,  ///< A part of the response was forwarded to the client.
    AttemptLost,     ///< The current attempt ended without a complete response.
    Requeued,        ///< No server can take the request now; it waits in a queue.
    RequestEnded,
};
/// Applies an event to the request's phase. A transition that is not in the table leaves the phase as it is
/// and is counted in illegal_transitions_total.
auto applyPhaseEvent(Request& request, Counters& counters, PhaseEvent event) -> void;

}  // namespace duneturn
