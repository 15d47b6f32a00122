#include "quota/quota_replica.hpp"

#include <algorithm>
#include <utility>

namespace duneturn {

auto QuotaReplica::take(const wire::QuotaImage& image, Microseconds now) -> bool {
    if (image.term < promisedTerm_ && !faults.ignorePromise) return false;
    promisedTerm_ = std::max(promisedTerm_, image.term);
    auto isNewer = std::pair(image.term, image.sequence) > std::pair(image_.term, image_.sequence);
    if (!isNewer) return true;
    image_ = image;
    receivedAt_ = now;
    return true;
}

auto QuotaReplica::promise(
    std::int64_t term, Microseconds window, wire::QuotaImageAnswer& answer, Microseconds now) -> bool {
    if (term < promisedTerm_) return false;
    promisedTerm_ = term;
    answer.term = term;
    answer.known = faults.claimMemoryAfterRestart || now - startedAt_ >= QUOTA_PREDECESSOR_EXPIRY + window;
    answer.image = image_;
    answer.age = now - (image_.sequence ? receivedAt_ : startedAt_);
    return true;
}

}  // namespace duneturn
