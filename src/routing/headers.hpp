#pragma once
// Helpers for HTTP headers and the numbers in their values.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/headers.hpp"

namespace duneturn {

[[nodiscard]] auto toLower(std::string_view text) -> std::string;
/// The value of the first header of this name, ignoring case; empty if there is none.
[[nodiscard]] auto header(const Headers& headers, std::string_view name) -> std::string;
/// Whether two header names are equal, ignoring case.
[[nodiscard]] auto equalsIgnoreCase(std::string_view left, std::string_view right) -> bool;
/// The end-to-end headers: all but the hop-by-hop headers and those that the Connection header lists.
[[nodiscard]] auto endToEndHeaders(const Headers& headers) -> Headers;
/// Parses a non-negative integer of at most 18 digits; -1 if the text is malformed.
[[nodiscard]] auto parseNumber(const std::string& text) -> std::int64_t;
/// Parses non-negative integers separated by commas; nothing if the text is malformed.
[[nodiscard]] auto parseNumbers(const std::string& text) -> std::optional<std::vector<std::int64_t>>;

}  // namespace duneturn
