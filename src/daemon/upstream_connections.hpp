#pragma once
// The connections to servers: each attempt of a request runs on one, and one that an attempt left clean is
// kept for another request that may be repeated.
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include "base/json.hpp"
#include "base/time.hpp"
#include "daemon/client_response.hpp"
#include "daemon/logic.hpp"
#include "daemon/worker_pool.hpp"
#include "daemon/upstream_request.hpp"
#include "net/connection_pool.hpp"
#include "net/http.hpp"

namespace duneturn {

/// The edge's name of one attempt: EdgePort::startAttempt.
struct AttemptKey {
    std::int64_t request = 0;
    int attempt = 0;
    auto operator<(const AttemptKey& other) const -> bool {
        return std::tie(request, attempt) < std::tie(other.request, other.attempt);
    }
};

/// Public members are called with Logic::mutex held.
class UpstreamConnections {
  public:
    struct Options {
        bool reuse = false;                 ///< Connections may carry several requests.
        bool answersMayEndByClose = false;  ///< See AnswerOptions::mayEndByClose.
    };

    UpstreamConnections(Logic& logic, WorkerPool& workers, ClientResponses& responses, Options options);

    /// Begins an attempt of a request at a server. Its progress is reported to the edge.
    auto begin(const AttemptKey& key, const std::string& server, const std::string& address) -> void;
    /// Closes an attempt's connection for good.
    auto drop(const AttemptKey& key) -> void;
    /// Asks a server for its load; Node::probeFinished gets the answer.
    auto probe(const std::string& server, const std::string& address) -> void;

    /// Reads what a new configuration says of the servers' connections.
    auto configure(const rapidjson::Value& config) -> void;
    /// Closes kept connections whose time is over, and those to servers that are lost with a part of a
    /// request under way. `aliveNodes` share what a server accepts. To be called each SWEEP_PERIOD.
    auto sweep(std::size_t aliveNodes, Microseconds now) -> void;
    /// Closes all kept connections.
    auto closeKept() -> void { kept_.clear(); }

  private:
    using Stream = beast::tcp_stream;

    /// One attempt under way.
    struct Attempt {
        AttemptKey key;
        std::string server, address;
        asio::any_io_executor executor;
        std::shared_ptr<Stream> stream;
        bool kept = false;  // its connection has carried another request before
        std::atomic<bool> dropped = false;
        std::shared_ptr<UpstreamRequest> request;  // used on `executor` only
        bool isFirstSweep = true;                  // guarded by Logic::mutex
        std::atomic<bool> isServerChecked = true;  // the request may still find that the server is lost
    };
    class Observer;

    // The steps of an attempt, each without Logic::mutex held; run() owns the attempt.
    auto run(std::shared_ptr<Attempt> attempt) -> asio::awaitable<void>;
    auto connect(Attempt& attempt) -> asio::awaitable<bool>;
    auto renewKept(Attempt& attempt) -> bool;
    auto requestOf(const Attempt& attempt) -> std::optional<ServerRequest>;
    auto sendRequest(Attempt& attempt, ServerRequest request) -> asio::awaitable<void>;
    auto waitForClient(Attempt& attempt) -> asio::awaitable<bool>;

    // With Logic::mutex held.
    auto keep(const Attempt& attempt, Microseconds life) -> void;
    auto checkServers() -> void;
    auto mostKept(const std::string& server) const -> std::size_t;
    static auto poolKey(const std::string& server, const std::string& address) -> std::string;

    Logic& logic_;
    WorkerPool& workers_;
    ClientResponses& responses_;
    const Options options_;
    // Guarded by Logic::mutex.
    std::map<AttemptKey, std::shared_ptr<Attempt>> attempts_;
    ConnectionPool<std::shared_ptr<Stream>> kept_;
    std::map<std::string, std::int64_t> maxConnections_;  // that a service's servers accept, by its name
    std::size_t aliveNodes_ = 1;
};

}  // namespace duneturn
