#include "base/log.hpp"

#include <cstdio>
#include <mutex>
#include <string_view>

#include <fmt/format.h>

#include "base/time.hpp"

namespace duneturn {

static auto logIsMuted = false;

auto muteLog(bool muted) -> void { logIsMuted = muted; }

auto logLine(std::string_view line) -> void {
    if (logIsMuted) return;
    static std::mutex mutex;
    auto lock = std::lock_guard(mutex);
    fmt::print(stderr, "{} {}\n", formatWallTime(wallNow()), line);
}

}  // namespace duneturn
