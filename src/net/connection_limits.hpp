#pragma once
// What the configuration in force allows clients' connections.
#include <cstddef>

#include <rapidjson/document.h>

#include "base/time.hpp"

namespace duneturn {

/// The configuration's member "limits"; each is positive.
struct ConnectionLimits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(8) << 20;
    Microseconds headerRead = 10 * SECOND;  ///< From a request's first byte to its header's last.
    Microseconds idle = 60 * SECOND;        ///< How long a connection may be silent between requests.
};

/// Reads the limits of a configuration; those that it does not state, or not as a positive number, keep
/// their defaults.
[[nodiscard]] auto readConnectionLimits(const rapidjson::Value& config) -> ConnectionLimits;

}  // namespace duneturn
