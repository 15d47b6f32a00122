// The subcommand `check`: a search of the voters' interleavings for a broken invariant.
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "modelcheck/search.hpp"

DEFINE_string(scenario, "elected", "check: where the search begins (search.hpp)");
DEFINE_string(bounds, "timeouts=2,heartbeats=1,proposals=1,losses=1,restarts=1",
    "check: how many of each event a run may hold");
DEFINE_int32(depth, 10, "check: actions in a run");
DEFINE_int64(states, 1000000, "check: states after which the search ends");
DEFINE_int32(walks, 0, "check: random walks instead of a search");
DEFINE_string(replay, "", "check: file with a trace to perform");
DEFINE_bool(reorder, false, "check: links deliver in any order");
DEFINE_bool(eager_disks, false, "check: writes are done at once, but for delayed disks");

namespace duneturn {
namespace {

constexpr auto HELP = R"(--scenario founded|elected|deposed|diverged|reelected|overtaken --bounds EVENT=N,…
--depth N --states N --walks N --seed N --reorder --eager_disks --broken VARIANT --replay TRACE
)";

auto runCheck(const std::vector<std::string>&) -> int {
    auto options = modelcheck::SearchOptions();
    auto bounds = modelcheck::budgetParse(FLAGS_bounds, options.model.budget);
    if (!bounds || FLAGS_depth < 0 || FLAGS_states < 1 || FLAGS_walks < 0) {
        auto fault =
            bounds ? std::string("--depth, --states and --walks want no negative number") : bounds.error();
        fmt::print(stderr, "duneturn check: {}\n", fault);
        return EXIT_WRONG_USE;
    }
    options.scenario = FLAGS_scenario;
    options.depth = std::size_t(FLAGS_depth);
    options.maxStates = std::size_t(FLAGS_states);
    options.walks = std::size_t(FLAGS_walks);
    options.seed = FLAGS_seed;
    options.model.reorder = FLAGS_reorder;
    options.model.eagerDisks = FLAGS_eager_disks;
    options.model.broken = FLAGS_broken;
    return modelcheck::checkMain(options, FLAGS_replay);
}

}  // namespace

auto checkSubcommand() -> Subcommand {
    return {"check", "", "the voters' interleavings, searched breadth first for a broken invariant", HELP,
        runCheck};
}

}  // namespace duneturn
