// Lines for changes of state, to standard error.
#include "base/shared.hpp"

#include <cstdio>

namespace duneturn {

static auto muted = false;

auto logMute(bool on) -> void { muted = on; }

auto logLine(std::string_view s) -> void {
    if (muted) return;
    static std::mutex mutex;
    auto lock = std::lock_guard(mutex);
    fmt::print(stderr, "{} {}\n", wallText(wallNow()), s);
}

}  // namespace duneturn
