#include "state/command_request.hpp"

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"
#include "state/command.hpp"
#include "state/command_codec.hpp"
#include "state/configuration_validation.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

namespace {

constexpr auto MERGE = "merge";

/// Appends the faults of a configuration that stands at `path` of a request.
auto addConfigurationFaults(
    const rapidjson::Value& configuration, const std::string& path, std::vector<Fault>& faults) -> void {
    for (auto& fault : validateConfiguration(configuration)) faults.push_back({path + fault.path, fault.why});
}

/// Reads the command of one request, and collects the faults of its body.
class RequestReader {
  public:
    RequestReader(const ReplicatedState& state, const rapidjson::Value& body, Microseconds wall)
        : state_(state), body_(body), wall_(wall) {}

    /// None if there is no such command. What is read counts only if there are no faults.
    auto read(const std::string& operation) -> std::optional<Command> {
        if (operation == "config") return readConfiguration();
        if (operation == MERGE) return readMerge();
        if (operation == "empty") return readEvacuation(true);
        if (operation == "give-back") return readEvacuation(false);
        if (operation == "book") return readSchedule();
        if (operation == "cancel") return CancelOperation{readOperationId(), wall_};
        if (operation == "fire") return BeginOperation{readOperationId(), wall_};
        if (operation == "roster") return readRoster();
        return std::nullopt;
    }

    [[nodiscard]] auto faults() const -> const std::vector<Fault>& { return faults_; }

  private:
    auto fault(const std::string& path, const std::string& why) -> void { faults_.push_back({path, why}); }

    /// The body has no members but these.
    auto allowOnly(std::initializer_list<std::string_view> names) -> void {
        for (auto& member : body_.GetObject()) {
            auto name = std::string(member.name.GetString());
            if (std::find(names.begin(), names.end(), name) == names.end())
                fault("/" + name, "unknown field");
        }
    }

    auto requiredText(const char* name) -> std::string {
        auto text = jsonString(body_, name);
        if (text.empty()) fault(std::string("/") + name, "missing");
        return text;
    }

    /// The member that holds a configuration or a patch, beside the version it is based on.
    auto basedMember(const char* name) -> const rapidjson::Value* {
        allowOnly({"base", name});
        auto base = jsonMember(body_, "base");
        if (!base || !base->IsInt64()) fault("/base", "wants the generation that this is based on");
        auto member = jsonMember(body_, name);
        if (!member) fault(std::string("/") + name, "missing");
        return faults_.empty() ? member : nullptr;
    }

    auto checked(const rapidjson::Value& configuration) -> Command {
        for (auto& fault : validateConfiguration(configuration))
            faults_.push_back({"/config" + (fault.path == "/" ? "" : fault.path), fault.why});
        if (!faults_.empty()) return UnknownCommand();
        return ReplaceConfiguration{std::make_shared<const Configuration>(configuration)};
    }

    auto readConfiguration() -> Command {
        auto configuration = basedMember("config");
        return configuration ? checked(*configuration) : UnknownCommand();
    }

    auto readMerge() -> Command {
        auto patch = basedMember("patch");
        if (!patch) return UnknownCommand();
        auto merged = rapidjson::Document();
        merged.CopyFrom(state_.config(), merged.GetAllocator());
        applyMergePatch(merged, *patch, merged.GetAllocator());
        return checked(merged);
    }

    auto readEvacuation(bool evacuated) -> Command {
        allowOnly({"district", "revision"});
        auto command = SetEvacuation();
        if (auto revision = jsonMember(body_, "revision")) {
            if (!revision->IsInt64()) fault("/revision", "wants a number");
            command.revision = jsonInteger(body_, "revision");
        }
        command.zone = requiredText("district");
        command.evacuated = evacuated;
        command.at = wall_;
        return command;
    }

    auto readSchedule() -> Command {
        allowOnly({"at", "move"});
        auto due = parseWallTime(jsonString(body_, "at"));
        if (due < 0) fault("/at", "wants a time such as 2026-01-31T06:00:00Z");
        auto operation = jsonMember(body_, "move");
        if (!operation || !operation->IsObject()) fault("/move", "missing");
        else checkOperation(*operation);
        if (!faults_.empty()) return UnknownCommand();
        return ScheduleOperation{due, std::make_shared<const JsonFragment>(*operation)};
    }

    /// Evacuations and configurations can be scheduled.
    auto checkOperation(const rapidjson::Value& operation) -> void {
        auto name = jsonString(operation, "op");
        if (name == "empty" || name == "give-back") {
            if (jsonString(operation, "district").empty()) fault("/move/district", "missing");
            for (auto& member : operation.GetObject()) {
                auto memberName = std::string(member.name.GetString());
                if (memberName != "op" && memberName != "district")
                    fault("/move/" + memberName, "unknown field");
            }
        } else if (name == "config") {
            auto configuration = jsonMember(operation, "config");
            if (configuration) addConfigurationFaults(*configuration, "/move/config", faults_);
            else fault("/move/config", "missing");
        } else fault("/move/op", "wants empty, give-back or config");
    }

    auto readOperationId() -> std::string {
        allowOnly({"move"});
        return requiredText("move");
    }

    auto readRoster() -> Command {
        allowOnly({"node", "add"});
        auto node = requiredText("node");
        return ChangeRoster{node, jsonBool(body_, "add", true)};
    }

    const ReplicatedState& state_;
    const rapidjson::Value& body_;
    const Microseconds wall_;
    std::vector<Fault> faults_;
};

auto refused(int status, const std::vector<Fault>& faults) -> tl::unexpected<OrderRefusal> {
    return tl::make_unexpected(OrderRefusal{{status, errorBody(faults)}});
}

}  // namespace

auto prepareCommand(const ReplicatedState& state, const std::string& operation, const std::string& key,
    const std::string& body, Microseconds wall) -> tl::expected<LoggedCommand, OrderRefusal> {
    auto request = rapidjson::Document();
    if (!parseJson(body.empty() ? "{}" : body, request)) return refused(400, {{"/", "malformed JSON"}});
    if (!request.IsObject()) return refused(422, {{"/", "wants an object"}});
    auto reader = RequestReader(state, request, wall);
    auto command = reader.read(operation);
    if (!command) return refused(404, {{"/op", "unknown order: " + operation}});
    auto isMerge = operation == MERGE;
    // A merge's faults are those of the configuration that it is applied to, too.
    if (!reader.faults().empty())
        return tl::make_unexpected(OrderRefusal{{422, errorBody(reader.faults())}, isMerge});
    auto base = jsonInteger(request, "base", LoggedCommand::NO_BASE);
    // A patch applied to another version than it names must lose, not win by chance.
    if (isMerge && base != state.configVersion())
        return tl::make_unexpected(OrderRefusal{state.baseRefusal(base), true});
    return LoggedCommand{key, base, std::move(*command)};
}

auto orderPrepare(const ReplicatedState& state, const std::string& operation, const std::string& key,
    const std::string& body, Microseconds wall) -> tl::expected<std::string, OrderRefusal> {
    return prepareCommand(state, operation, key, body, wall).map(encodeCommand);
}

}  // namespace duneturn
