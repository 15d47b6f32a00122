// The schedule of a planned stop.
#include <vector>

#include "base/time.hpp"
#include "net/stop_schedule.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// What whoever stops the process allows: only a request sent this early may be cut.
constexpr Microseconds LATEST_CUTTABLE = 3 * SECOND;
/// And only in the last sixth of the grace.
constexpr auto LAST_SIXTH = 6;
/// Of a signal that reaches a busy process.
constexpr Microseconds SIGNAL_DELAY = 500 * MILLISECOND;
constexpr Microseconds STEP = 5 * MILLISECOND;

/// Graces from below a tick to minutes; some that six does not divide.
const auto GRACES = std::vector<Microseconds>{100 * MILLISECOND, 700 * MILLISECOND, SECOND, 1700001,
    2 * SECOND, 3 * SECOND, 5 * SECOND, 6 * SECOND, 7500 * MILLISECOND, 8 * SECOND, 10 * SECOND, 29999999,
    30 * SECOND, 120 * SECOND};

/// A stop that began at 10 s.
auto stepAt(Microseconds grace, Microseconds elapsed, bool busy) -> StopStep {
    auto schedule = StopSchedule{10 * SECOND, grace};
    return schedule.step(10 * SECOND + elapsed, busy);
}

}  // namespace

TEST(StopSchedule, steps) {
    auto schedule = StopSchedule();
    CHECK(schedule.step(100 * SECOND, false) == StopStep::Serve);
    auto busyAt = [&](Microseconds elapsed) { return stepAt(8 * SECOND, elapsed, true); };
    auto idleAt = [&](Microseconds elapsed) { return stepAt(8 * SECOND, elapsed, false); };
    CHECK(busyAt(0) == StopStep::Serve);
    CHECK(busyAt(2500 * MILLISECOND - 1) == StopStep::Serve);
    CHECK(busyAt(2500 * MILLISECOND) == StopStep::Refuse);
    CHECK(busyAt(7 * SECOND - 1) == StopStep::Refuse);
    CHECK(busyAt(7 * SECOND) == StopStep::Cut);
    CHECK(busyAt(7600 * MILLISECOND - 1) == StopStep::Cut);
    CHECK(busyAt(7600 * MILLISECOND) == StopStep::End);
    // Idle, it ends; but not before the clients' lists can have caught up.
    CHECK(idleAt(1500 * MILLISECOND - 1) == StopStep::Serve);
    CHECK(idleAt(1500 * MILLISECOND) == StopStep::End);
    CHECK(idleAt(5 * SECOND) == StopStep::End);
    CHECK(idleAt(7 * SECOND) == StopStep::End);
    // A grace shorter than that is kept to.
    CHECK(stepAt(SECOND, 850 * MILLISECOND, true) == StopStep::Cut);
    CHECK(stepAt(SECOND, 850 * MILLISECOND, false) == StopStep::End);
}

// Guards against the cut of a request that a stopping node took later than 3 s after SIGTERM (review/3).
TEST(StopSchedule, takesNoRequestThatMayNotBeCut) {
    for (auto grace : GRACES)
        for (auto elapsed = Microseconds(0); elapsed < grace; elapsed += STEP)
            if (stepAt(grace, elapsed, true) == StopStep::Serve)
                CHECK(elapsed + SIGNAL_DELAY <= LATEST_CUTTABLE);
}

// Guards against a cut before the last sixth of the grace, in which alone a running request may be cut.
TEST(StopSchedule, cutsNothingBeforeTheLastSixth) {
    for (auto grace : GRACES)
        for (auto elapsed = Microseconds(0); elapsed < grace; elapsed += STEP) {
            auto step = stepAt(grace, elapsed, true);
            if (step == StopStep::Cut || step == StopStep::End)
                CHECK(LAST_SIXTH * elapsed >= (LAST_SIXTH - 1) * grace);
        }
}

// Guards against a step that is left out, and against one that comes back.
TEST(StopSchedule, takesEachStepInTurnWithinTheGrace) {
    for (auto grace : GRACES) {
        auto steps = std::vector<StopStep>();
        for (auto elapsed = Microseconds(0); elapsed < grace; elapsed += STEP) {
            auto step = stepAt(grace, elapsed, true);
            if (steps.empty() || steps.back() != step) steps.push_back(step);
        }
        auto expected = std::vector{StopStep::Serve, StopStep::Refuse, StopStep::Cut, StopStep::End};
        CHECK(steps == expected);
    }
}

// Guards against a cut that comes long before a long grace is over.
TEST(StopSchedule, leavesRunningRequestsAllOfALongGraceButASecond) {
    for (auto grace : GRACES)
        if (grace >= LAST_SIXTH * SECOND) CHECK(stepAt(grace, grace - SECOND - 1, true) == StopStep::Refuse);
}

}  // namespace duneturn
