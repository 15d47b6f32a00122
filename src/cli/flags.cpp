#include "cli/flags.hpp"

#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <tl/expected.hpp>

DEFINE_string(node, "", "this node's name; ctl: a node's operator address");
DEFINE_bool(check, false, "check the settings and stop");
DEFINE_bool(json, false, "JSON output");
DEFINE_string(listen, "", "fakes: IP:PORT to listen on");
DEFINE_string(nodes, "", "fakes: node addresses, with commas; scale: numbers of nodes");
DEFINE_string(servers, "", "fake-platform: the listing; scale: numbers of servers");
DEFINE_int64(duration_us, 60000000, "fake-sender, simulate: how long the day is");
DEFINE_double(scale, 1, "fake-sender, simulate: factor on all rates");
DEFINE_uint64(seed, 1, "seed of all chance");
DEFINE_string(broken, "", "simulate, check: a deliberate fault in the logic");

namespace duneturn {
namespace {

/// "--name=value" or "--name", with one or two dashes.
struct FlagArgument {
    std::string name;
    std::string value;
    bool hasValue = false;
};

auto parseFlagArgument(const std::string& argument) -> FlagArgument {
    auto flag = FlagArgument();
    auto text = argument.substr(argument.find_first_not_of('-'));
    auto equals = text.find('=');
    flag.name = text.substr(0, equals);
    flag.hasValue = equals != std::string::npos;
    if (flag.hasValue) flag.value = text.substr(equals + 1);
    return flag;
}

/// Finds a flag by its name; one of type bool also by "no" and its name.
auto findFlag(const std::string& name, gflags::CommandLineFlagInfo& info) -> bool {
    if (gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return true;
    return name.starts_with("no") && gflags::GetCommandLineFlagInfo(name.c_str() + 2, &info);
}

auto setFlag(FlagArgument flag, const std::string& nextArgument) -> tl::expected<void, std::string> {
    auto info = gflags::CommandLineFlagInfo();
    if (!findFlag(flag.name, info)) return tl::make_unexpected("unknown flag --" + flag.name);
    if (!flag.hasValue) flag.value = info.type == "bool" ? std::string("true") : nextArgument;
    if (gflags::SetCommandLineOption(info.name.c_str(), flag.value.c_str()).empty())
        return tl::make_unexpected(fmt::format("--{}: not a fitting value: {}", flag.name, flag.value));
    return {};
}

}  // namespace

auto setFlags(const std::vector<std::string>& arguments) -> tl::expected<void, std::string> {
    for (auto i = std::size_t(0); i < arguments.size(); i++) {
        auto& argument = arguments[i];
        if (!argument.starts_with("-") || argument.find_first_not_of('-') == std::string::npos) {
            if (argument == "--") break;
            continue;
        }
        auto nextArgument = i + 1 < arguments.size() ? arguments[i + 1] : std::string();
        if (auto set = setFlag(parseFlagArgument(argument), nextArgument); !set) return set;
    }
    return {};
}

auto splitCommas(const std::string& text) -> std::vector<std::string> {
    auto parts = std::vector<std::string>();
    auto stream = std::stringstream(text);
    for (auto part = std::string(); std::getline(stream, part, ',');)
        if (!part.empty()) parts.push_back(part);
    return parts;
}

}  // namespace duneturn
