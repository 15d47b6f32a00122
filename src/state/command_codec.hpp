#pragma once
// The JSON of commands as the log and the schedule hold it. The names of members are the stored format:
//   {"key", "op": "config", "base", "config"}
//   {"key", "op": "change", "base", "change"}       a part of the configuration (config_change.hpp)
//   {"key", "op": "empty" | "give-back", "revision" (optional), "district", "at"}
//   {"key", "op": "book", "when", "move"}
//   {"key", "op": "cancel" | "fire", "move", "at"}
//   {"key", "op": "roster", "node", "add"}
#include <optional>
#include <string>

#include "base/json.hpp"
#include "state/command.hpp"

namespace duneturn {

class ReplicatedState;

/// Which programs can read an entry of the log.
enum class EntryForm {
    Document,  // JSON that every version reads; a configuration stands in it whole
    Compact,   // a part of a configuration, or compressed: not read by versions before this form
};

/// An entry as the log holds it.
struct EncodedCommand {
    std::string body;
    EntryForm form = EntryForm::Document;
};

/// An entry's text.
[[nodiscard]] auto encodeCommand(const LoggedCommand& entry) -> std::string;
/// The shortest entry of a command. A configuration that replaces the one of `state` is logged as the change
/// between the two where that is shorter, and long text is compressed (one byte 'Z', then zlib's format).
/// `state`: the one that the entry will be applied to, if no other change comes between.
[[nodiscard]] auto encodeCompact(const ReplicatedState& state, const LoggedCommand& entry) -> EncodedCommand;
/// Reads an entry of either form; none if it is malformed.
[[nodiscard]] auto decodeCommand(const std::string& entry) -> std::optional<LoggedCommand>;
/// Reads the command of an entry or of a scheduled operation. Members that are missing, or of another
/// type, count as empty.
[[nodiscard]] auto readCommand(const rapidjson::Value& object) -> Command;

}  // namespace duneturn
