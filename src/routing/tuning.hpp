#pragma once
// Constants that several parts of the router share.
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

/// Retry budget credit that one attempt costs; credit is counted in thousandths of an attempt.
constexpr std::int64_t CREDIT_PER_ATTEMPT = 1000;
/// How long a server may take to accept a connection.
constexpr Microseconds CONNECT_TIMEOUT = 400 * MILLISECOND;
/// Approximate prefill throughput of an inference engine.
constexpr double PROMPT_TOKENS_PER_MICROSECOND = 0.05;
/// Approximate latency added to an answer by a server in another region.
constexpr Microseconds OTHER_REGION_LATENCY = 100 * MILLISECOND;
/// A reported load is fully trusted up to this age; after it the trust decreases to zero.
constexpr Microseconds LOAD_TRUST_DURATION = 2 * SECOND;
/// Shared prefixes of at least this length are sent to affinity servers.
constexpr std::int64_t MIN_AFFINITY_PREFIX_TOKENS = 1024;

}  // namespace duneturn
