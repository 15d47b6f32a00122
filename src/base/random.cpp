// Deterministic random numbers.
#include "base/random.hpp"

#include <cstdint>

namespace duneturn {

// splitmix64: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
auto RandomSource::next() -> std::uint64_t {
    auto z = (s += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

}  // namespace duneturn
