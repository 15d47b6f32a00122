#pragma once
// The difference between two versions of a long text, as parts copied from the older one and
// parts that are new.
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"

namespace duneturn {

/// A part of the newer text: `length` bytes of the older one from `offset`, or, if `length` is
/// 0, the bytes of `literal`.
struct TextPart {
    std::size_t offset = 0;
    std::size_t length = 0;
    std::string literal;
};
using TextChange = std::vector<TextPart>;

/// Parts that make `newer` of `older`. Texts are compared in pieces that end with a brace, as
/// the items of JSON documents do.
auto textChange(std::string_view older, std::string_view newer) -> TextChange;
/// The newer text; an error if a part lies outside `older`.
auto applyTextChange(std::string_view older, const TextChange& change)
    -> tl::expected<std::string, std::string>;

/// A change as JSON: [offset, length] for a copied part, a string for a new one.
auto textChangeValue(const TextChange& change, rapidjson::Document::AllocatorType& allocator)
    -> rapidjson::Value;
auto textChangeParse(const rapidjson::Value& value) -> tl::expected<TextChange, std::string>;

}  // namespace duneturn
