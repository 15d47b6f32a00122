// The `scale` subcommand: its options, the check of what this machine can bear, its table and plot.
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
constexpr auto LEAST_NODES = 6;
constexpr auto MOST_COUNT = 4096;
constexpr auto MOST_DIGITS = std::size_t(6);
constexpr auto EXIT_NOT_WRITTEN = 1;
constexpr auto EXIT_WRONG_USE = 2;

auto refusal(std::string why) -> tl::unexpected<ScaleError> {
    return tl::make_unexpected(ScaleError{std::move(why)});
}

/// Whole numbers with commas between, each from `least` to `most`.
auto parseNumbers(const std::string& text, const std::string& what, int least, int most)
    -> tl::expected<std::vector<int>, ScaleError> {
    auto numbers = std::vector<int>();
    auto stream = std::stringstream(text);
    for (auto word = std::string(); std::getline(stream, word, ',');) {
        if (word.empty() || word.size() > MOST_DIGITS
            || word.find_first_not_of("0123456789") != std::string::npos || std::stoi(word) < least
            || std::stoi(word) > most)
            return refusal(
                fmt::format("{}: wants whole numbers from {} to {}, not \"{}\"", what, least, most, word));
        numbers.push_back(std::stoi(word));
    }
    if (numbers.empty()) return refusal(what + ": wants numbers with commas");
    return numbers;
}

auto machineMemory() -> std::int64_t { return std::int64_t(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE); }

/// The sizes to run, each of which must fit into half of the machine's memory.
auto parseSizes(const ScaleFlags& flags, bool gossip)
    -> tl::expected<std::vector<ScaleOptions::Size>, ScaleError> {
    auto nodes =
        parseNumbers(flags.nodes.empty() ? DEFAULT_NODES : flags.nodes, "--nodes", LEAST_NODES, MOST_COUNT);
    if (!nodes) return refusal(nodes.error().why);
    auto servers =
        parseNumbers(flags.servers.empty() ? DEFAULT_SERVERS : flags.servers, "--servers", 1, MOST_COUNT);
    if (!servers) return refusal(servers.error().why);
    if (servers->size() != 1 && servers->size() != nodes->size())
        return refusal(
            fmt::format("--servers: wants one number, or as many as --nodes has ({})", nodes->size()));
    auto memory = flags.memory ? flags.memory : machineMemory();
    auto sizes = std::vector<ScaleOptions::Size>();
    for (auto i = std::size_t(0); i < nodes->size(); i++) {
        auto size = ScaleOptions::Size{(*nodes)[i], (*servers)[servers->size() == 1 ? 0 : i]};
        if (auto needed = scaleMemory(size.nodes, size.servers, gossip); needed > memory / 2)
            return refusal(fmt::format(
                "--nodes: {} nodes with {} servers may take {} MB, over half of this machine's {} MB",
                size.nodes, size.servers, needed >> 20, memory >> 20));
        sizes.push_back(size);
    }
    return sizes;
}

/// The lines of an earlier run with --json.
auto readEarlier(const std::string& file) -> tl::expected<std::vector<std::string>, ScaleError> {
    auto text = readFile(file);
    if (!text) return refusal("--earlier: " + text.error());
    auto lines = std::vector<std::string>();
    auto stream = std::stringstream(*text);
    for (auto line = std::string(); std::getline(stream, line);) {
        auto point = rapidjson::Document();
        if (!parseJson(line, point) || !point.IsObject() || !point.HasMember("counts")
            || !point.HasMember("costs"))
            return refusal("--earlier: " + file + ": not the lines of an earlier run with --json");
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
    auto n = std::int64_t(nodes), s = std::int64_t(servers);
    // A row with its strings, a listing with its load, the replicated state in a few copies.
    auto node = n * 900 + s * 900 + (2 << 20);
    auto message = n * 250 + s * 130;
    if (!gossip) {
        node += n * n * 90;
        message += n * n * 20;
    }
    // Heartbeats on their way: ten to each node five times a second, under 60 ms of delay.
    return n * node + message * n * 10 * 5 * 60 / 1000;
}

auto scaleParse(const ScaleFlags& flags) -> tl::expected<ScaleOptions, ScaleError> {
    if (flags.membership != "roster" && flags.membership != "learnt")
        return refusal("--membership: wants roster or learnt, not \"" + flags.membership + "\"");
    auto options = ScaleOptions();
    options.gossip = flags.membership == "learnt";
    auto sizes = parseSizes(flags, options.gossip);
    if (!sizes) return refusal(sizes.error().why);
    options.sizes = *sizes;
    options.seed = flags.seed;
    options.json = flags.json;
    options.probes = flags.probes;
    options.svg = flags.svg;
    if (!options.svg.empty() && !std::ofstream(options.svg, std::ios::app))
        return refusal("--svg: " + options.svg + " cannot be written");
    if (flags.earlier.empty()) return options;
    auto earlier = readEarlier(flags.earlier);
    if (!earlier) return refusal(earlier.error().why);
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
