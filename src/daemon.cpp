#include "daemon.hpp"

#include <signal.h>
#include <unistd.h>

#include <condition_variable>
#include <fstream>
#include <sstream>
#include <deque>
#include <random>
#include <thread>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include "Peer.h"
#include "http.hpp"
#include "store.hpp"

namespace dt {

namespace tt = apache::thrift;
using asio::awaitable;
using asio::use_awaitable;
constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

// Lock order: Daemon::mu_ (the logic), then any one of Out::mu, Daemon::dmu_, Daemon::qmu_,
// Down::mu; none of these four is held while another is taken.

static auto clip(const Str& s) -> Str { return s.substr(0, 200); }

namespace {

// One thread a peer: what is said to it goes out in order or not at all.
struct Out {
    Out(Str a, Counters& c, std::mutex& m) : addr(std::move(a)), ct(c), ctm(m), th([this] { run(); }) {}
    ~Out() {
        {
            auto l = std::lock_guard(mu);
            stop = true;
        }
        cv.notify_all();
        th.join();
    }
    auto put(const wire::Envelope& e) -> void {
        {
            auto l = std::lock_guard(mu);
            if (q.size() >= 256) q.pop_front(), lost++;
            q.emplace_back(bootNow(), e);
        }
        cv.notify_one();
    }
    auto run() -> void {
        auto ap = addrParse(addr);
        if (!ap) return;
        auto conf = std::make_shared<tt::TConfiguration>();
        auto sock = std::make_shared<tt::transport::TSocket>(ap->ip, ap->port, conf);
        sock->setConnTimeout(400);
        sock->setSendTimeout(1000);
        auto tr = std::make_shared<tt::transport::TFramedTransport>(sock);
        auto cl = wire::PeerClient(std::make_shared<tt::protocol::TCompactProtocol>(tr));
        auto wait = Us(0);
        while (true) {
            auto it = std::pair<Us, wire::Envelope>();
            {
                auto l = std::unique_lock(mu);
                cv.wait(l, [&] { return stop || !q.empty(); });
                if (stop) return;
                it = std::move(q.front());
                q.pop_front();
            }
            // Old news is retold; a stale word of it would only take the place of newer.
            if (bootNow() - it.first > 2 * SEC || bootNow() < wait) continue;
            try {
                if (!tr->isOpen()) tr->open();
                cl.tell(it.second);
            } catch (const std::exception&) {
                try {
                    tr->close();
                } catch (...) {}
                wait = bootNow() + 100 * MS;
                auto l = std::lock_guard(ctm);
                ct.add("peer_send_failed_total");
            }
        }
    }
    Str addr;
    Counters& ct;
    std::mutex& ctm;
    std::mutex mu;
    std::condition_variable cv;
    std::deque<std::pair<Us, wire::Envelope>> q;
    std::int64_t lost = 0;
    bool stop = false;
    std::thread th;
};

// What goes back to one sender. Filled by the logic, emptied by the sender's session.
struct Down {
    std::mutex mu;
    bool headReady = false, stream = false, ended = false, whole = false;
    int status = 0;
    Headers h;
    std::deque<Str> parts;
    std::size_t bytes = 0;
    std::function<void()> wake;
};

struct Up {
    asio::any_io_executor ex;
    std::shared_ptr<beast::tcp_stream> s;
    std::atomic<bool> dropped = false;
};

struct Daemon : NodePort, EdgePort, wire::PeerIf {
    explicit Daemon(const DaemonOptions& o) : op(o), io(o.workers) {}

    // ---- NodePort
    auto tell(const Str& addr, const wire::Envelope& e) -> void override {
        if (addr == op.st.peer) return;
        auto l = std::lock_guard(qmu_);
        auto i = outs_.find(addr);
        if (i == outs_.end()) {
            if (outs_.size() >= 512) return;
            i = outs_.emplace(addr, std::make_unique<Out>(addr, ct2_, ctm_)).first;
        }
        i->second->put(e);
    }
    auto disk(const DiskWrite& w) -> void override {
        {
            auto l = std::lock_guard(dmu_);
            dq_.push_back(w);
        }
        dcv_.notify_one();
    }
    auto done(std::int64_t id, const Outcome& o) -> void override {
        auto i = calls_.find(id);
        if (i == calls_.end()) return;
        auto f = std::move(i->second);
        calls_.erase(i);
        f(o);
    }
    auto book(const std::vector<Str>& v) -> void override {
        auto s = Str();
        for (auto& a : v) s += a + "\n";
        auto l = std::lock_guard(dmu_);
        book_ = s;
        dcv_.notify_one();
    }
    auto probe(const Str& server, const Str& addr) -> void override {
        asio::co_spawn(io, probeRun(server, addr), asio::detached);
    }

    // ---- EdgePort
    auto send(std::int64_t x, int a, const Str&, const Str& addr) -> void override {
        auto u = std::make_shared<Up>();
        u->ex = asio::make_strand(io);
        u->s = std::make_shared<beast::tcp_stream>(u->ex);
        ups_[{x, a}] = u;
        asio::co_spawn(u->ex, upRun(x, a, addr, u), asio::detached);
    }
    auto drop(std::int64_t x, int a) -> void override {
        auto i = ups_.find({x, a});
        if (i == ups_.end()) return;
        auto u = i->second;
        ups_.erase(i);
        u->dropped = true;
        asio::post(u->ex, [u] {
            auto ec = beast::error_code();
            u->s->socket().close(ec);
        });
    }
    auto down(std::int64_t x) -> std::shared_ptr<Down> {
        auto& d = downs_[x];
        if (!d) d = std::make_shared<Down>();
        return d;
    }
    template <class F>
    auto push(std::int64_t x, F f) -> void {
        auto d = down(x);
        auto w = std::function<void()>();
        {
            auto l = std::lock_guard(d->mu);
            f(*d);
            w = d->wake;
        }
        if (w) w();
    }
    auto head(std::int64_t x, int status, const Headers& h) -> void override {
        push(x, [&](Down& d) { d.status = status, d.h = h, d.stream = d.headReady = true; });
    }
    auto part(std::int64_t x, const Str& s) -> void override {
        push(x, [&](Down& d) { d.parts.push_back(s), d.bytes += s.size(); });
    }
    auto end(std::int64_t x, bool whole) -> void override {
        push(x, [&](Down& d) { d.ended = true, d.whole = whole; });
    }
    auto reply(std::int64_t x, int status, const Headers& h, const Str& body) -> void override {
        push(x, [&](Down& d) {
            d.status = status, d.h = h, d.parts = {body}, d.headReady = d.ended = d.whole = true;
        });
    }

    // ---- peers
    auto tell(const wire::Envelope& e) -> void override {
        auto l = std::lock_guard(mu_);
        node->hear(e, bootNow());
    }

    auto run() -> int;
    auto diskLoop() -> void;
    auto upRun(std::int64_t x, int a, Str addr, std::shared_ptr<Up> u) -> awaitable<void>;
    auto probeRun(Str server, Str addr) -> awaitable<void>;
    auto listen(tcp::acceptor& ac, bool opr) -> awaitable<void>;
    auto session(tcp::socket s, bool opr) -> awaitable<void>;
    auto exchange(beast::tcp_stream& s, beast::flat_buffer& b, const Req& q) -> awaitable<bool>;
    auto operate(const Req& q) -> awaitable<Res>;
    auto await(std::function<void(std::int64_t)> f) -> awaitable<Outcome>;
    auto ticker() -> awaitable<void>;

    DaemonOptions op;
    asio::io_context io;
    std::mutex mu_, qmu_, dmu_, ctm_;
    Counters ct_, ct2_;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::map<Str, std::unique_ptr<Out>> outs_;
    std::deque<DiskWrite> dq_;
    Str book_;  // to be written; empty if nothing is
    std::condition_variable dcv_;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls_;
    std::int64_t callId_ = 0;
    std::atomic<std::int64_t> keys_ = 0;
    std::map<std::pair<std::int64_t, int>, std::shared_ptr<Up>> ups_;
    std::map<std::int64_t, std::shared_ptr<Down>> downs_;
    std::atomic<int> sessions_ = 0;
    Store store;
    DiskGate gate;
    bool stopping_ = false, stopDisk_ = false;
    Us stopAt_ = 0;
};

auto Daemon::diskLoop() -> void {
    while (true) {
        auto w = DiskWrite();
        {
            auto l = std::unique_lock(dmu_);
            dcv_.wait(l, [&] { return stopDisk_ || !dq_.empty() || !book_.empty(); });
            if (stopDisk_) return;
            if (dq_.empty()) {
                auto b = std::move(book_);
                book_.clear();
                l.unlock();
                // Hints only: written aside and renamed, so that a half-written one is never read.
                std::ofstream(op.st.data + "/peers.new") << b;
                ::rename((op.st.data + "/peers.new").c_str(), (op.st.data + "/peers").c_str());
                continue;
            }
            w = std::move(dq_.front());
            dq_.pop_front();
        }
        auto r = gate.takes(w) ? store.write(w) : tl::make_unexpected(StoreError{"behind a failed write"});
        if (!r) {
            logf("disk: {}", r.error().why);
            gate.fail(w);
        }
        auto l = std::lock_guard(mu_);
        node->diskDone(w.seq, bool(r), bootNow());
    }
}

// ---- towards the servers: one connection carries one exchange, so that no bytes of
// another can be on it.

auto Daemon::upRun(std::int64_t x, int a, Str addr, std::shared_ptr<Up> u) -> awaitable<void> {
    auto& s = *u->s;
    auto ec = beast::error_code();
    auto lost = [&](const Str& why) {
        auto l = std::lock_guard(mu_);
        edge->upLost(x, a, why, bootNow());
        ups_.erase({x, a});
    };
    s.expires_after(std::chrono::seconds(1));
    std::tie(ec) = co_await s.async_connect(endpoint(addr), quiet);
    if (ec) {
        auto l = std::lock_guard(mu_);
        edge->refused(x, a, bootNow());
        ups_.erase({x, a});
        co_return;
    }
    auto q = Req();
    {
        auto l = std::lock_guard(mu_);
        auto e = edge->find(x);
        if (u->dropped || !e || !edge->maySend(x, a, bootNow())) {
            ups_.erase({x, a});
            co_return;
        }
        q.method(http::string_to_verb(e->method));
        q.target(e->path);
        q.version(11);
        for (auto& [k, v] : e->h) q.insert(k, v);
        q.set(http::field::host, addr);
        q.set("X-Exchange-Id", e->exid);
        q.erase("Last-Event-Id");
        q.erase("X-Weights");
        if (e->last >= 0) q.set("Last-Event-Id", fmt::to_string(e->last));
        q.keep_alive(false);
        q.body() = e->body;
        q.prepare_payload();
    }
    s.expires_never();  // the logic watches the time
    s.socket().set_option(tcp::no_delay(true), ec);
    std::size_t n = 0;
    std::tie(ec, n) = co_await http::async_write(s, q, quiet);
    if (ec) co_return lost("the connection broke while sending");
    auto b = beast::flat_buffer(1 << 20);
    auto p = http::response_parser<http::buffer_body>();
    p.header_limit(16 * 1024);
    p.body_limit(boost::none);
    std::tie(ec, n) = co_await http::async_read_header(s, b, p, quiet);
    if (ec) co_return lost("no sound reply: " + ec.message());
    auto h = Headers();
    for (auto& f : p.get()) h.emplace_back(Str(f.name_string()), Str(f.value()));
    auto status = int(p.get().result_int());
    auto ct = Str(p.get()[http::field::content_type]);
    auto streamed = status == 200 && ct.starts_with("text/event-stream") && !p.get().count("X-Not-Executed");
    {
        auto l = std::lock_guard(mu_);
        if (!edge->upHead(x, a, status, h, bootNow())) {
            ups_.erase({x, a});
            co_return;
        }
    }
    // Without a length or chunks, nothing tells a whole reply from a cut one.
    if (!p.is_done() && !p.chunked() && !p.content_length()) co_return lost("a reply without a length");
    auto sp = EventSplit();
    auto body = Str();
    auto buf = std::vector<char>(64 * 1024);
    while (!p.is_done()) {
        p.get().body().data = buf.data();
        p.get().body().size = buf.size();
        p.get().body().more = true;
        std::tie(ec, n) = co_await http::async_read_some(s, b, p, quiet);
        if (ec == http::error::need_buffer) ec = {};
        auto got = View(buf.data(), buf.size() - p.get().body().size);
        if (!streamed) {
            body += got;
            if (body.size() > (16u << 20)) co_return lost("the reply is too long");
        } else {
            sp.feed(got);
            auto e = Event();
            while (sp.next(e)) {
                auto l = std::lock_guard(mu_);
                edge->upEvent(x, a, e, bootNow());
            }
            if (sp.tooLong()) co_return lost("an event is too long");
            // A sender that reads slowly holds the server back, not the memory full.
            while (true) {
                auto d = std::shared_ptr<Down>();
                {
                    auto l = std::lock_guard(mu_);
                    if (!edge->find(x) || u->dropped) {
                        ups_.erase({x, a});
                        co_return;
                    }
                    d = down(x);
                }
                {
                    auto l = std::lock_guard(d->mu);
                    if (d->bytes < 256 * 1024) break;
                }
                {
                    auto l = std::lock_guard(mu_);
                    edge->waiting(x, a, bootNow());
                }
                auto t = asio::steady_timer(u->ex, std::chrono::milliseconds(20));
                co_await t.async_wait(quiet);
            }
        }
        if (ec)
            co_return lost(streamed ? "the stream closed before its completion mark"
                                    : "the reply was cut: " + ec.message());
    }
    if (streamed) co_return lost("the stream ended without its completion mark");
    auto l = std::lock_guard(mu_);
    edge->upWhole(x, a, status, h, body, bootNow());
    ups_.erase({x, a});
}

auto Daemon::probeRun(Str server, Str addr) -> awaitable<void> {
    auto s = beast::tcp_stream(co_await asio::this_coro::executor);
    auto ok = false, refused = false;
    auto d = wire::Load();
    try {
        s.expires_after(std::chrono::milliseconds(900));
        co_await s.async_connect(endpoint(addr), use_awaitable);
        auto q = Req(http::verb::get, "/load", 11);
        q.set(http::field::host, addr);
        q.keep_alive(false);
        co_await http::async_write(s, q, use_awaitable);
        auto b = beast::flat_buffer(64 * 1024);
        auto r = Res();
        co_await http::async_read(s, b, r, use_awaitable);
        auto j = Doc();
        if (r.result_int() == 200 && jsParse(r.body(), j) && j.IsObject()) {
            ok = true;
            d.prefill = std::int32_t(jsInt(j, "prefill"));
            d.decode = std::int32_t(jsInt(j, "decode"));
            d.slots = std::int32_t(jsInt(j, "slots"));
            d.boot = jsInt(j, "boot");
            d.up = jsInt(j, "upUs");
            d.cold = jsBool(j, "cold");
        }
    } catch (const boost::system::system_error& e) {
        refused = e.code() == asio::error::connection_refused;
    }
    auto l = std::lock_guard(mu_);
    node->loadSeen(server, ok, refused, d, bootNow());
}

// ---- towards the senders

auto Daemon::exchange(beast::tcp_stream& s, beast::flat_buffer& b, const Req& q) -> awaitable<bool> {
    auto ex = co_await asio::this_coro::executor;
    auto tm = std::make_shared<asio::steady_timer>(ex);
    auto h = Headers();
    auto hop = beast::http::token_list(q[http::field::connection]);
    for (auto& f : q) {
        // What concerns this connection only is not passed on, nor what its Connection names.
        if (hop.exists(f.name_string())) continue;
        switch (f.name()) {
        case http::field::host:
        case http::field::connection:
        case http::field::content_length:
        case http::field::transfer_encoding:
        case http::field::keep_alive:
        case http::field::te:
        case http::field::trailer:
        case http::field::upgrade:
        case http::field::expect:
        case http::field::proxy_authorization:
        case http::field::proxy_connection: continue;
        default: h.emplace_back(Str(f.name_string()), Str(f.value()));
        }
    }
    auto id = std::int64_t(0);
    auto d = std::shared_ptr<Down>();
    {
        auto l = std::lock_guard(mu_);
        id = edge->accept(Str(q.method_string()), Str(q.target()), h, q.body(), bootNow());
        d = down(id);
        auto l2 = std::lock_guard(d->mu);
        d->wake = [ex, tm] { asio::post(ex, [tm] { tm->cancel(); }); };
    }
    // Notices a sender that goes away while it waits.
    auto over = std::make_shared<bool>(false);
    auto sockp = &s;
    auto self = this;
    if (b.size() == 0)
        s.socket().async_wait(tcp::socket::wait_read, [over, sockp, self, id](beast::error_code ec) {
            if (*over) return;
            char c;
            auto e2 = beast::error_code();
            if (!ec) {
                sockp->socket().non_blocking(true, e2);
                auto n = sockp->socket().receive(asio::buffer(&c, 1), tcp::socket::message_peek, e2);
                if (n > 0 || e2 == asio::error::would_block) return;
            }
            auto l = std::lock_guard(self->mu_);
            self->edge->gone(id, bootNow());
            self->push(id, [](Down& d) { d.ended = true, d.whole = false; });
        });
    auto ec = beast::error_code();
    std::size_t n = 0;
    auto good = true, begun = false;
    auto res = http::response<http::empty_body>();
    while (good) {
        auto part = Str();
        auto ready = false, fin = false, wh = false, st = false;
        {
            auto l = std::lock_guard(d->mu);
            ready = d->headReady;
            fin = d->ended;
            wh = d->whole;
            st = d->stream;
            while (!d->parts.empty() && ready) {
                part += d->parts.front();
                d->parts.pop_front();
            }
            d->bytes = 0;
        }
        if (!ready && fin) {
            good = false;
            break;
        }
        if (ready && !st) {
            auto r = Res(http::status(d->status), 11);
            for (auto& [k, v] : d->h) r.set(k, v);
            r.keep_alive(q.keep_alive());
            r.body() = part;
            r.prepare_payload();
            s.expires_after(std::chrono::seconds(30));
            std::tie(ec, n) = co_await http::async_write(s, r, quiet);
            good = !ec && q.keep_alive();
            break;
        }
        if (ready && !begun) {
            begun = true;
            res.result(unsigned(d->status));
            res.version(11);
            for (auto& [k, v] : d->h) res.set(k, v);
            res.set(http::field::cache_control, "no-cache");
            res.keep_alive(q.keep_alive());
            res.chunked(true);
            auto sr = http::response_serializer<http::empty_body>(res);
            s.expires_after(std::chrono::seconds(30));
            std::tie(ec, n) = co_await http::async_write_header(s, sr, quiet);
            if (ec) good = false;
        }
        if (good && !part.empty()) {
            s.expires_after(std::chrono::seconds(30));
            std::tie(ec, n) = co_await asio::async_write(s, http::make_chunk(asio::buffer(part)), quiet);
            if (ec) good = false;
        }
        if (fin && good) {
            // No final chunk for a stream that is not whole.
            if (wh) std::tie(ec, n) = co_await asio::async_write(s, http::make_chunk_last(), quiet);
            good = wh && !ec && q.keep_alive();
            break;
        }
        if (!good) break;
        auto more = false;
        {
            auto l = std::lock_guard(d->mu);
            more = !d->parts.empty() && d->headReady;
            more = more || (d->headReady && !begun) || d->ended;
        }
        if (more) continue;
        tm->expires_at(asio::steady_timer::time_point::max());
        co_await tm->async_wait(quiet);
    }
    *over = true;
    s.socket().cancel(ec);
    {
        auto l = std::lock_guard(mu_);
        edge->gone(id, bootNow());
        downs_.erase(id);
    }
    co_return good;
}

auto Daemon::session(tcp::socket sk, bool opr) -> awaitable<void> {
    auto s = beast::tcp_stream(std::move(sk));
    auto b = beast::flat_buffer(9u << 20);
    auto ec = beast::error_code();
    std::size_t n = 0;
    s.socket().set_option(tcp::no_delay(true), ec);
    sessions_++;
    for (auto i = 0; i < 100000; i++) {
        auto p = http::request_parser<http::string_body>();
        p.header_limit(16 * 1024);
        p.body_limit(8u << 20);
        s.expires_after(std::chrono::seconds(i ? 60 : 10));
        std::tie(ec, n) = co_await http::async_read_header(s, b, p, quiet);
        auto deny = [&](http::status st, Str why) -> awaitable<void> {
            auto r = Res(st, 11);
            r.set(http::field::content_type, "application/json");
            r.set("X-Not-Executed", "true");
            if (st == http::status::service_unavailable) r.set(http::field::retry_after, "1");
            r.keep_alive(false);
            r.body() = errorBody({{"/", why}});
            r.prepare_payload();
            s.expires_after(std::chrono::seconds(2));
            co_await http::async_write(s, r, quiet);
        };
        if (!ec) {
            s.expires_after(std::chrono::seconds(10));
            if (beast::iequals(p.get()[http::field::expect], "100-continue")) {
                auto c = http::response<http::empty_body>(http::status::continue_, 11);
                co_await http::async_write(s, c, quiet);
            }
            std::tie(ec, n) = co_await http::async_read(s, b, p, quiet);
        }
        if (ec) {
            {
                auto l = std::lock_guard(ctm_);
                if (ec != http::error::end_of_stream && ec != asio::error::operation_aborted)
                    ct2_.add("bad_input_total");
            }
            if (ec == http::error::header_limit)
                co_await deny(http::status::request_header_fields_too_large, "the header is too large");
            else if (ec == http::error::body_limit)
                co_await deny(http::status::payload_too_large, "the body is too large");
            else if (ec == beast::error::timeout)
                co_await deny(http::status::request_timeout, "the request came too slowly");
            else if (ec.category() == http::make_error_code(http::error::bad_method).category()
                && ec != http::error::end_of_stream && ec != http::error::partial_message)
                co_await deny(http::status::bad_request, "malformed request: " + ec.message());
            break;
        }
        auto q = p.release();
        s.expires_never();
        auto path = Str(q.target());
        if (opr || path.starts_with("/v1/where") || path == "/healthz" || path == "/readyz") {
            auto r = co_await operate(q);
            r.version(11);
            r.keep_alive(q.keep_alive());
            r.prepare_payload();
            s.expires_after(std::chrono::seconds(10));
            std::tie(ec, n) = co_await http::async_write(s, r, quiet);
            if (ec || !q.keep_alive()) break;
        } else if (!co_await exchange(s, b, q)) break;
    }
    s.socket().shutdown(tcp::socket::shutdown_both, ec);
    s.socket().close(ec);
    sessions_--;
}

auto Daemon::listen(tcp::acceptor& ac, bool opr) -> awaitable<void> {
    while (ac.is_open()) {
        auto [ec, sk] = co_await ac.async_accept(asio::make_strand(io), quiet);
        if (ec) {
            if (ec == asio::error::operation_aborted) co_return;
            auto t = asio::steady_timer(io, std::chrono::milliseconds(50));
            co_await t.async_wait(quiet);
            continue;
        }
        if (sessions_ >= 4000) continue;  // closed at once
        auto ex = sk.get_executor();
        asio::co_spawn(ex, session(std::move(sk), opr), asio::detached);
    }
}

// ---- towards operators and the platform

auto Daemon::await(std::function<void(std::int64_t)> f) -> awaitable<Outcome> {
    auto ex = co_await asio::this_coro::executor;
    auto tm = std::make_shared<asio::steady_timer>(ex, asio::steady_timer::time_point::max());
    auto out = std::make_shared<Outcome>();
    {
        auto l = std::lock_guard(mu_);
        auto id = ++callId_;
        calls_[id] = [out, tm, ex](const Outcome& o) {
            auto c = o;
            asio::post(ex, [out, tm, c] {
                *out = c;
                tm->cancel();
            });
        };
        f(id);
    }
    while (!out->status) co_await tm->async_wait(quiet);
    co_return *out;
}

static auto query(const Str& target, const Str& k) -> Str {
    auto i = target.find('?');
    while (i != Str::npos) {
        auto j = target.find('&', i + 1);
        auto kv = target.substr(i + 1, j == Str::npos ? Str::npos : j - i - 1);
        auto e = kv.find('=');
        if (kv.substr(0, e) == k) return e == Str::npos ? "" : kv.substr(e + 1);
        i = j;
    }
    return "";
}

auto Daemon::operate(const Req& q) -> awaitable<Res> {
    auto r = Res(http::status::ok, 11);
    r.set(http::field::content_type, "application/json");
    auto target = Str(q.target());
    auto path = target.substr(0, target.find('?'));
    auto get = q.method() == http::verb::get;
    auto now = bootNow();
    auto set = [&](const Outcome& o) {
        r.result(unsigned(o.status));
        r.body() = o.body;
        if (o.status == 503 || o.status == 504) r.set(http::field::retry_after, "1");
    };
    auto key = Str(q["Idempotency-Key"]);
    auto order = [&](const Str& o) -> awaitable<Outcome> {
        auto k = key.empty() ? fmt::format("{}-{:x}-{}", op.st.node, node->me().boot, ++keys_) : clip(key);
        r.set("Idempotency-Key", k);
        co_return co_await await([&](std::int64_t id) { node->order(id, o, k, q.body(), bootNow()); });
    };
    if (path == "/v1/where" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = node->where(query(target, "region"), query(target, "district"), now);
    } else if (path == "/healthz" && get) {
        r.body() = "{\"live\":true}";
    } else if (path == "/readyz" && get) {
        auto l = std::lock_guard(mu_);
        auto ok = node->ready(now) && !stopping_;
        set({ok ? 200 : 503, bodyOf({{"ready", ok ? "true" : "false"}})});
    } else if (path == "/metrics" && get) {
        r.set(http::field::content_type, "text/plain; version=0.0.4");
        {
            auto l = std::lock_guard(mu_);
            r.body() = ct_.text();
        }
        auto l = std::lock_guard(ctm_);
        r.body() += ct2_.text();
    } else if (path == "/v1/status" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = node->status(now);
    } else if (path == "/v1/beliefs" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = node->beliefs(now);
    } else if (path == "/v1/exchanges" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = edge->liveText(now);
    } else if (path.starts_with("/v1/exchanges/") && get) {
        auto l = std::lock_guard(mu_);
        r.body() = edge->explainText(path.substr(14), now);
        if (r.body().empty()) set({404, errorBody({{"/", "no such exchange is live or remembered here"}})});
    } else if (path == "/v1/decisions" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = edge->decisions(std::atoll(query(target, "after").c_str()));
    } else if ((path == "/v1/config" || path == "/v1/word" || path == "/v1/plan"
                   || path.starts_with("/v1/orders/"))
        && get) {
        auto o = co_await await([&](std::int64_t id) { node->read(id, bootNow()); });
        if (o.status == 200 && path != "/v1/word") {
            auto w = Word();
            w.load(o.body);
            auto g = fmt::to_string(w.gen);
            if (path == "/v1/config")
                o.body = bodyOf({{"generation", fmt::to_string(w.configGen())}, {"config", js(w.config())}});
            else if (path == "/v1/plan")
                o.body =
                    bodyOf({{"generation", g}, {"plan", js(w.d["plan"])}, {"empties", js(w.d["empties"])}});
            else {
                auto x = w.outcome(path.substr(11));
                if (x.status)
                    o.body =
                        bodyOf({{"known", "true"}, {"status", fmt::to_string(x.status)}, {"body", x.body}});
                else
                    o = {404,
                        bodyOf(
                            {{"known", "false"}, {"error", jsQuote("no order of this key is in the log")}})};
            }
        }
        set(o);
    } else if (path == "/v1/config" && q.method() == http::verb::put) {
        set(co_await order("config"));
    } else if (path == "/v1/config" && q.method() == http::verb::patch) {
        set(co_await order("merge"));
    } else if (path.starts_with("/v1/orders/") && q.method() == http::verb::post) {
        set(co_await order(path.substr(11)));
    } else if (path == "/v1/rescue" && q.method() == http::verb::post) {
        auto j = Doc();
        if (!jsParse(q.body(), j)) set({400, errorBody({{"/", "malformed JSON"}})});
        else if (!j.IsObject() || !jsInt(j, "reign") || !jsInt(j, "generation"))
            set({422, errorBody({{"/", "wants the reign and generation that this node holds"}})});
        else {
            auto l = std::lock_guard(mu_);
            set(node->rescue(jsInt(j, "reign"), jsInt(j, "generation"), bootNow()));
        }
    } else if (path == "/v1/platform/servers" && q.method() == http::verb::put) {
        set(co_await await([&](std::int64_t id) { node->list(id, q.body(), bootNow()); }));
    } else if (path.starts_with("/v1/platform/servers/") && path.ends_with("/leaving")
        && q.method() == http::verb::post) {
        auto n = path.substr(21, path.size() - 21 - 8);
        auto j = Doc();
        auto rev = std::int64_t(0);
        if (!q.body().empty()) {
            if (!jsParse(q.body(), j) || !j.IsObject())
                co_return set({400, errorBody({{"/", "malformed JSON"}})}), r;
            rev = jsInt(j, "revision");
        }
        set(co_await await([&](std::int64_t id) { node->mark(id, n, rev, bootNow()); }));
    } else {
        set({404, errorBody({{"/", "no such path or method"}})});
    }
    co_return r;
}

auto Daemon::ticker() -> awaitable<void> {
    auto t = asio::steady_timer(io);
    while (true) {
        t.expires_after(std::chrono::milliseconds(20));
        co_await t.async_wait(quiet);
        auto l = std::lock_guard(mu_);
        auto now = bootNow();
        node->tick(now, wallNow());
        edge->tick(now);
        ct_.set("sessions", sessions_);
        if (stopping_ && (edge->busy() == 0 || now >= stopAt_)) {
            if (now - (stopAt_ - op.drain) < 500 * MS) continue;  // the duty's handing over takes a moment
            if (edge->busy()) {
                logf("stop: {} exchanges cut at the drain's limit", edge->busy());
                edge->cutAll(now);
                edge->tick(now);
            }
            io.stop();
            co_return;
        }
    }
}

auto Daemon::run() -> int {
    signal(SIGPIPE, SIG_IGN);
    tt::GlobalOutput.setOutputFunction([](const char*) {});
    auto rd = std::random_device();
    auto seed = (std::uint64_t(rd()) << 32) ^ rd();
    // Two lives of one node never share a number, and a later one's is higher.
    node = std::make_unique<Node>(op.st, *this, ct_, wallNow(), seed);
    edge = std::make_unique<Edge>(*node, *this, ct_, seed ^ 0x5a5a);
    auto dt = std::thread();
    if (op.core) {
        auto r = store.open(op.st.data);
        if (!r) {
            fmt::print(stderr, "duneturn: data {}: {}\n", op.st.data, r.error().why);
            return 1;
        }
        if (store.setAside) ct_.add("store_set_aside_total");
        auto ps = std::vector<Str>();
        if (auto t = fileRead(op.st.data + "/peers")) {
            auto in = std::stringstream(*t);
            for (auto a = Str(); std::getline(in, a);)
                if (addrParse(a)) ps.push_back(a);
        }
        auto l = std::lock_guard(mu_);
        node->hints(ps);
        node->startCore(*r, fmt::format("{:016x}", hash64(op.st.node, seed)), bootNow());
    }
    auto sa = tcp::acceptor(io), oa = tcp::acceptor(io);
    try {
        for (auto [a, addr] : {std::pair(&sa, op.st.sender), {&oa, op.st.opr}}) {
            auto ep = endpoint(addr);
            a->open(ep.protocol());
            a->set_option(tcp::acceptor::reuse_address(true));
            a->bind(ep);
            a->listen(1024);
        }
    } catch (const std::exception& e) {
        fmt::print(stderr, "duneturn: cannot listen: {}\n", e.what());
        return 1;
    }
    auto pa = *addrParse(op.st.peer);
    auto ss = std::make_shared<tt::transport::TServerSocket>(pa.ip, pa.port);
    ss->setRecvTimeout(15000);
    ss->setSendTimeout(2000);
    auto conf = std::make_shared<tt::TConfiguration>(8 << 20, 8 << 20, 64);
    struct Framed : tt::transport::TFramedTransportFactory {
        std::shared_ptr<tt::TConfiguration> c;
        auto getTransport(std::shared_ptr<tt::transport::TTransport> t)
            -> std::shared_ptr<tt::transport::TTransport> override {
            return std::make_shared<tt::transport::TFramedTransport>(t, c);
        }
    };
    auto fr = std::make_shared<Framed>();
    fr->c = conf;
    auto keep = std::shared_ptr<wire::PeerIf>(this, [](auto) {});
    auto srv = tt::server::TThreadedServer(std::make_shared<wire::PeerProcessor>(keep), ss, fr,
        std::make_shared<tt::protocol::TCompactProtocolFactoryT<tt::transport::TTransport>>(8 << 20, 100000));
    srv.setConcurrentClientLimit(512);
    auto perr = std::atomic<bool>(false);
    auto pt = std::thread([&] {
        try {
            srv.serve();
        } catch (const std::exception& e) {
            fmt::print(stderr, "duneturn: cannot listen on {}: {}\n", op.st.peer, e.what());
            perr = true;
            io.stop();
        }
    });
    if (op.core) dt = std::thread([this] { diskLoop(); });
    logf("{} {} starts: district {}, region {}, peer {}, sender {}, operator {}", op.core ? "core" : "edge",
        op.st.node, op.st.district, op.st.region, op.st.peer, op.st.sender, op.st.opr);
    auto sig = asio::signal_set(io, SIGTERM, SIGINT);
    sig.async_wait([&](beast::error_code ec, int) {
        if (ec) return;
        auto l = std::lock_guard(mu_);
        logf("stop: draining for at most {} us", op.drain);
        stopping_ = true;
        stopAt_ = bootNow() + op.drain;
        node->leave(bootNow());
        edge->drain();
    });
    asio::co_spawn(io, listen(sa, false), asio::detached);
    asio::co_spawn(io, listen(oa, true), asio::detached);
    asio::co_spawn(io, ticker(), asio::detached);
    auto ws = std::vector<std::thread>();
    for (auto i = 0; i < op.workers; i++) ws.emplace_back([this] { io.run(); });
    for (auto& w : ws) w.join();
    srv.stop();
    {
        auto l = std::lock_guard(dmu_);
        stopDisk_ = true;
    }
    dcv_.notify_all();
    if (dt.joinable()) dt.join();
    {
        auto l = std::lock_guard(qmu_);
        outs_.clear();
    }
    pt.join();
    logf("stopped");
    return perr ? 1 : 0;
}

}  // namespace

auto daemonRun(const DaemonOptions& o) -> int { return Daemon(o).run(); }

}  // namespace dt
