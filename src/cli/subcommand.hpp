#pragma once
// The subcommands of the program. Each is described, and its flags are defined, beside its code in
// src/cli/*_command.cpp; src/main.cpp puts them into one table.
#include <string>
#include <vector>

namespace duneturn {

/// The exit code of wrong use or wrong settings.
constexpr int EXIT_WRONG_USE = 2;

struct Subcommand {
    std::string name;
    std::string arguments;  ///< The words that follow the name, as the help shows them; may be empty.
    std::string summary;    ///< What it does, in one line.
    std::string help;       ///< Its flags, in whole lines.
    /// Runs it with the words behind its name that are no flags, once the flags are set. Returns the exit
    /// code.
    int (*run)(const std::vector<std::string>& words);
};

auto edgeSubcommand() -> Subcommand;
auto coreSubcommand() -> Subcommand;
auto platformSubcommand() -> Subcommand;
auto ctlSubcommand() -> Subcommand;
auto compareSubcommand() -> Subcommand;
auto simulateSubcommand() -> Subcommand;
auto scaleSubcommand() -> Subcommand;
auto checkSubcommand() -> Subcommand;
auto fakeServerSubcommand() -> Subcommand;
auto fakeClientSubcommand() -> Subcommand;
auto fakePlatformSubcommand() -> Subcommand;

}  // namespace duneturn
