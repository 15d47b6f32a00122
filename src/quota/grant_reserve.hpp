#pragma once
// Limits what a granter may grant before a majority of voters has acknowledged a newer image of its ledger.
#include <cstdint>
#include <deque>

namespace duneturn {

/// The grant reserve of one tenant in one granter's term.
///
/// An image is a snapshot of the granter's ledger that is replicated to the voters. Each image accounts for
/// the tokens granted before it was made, plus a reserve that may be granted afterwards. Grants stay within
/// the newest image that a majority has acknowledged and within every later one, because the granter's
/// successor may start from any of these.
class GrantReserve {
  public:
    /// The number of tokens that may be granted now.
    [[nodiscard]] auto remaining() const -> std::int64_t {
        return grantLimit_ > granted_ ? grantLimit_ - granted_ : 0;
    }
    /// Counts granted tokens. The caller keeps `tokens` within remaining().
    auto grant(std::int64_t tokens) -> void { granted_ += tokens; }
    /// Registers an image about to be sent, which accounts for `reserve` tokens beyond those granted so far.
    /// Sequences must increase from call to call.
    auto addImage(std::int64_t sequence, std::int64_t reserve) -> void;
    /// A majority of voters has acknowledged the image with this sequence or a newer one.
    auto confirm(std::int64_t sequence) -> void;

  private:
    struct PendingImage {
        std::int64_t sequence = 0;
        std::int64_t grantLimit = 0;
    };
    // Both count tokens since the start of the term. No more than grantLimit_ may be granted in total.
    std::int64_t granted_ = 0, grantLimit_ = 0;
    std::deque<PendingImage> pendingImages_;  // without a majority's acknowledgement, oldest first
};

}  // namespace duneturn
