#pragma once
// Hashes of text, and the rendezvous hashing made of them. The values cross the wire and the disk: they may
// never change.
#include <cstdint>
#include <string_view>

namespace duneturn {

/// XXH3 of `text`, 64 bits.
[[nodiscard]] auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;
/// The rank of candidate `name` for `key`; the candidate with the highest rank is the first choice.
/// Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
[[nodiscard]] auto rendezvousRank(std::string_view key, std::string_view name) -> std::uint64_t;

}  // namespace duneturn
