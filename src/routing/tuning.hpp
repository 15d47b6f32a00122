#pragma once
// Figures that several parts of the router share.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

constexpr std::int64_t ONE = 1000;                   // credit of one send
constexpr Microseconds CONNECT = 400 * MILLISECOND;  // how long a server may take to accept a connection
constexpr double READ = 0.05;                        // prompt tokens read in a microsecond, roughly
constexpr Microseconds FAR = 100 * MILLISECOND;      // what another region adds to an answer, roughly
constexpr Microseconds BELIEVED = 2 * SECOND;        // a load older than this is believed less and less
constexpr std::int64_t LONG = 1024;  // tokens of a shared beginning that are worth a cache home

}  // namespace duneturn
