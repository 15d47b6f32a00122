#include "quota/grant_reserve.hpp"

#include <algorithm>

namespace duneturn {

auto GrantReserve::announce(std::int64_t sequence, std::int64_t reserve) -> void {
    auto covered = granted_ + reserve;
    covered_ = std::min(covered_, covered);
    for (auto& image : unconfirmed_) image.covered = std::min(image.covered, covered);
    unconfirmed_.push_back({sequence, covered});
}

auto GrantReserve::confirm(std::int64_t sequence) -> void {
    while (!unconfirmed_.empty() && unconfirmed_.front().sequence <= sequence) {
        covered_ = unconfirmed_.front().covered;
        unconfirmed_.pop_front();
    }
}

}  // namespace duneturn
