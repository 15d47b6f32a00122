// The subcommand `ctl`: the operators' command line.
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "cli/ctl.hpp"
#include "cli/flags.hpp"
#include "cli/subcommand.hpp"

DEFINE_bool(here, false, "ctl live, watch: of this node only");
DEFINE_bool(once, false, "ctl watch: show what is remembered, then stop");
DEFINE_int64(base, -1, "ctl apply, change: the configuration generation this rests on");
DEFINE_string(key, "", "ctl: idempotency key of an order");

namespace duneturn {
namespace {

auto runCtl(const std::vector<std::string>& words) -> int {
    auto options = CtlOptions();
    options.node = FLAGS_node;
    options.key = FLAGS_key;
    options.base = FLAGS_base;
    options.json = FLAGS_json;
    options.once = FLAGS_once;
    options.here = FLAGS_here;
    return ctlRun(options, words);
}

}  // namespace

auto ctlSubcommand() -> Subcommand {
    return {"ctl", "COMMAND…", "the operators' command line", ctlHelp(), runCtl};
}

}  // namespace duneturn
