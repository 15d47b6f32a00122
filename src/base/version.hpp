#pragma once
// The program's version and that of the messages between nodes.
#include <cstdint>

namespace duneturn {

/// The version of the messages between nodes. Raised when an older process could misread a newer one;
/// from 2 on a process reads compressed envelopes.
constexpr std::int32_t WIRE = 2;
/// The program's release.
constexpr auto VERSION = "0.1.0";

}  // namespace duneturn
