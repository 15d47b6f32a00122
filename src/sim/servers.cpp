// The simulated model servers: execution of requests, their faults, stop and restart.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto PLAIN_DURATION = 2 * MILLISECOND;  // of a request without a model
constexpr auto TOKEN_INTERVAL = 20 * MILLISECOND;
constexpr auto PREFILL_PER_TOKEN = Microseconds(100);
constexpr auto SLOW_FACTOR = 20;  // of the fault "server-slow"
constexpr auto STALL_POLL = 100 * MILLISECOND;
/// Faults in a stream ("cut", "skip", "stall") begin this many events after its start.
constexpr auto EVENTS_BEFORE_FAULT = 3;

auto slowness(const std::string& mode) -> int { return mode == "slow" ? SLOW_FACTOR : 1; }

/// One execution at a server, from the arrival of the request to the last byte of the response. Held by the
/// events that continue it.
class ServerExecution : public std::enable_shared_from_this<ServerExecution> {
  public:
    ServerExecution(Simulation& simulation, SimConnection* connection, const SimRequestKind& kind,
        std::int64_t resumedFrom, std::string body, std::string path)
        : simulation_(simulation),
          connection_(connection),
          resumedFrom_(resumedFrom),
          tokens_(kind.tokens),
          stream_(kind.stream),
          body_(std::move(body)),
          path_(std::move(path)) {}

    /// `requestName` is returned in the response's headers, unless the fault "server-wrong" is on.
    auto start(const std::string& requestName) -> void {
        auto& server = this->server();
        mode_ = server.mode;
        weights_ = server.weights;
        headers_ = {{"X-Exchange-Id", mode_ == "wrong" ? "another" : requestName}, {"X-Weights", weights_}};
    }
    /// Answers a request that needs no model.
    auto answerPlain() -> void {
        simulation_.schedule(PLAIN_DURATION * slowness(mode_), [self = shared_from_this()] {
            auto& server = self->server();
            if (!server.up || server.incarnation != self->connection_->serverIncarnation) return;
            if (self->mode_ == "stall") return;
            self->simulation_.scheduleAtEdge(self->connection_, self->simulation_.networkDelay(),
                [self](SimMachine& machine) { self->respondPlain(machine); });
        });
    }
    /// Reads the prompt for `duration`, then generates one token after another. A closed connection or the
    /// end of the server's incarnation ends it.
    auto generate(Microseconds duration) -> void {
        incarnation_ = server().incarnation;
        simulation_.schedule(duration, [self = shared_from_this()] { self->finishPrefill(); });
    }

  private:
    auto server() -> SimServer& { return simulation_.server(connection_->server); }

    auto respondPlain(SimMachine& machine) -> void {
        auto request = connection_->request;
        auto attempt = connection_->attempt;
        if (!machine.edge->onResponseHead(request, attempt, 200, headers_, machine.now())) return;
        if (mode_ == "cut")
            return machine.edge->onConnectionLost(request, attempt, "the reply was cut", machine.now());
        machine.edge->onResponse(request, attempt, 200, headers_,
            bodyOf({{"reply", jsonQuote(fakeWhole(body_ + path_, weights_))}}), machine.now());
    }

    auto finishPrefill() -> void {
        auto& server = this->server();
        if (server.incarnation != incarnation_) return;
        server.prefill--;
        server.decode++;
        if (stream_)
            simulation_.scheduleAtEdge(connection_, simulation_.networkDelay(),
                [connection = connection_, headers = headers_](SimMachine& machine) {
                    machine.edge->onResponseHead(
                        connection->request, connection->attempt, 200, headers, machine.now());
                });
        scheduleStep(TOKEN_INTERVAL * slowness(mode_), resumedFrom_ + 1);
    }

    auto scheduleStep(Microseconds delay, std::int64_t event) -> void {
        simulation_.schedule(delay, [self = shared_from_this(), event] { self->step(event); });
    }

    auto step(std::int64_t event) -> void {
        auto& server = this->server();
        if (server.incarnation != incarnation_) return;
        if (!connection_->open) {
            server.decode--;
            return;
        }
        auto faulty = event > resumedFrom_ + EVENTS_BEFORE_FAULT;
        if (stream_ && mode_ == "cut" && faulty) {
            sendConnectionLost();
            server.decode--;
        } else if (mode_ == "stall" && faulty) {
            scheduleStep(STALL_POLL, event);
        } else if (event > tokens_) {
            sendEnd();
            server.decode--;
        } else {
            if (stream_) sendEvent(mode_ == "skip" && faulty ? event + 1 : event);
            scheduleStep(TOKEN_INTERVAL * slowness(mode_), event + 1);
        }
    }

    auto sendConnectionLost() -> void {
        sendInOrder([connection = connection_](SimMachine& machine) {
            machine.edge->onConnectionLost(connection->request, connection->attempt,
                "the stream closed before its completion mark", machine.now());
        });
    }

    auto sendEvent(std::int64_t id) -> void {
        auto data = bodyOf({{"text", jsonQuote(fakePiece(body_, weights_, id))}});
        auto event =
            ServerSentEvent{fmt::to_string(id), "", data, fmt::format("id: {}\ndata: {}\n\n", id, data)};
        sendInOrder([connection = connection_, event](SimMachine& machine) {
            machine.edge->onStreamEvent(connection->request, connection->attempt, event, machine.now());
        });
    }

    auto sendEnd() -> void {
        sendInOrder([self = shared_from_this()](SimMachine& machine) {
            auto request = self->connection_->request;
            auto attempt = self->connection_->attempt;
            if (self->stream_) {
                auto event = ServerSentEvent{"", "done", "{}", "event: done\ndata: {}\n\n"};
                machine.edge->onStreamEvent(request, attempt, event, machine.now());
            } else if (machine.edge->onResponseHead(request, attempt, 200, self->headers_, machine.now()))
                machine.edge->onResponse(request, attempt, 200, self->headers_,
                    bodyOf({{"reply", jsonQuote(fakeWhole(self->body_, self->weights_))}}), machine.now());
        });
    }

    /// A connection delivers in the order of sending.
    auto sendInOrder(std::function<void(SimMachine&)> action) -> void {
        lastArrival_ = std::max(lastArrival_, simulation_.now + simulation_.networkDelay());
        simulation_.scheduleAtEdge(connection_, lastArrival_ - simulation_.now, std::move(action));
    }

    Simulation& simulation_;
    SimConnection* connection_;
    std::int64_t resumedFrom_, tokens_;
    bool stream_;
    std::string body_, path_, mode_, weights_;
    Headers headers_;
    std::int64_t incarnation_ = 0;
    Microseconds lastArrival_ = 0;
};

// The load that the whole fleet may put on a cold server: its slow start, and one request for each edge whose
// knowledge is a little old.
auto coldServerCapacity(const SimServer& server, Microseconds age) -> double {
    constexpr auto INITIAL_CAPACITY = 2;
    constexpr auto EDGES = 3;
    return INITIAL_CAPACITY + double(server.slots - INITIAL_CAPACITY) * double(age) / double(SLOW_START)
        + EDGES;
}

}  // namespace

auto Simulation::scheduleAtEdge(
    SimConnection* connection, Microseconds delay, std::function<void(SimMachine&)> action) -> void {
    scheduleOnMachine(connection->machine, connection->machineIncarnation, delay,
        [this, connection, action = std::move(action)] {
            if (connection->open) action(machine(connection->machine));
        });
}

auto Simulation::resetConnection(SimConnection* connection) -> void {
    scheduleAtEdge(connection, networkDelay(), [connection](SimMachine& machine) {
        machine.edge->onConnectionLost(connection->request, connection->attempt, "reset", machine.now());
    });
}

auto Simulation::executeRequest(SimConnection* connection, int attemptIndex, const Request& request) -> void {
    auto resumedFrom = std::max<std::int64_t>(0, request.relayed.lastEventId);
    auto body = request.received.body;
    auto path = request.received.path;
    auto name = request.received.name;
    schedule(networkDelay(), [this, connection, attemptIndex, resumedFrom, body, path, name] {
        auto& server = this->server(connection->server);
        if (!server.up || server.incarnation != connection->serverIncarnation)
            return resetConnection(connection);
        if (server.unresponsive) return;
        auto& kind = kindOf(attempt(attemptIndex));
        if (server.mode == "deny" || (!kind.plain && server.prefill + server.decode >= server.slots)) {
            scheduleAtEdge(connection, networkDelay(), [connection](SimMachine& machine) {
                machine.edge->onResponse(connection->request, connection->attempt, 503,
                    {{"X-Not-Executed", "true"}, {"Retry-After", "1"}}, "{}", machine.now());
            });
            return;
        }
        executions.push_back({attemptIndex, connection->server, resumedFrom, now});
        attempt(attemptIndex).executions.push_back(int(executions.size()) - 1);
        result.executions++;
        checkExecution(executions.back());
        auto execution = std::make_shared<ServerExecution>(*this, connection, kind, resumedFrom, body, path);
        execution->start(name);
        if (kind.plain) return execution->answerPlain();
        auto uncached = server.cache.read(body);
        result.prompts++;
        result.cacheHits += uncached < std::int64_t(body.size() / 4);
        result.tokensRead += uncached;
        if (attempt(attemptIndex).executions.size() > 1) result.tokensReadAgain += uncached;
        auto age = now - server.startedAt;
        auto cold = server.cold && age < SLOW_START;
        server.prefill++;
        if (cold && server.prefill + server.decode > coldServerCapacity(server, age))
            reportViolation("a cold server is eased in",
                fmt::format("{} has {} at once {} us after its return", server.name,
                    server.prefill + server.decode, age));
        execution->generate(std::max<Microseconds>(
            MILLISECOND, uncached * PREFILL_PER_TOKEN * slowness(server.mode) * (cold ? 2 : 1)));
    });
}

auto Simulation::stopServer(int index, bool silent) -> void {
    auto& stopped = server(index);
    stopped.up = false;
    stopped.incarnation++;
    stopped.prefill = stopped.decode = 0;
    stopped.cache.clear();
    stopped.mode.clear();
    if (silent) return;
    for (auto& connection : connections) {
        if (connection->server != index || !connection->open) continue;
        auto& client = machine(connection->machine);
        if (client.up && client.incarnation == connection->machineIncarnation)
            resetConnection(connection.get());
    }
}

auto Simulation::restartServer(SimServer& server) -> bool {
    if (server.up) return false;
    server.up = server.cold = true;
    server.incarnation++;
    server.startedAt = now;
    return true;
}

auto Simulation::restartServerAsUp(SimServer& server) -> void {
    if (!restartServer(server)) return;
    server.leavingSent = 0;
    server.leaving = false;
    trace(server.name + " returns cold");
}

}  // namespace duneturn
