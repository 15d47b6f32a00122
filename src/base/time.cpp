// The machine's clocks and times of the calendar.
#include "base/time.hpp"

#include <string>
#include <time.h>

#include <fmt/format.h>

namespace duneturn {

static auto readClock(clockid_t clock) -> Microseconds {
    constexpr auto NANOSECONDS = 1000;  // in a microsecond
    auto time = timespec();
    clock_gettime(clock, &time);
    return Microseconds(time.tv_sec) * SECOND + time.tv_nsec / NANOSECONDS;
}

auto bootNow() -> Microseconds { return readClock(CLOCK_BOOTTIME); }

auto wallNow() -> Microseconds { return readClock(CLOCK_REALTIME); }

auto formatWallTime(Microseconds t) -> std::string {
    auto seconds = time_t(t / SECOND);
    auto calendar = tm();
    gmtime_r(&seconds, &calendar);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", calendar.tm_year + 1900, calendar.tm_mon + 1,
        calendar.tm_mday, calendar.tm_hour, calendar.tm_min, calendar.tm_sec);
}

auto parseWallTime(const std::string& s) -> Microseconds {
    auto calendar = tm();
    auto end = strptime(s.c_str(), "%Y-%m-%dT%H:%M:%SZ", &calendar);
    if (!end || *end) return -1;
    return Microseconds(timegm(&calendar)) * SECOND;
}

}  // namespace duneturn
