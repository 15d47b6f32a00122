#pragma once
// The settings of a process: one file, with the flags laid over it.
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

struct Settings {
    std::string node, zone, region, peer, clientAddress, operatorAddress, data;
    std::vector<std::string> seeds, roster, initialVoters;
    std::string file;
    bool gossip = false;         // membership is learnt from the seeds; there is no roster
    bool bootstrap = false;      // learnt: the first start of the whole fleet, with empty disks
    bool serveOn = false;        // learnt: out of touch, go on by the last known word
    bool probes = true;          // ask servers for their load
    Microseconds heartbeat = 0;  // how often a node speaks of itself; 0: the membership's default
};

struct SettingsError {
    std::vector<Fault> faults;
};
/// The settings file with the flags laid over it, checked whole.
auto readSettings(const std::string& file, const std::map<std::string, std::string>& over)
    -> tl::expected<Settings, SettingsError>;

}  // namespace duneturn
