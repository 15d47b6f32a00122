#include "platform/soak/operator_calls.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/time.hpp"
#include "net/socket.hpp"

namespace duneturn::soak {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr auto CALL_TIMEOUT = std::chrono::seconds(1);
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(100);
constexpr auto HTTP_1_1 = 11;
constexpr auto ACKNOWLEDGED = 200;
constexpr auto OTHER_VERSION = 412;
/// Routes that come and go with the changes.
constexpr auto MOST_FURTHER_ROUTES = 3;

auto route(const std::string& name, const std::string& kind, int tries, bool resumable) -> std::string {
    return fmt::format(
        R"({{"Name":"{0}","Hostname":"soak.example","PathPrefix":"/{0}/","Variant":"{1}","DeadlineMs":20000,)"
        R"("TargetMs":1000,"Rank":1,"Backend":"model","MaxTries":{2},"Sticky":true,"Resumable":{3},)"
        R"("GapTargetMs":600,"HomeRegions":[]}})",
        name, kind, tries, resumable);
}

}  // namespace

auto callStatus(asio::io_context& context, std::string address, std::string method, std::string target,
    std::string ifMatch, std::string body) -> asio::awaitable<int> {
    auto stream = beast::tcp_stream(context);
    stream.expires_after(CALL_TIMEOUT);
    auto [unreachable] = co_await stream.async_connect(endpoint(address), quiet);
    if (unreachable) co_return 0;
    auto request = HttpRequest(http::string_to_verb(method), target, HTTP_1_1);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    if (!ifMatch.empty()) request.set(http::field::if_match, ifMatch);
    request.keep_alive(false);
    request.body() = std::move(body);
    request.prepare_payload();
    auto [unsent, written] = co_await http::async_write(stream, request, quiet);
    if (unsent) co_return 0;
    auto buffer = beast::flat_buffer();
    auto response = HttpResponse();
    auto [unanswered, read] = co_await http::async_read(stream, buffer, response, quiet);
    co_return unanswered ? 0 : int(response.result_int());
}

// The routes that carry traffic stay, with another number of tries; others come and go.
auto OperatorCalls::configuration() const -> std::string {
    auto tries = 1 + version_ % 2;
    auto routes = route("stream", "stream", tries, version_ % 3 == 0) + ","
        + route("plain", "effectful", tries, false) + "," + route("long-plain", "effectful", tries, false)
        + "," + route("long-stream", "stream", tries, false);
    for (auto i = 0; i < version_ % (MOST_FURTHER_ROUTES + 1); i++)
        routes += "," + route(fmt::format("further-{}-{}", version_, i), "safe", 1, false);
    return fmt::format(
        R"({{"ConfigVersion":{},"Routes":[{}],"Backends":[{{"Name":"model","HealthPath":"/health","MaxConns":2000,)"
        R"("Protocol":"h1","Tls":false,"ColdS":0.0,"ColdRateS":0.0,"Engine":{{"Slots":512,"KvCapacity":4000000,)"
        R"("KvTokenBytes":163840,"LinkMbps":1100000.0,"Stride":6,"Models":[{{"Name":"m"}}]}}}}],)"
        R"("Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderReadMs":3000,"IdleMs":15000}}}})",
        version_ + 1, routes);
}

auto OperatorCalls::changeConfiguration() -> asio::awaitable<void> {
    changing_ = true;
    auto body = configuration();
    auto status = 0;
    while (status != ACKNOWLEDGED && status != OTHER_VERSION) {
        auto node = std::size_t(random_.below(deployment_.nodes().size()));
        status = co_await callStatus(context_, deployment_.controlAddress(node), "PUT", "/v1/config",
            fmt::format("{}", version_), body);
        auto timer = asio::steady_timer(context_, RETRY_PAUSE);
        co_await timer.async_wait(quiet);
    }
    version_++;
    acknowledged_++;
    changing_ = false;
}

}  // namespace duneturn::soak
