#include "routing/prefix_cache.hpp"

namespace duneturn {
namespace {

// Bounds the memory that this node uses per server, however large the server's KV cache is.
constexpr std::size_t MAX_PARTS = 8192;

}  // namespace

auto PrefixCache::add(std::uint64_t part, std::int64_t tokens, std::int64_t capacity) -> void {
    if (auto existing = positions_.find(part); existing != positions_.end()) {
        totalTokens_ -= existing->second->tokens;
        parts_.erase(existing->second);
    }
    parts_.push_front({part, tokens});
    positions_[part] = parts_.begin();
    totalTokens_ += tokens;
    while (parts_.size() > 1 && (totalTokens_ > capacity || parts_.size() > MAX_PARTS)) {
        totalTokens_ -= parts_.back().tokens;
        positions_.erase(parts_.back().hash);
        parts_.pop_back();
    }
}

auto PrefixCache::clear() -> void {
    parts_.clear();
    positions_.clear();
    totalTokens_ = 0;
}

}  // namespace duneturn
