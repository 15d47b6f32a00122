#pragma once
// Hashes of text, and rendezvous ranks made of them.
#include <cstdint>
#include <string_view>

namespace duneturn {

/// XXH3 of `text`, 64 bits.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;
/// Rendezvous rank of `name` for `key`: the highest rank is the first choice.
auto rendezvousRank(std::string_view key, std::string_view name) -> std::uint64_t;

}  // namespace duneturn
