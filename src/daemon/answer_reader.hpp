#pragma once
// Reads one server's answer from the bytes of its connection. It does no I/O: the daemon feeds it
// from a socket, tests feed it byte by byte.
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "net/event_stream.hpp"
#include "net/http.hpp"
#include "routing/attempt_state.hpp"
#include "routing/edge.hpp"

namespace duneturn {

/// How a server's connection came to its end.
enum class ConnectionEnd { Closed, Reset };

/// What differs between deployments and between requests.
struct AnswerOptions {
    bool answersHead = false;    ///< The request is a HEAD; its answer has no body.
    bool mayEndByClose = false;  ///< An answer without a length ends with its connection.
    std::string notExecuted;     ///< The header by which a server says that it did not execute it.
    std::size_t headerLimit = 64 * 1024;
    std::size_t bodyLimit = 16u << 20;  ///< Of an answer that is no stream.
};

/// The head of the final answer.
struct AnswerHead {
    int status = 0;
    Headers headers;
};
/// The end of an answer whose every byte arrived. A stream's body was given as events.
struct AnswerEnd {
    int status = 0;
    Headers headers;
    std::string body;
    bool streamed = false;
};
/// The answer cannot become whole. Nothing follows.
struct AnswerFailure {
    AttemptEvent event = AttemptEvent::MalformedResponse;
    std::string why;
};
/// One part of an answer, in the order in which the server sent it.
using AnswerPart = std::variant<AnswerHead, ServerSentEvent, AnswerEnd, AnswerFailure>;

/// A parser of one answer.
class AnswerReader {
  public:
    explicit AnswerReader(AnswerOptions options);
    /// Room for bytes that are about to be read; received() takes how many came.
    auto prepare(std::size_t most) -> asio::mutable_buffer { return buffer_.prepare(most); }
    auto received(std::size_t count) -> void;
    /// Takes bytes as they come.
    auto feed(std::string_view bytes) -> void;
    /// Takes the connection's end. An answer with no length is whole only if it was closed in order.
    auto end(ConnectionEnd how) -> void;
    /// The parts that are complete and were not taken yet.
    auto take() -> std::vector<AnswerPart>;
    /// Whether the connection's end is the answer's end; known after its head.
    auto endsWithConnection() const -> bool { return headKnown_ && parser_->need_eof(); }
    /// Nothing more will come: the answer is whole or has failed.
    auto over() const -> bool { return over_; }
    /// Whether the answer is passed on as a stream of events; known after its head.
    auto streamed() const -> bool { return streamed_; }
    /// How long the connection may be kept for a further request; 0: not at all.
    auto keepFor() const -> Microseconds;

  private:
    using Parser = http::response_parser<http::string_body>;
    auto renew() -> void;
    auto parse() -> void;
    auto headDone() -> void;
    auto collectEvents() -> void;
    auto finish() -> void;
    auto fail(AttemptEvent event, std::string why) -> void;

    AnswerOptions options_;
    std::unique_ptr<Parser> parser_;
    beast::flat_buffer buffer_;
    EventStreamSplitter events_;
    std::vector<AnswerPart> parts_;
    int status_ = 0;
    Headers headers_;
    bool headKnown_ = false, streamed_ = false, over_ = false, whole_ = false;
    bool surplus_ = false;  // bytes followed the whole answer, or its connection ended
};

/// What became of an attempt whose answer is being read.
enum class Delivery {
    Reading,  ///< More is to come.
    Whole,    ///< The answer was read whole.
    Over,     ///< The answer failed, or the edge does not want the rest of it.
};
/// Reports to the edge what was read of attempt `attempt` of request `request`.
auto deliver(AnswerReader& reader, Edge& edge, std::int64_t request, int attempt, Microseconds now)
    -> Delivery;

}  // namespace duneturn
