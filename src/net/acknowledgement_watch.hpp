#pragma once
// Distinguishes a peer that reads nothing for a while from one whose machine is lost: only the kernel of the
// first acknowledges probes of its full receive buffer. TCP_USER_TIMEOUT ends the connection in both cases.
#include <optional>

#include "base/time.hpp"
#include "net/socket.hpp"

namespace duneturn {

/// Judges samples of one connection's send queue. It does no I/O.
class AcknowledgementWatch {
  public:
    enum class Verdict {
        Acknowledged,  ///< The peer has all bytes that were sent; there is nothing to watch.
        Waiting,       ///< Bytes are still to be acknowledged, and the peer is not known to be lost.
        Lost,          ///< Something that was sent got no acknowledgement for the limit.
    };

    /// `limit`: as TCP_USER_TIMEOUT. Samples should come several times as often.
    explicit AcknowledgementWatch(Microseconds limit) : limit_(limit) {}
    /// Takes the next sample.
    [[nodiscard]] auto observe(const SendQueue& queue, Microseconds now) -> Verdict;

  private:
    const Microseconds limit_;
    std::optional<Microseconds> unansweredSince_;  // the first sample since which nothing was acknowledged
};

}  // namespace duneturn
