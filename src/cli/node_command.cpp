// The subcommands `edge` and `core`: one node of the fleet, by a settings file and flags laid over it.
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "base/json.hpp"
#include "base/settings.hpp"
#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "daemon/daemon.hpp"

DEFINE_string(settings, "", "settings file (JSON); flags are laid over it");
DEFINE_string(district, "", "the zone this machine stands in");
DEFINE_string(region, "", "the region this machine stands in");
DEFINE_string(peer, "", "IP:PORT towards the other processes");
DEFINE_string(sender, "", "IP:PORT towards the clients");
DEFINE_string(operator, "", "IP:PORT towards operators and the platform");
DEFINE_string(seeds, "", "peer addresses of other processes, with commas");
DEFINE_string(roster, "", "core: names of the fleet's nodes at its founding, with commas");
DEFINE_string(seats, "", "core: names of the core nodes at its founding, with commas");
DEFINE_string(data, "", "core: the data folder");
DEFINE_int64(drain_us, 10000000, "how long streams may go on after SIGTERM, in us");
DEFINE_int32(workers, 3, "worker threads");

namespace duneturn {
namespace {

enum class Role { Edge, Core };

constexpr int MOST_WORKERS = 64;
constexpr auto HELP = R"(--settings FILE, or --node --district --region --peer --sender --operator --seeds
                 [--data --roster --seats], which are laid over the file
--check          checks the settings and stops
--drain_us N     how long streams may go on after SIGTERM
--workers N      worker threads
)";

/// The flags that stand for a member of the settings file, where they were given.
auto givenSettings() -> std::map<std::string, std::string> {
    auto given = std::map<std::string, std::string>();
    for (auto name :
        {"node", "district", "region", "peer", "sender", "operator", "seeds", "roster", "seats", "data"}) {
        auto flag = gflags::CommandLineFlagInfo();
        if (gflags::GetCommandLineFlagInfo(name, &flag) && !flag.is_default) given[name] = flag.current_value;
    }
    return given;
}

auto coreFaults(const Settings& settings) -> std::vector<Fault> {
    auto faults = std::vector<Fault>();
    if (settings.data.empty()) faults.push_back({"/data", "missing: a core wants a data folder"});
    if (settings.initialVoters.empty())
        faults.push_back({"/seats", "missing: a core wants the names of the core nodes"});
    if (settings.roster.empty())
        faults.push_back({"/roster", "missing: a core wants the names of the nodes"});
    return faults;
}

auto runNode(Role role) -> int {
    auto settings = readSettings(FLAGS_settings, givenSettings());
    auto faults = settings ? std::vector<Fault>() : settings.error().faults;
    if (settings && role == Role::Core) faults = coreFaults(*settings);
    if (FLAGS_drain_us < 0) faults.push_back({"--drain_us", "wants 0 or more"});
    if (FLAGS_workers < 1 || FLAGS_workers > MOST_WORKERS) faults.push_back({"--workers", "wants 1 to 64"});
    for (auto& fault : faults) fmt::print(stderr, "duneturn: settings: {}: {}\n", fault.path, fault.why);
    if (!faults.empty()) return EXIT_WRONG_USE;
    if (FLAGS_check) {
        fmt::print("the settings are sound\n");
        return 0;
    }
    auto options = DaemonOptions();
    options.settings = *settings;
    options.core = role == Role::Core;
    options.drain = FLAGS_drain_us;
    options.workers = FLAGS_workers;
    return daemonRun(options);
}

auto runEdge(const std::vector<std::string>&) -> int { return runNode(Role::Edge); }
auto runCore(const std::vector<std::string>&) -> int { return runNode(Role::Core); }

}  // namespace

auto edgeSubcommand() -> Subcommand { return {"edge", "", "serves clients on this machine", HELP, runEdge}; }
auto coreSubcommand() -> Subcommand {
    return {"core", "", "the same, and keeps the replicated state on this machine's disk", HELP, runCore};
}

}  // namespace duneturn
