#pragma once
// The JSON document of a replicated state, as it is stored and sent. The names of members are the stored
// format, and are mapped to the typed state here only:
//   "reign", "generation"           epoch and version of the state
//   "configGeneration", "config"    the configuration and its version
//   "empties"                       {zone: since when it is evacuated}
//   "plan"                          the schedule, [{"id", "at", "state", "move", "fired"}...]
//   "roster"                        [node...]
//   "voters"                        [{"seat", "disk"}...]
//   "outcomes", "refusals"          outcomes of requests, [{"key", "status", "body", "base"}...]
//   "acceptedChanges"               {"forgottenGeneration", "forgottenVersion", "records"}
//   "zoneRevisions"                 {zone: revision}
//   "zoneRevisionFloor"             a bound of the revisions that are forgotten
#include <optional>
#include <string>

#include "state/replicated_state.hpp"

namespace duneturn {

class StateCodec {
  public:
    [[nodiscard]] static auto write(const ReplicatedState& state) -> std::string;
    /// Only one member of the document, as operators read it.
    [[nodiscard]] static auto writeEvacuations(const ReplicatedState& state) -> std::string;
    [[nodiscard]] static auto writeSchedule(const ReplicatedState& state) -> std::string;

    /// Reads a state of this format or an earlier one (state_migration.hpp); none if it is neither.
    [[nodiscard]] static auto read(const std::string& text) -> std::optional<ReplicatedState>;

  private:
    class Writer;
};

}  // namespace duneturn
