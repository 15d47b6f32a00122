#pragma once
// One request and its answer on one connection to a server. Both are under way at the same time, since a
// server may answer before it has read a long request, and read on later.
#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "daemon/answer_reader.hpp"
#include "net/acknowledgement_watch.hpp"
#include "net/http.hpp"

namespace duneturn {

/// A request as it is written, and how its answer is read.
struct ServerRequest {
    std::string head, body;
    AnswerOptions answer;
};

/// Is informed of a request's progress. Called on the connection's executor.
class UpstreamRequestObserver {
  public:
    virtual ~UpstreamRequestObserver() = default;
    virtual auto onRequestWritten() -> void = 0;
    /// Takes the parts of the answer that are complete.
    virtual auto onAnswerRead(AnswerReader& answer) -> Delivery = 0;
    /// Waits until more of a stream may be read; false if nobody wants it any more.
    virtual auto awaitStreamRoom() -> asio::awaitable<bool> = 0;
};

/// Used on the connection's executor only. Owns neither the observer, which must outlive run(), nor the
/// connection alone.
class UpstreamRequest : public std::enable_shared_from_this<UpstreamRequest> {
  public:
    using Stream = beast::tcp_stream;

    /// `stream` is connected. `unacknowledgedLimit`: for how long the server's machine may leave bytes
    /// unacknowledged; the connection has the same limit (configureSocket).
    UpstreamRequest(std::shared_ptr<Stream> stream, ServerRequest request, UpstreamRequestObserver& observer,
        Microseconds unacknowledgedLimit);

    /// Writes the request and reads the answer. How long the connection may be kept for another request; 0:
    /// not at all.
    auto run() -> asio::awaitable<Microseconds>;
    /// Closes the connection if the server's machine is lost; to be called several times within the limit.
    /// False once there is nothing to check any more.
    [[nodiscard]] auto checkServer(Microseconds now) -> bool;

  private:
    enum class Writing { UnderWay, Finished, Failed };

    auto unwritten() const -> std::array<asio::const_buffer, 2>;
    auto writeSome() -> void;
    auto writeRest() -> asio::awaitable<void>;
    auto finishWriting() -> void;
    auto awaitTaken(std::optional<Microseconds> until) -> asio::awaitable<bool>;
    auto isTaken() const -> bool;
    auto mayStillBeTaken() const -> bool;
    auto readAnswer() -> asio::awaitable<Delivery>;
    auto endOf(beast::error_code failed) -> asio::awaitable<ConnectionEnd>;
    auto restoreLimit() -> void;
    auto close() -> void;

    std::shared_ptr<Stream> stream_;
    ServerRequest request_;
    UpstreamRequestObserver& observer_;
    const Microseconds unacknowledgedLimit_;
    AnswerReader answer_;
    AcknowledgementWatch acknowledgements_;
    std::size_t written_ = 0;  // bytes of the head and the body
    Writing writing_ = Writing::UnderWay;
    bool limitLifted_ = false;  // the connection's own limit is off, and checkServer() stands in for it
};

}  // namespace duneturn
