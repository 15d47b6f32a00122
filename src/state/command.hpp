#pragma once
// The commands that change the replicated state, as operators give them and as the log holds them.
// ReplicatedState::apply carries them out; command_codec.hpp reads and writes their JSON.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/time.hpp"
#include "state/configuration.hpp"
#include "state/json_fragment.hpp"

namespace duneturn {

/// Replaces the whole configuration.
struct ReplaceConfiguration {
    std::shared_ptr<const Configuration> configuration;
};

/// Changes the configuration in part, in the form of config_change.hpp. Replicas before this command read
/// it as unknown, so it is logged only when all voters have stated that they read it (encodeCompact).
struct ChangeConfiguration {
    std::shared_ptr<const JsonFragment> change;
};

/// Evacuates a zone, or ends its evacuation.
struct SetEvacuation {
    std::string zone;
    bool evacuated = false;
    std::optional<std::int64_t> revision;  // the zone's, if the command is void on another one
    Microseconds at = 0;                   // calendar time of the command
};

/// Schedules another command. It is kept as the operator wrote it.
struct ScheduleOperation {
    Microseconds due = 0;  // calendar time
    std::shared_ptr<const JsonFragment> operation;
};

/// Cancels a scheduled operation that has not begun.
struct CancelOperation {
    std::string id;
    Microseconds at = 0;  // calendar time of the command
};

/// Carries out a scheduled operation, which is due.
struct BeginOperation {
    std::string id;
    Microseconds at = 0;  // calendar time of the command
};

/// Adds a node to the roster, or removes it.
struct ChangeRoster {
    std::string node;
    bool add = false;
};

/// A command of a later version, or a malformed one. It is refused alike on every replica.
struct UnknownCommand {
    std::string name;
};

using Command = std::variant<ReplaceConfiguration, ChangeConfiguration, SetEvacuation, ScheduleOperation,
    CancelOperation, BeginOperation, ChangeRoster, UnknownCommand>;

/// A command as an entry of the log holds it.
struct LoggedCommand {
    static constexpr auto NO_BASE = std::int64_t(-1);

    std::string key;              // idempotency key; empty if the command has none
    std::int64_t base = NO_BASE;  // the version of the configuration that it is based on
    Command command;
};

}  // namespace duneturn
