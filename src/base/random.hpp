#pragma once
// Deterministic random numbers.
#include <cstdint>

namespace duneturn {

/// Deterministic numbers from a seed (splitmix64).
struct RandomSource {
    std::uint64_t s;
    auto next() -> std::uint64_t;
    /// A number from 0 to `n` - 1; 0 if `n` is 0.
    auto below(std::uint64_t n) -> std::uint64_t { return n ? next() % n : 0; }
    /// True with probability `p`.
    auto chance(double p) -> bool { return double(next() >> 11) * 0x1.0p-53 < p; }
};

}  // namespace duneturn
