#pragma once
// Keys of shared prompt prefixes, by which requests with the same prefix reach the same servers and find it
// in their KV caches.
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace duneturn {

/// The parts of a prompt as its client names them.
struct PromptParts {
    /// The parts in order, each as the hash of its name and its number of tokens. The last part belongs to
    /// this request only, unless it is the only one; the others are shared.
    std::vector<std::pair<std::uint64_t, std::int64_t>> parts;
    std::uint64_t prefixKey = 0;  ///< Identifies the sequence of shared parts; never 0.
    std::int64_t sharedTokens = 0;
};

/// Parses "ID:TOKENS,ID:TOKENS,..."; returns nothing if the text is malformed. Ignores parts beyond the
/// 256th.
[[nodiscard]] auto parsePromptParts(const std::string& text) -> std::optional<PromptParts>;

/// Derives the prefix keys of prompts whose clients do not name their parts. As the end of the shared part is
/// unknown, the longest prefix that an earlier body had too counts as shared, in steps of 512 bytes.
class PrefixHistory {
  public:
    /// Returns the key of the longest known prefix of `body`, 0 if there is none, and records all prefixes of
    /// `body`.
    auto longestKnownPrefix(std::string_view body) -> std::uint64_t;

  private:
    std::set<std::uint64_t> known_;
    std::deque<std::uint64_t> order_;  // oldest first
};

}  // namespace duneturn
