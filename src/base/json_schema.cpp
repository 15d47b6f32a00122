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
    auto others = jsonMember(schema, "additionalProperties");
    for (auto& member : object.GetObject()) {
        auto name = std::string(member.name.GetString(), member.name.GetStringLength());
        auto memberPath = fmt::format("{}/{}", path, name);
        auto own = properties ? jsonMember(*properties, name.c_str()) : nullptr;
        if (own) checkNode(member.value, *own, memberPath, faults);
        else if (others && others->IsObject()) checkNode(member.value, *others, memberPath, faults);
        else if (others && others->IsBool() && !others->GetBool())
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
auto checkOwn(const rapidjson::Value& value, const rapidjson::Value& schema, const std::string& path,
    std::vector<Fault>& faults) -> void {
    auto own = rapidjson::Document();
    own.SetObject();
    auto& memory = own.GetAllocator();
    for (auto& keyword : schema.GetObject()) {
        auto name = std::string_view(keyword.name.GetString());
        if (name == "properties" || name == "additionalProperties" || name == "required" || name == "items")
            continue;
        own.AddMember(
            rapidjson::Value(keyword.name, memory), rapidjson::Value(keyword.value, memory), memory);
    }
    auto document = rapidjson::SchemaDocument(own);
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
    checkOwn(value, schema, path, faults);
}

}  // namespace

auto checkSchema(const rapidjson::Value& v, const char* schema) -> std::vector<Fault> {
    auto parsed = rapidjson::Document();
    if (!parseJson(schema, parsed)) return {{"/", "the schema itself is malformed"}};
    auto faults = std::vector<Fault>();
    checkNode(v, parsed, "", faults);
    return faults;
}

}  // namespace duneturn
