#include "net/http.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

auto finishAtClose(http::response_parser<http::string_body>& p) -> beast::error_code {
    auto ec = beast::error_code();
    if (!p.got_some()) return http::error::end_of_stream;  // Beast would call nothing at all a reply
    p.put_eof(ec);
    if (!ec && !p.is_done()) ec = http::error::partial_message;
    return ec;
}

auto requestHead(const std::string& method, const std::string& target, const Headers& headers,
    std::size_t bodySize, const std::string& address, bool keepAlive) -> std::string {
    auto head = method + " " + target + " HTTP/1.1\r\n";
    auto hasHost = false;
    for (auto& [name, value] : headers) {
        if (isHopByHopHeader(name, "")) continue;
        hasHost = hasHost || beast::iequals(name, "Host");
        head += name + ": " + value + "\r\n";
    }
    if (!hasHost) head += "Host: " + address + "\r\n";
    if (bodySize > 0 || method == "POST" || method == "PUT" || method == "PATCH")
        head += fmt::format("Content-Length: {}\r\n", bodySize);
    if (!keepAlive) head += "Connection: close\r\n";
    return head + "\r\n";
}

auto EventStreamSplitter::next(Event& e) -> bool {
    // An event ends at an empty line; lines end with LF or CRLF.
    auto p = std::size_t(0);
    while (true) {
        auto n = buf.find('\n', p);
        if (n == std::string::npos) return false;
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
        auto l = std::string_view(e.raw).substr(i, n - i);
        i = n + 1;
        if (!l.empty() && l.back() == '\r') l.remove_suffix(1);
        auto c = l.find(':');
        auto k = l.substr(0, c);
        auto v = c == std::string_view::npos ? std::string_view() : l.substr(c + 1);
        if (!v.empty() && v[0] == ' ') v.remove_prefix(1);
        if (k == "id") e.id = std::string(v);
        else if (k == "event") e.type = std::string(v);
        else if (k == "data") e.data += (e.data.empty() ? "" : "\n") + std::string(v);
    }
    return true;
}

auto endpoint(const std::string& addr) -> tcp::endpoint {
    auto a = parseAddress(addr);
    if (!a) return {};
    return {asio::ip::make_address(a->ip), a->port};
}

auto configureSocket(int fd, Microseconds unheard) -> void {
    auto set = [&](int level, int what, int v) { ::setsockopt(fd, level, what, &v, sizeof v); };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, int(unheard / MILLISECOND));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, int(std::max(unheard, SECOND) / SECOND));
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, 3);
}

auto limitsOf(const rapidjson::Value& c) -> Limits {
    auto l = Limits();
    if (!c.IsObject() || !c.HasMember("limits") || !c["limits"].IsObject()) return l;
    auto& v = c["limits"];
    auto take = [&](const char* k, std::int64_t d) {
        auto n = jsonInteger(v, k, d);
        return n > 0 ? n : d;
    };
    l.headerBytes = std::size_t(take("headerBytes", std::int64_t(l.headerBytes)));
    l.bodyBytes = std::size_t(take("bodyBytes", std::int64_t(l.bodyBytes)));
    l.headerRead = take("headerReadUs", l.headerRead);
    l.idle = take("idleUs", l.idle);
    return l;
}

auto isHopByHopHeader(std::string_view n, std::string_view connection) -> bool {
    auto is = [&](std::string_view x) { return beast::iequals(n, x); };
    if (is("Connection") || is("Keep-Alive") || is("Transfer-Encoding") || is("Content-Length") || is("TE")
        || is("Trailer") || is("Upgrade") || is("Proxy-Connection") || is("Proxy-Authorization")
        || is("Proxy-Authenticate") || is("Expect"))
        return true;
    return !connection.empty() && http::token_list(connection).exists(n);
}

auto keepAliveSeconds(std::string_view v) -> std::int64_t {
    for (auto i = std::size_t(0); i < v.size();) {
        auto j = std::min(v.find_first_of(",;", i), v.size());
        auto t = v.substr(i, j - i);
        i = j + 1;
        while (!t.empty() && t.front() == ' ') t.remove_prefix(1);
        if (t.size() < 8 || !beast::iequals(t.substr(0, 7), "timeout")) continue;
        t.remove_prefix(7);
        while (!t.empty() && (t.front() == ' ' || t.front() == '=')) t.remove_prefix(1);
        auto n = std::int64_t(0), d = std::int64_t(0);
        for (; !t.empty() && t.front() >= '0' && t.front() <= '9' && d < 9; t.remove_prefix(1), d++)
            n = n * 10 + (t.front() - '0');
        return d ? n : -1;
    }
    return -1;
}

auto keepFor(const Headers& h) -> Microseconds {
    auto t = 4 * SECOND;
    for (auto& [k, v] : h) {
        if (beast::iequals(k, "Connection") && http::token_list(v).exists("close")) return 0;
        if (beast::iequals(k, "Keep-Alive"))
            // The server counts from its last byte, which left it before it came here.
            if (auto n = keepAliveSeconds(v); n >= 0)
                t = std::min(t, std::max<Microseconds>(0, (n - 1) * SECOND));
    }
    return t;
}

auto idleShare(std::int64_t maxConns, std::size_t nodes) -> std::size_t {
    if (maxConns <= 0) return 4;
    return std::min<std::size_t>(4, std::size_t(maxConns) / (4 * std::max<std::size_t>(1, nodes)));
}

auto IdleConnections::put(const std::string& key, std::int64_t id, Microseconds till, Microseconds now,
    std::size_t most) -> std::vector<std::int64_t> {
    auto out = std::vector<std::int64_t>();
    most = std::min(most, perServer);
    if (till <= now || !most) return {id};
    auto& v = m_[key];
    while (v.size() >= most) {
        out.push_back(v.front().id);
        v.erase(v.begin());
        n_--;
    }
    if (n_ >= all) {
        if (v.empty()) m_.erase(key);
        out.push_back(id);
        return out;
    }
    v.push_back({id, till});
    n_++;
    return out;
}
auto IdleConnections::take(const std::string& key, Microseconds now) -> std::int64_t {
    auto i = m_.find(key);
    if (i == m_.end() || i->second.back().till <= now) return -1;  // expire() closes it
    auto id = i->second.back().id;
    i->second.pop_back();
    n_--;
    if (i->second.empty()) m_.erase(i);
    return id;
}
auto IdleConnections::expire(Microseconds now) -> std::vector<std::int64_t> {
    auto out = std::vector<std::int64_t>();
    for (auto i = m_.begin(); i != m_.end();) {
        std::erase_if(i->second, [&](auto& c) {
            if (c.till > now) return false;
            out.push_back(c.id);
            return true;
        });
        i = i->second.empty() ? m_.erase(i) : std::next(i);
    }
    n_ -= out.size();
    return out;
}

auto StopSchedule::step(Microseconds now, bool busy) const -> Step {
    if (!at) return Serve;
    auto t = now - at;
    if (!busy && t >= std::min(FIRST, grace * 85 / 100)) return End;
    if (t >= grace * 85 / 100) return Cut;
    return t >= grace * 40 / 100 ? Refuse : Serve;
}

auto fetch(std::string addr, std::string method, std::string path, std::string body, Headers h,
    Microseconds limit) -> asio::awaitable<tl::expected<HttpResponse, CallError>> {
    auto a = parseAddress(addr);
    if (!a) co_return tl::make_unexpected(CallError{addr + ": " + a.error()});
    try {
        auto s = beast::tcp_stream(co_await asio::this_coro::executor);
        s.expires_after(std::chrono::microseconds(limit));
        co_await s.async_connect(endpoint(addr), asio::use_awaitable);
        configureSocket(s.socket().native_handle(), 2 * SECOND);
        auto q = HttpRequest(http::string_to_verb(method), path, 11);
        q.set(http::field::host, addr);
        for (auto& [k, v] : h) q.set(k, v);
        if (!body.empty()) q.set(http::field::content_type, "application/json");
        q.keep_alive(false);
        q.body() = std::move(body);
        q.prepare_payload();
        co_await http::async_write(s, q, asio::use_awaitable);
        auto b = beast::flat_buffer();
        auto p = http::response_parser<http::string_body>();
        p.body_limit(64u << 20);
        co_await http::async_read(s, b, p, asio::use_awaitable);
        co_return p.release();
    } catch (const std::exception& e) {
        co_return tl::make_unexpected(CallError{fmt::format("{}: {}", addr, e.what())});
    }
}

auto call(const std::string& addr, const std::string& method, const std::string& path,
    const std::string& body, const Headers& h, Microseconds limit) -> tl::expected<HttpResponse, CallError> {
    auto io = asio::io_context();
    auto out = tl::expected<HttpResponse, CallError>(tl::make_unexpected(CallError{"no reply from " + addr}));
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { out = co_await fetch(addr, method, path, body, h, limit); },
        asio::detached);
    io.run();
    return out;
}

}  // namespace duneturn
