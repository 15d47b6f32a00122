#pragma once
// A voter's in-memory replica of the granter's ledger, from which the granter's successor recovers.
#include <cstdint>

#include "base/time.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_limits.hpp"
#include "wire_types.h"

namespace duneturn {

/// Keeps the newest ledger image that this voter received and the highest term that it promised to follow,
/// in the manner of an acceptor in Paxos. Nothing is kept on disk: the caller must reject terms below the
/// voter's durable term, so that a promise outlives the process.
class QuotaReplica {
  public:
    /// `startedAt`: the start of this process, which knows no images received before.
    explicit QuotaReplica(Microseconds startedAt) : startedAt_(startedAt) {}

    /// Stores an image unless a newer one is stored. Returns false if a higher term was promised; the image
    /// must not be acknowledged then.
    [[nodiscard]] auto take(const wire::QuotaImage& image, Microseconds now) -> bool;
    /// Promises a new granter to accept no image of a lower term, and fills `answer` with the stored image.
    /// Returns false if a higher term was promised already. `window`: the longest time for which tokens spent
    /// before the start of this process can count against a bound. The answer is `known` if this process has
    /// run for that time after all leases from before its start expired.
    [[nodiscard]] auto promise(
        std::int64_t term, Microseconds window, wire::QuotaImageAnswer& answer, Microseconds now) -> bool;

    /// For tests only.
    QuotaFaults faults;

  private:
    Microseconds startedAt_;
    std::int64_t promisedTerm_ = 0;
    wire::QuotaImage image_;  // sequence 0: none received
    Microseconds receivedAt_ = 0;
};

}  // namespace duneturn
