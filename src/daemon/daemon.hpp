#pragma once
// The shell of edge and core: sockets, disk and threads round the roles' logic.
#include "base/settings.hpp"
#include "base/time.hpp"
#include "daemon/shell.hpp"

namespace duneturn {

struct DaemonOptions {
    Settings st;
    bool core = false;                 // with an adapter: a core is what has a data folder
    Microseconds drain = 10 * SECOND;  // how long streams in flight may go on after SIGTERM
    int workers = 3;                   // with an adapter: one
    Adapter* adapter = nullptr;
    bool operatorListens = true;      // false: no operator's address is opened
    Microseconds grace = 8 * SECOND;  // with an adapter: the time from SIGTERM to SIGKILL
    bool reuse = true;                // with an adapter: connections to servers carry several exchanges
};
/// Runs until SIGTERM or SIGINT; the process's exit code.
auto daemonRun(const DaemonOptions& o) -> int;

}  // namespace duneturn
