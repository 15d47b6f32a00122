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
