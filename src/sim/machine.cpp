// The simulated machine: start and end of its process, its disk, messages, probes and connections to servers,
// and the responses of its edge to clients.
#include "sim/machine.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto PROBE_TIMEOUT = 900 * MILLISECOND;
constexpr auto CONNECT_TIMEOUT = SECOND;
constexpr auto NO_SERVE_FROM = 30 * SECOND;  // when the broken variant "no-serve" begins
/// The connections from an edge to its clients have numbers above those of the machines.
constexpr auto FIRST_CLIENT_CONNECTION = 1000;
constexpr auto CLIENT_CONNECTIONS = 1000000;

}  // namespace

// ---- the process

auto SimMachine::now() const -> Microseconds { return simulation.now + monotonicOffset; }

auto SimMachine::start() -> void {
    if (up) return;
    up = true;
    frozen = false;
    incarnation++;
    inbox.clear();
    calls.clear();
    counters = std::make_unique<Counters>();
    auto seed = simulation.options.seed * 1000 + std::uint64_t(incarnation);
    node = std::make_unique<Node>(
        settings, *this, *counters, simulation.now + wallClockOffset + 1, hash64(settings.node, seed));
    edge = std::make_unique<Edge>(*node, *this, *counters, hash64(settings.node, seed + 500));
    configureBrokenVariant();
    newestState = {0, 0};
    if (core) startVoter();
    simulation.trace(fmt::format("{} starts", settings.node));
    simulation.scheduleTick(index, incarnation);
}

// Puts the deliberate fault of this run, if any, into the new process.
auto SimMachine::configureBrokenVariant() -> void {
    auto& variant = simulation.options.broken;
    node->broken.ignoreLease = variant == "no-lease";
    node->broken.ackBeforeMajorities = variant == "ack-early";
    node->broken.acceptOldState = variant == "old-word";
    node->broken.acceptSupersededListing = variant == "late-up";
    node->broken.reuseIncarnation = variant == "old-boot";
    edge->broken.retryNonRepeatable = variant == "resend-any";
    edge->broken.joinUnorderedEvents = variant == "join-any";
    edge->broken.ignoreHomeRegion = variant == "ignore-home";
    edge->broken.ignoreRetryBudget = variant == "no-budget";
    edge->broken.skipSlowStart = variant == "no-ramp";
    edge->broken.truncatedLooksComplete = variant == "cut-looks-whole";
    edge->broken.ignoreDraining = variant == "ignore-leaving";
    edge->broken.keepFirstConfiguration = variant == "old-rules";
    edge->broken.resumeUnchecked = variant == "resume-any";
    edge->broken.leakQueueSlots = variant == "queue-leak";
    edge->broken.ignoreWeightsVersion = variant == "any-weights";
    edge->broken.rejectEverything = variant == "no-serve" && simulation.now > NO_SERVE_FROM;
    edge->broken.illegalPhaseChange = variant == "bad-step";
    edge->broken.selectRandomly = simulation.options.place == "random";
    edge->broken.selectLeastLoaded = simulation.options.place == "least";
}

auto SimMachine::startVoter() -> void {
    storage.pending.clear();
    storage.gate = {};
    storage.busy = false;
    node->addPeerHints(peerHints);
    auto seed = simulation.options.seed * 77 + std::uint64_t(incarnation);
    node->startCore(storage.durable, fmt::format("{:016x}", hash64(settings.node, seed)), now());
    auto& variant = simulation.options.broken;
    node->voter()->broken.ackBeforeSync = variant == "ack-before-sync";
    node->voter()->broken.voteTwice = variant == "vote-twice";
    node->voter()->broken.noQuorum = variant == "no-quorum";
}

auto SimMachine::kill(bool power) -> void {
    if (!up) return;
    up = frozen = false;
    simulation.trace(fmt::format("{} {}", settings.node, power ? "loses power" : "is killed"));
    for (auto& [name, value] : counters->values())
        if (name.ends_with("_total")) simulation.counterTotals[name] += value;
    // When only the process is killed, the machine may still sync what it had begun to write.
    if (!power)
        while (
            !storage.pending.empty() && !storage.full && !storage.stalled && simulation.random.chance(.5)) {
            applyDiskWrite(storage.durable, storage.pending.front());
            storage.pending.pop_front();
        }
    storage.pending.clear();
    edge.reset();
    node.reset();
    inbox.clear();
    calls.clear();
    failClients();
}

// The clients notice the end of the process, and its connections to servers close.
auto SimMachine::failClients() -> void {
    for (auto& [key, attempt] : simulation.attemptOf)
        if (std::get<0>(key) == index && std::get<1>(key) == incarnation && !simulation.attempt(attempt).over)
            simulation.schedule(
                simulation.networkDelay(), [this, attempt = attempt] { simulation.onAttemptLost(attempt); });
    for (auto& connection : simulation.connections)
        if (connection->machine == index && connection->machineIncarnation == incarnation && connection->open)
            simulation.schedule(
                simulation.networkDelay(), [closed = connection.get()] { closed->open = false; });
}

auto SimMachine::addCall(std::function<void(const Outcome&)> callback) -> std::int64_t {
    auto call = ++lastCall;
    calls[call] = std::move(callback);
    return call;
}

auto SimMachine::done(std::int64_t call, const Outcome& outcome) -> void {
    auto found = calls.find(call);
    if (found == calls.end()) return;
    auto callback = std::move(found->second);
    calls.erase(found);
    auto caller = incarnation;
    simulation.schedule(simulation.networkDelay(), [this, caller, callback = std::move(callback), outcome] {
        if (up && incarnation == caller) callback(outcome);
    });
}

// ---- messages between nodes

auto SimMachine::send(const std::string& address, const wire::Envelope& envelope) -> void {
    auto found = simulation.machineByAddress.find(address);
    if (found == simulation.machineByAddress.end()) return;
    auto to = found->second;
    if (to == index || simulation.isPartitioned(index, to)) return;
    if (simulation.lossProbability > 0 && simulation.networkRandom.chance(simulation.lossProbability)) return;
    auto& target = simulation.machine(to);
    if (!target.up) return;
    // A connection delivers in the order of sending.
    auto& arrival = simulation.lastArrival[{index, to}];
    arrival = std::max(arrival, simulation.now + simulation.networkDelay());
    auto message = std::make_shared<wire::Envelope>(envelope);
    simulation.scheduleOnMachine(to, target.incarnation, arrival - simulation.now, [this, to, message] {
        if (simulation.isPartitioned(index, to)) return;
        auto& receiver = simulation.machine(to);
        receiver.node->handle(*message, receiver.now());
    });
}

// ---- the disk

auto SimMachine::disk(const DiskWrite& write) -> void {
    storage.pending.push_back(write);
    if (!storage.busy) syncNextWrite();
}

auto SimMachine::syncNextWrite() -> void {
    storage.busy = !storage.pending.empty() && !storage.stalled;
    if (!storage.busy) return;
    auto writer = incarnation;
    auto sequence = storage.pending.front().seq;
    auto duration =
        storage.latency / 2 + Microseconds(simulation.random.below(std::uint64_t(storage.latency)));
    simulation.schedule(duration, [this, writer, sequence] { onWriteDue(writer, sequence); });
}

auto SimMachine::onWriteDue(std::int64_t writer, std::int64_t sequence) -> void {
    auto& pending = storage.pending;
    if (writer != incarnation || !up || pending.empty() || pending.front().seq != sequence) return;
    if (storage.stalled) {
        storage.busy = false;
        return;
    }
    auto succeeded = !storage.full && storage.gate.takes(pending.front());
    if (succeeded) applyDiskWrite(storage.durable, pending.front());
    else storage.gate.fail(pending.front());
    pending.pop_front();
    simulation.scheduleOnMachine(
        index, writer, 0, [this, sequence, succeeded] { node->onDiskWriteDone(sequence, succeeded, now()); });
    syncNextWrite();
}

// ---- servers

auto SimMachine::probe(const std::string& name, const std::string& address) -> void {
    auto found = simulation.serverByAddress.find(address);
    if (found == simulation.serverByAddress.end()) return;
    auto prober = incarnation;
    simulation.schedule(simulation.networkDelay(), [this, number = found->second, name, prober] {
        auto& server = simulation.server(number);
        auto answered = server.up && !server.unresponsive;
        auto refused = !server.up;
        auto load = wire::ServerLoad();
        load.prefill = server.prefill;
        load.decode = server.decode;
        load.slots = server.slots;
        load.boot = server.incarnation;
        load.up = simulation.now - server.startedAt;
        load.cold = server.cold && simulation.now - server.startedAt < SLOW_START;
        auto delay = answered || refused ? simulation.networkDelay() : PROBE_TIMEOUT;
        simulation.scheduleOnMachine(index, prober, delay, [this, name, answered, refused, load] {
            node->probeFinished(name, answered, refused, load, now());
        });
    });
}

auto SimMachine::startAttempt(
    std::int64_t request, int attempt, const std::string&, const std::string& address) -> void {
    simulation.result.sends++;
    auto found = simulation.serverByAddress.find(address);
    if (found == simulation.serverByAddress.end()) {
        simulation.scheduleOnMachine(index, incarnation, simulation.networkDelay(),
            [this, request, attempt] { edge->onConnectionRefused(request, attempt, now()); });
        return;
    }
    auto created = std::make_unique<SimConnection>(SimConnection{index, incarnation, request, attempt,
        found->second, simulation.server(found->second).incarnation, true});
    auto connection = created.get();
    simulation.connections.push_back(std::move(created));
    simulation.connectionOf[{index, incarnation, request, attempt}] = connection;
    simulation.schedule(simulation.networkDelay(), [this, connection] { connect(connection); });
}

// The attempt to connect reaches the server, which is up, down (refuses) or unresponsive (times out).
auto SimMachine::connect(SimConnection* connection) -> void {
    auto& server = simulation.server(connection->server);
    connection->serverIncarnation = server.incarnation;
    auto connected = connection->machineIncarnation;
    if (server.up && !server.unresponsive) {
        simulation.scheduleOnMachine(index, connected, simulation.networkDelay(),
            [this, connection] { sendOverConnection(connection); });
        return;
    }
    auto delay = server.up ? CONNECT_TIMEOUT : simulation.networkDelay();
    simulation.scheduleOnMachine(index, connected, delay, [this, connection] {
        if (!connection->open) return;
        connection->open = false;
        if (auto attempt = attemptOfRequest(connection->request); attempt >= 0)
            simulation.recordSend(attempt);
        edge->onConnectionRefused(connection->request, connection->attempt, now());
    });
}

auto SimMachine::sendOverConnection(SimConnection* connection) -> void {
    auto request = edge->find(connection->request);
    if (!connection->open || !request
        || !edge->confirmSend(connection->request, connection->attempt, now())) {
        connection->open = false;
        return;
    }
    auto attempt = attemptOfRequest(connection->request);
    if (attempt < 0) return;
    simulation.recordSend(attempt);
    simulation.executeRequest(connection, attempt, *request);
}

auto SimMachine::cancelAttempt(std::int64_t request, int attempt) -> void {
    auto found = simulation.connectionOf.find({index, incarnation, request, attempt});
    if (found == simulation.connectionOf.end()) return;
    auto connection = found->second;
    simulation.connectionOf.erase(found);
    simulation.schedule(simulation.networkDelay(), [connection] { connection->open = false; });
}

// ---- responses to clients

auto SimMachine::attemptOfRequest(std::int64_t request) const -> int {
    auto found = simulation.attemptOf.find({index, incarnation, request});
    return found == simulation.attemptOf.end() ? -1 : found->second;
}

// A connection delivers in the order of sending.
auto SimMachine::scheduleToClient(std::int64_t request, std::function<void()> action) -> void {
    auto connection = std::pair(FIRST_CLIENT_CONNECTION + index, int(request % CLIENT_CONNECTIONS));
    auto& arrival = simulation.lastArrival[connection];
    arrival = std::max(arrival, simulation.now + simulation.networkDelay());
    simulation.scheduleAt(arrival, std::move(action));
}

auto SimMachine::sendHead(std::int64_t request, int, const Headers& headers) -> void {
    auto number = attemptOfRequest(request);
    if (number < 0) return;
    auto& attempt = simulation.attempt(number);
    attempt.streaming = true;
    for (auto& [name, value] : headers)
        if (name == "X-Weights") attempt.announcedWeights = value;
}

auto SimMachine::sendStreamBytes(std::int64_t request, const std::string& bytes) -> void {
    auto attempt = attemptOfRequest(request);
    if (attempt < 0) return;
    scheduleToClient(request, [this, attempt, bytes] { simulation.onStreamEvent(attempt, bytes); });
}

auto SimMachine::endStream(std::int64_t request, bool complete) -> void {
    auto attempt = attemptOfRequest(request);
    if (attempt < 0) return;
    scheduleToClient(request, [this, attempt, complete] { simulation.onStreamEnd(attempt, complete); });
}

auto SimMachine::sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
    -> void {
    // Edge::accept may reply before it has returned the request's number, so the attempt is looked up later.
    auto replier = incarnation;
    simulation.schedule(simulation.networkDelay(), [this, replier, request, status, headers, body] {
        auto found = simulation.attemptOf.find({index, replier, request});
        if (found != simulation.attemptOf.end()) simulation.onReply(found->second, status, headers, body);
    });
}

}  // namespace duneturn
