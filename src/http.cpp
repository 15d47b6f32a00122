#include "http.hpp"

namespace dt {

auto EventSplit::next(Event& e) -> bool {
    // An event ends at an empty line; lines end with LF or CRLF.
    auto p = std::size_t(0);
    while (true) {
        auto n = buf.find('\n', p);
        if (n == Str::npos) return false;
        auto q = n + 1;
        if (q < buf.size() && buf[q] == '\r') q++;
        if (q >= buf.size()) return false;
        if (buf[q] == '\n') {
            e = {};
            e.raw = buf.substr(0, q + 1);
            buf.erase(0, q + 1);
            break;
        }
        p = n + 1;
    }
    for (auto i = std::size_t(0); i < e.raw.size();) {
        auto n = e.raw.find('\n', i);
        auto l = View(e.raw).substr(i, n - i);
        i = n + 1;
        if (!l.empty() && l.back() == '\r') l.remove_suffix(1);
        auto c = l.find(':');
        auto k = l.substr(0, c);
        auto v = c == View::npos ? View() : l.substr(c + 1);
        if (!v.empty() && v[0] == ' ') v.remove_prefix(1);
        if (k == "id") e.id = Str(v);
        else if (k == "event") e.type = Str(v);
        else if (k == "data") e.data += (e.data.empty() ? "" : "\n") + Str(v);
    }
    return true;
}

auto endpoint(const Str& addr) -> tcp::endpoint {
    auto a = addrParse(addr);
    if (!a) return {};
    return {asio::ip::make_address(a->ip), a->port};
}

auto call(const Str& addr, const Str& method, const Str& path, const Str& body, const Headers& h, Us limit)
    -> tl::expected<Res, CallError> {
    auto a = addrParse(addr);
    if (!a) return tl::make_unexpected(CallError{addr + ": " + a.error()});
    auto io = asio::io_context();
    auto s = beast::tcp_stream(io);
    auto out = tl::expected<Res, CallError>(tl::make_unexpected(CallError{"no reply from " + addr}));
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            try {
                s.expires_after(std::chrono::microseconds(limit));
                co_await s.async_connect(endpoint(addr), asio::use_awaitable);
                auto q = Req(http::string_to_verb(method), path, 11);
                q.set(http::field::host, addr);
                for (auto& [k, v] : h) q.set(k, v);
                if (!body.empty()) q.set(http::field::content_type, "application/json");
                q.body() = body;
                q.prepare_payload();
                co_await http::async_write(s, q, asio::use_awaitable);
                auto b = beast::flat_buffer();
                auto p = http::response_parser<http::string_body>();
                p.body_limit(64u << 20);
                co_await http::async_read(s, b, p, asio::use_awaitable);
                out = p.release();
            } catch (const std::exception& e) {
                out = tl::make_unexpected(CallError{fmt::format("{}: {}", addr, e.what())});
            }
        },
        asio::detached);
    io.run();
    return out;
}

}  // namespace dt

#ifdef DT_TEST
#include "test.hpp"
namespace dt {

// Any text cut into any pieces gives the events that it gives in one piece.
TEST(EventSplit, fuzzPieces) {
    auto r = Rng{11};
    auto whole = 0;
    for (auto i = 0; i < 2000; i++) {
        auto t = Str();
        for (auto n = r.below(6); n > 0; n--) {
            auto nl = r.chance(.3) ? "\r\n" : "\n";
            if (r.chance(.7)) t += fmt::format("id: {}{}", r.below(100), nl);
            if (r.chance(.3)) t += fmt::format("event:e{}{}", r.below(3), nl);
            for (auto k = r.below(3); k > 0; k--) t += fmt::format("data: {}{}", Str(r.below(9), 'd'), nl);
            t += r.chance(.1) ? Str(r.below(4), char(r.below(256))) : Str();
            t += nl;
        }
        auto take = [](EventSplit& s, std::vector<Str>& o) {
            for (auto e = Event(); s.next(e);) o.push_back(e.id + "|" + e.type + "|" + e.data + "|" + e.raw);
        };
        auto a = EventSplit(), b = EventSplit();
        auto x = std::vector<Str>(), y = std::vector<Str>();
        a.feed(t);
        take(a, x);
        for (auto p = std::size_t(0); p < t.size();) {
            auto n = 1 + r.below(7);
            b.feed(View(t).substr(p, n));
            take(b, y);
            p += n;
        }
        CHECK(x == y);
        CHECK_EQ(a.buf, b.buf);
        auto j = Str();
        for (auto& l : x) j += l.substr(l.rfind('|') + 1);
        whole += int(x.size());
    }
    CHECK(whole > 1000);
    auto s = EventSplit();
    s.feed("id: 7\r\nevent: done\r\ndata: a\r\ndata: b\r\n\r\nid: 8\n");
    auto e = Event();
    CHECK(s.next(e));
    CHECK_EQ(Str("7"), e.id);
    CHECK(e.done());
    CHECK_EQ(Str("a\nb"), e.data);
    CHECK(!s.next(e));
}

}  // namespace dt
#endif
