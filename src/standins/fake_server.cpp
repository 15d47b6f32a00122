#include <algorithm>
#include <cstdint>
#include <fstream>
#include <list>
#include <memory>
#include <set>
#include <signal.h>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "net/socket.hpp"
#include "standins/standins.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

using asio::awaitable;
using asio::use_awaitable;
constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

auto fakePiece(std::string_view body, std::string_view w, std::int64_t i) -> std::string {
    return fmt::format("{:016x}", hash64(body, hash64(w) + std::uint64_t(i)));
}
auto fakeWhole(std::string_view body, std::string_view w) -> std::string { return fakePiece(body, w, 0); }

auto dayKind(const rapidjson::Value& v) -> DayKind {
    auto k = DayKind();
    k.name = jsonString(v, "name");
    k.method = jsonString(v, "method", "POST");
    k.path = jsonString(v, "path");
    k.region = jsonString(v, "region");
    k.rate = jsonNumber(v, "perSecond", 1);
    k.prompt = jsonInteger(v, "promptTokens");
    k.shared = jsonInteger(v, "sharedTokens");
    k.prefixes = jsonInteger(v, "prefixes", 1);
    k.tokens = jsonInteger(v, "tokens");
    k.stream = jsonBool(v, "stream");
    k.plain = jsonBool(v, "plain");
    k.patience = jsonInteger(v, "patienceUs", 60 * SECOND);
    return k;
}
auto quantile(std::vector<Microseconds> v, double q) -> Microseconds {
    if (v.empty()) return 0;
    std::sort(v.begin(), v.end());
    return v[std::min(v.size() - 1, std::size_t(q * double(v.size())))];
}

auto FakeCache::read(std::string_view body) -> std::int64_t {
    constexpr auto B = std::size_t(1024);
    auto left = std::int64_t(body.size() / 4);
    for (auto n = body.size() / B * B; n >= B; n -= B)
        if (at_.count(hash64(body.substr(0, n)))) {
            left = std::int64_t((body.size() - n) / 4);
            break;
        }
    // The first block is touched last: a beginning is worth more than what hangs on it.
    for (auto n = body.size() / B * B; n >= B; n -= B) {
        auto h = hash64(body.substr(0, n));
        if (auto i = at_.find(h); i != at_.end()) order_.erase(i->second);
        order_.push_front(h);
        at_[h] = order_.begin();
    }
    while (order_.size() > room) {
        at_.erase(order_.back());
        order_.pop_back();
    }
    return left;
}

namespace {

// One thread: a fake server is small.
struct FakeServer {
    FakeServerOptions op;
    asio::io_context io{1};
    int prefill = 0, decode = 0, rejected = 0;
    Microseconds born = bootNow();
    std::string mode;  // the fault switched on
    std::int64_t faults = 0, after = 0, ran = 0;
    FakeCache cache;
    std::ofstream log;

    auto cold() const -> bool { return op.cold && bootNow() - born < op.warmUs; }
    auto nap(Microseconds t) -> awaitable<void> {
        auto tm = asio::steady_timer(io, std::chrono::microseconds(t));
        co_await tm.async_wait(quiet);
    }
    auto line(const std::string& s) -> void {
        if (log.is_open()) log << s << std::endl;
    }
    auto session(tcp::socket sk) -> awaitable<void>;
    auto serve(beast::tcp_stream& s, const HttpRequest& q) -> awaitable<void>;
    auto run() -> int;
};

auto FakeServer::serve(beast::tcp_stream& s, const HttpRequest& q) -> awaitable<void> {
    auto ec = beast::error_code();
    std::size_t n = 0;
    auto path = std::string(q.target());
    auto none = Headers();
    auto send = [&](int st, std::string body, const Headers& h) -> awaitable<void> {
        auto r = HttpResponse(http::status(st), 11);
        r.set(http::field::content_type, "application/json");
        for (auto& [k, v] : h) r.set(k, v);
        r.keep_alive(false);
        r.body() = std::move(body);
        r.prepare_payload();
        co_await http::async_write(s, r, quiet);
    };
    if (path == "/load") {
        if (mode == "dark") co_await nap(3600 * SECOND);
        auto load = bodyOf({{"prefill", fmt::to_string(prefill)}, {"decode", fmt::to_string(decode)},
            {"slots", fmt::to_string(op.slots)}, {"boot", fmt::to_string(born)},
            {"upUs", fmt::to_string(bootNow() - born)}, {"cold", cold() ? "true" : "false"},
            {"weights", jsonQuote(op.weights)}});
        co_await send(200, load, none);
        co_return;
    }
    if (path == "/fault") {
        auto d = rapidjson::Document();
        if (parseJson(q.body(), d)) {
            mode = jsonString(d, "mode");
            faults = jsonInteger(d, "count", INT64_MAX);
            after = jsonInteger(d, "after", 3);
        }
        auto is = bodyOf({{"mode", jsonQuote(mode)}, {"ran", fmt::to_string(ran)}});
        co_await send(200, is, none);
        co_return;
    }
    auto md = std::string();
    if (!mode.empty() && faults > 0) {
        md = mode;
        if (mode != "dark") faults--;
    }
    if (md == "dark") {
        co_await nap(3600 * SECOND);
        co_return;
    }
    auto ex = std::string(q["X-Exchange-Id"]);
    auto d = rapidjson::Document();
    auto model = parseJson(q.body(), d) && d.IsObject() && d.HasMember("prompt");
    if (md == "deny" || (model && prefill + decode >= op.slots)) {
        rejected++;
        line(fmt::format("{} deny {}", bootNow(), ex));
        auto no = Headers();
        no.emplace_back("X-Not-Executed", "true");
        no.emplace_back("Retry-After", "1");
        co_await send(503, "{\"error\":\"full\"}", no);
        co_return;
    }
    ran++;
    auto from = q.count("Last-Event-Id") ? std::atoll(std::string(q["Last-Event-Id"]).c_str()) : 0;
    line(fmt::format("{} run {} {:016x} {} {}", bootNow(), ex, hash64(q.body()), from, path));
    auto hd = Headers();
    hd.emplace_back("X-Exchange-Id", md == "wrong" ? std::string("somebody-else") : ex);
    hd.emplace_back("X-Weights", op.weights);
    if (!model) {
        co_await nap(op.plainUs);
        if (md == "cut") {
            auto raw = std::string(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"re");
            co_await asio::async_write(s, asio::buffer(raw), quiet);
            co_return;
        }
        auto said = bodyOf({{"reply", jsonQuote(fakeWhole(q.body() + path, op.weights))}});
        co_await send(200, said, hd);
        co_return;
    }
    auto tokens = jsonInteger(d, "tokens", 16);
    auto slow = md == "slow" ? 20 : 1;
    prefill++;
    co_await nap(
        std::max<Microseconds>(MILLISECOND, cache.read(q.body()) * op.prefillUs * slow * (cold() ? 2 : 1)));
    prefill--;
    decode++;
    struct Less {
        int& n;
        ~Less() { n--; }
    } less{decode};
    if (!jsonBool(d, "stream")) {
        for (auto i = std::int64_t(0); i < tokens; i++) co_await nap(op.tokenUs * slow);
        if (md == "cut") co_return;
        auto said = bodyOf({{"reply", jsonQuote(fakeWhole(q.body(), op.weights))}});
        co_await send(200, said, hd);
        co_return;
    }
    auto r = http::response<http::empty_body>(http::status::ok, 11);
    r.set(http::field::content_type, "text/event-stream");
    for (auto& [k, v] : hd) r.set(k, v);
    r.chunked(true);
    r.keep_alive(false);
    auto sr = http::response_serializer<http::empty_body>(r);
    std::tie(ec, n) = co_await http::async_write_header(s, sr, quiet);
    for (auto i = from + 1; i <= tokens && !ec; i++) {
        co_await nap(op.tokenUs * slow);
        if (md == "cut" && i > from + after) co_return;
        if (md == "stall" && i > from + after) co_await nap(3600 * SECOND);
        auto k = md == "skip" && i > from + after ? i + 1 : i;
        auto e = fmt::format(
            "id: {}\ndata: {}\n\n", k, bodyOf({{"text", jsonQuote(fakePiece(q.body(), op.weights, k))}}));
        std::tie(ec, n) = co_await asio::async_write(s, http::make_chunk(asio::buffer(e)), quiet);
    }
    if (ec) co_return;
    auto e = fmt::format("event: done\ndata: {}\n\n", bodyOf({{"events", fmt::to_string(tokens)}}));
    std::tie(ec, n) = co_await asio::async_write(s, http::make_chunk(asio::buffer(e)), quiet);
    std::tie(ec, n) = co_await asio::async_write(s, http::make_chunk_last(), quiet);
}

auto FakeServer::session(tcp::socket sk) -> awaitable<void> {
    auto s = beast::tcp_stream(std::move(sk));
    auto b = beast::flat_buffer();
    auto p = http::request_parser<http::string_body>();
    p.body_limit(16u << 20);
    auto [ec, n] = co_await http::async_read(s, b, p, quiet);
    if (!ec) co_await serve(s, p.get());
    auto e2 = beast::error_code();
    s.socket().shutdown(tcp::socket::shutdown_both, e2);
}

auto FakeServer::run() -> int {
    signal(SIGPIPE, SIG_IGN);
    if (!op.log.empty()) log.open(op.log, std::ios::app);
    auto ac = tcp::acceptor(io);
    try {
        ac.open(endpoint(op.listen).protocol());
        ac.set_option(tcp::acceptor::reuse_address(true));
        ac.bind(endpoint(op.listen));
        ac.listen(1024);
    } catch (const std::exception& e) {
        fmt::print(stderr, "duneturn fake-server: cannot listen on {}: {}\n", op.listen, e.what());
        return 1;
    }
    auto sig = asio::signal_set(io, SIGTERM, SIGINT);
    sig.async_wait([&](beast::error_code, int) { io.stop(); });
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            while (true) {
                auto [ec, sk] = co_await ac.async_accept(quiet);
                if (ec) co_return;
                asio::co_spawn(io, session(std::move(sk)), asio::detached);
            }
        },
        asio::detached);
    io.run();
    return 0;
}

}  // namespace

auto fakeServerRun(const FakeServerOptions& o) -> int {
    auto s = std::make_unique<FakeServer>();
    s->op = o;
    return s->run();
}

}  // namespace duneturn
