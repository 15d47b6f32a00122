// Reading, writing and merging of JSON documents.
#include "base/json.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace duneturn {

static constexpr auto MOST_DEPTH = 64;  // of nested objects and lists

auto jsonMember(const rapidjson::Value& v, const char* k) -> const rapidjson::Value* {
    if (!v.IsObject()) return nullptr;
    auto found = v.FindMember(k);
    return found == v.MemberEnd() ? nullptr : &found->value;
}

auto jsonText(const rapidjson::Value& v) -> std::string {
    auto b = rapidjson::StringBuffer();
    auto w = rapidjson::Writer<rapidjson::StringBuffer>(b);
    v.Accept(w);
    return {b.GetString(), b.GetSize()};
}

auto jsonPrettyText(const rapidjson::Value& v) -> std::string {
    auto b = rapidjson::StringBuffer();
    auto w = rapidjson::PrettyWriter<rapidjson::StringBuffer>(b);
    w.SetIndent(' ', 2);
    w.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    v.Accept(w);
    return {b.GetString(), b.GetSize()};
}

auto jsonString(const rapidjson::Value& v, const char* k, std::string_view d) -> std::string {
    auto p = jsonMember(v, k);
    return p && p->IsString() ? std::string(p->GetString(), p->GetStringLength()) : std::string(d);
}

auto jsonInteger(const rapidjson::Value& v, const char* k, std::int64_t d) -> std::int64_t {
    auto p = jsonMember(v, k);
    return p && p->IsInt64() ? p->GetInt64() : d;
}

auto jsonNumber(const rapidjson::Value& v, const char* k, double d) -> double {
    auto p = jsonMember(v, k);
    return p && p->IsNumber() ? p->GetDouble() : d;
}

auto jsonBool(const rapidjson::Value& v, const char* k, bool d) -> bool {
    auto p = jsonMember(v, k);
    return p && p->IsBool() ? p->GetBool() : d;
}

auto jsonStrings(const rapidjson::Value& v, const char* k) -> std::vector<std::string> {
    auto o = std::vector<std::string>();
    auto p = jsonMember(v, k);
    if (p && p->IsArray())
        for (auto& e : p->GetArray())
            if (e.IsString()) o.emplace_back(e.GetString(), e.GetStringLength());
    return o;
}

auto jsonQuote(std::string_view s) -> std::string {
    auto v = rapidjson::Value(rapidjson::StringRef(s.data(), s.size()));
    return jsonText(v);
}

// The depth is bounded before the recursive parts (schema, merge, writer) see the document.
static auto nestsTooDeep(std::string_view s) -> bool {
    auto depth = 0;
    auto quoted = false;
    for (auto i = std::size_t(0); i < s.size(); i++) {
        auto letter = s[i];
        if (quoted) {
            if (letter == '\\') i++;
            else if (letter == '"') quoted = false;
        } else if (letter == '"') quoted = true;
        else if (letter == '{' || letter == '[') {
            if (++depth > MOST_DEPTH) return true;
        } else if (letter == '}' || letter == ']') depth--;
    }
    return false;
}

auto parseJson(std::string_view s, rapidjson::Document& d) -> bool {
    if (nestsTooDeep(s)) return false;
    d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(s.data(), s.size());
    return !d.HasParseError();
}

auto applyMergePatch(rapidjson::Value& t, const rapidjson::Value& p, rapidjson::Document::AllocatorType& al)
    -> void {
    if (!p.IsObject()) {
        t.CopyFrom(p, al);
        return;
    }
    if (!t.IsObject()) t.SetObject();
    for (auto& m : p.GetObject()) {
        auto i = t.FindMember(m.name);
        if (m.value.IsNull()) {
            if (i != t.MemberEnd()) t.EraseMember(i);
            continue;
        }
        if (i == t.MemberEnd()) {
            t.AddMember(rapidjson::Value(m.name, al), rapidjson::Value(), al);
            i = t.FindMember(m.name);
        }
        applyMergePatch(i->value, m.value, al);
    }
}

}  // namespace duneturn
