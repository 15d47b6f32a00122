// Hashes, rendezvous ranks and deterministic random numbers.
#include "base/shared.hpp"

#include <xxhash.h>

namespace duneturn {

auto hash64(std::string_view s, std::uint64_t seed) -> std::uint64_t {
    return XXH3_64bits_withSeed(s.data(), s.size(), seed);
}

auto rank(std::string_view key, std::string_view name) -> std::uint64_t { return hash64(name, hash64(key)); }

// splitmix64: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
auto Rng::next() -> std::uint64_t {
    auto z = (s += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

}  // namespace duneturn
