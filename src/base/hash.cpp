#include "base/hash.hpp"

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace duneturn {

auto hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto rendezvousRank(std::string_view key, std::string_view name) -> std::uint64_t {
    return hash64(name, hash64(key));
}

}  // namespace duneturn
