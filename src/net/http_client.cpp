#include "net/http_client.hpp"

#include <chrono>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/time.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

constexpr auto ANSWER_LIMIT_BYTES = std::uint64_t(64) << 20;
constexpr Microseconds UNACKNOWLEDGED_LIMIT = 2 * SECOND;
constexpr unsigned HTTP_1_1 = 11;

}  // namespace

auto fetch(std::string address, std::string method, std::string path, std::string body, Headers headers,
    Microseconds limit) -> asio::awaitable<tl::expected<HttpResponse, CallError>> {
    if (auto parsed = parseAddress(address); !parsed)
        co_return tl::make_unexpected(CallError{address + ": " + parsed.error()});
    try {
        auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
        stream.expires_after(std::chrono::microseconds(limit));
        co_await stream.async_connect(endpoint(address), asio::use_awaitable);
        configureSocket(stream.socket().native_handle(), UNACKNOWLEDGED_LIMIT);
        auto request = HttpRequest(http::string_to_verb(method), path, HTTP_1_1);
        request.set(http::field::host, address);
        for (auto& [name, value] : headers) request.set(name, value);
        if (!body.empty()) request.set(http::field::content_type, "application/json");
        request.keep_alive(false);
        request.body() = std::move(body);
        request.prepare_payload();
        co_await http::async_write(stream, request, asio::use_awaitable);
        auto buffer = beast::flat_buffer();
        auto parser = http::response_parser<http::string_body>();
        parser.body_limit(ANSWER_LIMIT_BYTES);
        co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
        co_return parser.release();
    } catch (const std::exception& error) {
        co_return tl::make_unexpected(CallError{fmt::format("{}: {}", address, error.what())});
    }
}

auto fetchBlocking(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, const Headers& headers, Microseconds limit)
    -> tl::expected<HttpResponse, CallError> {
    auto context = asio::io_context();
    auto result =
        tl::expected<HttpResponse, CallError>(tl::make_unexpected(CallError{"no reply from " + address}));
    auto run = [&]() -> asio::awaitable<void> {
        result = co_await fetch(address, method, path, body, headers, limit);
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    return result;
}

}  // namespace duneturn
