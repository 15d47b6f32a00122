#pragma once
// How many tokens of a tenant a granter may grant before a newer image of its ledger is held by a majority.
#include <cstdint>
#include <deque>

namespace duneturn {

/// Each image covers what was granted until it was made, and a reserve. Grants stay within the newest image
/// that a majority holds, and within each newer one: a successor may find any of these.
class GrantReserve {
  public:
    /// Tokens that may be granted now.
    [[nodiscard]] auto remaining() const -> std::int64_t {
        return covered_ > granted_ ? covered_ - granted_ : 0;
    }
    auto grant(std::int64_t tokens) -> void { granted_ += tokens; }
    /// An image with this sequence covers so many tokens more.
    auto announce(std::int64_t sequence, std::int64_t reserve) -> void;
    /// A majority holds the image of this sequence, or a newer one.
    auto confirm(std::int64_t sequence) -> void;

  private:
    struct Image {
        std::int64_t sequence = 0;
        std::int64_t covered = 0;
    };
    std::int64_t granted_ = 0, covered_ = 0;
    std::deque<Image> unconfirmed_;  // oldest first
};

}  // namespace duneturn
