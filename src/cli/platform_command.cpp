// The subcommand `platform`: a node by the settings file of the users' platform.
#include <string>
#include <vector>

#include "cli/flags.hpp"
#include "cli/subcommand.hpp"
#include "platform.hpp"

namespace duneturn {
namespace {

constexpr auto HELP = R"(--check          checks the settings and stops
docs/platform.md tells how the settings file is named.
)";

auto runPlatform(const std::vector<std::string>&) -> int { return platform::platformMain(FLAGS_check); }

}  // namespace

auto platformSubcommand() -> Subcommand {
    return {"platform", "", "an edge, or a core where there is a disk, by the platform's settings file", HELP,
        runPlatform};
}

}  // namespace duneturn
