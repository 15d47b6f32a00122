// The subcommand `scale`: the control plane's cost by the number of nodes.
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "sim/scale.hpp"

DEFINE_string(membership, "roster", "scale: roster or learnt");
DEFINE_bool(probes, true, "scale: watchers ask the servers for their load");
DEFINE_string(svg, "", "scale: file for the plot");
DEFINE_string(earlier, "", "scale: points of an earlier run (--json), plotted beside");

namespace duneturn {
namespace {

constexpr auto HELP = R"(--nodes N,… --servers N[,…] --seed N --membership roster|learnt --svg FILE
--earlier FILE --noprobes --json
)";

auto runScale(const std::vector<std::string>&) -> int {
    auto flags = ScaleFlags();
    flags.nodes = FLAGS_nodes;
    flags.servers = FLAGS_servers;
    flags.membership = FLAGS_membership;
    flags.svg = FLAGS_svg;
    flags.earlier = FLAGS_earlier;
    flags.seed = FLAGS_seed;
    flags.json = FLAGS_json;
    flags.probes = FLAGS_probes;
    return scaleMain(flags);
}

}  // namespace

auto scaleSubcommand() -> Subcommand {
    return {
        "scale", "", "the control plane's cost by the number of nodes, over virtual time", HELP, runScale};
}

}  // namespace duneturn
