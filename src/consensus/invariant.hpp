#pragma once
// Runtime checks of the replicated log's invariants, active in every build including deployed ones. A voter
// whose state contradicts itself must stop, since each further message or write could destroy data that
// other disks still hold intact. assert() would be enough for this project's own builds, but it is disabled
// wherever NDEBUG is defined.
#include <cstdio>
#include <cstdlib>

namespace duneturn {

/// Reports the violated invariant on stderr and aborts the process.
[[noreturn]] inline auto invariantFailed(const char* condition, const char* file, int line) -> void {
    std::fprintf(stderr, "invariant_failed condition=\"%s\" at=%s:%d\n", condition, file, line);
    std::abort();
}

}  // namespace duneturn

/// Aborts the process unless the condition holds.
#define INVARIANT(condition) \
    ((condition) ? static_cast<void>(0) : ::duneturn::invariantFailed(#condition, __FILE__, __LINE__))
