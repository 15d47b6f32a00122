#pragma once
// A server's answer whose body comes in two halves, in each framing.
#include <string>

#include <fmt/format.h>

namespace duneturn {

/// How an answer's length is known.
enum class Framing { Length, Chunks, None };

/// An answer's bytes, and where its body may be cut.
struct AnswerBytes {
    std::string head, firstHalf, secondHalf;
};

/// The answer with a body of two halves; those of a stream are whole events. `headers`: further ones, each
/// with its end of line.
inline auto answerBytes(Framing framing, bool isStream, const std::string& headers, const std::string& first,
    const std::string& second) -> AnswerBytes {
    auto head = fmt::format(
        "HTTP/1.1 200 OK\r\n{}Content-Type: {}\r\n", headers, isStream ? "text/event-stream" : "text/plain");
    auto chunk = [](const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); };
    switch (framing) {
    case Framing::Length:
        return {
            fmt::format("{}Content-Length: {}\r\n\r\n", head, first.size() + second.size()), first, second};
    case Framing::Chunks:
        return {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(first), chunk(second) + "0\r\n\r\n"};
    case Framing::None: break;
    }
    return {head + "\r\n", first, second};
}

}  // namespace duneturn
