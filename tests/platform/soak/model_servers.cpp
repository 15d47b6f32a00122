#include "platform/soak/model_servers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/time.hpp"
#include "net/socket.hpp"

namespace duneturn::soak {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ZONE_COUNT = 3;
constexpr std::size_t SERVERS_PER_ZONE = 2;
/// Ids of events rise by it.
constexpr auto EVENT_STRIDE = 6;
constexpr auto HTTP_1_1 = 11;

auto eventText(const std::string& name, int event) -> std::string {
    return fmt::format("id: {}\ndata: piece {} of {}\n\n", event * EVENT_STRIDE, event, name);
}

auto identityHeaders(const std::string& name, const std::string& instance) -> std::string {
    return fmt::format(
        "X-Attempt-Id: {0}\r\nX-Server-Seal: {1}.{0}\r\nX-Weight-Versions: 1\r\n", name, instance);
}

auto pauseFor(asio::io_context& context, Microseconds pause) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context, std::chrono::microseconds(pause));
    co_await timer.async_wait(quiet);
}

}  // namespace

auto streamPath(int events, Microseconds pause) -> std::string {
    return fmt::format("/stream/{}x{}", events, pause / MILLISECOND);
}
auto plainPath(Microseconds pause) -> std::string { return fmt::format("/plain/{}", pause / MILLISECOND); }

auto readWork(const std::string& path) -> Work {
    auto work = Work();
    auto pauseMs = 0;
    work.isStream = std::sscanf(path.c_str(), "/stream/%dx%d", &work.events, &pauseMs) == 2;
    if (!work.isStream) pauseMs = std::atoi(path.substr(path.rfind('/') + 1).c_str());
    work.pause = pauseMs * MILLISECOND;
    return work;
}

auto answerBody(const std::string& name, const Work& work) -> std::string {
    if (!work.isStream) return "answer of " + name;
    auto body = std::string();
    for (auto event = 1; event <= work.events; event++) body += eventText(name, event);
    return body;
}

ModelServers::ModelServers(asio::io_context& context, const Deployment& deployment, Records& records)
    : context_(context), records_(records) {
    for (auto zone = std::size_t(0); zone < ZONE_COUNT; zone++)
        for (auto i = std::size_t(0); i < SERVERS_PER_ZONE; i++)
            servers_.push_back({fmt::format("server-{}-{}", zone, i), deployment.zoneName(zone),
                deployment.serverAddress(zone, i)});
    for (auto& server : servers_)
        asio::co_spawn(context_, acceptCalls(listen(server.address), server.instance), asio::detached);
    asio::co_spawn(context_, acceptCalls(listen(deployment.listAddress()), ""), asio::detached);
}

auto ModelServers::listen(const std::string& address) -> tcp::acceptor {
    return {context_, endpoint(address), true};
}

auto ModelServers::acceptCalls(tcp::acceptor acceptor, std::string instance) -> asio::awaitable<void> {
    while (true) {
        auto [failed, socket] = co_await acceptor.async_accept(quiet);
        if (failed) continue;
        auto ignored = beast::error_code();
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(context_, serve(std::move(socket), instance), asio::detached);
    }
}

auto ModelServers::serve(tcp::socket socket, std::string instance) -> asio::awaitable<void> {
    auto buffer = beast::flat_buffer();
    auto open = true;
    while (open) {
        auto parser = http::request_parser<http::string_body>();
        parser.body_limit(boost::none);
        auto [noHead, headBytes] = co_await http::async_read_header(socket, buffer, parser, quiet);
        if (noHead) co_return;
        auto longWork = readLongWork(std::string(parser.get().target()));
        if (longWork && parser.get()["X-Target-Instance"] == instance) {
            open = co_await serveLong(socket, buffer, parser, *longWork, instance);
            continue;
        }
        auto [failed, count] = co_await http::async_read(socket, buffer, parser, quiet);
        if (failed) co_return;
        auto request = parser.release();
        open = co_await answer(socket, request, instance);
    }
}

auto ModelServers::serveLong(tcp::socket& socket, beast::flat_buffer& buffer,
    const http::request_parser<http::string_body>& head, const LongWork& work, const std::string& instance)
    -> asio::awaitable<bool> {
    auto request = LongRequest();
    request.name = std::string(head.get()["X-Attempt-Id"]);
    request.bodyBytes = std::size_t(head.content_length().value_or(0));
    request.headers = identityHeaders(request.name, instance);
    request.work = work;
    if (!records_.find(request.name))
        records_.recordFault("a server was sent " + request.name + ", which no client waits for");
    co_return co_await serveLongRequest(socket, buffer, std::move(request), records_);
}

// `instance` is empty for the list. False if the connection has ended.
auto ModelServers::answer(tcp::socket& socket, const HttpRequest& request, const std::string& instance)
    -> asio::awaitable<bool> {
    auto isForOther = !instance.empty() && request["X-Target-Instance"] != instance;
    if (!instance.empty() && !isForOther && request.target() != "/health")
        co_return co_await writeAnswer(socket, request, instance);
    auto response = HttpResponse(isForOther ? http::status::misdirected_request : http::status::ok, HTTP_1_1);
    response.set(http::field::content_type, "application/json");
    if (instance.empty()) response.body() = list();
    else response.set("X-Instance-Id", instance);
    if (isForOther) response.set("X-Not-Executed", "1");
    response.set("X-Attempt-Id", request["X-Attempt-Id"]);
    response.prepare_payload();
    auto [failed, count] = co_await http::async_write(socket, response, quiet);
    co_return !failed;
}

auto ModelServers::writeAnswer(tcp::socket& socket, const HttpRequest& request, const std::string& instance)
    -> asio::awaitable<bool> {
    auto name = std::string(request["X-Attempt-Id"]);
    auto work = readWork(std::string(request.target()));
    auto record = records_.find(name);
    if (!record) records_.recordFault("a server was sent " + name + ", which no client waits for");
    auto run = record ? record->beginRun() : 0;
    auto head = "HTTP/1.1 200 OK\r\n" + identityHeaders(name, instance);
    if (!work.isStream) {
        co_await pauseFor(context_, work.pause);
        auto body = answerBody(name, work);
        auto text = fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
        auto [failed, count] = co_await asio::async_write(socket, asio::buffer(text), quiet);
        if (record = records_.find(name); record && !failed) record->endRun(run);
        co_return !failed;
    }
    auto next = 1 + std::atoi(std::string(request["Last-Event-Id"]).c_str()) / EVENT_STRIDE;
    auto text = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto event = next; event <= work.events; event++) {
        co_await pauseFor(context_, work.pause);
        auto part = eventText(name, event);
        text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
        auto [failed, count] = co_await asio::async_write(socket, asio::buffer(text), quiet);
        if (failed) co_return false;
        text.clear();
    }
    // Also of a stream that was taken up behind its last event.
    text += "0\r\n\r\n";
    auto [failed, count] = co_await asio::async_write(socket, asio::buffer(text), quiet);
    if (record = records_.find(name); record && !failed) record->endRun(run);
    co_return !failed;
}

auto ModelServers::list() const -> std::string {
    auto entries = std::string();
    for (auto& server : servers_)
        entries += fmt::format(
            "{}{{\"InstanceId\":\"{}\",\"Backend\":\"model\",\"Address\":\"{}\",\"Zone\":\"{}\","
            "\"ConfigVersion\":\"v1\",\"Slots\":512,\"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"mixed\","
            "\"Models\":[{{\"Name\":\"m\",\"ConfigVersion\":1,\"Adapters\":[]}}]}}",
            entries.empty() ? "" : ",", server.instance, server.address, server.zone);
    return "{\"Instances\":[" + entries + "],\"NextToken\":null}";
}

}  // namespace duneturn::soak
