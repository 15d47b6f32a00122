#pragma once
// A digest of a JSON value, without its text being made.
#include <cstdint>

#include "base/json.hpp"

namespace duneturn {

/// 64 bits that are the same for equal values whose members stand in the same order, on every machine.
/// They cross the wire: the way they are made may never change.
[[nodiscard]] auto jsonDigest(const rapidjson::Value& value) -> std::uint64_t;

}  // namespace duneturn
