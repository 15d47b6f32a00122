#include "state/order_outcomes.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/accepted_changes.hpp"

namespace duneturn {

namespace {

constexpr auto NO_BASE = std::int64_t(-1);

auto read(const rapidjson::Value& record) -> Outcome {
    return {int(jsonInteger(record, "status")), jsonText(record["body"])};
}

auto findIn(const rapidjson::Document& state, const char* list, const std::string& key)
    -> const rapidjson::Value* {
    if (key.empty()) return nullptr;
    for (auto& record : state[list].GetArray())
        if (jsonString(record, "key") == key) return &record;
    return nullptr;
}

auto append(rapidjson::Document& state, const char* list, const std::string& key, std::int64_t base,
    const Outcome& outcome, unsigned most) -> void {
    auto& allocator = state.GetAllocator();
    auto body = rapidjson::Document(&allocator);
    parseJson(outcome.body, body);
    auto record = rapidjson::Value(rapidjson::kObjectType);
    record.AddMember("key", rapidjson::Value(key, allocator), allocator);
    record.AddMember("status", outcome.status, allocator);
    record.AddMember("body", rapidjson::Value(body, allocator), allocator);
    if (base != NO_BASE) record.AddMember("base", base, allocator);
    auto& records = state[list];
    records.PushBack(record, allocator);
    while (records.Size() > most) records.Erase(records.Begin());
}

auto documentVersion(const rapidjson::Document& state) -> std::int64_t {
    auto& config = state["config"];
    return config.HasMember("origin") ? jsonInteger(config["origin"], "number") : 0;
}

// The earlier format's key of a change ended in "-" and the generation that one attempt was based on.
auto withoutAttempt(const std::string& key, std::int64_t madeGeneration) -> std::string {
    auto suffix = fmt::format("-{}", madeGeneration - 1);
    return key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size()) : key;
}

/// The keys of the configuration changes in an earlier format's list, by the generation they made.
auto changesByGeneration(const rapidjson::Value& records) -> std::map<std::int64_t, std::string> {
    auto changes = std::map<std::int64_t, std::string>();
    for (auto& record : records.GetArray()) {
        if (!record.IsObject() || !record.HasMember("body") || jsonInteger(record, "status") != 200) continue;
        auto generation = jsonInteger(record["body"], "configGeneration");
        if (generation > 0) changes[generation] = withoutAttempt(jsonString(record, "key"), generation);
    }
    return changes;
}

auto timeoutNow(rapidjson::Document& state) -> void {
    auto& allocator = state.GetAllocator();
    auto newest = jsonInteger(state, "configGeneration");
    auto version = documentVersion(state);
    auto changes = changesByGeneration(state["outcomes"]);
    auto forgotten = newest;
    while (forgotten > 0 && changes.count(forgotten)) forgotten--;
    // The versions that the earlier ones made were not kept; the newest is a bound of all of them.
    auto memory = AcceptedChanges::make(forgotten, forgotten > 0 ? version : 0, allocator);
    for (auto generation = forgotten + 1; generation <= newest; generation++)
        AcceptedChanges::record(memory, changes[generation], version, 0, allocator);
    state.RemoveMember("acceptedChanges");
    state.AddMember("acceptedChanges", memory, allocator);
}

// Sorts the earlier format's one list of outcomes into accepted and refused ones.
auto sortOutcomes(rapidjson::Document& state) -> void {
    auto& allocator = state.GetAllocator();
    auto all = rapidjson::Value(rapidjson::kArrayType);
    all.Swap(state["outcomes"]);
    state.AddMember("refusals", rapidjson::Value(rapidjson::kArrayType), allocator);
    for (auto& record : all.GetArray()) {
        if (!record.IsObject() || !record.HasMember("body")) continue;
        auto accepted = jsonInteger(record, "status") == 200;
        if (accepted && record["body"].IsObject() && record["body"].HasMember("configGeneration")) continue;
        auto& to = state[accepted ? "outcomes" : "refusals"];
        to.PushBack(record, allocator);
        auto most = accepted ? OrderOutcomes::ACCEPTED : OrderOutcomes::REFUSED;
        while (to.Size() > most) to.Erase(to.Begin());
    }
}

// As Word::apply answered it the first time.
auto acceptedBody(const AcceptedChange& change) -> std::string {
    if (change.stateGeneration == 0) return fmt::format("{{\"configGeneration\":{}}}", change.generation);
    return fmt::format(
        "{{\"configGeneration\":{},\"generation\":{}}}", change.generation, change.stateGeneration);
}

}  // namespace

auto OrderOutcomes::load(rapidjson::Document& state) -> bool {
    if (!state["config"].IsObject()) return false;
    auto generation = jsonInteger(state, "configGeneration");
    // A replica of the earlier format leaves the memory behind the generation that it has reached.
    auto sound =
        state.HasMember("acceptedChanges") && AcceptedChanges::sound(state["acceptedChanges"], generation);
    if (!sound) timeoutNow(state);
    if (!state.HasMember("refusals")) sortOutcomes(state);
    return state["refusals"].IsArray();
}

auto OrderOutcomes::accepted(const rapidjson::Document& state, const std::string& key) -> Outcome {
    if (auto change = AcceptedChanges::find(state["acceptedChanges"], key))
        return {200, acceptedBody(*change)};
    auto record = findIn(state, "outcomes", key);
    return record ? read(*record) : Outcome();
}

auto OrderOutcomes::refused(const rapidjson::Document& state, const std::string& key) -> Outcome {
    auto record = findIn(state, "refusals", key);
    return record ? read(*record) : Outcome();
}

auto OrderOutcomes::refused(const rapidjson::Document& state, const std::string& key, std::int64_t base)
    -> Outcome {
    auto record = findIn(state, "refusals", key);
    return record && jsonInteger(*record, "base", NO_BASE) == base ? read(*record) : Outcome();
}

auto OrderOutcomes::keepConfiguration(
    rapidjson::Document& state, const std::string& key, std::int64_t version) -> void {
    auto stateGeneration = jsonInteger(state, "generation");
    AcceptedChanges::record(state["acceptedChanges"], key, version, stateGeneration, state.GetAllocator());
}

auto OrderOutcomes::keepAccepted(rapidjson::Document& state, const std::string& key, const Outcome& outcome)
    -> void {
    append(state, "outcomes", key, NO_BASE, outcome, ACCEPTED);
}

auto OrderOutcomes::keepRefused(
    rapidjson::Document& state, const std::string& key, std::int64_t base, const Outcome& outcome) -> void {
    auto& records = state["refusals"];
    for (auto record = records.Begin(); record != records.End();)
        if (jsonString(*record, "key") == key) record = records.Erase(record);
        else ++record;
    append(state, "refusals", key, base, outcome, REFUSED);
}

}  // namespace duneturn
