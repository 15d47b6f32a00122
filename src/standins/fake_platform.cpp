// A stand-in for the platform: tells the fleet of the servers every second, through a node that
// replies. Is itself told by HTTP: POST /leave/NAME, /stay/NAME, /return/NAME (a new life), /status.
#include <cstdint>
#include <memory>
#include <signal.h>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/file.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "net/socket.hpp"
#include "standins/standins.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

using asio::awaitable;

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

constexpr Microseconds TELL_LIMIT = 4 * SECOND;
constexpr Microseconds SESSION_LIMIT = 20 * SECOND;
constexpr auto EXIT_NOT_LISTENING = 1;
constexpr auto EXIT_WRONG_USE = 2;

struct FakePlatform {
    FakePlatformOptions options;
    asio::io_context io{1};
    rapidjson::Document listing;
    std::size_t nextNode = 0;
    std::int64_t told = 0, failed = 0, revision = 0;

    auto findServer(const std::string& name) -> rapidjson::Value*;
    auto setMember(rapidjson::Value& server, const char* name, rapidjson::Value value) -> void;
    /// False if there is no such order or server.
    auto obey(const std::string& order, const std::string& server) -> bool;
    /// Tells the listing to whichever node answers, beginning with the one that did last.
    auto tell() -> awaitable<bool>;
    auto tellNode(std::string node) -> awaitable<bool>;
    auto tellForever() -> awaitable<void>;
    auto session(tcp::socket socket) -> awaitable<void>;
    auto accept(tcp::acceptor& acceptor) -> awaitable<void>;
};

auto FakePlatform::findServer(const std::string& name) -> rapidjson::Value* {
    for (auto& server : listing["servers"].GetArray())
        if (jsonString(server, "name") == name) return &server;
    return nullptr;
}

auto FakePlatform::setMember(rapidjson::Value& server, const char* name, rapidjson::Value value) -> void {
    server.RemoveMember(name);
    server.AddMember(rapidjson::Value(rapidjson::StringRef(name)), value, listing.GetAllocator());
}

auto FakePlatform::obey(const std::string& order, const std::string& name) -> bool {
    auto server = findServer(name);
    if (!server) return false;
    if (order == "leave") setMember(*server, "state", rapidjson::Value("leaving"));
    else if (order == "stay") setMember(*server, "state", rapidjson::Value("up"));
    else if (order == "return") {
        setMember(*server, "state", rapidjson::Value("up"));
        setMember(*server, "incarnation", rapidjson::Value(jsonInteger(*server, "incarnation") + 1));
    } else return false;
    return true;
}

auto FakePlatform::tellNode(std::string node) -> awaitable<bool> {
    auto stream = beast::tcp_stream(io);
    stream.expires_after(std::chrono::microseconds(TELL_LIMIT));
    auto target = endpoint(node);
    auto [connectError] = co_await stream.async_connect(target, quiet);
    if (connectError) co_return false;
    auto request = HttpRequest(http::verb::put, "/v1/platform/servers", 11);
    request.set(http::field::host, node);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    revision = std::max(revision + 1, wallNow());
    listing["revision"].SetInt64(revision);
    request.body() = jsonText(listing);
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(stream, request, quiet);
    if (writeError) co_return false;
    auto buffer = beast::flat_buffer();
    auto reply = HttpResponse();
    auto [readError, read] = co_await http::async_read(stream, buffer, reply, quiet);
    if (readError) co_return false;
    // Another platform's listing, or a clock that was set back: go on from what is known.
    auto answer = rapidjson::Document();
    if (reply.result_int() == 409 && parseJson(reply.body(), answer) && answer.IsObject())
        revision = std::max(revision, jsonInteger(answer, "revision"));
    co_return reply.result_int() == 200;
}

auto FakePlatform::tell() -> awaitable<bool> {
    for (auto i = std::size_t(0); i < options.nodes.size(); i++, nextNode++) {
        auto node = options.nodes[nextNode % options.nodes.size()];
        auto taken = co_await tellNode(node);
        if (!taken) continue;
        told++;
        co_return true;
    }
    failed++;
    co_return false;
}

auto FakePlatform::tellForever() -> awaitable<void> {
    auto timer = asio::steady_timer(io);
    while (true) {
        co_await tell();
        timer.expires_after(std::chrono::microseconds(options.every));
        co_await timer.async_wait(quiet);
    }
}

// One request: an order and a server's name, or /status.
auto FakePlatform::session(tcp::socket socket) -> awaitable<void> {
    auto stream = beast::tcp_stream(std::move(socket));
    auto buffer = beast::flat_buffer();
    auto request = HttpRequest();
    stream.expires_after(std::chrono::microseconds(SESSION_LIMIT));
    auto [readError, read] = co_await http::async_read(stream, buffer, request, quiet);
    if (readError) co_return;
    auto path = std::string(request.target());
    auto slash = path.find('/', 1);
    auto order = path.substr(1, slash == std::string::npos ? std::string::npos : slash - 1);
    auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    auto reply = HttpResponse(http::status::ok, 11);
    auto held = true;
    if (order != "status") {
        auto known = obey(order, name);
        if (known) held = co_await tell();
        else reply.result(http::status::not_found);
    }
    reply.body() = bodyOf({{"told", fmt::to_string(told)}, {"failed", fmt::to_string(failed)},
        {"held", held ? "true" : "false"}});
    reply.keep_alive(false);
    reply.prepare_payload();
    co_await http::async_write(stream, reply, quiet);
}

auto FakePlatform::accept(tcp::acceptor& acceptor) -> awaitable<void> {
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(quiet);
        if (error) co_return;
        asio::co_spawn(io, session(std::move(socket)), asio::detached);
    }
}

/// Reads the listing; the fault, or empty.
auto readListing(FakePlatform& platform) -> std::string {
    auto& listing = platform.listing;
    auto text = readFile(platform.options.servers);
    if (!text) return "--servers: " + text.error();
    if (!parseJson(*text, listing) || !listing.IsObject() || !listing.HasMember("servers")
        || !listing["servers"].IsArray())
        return "--servers: wants {\"servers\":[…]}";
    if (!listing.HasMember("revision")) listing.AddMember("revision", 0, listing.GetAllocator());
    return platform.options.nodes.empty() ? "--nodes: missing" : "";
}

/// The fault, or empty.
auto listenAt(tcp::acceptor& acceptor, const std::string& addr) -> std::string {
    try {
        acceptor.open(endpoint(addr).protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint(addr));
        acceptor.listen();
        return "";
    } catch (const std::exception& error) {
        return fmt::format("cannot listen on {}: {}", addr, error.what());
    }
}

auto fail(const std::string& why, int exitCode) -> int {
    fmt::print(stderr, "duneturn fake-platform: {}\n", why);
    return exitCode;
}

}  // namespace

auto fakePlatformRun(const FakePlatformOptions& options) -> int {
    signal(SIGPIPE, SIG_IGN);
    auto platform = std::make_unique<FakePlatform>();
    auto& io = platform->io;
    platform->options = options;
    if (auto fault = readListing(*platform); !fault.empty()) return fail(fault, EXIT_WRONG_USE);
    auto acceptor = tcp::acceptor(io);
    if (!options.listen.empty()) {
        auto fault = listenAt(acceptor, options.listen);
        if (!fault.empty()) return fail(fault, EXIT_NOT_LISTENING);
        asio::co_spawn(io, platform->accept(acceptor), asio::detached);
    }
    asio::co_spawn(io, platform->tellForever(), asio::detached);
    auto signals = asio::signal_set(io, SIGTERM, SIGINT);
    signals.async_wait([&](beast::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

}  // namespace duneturn
