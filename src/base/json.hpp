#pragma once
// JSON documents: reading, writing, members by name, merge patches, and checks by a schema.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/document.h>
#include <rapidjson/schema.h>

namespace duneturn {

/// The text of a value without spaces.
[[nodiscard]] auto jsonText(const rapidjson::Value& value) -> std::string;
/// The text of a value over several lines, indented by two spaces.
[[nodiscard]] auto jsonPrettyText(const rapidjson::Value& value) -> std::string;
/// `text` as a JSON string with its quotes.
[[nodiscard]] auto jsonQuote(std::string_view text) -> std::string;
/// Reads a document; false if the text is no JSON, no UTF-8, or nested deeper than 64 levels.
/// Callers that read a text of their own writing may pass over the result.
auto parseJson(std::string_view text, rapidjson::Document& document) -> bool;

/// The member of an object; null if there is none, or `value` is no object.
[[nodiscard]] auto jsonMember(const rapidjson::Value& value, const char* name) -> const rapidjson::Value*;
/// A member that is a string; `otherwise` if it is missing or of another type, as below.
[[nodiscard]] auto jsonString(
    const rapidjson::Value& value, const char* name, std::string_view otherwise = "") -> std::string;
/// A member that is a whole number of 64 bits.
[[nodiscard]] auto jsonInteger(const rapidjson::Value& value, const char* name, std::int64_t otherwise = 0)
    -> std::int64_t;
/// A member that is any number.
[[nodiscard]] auto jsonNumber(const rapidjson::Value& value, const char* name, double otherwise = 0)
    -> double;
/// A member that is true or false.
[[nodiscard]] auto jsonBool(const rapidjson::Value& value, const char* name, bool otherwise = false) -> bool;
/// The strings of a member that is a list; items of other types are passed over.
[[nodiscard]] auto jsonStrings(const rapidjson::Value& value, const char* name) -> std::vector<std::string>;

/// Applies a JSON merge patch (RFC 7396) to `target`, whose allocator is given.
auto applyMergePatch(rapidjson::Value& target, const rapidjson::Value& patch,
    rapidjson::Document::AllocatorType& allocator) -> void;

/// A fault in a document.
struct Fault {
    std::string path;  ///< Where: a JSON pointer (RFC 6901).
    std::string why;
};
/// All faults that a JSON schema finds in a value, unknown members first; empty if it is sound.
[[nodiscard]] auto checkSchema(const rapidjson::Value& value, const char* schema) -> std::vector<Fault>;

}  // namespace duneturn
