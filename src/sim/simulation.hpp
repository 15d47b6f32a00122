#pragma once
// The simulated environment of a fleet: time, network, machines, model servers, clients, operators, the
// platform, faults, and the oracles that check what servers executed, clients received and operators were
// answered. Used only by the sources of this folder.
//
// Every event and every random draw has a fixed order, so that the same seed gives the same trace.
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "sim/history.hpp"
#include "sim/machine.hpp"
#include "sim/records.hpp"
#include "sim/simulate.hpp"

namespace duneturn {

/// How many probe services there are. Each configuration that an operator sends routes the probe requests to
/// one of them, so that the server which a probe reaches shows which configuration the node obeys.
constexpr auto PROBE_SERVICES = 8;
/// Wall clocks run around this time after the start of 1970.
constexpr auto WALL_CLOCK_START = 1800000000LL * SECOND;
/// A configuration must be obeyed this long after its acknowledgement.
constexpr auto CONFIGURATION_LIMIT = 3 * SECOND;
/// Nothing new may reach a zone this long after the order to evacuate it was sent.
constexpr auto EVACUATION_LIMIT = 5 * SECOND;
/// Every kind of request must be served again this long after a total loss.
constexpr auto RECOVERY_LIMIT = 12 * SECOND;

/// The state of one run and all that happens in it. Indices name machines, servers, requests and attempts;
/// an index stays valid, while references into `requests`, `attempts` and `executions` do not outlive the
/// next insertion.
struct Simulation {
    using Action = std::function<void()>;

    struct Event {
        Microseconds at;
        std::int64_t sequence;
        Action action;
    };
    /// Events at the same time happen in the order of their insertion.
    struct HappensLater {
        auto operator()(const Event& left, const Event& right) const -> bool {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    SimOptions options;
    SimResult result;
    RandomSource random{1}, networkRandom{1}, faultRandom{1};
    Microseconds now = 0;
    std::priority_queue<Event, std::vector<Event>, HappensLater> events;
    std::int64_t eventCount = 0;

    // Machines and the network between them.
    std::vector<std::unique_ptr<SimMachine>> machines;
    std::map<std::string, int> machineByAddress;
    std::vector<std::vector<int>> partitions;  // [from][to] > 0: that many faults block the direction
    double lossProbability = 0;                // of each message between machines
    std::map<std::pair<int, int>, Microseconds> lastArrival;  // by connection, which delivers in order
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> leaderDisk;  // by epoch and term

    // Model servers.
    std::vector<SimServer> servers;
    std::map<std::string, int> serverByAddress;
    std::vector<SimExecution> executions;
    std::vector<std::unique_ptr<SimConnection>> connections;
    std::map<std::tuple<int, std::int64_t, std::int64_t, int>, SimConnection*>
        connectionOf;                                  // by machine, incarnation, request, attempt
    std::vector<std::pair<Microseconds, bool>> sends;  // to servers; whether beyond the request's first

    // Clients.
    std::vector<SimRequestKind> kinds;
    std::vector<std::string> regions;
    std::vector<SimRequest> requests;
    std::vector<SimAttempt> attempts;
    std::map<std::tuple<int, std::int64_t, std::int64_t>, int>
        attemptOf;                         // by machine, incarnation, edge's request number
    double loadFactor = 1, loadShift = 0;  // of the faults "crowd" and "swing"
    bool ended = false;                    // no further requests and faults

    // Operators and the platform.
    std::string exampleConfiguration;
    std::vector<SimOrder> orders;
    std::vector<HistoryOperation> readbacks;
    int nextOrderMachine = -1;  // the node that receives the next order; -1: any
    std::int64_t openEvacuations = 0;
    std::int64_t platformRevision = 0;  // the newest number of a listing or mark

    // What the oracles wait for.
    Microseconds totalLossAt = 0;
    std::map<std::pair<std::string, std::string>, Microseconds>
        recoveredAt;                                   // by kind and region: first success since
    Microseconds livenessFrom = 0, livenessUntil = 0;  // requests created between must mostly succeed
    std::map<std::string, std::pair<int, int>> livenessCounts;  // by kind and region: created, succeeded
    Microseconds quietUntil = 0;                                // no other fault before this
    std::map<std::string, std::int64_t> counterTotals;          // over all incarnations of all machines

    // ---- simulate.cpp: time, network, trace, the course of the run.

    auto machine(int index) -> SimMachine& { return *machines[std::size_t(index)]; }
    auto server(int index) -> SimServer& { return servers[std::size_t(index)]; }
    auto attempt(int index) -> SimAttempt& { return attempts[std::size_t(index)]; }
    auto requestOf(const SimAttempt& attempt) -> SimRequest& {
        return requests[std::size_t(attempt.request)];
    }
    auto kindOf(const SimAttempt& attempt) -> const SimRequestKind& {
        return kinds[std::size_t(requestOf(attempt).kind)];
    }
    /// Schedules an action at a time, or now if that has passed.
    auto scheduleAt(Microseconds when, Action action) -> void;
    /// Schedules an action after a delay.
    auto schedule(Microseconds delay, Action action) -> void;
    /// For a process: dropped if that incarnation has ended by then, deferred while the process is frozen.
    auto scheduleOnMachine(int index, std::int64_t incarnation, Microseconds delay, Action action) -> void;
    /// Adds a line to the trace, whose digest identifies the run.
    auto trace(const std::string& text) -> void;
    /// Traces a violation and records it; `rule` is one of the fixed texts that tests match.
    auto reportViolation(const std::string& rule, const std::string& details) -> void;
    /// Draws the one-way delay of a message: 0.3 to 1 ms, in one of a hundred cases up to 20 ms more.
    auto networkDelay() -> Microseconds;
    auto hasFault(const std::string& kind) const -> bool;
    auto isPartitioned(int from, int to) const -> bool;
    /// Ticks the process of a machine every 25 ms as long as its incarnation runs, and checks its state.
    auto scheduleTick(int index, std::int64_t incarnation) -> void;
    /// Checks that a node never returns to an older state, and that each term has one leader.
    auto checkNodeState(SimMachine& machine) -> void;
    /// The index of the leader's machine; -1 if there is none.
    auto leader() -> int;
    /// The index of a random machine whose process runs; -1 if 40 draws find none.
    auto randomRunningMachine() -> int;
    /// Runs all events up to 64 s after the end of the load, and the checks at the end.
    auto run() -> void;
    /// Sends the first configuration until it is accepted, and then starts the clients.
    auto scheduleBootstrap() -> void;
    /// Schedules the repair of all faults and the checks that follow it.
    auto scheduleEnd() -> void;
    /// Injects "closing-wipe": two core machines lose power and their disks.
    auto wipeMajority() -> void;
    /// Checks the state that is read back at the end.
    auto checkLastReadback(const std::string& body) -> void;
    /// Runs events until a time, or until 20 violations were found.
    auto processEvents(Microseconds until) -> void;

    // ---- example.cpp: the deployment's files.

    /// Reads nodes/, servers.json, config.json and day.json of the example; returns "" or an error text.
    auto loadExample() -> std::string;
    auto loadNodes() -> std::string;
    auto loadServers(const rapidjson::Value& listing) -> void;
    auto loadKinds(const rapidjson::Value& day) -> void;

    // ---- servers.cpp: the model servers.

    /// Executes a request whose bytes have left the edge over `connection`.
    auto executeRequest(SimConnection* connection, int attemptIndex, const Request& request) -> void;
    /// Calls `action` at the connection's edge after `delay`, unless the connection or the process is gone.
    auto scheduleAtEdge(
        SimConnection* connection, Microseconds delay, std::function<void(SimMachine&)> action) -> void;
    /// Reports a reset of the connection to its edge, after a network delay.
    auto resetConnection(SimConnection* connection) -> void;
    /// Ends a server's incarnation. `silent`: its clients do not notice that their connections are gone.
    auto stopServer(int index, bool silent) -> void;
    /// Starts a stopped server as a new, cold incarnation; false if it runs.
    auto restartServer(SimServer& server) -> bool;
    /// The same, and the platform no longer lists it as leaving.
    auto restartServerAsUp(SimServer& server) -> void;

    // ---- clients.cpp: the clients and what they check of responses.

    /// Creates a request of a kind now and schedules the next one of this kind.
    auto scheduleArrivals(std::size_t kind) -> void;
    /// Creates a request and starts its first attempt.
    auto createRequest(std::size_t kind, const std::string& region) -> void;
    /// The body of request `number`. Prompts of a kind share one of several beginnings.
    auto requestBody(const SimRequestKind& kind, std::size_t number) -> std::string;
    /// Asks a random node for the nodes of the client's region and sends the request to one of them.
    auto startAttempt(int requestIndex) -> void;
    /// Receives the discovery at a node and continues at the node that it names.
    auto discoverNode(int requestIndex, int discoveryMachine) -> void;
    /// Sends an attempt to its node after `delay`; the client gives up 70 s after that.
    auto sendToNode(int attemptIndex, Microseconds delay) -> void;
    /// Hands an attempt to the edge of its node.
    auto deliverToEdge(int attemptIndex) -> void;
    /// Retries after 1 ms, or with `backoff` after 0.5 to 1.5 s; gives up after four attempts or 12 s.
    auto retryRequest(int requestIndex, bool backoff) -> void;
    /// The connection of the client to its node is lost.
    auto onAttemptLost(int attemptIndex) -> void;
    /// Checks an event that the client received: its id, its contents, and that none follows the end.
    auto onStreamEvent(int attemptIndex, const std::string& raw) -> void;
    auto checkEventContent(int attemptIndex, std::int64_t id, const std::string& data) -> void;
    /// Checks that only a stream with its done event ends as complete.
    auto onStreamEnd(int attemptIndex, bool complete) -> void;
    /// Checks a reply that is not a stream.
    auto onReply(int attemptIndex, int status, const Headers& headers, const std::string& body) -> void;
    auto onRejection(int attemptIndex, int status, const std::string& body) -> void;
    /// Records the end of an attempt: "whole", "cut" or "failed".
    auto finishAttempt(int attemptIndex, const std::string& outcome) -> void;
    auto resumeOrGiveUp(int attemptIndex) -> void;

    // ---- operators.cpp: orders, readbacks and the platform's listings.

    /// Sends an order to a node. `onOutcome` gets its status; 504 when none came within 5 s.
    auto sendOrder(const std::string& operation, const std::string& body, const std::string& subject,
        std::int64_t base, std::function<void(int)> onOutcome) -> void;
    /// Records the outcome of an order.
    auto onOrderOutcome(std::size_t number, const Outcome& outcome) -> void;
    /// The example's configuration with a route for the probe requests to the service "probe-N". A
    /// `restriction` (of the fault "rules") allows less than the example does.
    auto probeConfiguration(int probe, const std::string& restriction = "") -> std::string;
    auto sendConfiguration(int probe, std::int64_t base, std::function<void(int)> onOutcome,
        const std::string& restriction = "") -> void;
    /// The newest configuration version that was acknowledged to an operator.
    auto newestConfigurationVersion() const -> std::int64_t;
    /// Ends the evacuation of a zone; repeats the order every second until it is acknowledged.
    auto restoreZone(const std::string& zone) -> void;
    /// Reads the replicated state through a node. The callback gets whether it succeeded and the body.
    auto readBack(std::function<void(bool, const std::string&)> onResult) -> void;
    /// Records what was read for checkLinearizability, and checks that some order can have written it.
    auto checkReadback(Microseconds sentAt, const std::string& body) -> void;
    /// The platform's listing of the servers under a new revision.
    auto listing() -> std::string;
    /// Sends the listing through a random node, with a new one for each try.
    auto sendListing(std::function<void(bool)> onResult, int tries) -> void;
    /// Sends a listing every second.
    auto scheduleListings() -> void;

    // ---- faults.cpp, machine_faults.cpp, service_faults.cpp

    /// Draws the faults of the run and their times.
    auto scheduleFaults() -> void;
    /// Injects a fault of a kind now, unless an exclusive fault needs quiet.
    auto injectFault(const std::string& kind) -> void;
    auto repairAllFaults() -> void;
    /// Runs a frozen process again, with the events that arrived in the meantime.
    auto unfreeze(SimMachine& machine) -> void;
    /// Starts the process of a machine after a delay, unless the run has ended by then.
    auto restartLater(int index, Microseconds delay) -> void;
    /// Erases the disk of a machine that is down.
    auto loseDisk(SimMachine& machine) -> void;
    /// Replaces a core machine by one at another address; its settings name the current seeds, while the
    /// settings of the others still name the old address.
    auto moveToNewAddress(SimMachine& machine) -> void;
    /// Injects "total-loss" and its variants: all machines lose power at once.
    auto totalLoss(const std::string& kind) -> void;
    /// Injects "ruin": all machines lose power, and all disks but the leader's are lost.
    auto loseMajority() -> void;
    /// Bootstraps a new epoch from the remaining disk, and checks what a rescue must reject.
    auto rescueAt(int index) -> void;

    // ---- oracles.cpp

    /// Records a connection begun to a server, as a first or an extra send of its attempt.
    auto recordSend(int attemptIndex) -> void;
    /// Checks an execution when it starts.
    auto checkExecution(const SimExecution& execution) -> void;
    auto checkOrderEffects(const SimExecution& execution) -> void;
    auto checkZoneEvacuation(const SimServer& server) -> void;
    auto possibleConfigurations(Microseconds at) const -> std::vector<const SimOrder*>;
    auto violatedRule(const rapidjson::Document& configuration, const SimExecution& execution) const
        -> std::string;
    auto checkLeavingServer(int index) -> void;
    auto checkEvacuatedZone(const SimOrder& order) -> void;
    auto checkReadiness() -> void;
    auto checkLeaks() -> void;
    auto probeRecovery(Microseconds until) -> void;
    auto checkRecovery(const std::vector<std::pair<std::size_t, std::string>>& probes) -> void;
    auto checkLinearizability() -> void;
    auto checkRetryBudget() -> void;
    auto checkAtEnd() -> void;
    auto traceState() -> void;
};

}  // namespace duneturn
