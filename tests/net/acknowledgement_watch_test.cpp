// The judge of a connection's send queue, from samples given by hand.
#include "base/time.hpp"
#include "net/acknowledgement_watch.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

using Verdict = AcknowledgementWatch::Verdict;

constexpr Microseconds LIMIT = 2 * SECOND;
constexpr Microseconds PERIOD = 200 * MILLISECOND;
constexpr Microseconds START = 100 * SECOND;
constexpr std::size_t BYTES = 1000;

/// The peer's window is closed, and the last probe was answered.
auto closedWindow(Microseconds sinceAcknowledgement) -> SendQueue {
    return {BYTES, false, sinceAcknowledgement};
}
/// Something was sent and is not acknowledged yet.
auto unanswered(Microseconds sinceAcknowledgement) -> SendQueue {
    return {BYTES, true, sinceAcknowledgement};
}

}  // namespace

// Guards against the loss of a connection whose server reads nothing for longer than the limit.
TEST(AcknowledgementWatch, aClosedWindowIsNoLoss) {
    auto watch = AcknowledgementWatch(LIMIT);
    for (auto now = START; now < START + 10 * LIMIT; now += PERIOD)
        CHECK(watch.observe(closedWindow(now - START), now) == Verdict::Waiting);
    CHECK(watch.observe({}, START + 10 * LIMIT) == Verdict::Acknowledged);
}

TEST(AcknowledgementWatch, aLossIsToldAfterTheLimit) {
    auto watch = AcknowledgementWatch(LIMIT);
    // The window has been closed for a while before the machine is lost.
    CHECK(watch.observe(closedWindow(3 * SECOND), START) == Verdict::Waiting);
    for (auto elapsed = PERIOD; elapsed < LIMIT + PERIOD; elapsed += PERIOD)
        CHECK(watch.observe(unanswered(3 * SECOND + elapsed), START + elapsed) == Verdict::Waiting);
    CHECK(watch.observe(unanswered(5 * SECOND + PERIOD), START + LIMIT + PERIOD) == Verdict::Lost);
}

// Samples that each happen to fall between a probe and its answer.
TEST(AcknowledgementWatch, eachAcknowledgementBeginsTheLimitAnew) {
    auto watch = AcknowledgementWatch(LIMIT);
    for (auto now = START; now < START + 10 * LIMIT; now += PERIOD)
        CHECK(watch.observe(unanswered(PERIOD / 2), now) == Verdict::Waiting);
    // The last acknowledgement is long ago, but this process has not looked for as long.
    auto later = START + 20 * LIMIT;
    CHECK(watch.observe(unanswered(LIMIT), later) == Verdict::Waiting);
}

TEST(AcknowledgementWatch, anAcknowledgedQueueEndsTheWait) {
    auto watch = AcknowledgementWatch(LIMIT);
    CHECK(watch.observe(unanswered(0), START) == Verdict::Waiting);
    CHECK(watch.observe({}, START + LIMIT) == Verdict::Acknowledged);
    CHECK(watch.observe(unanswered(2 * LIMIT), START + 2 * LIMIT) == Verdict::Waiting);
}

}  // namespace duneturn
