#pragma once
// The operators' command line.
#include <cstdint>
#include <string>
#include <vector>

namespace duneturn {

/// Exit codes of the operators' commands.
enum class Exit {
    Done = 0,
    Rejected = 1,
    WrongUse = 2,
    Unreached = 3,  ///< No reply, or the node isn't ready.
    Unknown = 4     ///< Whether it was done is not known.
};

/// The flags of all commands.
struct CtlOptions {
    std::string node;        ///< Any node's operator address.
    std::string key;         ///< Idempotency key of an order; one is drawn if this is empty.
    std::int64_t base = -1;  ///< The generation of the configuration that a change rests on; -1: the newest.
    bool json = false;       ///< Output as JSON.
    bool once = false;       ///< watch: what is remembered, then the end.
    bool here = false;       ///< live, watch: of this node only.
};
/// Runs one command, given as its words; the process's exit code, an Exit.
[[nodiscard]] auto ctlRun(const CtlOptions& options, const std::vector<std::string>& words) -> int;
/// The commands and flags as text.
[[nodiscard]] auto ctlHelp() -> std::string;

}  // namespace duneturn
