// The subcommand `simulate`: a day of a whole fleet over virtual time.
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "platform_simulator.hpp"
#include "sim/simulate.hpp"

DEFINE_int32(runs, 1, "simulate: how many seeds, from --seed on");
DEFINE_string(example, "examples/radar", "simulate: the deployment's folder");
DEFINE_string(faults, "", "simulate: kinds of faults with commas, or all");
DEFINE_double(per_minute, 12, "simulate: faults a minute");
DEFINE_string(world, "roster", "simulate: roster, platform (the fleet as deployed) or platform-large");
DEFINE_bool(closing, true, "simulate, platform: most days end with a fault right after an acknowledgement");
DEFINE_bool(tenants, false, "simulate, platform: configurations have tenants, whose keys clients send");
DEFINE_string(place, "", "simulate: a simpler placement, random or least");
DEFINE_int64(leave_limit_us, 5000000, "simulate: time after which nothing new reaches a leaving server");
DEFINE_bool(trace, false, "simulate: print the trace as it goes");

namespace duneturn {
namespace {

constexpr auto HELP = R"(--example DIR --seed N --runs N --duration_us --scale --faults all|KIND,…
--per_minute --broken VARIANT --place random|least --leave_limit_us --trace --json
--world platform|platform-large --seed N --runs N --duration_us --per_minute
--faults KIND,… --broken VARIANT --noclosing --tenants --trace
)";

auto simulatePlatformDays() -> int {
    auto options = sim::PlatformDayOptions();
    options.seed = FLAGS_seed;
    options.large = FLAGS_world == "platform-large";
    options.duration = FLAGS_duration_us;
    options.perMinute = FLAGS_per_minute;
    if (FLAGS_faults != "all") options.faults = splitCommas(FLAGS_faults);
    options.closing = FLAGS_closing;
    options.broken = FLAGS_broken;
    options.tenants = FLAGS_tenants;
    options.trace = FLAGS_trace;
    return sim::simulatePlatform(options, FLAGS_runs);
}

auto simulateRosterDays() -> int {
    auto options = SimOptions();
    options.example = FLAGS_example;
    options.seed = FLAGS_seed;
    options.duration = FLAGS_duration_us;
    options.scale = FLAGS_scale;
    options.faults = FLAGS_faults == "all" ? simFaults() : splitCommas(FLAGS_faults);
    options.perMinute = FLAGS_per_minute;
    options.broken = FLAGS_broken;
    options.place = FLAGS_place;
    options.leaveLimit = FLAGS_leave_limit_us;
    options.quiet = !FLAGS_trace;
    return simulateRun(options, FLAGS_runs, FLAGS_json);
}

auto runSimulate(const std::vector<std::string>&) -> int {
    if (FLAGS_runs < 1 || (!FLAGS_place.empty() && FLAGS_place != "random" && FLAGS_place != "least")) {
        fmt::print(stderr, "duneturn simulate: --runs wants 1 or more, --place random or least\n");
        return EXIT_WRONG_USE;
    }
    if (FLAGS_world == "platform" || FLAGS_world == "platform-large") return simulatePlatformDays();
    if (FLAGS_world == "roster") return simulateRosterDays();
    fmt::print(stderr, "duneturn simulate: --world wants roster, platform or platform-large\n");
    return EXIT_WRONG_USE;
}

}  // namespace

auto simulateSubcommand() -> Subcommand {
    return {"simulate", "", "a day of the whole fleet over virtual time, from a seed", HELP, runSimulate};
}

}  // namespace duneturn
