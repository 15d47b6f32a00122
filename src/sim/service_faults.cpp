// Faults of servers, and what clients, operators and the platform do: load, orders, marks and listings.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/fault_handlers.hpp"

namespace duneturn {

namespace {

constexpr auto SURGE_FACTOR = 4;
constexpr auto SHIFT = 3;
constexpr auto MARK_TIMEOUT = 4 * SECOND;
constexpr auto MARK_TRIES = 5;
constexpr auto STOP_AFTER_MARK = 8 * SECOND;
constexpr auto RETURN_AFTER_MARK = 14 * SECOND;

// ---- servers

auto crashServer(Simulation& simulation, const FaultTarget& target) -> void {
    auto& server = simulation.server(target.server);
    if (!server.up) return;
    simulation.trace(server.name + " crashes");
    simulation.stopServer(target.server, false);
    auto downtime = target.kind == "server-cold" ? SECOND : target.duration;
    simulation.schedule(downtime,
        [&simulation, index = target.server] { simulation.restartServerAsUp(simulation.server(index)); });
}

// The server answers nothing for a while, and then returns as a new incarnation, unless it has done so
// before.
auto makeServerUnresponsive(Simulation& simulation, const FaultTarget& target) -> void {
    auto& server = simulation.server(target.server);
    if (!server.up) return;
    server.unresponsive = true;
    simulation.trace(server.name + " goes dark");
    for (auto& connection : simulation.connections)
        if (connection->server == target.server) connection->serverIncarnation = -1;
    simulation.schedule(
        target.duration, [&simulation, index = target.server, incarnation = server.incarnation] {
            auto& server = simulation.server(index);
            server.unresponsive = false;
            if (server.incarnation != incarnation) return;
            simulation.stopServer(index, true);
            server.up = server.cold = true;
            server.startedAt = simulation.now;
        });
}

// The server misbehaves in the way that the kind names after "server-".
auto setServerMode(Simulation& simulation, const FaultTarget& target) -> void {
    auto& server = simulation.server(target.server);
    if (!server.up) return;
    auto mode = target.kind.substr(std::string("server-").size());
    server.mode = mode;
    simulation.trace(server.name + " goes " + mode);
    simulation.schedule(
        target.duration, [&simulation, index = target.server, incarnation = server.incarnation, mode] {
            auto& server = simulation.server(index);
            if (server.incarnation == incarnation && server.mode == mode) server.mode.clear();
        });
}

// The server returns with another weights version, before the platform lists that.
auto changeServerWeights(Simulation& simulation, const FaultTarget& target) -> void {
    auto& server = simulation.server(target.server);
    if (!server.up || server.leaving) return;
    simulation.stopServer(target.server, false);
    simulation.schedule(SECOND, [&simulation, index = target.server] {
        auto& server = simulation.server(index);
        if (!simulation.restartServer(server)) return;
        if (server.service == "model") server.weights = server.weights == "w1" ? "w2" : "w1";
        simulation.trace(server.name + " is back with weights " + server.weights);
    });
}

// ---- the platform

auto onMarkAccepted(Simulation& simulation, int index, Microseconds sentAt) -> void {
    auto& server = simulation.server(index);
    server.leavingSent = sentAt;
    simulation.result.markAcknowledgementTimes.push_back(simulation.now - sentAt);
    simulation.checkLeavingServer(index);
    simulation.trace(server.name + " is listed as leaving");
    simulation.schedule(STOP_AFTER_MARK, [&simulation, index, incarnation = server.incarnation] {
        auto& server = simulation.server(index);
        if (server.incarnation != incarnation) return;
        simulation.trace(server.name + " is taken away");
        simulation.stopServer(index, false);
    });
    simulation.schedule(
        RETURN_AFTER_MARK, [&simulation, index] { simulation.restartServerAsUp(simulation.server(index)); });
}

// Sends the leaving mark through one node after another until one accepts it. When all tries fail the
// platform withdraws the mark, and its later listings, in which the server is up, must be obeyed.
auto sendLeavingMark(Simulation& simulation, int serverIndex, int tries) -> void {
    auto index = simulation.randomRunningMachine();
    if (tries <= 0 || index < 0 || simulation.ended) {
        simulation.server(serverIndex).leaving = false;
        return;
    }
    auto sentAt = simulation.now;
    auto revision = ++simulation.platformRevision;
    auto over = std::make_shared<bool>(false);
    auto onOutcome = [&simulation, serverIndex, tries, over, sentAt](const Outcome& outcome) {
        if (*over) return;
        *over = true;
        if (outcome.status == 200) onMarkAccepted(simulation, serverIndex, sentAt);
        else sendLeavingMark(simulation, serverIndex, tries - 1);
    };
    simulation.scheduleOnMachine(index, simulation.machine(index).incarnation, simulation.networkDelay(),
        [&simulation, index, serverIndex, onOutcome, revision] {
            auto& machine = simulation.machine(index);
            auto call = machine.addCall(onOutcome);
            machine.node->mark(call, simulation.server(serverIndex).name, revision, machine.now());
        });
    simulation.schedule(MARK_TIMEOUT, [&simulation, serverIndex, tries, over] {
        if (*over) return;
        *over = true;
        sendLeavingMark(simulation, serverIndex, tries - 1);
    });
}

auto markLeaving(Simulation& simulation, const FaultTarget& target) -> void {
    auto& server = simulation.server(target.server);
    if (!server.up || server.leaving) return;
    server.leaving = true;
    sendLeavingMark(simulation, target.server, MARK_TRIES);
}

// A complete listing arrives after newer ones.
auto delayListing(Simulation& simulation, const FaultTarget& target) -> void {
    auto text = simulation.listing();
    simulation.schedule(2 * SECOND + target.duration, [&simulation, text] {
        auto index = simulation.randomRunningMachine();
        if (index < 0 || simulation.ended) return;
        simulation.scheduleOnMachine(index, simulation.machine(index).incarnation, simulation.networkDelay(),
            [&simulation, index, text] {
                auto& machine = simulation.machine(index);
                machine.node->list(++machine.lastCall, text, machine.now());
            });
    });
}

// ---- operators

auto evacuateZone(Simulation& simulation, const FaultTarget& target) -> void {
    if (simulation.openEvacuations) return;
    simulation.openEvacuations = 1;
    auto zone = simulation.machine(target.machine).settings.zone;
    simulation.sendOrder("empty", bodyOf({{"district", jsonQuote(zone)}}), zone, 0, {});
    simulation.schedule(8 * SECOND + target.duration, [&simulation, zone] { simulation.restoreZone(zone); });
}

auto scheduleEvacuation(Simulation& simulation, const FaultTarget& target) -> void {
    if (simulation.openEvacuations) return;
    simulation.openEvacuations = 1;
    auto zone = simulation.machine(target.machine).settings.zone;
    auto at = formatWallTime(simulation.now + WALL_CLOCK_START + 4 * SECOND);
    auto evacuation = bodyOf({{"op", "\"empty\""}, {"district", jsonQuote(zone)}});
    simulation.sendOrder("book", bodyOf({{"at", jsonQuote(at)}, {"move", evacuation}}), zone, 0, {});
    simulation.schedule(12 * SECOND, [&simulation, zone] { simulation.restoreZone(zone); });
}

// Sends an invalid configuration, which must be rejected and never be read back.
auto sendInvalidConfiguration(Simulation& simulation, std::int64_t base) -> void {
    auto invalid = simulation.probeConfiguration(0);
    invalid.insert(invalid.size() - 1, ",\"colour\":1");
    invalid.replace(invalid.find("probe-0"), 7, "probe-x");
    simulation.sendOrder("config", fmt::format("{{\"base\":{},\"config\":{}}}", base, invalid), "invalid",
        base, [&simulation](int status) {
            if (status == 200 || status == 409)
                simulation.reportViolation("what was refused never takes effect", "an invalid one was taken");
        });
}

// One to three configurations, each based on the one before.
auto changeConfiguration(Simulation& simulation, const FaultTarget&) -> void {
    auto& random = simulation.faultRandom;
    auto count = 1 + int(random.below(3));
    auto base = simulation.newestConfigurationVersion();
    for (auto i = 0; i < count; i++) {
        auto probe = int(random.below(std::uint64_t(PROBE_SERVICES)));
        simulation.schedule(i * 700 * MILLISECOND,
            [&simulation, probe, ownBase = base + i] { simulation.sendConfiguration(probe, ownBase, {}); });
    }
}

// Two configurations with the same base, at almost the same time, and an invalid one.
auto raceConfigurations(Simulation& simulation, const FaultTarget&) -> void {
    auto& random = simulation.faultRandom;
    auto base = simulation.newestConfigurationVersion();
    for (auto i = 0; i < 2; i++) {
        auto probe = int(random.below(std::uint64_t(PROBE_SERVICES)));
        if (i == 0) sendInvalidConfiguration(simulation, base);
        simulation.schedule(Microseconds(random.below(5 * MILLISECOND)),
            [&simulation, probe, base] { simulation.sendConfiguration(probe, base, {}); });
    }
}

// Allows less for a while, which running requests must obey, and then as much as before.
auto restrictRules(Simulation& simulation, const FaultTarget& target) -> void {
    static const auto restrictions =
        std::vector<std::string>{"no-resume", "one-try", "home", "no-spill", "no-move"};
    auto send = [&simulation](const std::string& restriction) {
        auto probe = int(simulation.random.below(std::uint64_t(PROBE_SERVICES)));
        simulation.trace("rules " + (restriction.empty() ? "as ever" : restriction));
        simulation.sendConfiguration(probe, simulation.newestConfigurationVersion(), {}, restriction);
    };
    send(restrictions[simulation.faultRandom.below(restrictions.size())]);
    simulation.schedule(5 * SECOND + target.duration, [&simulation, send] {
        if (!simulation.ended) send("");
    });
}

// ---- clients

auto loadSurge(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.loadFactor = SURGE_FACTOR;
    simulation.schedule(target.duration, [&simulation] { simulation.loadFactor = 1; });
}

// More streams and fewer complete answers, or the other way round.
auto loadShift(Simulation& simulation, const FaultTarget& target) -> void {
    simulation.loadShift = simulation.faultRandom.chance(.5) ? SHIFT : -SHIFT;
    simulation.schedule(target.duration, [&simulation] { simulation.loadShift = 0; });
}

}  // namespace

auto serviceFaults() -> const std::map<std::string, FaultHandler>& {
    static const auto handlers = std::map<std::string, FaultHandler>{{"server-crash", crashServer},
        {"server-cold", crashServer}, {"server-dark", makeServerUnresponsive},
        {"server-stall", setServerMode}, {"server-slow", setServerMode}, {"server-wrong", setServerMode},
        {"server-cut", setServerMode}, {"server-skip", setServerMode}, {"server-deny", setServerMode},
        {"server-roll", changeServerWeights}, {"leave", markLeaving}, {"late-listing", delayListing},
        {"empty", evacuateZone}, {"plan", scheduleEvacuation}, {"config", changeConfiguration},
        {"race", raceConfigurations}, {"rules", restrictRules}, {"crowd", loadSurge}, {"swing", loadShift}};
    return handlers;
}

}  // namespace duneturn
