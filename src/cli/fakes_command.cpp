// The subcommands `fake-server`, `fake-sender` and `fake-platform`: stand-ins for trying and testing.
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "base/address.hpp"
#include "base/time.hpp"
#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "standins/standins.hpp"

DEFINE_string(name, "server", "fake-server: its name");
DEFINE_string(weights, "w1", "fake-server: weight version");
DEFINE_int32(slots, 8, "fake-server: requests at once");
DEFINE_int64(token_us, 20000, "fake-server: time for a token");
DEFINE_int64(prefill_us, 100, "fake-server: time to read a prompt token");
DEFINE_int64(plain_us, 2000, "fake-server: time for a plain reply");
DEFINE_bool(cold, false, "fake-server: begins cold");
DEFINE_string(log, "", "fake-server: file for what it ran");
DEFINE_string(day, "", "fake-sender: the day's kinds");
DEFINE_string(report, "", "fake-sender: file for the report");

namespace duneturn {
namespace {

constexpr auto SERVER_HELP =
    "--listen --name --weights --slots --token_us --prefill_us --plain_us --cold --log\n";
constexpr auto CLIENT_HELP = "--day FILE --nodes CLIENT-ADDRESS,… --duration_us --scale --seed --report\n";
constexpr auto PLATFORM_HELP = "--servers FILE --nodes OPERATOR,… --listen\n";

/// Whether --listen is an address; says so if not.
auto checkListen(const char* subcommand) -> bool {
    auto address = parseAddress(FLAGS_listen);
    if (!address) fmt::print(stderr, "duneturn {}: --listen: {}\n", subcommand, address.error());
    return bool(address);
}

auto runFakeServer(const std::vector<std::string>&) -> int {
    if (!checkListen("fake-server")) return EXIT_WRONG_USE;
    auto options = FakeServerOptions();
    options.listen = FLAGS_listen;
    options.name = FLAGS_name;
    options.weights = FLAGS_weights;
    options.log = FLAGS_log;
    options.slots = FLAGS_slots;
    options.tokenUs = FLAGS_token_us;
    options.prefillUs = FLAGS_prefill_us;
    options.plainUs = FLAGS_plain_us;
    options.cold = FLAGS_cold;
    return fakeServerRun(options);
}

auto runFakeClient(const std::vector<std::string>&) -> int {
    auto options = FakeClientOptions();
    options.day = FLAGS_day;
    options.report = FLAGS_report;
    options.nodes = splitCommas(FLAGS_nodes);
    options.duration = FLAGS_duration_us;
    options.scale = FLAGS_scale;
    options.seed = FLAGS_seed;
    return fakeClientRun(options);
}

auto runFakePlatform(const std::vector<std::string>&) -> int {
    if (!FLAGS_listen.empty() && !checkListen("fake-platform")) return EXIT_WRONG_USE;
    auto options = FakePlatformOptions();
    options.servers = FLAGS_servers;
    options.listen = FLAGS_listen;
    options.nodes = splitCommas(FLAGS_nodes);
    return fakePlatformRun(options);
}

}  // namespace

auto fakeServerSubcommand() -> Subcommand {
    return {"fake-server", "", "a stand-in of a model server", SERVER_HELP, runFakeServer};
}
auto fakeClientSubcommand() -> Subcommand {
    return {"fake-sender", "", "a stand-in of the clients of a day", CLIENT_HELP, runFakeClient};
}
auto fakePlatformSubcommand() -> Subcommand {
    return {"fake-platform", "", "a stand-in of the platform that lists the servers", PLATFORM_HELP,
        runFakePlatform};
}

}  // namespace duneturn
