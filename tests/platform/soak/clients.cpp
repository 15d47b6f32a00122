#include "platform/soak/clients.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "net/socket.hpp"
#include "platform/soak/long_requests.hpp"

namespace duneturn::soak {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
/// Both the clients' deadline and the routes' timeout.
constexpr Microseconds TIME_LIMIT = 20 * SECOND;
constexpr Microseconds CONNECT_TIMEOUT = SECOND;
/// Until a client that was told nothing gives up.
constexpr Microseconds READ_TIMEOUT = TIME_LIMIT + 2 * SECOND;
constexpr Microseconds SHORTEST_PAUSE = 20 * MILLISECOND;
constexpr Microseconds LONGEST_PAUSE = 300 * MILLISECOND;
constexpr Microseconds UPLOAD_PAUSE = 50 * MILLISECOND;
constexpr std::size_t UPLOAD_PIECE_BYTES = 4 * 1024;
constexpr int LEAST_UPLOAD_PIECES = 5;
constexpr int MOST_UPLOAD_PIECES = 120;
/// So long that all requests of a pipeline have been read before the first is answered.
constexpr Microseconds PIPELINE_WORK = 300 * MILLISECOND;
constexpr int MOST_PIPELINED = 3;
constexpr Microseconds LONGEST_PLAIN_WORK = 600 * MILLISECOND;
constexpr Microseconds SHORTEST_EVENT_PAUSE = 20 * MILLISECOND;
constexpr Microseconds LONGEST_EVENT_PAUSE = 400 * MILLISECOND;
constexpr int MOST_EVENTS = 30;

auto kindName(ClientKind kind) -> std::string {
    switch (kind) {
    case ClientKind::Streams: return "streams";
    case ClientKind::Plain: return "plain";
    case ClientKind::Pipeline: return "pipeline";
    case ClientKind::Upload: return "upload";
    case ClientKind::LongPlain: return "long plain";
    case ClientKind::LongStreams: return "long streams";
    }
    return "";
}

auto isLong(ClientKind kind) -> bool {
    return kind == ClientKind::LongPlain || kind == ClientKind::LongStreams;
}

auto requestText(const std::string& name, const std::string& path, std::size_t bodyBytes) -> std::string {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {}\r\nX-Model: m\r\n"
        "X-Token-Counts: 300,90\r\nX-Prompt-Prefix: 5c1e07a2:92,91bd3f06:208\r\nX-Deadline-Ms: {}\r\n"
        "Content-Length: {}\r\n\r\n",
        path, name, TIME_LIMIT / MILLISECOND, bodyBytes);
}

auto between(RandomSource& random, Microseconds least, Microseconds most) -> Microseconds {
    return least + Microseconds(random.below(std::uint64_t(most - least + 1)));
}

}  // namespace

auto Clients::start(int count) -> void {
    for (auto kind : {ClientKind::Streams, ClientKind::Plain, ClientKind::Pipeline, ClientKind::Upload,
             ClientKind::LongPlain, ClientKind::LongStreams})
        for (auto i = 0; i < count; i++) asio::co_spawn(context_, run(kind), asio::detached);
}

auto Clients::run(ClientKind kind) -> asio::awaitable<void> {
    running_++;
    while (!stopping_) {
        auto node = std::size_t(random_.below(deployment_.nodes().size()));
        auto connection = Connection{beast::tcp_stream(context_), {}, node};
        connection.stream.expires_after(std::chrono::microseconds(CONNECT_TIMEOUT));
        auto [failed] =
            co_await connection.stream.async_connect(endpoint(deployment_.clientAddress(node)), quiet);
        auto ignored = beast::error_code();
        if (!failed) connection.stream.socket().set_option(tcp::no_delay(true), ignored);
        while (!failed && connection.usable && !stopping_) co_await use(connection, kind);
        co_await pause(between(random_, SHORTEST_PAUSE, LONGEST_PAUSE));
    }
    running_--;
}

// One request, or one pipeline of them.
auto Clients::use(Connection& connection, ClientKind kind) -> asio::awaitable<void> {
    auto calls = drawCalls(kind);
    for (auto& call : calls) records_.begin(call.name, TIME_LIMIT).path = call.path;
    connection.stream.expires_after(std::chrono::microseconds(READ_TIMEOUT));
    auto sent = co_await send(connection, kind, calls);
    for (auto& call : calls) {
        if (!sent) abandon(connection, kind, call, RequestEnd::Unsent);
        else if (!connection.usable) abandon(connection, kind, call, RequestEnd::Cut);
        else co_await receive(connection, kind, call);
    }
    if (connection.usable) co_await pause(between(random_, SHORTEST_PAUSE, LONGEST_PAUSE));
}

auto Clients::drawCalls(ClientKind kind) -> std::vector<Call> {
    auto count = kind == ClientKind::Pipeline ? 2 + int(random_.below(MOST_PIPELINED - 1)) : 1;
    auto calls = std::vector<Call>();
    for (auto i = 0; i < count; i++)
        calls.push_back(
            {fmt::format("{:016x}", 0x9c41d07b00000000 + std::uint64_t(++lastNumber_)), drawPath(kind)});
    if (isLong(kind)) calls.front().bodyBytes = drawRequestBytes(random_);
    return calls;
}

auto Clients::drawPath(ClientKind kind) -> std::string {
    if (isLong(kind)) return longPath(drawLongWork(random_, kind == ClientKind::LongStreams));
    if (kind == ClientKind::Pipeline) return plainPath(PIPELINE_WORK);
    if (kind != ClientKind::Streams) return plainPath(between(random_, SHORTEST_PAUSE, LONGEST_PLAIN_WORK));
    auto events = 1 + int(random_.below(MOST_EVENTS));
    return streamPath(events, between(random_, SHORTEST_EVENT_PAUSE, LONGEST_EVENT_PAUSE));
}

// False if the connection ended meanwhile.
auto Clients::send(Connection& connection, ClientKind kind, const std::vector<Call>& calls)
    -> asio::awaitable<bool> {
    if (kind == ClientKind::Upload) co_return co_await sendSlowly(connection, calls.front());
    auto text = std::string();
    for (auto& call : calls)
        text += requestText(call.name, call.path, call.bodyBytes) + std::string(call.bodyBytes, 'x');
    auto [failed, count] = co_await asio::async_write(connection.stream, asio::buffer(text), quiet);
    for (auto& call : calls) records_.find(call.name)->sentAt = bootNow();
    co_return !failed;
}

auto Clients::sendSlowly(Connection& connection, const Call& call) -> asio::awaitable<bool> {
    auto pieces = LEAST_UPLOAD_PIECES + int(random_.below(MOST_UPLOAD_PIECES - LEAST_UPLOAD_PIECES));
    auto piece = std::string(UPLOAD_PIECE_BYTES, 'x');
    auto head = requestText(call.name, call.path, UPLOAD_PIECE_BYTES * std::size_t(pieces));
    auto [headFailed, headCount] = co_await asio::async_write(connection.stream, asio::buffer(head), quiet);
    if (headFailed) co_return false;
    for (auto i = 0; i < pieces; i++) {
        co_await pause(UPLOAD_PAUSE);
        auto [failed, count] = co_await asio::async_write(connection.stream, asio::buffer(piece), quiet);
        if (failed) co_return false;
    }
    records_.find(call.name)->sentAt = bootNow();
    co_return true;
}

auto Clients::receive(Connection& connection, ClientKind kind, const Call& call) -> asio::awaitable<void> {
    auto parser = http::response_parser<http::string_body>();
    auto [failed, count] = co_await http::async_read(connection.stream, connection.buffer, parser, quiet);
    auto& response = parser.get();
    auto& record = *records_.find(call.name);
    record.receivedBytes = response.body().size();
    if (failed) {
        connection.usable = false;
        co_return abandon(connection, kind, call, RequestEnd::Cut);
    }
    record.end = RequestEnd::Answered;
    record.endedAt = bootNow();
    record.status = response.result_int();
    auto longWork = readLongWork(call.path);
    auto expected =
        longWork ? longAnswerBody(call.name, longWork->isStream) : answerBody(call.name, readWork(call.path));
    record.wholeBody = response.body() == expected;
    records_.finish(call.name, kindName(kind), connection.node);
    connection.usable = response.keep_alive();
}

auto Clients::abandon(Connection& connection, ClientKind kind, const Call& call, RequestEnd end) -> void {
    auto& record = *records_.find(call.name);
    record.end = end;
    record.endedAt = bootNow();
    connection.usable = false;
    records_.finish(call.name, kindName(kind), connection.node);
}

auto Clients::pause(Microseconds time) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context_, std::chrono::microseconds(time));
    co_await timer.async_wait(quiet);
}

}  // namespace duneturn::soak
