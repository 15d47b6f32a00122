#pragma once
// One client's request on its way through the edge: it enters the logic here, and its response leaves here.
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "daemon/client_response.hpp"
#include "daemon/disconnect_watch.hpp"
#include "daemon/logic.hpp"
#include "daemon/worker_pool.hpp"
#include "net/http.hpp"

namespace duneturn {

/// The parts of the process that requests need.
struct RequestServices {
    Logic& logic;
    WorkerPool& workers;
    ClientResponses& responses;
};

class ClientRequest {
  public:
    /// `stream`, `buffer` and `request` must outlive run(). `idleLimit`: how long the connection may then be
    /// idle, which the response says; 0: it says nothing.
    ClientRequest(RequestServices services, beast::tcp_stream& stream, beast::flat_buffer& buffer,
        const HttpRequest& request, Microseconds idleLimit);
    ~ClientRequest() { watch_->stop(); }
    ClientRequest(const ClientRequest&) = delete;
    auto operator=(const ClientRequest&) -> ClientRequest& = delete;

    /// Has the request served. `arrived`: when its first byte was read. Whether the connection may carry
    /// another.
    auto run(Microseconds arrived) -> asio::awaitable<bool>;
    /// Whether a whole response ended a connection that the client wanted to keep; after run().
    [[nodiscard]] auto closesKeptConnection() const -> bool { return closesKeptConnection_; }

  private:
    /// What of the response can be written now.
    struct Progress {
        bool headReady = false;
        bool streamed = false;
        ClientResponse::End end = ClientResponse::End::Open;
        int status = 0;
        Headers headers;  // only as long as the head is not written
        std::deque<std::string> parts;
    };
    enum class Next {
        Wait,   ///< For more of the response.
        Reuse,  ///< The response is whole, and the connection may carry another request.
        Close
    };

    auto submit(Microseconds arrived, const asio::any_io_executor& executor) -> void;
    auto requestHeaders() const -> Headers;
    auto clientGone() -> void;
    auto finish() -> void;

    auto staysOpen(const Progress& progress) const -> bool;
    auto takeProgress() -> Progress;
    auto hasProgress() -> bool;
    auto writeProgress() -> asio::awaitable<Next>;
    auto writeWhole(const Progress& progress) -> asio::awaitable<Next>;
    auto writeStreamed(const Progress& progress) -> asio::awaitable<Next>;
    auto responseHead(const Progress& progress) const -> std::string;
    auto streamText(const Progress& progress) const -> std::string;
    auto afterEnd(const Progress& progress) -> Next;
    auto afterWholeResponse() -> Next;

    RequestServices services_;
    beast::tcp_stream& stream_;
    const beast::flat_buffer& buffer_;  // of the connection: what the client has sent beyond this request
    const HttpRequest& request_;
    const Microseconds idleLimit_;
    const bool isHead_;    // the response has no body
    const bool isHttp10_;  // no chunks: a stream ends with its connection
    bool keepAlive_;       // the connection stays open after the response
    bool headWritten_ = false;
    bool closesKeptConnection_ = false;
    std::int64_t number_ = 0;  // the edge's, of this request
    std::shared_ptr<ClientResponse> response_;
    std::shared_ptr<asio::steady_timer> changed_;  // cancelled when the response has changed
    std::shared_ptr<DisconnectWatch> watch_;
};

}  // namespace duneturn
