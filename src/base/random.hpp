#pragma once
// Deterministic random numbers, for simulation, tests and timeouts that must be repeatable from a seed.
#include <cstdint>

namespace duneturn {

/// A generator of 64-bit numbers (splitmix64). The same seed gives the same sequence on every machine.
/// Not for secrets.
struct RandomSource {
    /// The generator's whole state; the seed before the first number.
    std::uint64_t state = 0;

    /// The next number, each of the 2^64 with the same probability.
    [[nodiscard]] auto next() -> std::uint64_t;
    /// A number from 0 to `limit` - 1; 0 if `limit` is 0.
    [[nodiscard]] auto below(std::uint64_t limit) -> std::uint64_t { return limit ? next() % limit : 0; }
    /// True with this probability, from 0 to 1.
    [[nodiscard]] auto chance(double probability) -> bool {
        constexpr auto MANTISSA_SHIFT = 11;  // leaves the 53 bits that a double holds exactly
        return double(next() >> MANTISSA_SHIFT) * 0x1.0p-53 < probability;
    }
};

}  // namespace duneturn
