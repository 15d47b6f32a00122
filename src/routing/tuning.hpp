#pragma once
// Figures that several parts of the router share.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// Credit of one attempt in the retry budget.
constexpr std::int64_t CREDIT_PER_ATTEMPT = 1000;
/// How long a server may take to accept a connection.
constexpr Microseconds CONNECT_TIMEOUT = 400 * MILLISECOND;
/// How fast an engine reads a prompt, roughly.
constexpr double PROMPT_TOKENS_PER_MICROSECOND = 0.05;
/// What another region adds to an answer, roughly.
constexpr Microseconds OTHER_REGION_LATENCY = 100 * MILLISECOND;
/// A load older than this is believed less and less.
constexpr Microseconds LOAD_BELIEVED_FOR = 2 * SECOND;
/// Tokens of a shared beginning that are worth a cache home.
constexpr std::int64_t LONG_PREFIX_TOKENS = 1024;

}  // namespace duneturn
