#pragma once
// Which leading parts of prompts a server's cache is believed to hold.
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace duneturn {

/// The parts of prompts that one server was sent lately, as far as its memory goes: the least recently
/// sent give way first. Serves the rule that a long shared beginning goes where it was read before.
class PrefixCache {
  public:
    /// Whether the server is believed to hold this part.
    [[nodiscard]] auto has(std::uint64_t part) const -> bool { return positions_.count(part) > 0; }
    /// The server was sent a part of so many tokens; `capacity` is its memory in tokens.
    auto add(std::uint64_t part, std::int64_t tokens, std::int64_t capacity) -> void;
    /// The server may have lost its memory.
    auto clear() -> void;

  private:
    struct Part {
        std::uint64_t hash;
        std::int64_t tokens;
    };
    std::list<Part> parts_;  // the most recently sent first
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> positions_;
    std::int64_t totalTokens_ = 0;
};

}  // namespace duneturn
