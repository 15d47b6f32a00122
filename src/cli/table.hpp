#pragma once
// JSON values as text for a terminal.
#include <string>
#include <vector>

#include "base/json.hpp"

namespace duneturn {

/// A string as it is, null as "-", anything else as JSON.
auto cellText(const rapidjson::Value& value) -> std::string;
/// A list of objects as a table with these members as columns; "-" where one has no such member.
auto tableText(const rapidjson::Value& rows, const std::vector<const char*>& columns) -> std::string;

}  // namespace duneturn
