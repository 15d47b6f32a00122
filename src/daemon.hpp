#pragma once
// The shell of edge and core: sockets, disk and threads round the roles' logic.
#include "shared.hpp"

namespace dt {

struct DaemonOptions {
    Settings st;
    bool core = false;
    Us drain = 10 * SEC;  // how long streams in flight may go on after SIGTERM
    int workers = 3;
};
/// Runs until SIGTERM or SIGINT; the process's exit code.
auto daemonRun(const DaemonOptions& o) -> int;

}  // namespace dt
