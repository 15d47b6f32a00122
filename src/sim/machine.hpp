#pragma once
// A simulated machine and the duneturn process that may run on it.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/counters.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/edge.hpp"

namespace duneturn {

struct SimConnection;
struct Simulation;

constexpr auto NORMAL_DISK_LATENCY = 2 * MILLISECOND;

struct SimDisk {
    DiskState durable;              // what survives a loss of power
    std::deque<DiskWrite> pending;  // written, not yet synced
    Microseconds latency = NORMAL_DISK_LATENCY;
    DiskWriteFence gate;
    bool full = false, stalled = false;
    bool busy = false;  // a write is being synced
};

/// A machine with its clocks, disk and network address. While its process runs, `node` and `edge` are set;
/// the process's effects on the outside (messages, disk writes, connections) become events of the simulation.
struct SimMachine : NodePort, EdgePort {
    Simulation& simulation;
    int index;
    Settings settings;
    bool core = false;  // has a disk and may be a voter
    SimDisk storage;
    Microseconds wallClockOffset = 0, monotonicOffset = 0;
    std::vector<std::string> peerHints;  // the addresses of peers saved on disk
    std::int64_t incarnation = 0;
    bool up = false, frozen = false;
    std::deque<std::function<void()>> inbox;  // events that wait while the process is frozen
    std::unique_ptr<Counters> counters;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls;  // of operators and the platform
    std::int64_t lastCall = 0;
    std::pair<std::int64_t, std::int64_t> newestState{0, 0};  // epoch and version that the node reached

    SimMachine(Simulation& owner, int number) : simulation(owner), index(number) {}

    /// The machine's monotonic clock.
    auto now() const -> Microseconds;
    /// Starts a new incarnation of the process; does nothing while one runs.
    auto start() -> void;
    /// Ends the process. With `power`, writes that are not synced are lost; without, some may still be
    /// synced.
    auto kill(bool power) -> void;
    /// Begins to sync the oldest pending write, if the disk is not stalled.
    auto syncNextWrite() -> void;
    /// Registers the callback of a call of an operator or the platform, which gets lost if the process ends;
    /// returns the call's id.
    auto addCall(std::function<void(const Outcome&)> callback) -> std::int64_t;

    auto send(const std::string& address, const wire::Envelope& envelope) -> void override;
    auto disk(const DiskWrite& write) -> void override;
    auto done(std::int64_t call, const Outcome& outcome) -> void override;
    auto savePeerHints(const std::vector<std::string>& addresses) -> void override { peerHints = addresses; }
    auto probe(const std::string& server, const std::string& address) -> void override;
    auto startAttempt(std::int64_t request, int attempt, const std::string& server,
        const std::string& address) -> void override;
    auto cancelAttempt(std::int64_t request, int attempt) -> void override;
    auto sendHead(std::int64_t request, int status, const Headers& headers) -> void override;
    auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void override;
    auto endStream(std::int64_t request, bool complete) -> void override;
    auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void override;

  private:
    auto configureBrokenVariant() -> void;
    auto startVoter() -> void;
    auto failClients() -> void;
    auto onWriteDue(std::int64_t writer, std::int64_t sequence) -> void;
    auto connect(SimConnection* connection) -> void;
    auto sendOverConnection(SimConnection* connection) -> void;
    auto attemptOfRequest(std::int64_t request) const -> int;
    auto scheduleToClient(std::int64_t request, std::function<void()> action) -> void;
};

}  // namespace duneturn
