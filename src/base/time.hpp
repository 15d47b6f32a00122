#pragma once
// Points in time and spans of it, the machine's clocks, and times of the calendar as text.
#include <cstdint>
#include <string>

namespace duneturn {

/// A point in time or a span of it, in whole microseconds. A plain count and not a type of std::chrono:
/// such values cross the wire and the disk, stand in JSON documents, and are computed with as they are.
using Microseconds = std::int64_t;

constexpr Microseconds MILLISECOND = 1000;
constexpr Microseconds SECOND = 1000 * MILLISECOND;

/// Time since the machine started, counting time suspended (CLOCK_BOOTTIME). Never goes backwards.
[[nodiscard]] auto bootNow() -> Microseconds;
/// The calendar's time since 1970 in UTC (CLOCK_REALTIME). May be set back.
[[nodiscard]] auto wallNow() -> Microseconds;
/// Calendar time as RFC 3339 in UTC, to the second.
[[nodiscard]] auto formatWallTime(Microseconds time) -> std::string;
/// The time that a text of formatWallTime's form names; -1 if it has another form.
[[nodiscard]] auto parseWallTime(const std::string& text) -> Microseconds;

}  // namespace duneturn
