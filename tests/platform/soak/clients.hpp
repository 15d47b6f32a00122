#pragma once
// The soak's clients: each keeps using its connection until that is gone, whatever its node does meanwhile.
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "base/time.hpp"
#include "net/http.hpp"
#include "platform/soak/deployment.hpp"
#include "platform/soak/model_servers.hpp"
#include "platform/soak/records.hpp"

namespace duneturn::soak {

/// What a client sends.
enum class ClientKind {
    Streams,    ///< Long and short streams.
    Plain,      ///< Short requests, one after the other.
    Pipeline,   ///< Several requests in one write.
    Upload,     ///< Requests whose bodies take seconds.
    LongPlain,  ///< Requests of any length, whose servers end in each way (long_requests.hpp).
    LongStreams
};

class Clients {
  public:
    Clients(asio::io_context& context, const Deployment& deployment, Records& records, std::uint64_t seed)
        : context_(context), deployment_(deployment), records_(records), random_{seed} {}

    /// Starts `count` clients of each kind.
    auto start(int count) -> void;
    /// They begin no further request.
    auto stop() -> void { stopping_ = true; }
    /// Clients with a request under way, or between two.
    [[nodiscard]] auto running() const -> int { return running_; }

  private:
    struct Call {
        std::string name, path;
        std::size_t bodyBytes = 0;
    };
    /// One connection and what came on it.
    struct Connection {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::size_t node = 0;
        bool usable = true;
    };

    auto run(ClientKind kind) -> asio::awaitable<void>;
    auto use(Connection& connection, ClientKind kind) -> asio::awaitable<void>;
    auto drawCalls(ClientKind kind) -> std::vector<Call>;
    auto drawPath(ClientKind kind) -> std::string;
    auto send(Connection& connection, ClientKind kind, const std::vector<Call>& calls)
        -> asio::awaitable<bool>;
    auto sendSlowly(Connection& connection, const Call& call) -> asio::awaitable<bool>;
    auto receive(Connection& connection, ClientKind kind, const Call& call) -> asio::awaitable<void>;
    auto abandon(Connection& connection, ClientKind kind, const Call& call, RequestEnd end) -> void;
    auto pause(Microseconds time) -> asio::awaitable<void>;

    asio::io_context& context_;
    const Deployment& deployment_;
    Records& records_;
    RandomSource random_;
    std::int64_t lastNumber_ = 0;
    int running_ = 0;
    bool stopping_ = false;
};

}  // namespace duneturn::soak
