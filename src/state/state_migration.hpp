#pragma once
// Stored states of earlier formats. Members that came later are added, so that the codec reads one format:
//   acceptedChanges, refusals     formerly one list `outcomes` of all outcomes, 256 at most
//   zoneRevisions, ...Floor       formerly zones had no revisions
#include <array>
#include <optional>

#include "base/json.hpp"
#include "state/accepted_changes.hpp"

namespace duneturn {

/// The members of a state's document, in the order in which a new state has them.
inline constexpr auto STATE_MEMBERS =
    std::array{"reign", "generation", "configGeneration", "config", "empties", "plan", "roster", "voters",
        "outcomes", "acceptedChanges", "refusals", "zoneRevisions", "zoneRevisionFloor"};

/// Brings a document to the present format; false if it is no state of any format.
[[nodiscard]] auto migrateState(rapidjson::Document& document) -> bool;

/// The memory of accepted changes; none if it is malformed or does not reach the version of the
/// configuration.
[[nodiscard]] auto readAcceptedChanges(const rapidjson::Value& document) -> std::optional<AcceptedChanges>;

}  // namespace duneturn
