#pragma once
// The faults that a simulation can inject, by name.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

/// What a fault may hit, drawn before its kind is looked at.
struct FaultTarget {
    std::string kind;
    int machine = 0;         // any machine
    int core = 0;            // any core machine, often the leader's
    int server = 0;          // any server that does not answer probe requests
    std::vector<int> cores;  // all core machines
    Microseconds duration = 0;
};

using FaultHandler = void (*)(Simulation&, const FaultTarget&);
using MachineSet = std::function<bool(const SimMachine&)>;

/// Faults of processes, disks, clocks and the network between machines.
auto machineFaults() -> const std::map<std::string, FaultHandler>&;
/// Faults of servers, and what clients, operators and the platform do.
auto serviceFaults() -> const std::map<std::string, FaultHandler>&;

/// Adds `change` (1 or -1) to the number of faults that block the network between two sets, both ways.
auto changePartition(Simulation& simulation, const MachineSet& one, const MachineSet& other, int change)
    -> void;

}  // namespace duneturn
