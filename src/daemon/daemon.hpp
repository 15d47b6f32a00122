#pragma once
// The process of a node, as edge, core or platform run it: sockets, disk and threads round the roles' logic.
// daemon.cpp assembles it; a client's request enters the logic and leaves it in client_request.hpp.
#include "base/settings.hpp"
#include "base/time.hpp"
#include "daemon/shell.hpp"

namespace duneturn {

struct DaemonOptions {
    Settings settings;
    bool core = false;                 ///< With an adapter: a core is what has a data folder.
    Microseconds drain = 10 * SECOND;  ///< How long streams under way may go on after SIGTERM.
    int workers = 3;                   ///< Worker threads; with an adapter: one.
    Adapter* adapter = nullptr;
    bool operatorListens = true;      ///< false: no operator's address is opened.
    Microseconds grace = 8 * SECOND;  ///< With an adapter: the time from SIGTERM to SIGKILL.
    bool reuse = true;                ///< With an adapter: connections to servers carry several requests.
};
/// Runs until SIGTERM or SIGINT; the process's exit code: 0, 1 (it cannot listen or open its disk) or 2 (the
/// disk was written by a newer program).
[[nodiscard]] auto daemonRun(const DaemonOptions& options) -> int;

}  // namespace duneturn
