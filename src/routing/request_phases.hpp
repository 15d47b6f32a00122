#pragma once
// What may follow what in a request: queued, sending, delivering, migrating, finished.
#include "base/counters.hpp"
#include "routing/request.hpp"

namespace duneturn {

/// What moves a request from one phase to another.
enum class PhaseEvent { Send, Bytes, Loss, Wait, End };
/// Applies an event. What the table of phases does not allow is counted, never done in silence.
auto turn(Request& request, Counters& counters, PhaseEvent event) -> void;

}  // namespace duneturn
