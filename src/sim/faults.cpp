// When faults are injected, the losses of several machines at once, and the repair of all faults.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/address.hpp"
#include "base/time.hpp"
#include "sim/fault_handlers.hpp"

namespace duneturn {

namespace {

constexpr auto FIRST_FAULT = 10 * SECOND;
constexpr auto LAST_FAULT_BEFORE_END = 15 * SECOND;
constexpr auto QUIET_BEFORE_LOSS = 12 * SECOND;
constexpr auto QUIET_AROUND_LOSS = 36 * SECOND;
constexpr auto SYNC_DELAY_LATENCY = 700 * MILLISECOND;

// Faults that are injected at most once a run and without others nearby: the fleet promises to survive each
// of them, but not necessarily together with another loss.
auto isExclusive(const std::string& kind) -> bool {
    return kind == "ruin" || kind.starts_with("total-loss") || kind.ends_with("-after-ack");
}

// The machines whose disks are lost right after an acknowledgement: two cores. They may be partitioned from
// the others when they receive the order, since two disks must not be enough for an acknowledgement.
struct CorePair {
    int first = -1, second = -1;
    bool partitioned = false;

    [[nodiscard]] auto has(const SimMachine& machine) const -> bool {
        return machine.index == first || machine.index == second;
    }
};

auto partitionPair(Simulation& simulation, const CorePair& pair) -> void {
    auto change = [&simulation, pair](int difference) {
        changePartition(
            simulation, [pair](auto& machine) { return pair.has(machine); },
            [pair](auto& machine) { return !pair.has(machine); }, difference);
    };
    change(1);
    simulation.schedule(7 * SECOND, [change] { change(-1); });
}

auto loseAfterAcknowledgement(Simulation& simulation, bool wipe, const CorePair& pair) -> void {
    auto wiped = 0;
    for (auto& machine : simulation.machines) {
        if (wipe && (!machine->core || wiped == 2 || (pair.partitioned && !pair.has(*machine)))) continue;
        wiped++;
        machine->kill(true);
        if (wipe) simulation.loseDisk(*machine);
        simulation.restartLater(machine->index, SECOND);
    }
}

// Sends a configuration, and when it is acknowledged all machines lose power ("power-after-ack", with slow
// disks) or two cores lose their disks ("wipe-after-ack").
auto loseAfterOrder(Simulation& simulation, const FaultTarget& target) -> void {
    auto wipe = target.kind == "wipe-after-ack";
    auto& cores = target.cores;
    if (!wipe)
        for (auto index : cores) simulation.machine(index).storage.latency = SYNC_DELAY_LATENCY;
    auto base = simulation.newestConfigurationVersion();
    auto probe = int(simulation.faultRandom.below(std::uint64_t(PROBE_SERVICES)));
    auto pair = CorePair();
    pair.first = simulation.leader();
    if (pair.first >= 0) pair.second = pair.first == cores[0] ? cores[1] : cores[0];
    pair.partitioned = wipe && pair.first >= 0 && simulation.faultRandom.chance(.5);
    if (pair.partitioned) partitionPair(simulation, pair);
    simulation.nextOrderMachine = pair.partitioned ? pair.first : -1;
    simulation.sendConfiguration(probe, base, [&simulation, wipe, cores, pair](int status) {
        for (auto index : cores) simulation.machine(index).storage.latency = NORMAL_DISK_LATENCY;
        if (status == 200) loseAfterAcknowledgement(simulation, wipe, pair);
    });
}

}  // namespace

// ---- schedule

auto Simulation::scheduleFaults() -> void {
    auto kinds = options.faults;
    std::erase(kinds, "closing-wipe");  // see scheduleEnd()
    auto exclusive = std::vector<std::string>();
    for (auto kind :
        {"power-after-ack", "wipe-after-ack", "total-loss", "total-loss-disk", "total-loss-moved", "ruin"})
        if (std::erase(kinds, kind)) exclusive.push_back(kind);
    auto from = FIRST_FAULT, until = options.duration - LAST_FAULT_BEFORE_END;
    if (!kinds.empty()) {
        auto count = int(options.perMinute * double(until - from) / double(60 * SECOND));
        for (auto i = 0; i < std::max(1, count); i++) {
            auto kind = kinds[faultRandom.below(kinds.size())];
            scheduleAt(from + Microseconds(faultRandom.below(std::uint64_t(until - from))), [this, kind] {
                if (!ended) injectFault(kind);
            });
        }
    }
    if (exclusive.empty()) return;
    // If other kinds of faults were given too, some runs have no exclusive fault.
    auto choice = faultRandom.below(exclusive.size() + (kinds.empty() ? 0 : 1));
    if (choice == exclusive.size()) return;
    scheduleAt(from + (until - from) / 2 - QUIET_BEFORE_LOSS, [this, kind = exclusive[choice]] {
        quietUntil = now + QUIET_AROUND_LOSS;
        repairAllFaults();
        schedule(QUIET_BEFORE_LOSS, [this, kind] { injectFault(kind); });
    });
}

auto Simulation::injectFault(const std::string& kind) -> void {
    if (!isExclusive(kind) && now < quietUntil) return;
    result.faults++;
    auto target = FaultTarget();
    target.kind = kind;
    target.machine = int(faultRandom.below(machines.size()));
    target.server = int(faultRandom.below(servers.size() - std::size_t(PROBE_SERVICES)));
    target.duration = SECOND + Microseconds(faultRandom.below(5 * SECOND));
    for (auto& machine : machines)
        if (machine->core) target.cores.push_back(machine->index);
    target.core = target.cores[faultRandom.below(target.cores.size())];
    if (faultRandom.chance(.4) && leader() >= 0) target.core = leader();
    trace("fault " + kind);
    if (kind == "ruin") return loseMajority();
    if (kind.starts_with("total-loss")) return totalLoss(kind);
    if (kind.ends_with("-after-ack")) return loseAfterOrder(*this, target);
    auto& ofMachines = machineFaults();
    auto found = ofMachines.find(kind);
    (found != ofMachines.end() ? found->second : serviceFaults().at(kind))(*this, target);
}

auto Simulation::repairAllFaults() -> void {
    for (auto& directions : partitions)
        for (auto& faults : directions) faults = 0;
    lossProbability = 0;
    loadFactor = 1;
    loadShift = 0;
    for (auto& machine : machines) {
        auto& disk = machine->storage;
        disk.full = disk.stalled = false;
        disk.latency = NORMAL_DISK_LATENCY;
        if (machine->up && machine->core && !disk.busy) machine->syncNextWrite();
        if (machine->up && machine->frozen) unfreeze(*machine);
        if (!machine->up) machine->start();
    }
    for (auto& server : servers) {
        server.unresponsive = false;
        server.mode.clear();
        restartServer(server);
    }
}

// ---- machines

auto Simulation::unfreeze(SimMachine& machine) -> void {
    machine.frozen = false;
    auto deferred = std::move(machine.inbox);
    machine.inbox.clear();
    for (auto& action : deferred) scheduleOnMachine(machine.index, machine.incarnation, 0, action);
}

auto Simulation::restartLater(int index, Microseconds delay) -> void {
    schedule(delay, [this, index] {
        if (!ended) machine(index).start();
    });
}

auto Simulation::loseDisk(SimMachine& machine) -> void {
    machine.storage.durable = {};
    machine.peerHints.clear();
    trace(machine.settings.node + " loses its disk");
}

auto Simulation::moveToNewAddress(SimMachine& moved) -> void {
    auto& settings = moved.settings;
    machineByAddress.erase(settings.peer);
    auto port = parseAddress(settings.peer)->port + 1000 + int(faultRandom.below(1000));
    settings.peer = fmt::format("127.0.0.1:{}", port);
    machineByAddress[settings.peer] = moved.index;
    settings.seeds.clear();
    for (auto& machine : machines)
        if (machine->core) settings.seeds.push_back(machine->settings.peer);
}

// ---- losses of several machines

// All processes lose power at once and restart one to two seconds later. With "total-loss-disk" a disk is
// lost too; with "total-loss-moved" another machine with an uninitialized disk replaces a core machine.
auto Simulation::totalLoss(const std::string& kind) -> void {
    totalLossAt = now;
    recoveredAt.clear();
    for (auto& machine : machines) machine->kill(true);
    auto lost = -1;
    for (auto& machine : machines)
        if (machine->core && (lost < 0 || faultRandom.chance(.5))) lost = machine->index;
    if (kind != "total-loss") loseDisk(machine(lost));
    if (kind == "total-loss-moved") moveToNewAddress(machine(lost));
    for (auto& machine : machines)
        restartLater(machine->index, SECOND + Microseconds(faultRandom.below(SECOND)));
    probeRecovery(now + RECOVERY_LIMIT);
}

// All processes lose power and two of the three disks are lost, so that neither disks nor nodes have a
// majority. Nobody serves until an operator bootstraps a new epoch from the remaining disk, here the
// leader's. While a majority stands such a rescue must be rejected.
auto Simulation::loseMajority() -> void {
    auto survivor = leader();
    if (survivor < 0) return;
    auto& rescued = machine(survivor);
    auto& state = rescued.node->replicatedState();
    if (rescued.node->rescue(state.epoch, state.version, rescued.now()).status != 409)
        reportViolation("a rescue is denied while a majority stands", rescued.settings.node);
    for (auto& machine : machines) machine->kill(true);
    for (auto& machine : machines) {
        if (machine->core && machine->index != survivor) loseDisk(*machine);
        restartLater(machine->index, SECOND + Microseconds(faultRandom.below(SECOND)));
    }
    schedule(8 * SECOND, [this, survivor] { rescueAt(survivor); });
}

auto Simulation::rescueAt(int index) -> void {
    auto& rescued = machine(index);
    if (ended || !rescued.up) return;
    for (auto& machine : machines)
        if (machine->node->withinLease(machine->now()))
            reportViolation("without any majority nobody serves", machine->settings.node);
    auto& state = rescued.node->newestKnownState();
    auto& name = rescued.settings.node;
    if (rescued.node->rescue(state.epoch, state.version + 1, rescued.now()).status != 409)
        reportViolation("a rescue names what is held", name);
    auto outcome = rescued.node->rescue(state.epoch, state.version, rescued.now());
    trace(fmt::format("rescue at {}: {} {}", name, outcome.status, outcome.body));
    if (outcome.status != 200)
        reportViolation("a rescue founds a reign when no majority stands", outcome.body);
    totalLossAt = now;
    recoveredAt.clear();
    probeRecovery(now + RECOVERY_LIMIT);
}

}  // namespace duneturn
