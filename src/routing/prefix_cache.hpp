#pragma once
// An estimate of the prompt parts that one server's KV cache holds.
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace duneturn {

/// The prompt parts sent to one server, evicted in least recently used order once they exceed the capacity of
/// its KV cache. Selection uses it to send a long shared prefix to a server that has already processed it.
class PrefixCache {
  public:
    /// Whether the server's cache is expected to hold the part with this hash.
    [[nodiscard]] auto has(std::uint64_t part) const -> bool { return positions_.count(part) > 0; }
    /// Records a part that was sent to the server. `tokens`: its size; `capacity`: of the KV cache, in
    /// tokens.
    auto add(std::uint64_t part, std::int64_t tokens, std::int64_t capacity) -> void;
    /// Forgets all parts, since the server may have restarted with an empty cache.
    auto clear() -> void;

  private:
    struct Part {
        std::uint64_t hash;
        std::int64_t tokens;
    };
    std::list<Part> parts_;  // most recently sent first
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> positions_;
    std::int64_t totalTokens_ = 0;
};

}  // namespace duneturn
