// duneturn: one program; its first argument is the subcommand, which src/cli/*_command.cpp describe and run.
#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "base/version.hpp"
#include "cli/flags.hpp"
#include "cli/subcommand.hpp"

namespace duneturn {
namespace {

auto subcommands() -> const std::vector<Subcommand>& {
    static const auto table = std::vector<Subcommand>{
        edgeSubcommand(),
        coreSubcommand(),
        platformSubcommand(),
        ctlSubcommand(),
        compareSubcommand(),
        simulateSubcommand(),
        scaleSubcommand(),
        checkSubcommand(),
        fakeServerSubcommand(),
        fakeClientSubcommand(),
        fakePlatformSubcommand(),
    };
    return table;
}

auto findSubcommand(const std::string& name) -> const Subcommand* {
    auto& table = subcommands();
    auto found =
        std::find_if(table.begin(), table.end(), [&](auto& subcommand) { return subcommand.name == name; });
    return found == table.end() ? nullptr : &*found;
}

auto usage() -> std::string {
    auto text = std::string("duneturn SUBCOMMAND [flags]\n\n");
    for (auto& subcommand : subcommands()) {
        auto call = subcommand.name + (subcommand.arguments.empty() ? "" : " ") + subcommand.arguments;
        text += fmt::format("  {:<14} {}\n", call, subcommand.summary);
    }
    text += "\nduneturn SUBCOMMAND --help names its flags.\n";
    return text + "Exit codes: 0 done, 1 failed, 2 wrong use or settings.\n";
}

auto helpOf(const Subcommand& subcommand) -> std::string {
    auto call = subcommand.name + (subcommand.arguments.empty() ? "" : " ") + subcommand.arguments;
    return fmt::format("duneturn {}: {}\n\n{}", call, subcommand.summary, subcommand.help);
}

/// Whether help is asked for, before any argument "--".
auto wantsHelp(const std::vector<std::string>& arguments) -> bool {
    auto end = std::find(arguments.begin(), arguments.end(), "--");
    return std::any_of(
        arguments.begin(), end, [](auto& argument) { return argument == "--help" || argument == "-h"; });
}

auto run(int argc, char** argv) -> int {
    auto name = std::string(argc > 1 ? argv[1] : "");
    if (name == "--version" || name == "version") {
        fmt::print("duneturn {} (wire {})\n", VERSION, WIRE);
        return 0;
    }
    if (name.empty() || name == "--help" || name == "help") {
        fmt::print("{}", usage());
        return name.empty() ? EXIT_WRONG_USE : 0;
    }
    auto subcommand = findSubcommand(name);
    if (!subcommand) {
        fmt::print(stderr, "duneturn: no such subcommand: {}\n{}", name, usage());
        return EXIT_WRONG_USE;
    }
    auto arguments = std::vector<std::string>(argv + 2, argv + argc);
    if (wantsHelp(arguments)) {
        fmt::print("{}", helpOf(*subcommand));
        return 0;
    }
    if (auto set = setFlags(arguments); !set) {
        fmt::print(stderr, "duneturn: {}\n", set.error());
        return EXIT_WRONG_USE;
    }
    // Takes the flags out, so that the subcommand's words are left.
    argc--;
    argv++;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return subcommand->run(std::vector<std::string>(argv + 1, argv + argc));
}

}  // namespace
}  // namespace duneturn

auto main(int argc, char** argv) -> int { return duneturn::run(argc, argv); }
