#pragma once
// Validation of an operator's configuration: its schema, and the rules that span several members.
#include <vector>

#include "base/json.hpp"

namespace duneturn {

/// The faults of a whole configuration, each with its path and reason; empty if it is valid. Of a
/// document with very many faults only the first ones are named.
[[nodiscard]] auto validateConfiguration(const rapidjson::Value& configuration) -> std::vector<Fault>;

}  // namespace duneturn
