#include "consensus/read_index.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace duneturn {

auto ReadIndexQueue::takeAnswerable(std::int64_t lastApplied,
    const std::function<bool(std::int64_t round)>& isConfirmed) -> std::optional<std::int64_t> {
    auto isAnswerable = [&](const Read& read) {
        return lastApplied >= read.readIndex && isConfirmed(read.round);
    };
    auto found = std::find_if(reads_.begin(), reads_.end(), isAnswerable);
    if (found == reads_.end()) return std::nullopt;
    auto id = found->id;
    reads_.erase(found);
    return id;
}

auto ReadIndexQueue::takeAll() -> std::vector<std::int64_t> {
    auto ids = std::vector<std::int64_t>();
    for (auto& read : reads_) ids.push_back(read.id);
    reads_.clear();
    return ids;
}

}  // namespace duneturn
