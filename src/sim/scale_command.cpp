// The `scale` subcommand: its options, the check of the available memory, its table and plot.
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/file.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/scale.hpp"
#include "sim/scale_plot.hpp"

namespace duneturn {

namespace {

constexpr auto DEFAULT_NODES = "12,24,48,96,192,390";
constexpr auto DEFAULT_SERVERS = "870";
constexpr auto MIN_NODES = 6;
constexpr auto MAX_COUNT = 4096;
constexpr auto MAX_DIGITS = std::size_t(6);
constexpr auto EXIT_NOT_WRITTEN = 1;
constexpr auto EXIT_WRONG_USE = 2;

auto invalidOption(std::string why) -> tl::unexpected<ScaleError> {
    return tl::make_unexpected(ScaleError{std::move(why)});
}

/// Parses whole numbers separated by commas, each from `least` to `most`.
auto parseNumbers(const std::string& text, const std::string& what, int least, int most)
    -> tl::expected<std::vector<int>, ScaleError> {
    auto numbers = std::vector<int>();
    auto stream = std::stringstream(text);
    for (auto number = std::string(); std::getline(stream, number, ',');) {
        if (number.empty() || number.size() > MAX_DIGITS
            || number.find_first_not_of("0123456789") != std::string::npos || std::stoi(number) < least
            || std::stoi(number) > most)
            return invalidOption(
                fmt::format("{}: needs whole numbers from {} to {}, not \"{}\"", what, least, most, number));
        numbers.push_back(std::stoi(number));
    }
    if (numbers.empty()) return invalidOption(what + ": needs numbers separated by commas");
    return numbers;
}

auto machineMemory() -> std::int64_t { return std::int64_t(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE); }

/// Parses the sizes to run; each must fit into half of the machine's memory.
auto parseSizes(const ScaleFlags& flags, bool gossip)
    -> tl::expected<std::vector<ScaleOptions::Size>, ScaleError> {
    auto nodes =
        parseNumbers(flags.nodes.empty() ? DEFAULT_NODES : flags.nodes, "--nodes", MIN_NODES, MAX_COUNT);
    if (!nodes) return invalidOption(nodes.error().why);
    auto servers =
        parseNumbers(flags.servers.empty() ? DEFAULT_SERVERS : flags.servers, "--servers", 1, MAX_COUNT);
    if (!servers) return invalidOption(servers.error().why);
    if (servers->size() != 1 && servers->size() != nodes->size())
        return invalidOption(
            fmt::format("--servers: needs one number, or as many as --nodes has ({})", nodes->size()));
    auto memory = flags.memory ? flags.memory : machineMemory();
    auto sizes = std::vector<ScaleOptions::Size>();
    for (auto i = std::size_t(0); i < nodes->size(); i++) {
        auto size = ScaleOptions::Size{(*nodes)[i], (*servers)[servers->size() == 1 ? 0 : i]};
        if (auto needed = scaleMemory(size.nodes, size.servers, gossip); needed > memory / 2)
            return invalidOption(fmt::format(
                "--nodes: {} nodes with {} servers may take {} MB, over half of this machine's {} MB",
                size.nodes, size.servers, needed >> 20, memory >> 20));
        sizes.push_back(size);
    }
    return sizes;
}

/// Reads the lines of an earlier run with --json.
auto readEarlier(const std::string& file) -> tl::expected<std::vector<std::string>, ScaleError> {
    auto text = readFile(file);
    if (!text) return invalidOption("--earlier: " + text.error());
    auto lines = std::vector<std::string>();
    auto stream = std::stringstream(*text);
    for (auto line = std::string(); std::getline(stream, line);) {
        auto point = rapidjson::Document();
        if (!parseJson(line, point) || !point.IsObject() || !point.HasMember("counts")
            || !point.HasMember("costs"))
            return invalidOption("--earlier: " + file + ": not the lines of an earlier run with --json");
        lines.push_back(line);
    }
    return lines;
}

auto printTableHead() -> void {
    fmt::print(
        "{:>5} {:>7} | bytes/s a node in, out, busiest | msgs/s in | us/s mean, busiest | heap MB edge, "
        "leader"
        " | change: ack, last ms | dead ms | no leader ms\n",
        "nodes", "servers");
}

auto printTableLine(ScaleOptions::Size size, const ScalePoint& point) -> void {
    auto figure = [](const std::map<std::string, std::int64_t>& figures, const char* name) {
        auto i = figures.find(name);
        return i == figures.end() ? std::int64_t(-1) : i->second;
    };
    auto count = [&](const char* name) { return figure(point.counts, name); };
    auto cost = [&](const char* name) { return figure(point.costs, name); };
    fmt::print("{:>5} {:>7} | {} {} {} | {} | {} {} | {:.1f} {:.1f} | {} {} | {} | {}\n", size.nodes,
        size.servers, count("all.bytesIn"), count("all.bytesOut"), count("all.bytesMax"),
        count("all.messagesIn"), cost("all.cpuUs"), cost("all.cpuUsMax"),
        double(cost("edge.heapBytes")) / 1e6, double(cost("leader.heapBytes")) / 1e6,
        count("change.ackUs") / MILLISECOND, count("change.convergenceUs") / MILLISECOND,
        count("failureDetection.allUs") / MILLISECOND, count("leaderLoss.electionUs") / MILLISECOND);
}

auto writePlot(const ScaleOptions& options, const std::vector<std::string>& lines) -> int {
    auto file = std::ofstream(options.svg, std::ios::trunc);
    file << scalePlot(lines, options.earlier);
    file.close();
    if (file) return 0;
    fmt::print(stderr, "duneturn scale: {} could not be written\n", options.svg);
    return EXIT_NOT_WRITTEN;
}

}  // namespace

auto scaleMemory(int nodes, int servers, bool gossip) -> std::int64_t {
    auto nodeCount = std::int64_t(nodes), serverCount = std::int64_t(servers);
    // A record of each node with its strings, a listing of each server with its load, and a few copies of the
    // replicated state.
    auto node = nodeCount * 900 + serverCount * 900 + (2 << 20);
    auto message = nodeCount * 250 + serverCount * 130;
    if (!gossip) {
        node += nodeCount * nodeCount * 90;
        message += nodeCount * nodeCount * 20;
    }
    // Heartbeats in flight: ten to each node five times a second, with a delay under 60 ms.
    return nodeCount * node + message * nodeCount * 10 * 5 * 60 / 1000;
}

auto scaleParse(const ScaleFlags& flags) -> tl::expected<ScaleOptions, ScaleError> {
    if (flags.membership != "roster" && flags.membership != "learnt")
        return invalidOption("--membership: must be roster or learnt, not \"" + flags.membership + "\"");
    auto options = ScaleOptions();
    options.gossip = flags.membership == "learnt";
    auto sizes = parseSizes(flags, options.gossip);
    if (!sizes) return invalidOption(sizes.error().why);
    options.sizes = *sizes;
    options.seed = flags.seed;
    options.json = flags.json;
    options.probes = flags.probes;
    options.svg = flags.svg;
    if (!options.svg.empty() && !std::ofstream(options.svg, std::ios::app))
        return invalidOption("--svg: " + options.svg + " cannot be written");
    if (flags.earlier.empty()) return options;
    auto earlier = readEarlier(flags.earlier);
    if (!earlier) return invalidOption(earlier.error().why);
    options.earlier = *earlier;
    return options;
}

auto scaleMain(const ScaleFlags& flags) -> int {
    auto options = scaleParse(flags);
    if (!options) {
        fmt::print(stderr, "duneturn scale: {}\n", options.error().why);
        return EXIT_WRONG_USE;
    }
    auto lines = std::vector<std::string>();
    if (!options->json) printTableHead();
    for (auto size : options->sizes) {
        auto point = scalePoint(*options, size);
        lines.push_back(point.json());
        if (options->json) fmt::print("{}\n", lines.back());
        else printTableLine(size, point);
        std::fflush(stdout);
    }
    return options->svg.empty() ? 0 : writePlot(*options, lines);
}

}  // namespace duneturn
