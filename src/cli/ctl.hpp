#pragma once
// The operators' command line.
#include <cstdint>
#include <string>
#include <vector>

namespace duneturn {

/// Exit codes of the operators' commands.
enum Exit { DONE = 0, REJECTED = 1, USAGE = 2, UNREACHED = 3, UNKNOWN = 4 };

struct CtlOptions {
    std::string node;  // any node's operator address
    std::string key;
    std::int64_t base = -1;
    bool json = false, once = false, here = false;
};
/// Runs one command, given as its words; an Exit code.
auto ctlRun(const CtlOptions& options, const std::vector<std::string>& words) -> int;
auto ctlHelp() -> std::string;

}  // namespace duneturn
