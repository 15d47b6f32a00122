// The subcommand `compare`: where the beliefs of two nodes differ.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "cli/compare.hpp"
#include "cli/flags.hpp"
#include "cli/subcommand.hpp"

namespace duneturn {
namespace {

constexpr auto HELP = R"(A and B are operator addresses, IP:PORT.
--json           JSON output
)";

auto runCompare(const std::vector<std::string>& words) -> int {
    if (words.size() == 2) return compareRun(words[0], words[1], FLAGS_json);
    fmt::print(stderr, "duneturn compare: wants two operator addresses\n");
    return EXIT_WRONG_USE;
}

}  // namespace

auto compareSubcommand() -> Subcommand {
    return {"compare", "A B", "where the beliefs of two nodes differ", HELP, runCompare};
}

}  // namespace duneturn
