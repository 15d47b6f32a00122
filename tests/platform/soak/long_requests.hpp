#pragma once
// Long requests, and model servers that answer them at any moment, pause, and end in each way: what a
// request's path asks of its server, and the server's side of one such request.
#include <cstddef>
#include <optional>
#include <string>

#include "base/random.hpp"
#include "base/time.hpp"
#include "daemon/answer_bytes.hpp"
#include "net/http.hpp"
#include "platform/soak/records.hpp"

namespace duneturn::soak {

/// How a server ends its answer.
enum class ServerEnd {
    Whole,           ///< It reads the rest of the request, then sends the second half.
    WholeAtOnce,     ///< It sends the second half, then reads the rest of the request.
    WholeThenPause,  ///< It sends the second half, pauses once more, then reads the rest of the request.
    WholeThenReset,  ///< It sends the second half and resets the connection.
    Crash,           ///< It closes the connection behind the first half.
    Reset,           ///< It resets the connection behind the first half.
    LostMachine      ///< Its machine is lost behind the first half.
};

/// What a server does with a long request.
struct LongWork {
    bool isStream = false;
    Framing framing = Framing::Length;
    int readPercent = 0;     ///< Of the request, before the answer begins.
    Microseconds pause = 0;  ///< Between the halves of the answer, and before it reads on at WholeThenPause.
    ServerEnd end = ServerEnd::Whole;
};

[[nodiscard]] auto drawLongWork(RandomSource& random, bool isStream) -> LongWork;
[[nodiscard]] auto drawRequestBytes(RandomSource& random) -> std::size_t;
[[nodiscard]] auto longPath(const LongWork& work) -> std::string;
/// Empty if the path asks for something else.
[[nodiscard]] auto readLongWork(const std::string& path) -> std::optional<LongWork>;
/// The whole body of the answer to a request of that name.
[[nodiscard]] auto longAnswerBody(const std::string& name, bool isStream) -> std::string;

/// A request whose head a server has read.
struct LongRequest {
    std::string name;
    std::size_t bodyBytes = 0;
    std::string headers;  ///< Of the answer, each with its end of line.
    LongWork work;
};
/// Serves one long request; `buffer` has what was read behind its head. False if the connection has ended.
auto serveLongRequest(tcp::socket& socket, beast::flat_buffer& buffer, LongRequest request, Records& records)
    -> asio::awaitable<bool>;

}  // namespace duneturn::soak
