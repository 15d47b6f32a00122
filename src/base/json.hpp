#pragma once
// Parts of the JSON helpers that only their own sources need; the others stand in shared.hpp.
#include "base/shared.hpp"

namespace duneturn {

/// The member of an object; null if there is none, or `v` is no object.
auto jsMember(const rapidjson::Value& v, const char* k) -> const rapidjson::Value*;

}  // namespace duneturn
