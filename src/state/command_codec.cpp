#include "state/command_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "base/compression.hpp"
#include "base/json.hpp"
#include "state/config_change.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

namespace {

/// The name of the operation that changes a configuration in part, and of the member that holds the change.
constexpr auto CHANGE = "change";
/// The first byte of a compressed entry; that of one in JSON is '{'.
constexpr auto COMPRESSED_MARK = 'Z';
/// Shorter texts are not compressed.
constexpr auto COMPRESSION_MIN_BYTES = std::size_t(4096);
/// The longest entry that is read, decompressed.
constexpr auto MAX_ENTRY_BYTES = std::size_t(32) << 20;

/// Writes one entry; the members stand in the order that the format has always had.
class CommandWriter {
  public:
    auto write(const LoggedCommand& entry) -> std::string {
        writer_.StartObject();
        member("key", entry.key);
        base_ = entry.base;
        std::visit([this](const auto& command) { (*this)(command); }, entry.command);
        writer_.EndObject();
        return {buffer_.GetString(), buffer_.GetSize()};
    }

    auto operator()(const ReplaceConfiguration& command) -> void {
        member("op", "config");
        member("base", base_);
        member("config", command.configuration->json());
    }
    auto operator()(const ChangeConfiguration& command) -> void {
        member("op", CHANGE);
        member("base", base_);
        member(CHANGE, command.change->value());
    }
    auto operator()(const SetEvacuation& command) -> void {
        member("op", command.evacuated ? "empty" : "give-back");
        if (command.revision) member("revision", *command.revision);
        member("district", command.zone);
        member("at", std::int64_t(command.at));
    }
    auto operator()(const ScheduleOperation& command) -> void {
        member("op", "book");
        member("when", std::int64_t(command.due));
        member("move", command.operation->value());
    }
    auto operator()(const CancelOperation& command) -> void { operation("cancel", command.id, command.at); }
    auto operator()(const BeginOperation& command) -> void { operation("fire", command.id, command.at); }
    auto operator()(const ChangeRoster& command) -> void {
        member("op", "roster");
        member("node", command.node);
        writer_.Key("add");
        writer_.Bool(command.add);
    }
    auto operator()(const UnknownCommand& command) -> void { member("op", command.name); }

  private:
    auto operation(const std::string& name, const std::string& id, Microseconds at) -> void {
        member("op", name);
        member("move", id);
        member("at", std::int64_t(at));
    }
    auto member(const char* name, const std::string& value) -> void {
        writer_.Key(name);
        writer_.String(value);
    }
    auto member(const char* name, std::int64_t value) -> void {
        writer_.Key(name);
        writer_.Int64(value);
    }
    auto member(const char* name, const rapidjson::Value& value) -> void {
        writer_.Key(name);
        value.Accept(writer_);
    }

    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
    std::int64_t base_ = LoggedCommand::NO_BASE;
};

auto readEvacuation(const rapidjson::Value& object, bool evacuated) -> SetEvacuation {
    auto command = SetEvacuation();
    command.zone = jsonString(object, "district");
    command.evacuated = evacuated;
    if (object.HasMember("revision")) command.revision = jsonInteger(object, "revision");
    command.at = jsonInteger(object, "at");
    return command;
}

auto decodeText(const std::string& text) -> std::optional<LoggedCommand> {
    auto object = rapidjson::Document();
    if (!parseJson(text, object) || !object.IsObject()) return std::nullopt;
    auto entry = LoggedCommand();
    entry.key = jsonString(object, "key");
    entry.base = jsonInteger(object, "base", LoggedCommand::NO_BASE);
    entry.command = readCommand(object);
    return entry;
}

/// The change that makes the command's configuration of the one in force; none if the command is no
/// replacement of that one, or a change would not be shorter than `document`, which holds the whole.
auto shorterChange(const ReplicatedState& state, const LoggedCommand& entry, const std::string& document)
    -> std::optional<LoggedCommand> {
    auto replace = std::get_if<ReplaceConfiguration>(&entry.command);
    if (!replace || entry.base != state.configVersion()) return std::nullopt;
    auto change = configChange(state.config(), replace->configuration->json());
    if (!change || change->size() >= document.size()) return std::nullopt;
    auto value = rapidjson::Document();
    if (!parseJson(*change, value)) return std::nullopt;
    return LoggedCommand{
        entry.key, entry.base, ChangeConfiguration{std::make_shared<const JsonFragment>(value)}};
}

}  // namespace

auto encodeCommand(const LoggedCommand& entry) -> std::string { return CommandWriter().write(entry); }

auto encodeCompact(const ReplicatedState& state, const LoggedCommand& entry) -> EncodedCommand {
    auto encoded = EncodedCommand{encodeCommand(entry), EntryForm::Document};
    if (auto change = shorterChange(state, entry, encoded.body))
        encoded = {encodeCommand(*change), EntryForm::Compact};
    if (encoded.body.size() < COMPRESSION_MIN_BYTES) return encoded;
    auto compressed = deflateBytes(encoded.body);
    if (!compressed || compressed->size() >= encoded.body.size()) return encoded;
    return {COMPRESSED_MARK + *compressed, EntryForm::Compact};
}

auto decodeCommand(const std::string& entry) -> std::optional<LoggedCommand> {
    if (entry.empty() || entry.front() != COMPRESSED_MARK) return decodeText(entry);
    auto text = inflateBytes(std::string_view(entry).substr(1), MAX_ENTRY_BYTES);
    return text ? decodeText(*text) : std::nullopt;
}

auto readCommand(const rapidjson::Value& object) -> Command {
    auto name = jsonString(object, "op");
    if (name == "config") {
        auto configuration = jsonMember(object, "config");
        if (!configuration || !configuration->IsObject()) return UnknownCommand{name};
        return ReplaceConfiguration{std::make_shared<const Configuration>(*configuration)};
    }
    if (name == CHANGE) {
        auto change = jsonMember(object, CHANGE);
        if (!change || !change->IsObject()) return UnknownCommand{name};
        return ChangeConfiguration{std::make_shared<const JsonFragment>(*change)};
    }
    if (name == "empty") return readEvacuation(object, true);
    if (name == "give-back") return readEvacuation(object, false);
    if (name == "book") {
        auto operation = jsonMember(object, "move");
        if (!operation) return UnknownCommand{name};
        return ScheduleOperation{
            jsonInteger(object, "when"), std::make_shared<const JsonFragment>(*operation)};
    }
    if (name == "cancel") return CancelOperation{jsonString(object, "move"), jsonInteger(object, "at")};
    if (name == "fire") return BeginOperation{jsonString(object, "move"), jsonInteger(object, "at")};
    if (name == "roster") return ChangeRoster{jsonString(object, "node"), jsonBool(object, "add")};
    return UnknownCommand{name};
}

}  // namespace duneturn
