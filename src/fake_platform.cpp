#include <signal.h>

#include "fakes.hpp"

namespace dt {

using asio::awaitable;
constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

namespace {

// Tells the fleet of the servers every second, through a node that replies. Told by
// HTTP itself: POST /leave/NAME, /stay/NAME, /remove/NAME, /return/NAME (a new life).
struct FakePlatform {
    FakePlatformOptions op;
    asio::io_context io{1};
    Doc d;
    std::size_t at = 0;
    std::int64_t told = 0, failed = 0, rev = 0;

    auto find(const Str& n) -> Val* {
        for (auto& s : d["servers"].GetArray())
            if (jsStr(s, "name") == n) return &s;
        return nullptr;
    }
    auto tell() -> awaitable<bool> {
        // To whichever node answers, beginning with the one that did last.
        for (auto i = std::size_t(0); i < op.nodes.size(); i++, at++) {
            auto& a = op.nodes[at % op.nodes.size()];
            auto s = beast::tcp_stream(io);
            s.expires_after(std::chrono::seconds(4));
            auto [e1] = co_await s.async_connect(endpoint(a), quiet);
            if (e1) continue;
            auto q = Req(http::verb::put, "/v1/platform/servers", 11);
            q.set(http::field::host, a);
            q.set(http::field::content_type, "application/json");
            q.keep_alive(false);
            rev = std::max(rev + 1, wallNow());
            d["revision"].SetInt64(rev);
            q.body() = js(d);
            q.prepare_payload();
            auto [e2, n2] = co_await http::async_write(s, q, quiet);
            if (e2) continue;
            auto b = beast::flat_buffer();
            auto r = Res();
            auto [e3, n3] = co_await http::async_read(s, b, r, quiet);
            // Another platform's word, or a clock that was set back: go on from what is known.
            auto j = Doc();
            if (!e3 && r.result_int() == 409 && jsParse(r.body(), j) && j.IsObject())
                rev = std::max(rev, jsInt(j, "revision"));
            if (e3 || r.result_int() != 200) continue;
            told++;
            co_return true;
        }
        failed++;
        co_return false;
    }
    auto session(tcp::socket sk) -> awaitable<void> {
        auto s = beast::tcp_stream(std::move(sk));
        auto b = beast::flat_buffer();
        auto q = Req();
        s.expires_after(std::chrono::seconds(20));
        auto [ec, n] = co_await http::async_read(s, b, q, quiet);
        if (ec) co_return;
        auto r = Res(http::status::ok, 11);
        auto p = Str(q.target());
        auto k = p.find('/', 1);
        auto op1 = p.substr(1, k == Str::npos ? Str::npos : k - 1),
             nm = k == Str::npos ? "" : p.substr(k + 1);
        auto v = find(nm);
        auto& al = d.GetAllocator();
        auto state = [&](const char* x) {
            v->RemoveMember("state");
            v->AddMember("state", Val(rapidjson::StringRef(x)), al);
        };
        if (op1 == "leave" && v) state("leaving");
        else if (op1 == "stay" && v) state("up");
        else if (op1 == "return" && v) {
            state("up");
            auto i = jsInt(*v, "incarnation") + 1;
            v->RemoveMember("incarnation");
            v->AddMember("incarnation", Val(i), al);
        } else if (op1 != "status") r.result(http::status::not_found);
        auto held = r.result_int() == 200 && op1 != "status" ? co_await tell() : true;
        r.body() = bodyOf({{"told", fmt::to_string(told)}, {"failed", fmt::to_string(failed)},
            {"held", held ? "true" : "false"}});
        r.keep_alive(false);
        r.prepare_payload();
        co_await http::async_write(s, r, quiet);
    }
};

}  // namespace

auto fakePlatformRun(const FakePlatformOptions& o) -> int {
    signal(SIGPIPE, SIG_IGN);
    auto p = std::make_unique<FakePlatform>();
    p->op = o;
    auto t = fileRead(o.servers);
    if (!t || !jsParse(*t, p->d) || !p->d.IsObject() || !p->d.HasMember("servers")
        || !p->d["servers"].IsArray()) {
        fmt::print(
            stderr, "duneturn fake-platform: --servers: {}\n", t ? "wants {\"servers\":[…]}" : t.error());
        return 2;
    }
    if (!p->d.HasMember("revision")) p->d.AddMember("revision", 0, p->d.GetAllocator());
    if (o.nodes.empty()) {
        fmt::print(stderr, "duneturn fake-platform: --nodes: missing\n");
        return 2;
    }
    auto ac = tcp::acceptor(p->io);
    if (!o.listen.empty()) {
        try {
            ac.open(endpoint(o.listen).protocol());
            ac.set_option(tcp::acceptor::reuse_address(true));
            ac.bind(endpoint(o.listen));
            ac.listen();
        } catch (const std::exception& e) {
            fmt::print(stderr, "duneturn fake-platform: cannot listen on {}: {}\n", o.listen, e.what());
            return 1;
        }
        asio::co_spawn(
            p->io,
            [&]() -> awaitable<void> {
                while (true) {
                    auto [ec, sk] = co_await ac.async_accept(quiet);
                    if (ec) co_return;
                    asio::co_spawn(p->io, p->session(std::move(sk)), asio::detached);
                }
            },
            asio::detached);
    }
    asio::co_spawn(
        p->io,
        [&]() -> awaitable<void> {
            auto tm = asio::steady_timer(p->io);
            while (true) {
                co_await p->tell();
                tm.expires_after(std::chrono::microseconds(o.every));
                co_await tm.async_wait(quiet);
            }
        },
        asio::detached);
    auto sig = asio::signal_set(p->io, SIGTERM, SIGINT);
    sig.async_wait([&](beast::error_code, int) { p->io.stop(); });
    p->io.run();
    return 0;
}

}  // namespace dt
