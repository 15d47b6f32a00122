#include "base/time.hpp"

#include <string>
#include <time.h>

#include <fmt/format.h>

namespace duneturn {

static auto readClock(clockid_t clock) -> Microseconds {
    constexpr auto NANOSECONDS_PER_MICROSECOND = 1000;
    auto time = timespec();
    clock_gettime(clock, &time);
    return Microseconds(time.tv_sec) * SECOND + time.tv_nsec / NANOSECONDS_PER_MICROSECOND;
}

auto bootNow() -> Microseconds { return readClock(CLOCK_BOOTTIME); }

auto wallNow() -> Microseconds { return readClock(CLOCK_REALTIME); }

auto formatWallTime(Microseconds time) -> std::string {
    constexpr auto FIRST_YEAR = 1900;  // of struct tm
    auto seconds = time_t(time / SECOND);
    auto calendar = tm();
    gmtime_r(&seconds, &calendar);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", calendar.tm_year + FIRST_YEAR,
        calendar.tm_mon + 1, calendar.tm_mday, calendar.tm_hour, calendar.tm_min, calendar.tm_sec);
}

auto parseWallTime(const std::string& text) -> Microseconds {
    auto calendar = tm();
    auto end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &calendar);
    if (!end || *end) return -1;
    return Microseconds(timegm(&calendar)) * SECOND;
}

}  // namespace duneturn
