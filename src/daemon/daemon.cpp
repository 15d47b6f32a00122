#include "daemon/daemon.hpp"

#include <csignal>
#include <cstdint>
#include <functional>
#include <malloc.h>
#include <memory>
#include <mutex>
#include <optional>
#include <pthread.h>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "daemon/adapter_host.hpp"
#include "daemon/client_listener.hpp"
#include "daemon/client_response.hpp"
#include "daemon/client_session.hpp"
#include "daemon/disk_thread.hpp"
#include "daemon/limits.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/node_shell.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/peer_channels.hpp"
#include "daemon/peer_server.hpp"
#include "daemon/planned_stop.hpp"
#include "daemon/transport_counters.hpp"
#include "daemon/upstream_connections.hpp"
#include "daemon/worker_pool.hpp"
#include "net/connection_limits.hpp"
#include "net/http.hpp"

namespace duneturn {

namespace {

constexpr int EXIT_FAILED = 1;
constexpr int EXIT_NEWER_FORMAT = 2;

/// What an adapter fixes, whatever else the options say.
auto withAdapterRules(DaemonOptions options) -> DaemonOptions {
    if (!options.adapter) {
        options.reuse = false;
        return options;
    }
    options.workers = 1;
    options.core = !options.settings.data.empty();
    return options;
}

/// Settings of the whole process; before its first thread starts.
auto prepareProcess() -> void {
    std::signal(SIGPIPE, SIG_IGN);
    // Memory that is free goes back; and the threads, which are many, share their heaps.
    mallopt(M_ARENA_MAX, MALLOC_ARENAS);
    mallopt(M_MMAP_THRESHOLD, MALLOC_MAP_FROM_BYTES);
    mallopt(M_TRIM_THRESHOLD, MALLOC_TRIM_FROM_BYTES);
    auto attributes = pthread_attr_t();
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
}

/// The assembly of the process: its parts, and what the logic asks of them. The ports are called with
/// Logic::mutex held.
class Daemon : public NodePort, public EdgePort {
  public:
    explicit Daemon(const DaemonOptions& options);

    /// Runs until a planned stop has ended; the process's exit code.
    auto run() -> int;

  private:
    // ---- NodePort
    auto send(const std::string& address, const wire::Envelope& envelope) -> void override {
        peers_.send(address, envelope);
    }
    auto disk(const DiskWrite& write) -> void override { disk_.write(write); }
    auto done(std::int64_t call, const Outcome& outcome) -> void override { calls_.finish(call, outcome); }
    auto savePeerHints(const std::vector<std::string>& addresses) -> void override {
        disk_.keepPeers(addresses);
    }
    auto probe(const std::string& server, const std::string& address) -> void override {
        upstreams_.probe(server, address);
    }

    // ---- EdgePort
    auto startAttempt(std::int64_t request, int attempt, const std::string& server,
        const std::string& address) -> void override {
        upstreams_.begin({request, attempt}, server, address);
    }
    auto cancelAttempt(std::int64_t request, int attempt) -> void override {
        upstreams_.drop({request, attempt});
    }
    auto sendHead(std::int64_t request, int status, const Headers& headers) -> void override {
        responses_.beginStream(request, status, headers);
    }
    auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void override {
        responses_.addPart(request, bytes);
    }
    auto endStream(std::int64_t request, bool whole) -> void override {
        responses_.end(request, whole ? ClientResponse::End::Whole : ClientResponse::End::Cut);
    }
    auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void override {
        responses_.reply(request, status, headers, body);
    }

    // ---- start
    auto createLogic() -> void;
    auto openDisk() -> int;
    auto addListeners() -> void;
    auto logStart() -> void;
    auto awaitStopSignal() -> void;
    auto awaitReloadSignal() -> void;
    auto runDuties() -> asio::awaitable<void>;

    // ---- what time brings
    auto tick() -> bool;
    auto readConfiguration() -> void;
    auto sweep(Microseconds now) -> void;

    // In this order: executors and locks outlive what uses them.
    const DaemonOptions options_;
    WorkerPool workers_;
    Logic logic_;
    TransportCounters transportCounters_;
    PeerChannels peers_;
    DiskThread disk_;
    ClientResponses responses_;
    UpstreamConnections upstreams_;
    NodeCalls calls_;
    OperatorApi operatorApi_;
    AdapterHost adapter_;
    SessionContext sessions_;
    ClientListeners listeners_;
    PlannedStop stop_;
    asio::signal_set stopSignals_;
    asio::signal_set reloadSignals_;

    // Guarded by Logic::mutex: of the state whose configuration was read last, and of the last sweep.
    std::int64_t readEpoch_ = -1, readVersion_ = -1;
    Microseconds sweptAt_ = 0;
};

Daemon::Daemon(const DaemonOptions& options)
    : options_(withAdapterRules(options)),
      workers_(options_.workers),
      peers_(options_.settings.peer, transportCounters_),
      disk_(logic_, options_.settings),
      upstreams_(logic_, workers_, responses_, {options_.reuse, options_.adapter != nullptr}),
      calls_(logic_),
      operatorApi_(logic_, calls_, transportCounters_, options_.settings),
      adapter_(options_.adapter),
      sessions_{logic_, transportCounters_, workers_, responses_, calls_, operatorApi_, adapter_,
          options_.settings},
      listeners_(sessions_),
      stop_(logic_, listeners_, responses_, upstreams_,
          options_.adapter ? PlannedStop::Schedule::Grace : PlannedStop::Schedule::Drain,
          options_.adapter ? options_.grace : options_.drain),
      stopSignals_(workers_.context(), SIGTERM, SIGINT),
      reloadSignals_(workers_.context(), SIGHUP) {}

auto Daemon::run() -> int {
    createLogic();
    if (options_.core)
        if (auto failed = openDisk(); failed) return failed;
    addListeners();
    if (auto opened = listeners_.open(); !opened) {
        fmt::print(stderr, "duneturn: cannot listen: {}\n", opened.error());
        return EXIT_FAILED;
    }
    auto peerServer = PeerServer(options_.settings.peer, logic_, peers_, [this] { workers_.stop(); });
    peerServer.start();
    if (options_.core) disk_.start();
    logStart();
    awaitStopSignal();
    awaitReloadSignal();
    listeners_.start();
    if (adapter_.present()) asio::co_spawn(workers_.context(), runDuties(), asio::detached);
    workers_.run([this] { return tick(); });
    peerServer.stop();
    disk_.stop();
    peers_.closeAll();
    peerServer.join();
    logEvent("node_stopped", "node={}", options_.settings.node);
    return peerServer.failed() ? EXIT_FAILED : 0;
}

auto Daemon::createLogic() -> void {
    // Mixed in, so that Node and Edge draw different numbers.
    constexpr std::uint64_t EDGE_SEED = 0x5a5a;
    auto random = std::random_device();
    auto seed = (std::uint64_t(random()) << 32) ^ random();
    auto dialect = options_.adapter ? options_.adapter->dialect : Dialect();
    // Two lives of one node never share a boot number, and a later one's is higher.
    auto boot = wallNow();
    logic_.node = std::make_unique<Node>(options_.settings, *this, logic_.counters, boot, seed);
    logic_.edge = std::make_unique<Edge>(*logic_.node, *this, logic_.counters, seed ^ EDGE_SEED, dialect);
}

// The exit code if the process cannot go on without its disk; else 0. With an adapter a disk in trouble is
// tried again by the disk's thread; one of a newer format is never touched.
auto Daemon::openDisk() -> int {
    auto opened = disk_.open();
    if (opened) return 0;
    auto& error = opened.error();
    auto newer = error.kind == StoreError::Kind::NewerFormat;
    if (adapter_.present() && !newer) {
        logEvent("disk_open_failed", "retry_us={} cause={}", DISK_RETRY, error.why);
        return 0;
    }
    fmt::print(stderr, "duneturn: data {}: {}\n", options_.settings.data, error.why);
    return newer ? EXIT_NEWER_FORMAT : EXIT_FAILED;
}

auto Daemon::addListeners() -> void {
    listeners_.add(ListenerKind::Client, options_.settings.clientAddress);
    if (options_.adapter)
        for (auto& address : options_.adapter->listens) listeners_.add(ListenerKind::Adapter, address);
    if (options_.operatorListens) listeners_.add(ListenerKind::Operator, options_.settings.operatorAddress);
}

auto Daemon::logStart() -> void {
    auto& settings = options_.settings;
    logEvent("node_started", "role={} node={} zone={} region={} peer={} clients={} operators={}",
        options_.core ? "core" : "edge", settings.node, settings.zone, settings.region, settings.peer,
        settings.clientAddress, settings.operatorAddress);
}

auto Daemon::awaitStopSignal() -> void {
    stopSignals_.async_wait([this](beast::error_code failed, int) {
        if (!failed) stop_.begin();
    });
}

auto Daemon::awaitReloadSignal() -> void {
    reloadSignals_.async_wait([this](beast::error_code failed, int) {
        if (failed) return;
        adapter_.reload();
        awaitReloadSignal();
    });
}

auto Daemon::runDuties() -> asio::awaitable<void> {
    auto shell = NodeShell(logic_, calls_, options_.settings);
    co_await adapter_.runDuties(shell);
}

// What time brings; true once the process may end.
auto Daemon::tick() -> bool {
    auto now = bootNow();
    auto swept = false, ended = false;
    {
        auto lock = std::lock_guard(logic_.mutex);
        logic_.node->tick(now, wallNow());
        logic_.edge->tick(now);
        readConfiguration();
        swept = now - sweptAt_ > SWEEP_PERIOD;
        if (swept) sweep(now);
        ended = stop_.step(now);
    }
    if (swept) peers_.closeIdle(now);
    return ended;
}

// Takes over what a new configuration says of connections. With Logic::mutex held.
auto Daemon::readConfiguration() -> void {
    auto& state = logic_.node->replicatedState();
    if (state.version == readVersion_ && state.epoch == readEpoch_) return;
    sessions_.clientLimits = readConnectionLimits(state.config());
    upstreams_.configure(state.config());
    readVersion_ = state.version;
    readEpoch_ = state.epoch;
}

// With Logic::mutex held.
auto Daemon::sweep(Microseconds now) -> void {
    sweptAt_ = now;
    logic_.counters.set("sessions", sessions_.sessions);
    upstreams_.sweep(logic_.node->aliveNodes(now).size(), now);
}

}  // namespace

auto daemonRun(const DaemonOptions& options) -> int {
    prepareProcess();
    return Daemon(options).run();
}

}  // namespace duneturn
