#include "net/acknowledgement_watch.hpp"

#include "base/time.hpp"

namespace duneturn {

auto AcknowledgementWatch::observe(const SendQueue& queue, Microseconds now) -> Verdict {
    if (queue.bytes == 0) {
        unansweredSince_.reset();
        return Verdict::Acknowledged;
    }
    auto acknowledgedAt = now - queue.sinceAcknowledgement;
    if (!queue.awaitsAcknowledgement) {
        // The peer's window is closed, and it has answered the last probe.
        unansweredSince_.reset();
    } else if (!unansweredSince_ || acknowledgedAt > *unansweredSince_) {
        unansweredSince_ = now;
    }
    auto isLost = unansweredSince_ && now - *unansweredSince_ >= limit_;
    return isLost ? Verdict::Lost : Verdict::Waiting;
}

}  // namespace duneturn
