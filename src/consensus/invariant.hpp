#pragma once
// Invariants of the replicated log that are checked wherever they are relied on, in every build.
// They stay on in programs that are deployed: a voter whose state contradicts itself must stop, since
// each further message or write could destroy what other disks still hold soundly. assert() would do
// in this project's own builds, but is off wherever NDEBUG is defined.
#include <cstdio>
#include <cstdlib>

namespace duneturn {

/// Says which invariant does not hold, and ends the process.
[[noreturn]] inline auto invariantFailed(const char* condition, const char* file, int line) -> void {
    std::fprintf(stderr, "invariant_failed condition=\"%s\" at=%s:%d\n", condition, file, line);
    std::abort();
}

}  // namespace duneturn

/// Ends the process unless the condition holds.
#define INVARIANT(condition) \
    ((condition) ? static_cast<void>(0) : ::duneturn::invariantFailed(#condition, __FILE__, __LINE__))
