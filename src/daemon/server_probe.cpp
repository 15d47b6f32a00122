#include "daemon/server_probe.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "base/json.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

/// The load that a server's answer names; empty if it names none.
auto readLoad(const HttpResponse& answer) -> std::optional<wire::ServerLoad> {
    auto document = rapidjson::Document();
    if (answer.result() != http::status::ok || !parseJson(answer.body(), document) || !document.IsObject())
        return std::nullopt;
    auto load = wire::ServerLoad();
    load.prefill = std::int32_t(jsonInteger(document, "prefill"));
    load.decode = std::int32_t(jsonInteger(document, "decode"));
    load.slots = std::int32_t(jsonInteger(document, "slots"));
    load.boot = jsonInteger(document, "boot");
    load.up = jsonInteger(document, "upUs");
    load.cold = jsonBool(document, "cold");
    return load;
}

/// The answer to GET /load; throws what the connection's steps throw.
auto fetchLoad(const std::string& address) -> asio::awaitable<HttpResponse> {
    auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::microseconds(PROBE_TIMEOUT));
    co_await stream.async_connect(endpoint(address), asio::use_awaitable);
    auto request = HttpRequest(http::verb::get, "/load", 11);
    request.set(http::field::host, address);
    request.keep_alive(false);
    co_await http::async_write(stream, request, asio::use_awaitable);
    auto buffer = beast::flat_buffer(PROBE_BUFFER_BYTES);
    auto answer = HttpResponse();
    co_await http::async_read(stream, buffer, answer, asio::use_awaitable);
    co_return answer;
}

}  // namespace

auto probeServer(Logic& logic, std::string server, std::string address) -> asio::awaitable<void> {
    auto load = std::optional<wire::ServerLoad>();
    auto refused = false;
    try {
        auto answer = co_await fetchLoad(address);
        load = readLoad(answer);
    } catch (const boost::system::system_error& failure) {
        refused = failure.code() == asio::error::connection_refused;
    }
    auto lock = std::lock_guard(logic.mutex);
    logic.node->probeFinished(
        server, load.has_value(), refused, load.value_or(wire::ServerLoad()), bootNow());
}

}  // namespace duneturn
