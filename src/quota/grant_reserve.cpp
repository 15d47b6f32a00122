#include "quota/grant_reserve.hpp"

#include <algorithm>

namespace duneturn {

auto GrantReserve::addImage(std::int64_t sequence, std::int64_t reserve) -> void {
    auto grantLimit = granted_ + reserve;
    grantLimit_ = std::min(grantLimit_, grantLimit);
    for (auto& image : pendingImages_) image.grantLimit = std::min(image.grantLimit, grantLimit);
    pendingImages_.push_back({sequence, grantLimit});
}

auto GrantReserve::confirm(std::int64_t sequence) -> void {
    while (!pendingImages_.empty() && pendingImages_.front().sequence <= sequence) {
        grantLimit_ = pendingImages_.front().grantLimit;
        pendingImages_.pop_front();
    }
}

}  // namespace duneturn
