#pragma once
// Measures the control plane by the number of nodes: its cost per node and its convergence times. Runs the
// real Node and Voter of a whole fleet, without requests, over virtual time, network and disks.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "membership/node.hpp"

namespace duneturn {

/// As given on the command line.
struct ScaleFlags {
    std::string nodes, servers, membership, svg, earlier;
    std::uint64_t seed = 1;
    bool json = false;
    bool probes = true;       // nodes probe the servers for their load
    std::int64_t memory = 0;  // bytes of this machine's memory; 0: as the system reports
};

struct ScaleOptions {
    struct Size {
        int nodes = 0, servers = 0;
    };
    std::vector<Size> sizes;
    bool gossip = false;
    std::uint64_t seed = 1;
    std::string svg;
    std::vector<std::string> earlier;  // points of earlier runs, a line of JSON each, plotted beside
    bool json = false;
    bool probes = true;
    bool faults = true;  // whether to measure failures after the steady state and the changes
};

struct ScaleError {
    std::string why;
};

/// The figures of one number of nodes, as whole numbers; their names end in the unit unless they are counts.
/// A time is -1 if what was waited for did not happen.
struct ScalePoint {
    std::string membership;
    std::uint64_t seed = 1;
    std::map<std::string, std::int64_t> counts;  // from virtual time: the same seed gives the same
    std::map<std::string, std::int64_t> costs;   // processor time and memory of this machine
    auto json() const -> std::string;
};

/// Validates the flags and reads the files that they name.
auto scaleParse(const ScaleFlags& flags) -> tl::expected<ScaleOptions, ScaleError>;
/// An upper estimate of the memory of a run at this size, in bytes.
auto scaleMemory(int nodes, int servers, bool gossip) -> std::int64_t;
/// Runs all measurements at one size.
auto scalePoint(const ScaleOptions& options, ScaleOptions::Size size) -> ScalePoint;
/// The subcommand: 0, 1 (the plot could not be written) or 2 (wrong use).
auto scaleMain(const ScaleFlags& flags) -> int;

}  // namespace duneturn
