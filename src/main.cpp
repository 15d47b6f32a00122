// duneturn: one program, the role is its first word.
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "base/address.hpp"
#include "base/json.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "cli/compare.hpp"
#include "cli/ctl.hpp"
#include "daemon/daemon.hpp"
#include "modelcheck/search.hpp"
#include "platform.hpp"
#include "platform_simulator.hpp"
#include "sim/scale.hpp"
#include "sim/simulate.hpp"
#include "standins/standins.hpp"

DEFINE_string(settings, "", "settings file (JSON); flags are laid over it");
DEFINE_string(node, "", "this node's name; ctl: a node's operator address");
DEFINE_string(zone, "", "the zone this machine stands in");
DEFINE_string(region, "", "the region this machine stands in");
DEFINE_string(peer, "", "IP:PORT towards the other processes");
DEFINE_string(sender, "", "IP:PORT towards the senders");
DEFINE_string(operator, "", "IP:PORT towards operators and the platform");
DEFINE_string(seeds, "", "peer addresses of other processes, with commas");
DEFINE_string(roster, "", "core: names of the fleet's nodes at its founding, with commas");
DEFINE_string(initialVoters, "", "core: names of the core nodes at its founding, with commas");
DEFINE_string(data, "", "core: the data folder");
DEFINE_int64(drain_us, 10000000, "how long streams may go on after SIGTERM, in us");
DEFINE_int32(workers, 3, "worker threads");
DEFINE_bool(check, false, "check the settings and stop");
DEFINE_bool(json, false, "JSON output");
DEFINE_bool(here, false, "ctl live, watch: of this node only");
DEFINE_bool(once, false, "ctl watch: show what is remembered, then stop");
DEFINE_int64(base, -1, "ctl apply, change: the configuration generation this rests on");
DEFINE_string(key, "", "ctl: idempotency key of an order");
DEFINE_string(listen, "", "fakes: IP:PORT to listen on");
DEFINE_string(name, "server", "fake-server: its name");
DEFINE_string(weights, "w1", "fake-server: weight version");
DEFINE_int32(slots, 8, "fake-server: exchanges at once");
DEFINE_int64(token_us, 20000, "fake-server: time for a token");
DEFINE_int64(prefill_us, 100, "fake-server: time to read a prompt token");
DEFINE_int64(plain_us, 2000, "fake-server: time for a plain reply");
DEFINE_bool(cold, false, "fake-server: begins cold");
DEFINE_string(log, "", "fake-server: file for what it ran");
DEFINE_string(servers, "", "fake-platform: the listing");
DEFINE_string(nodes, "", "fakes: node addresses, with commas");
DEFINE_string(day, "", "fake-sender: the day's kinds");
DEFINE_string(report, "", "fake-sender: file for the report");
DEFINE_int64(duration_us, 60000000, "fake-sender, simulate: how long the day is");
DEFINE_double(scale, 1, "fake-sender: factor on all rates");
DEFINE_uint64(seed, 1, "seed of all chance");
DEFINE_int32(runs, 1, "simulate: how many seeds, from --seed on");
DEFINE_string(example, "examples/radar", "simulate: the deployment's folder");
DEFINE_string(faults, "", "simulate: kinds of faults with commas, or all");
DEFINE_double(per_minute, 12, "simulate: faults a minute");
DEFINE_string(broken, "", "simulate: a deliberate fault in the logic");
DEFINE_string(world, "roster", "simulate: roster, platform (the fleet as deployed) or platform-large");
DEFINE_bool(closing, true, "simulate, platform: most days end with a fault right after an acknowledgement");
DEFINE_string(place, "", "simulate: a simpler placement, random or least");
DEFINE_int64(leave_limit_us, 5000000, "simulate: time after which nothing new reaches a leaving server");
DEFINE_string(membership, "roster", "scale: roster or learnt");
DEFINE_bool(probes, true, "scale: watchers ask the servers for their load");
DEFINE_string(svg, "", "scale: file for the plot");
DEFINE_string(earlier, "", "scale: points of an earlier run (--json), plotted beside");
DEFINE_string(scenario, "elected", "check: where the search begins (search.hpp)");
DEFINE_string(bounds, "timeouts=2,heartbeats=1,proposals=1,losses=1,restarts=1",
    "check: how many of each event a run may hold");
DEFINE_int32(depth, 10, "check: actions in a run");
DEFINE_int64(states, 1000000, "check: states after which the search ends");
DEFINE_int32(walks, 0, "check: random walks instead of a search");
DEFINE_string(replay, "", "check: file with a trace to perform");
DEFINE_bool(reorder, false, "check: links deliver in any order");
DEFINE_bool(eager_disks, false, "check: writes are done at once, but for delayed disks");
DEFINE_bool(trace, false, "simulate: print the trace as it goes");

namespace duneturn {

static auto commas(const std::string& s) -> std::vector<std::string> {
    auto o = std::vector<std::string>();
    auto ss = std::stringstream(s);
    for (auto t = std::string(); std::getline(ss, t, ',');)
        if (!t.empty()) o.push_back(t);
    return o;
}

static auto usage() -> std::string {
    return R"(duneturn ROLE [flags]

  edge           serves senders on this machine
  core           the same, and keeps the operator's word on this machine's disk
  platform       an edge, or a core where there is a disk, by the platform's own settings file,
                 which docs/platform.md tells how to name
  ctl            the operators' command line (duneturn ctl --help)
  compare A B    where the beliefs of two nodes differ (operator addresses)
  simulate       a day of the whole fleet over virtual time, from a seed
  scale          the control plane's cost by the number of nodes, over virtual time
  check          the voters' interleavings, searched breadth first for a broken invariant
  fake-server, fake-sender, fake-platform   stand-ins for trying and testing

edge, core:  --settings FILE, or --node --district --region --peer --sender --operator
             --seeds [--data --roster --seats]; --check, --drain_us N, --workers N
platform:    --check
simulate:    --example DIR --seed N --runs N --duration_us --scale --faults all|KIND,…
             --per_minute --broken VARIANT --place random|least --trace --json
             --world platform|platform-large --seed N --runs N --duration_us --per_minute
             --faults KIND,… --broken VARIANT --noclosing --trace
scale:       --nodes N,… --servers N[,…] --seed N --membership roster|learnt --svg FILE
             --earlier FILE --noprobes --json
check:       --scenario founded|elected|deposed|diverged|reelected|overtaken --bounds EVENT=N,…
             --depth N --states N --walks N --seed N --reorder --eager_disks --broken VARIANT --replay TRACE
fake-server: --listen --name --weights --slots --token_us --prefill_us --plain_us --cold --log
fake-platform: --servers FILE --nodes OPERATOR,… --listen
fake-sender: --day FILE --nodes SENDER,… --duration_us --scale --seed --report
Exit codes: 0 done, 1 failed, 2 wrong use or settings.
)";
}

static auto daemonMain(bool core) -> int {
    auto over = std::map<std::string, std::string>();
    for (auto k :
        {"node", "district", "region", "peer", "sender", "operator", "seeds", "roster", "seats", "data"}) {
        auto i = gflags::CommandLineFlagInfo();
        if (gflags::GetCommandLineFlagInfo(k, &i) && !i.is_default) over[k] = i.current_value;
    }
    auto s = readSettings(FLAGS_settings, over);
    auto fs = s ? std::vector<Fault>() : s.error().faults;
    if (s && core && s->data.empty()) fs.push_back({"/data", "missing: a core wants a data folder"});
    if (s && core && s->initialVoters.empty())
        fs.push_back({"/seats", "missing: a core wants the names of the core nodes"});
    if (s && core && s->roster.empty())
        fs.push_back({"/roster", "missing: a core wants the names of the nodes"});
    if (FLAGS_drain_us < 0) fs.push_back({"--drain_us", "wants 0 or more"});
    if (FLAGS_workers < 1 || FLAGS_workers > 64) fs.push_back({"--workers", "wants 1 to 64"});
    for (auto& f : fs) fmt::print(stderr, "duneturn: settings: {}: {}\n", f.path, f.why);
    if (!fs.empty()) return 2;
    if (FLAGS_check) {
        fmt::print("the settings are sound\n");
        return 0;
    }
    auto o = DaemonOptions();
    o.st = *s;
    o.core = core;
    o.drain = FLAGS_drain_us;
    o.workers = FLAGS_workers;
    return daemonRun(o);
}

static auto checkCommand() -> int {
    auto options = modelcheck::SearchOptions();
    auto bounds = modelcheck::budgetParse(FLAGS_bounds, options.model.budget);
    if (!bounds || FLAGS_depth < 0 || FLAGS_states < 1 || FLAGS_walks < 0) {
        auto fault =
            bounds ? std::string("--depth, --states and --walks want no negative number") : bounds.error();
        fmt::print(stderr, "duneturn check: {}\n", fault);
        return 2;
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

static auto simulatePlatformMain() -> int {
    auto options = sim::PlatformDayOptions();
    options.seed = FLAGS_seed;
    options.large = FLAGS_world == "platform-large";
    options.duration = FLAGS_duration_us;
    options.perMinute = FLAGS_per_minute;
    if (FLAGS_faults != "all") options.faults = commas(FLAGS_faults);
    options.closing = FLAGS_closing;
    options.broken = FLAGS_broken;
    options.trace = FLAGS_trace;
    return sim::simulatePlatform(options, FLAGS_runs);
}

static auto run(int argc, char** argv) -> int {
    auto role = std::string(argc > 1 ? argv[1] : "");
    if (role == "--version" || role == "version") {
        fmt::print("duneturn {} (wire {})\n", VERSION, WIRE);
        return 0;
    }
    if (role.empty() || role == "--help" || role == "help") {
        fmt::print("{}", usage());
        return role.empty() ? 2 : 0;
    }
    for (auto i = 2; i < argc; i++) {
        auto a = std::string(argv[i]);
        if (a == "--help" || a == "-h") {
            fmt::print("{}", role == "ctl" ? ctlHelp() : usage());
            return 0;
        }
        if (!a.starts_with("-") || a == "-") continue;
        if (a == "--") break;
        auto n = a.substr(a.find_first_not_of('-'));
        auto eq = n.find('=');
        n = n.substr(0, eq);
        auto v = gflags::CommandLineFlagInfo();
        if (!gflags::GetCommandLineFlagInfo(n.c_str(), &v)
            && !(n.starts_with("no") && gflags::GetCommandLineFlagInfo(n.c_str() + 2, &v))) {
            fmt::print(stderr, "duneturn: unknown flag --{}\n", n);
            return 2;
        }
        auto val = eq == std::string::npos ? (v.type == "bool" ? std::string("true")
                           : i + 1 < argc                      ? std::string(argv[i + 1])
                                                               : std::string())
                                           : a.substr(a.find('=') + 1);
        if (gflags::SetCommandLineOption(v.name.c_str(), val.c_str()).empty()) {
            fmt::print(stderr, "duneturn: --{}: not a fitting value: {}\n", n, val);
            return 2;
        }
    }
    argc--;
    argv++;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto args = std::vector<std::string>(argv + 1, argv + argc);
    if (role == "edge") return daemonMain(false);
    if (role == "core") return daemonMain(true);
    if (role == "platform") return platform::platformMain(FLAGS_check);
    if (role == "ctl")
        return ctlRun({FLAGS_node, FLAGS_key, FLAGS_base, FLAGS_json, FLAGS_once, FLAGS_here}, args);
    if (role == "compare") {
        if (args.size() == 2) return compareRun(args[0], args[1], FLAGS_json);
        fmt::print(stderr, "duneturn compare: wants two operator addresses\n");
        return 2;
    }
    if (role == "fake-server" || role == "fake-platform")
        if (!FLAGS_listen.empty() || role == "fake-server")
            if (auto a = parseAddress(FLAGS_listen); !a) {
                fmt::print(stderr, "duneturn {}: --listen: {}\n", role, a.error());
                return 2;
            }
    if (role == "fake-server")
        return fakeServerRun({FLAGS_listen, FLAGS_name, FLAGS_weights, "model", FLAGS_log, FLAGS_slots,
            FLAGS_token_us, FLAGS_prefill_us, FLAGS_plain_us, 20 * SECOND, FLAGS_cold});
    if (role == "fake-platform")
        return fakePlatformRun({FLAGS_servers, FLAGS_listen, commas(FLAGS_nodes), SECOND});
    if (role == "fake-sender")
        return fakeClientRun(
            {FLAGS_day, FLAGS_report, commas(FLAGS_nodes), FLAGS_duration_us, FLAGS_scale, FLAGS_seed});
    if (role == "scale")
        return scaleMain({FLAGS_nodes, FLAGS_servers, FLAGS_membership, FLAGS_svg, FLAGS_earlier, FLAGS_seed,
            FLAGS_json, FLAGS_probes, 0});
    if (role == "check") return checkCommand();
    if (role == "simulate") {
        if (FLAGS_runs < 1 || (FLAGS_place != "" && FLAGS_place != "random" && FLAGS_place != "least")) {
            fmt::print(stderr, "duneturn simulate: --runs wants 1 or more, --place random or least\n");
            return 2;
        }
        if (FLAGS_world == "platform" || FLAGS_world == "platform-large") return simulatePlatformMain();
        if (FLAGS_world != "roster") {
            fmt::print(stderr, "duneturn simulate: --world wants roster, platform or platform-large\n");
            return 2;
        }
        auto o = SimOptions();
        o.example = FLAGS_example;
        o.seed = FLAGS_seed;
        o.duration = FLAGS_duration_us;
        o.scale = FLAGS_scale;
        o.faults = FLAGS_faults == "all" ? simFaults() : commas(FLAGS_faults);
        o.perMinute = FLAGS_per_minute;
        o.broken = FLAGS_broken;
        o.place = FLAGS_place;
        o.leaveLimit = FLAGS_leave_limit_us;
        o.quiet = !FLAGS_trace;
        return simulateRun(o, FLAGS_runs, FLAGS_json);
    }
    fmt::print(stderr, "duneturn: no such role: {}\n{}", role, usage());
    return 2;
}

}  // namespace duneturn

auto main(int argc, char** argv) -> int { return duneturn::run(argc, argv); }
