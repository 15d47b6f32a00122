#include "base/json.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace duneturn {

namespace {

constexpr auto MAX_DEPTH = 64;  // of nested objects and lists

// The depth is bounded before the recursive parts (schema, merge, writer) see the document.
auto nestsTooDeep(std::string_view text) -> bool {
    auto depth = 0;
    auto quoted = false;
    for (auto i = std::size_t(0); i < text.size(); i++) {
        auto letter = text[i];
        if (quoted) {
            if (letter == '\\') i++;
            else if (letter == '"') quoted = false;
        } else if (letter == '"') {
            quoted = true;
        } else if (letter == '{' || letter == '[') {
            if (++depth > MAX_DEPTH) return true;
        } else if (letter == '}' || letter == ']') {
            depth--;
        }
    }
    return false;
}

}  // namespace

auto jsonText(const rapidjson::Value& value) -> std::string {
    auto buffer = rapidjson::StringBuffer();
    auto writer = rapidjson::Writer<rapidjson::StringBuffer>(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

auto jsonPrettyText(const rapidjson::Value& value) -> std::string {
    auto buffer = rapidjson::StringBuffer();
    auto writer = rapidjson::PrettyWriter<rapidjson::StringBuffer>(buffer);
    writer.SetIndent(' ', 2);
    writer.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

auto jsonQuote(std::string_view text) -> std::string {
    return jsonText(rapidjson::Value(rapidjson::StringRef(text.data(), text.size())));
}

auto parseJson(std::string_view text, rapidjson::Document& document) -> bool {
    if (nestsTooDeep(text)) return false;
    document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
        text.data(), text.size());
    return !document.HasParseError();
}

auto jsonMember(const rapidjson::Value& value, const char* name) -> const rapidjson::Value* {
    if (!value.IsObject()) return nullptr;
    auto found = value.FindMember(name);
    return found == value.MemberEnd() ? nullptr : &found->value;
}

auto jsonString(const rapidjson::Value& value, const char* name, std::string_view otherwise) -> std::string {
    auto member = jsonMember(value, name);
    if (!member || !member->IsString()) return std::string(otherwise);
    return {member->GetString(), member->GetStringLength()};
}

auto jsonInteger(const rapidjson::Value& value, const char* name, std::int64_t otherwise) -> std::int64_t {
    auto member = jsonMember(value, name);
    return member && member->IsInt64() ? member->GetInt64() : otherwise;
}

auto jsonNumber(const rapidjson::Value& value, const char* name, double otherwise) -> double {
    auto member = jsonMember(value, name);
    return member && member->IsNumber() ? member->GetDouble() : otherwise;
}

auto jsonBool(const rapidjson::Value& value, const char* name, bool otherwise) -> bool {
    auto member = jsonMember(value, name);
    return member && member->IsBool() ? member->GetBool() : otherwise;
}

auto jsonStrings(const rapidjson::Value& value, const char* name) -> std::vector<std::string> {
    auto strings = std::vector<std::string>();
    auto member = jsonMember(value, name);
    if (!member || !member->IsArray()) return strings;
    for (auto& item : member->GetArray())
        if (item.IsString()) strings.emplace_back(item.GetString(), item.GetStringLength());
    return strings;
}

auto applyMergePatch(rapidjson::Value& target, const rapidjson::Value& patch,
    rapidjson::Document::AllocatorType& allocator) -> void {
    if (!patch.IsObject()) {
        target.CopyFrom(patch, allocator);
        return;
    }
    if (!target.IsObject()) target.SetObject();
    for (auto& member : patch.GetObject()) {
        auto found = target.FindMember(member.name);
        if (member.value.IsNull()) {
            if (found != target.MemberEnd()) target.EraseMember(found);
            continue;
        }
        if (found == target.MemberEnd()) {
            target.AddMember(rapidjson::Value(member.name, allocator), rapidjson::Value(), allocator);
            found = target.FindMember(member.name);
        }
        applyMergePatch(found->value, member.value, allocator);
    }
}

}  // namespace duneturn
