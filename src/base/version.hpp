#pragma once
// The program's version and that of its wire.
#include <cstdint>

namespace duneturn {

/// Raised when an older process could misread a newer one; 2: reads compressed envelopes.
constexpr std::int32_t WIRE = 2;
constexpr auto VERSION = "0.1.0";

}  // namespace duneturn
