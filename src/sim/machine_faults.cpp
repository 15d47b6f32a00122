// Faults of processes, disks, clocks and the network between machines.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "sim/fault_handlers.hpp"

namespace duneturn {

namespace {

constexpr auto SLOW_DISK_LATENCY = 300 * MILLISECOND;
constexpr auto LOSS_PROBABILITY = 0.2;

// ---- processes

auto crash(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.machine(target.machine).kill(false);
    simulation.restartLater(target.machine, target.duration);
}

auto losePower(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.machine(target.core).kill(true);
    simulation.restartLater(target.core, target.duration);
}

auto crashMany(Simulation& simulation, const FaultTarget& target) -> void {
    auto& random = simulation.faultRandom;
    for (auto& machine : simulation.machines) {
        if (!random.chance(.4)) continue;
        machine->kill(random.chance(.5));
        simulation.restartLater(machine->index, target.duration + Microseconds(random.below(SECOND)));
    }
}

auto freeze(Simulation& simulation, const FaultTarget& target) -> void {
    auto index = simulation.faultRandom.chance(.3) ? target.core : target.machine;
    auto& frozen = simulation.machine(index);
    if (!frozen.up || frozen.frozen) return;
    frozen.frozen = true;
    simulation.trace(frozen.settings.node + " freezes");
    simulation.schedule(3 * SECOND + target.duration, [&simulation, index, incarnation = frozen.incarnation] {
        auto& machine = simulation.machine(index);
        if (!machine.up || machine.incarnation != incarnation || !machine.frozen) return;
        simulation.trace(machine.settings.node + " wakes");
        simulation.unfreeze(machine);
    });
}

auto loseZone(Simulation& simulation, const FaultTarget& target) -> void {
    auto zone = simulation.machine(target.machine).settings.zone;
    for (auto& machine : simulation.machines) {
        if (machine->settings.zone != zone) continue;
        machine->kill(true);
        simulation.restartLater(machine->index, target.duration);
    }
    for (auto i = std::size_t(0); i < simulation.servers.size() - std::size_t(PROBE_SERVICES); i++) {
        auto& server = simulation.servers[i];
        if (server.zone != zone || !server.up) continue;
        simulation.stopServer(int(i), simulation.faultRandom.chance(.5));
        simulation.schedule(
            target.duration, [&simulation, i] { simulation.restartServer(simulation.servers[i]); });
    }
}

// ---- network

auto partitionFor(
    Simulation& simulation, const MachineSet& one, const MachineSet& other, Microseconds duration) -> void {
    changePartition(simulation, one, other, 1);
    simulation.schedule(duration, [&simulation, one, other] {
        if (!simulation.ended) changePartition(simulation, one, other, -1);
    });
}

auto partitionNode(Simulation& simulation, const FaultTarget& target) -> void {
    auto isolated = target.machine;
    partitionFor(
        simulation, [isolated](auto& machine) { return machine.index == isolated; },
        [isolated](auto& machine) { return machine.index != isolated; }, target.duration);
}

// Separates one core machine from the other cores only.
auto partitionCore(Simulation& simulation, const FaultTarget& target) -> void {
    auto isolated = target.core;
    partitionFor(
        simulation, [isolated](auto& machine) { return machine.index == isolated; },
        [isolated](auto& machine) { return machine.index != isolated && machine.core; }, target.duration);
}

auto partitionZone(Simulation& simulation, const FaultTarget& target) -> void {
    auto zone = simulation.machine(target.machine).settings.zone;
    partitionFor(
        simulation, [zone](auto& machine) { return machine.settings.zone == zone; },
        [zone](auto& machine) { return machine.settings.zone != zone; }, target.duration);
}

auto partitionOneWay(Simulation& simulation, const FaultTarget& target) -> void {
    auto& random = simulation.faultRandom;
    auto isolated = random.chance(.5) ? target.core : target.machine;
    auto outward = random.chance(.5);
    auto change = [&simulation, isolated, outward](int difference) {
        for (auto& machine : simulation.machines) {
            if (machine->index == isolated) continue;
            auto from = std::size_t(outward ? isolated : machine->index);
            auto to = std::size_t(outward ? machine->index : isolated);
            simulation.partitions[from][to] += difference;
        }
    };
    change(1);
    simulation.schedule(target.duration, [&simulation, change] {
        if (!simulation.ended) change(-1);
    });
}

auto loseMessages(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.lossProbability = LOSS_PROBABILITY;
    simulation.schedule(target.duration, [&simulation] { simulation.lossProbability = 0; });
}

// ---- clocks and disks

auto jumpClock(Simulation& simulation, const FaultTarget& target) -> void {
    auto& random = simulation.faultRandom;
    auto sign = random.chance(.5) ? 1 : -1;
    auto jump = sign * (10 * SECOND + Microseconds(random.below(3600 * SECOND)));
    simulation.machine(target.machine).wallClockOffset += jump;
    simulation.schedule(target.duration + 10 * SECOND,
        [&simulation, index = target.machine, jump] { simulation.machine(index).wallClockOffset -= jump; });
}

auto slowDisk(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.machine(target.core).storage.latency = SLOW_DISK_LATENCY;
    simulation.schedule(target.duration, [&simulation, index = target.core] {
        simulation.machine(index).storage.latency = NORMAL_DISK_LATENCY;
    });
}

auto fillDisk(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.machine(target.core).storage.full = true;
    simulation.schedule(target.duration,
        [&simulation, index = target.core] { simulation.machine(index).storage.full = false; });
}

auto stallDisk(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.machine(target.core).storage.stalled = true;
    simulation.schedule(target.duration, [&simulation, index = target.core] {
        auto& machine = simulation.machine(index);
        machine.storage.stalled = false;
        if (machine.up && !machine.storage.busy) machine.syncNextWrite();
    });
}

// Whether a core machine has the replicated state on its disk and counts in majorities.
auto isWorkingVoter(Simulation& simulation, SimMachine& machine) -> bool {
    if (!machine.up || machine.node->voter()->blank()) return false;
    auto leader = simulation.leader();
    if (leader < 0) return true;
    auto voters = simulation.machine(leader).node->replicatedState().voters();
    auto disk = machine.node->voter()->disk();
    return std::any_of(voters.begin(), voters.end(), [&](auto& voter) { return voter.disk == disk; });
}

// Loses a disk only while all others work: one disk at a time is what the fleet is designed to survive.
auto loseOneDisk(Simulation& simulation, const FaultTarget& target) -> void {
    for (auto index : target.cores)
        if (!isWorkingVoter(simulation, simulation.machine(index))) return;
    if (simulation.leader() < 0) return;
    auto& machine = simulation.machine(target.core);
    machine.kill(true);
    simulation.loseDisk(machine);
    if (target.kind == "replace-core") {
        simulation.moveToNewAddress(machine);
        machine.wallClockOffset += 1;
    }
    simulation.restartLater(target.core, target.duration);
}

}  // namespace

auto changePartition(Simulation& simulation, const MachineSet& one, const MachineSet& other, int change)
    -> void {
    for (auto& from : simulation.machines)
        for (auto& to : simulation.machines) {
            auto separated = (one(*from) && other(*to)) || (other(*from) && one(*to));
            if (from->index != to->index && separated)
                simulation.partitions[std::size_t(from->index)][std::size_t(to->index)] += change;
        }
}

auto machineFaults() -> const std::map<std::string, FaultHandler>& {
    static const auto handlers =
        std::map<std::string, FaultHandler>{{"crash", crash}, {"power", losePower}, {"crash-many", crashMany},
            {"freeze", freeze}, {"district-loss", loseZone}, {"cut-node", partitionNode},
            {"core-split", partitionCore}, {"cut-district", partitionZone}, {"one-way", partitionOneWay},
            {"lossy", loseMessages}, {"clock", jumpClock}, {"disk-slow", slowDisk}, {"disk-full", fillDisk},
            {"disk-stall", stallDisk}, {"disk-wipe", loseOneDisk}, {"replace-core", loseOneDisk}};
    return handlers;
}

}  // namespace duneturn
