#pragma once
// Runs of the quota simulation in which random faults are injected.
#include <cstdint>
#include <string>
#include <vector>

#include "quota/quota_simulation.hpp"

namespace duneturn {

/// The kinds of faults and changes that are injected.
enum class InjectedFault {
    RestartNode,
    RestartVoter,
    FreezeNode,
    FreezeLeader,
    IsolateNode,
    IsolateNodeForLong,
    PartitionLinks,
    ElectAnother,
    SplitFromLeader,
    ChangeTenant,
};
constexpr auto INJECTED_FAULT_KINDS = 10;

/// What a run found.
struct FaultRunOutcome {
    std::vector<std::string> boundViolations, invariantViolations;
    std::int64_t requestsRun = 0;  ///< Requests that reached servers, over all tenants.
};

/// Random settings: a few nodes and tenants, some of whose clients send more than the tenant's limit allows.
[[nodiscard]] auto faultRunSettings(std::uint64_t seed) -> QuotaSimulationSettings;
/// Runs a simulation for 60 s with a fault every few seconds or more often. `kinds`: the kinds that are
/// injected; if empty, a random selection.
[[nodiscard]] auto runWithFaults(
    const QuotaSimulationSettings& settings, std::vector<InjectedFault> kinds = {}) -> FaultRunOutcome;

}  // namespace duneturn
