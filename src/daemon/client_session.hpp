#pragma once
// One connection of a client, an operator or the platform: its requests, one after the other.
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "daemon/adapter_host.hpp"
#include "daemon/client_request.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/transport_counters.hpp"
#include "net/connection_limits.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Who speaks at a listening address.
enum class ListenerKind { Client, Operator, Adapter };

/// What all sessions share.
struct SessionContext {
    Logic& logic;
    TransportCounters& counters;
    WorkerPool& workers;
    ClientResponses& responses;
    NodeCalls& calls;
    OperatorApi& operatorApi;
    AdapterHost& adapter;
    const Settings& settings;

    std::atomic<int> sessions = 0;          ///< Open now.
    std::atomic<int> requestsUnderWay = 0;  ///< Of clients: from a request's first byte to its answer's last.
    // Guarded by Logic::mutex.
    std::set<std::shared_ptr<beast::tcp_stream>> idle = {};  ///< Connections that wait for a request.
    ConnectionLimits clientLimits = {};                      ///< Of the configuration in force.
};

/// The answer to a request that was not executed.
struct Rejection {
    http::status status = http::status::bad_request;
    std::string why;
};

/// Reads requests and has each answered: by the edge (ClientRequest), the operator API or an adapter.
class ClientSession {
  public:
    /// `address`: the listening address that the connection came to.
    ClientSession(SessionContext& context, ListenerKind kind, std::string address, tcp::socket socket);

    /// Serves the connection to its end.
    auto run() -> asio::awaitable<void>;

  private:
    using Parser = http::request_parser<http::string_body>;

    auto serveNext() -> asio::awaitable<bool>;
    auto serveRequest(const ConnectionLimits& limits, Microseconds arrived) -> asio::awaitable<bool>;
    auto forward(const HttpRequest& request, Microseconds arrived) -> asio::awaitable<bool>;
    auto waitForFirstByte(const ConnectionLimits& limits) -> asio::awaitable<bool>;
    auto readRequest(const ConnectionLimits& limits) -> asio::awaitable<std::optional<HttpRequest>>;
    auto readBody(Parser& parser) -> asio::awaitable<beast::error_code>;
    auto countBadInput(beast::error_code fault) -> void;
    auto reject(Rejection rejection) -> asio::awaitable<void>;
    auto closeGracefully() -> asio::awaitable<void>;
    auto drainInput() -> asio::awaitable<void>;
    auto isForServers(const HttpRequest& request) const -> bool;
    auto serveHere(const HttpRequest& request) -> asio::awaitable<bool>;
    auto close() -> void;

    // Each takes Logic::mutex.
    auto limits() -> ConnectionLimits;
    auto becomeIdle() -> bool;
    auto endIdle() -> void;

    SessionContext& context_;
    const ListenerKind kind_;
    const std::string address_;
    std::shared_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;  // read and not yet used
};

}  // namespace duneturn
