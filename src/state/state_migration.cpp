#include "state/state_migration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/request_outcomes.hpp"

namespace duneturn {

namespace {

auto hasBasicMembers(const rapidjson::Value& document) -> bool {
    for (auto name : {"config", "empties"}) {
        auto member = jsonMember(document, name);
        if (!member || !member->IsObject()) return false;
    }
    for (auto name : {"plan", "roster", "voters", "outcomes"}) {
        auto member = jsonMember(document, name);
        if (!member || !member->IsArray()) return false;
    }
    for (auto name : {"reign", "generation", "configGeneration"}) {
        auto member = jsonMember(document, name);
        if (!member || !member->IsInt64()) return false;
    }
    return true;
}

// The earlier format's key of a change ended in "-" and the version that one attempt was based on.
auto withoutAttempt(const std::string& key, std::int64_t madeVersion) -> std::string {
    auto suffix = fmt::format("-{}", madeVersion - 1);
    return key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size()) : key;
}

/// The keys of the configuration changes in an earlier format's list, by the version that they made.
auto changesByVersion(const rapidjson::Value& records) -> std::map<std::int64_t, std::string> {
    auto changes = std::map<std::int64_t, std::string>();
    for (auto& record : records.GetArray()) {
        if (!record.IsObject() || !record.HasMember("body") || jsonInteger(record, "status") != 200) continue;
        auto version = jsonInteger(record["body"], "configGeneration");
        if (version > 0) changes[version] = withoutAttempt(jsonString(record, "key"), version);
    }
    return changes;
}

auto rebuildAcceptedChanges(const rapidjson::Value& document) -> AcceptedChanges {
    auto newest = jsonInteger(document, "configGeneration");
    auto origin = jsonMember(document["config"], "origin");
    auto documentVersion = origin ? jsonInteger(*origin, "number") : 0;
    auto known = changesByVersion(document["outcomes"]);
    auto forgotten = newest;
    while (forgotten > 0 && known.count(forgotten)) forgotten--;
    // The versions of the earlier documents were not kept; the newest is a bound of all of them.
    auto changes = AcceptedChanges(forgotten, forgotten > 0 ? documentVersion : 0);
    constexpr auto STATE_VERSION_UNKNOWN = 0;
    for (auto version = forgotten + 1; version <= newest; version++)
        changes.record(known[version], documentVersion, STATE_VERSION_UNKNOWN);
    return changes;
}

auto addAcceptedChanges(rapidjson::Document& document) -> void {
    auto& allocator = document.GetAllocator();
    auto changes = rebuildAcceptedChanges(document);
    auto member = rapidjson::Value(rapidjson::kObjectType);
    member.AddMember("forgottenGeneration", changes.forgottenVersion(), allocator);
    member.AddMember("forgottenVersion", changes.forgottenDocumentVersion(), allocator);
    member.AddMember("records", rapidjson::Value(changes.recordsText(), allocator), allocator);
    document.RemoveMember("acceptedChanges");
    document.AddMember("acceptedChanges", member, allocator);
}

// Sorts the earlier format's one list of outcomes into accepted and refused ones.
auto sortOutcomes(rapidjson::Document& document) -> void {
    auto& allocator = document.GetAllocator();
    auto all = rapidjson::Value(rapidjson::kArrayType);
    all.Swap(document["outcomes"]);
    document.AddMember("refusals", rapidjson::Value(rapidjson::kArrayType), allocator);
    for (auto& record : all.GetArray()) {
        auto body = jsonMember(record, "body");
        if (!body) continue;
        auto accepted = jsonInteger(record, "status") == 200;
        if (accepted && jsonMember(*body, "configGeneration")) continue;
        auto& list = document[accepted ? "outcomes" : "refusals"];
        list.PushBack(record, allocator);
        auto most = accepted ? RequestOutcomes::ACCEPTED : RequestOutcomes::REFUSED;
        while (list.Size() > most) list.Erase(list.Begin());
    }
}

auto addZoneRevisions(rapidjson::Document& document) -> void {
    auto& allocator = document.GetAllocator();
    document.AddMember("zoneRevisions", rapidjson::Value(rapidjson::kObjectType), allocator);
    document.RemoveMember("zoneRevisionFloor");
    document.AddMember("zoneRevisionFloor", jsonInteger(document, "generation"), allocator);
}

}  // namespace

auto migrateState(rapidjson::Document& document) -> bool {
    if (!hasBasicMembers(document)) return false;
    // A replica of the earlier format leaves the memory behind the version that it has reached.
    if (!readAcceptedChanges(document)) addAcceptedChanges(document);
    if (!document.HasMember("refusals")) sortOutcomes(document);
    if (!document.HasMember("zoneRevisions")) addZoneRevisions(document);
    auto floor = jsonMember(document, "zoneRevisionFloor");
    return document["refusals"].IsArray() && document["zoneRevisions"].IsObject() && floor
        && floor->IsInt64();
}

auto readAcceptedChanges(const rapidjson::Value& document) -> std::optional<AcceptedChanges> {
    auto member = jsonMember(document, "acceptedChanges");
    if (!member) return std::nullopt;
    auto forgottenConfig = jsonMember(*member, "forgottenGeneration");
    auto forgottenDocument = jsonMember(*member, "forgottenVersion");
    auto records = jsonMember(*member, "records");
    if (!forgottenConfig || !forgottenConfig->IsInt64()) return std::nullopt;
    if (!forgottenDocument || !forgottenDocument->IsInt64()) return std::nullopt;
    if (!records || !records->IsString()) return std::nullopt;
    auto changes = AcceptedChanges::parse(forgottenConfig->GetInt64(), forgottenDocument->GetInt64(),
        std::string(records->GetString(), records->GetStringLength()));
    if (!changes || changes->configVersion() != jsonInteger(document, "configGeneration"))
        return std::nullopt;
    return changes;
}

}  // namespace duneturn
