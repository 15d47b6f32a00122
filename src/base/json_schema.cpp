// The check of a document by a JSON schema. RapidJSON stops at the first broken keyword; so that every
// fault is named, the schema is walked beside the document and each value is checked by itself.
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"

namespace duneturn {

namespace {

auto checkNode(const rapidjson::Value& value, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void;

auto checkMembers(const rapidjson::Value& object, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void {
    auto properties = jsonMember(schema, "properties");
    auto additional = jsonMember(schema, "additionalProperties");
    for (auto& member : object.GetObject()) {
        auto name = std::string(member.name.GetString(), member.name.GetStringLength());
        auto memberPath = fmt::format("{}/{}", path, name);
        auto declared = properties ? jsonMember(*properties, name.c_str()) : nullptr;
        if (declared) checkNode(member.value, *declared, memberPath, faults);
        else if (additional && additional->IsObject())
            checkNode(member.value, *additional, memberPath, faults);
        else if (additional && additional->IsBool() && !additional->GetBool())
            faults.push_back({memberPath, "unknown field"});
    }
    auto required = jsonMember(schema, "required");
    if (!required || !required->IsArray()) return;
    for (auto& name : required->GetArray())
        if (!jsonMember(object, name.GetString()))
            faults.push_back({path + "/" + name.GetString(), "missing"});
}

auto checkItems(const rapidjson::Value& list, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void {
    auto items = jsonMember(schema, "items");
    if (!items || !items->IsObject()) return;
    for (auto i = 0u; i < list.Size(); i++) checkNode(list[i], *items, fmt::format("{}/{}", path, i), faults);
}

/// The value against the schema's keywords other than those of its members and items.
auto checkKeywords(const rapidjson::Value& value, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void {
    auto keywords = rapidjson::Document();
    keywords.SetObject();
    auto& allocator = keywords.GetAllocator();
    for (auto& keyword : schema.GetObject()) {
        auto name = std::string_view(keyword.name.GetString());
        if (name == "properties" || name == "additionalProperties" || name == "required" || name == "items")
            continue;
        keywords.AddMember(
            rapidjson::Value(keyword.name, allocator), rapidjson::Value(keyword.value, allocator), allocator);
    }
    auto document = rapidjson::SchemaDocument(keywords);
    auto validator = rapidjson::SchemaValidator(document);
    if (value.Accept(validator)) return;
    auto keyword = validator.GetInvalidSchemaKeyword();
    auto limit = keyword ? jsonMember(schema, keyword) : nullptr;
    faults.push_back({path.empty() ? "/" : path,
        fmt::format("breaks \"{}\"{}", keyword ? keyword : "schema", limit ? ": " + jsonText(*limit) : "")});
}

auto checkNode(const rapidjson::Value& value, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void {
    if (value.IsObject()) checkMembers(value, schema, path, faults);
    else if (value.IsArray()) checkItems(value, schema, path, faults);
    checkKeywords(value, schema, path, faults);
}

}  // namespace

auto checkSchema(const rapidjson::Value& value, const char* schema) -> std::vector<Fault> {
    auto parsed = rapidjson::Document();
    if (!parseJson(schema, parsed)) return {{"/", "the schema itself is malformed"}};
    auto faults = std::vector<Fault>();
    checkNode(value, parsed, "", faults);
    return faults;
}

}  // namespace duneturn
