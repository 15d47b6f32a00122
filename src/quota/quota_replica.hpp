#pragma once
// What a voter keeps of the granter's ledger, in memory, for the granter's successor.
#include <cstdint>

#include "base/time.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_limits.hpp"
#include "wire_types.h"

namespace duneturn {

/// The newest image of the ledger that this voter was sent, and the highest term that it has promised to.
class QuotaReplica {
  public:
    /// `startedAt`: of this process, which remembers nothing from before.
    explicit QuotaReplica(Microseconds startedAt) : startedAt_(startedAt) {}

    /// Takes an image; false, and it must not be acknowledged, if a higher term was promised.
    [[nodiscard]] auto take(const wire::QuotaImage& image, Microseconds now) -> bool;
    /// Promises to a new granter, and answers with what is held; false if a higher term was promised.
    /// `window`: the longest for which anything granted before this process's start may count, beside leases.
    [[nodiscard]] auto promise(
        std::int64_t term, Microseconds window, wire::QuotaImageAnswer& answer, Microseconds now) -> bool;

    /// Test-only faults.
    QuotaFaults broken;

  private:
    Microseconds startedAt_;
    std::int64_t promised_ = 0;
    wire::QuotaImage image_;
    Microseconds receivedAt_ = 0;
};

}  // namespace duneturn
