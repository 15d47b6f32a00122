// The schedule of a planned stop.
#include "base/time.hpp"
#include "net/stop_schedule.hpp"
#include "test.hpp"

namespace duneturn {

TEST(StopSchedule, steps) {
    auto schedule = StopSchedule();
    CHECK(schedule.step(100 * SECOND, false) == StopStep::Serve);
    schedule = {10 * SECOND, 8 * SECOND};
    auto busyAt = [&](Microseconds elapsed) { return schedule.step(10 * SECOND + elapsed, true); };
    auto idleAt = [&](Microseconds elapsed) { return schedule.step(10 * SECOND + elapsed, false); };
    // Served for the first 40% of the grace, then refused, cut at 85%.
    CHECK(busyAt(0) == StopStep::Serve);
    CHECK(busyAt(3200 * MILLISECOND - 1) == StopStep::Serve);
    CHECK(busyAt(3200 * MILLISECOND) == StopStep::Refuse);
    CHECK(busyAt(6800 * MILLISECOND - 1) == StopStep::Refuse);
    CHECK(busyAt(6800 * MILLISECOND) == StopStep::Cut);
    // Idle, it ends; but not before the clients' lists can have caught up.
    CHECK(idleAt(1500 * MILLISECOND - 1) == StopStep::Serve);
    CHECK(idleAt(1500 * MILLISECOND) == StopStep::End);
    CHECK(idleAt(5 * SECOND) == StopStep::End);
    CHECK(idleAt(7 * SECOND) == StopStep::End);
    // A grace shorter than that is kept to.
    schedule.grace = SECOND;
    CHECK(busyAt(850 * MILLISECOND) == StopStep::Cut);
    CHECK(idleAt(850 * MILLISECOND) == StopStep::End);
}

}  // namespace duneturn
