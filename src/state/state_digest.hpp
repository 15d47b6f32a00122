#pragma once
// A digest by which two nodes compare what they hold of the replicated state.
#include <cstdint>

#include "state/replicated_state.hpp"

namespace duneturn {

/// 64 bits that are the same for the same configuration, evacuations, schedule, roster and voters at the same
/// epoch and version. Outcomes of requests are left out: refusals do not raise the version, so two nodes of
/// the same version may know different ones.
[[nodiscard]] auto stateDigest(const ReplicatedState& state) -> std::uint64_t;

}  // namespace duneturn
