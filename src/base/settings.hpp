#pragma once
// The settings of a process: one JSON file, with the flags of the command line laid over it.
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

/// What one process of the fleet must know before it has met the others. Addresses are "IP:PORT". The key
/// of the settings file is named where it differs.
struct Settings {
    std::string node;                 ///< The node's name, unique in the fleet.
    std::string zone;                 ///< Key "district": what may be evacuated or lost as one.
    std::string region;               ///< What holds several zones.
    std::string peer;                 ///< Where the other nodes reach this one.
    std::string clientAddress;        ///< Key "sender": where clients send their requests.
    std::string operatorAddress;      ///< Key "operator": where operators and the platform reach this node.
    std::string data;                 ///< The directory of the voter's store; empty: this node holds none.
    std::vector<std::string> seeds;   ///< Peer addresses of nodes to ask first; at least one.
    std::vector<std::string> roster;  ///< Names of all nodes, where the membership is not learnt.
    std::vector<std::string> initialVoters;  ///< Key "seats": the first voters, all on the roster.
    std::string file;                        ///< The settings file itself; empty without one.
    /// Key "membership" is "learnt": nodes learn of each other from the seeds; there is no roster.
    bool gossip = false;
    /// The first start of the whole fleet, with empty disks; with a learnt membership only.
    bool bootstrap = false;
    /// Key "outOfTouch" is "serve": a node without a majority goes on by the last state that it knows;
    /// with a learnt membership only.
    bool serveOn = false;
    bool probes = true;  ///< Whether servers are asked for their load.
    /// Key "beatUs": how often a node sends its heartbeat, 50 ms to 5 s; 0: the membership's default.
    Microseconds heartbeat = 0;
};

/// All that is wrong with the settings.
struct SettingsError {
    std::vector<Fault> faults;
};

/// Reads and checks the settings: those of `file` (none if it is empty), with `flags` (texts by the file's
/// keys; lists are separated by commas) laid over them.
[[nodiscard]] auto readSettings(const std::string& file, const std::map<std::string, std::string>& flags)
    -> tl::expected<Settings, SettingsError>;

}  // namespace duneturn
