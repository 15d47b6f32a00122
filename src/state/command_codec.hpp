#pragma once
// The JSON of commands as the log and the schedule hold it. The names of members are the stored format:
//   {"key", "op": "config", "base", "config"}
//   {"key", "op": "empty" | "give-back", "revision" (optional), "district", "at"}
//   {"key", "op": "book", "when", "move"}
//   {"key", "op": "cancel" | "fire", "move", "at"}
//   {"key", "op": "roster", "node", "add"}
#include <optional>
#include <string>

#include "base/json.hpp"
#include "state/command.hpp"

namespace duneturn {

/// An entry's text.
[[nodiscard]] auto encodeCommand(const LoggedCommand& entry) -> std::string;
/// Reads an entry; none if it is no JSON object.
[[nodiscard]] auto decodeCommand(const std::string& text) -> std::optional<LoggedCommand>;
/// Reads the command of an entry or of a scheduled operation. Members that are missing, or of another
/// type, count as empty.
[[nodiscard]] auto readCommand(const rapidjson::Value& object) -> Command;

}  // namespace duneturn
