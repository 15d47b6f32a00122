#include "quota/quota_replica.hpp"

#include <algorithm>
#include <utility>

namespace duneturn {

auto QuotaReplica::take(const wire::QuotaImage& image, Microseconds now) -> bool {
    if (image.term < promised_ && !broken.ignorePromise) return false;
    promised_ = std::max(promised_, image.term);
    auto isNewer = std::pair(image.term, image.sequence) > std::pair(image_.term, image_.sequence);
    if (!isNewer) return true;
    image_ = image;
    receivedAt_ = now;
    return true;
}

auto QuotaReplica::promise(
    std::int64_t term, Microseconds window, wire::QuotaImageAnswer& answer, Microseconds now) -> bool {
    if (term < promised_) return false;
    promised_ = term;
    answer.term = term;
    answer.known = broken.rememberNothing || now - startedAt_ >= QUOTA_PREDECESSOR_LAPSE + window;
    answer.image = image_;
    answer.age = image_.sequence ? now - receivedAt_ : 0;
    return true;
}

}  // namespace duneturn
