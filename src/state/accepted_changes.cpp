#include "state/accepted_changes.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"

namespace duneturn {

namespace {

constexpr std::size_t NUMBER_SIZE = 16;  // of a number in a record, in hexadecimal

auto digest(const std::string& key) -> std::string { return fmt::format("{:016x}", hash64(key)); }

auto records(const rapidjson::Value& member) -> std::string_view {
    auto& text = member["records"];
    return std::string_view(text.GetString(), text.GetStringLength());
}

// The number that begins `offset` characters into the record at `position`.
auto numberAt(std::string_view records, std::size_t position, std::size_t offset) -> std::int64_t {
    auto text = std::string(records.substr(position * AcceptedChanges::RECORD_SIZE + offset, NUMBER_SIZE));
    return std::int64_t(std::strtoull(text.c_str(), nullptr, 16));
}
auto versionAt(std::string_view records, std::size_t position) -> std::int64_t {
    return numberAt(records, position, AcceptedChanges::DIGEST_SIZE);
}
auto stateGenerationAt(std::string_view records, std::size_t position) -> std::int64_t {
    return numberAt(records, position, AcceptedChanges::DIGEST_SIZE + AcceptedChanges::VERSION_SIZE);
}
auto numberText(std::int64_t number) -> std::string {
    return fmt::format("{:016x}", std::uint64_t(std::max<std::int64_t>(0, number)));
}

auto isHexadecimal(std::string_view text) -> bool {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

auto AcceptedChanges::make(std::int64_t generation, std::int64_t version,
    rapidjson::Document::AllocatorType& allocator) -> rapidjson::Value {
    auto member = rapidjson::Value(rapidjson::kObjectType);
    member.AddMember("forgottenGeneration", generation, allocator);
    member.AddMember("forgottenVersion", version, allocator);
    member.AddMember("records", rapidjson::Value(rapidjson::kStringType), allocator);
    return member;
}

auto AcceptedChanges::sound(const rapidjson::Value& member, std::int64_t generation) -> bool {
    if (!member.IsObject() || !member.HasMember("records") || !member["records"].IsString()) return false;
    for (auto name : {"forgottenGeneration", "forgottenVersion"})
        if (!member.HasMember(name) || !member[name].IsInt64()) return false;
    auto text = records(member);
    if (text.size() % RECORD_SIZE != 0 || text.size() > CAPACITY * RECORD_SIZE) return false;
    if (!isHexadecimal(text)) return false;
    return forgottenGeneration(member) + std::int64_t(text.size() / RECORD_SIZE) == generation;
}

auto AcceptedChanges::record(rapidjson::Value& member, const std::string& key, std::int64_t version,
    std::int64_t stateGeneration, rapidjson::Document::AllocatorType& allocator) -> void {
    auto text = std::string(records(member));
    text += digest(key);
    text += numberText(version);
    text += numberText(stateGeneration);
    if (text.size() > CAPACITY * RECORD_SIZE) {
        auto version = std::max(forgottenVersion(member), versionAt(text, 0));
        member["forgottenVersion"].SetInt64(version);
        member["forgottenGeneration"].SetInt64(forgottenGeneration(member) + 1);
        text.erase(0, RECORD_SIZE);
    }
    member["records"].SetString(text, allocator);
}

auto AcceptedChanges::find(const rapidjson::Value& member, const std::string& key)
    -> std::optional<AcceptedChange> {
    if (key.empty()) return std::nullopt;
    auto text = records(member);
    auto wanted = digest(key);
    for (auto position = text.size() / RECORD_SIZE; position-- > 0;) {
        if (text.compare(position * RECORD_SIZE, DIGEST_SIZE, wanted) != 0) continue;
        auto generation = forgottenGeneration(member) + 1 + std::int64_t(position);
        return AcceptedChange{generation, versionAt(text, position), stateGenerationAt(text, position)};
    }
    return std::nullopt;
}

auto AcceptedChanges::forgottenGeneration(const rapidjson::Value& member) -> std::int64_t {
    return jsonInteger(member, "forgottenGeneration");
}

auto AcceptedChanges::forgottenVersion(const rapidjson::Value& member) -> std::int64_t {
    return jsonInteger(member, "forgottenVersion");
}

}  // namespace duneturn
