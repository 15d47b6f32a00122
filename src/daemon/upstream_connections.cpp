#include "daemon/upstream_connections.hpp"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/json.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "daemon/server_probe.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

}  // namespace

UpstreamConnections::UpstreamConnections(
    Logic& logic, WorkerPool& workers, ClientResponses& responses, Options options)
    : logic_(logic), workers_(workers), responses_(responses), options_(options), kept_([](auto& stream) {
          return isSocketQuiet(stream->socket().native_handle());
      }) {}

auto UpstreamConnections::poolKey(const std::string& server, const std::string& address) -> std::string {
    return server + " " + address;
}

auto UpstreamConnections::begin(const AttemptKey& key, const std::string& server, const std::string& address)
    -> void {
    auto attempt = std::make_shared<Attempt>();
    attempt->key = key;
    attempt->server = server;
    attempt->address = address;
    auto request = logic_.edge->find(key.request);
    if (options_.reuse && request && logic_.edge->mayReuseConnection(*request)) {
        if (auto stream = kept_.take(poolKey(server, address), bootNow())) {
            attempt->stream = *stream;
            attempt->executor = attempt->stream->get_executor();
            attempt->kept = true;
            logic_.counters.add("connections_reused_total");
        }
    }
    if (!attempt->kept) {
        attempt->executor = workers_.connectionExecutor();
        attempt->stream = std::make_shared<Stream>(attempt->executor);
    }
    attempts_[key] = attempt;
    // Not begun here: Logic::mutex is held, and a strand may run at once what it is given.
    asio::post(attempt->executor,
        [this, attempt] { asio::co_spawn(attempt->executor, run(attempt), asio::detached); });
}

auto UpstreamConnections::drop(const AttemptKey& key) -> void {
    auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    auto attempt = found->second;
    attempts_.erase(found);
    attempt->dropped = true;
    asio::post(attempt->executor, [attempt] {
        auto ignored = beast::error_code();
        attempt->stream->socket().close(ignored);
    });
}

auto UpstreamConnections::probe(const std::string& server, const std::string& address) -> void {
    asio::co_spawn(workers_.context(), probeServer(logic_, server, address), asio::detached);
}

auto UpstreamConnections::configure(const rapidjson::Value& config) -> void {
    maxConnections_.clear();
    auto services = jsonMember(config, "pools");
    if (!services || !services->IsObject()) return;
    for (auto& service : services->GetObject())
        if (service.value.IsObject())
            maxConnections_[service.name.GetString()] = jsonInteger(service.value, "maxConns");
}

auto UpstreamConnections::sweep(std::size_t aliveNodes, Microseconds now) -> void {
    aliveNodes_ = aliveNodes;
    kept_.expire(now);
    checkServers();
}

// Most attempts are over before their second sweep, or have all of their request acknowledged by then.
auto UpstreamConnections::checkServers() -> void {
    for (auto& [key, attempt] : attempts_) {
        auto isNew = attempt->isFirstSweep;
        attempt->isFirstSweep = false;
        if (isNew || !attempt->isServerChecked) continue;
        asio::post(attempt->executor, [attempt = attempt] {
            if (attempt->request) attempt->isServerChecked = attempt->request->checkServer(bootNow());
        });
    }
}

auto UpstreamConnections::mostKept(const std::string& server) const -> std::size_t {
    auto known = logic_.node->servers().find(server);
    if (known == logic_.node->servers().end()) return KEPT_PER_SERVER;
    auto most = maxConnections_.find(known->second.listing.serviceName);
    return most == maxConnections_.end() ? KEPT_PER_SERVER : idleShare(most->second, aliveNodes_);
}

auto UpstreamConnections::keep(const Attempt& attempt, Microseconds life) -> void {
    if (!options_.reuse || attempt.dropped || logic_.stop.at) return;
    kept_.put(
        poolKey(attempt.server, attempt.address), attempt.stream, life, bootNow(), mostKept(attempt.server));
}

auto UpstreamConnections::run(std::shared_ptr<Attempt> attempt) -> asio::awaitable<void> {
    auto connected = co_await connect(*attempt);
    auto request = connected ? requestOf(*attempt) : std::nullopt;
    if (request) co_await sendRequest(*attempt, std::move(*request));
    auto lock = std::lock_guard(logic_.mutex);
    attempts_.erase(attempt->key);
}

// A connection on which nothing has come before the first byte is written; false if there is none.
auto UpstreamConnections::connect(Attempt& attempt) -> asio::awaitable<bool> {
    if (attempt.kept && isSocketQuiet(attempt.stream->socket().native_handle())) co_return true;
    if (attempt.kept && !renewKept(attempt)) co_return false;
    auto stream = attempt.stream;
    stream->expires_after(std::chrono::microseconds(SERVER_CONNECT_TIMEOUT));
    auto [failed] = co_await stream->async_connect(endpoint(attempt.address), quiet);
    stream->expires_never();  // the edge watches the time from here on
    if (!failed && isSocketQuiet(stream->socket().native_handle())) {
        configureSocket(stream->socket().native_handle(), SERVER_UNACKNOWLEDGED_LIMIT);
        co_return true;
    }
    auto lock = std::lock_guard(logic_.mutex);
    logic_.edge->onConnectionRefused(attempt.key.request, attempt.key.attempt, bootNow());
    co_return false;
}

// A kept connection that ended, or brought bytes that nobody asked for, since it was taken: a new one takes
// its place, unless the attempt was dropped.
auto UpstreamConnections::renewKept(Attempt& attempt) -> bool {
    auto lock = std::lock_guard(logic_.mutex);
    if (attempt.dropped) return false;
    attempt.kept = false;
    attempt.stream = std::make_shared<Stream>(attempt.executor);
    return true;
}

// The request, if it may still be sent. From here on it counts as sent.
auto UpstreamConnections::requestOf(const Attempt& attempt) -> std::optional<ServerRequest> {
    auto lock = std::lock_guard(logic_.mutex);
    auto& edge = *logic_.edge;
    auto& [number, ordinal] = attempt.key;
    auto request = edge.find(number);
    if (attempt.dropped || !request) return std::nullopt;
    if (!edge.confirmSend(number, ordinal, bootNow(), attempt.kept)) return std::nullopt;
    auto written = ServerRequest();
    written.body = request->received.body;
    auto headers = edge.requestHeaders(*request, bootNow());
    written.head = requestHead(request->received.method, request->received.path, headers, written.body.size(),
        attempt.address, options_.reuse);
    written.answer.answersHead = request->received.method == "HEAD";
    written.answer.mayEndByClose = options_.answersMayEndByClose;
    written.answer.notExecuted = edge.dialect().notExecuted;
    return written;
}

/// Reports the progress of an attempt to the edge.
class UpstreamConnections::Observer : public UpstreamRequestObserver {
  public:
    Observer(UpstreamConnections& owner, Attempt& attempt) : owner_(owner), attempt_(attempt) {}

    auto onRequestWritten() -> void override {
        auto lock = std::lock_guard(owner_.logic_.mutex);
        owner_.logic_.edge->onRequestWritten(attempt_.key.request, attempt_.key.attempt);
    }
    auto onAnswerRead(AnswerReader& answer) -> Delivery override {
        auto lock = std::lock_guard(owner_.logic_.mutex);
        return deliver(answer, *owner_.logic_.edge, attempt_.key.request, attempt_.key.attempt, bootNow());
    }
    auto awaitStreamRoom() -> asio::awaitable<bool> override { return owner_.waitForClient(attempt_); }

  private:
    UpstreamConnections& owner_;
    Attempt& attempt_;
};

auto UpstreamConnections::sendRequest(Attempt& attempt, ServerRequest request) -> asio::awaitable<void> {
    auto observer = Observer(*this, attempt);
    attempt.request = std::make_shared<UpstreamRequest>(
        attempt.stream, std::move(request), observer, SERVER_UNACKNOWLEDGED_LIMIT);
    auto life = co_await attempt.request->run();
    attempt.request.reset();
    auto lock = std::lock_guard(logic_.mutex);
    if (life > 0) keep(attempt, life);
}

// A client that reads slowly holds its server back, not this process's memory full. False once it has gone.
auto UpstreamConnections::waitForClient(Attempt& attempt) -> asio::awaitable<bool> {
    auto& [number, ordinal] = attempt.key;
    while (true) {
        auto response = std::shared_ptr<ClientResponse>();
        {
            auto lock = std::lock_guard(logic_.mutex);
            if (!logic_.edge->find(number) || attempt.dropped) co_return false;
            response = responses_.of(number);
        }
        {
            auto lock = std::lock_guard(response->mutex);
            if (response->heldBytes < HELD_RESPONSE_BYTES) co_return true;
        }
        {
            auto lock = std::lock_guard(logic_.mutex);
            logic_.edge->onClientSlow(number, ordinal, bootNow());
        }
        auto timer = asio::steady_timer(attempt.executor, std::chrono::microseconds(HELD_RESPONSE_RETRY));
        co_await timer.async_wait(quiet);
    }
}

}  // namespace duneturn
