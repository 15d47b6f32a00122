#pragma once
// Headers of HTTP messages and the numbers in them.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/headers.hpp"

namespace duneturn {

[[nodiscard]] auto toLower(std::string_view text) -> std::string;
/// The value of the first header of this name, whatever its case; empty if there is none.
[[nodiscard]] auto header(const Headers& headers, std::string_view name) -> std::string;
/// Whether two names of headers are the same.
[[nodiscard]] auto equalsIgnoreCase(std::string_view left, std::string_view right) -> bool;
/// The headers less those that concern one connection only, and those that Connection names.
[[nodiscard]] auto endToEndHeaders(const Headers& headers) -> Headers;
/// A whole number of at most 18 digits; -1 if the text is none.
[[nodiscard]] auto parseNumber(const std::string& text) -> std::int64_t;
/// Whole numbers separated by commas; nothing if one is none.
[[nodiscard]] auto parseNumbers(const std::string& text) -> std::optional<std::vector<std::int64_t>>;

}  // namespace duneturn
