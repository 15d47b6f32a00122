#pragma once
// The shared beginnings of prompts, by which requests find the server that has read them before.
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace duneturn {

/// A prompt's parts as its client names them.
struct PromptParts {
    /// Hashes of the parts in order, with their tokens; the last is the request's own.
    std::vector<std::pair<std::uint64_t, std::int64_t>> parts;
    std::uint64_t prefixKey = 0;  ///< Of all parts that are shared.
    std::int64_t sharedTokens = 0;
};

/// Reads "ID:TOKENS,ID:TOKENS,..."; nothing if the text has another form. Parts beyond the 256th are
/// left out.
[[nodiscard]] auto parsePromptParts(const std::string& text) -> std::optional<PromptParts>;

/// For prompts without named parts: where their shared part ends nobody says, so it is the longest
/// beginning, in steps of 512 bytes, that has come before.
class PrefixHistory {
  public:
    /// The key of the longest known beginning of `body`, 0 if there is none. All its beginnings are known
    /// from then on.
    auto keyOf(std::string_view body) -> std::uint64_t;

  private:
    std::set<std::uint64_t> known_;
    std::deque<std::uint64_t> order_;  // the oldest first
};

}  // namespace duneturn
