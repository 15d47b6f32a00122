#include "state/state_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "base/json.hpp"
#include "state/state_migration.hpp"

namespace duneturn {

// ---- writing

class StateCodec::Writer {
  public:
    explicit Writer(const ReplicatedState& state) : state_(state) {}

    auto text() -> std::string { return {buffer_.GetString(), buffer_.GetSize()}; }

    auto document() -> void {
        json_.StartObject();
        if (auto& members = state_.layout_.members) {
            for (auto& member : *members) {
                key(member.name);
                if (member.unknown) member.unknown->value().Accept(json_);
                else known(member.name);
            }
        } else {
            for (auto name : STATE_MEMBERS) {
                json_.Key(name);
                known(name);
            }
        }
        json_.EndObject();
    }

    auto evacuations() -> void { zones(state_.evacuations_.evacuated()); }

    auto schedule() -> void {
        json_.StartArray();
        for (auto& entry : state_.schedule_.entries()) {
            json_.StartObject();
            member("id", entry.id);
            member("at", std::int64_t(entry.due));
            member("state", statusName(entry.status));
            json_.Key("move");
            entry.operation->value().Accept(json_);
            if (entry.begun) member("fired", std::int64_t(*entry.begun));
            json_.EndObject();
        }
        json_.EndArray();
    }

  private:
    /// The value of a member that this version knows.
    auto known(std::string_view name) -> void {
        if (name == "reign") json_.Int64(state_.epoch);
        else if (name == "generation") json_.Int64(std::max(state_.version, FIRST_VERSION));
        else if (name == "configGeneration") json_.Int64(state_.configVersion_);
        else if (name == "config") state_.configuration_->json().Accept(json_);
        else if (name == "empties") evacuations();
        else if (name == "plan") schedule();
        else if (name == "roster") roster();
        else if (name == "voters") voters();
        else if (name == "outcomes") outcomes(state_.outcomes_.acceptedList());
        else if (name == "acceptedChanges") changes(state_.outcomes_.changes());
        else if (name == "refusals") outcomes(state_.outcomes_.refusedList());
        else if (name == "zoneRevisions") zones(state_.evacuations_.revisions());
        else json_.Int64(state_.evacuations_.revisionFloor());
    }

    auto zones(const ZoneTable& table) -> void {
        json_.StartObject();
        for (auto& entry : table.entries()) {
            key(entry.zone);
            json_.Int64(entry.number);
        }
        json_.EndObject();
    }

    auto roster() -> void {
        json_.StartArray();
        for (auto& node : state_.roster_) json_.String(node);
        json_.EndArray();
    }

    auto voters() -> void {
        json_.StartArray();
        for (auto& voter : state_.voters_) {
            json_.StartObject();
            member("seat", voter.node);
            member("disk", voter.disk);
            json_.EndObject();
        }
        json_.EndArray();
    }

    auto outcomes(const std::vector<std::shared_ptr<const RequestOutcome>>& list) -> void {
        json_.StartArray();
        for (auto& known : list) {
            json_.StartObject();
            member("key", known->key);
            member("status", std::int64_t(known->outcome.status));
            json_.Key("body");
            json_.RawValue(known->outcome.body.data(), known->outcome.body.size(), rapidjson::kObjectType);
            if (known->base != LoggedCommand::NO_BASE) member("base", known->base);
            json_.EndObject();
        }
        json_.EndArray();
    }

    auto changes(const AcceptedChanges& changes) -> void {
        json_.StartObject();
        member("forgottenGeneration", changes.forgottenVersion());
        member("forgottenVersion", changes.forgottenDocumentVersion());
        member("records", changes.recordsText());
        json_.EndObject();
    }

    auto key(const std::string& name) -> void { json_.Key(name.data(), rapidjson::SizeType(name.size())); }
    auto member(const char* name, const std::string& value) -> void {
        json_.Key(name);
        json_.String(value);
    }
    auto member(const char* name, std::int64_t value) -> void {
        json_.Key(name);
        json_.Int64(value);
    }

    /// A state that nothing was applied to has version 0, and has always been written as version 1.
    static constexpr auto FIRST_VERSION = std::int64_t(1);

    const ReplicatedState& state_;
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> json_{buffer_};
};

auto StateCodec::write(const ReplicatedState& state) -> std::string {
    auto writer = Writer(state);
    writer.document();
    return writer.text();
}

auto StateCodec::writeEvacuations(const ReplicatedState& state) -> std::string {
    auto writer = Writer(state);
    writer.evacuations();
    return writer.text();
}

auto StateCodec::writeSchedule(const ReplicatedState& state) -> std::string {
    auto writer = Writer(state);
    writer.schedule();
    return writer.text();
}

// ---- reading

namespace {

auto textOf(const rapidjson::Value& value) -> std::string {
    return {value.GetString(), value.GetStringLength()};
}

auto readZones(const rapidjson::Value& object) -> std::optional<ZoneTable> {
    auto table = ZoneTable();
    for (auto& member : object.GetObject()) {
        if (!member.value.IsInt64()) return std::nullopt;
        table.append(textOf(member.name), member.value.GetInt64());
    }
    return table;
}

auto readEvacuations(const rapidjson::Value& document) -> std::optional<Evacuations> {
    auto evacuated = readZones(document["empties"]);
    auto revisions = readZones(document["zoneRevisions"]);
    if (!evacuated || !revisions) return std::nullopt;
    return Evacuations(*evacuated, *revisions, jsonInteger(document, "zoneRevisionFloor"));
}

auto readSchedule(const rapidjson::Value& list) -> std::optional<Schedule> {
    auto entries = std::vector<ScheduleEntry>();
    for (auto& item : list.GetArray()) {
        auto status = statusOf(jsonString(item, "state"));
        auto operation = jsonMember(item, "move");
        if (!status || !operation) return std::nullopt;
        auto entry = ScheduleEntry();
        entry.id = jsonString(item, "id");
        entry.due = jsonInteger(item, "at");
        entry.status = *status;
        entry.operation = std::make_shared<const JsonFragment>(*operation);
        if (item.HasMember("fired")) entry.begun = jsonInteger(item, "fired");
        entries.push_back(std::move(entry));
    }
    return Schedule(std::move(entries));
}

auto readVoters(const rapidjson::Value& list) -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    for (auto& voter : list.GetArray())
        voters.push_back({jsonString(voter, "seat"), jsonString(voter, "disk")});
    return voters;
}

auto readOutcomes(const rapidjson::Value& list) -> std::vector<RequestOutcome> {
    auto outcomes = std::vector<RequestOutcome>();
    for (auto& item : list.GetArray()) {
        auto body = jsonMember(item, "body");
        if (!body) continue;
        auto outcome = Outcome{int(jsonInteger(item, "status")), jsonText(*body)};
        outcomes.push_back(
            {jsonString(item, "key"), outcome, jsonInteger(item, "base", LoggedCommand::NO_BASE)});
    }
    return outcomes;
}

auto readLayout(const rapidjson::Value& document) -> StateLayout {
    auto members = std::make_shared<std::vector<StateLayout::Member>>();
    for (auto& member : document.GetObject()) {
        auto name = textOf(member.name);
        auto known = std::find(STATE_MEMBERS.begin(), STATE_MEMBERS.end(), name) != STATE_MEMBERS.end();
        members->push_back({name, known ? nullptr : std::make_shared<const JsonFragment>(member.value)});
    }
    auto equalsIgnoreCase = [](const StateLayout::Member& member, const char* name) {
        return member.name == name;
    };
    if (std::equal(
            members->begin(), members->end(), STATE_MEMBERS.begin(), STATE_MEMBERS.end(), equalsIgnoreCase))
        return {};
    return {std::move(members)};
}

}  // namespace

auto StateCodec::read(const std::string& text) -> std::optional<ReplicatedState> {
    auto document = rapidjson::Document();
    if (!parseJson(text, document) || !migrateState(document)) return std::nullopt;
    auto evacuations = readEvacuations(document);
    auto schedule = readSchedule(document["plan"]);
    auto changes = readAcceptedChanges(document);
    if (!evacuations || !schedule || !changes) return std::nullopt;
    auto state = ReplicatedState();
    state.epoch = jsonInteger(document, "reign");
    state.version = jsonInteger(document, "generation");
    state.configVersion_ = jsonInteger(document, "configGeneration");
    state.configuration_ = std::make_shared<const Configuration>(document["config"]);
    state.evacuations_ = std::move(*evacuations);
    state.schedule_ = std::move(*schedule);
    state.roster_ = jsonStrings(document, "roster");
    state.voters_ = readVoters(document["voters"]);
    state.outcomes_ = RequestOutcomes(
        std::move(*changes), readOutcomes(document["outcomes"]), readOutcomes(document["refusals"]));
    state.layout_ = readLayout(document);
    return state;
}

}  // namespace duneturn
