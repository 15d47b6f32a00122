#pragma once
// What the leader does with an operator's request before it is logged: validates it, and makes a whole
// configuration of a patch, so that what is logged can be applied without any further check.
#include <string>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "state/command.hpp"
#include "state/outcome.hpp"

namespace duneturn {

class ReplicatedState;

/// Why a command is not put into the log.
struct OrderRefusal : Outcome {
    bool dependsOnState = false;  // on another state the same command might be accepted
};

/// The command of an operator's request, or its refusal. `operation` names the command ("config",
/// "merge", "empty", "give-back", "book", "cancel", "fire", "roster"), `key` is its idempotency key, `body`
/// its JSON as the operator sent it, `wall` the calendar time.
[[nodiscard]] auto prepareCommand(const ReplicatedState& state, const std::string& operation,
    const std::string& key, const std::string& body, Microseconds wall)
    -> tl::expected<LoggedCommand, OrderRefusal>;
/// The same as the text of a log entry that every version reads.
[[nodiscard]] auto orderPrepare(const ReplicatedState& state, const std::string& operation,
    const std::string& key, const std::string& body, Microseconds wall)
    -> tl::expected<std::string, OrderRefusal>;

}  // namespace duneturn
