// Lines for changes of state, to standard error.
#include "base/log.hpp"

#include <cstdio>
#include <mutex>
#include <string_view>

#include <fmt/format.h>

#include "base/time.hpp"

namespace duneturn {

static auto muted = false;

auto muteLog(bool on) -> void { muted = on; }

auto logLine(std::string_view s) -> void {
    if (muted) return;
    static std::mutex mutex;
    auto lock = std::lock_guard(mutex);
    fmt::print(stderr, "{} {}\n", formatWallTime(wallNow()), s);
}

}  // namespace duneturn
