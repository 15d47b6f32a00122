#pragma once
// JSON documents: reading, writing, members by name, merge patches, and checks by a schema.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/document.h>
#include <rapidjson/schema.h>

namespace duneturn {

/// A document's text without spaces.
auto jsonText(const rapidjson::Value& value) -> std::string;
/// A document's text over several lines.
auto jsonPrettyText(const rapidjson::Value& value) -> std::string;
/// `text` as a JSON string with its quotes.
auto jsonQuote(std::string_view text) -> std::string;
/// Reads a document; false if the text is none, or is nested too deep.
auto parseJson(std::string_view text, rapidjson::Document& document) -> bool;

/// The member of an object; null if there is none, or `value` is no object.
auto jsonMember(const rapidjson::Value& value, const char* name) -> const rapidjson::Value*;
// The member as this type, or the default where there is none of that type.
auto jsonString(const rapidjson::Value& value, const char* name, std::string_view otherwise = "")
    -> std::string;
auto jsonInteger(const rapidjson::Value& value, const char* name, std::int64_t otherwise = 0) -> std::int64_t;
auto jsonNumber(const rapidjson::Value& value, const char* name, double otherwise = 0) -> double;
auto jsonBool(const rapidjson::Value& value, const char* name, bool otherwise = false) -> bool;
auto jsonStrings(const rapidjson::Value& value, const char* name) -> std::vector<std::string>;

/// JSON merge patch, RFC 7396: `patch` onto `target`.
auto applyMergePatch(rapidjson::Value& target, const rapidjson::Value& patch,
    rapidjson::Document::AllocatorType& allocator) -> void;

/// A fault in a document: where (JSON pointer) and why.
struct Fault {
    std::string path, why;
};
/// All faults found by `schema` in `value`, unknown fields first; empty if it is sound.
auto checkSchema(const rapidjson::Value& value, const char* schema) -> std::vector<Fault>;

}  // namespace duneturn
