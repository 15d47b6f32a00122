#include "state/replicated_state.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/command_codec.hpp"
#include "state/config_change.hpp"
#include "state/state_codec.hpp"

namespace duneturn {

namespace {

auto noSuchOperation() -> Outcome { return refusal(404, "no such move"); }

auto notPending(const ScheduleEntry& entry) -> Outcome {
    return refusal(409, std::string("the move is already ") + statusName(entry.status));
}

auto unknownCommand(const std::string& name) -> Outcome { return refusal(422, "unknown order: " + name); }

}  // namespace

auto ReplicatedState::bootstrap(
    const std::vector<std::string>& roster, const std::vector<VoterIdentity>& voters) -> void {
    *this = ReplicatedState();
    version = 1;
    roster_ = roster;
    voters_ = voters;
}

auto ReplicatedState::load(const std::string& text) -> bool {
    auto state = StateCodec::read(text);
    if (!state) return false;
    *this = std::move(*state);
    return true;
}

auto ReplicatedState::text() const -> std::string { return StateCodec::write(*this); }
auto ReplicatedState::evacuationsText() const -> std::string { return StateCodec::writeEvacuations(*this); }
auto ReplicatedState::planText() const -> std::string { return StateCodec::writeSchedule(*this); }

auto ReplicatedState::applyVoters(const std::vector<VoterIdentity>& voters) -> void {
    voters_ = voters;
    version++;
}

auto ReplicatedState::beginEpoch(std::int64_t newEpoch, const std::vector<VoterIdentity>& voters) -> void {
    epoch = newEpoch;
    applyVoters(voters);
}

auto ReplicatedState::evacuated(const std::string& zone) const -> bool {
    return evacuations_.zone(zone).evacuated;
}

auto ReplicatedState::evacuatedZones() const -> std::vector<std::string> {
    auto zones = std::vector<std::string>();
    for (auto& entry : evacuations_.evacuated().entries()) zones.push_back(entry.zone);
    return zones;
}

auto ReplicatedState::scheduledOperations() const -> std::vector<ScheduledOperation> {
    auto operations = std::vector<ScheduledOperation>();
    for (auto& entry : schedule_.entries())
        if (entry.status == OperationStatus::Pending) operations.push_back({entry.id, entry.due});
    return operations;
}

auto ReplicatedState::outcome(const std::string& key) const -> Outcome {
    auto known = outcomes_.accepted(key);
    return known.status ? known : outcomes_.refused(key);
}

auto ReplicatedState::baseRefusal(std::int64_t base) const -> Outcome {
    if (base < outcomes_.changes().forgottenVersion()) return outcomeUnknown();
    return {409,
        bodyOf({{"error", jsonQuote("based on a generation that is not the newest")},
            {"configGeneration", fmt::to_string(configVersion_)}})};
}

// ---- applying a command

auto ReplicatedState::apply(const std::string& entry) -> Outcome {
    auto logged = decodeCommand(entry);
    return logged ? apply(*logged) : refusal(422, "not an order");
}

auto ReplicatedState::apply(const LoggedCommand& entry) -> Outcome {
    if (auto known = outcomes_.accepted(entry.key); known.status) return known;
    if (auto known = outcomes_.refused(entry.key, entry.base); known.status) return known;
    auto versionBefore = configVersion_;
    auto outcome = perform(entry);
    if (outcome.accepted()) {
        version++;
        // The outcome names the version that carries it, as the last member of its body.
        outcome.body.insert(outcome.body.size() - 1, fmt::format(",\"generation\":{}", version));
    }
    keepOutcome(entry, configVersion_ != versionBefore, outcome);
    return outcome;
}

auto ReplicatedState::keepOutcome(
    const LoggedCommand& entry, bool configurationChanged, const Outcome& outcome) -> void {
    if (configurationChanged)
        return outcomes_.keepConfiguration(entry.key, configuration_->documentVersion(), version);
    if (entry.key.empty()) return;
    if (outcome.accepted()) outcomes_.keepAccepted(entry.key, outcome);
    else if (outcome.status != outcomeUnknown().status) outcomes_.keepRefused(entry.key, entry.base, outcome);
}

auto ReplicatedState::perform(const LoggedCommand& entry) -> Outcome {
    auto rests = std::holds_alternative<ReplaceConfiguration>(entry.command)
        || std::holds_alternative<ChangeConfiguration>(entry.command);
    if (rests && entry.base != configVersion_) return baseRefusal(entry.base);
    return std::visit([this](const auto& command) { return perform(command); }, entry.command);
}

auto ReplicatedState::perform(const ReplaceConfiguration& command) -> Outcome {
    return setConfiguration(command.configuration);
}

/// A change that does not fit is refused, with the configuration as it was, alike on every replica.
auto ReplicatedState::perform(const ChangeConfiguration& command) -> Outcome {
    auto changed = rapidjson::Document();
    changed.CopyFrom(config(), changed.GetAllocator());
    auto applied = applyConfigChange(changed, command.change->value());
    if (!applied) return refusal(422, "the change does not fit the configuration: " + applied.error());
    return setConfiguration(std::make_shared<const Configuration>(changed));
}

auto ReplicatedState::setConfiguration(std::shared_ptr<const Configuration> configuration) -> Outcome {
    configuration_ = std::move(configuration);
    configVersion_++;
    return {200, bodyOf({{"configGeneration", fmt::to_string(configVersion_)}})};
}

auto ReplicatedState::perform(const SetEvacuation& command) -> Outcome {
    auto revision = evacuations_.zone(command.zone).revision;
    if (command.revision && *command.revision != revision)
        return {409,
            bodyOf({{"error", jsonQuote("superseded: the zone has changed since")},
                {"revision", fmt::to_string(revision)}})};
    evacuations_.set(command.zone, command.evacuated, command.at, version + 1);
    return {200,
        bodyOf({{"district", jsonQuote(command.zone)}, {"emptied", command.evacuated ? "true" : "false"}})};
}

auto ReplicatedState::perform(const ScheduleOperation& command) -> Outcome {
    auto entry = ScheduleEntry();
    entry.id = fmt::format("m{}", version + 1);
    entry.due = command.due;
    entry.operation = command.operation;
    auto body = bodyOf({{"move", jsonQuote(entry.id)}});
    schedule_.add(std::move(entry));
    return {200, body};
}

auto ReplicatedState::perform(const CancelOperation& command) -> Outcome {
    auto entry = schedule_.find(command.id);
    if (!entry) return noSuchOperation();
    if (entry->status != OperationStatus::Pending) return notPending(*entry);
    entry->status = OperationStatus::Cancelled;
    return {200, bodyOf({{"move", jsonQuote(command.id)}})};
}

auto ReplicatedState::perform(const BeginOperation& command) -> Outcome {
    auto entry = schedule_.find(command.id);
    if (!entry) return noSuchOperation();
    if (entry->status != OperationStatus::Pending) return notPending(*entry);
    auto outcome = performScheduled(readCommand(entry->operation->value()));
    entry->status = outcome.accepted() ? OperationStatus::Succeeded : OperationStatus::Failed;
    entry->begun = command.at;
    // That an operation has failed is recorded, so the command itself was accepted.
    return {200, outcome.body};
}

auto ReplicatedState::perform(const ChangeRoster& command) -> Outcome {
    std::erase(roster_, command.node);
    if (command.add) roster_.push_back(command.node);
    auto list = std::string();
    for (auto& node : roster_) list += (list.empty() ? "" : ",") + jsonQuote(node);
    return {200, bodyOf({{"roster", "[" + list + "]"}})};
}

auto ReplicatedState::perform(const UnknownCommand& command) -> Outcome {
    return unknownCommand(command.name);
}

/// Only these are ever scheduled (command_request.cpp). No base is compared: the operator has named none.
auto ReplicatedState::performScheduled(const Command& command) -> Outcome {
    if (auto replace = std::get_if<ReplaceConfiguration>(&command)) return perform(*replace);
    if (auto evacuation = std::get_if<SetEvacuation>(&command)) return perform(*evacuation);
    auto unknown = std::get_if<UnknownCommand>(&command);
    return unknownCommand(unknown ? unknown->name : "not one that can be scheduled");
}

}  // namespace duneturn
