#include "daemon/daemon.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <malloc.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <pthread.h>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <tl/expected.hpp>

#include "Peer.h"
#include "base/address.hpp"
#include "base/counters.hpp"
#include "base/file.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "control/request_age.hpp"
#include "control/request_watch.hpp"
#include "daemon/answer_reader.hpp"
#include "net/connection_limits.hpp"
#include "net/connection_pool.hpp"
#include "net/envelope_compression.hpp"
#include "net/peer_channel.hpp"
#include "net/socket.hpp"
#include "net/stop_schedule.hpp"
#include "storage/store.hpp"

namespace duneturn {

namespace tt = apache::thrift;
using asio::awaitable;
using asio::use_awaitable;
constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

// Lock order: Daemon::mu_ (the logic), then any one of PeerSender::mutex_, Daemon::dmu_, Daemon::qmu_,
// Down::mu; none of these four is held while another is taken.

static auto clip(const std::string& s) -> std::string { return s.substr(0, 200); }
constexpr Microseconds UNHEARD_SERVER = 2 * SECOND;  // sent bytes without an acknowledgement
constexpr Microseconds UNHEARD_CLIENT =
    10 * SECOND;  // longer: a sender that reads nothing for a while counts too
constexpr Microseconds TICK = 20 * MILLISECOND;
constexpr Microseconds CONNECT = 1 * SECOND;
constexpr Microseconds WRITE = 30 * SECOND;      // for a sender to take what it is given
constexpr Microseconds BODY_READ = 20 * SECOND;  // for a sender to give its request's body
constexpr std::size_t HELD = 256 * 1024;  // bytes held for a slow sender before its server is held back
constexpr std::size_t READ = 8 * 1024;
constexpr std::size_t AHEAD = 64 * 1024;  // bytes taken of requests that a sender sends ahead
constexpr int SESSIONS = 3500;

namespace {

// What goes back to one sender. Filled by the logic, emptied by the sender's session.
struct Down {
    std::mutex mu;
    bool headReady = false, stream = false, ended = false, whole = false;
    int status = 0;
    Headers h;
    std::deque<std::string> parts;
    std::size_t bytes = 0;
    std::function<void()> wake;
};

// One request as it goes to a server, and how its answer is read.
struct ServerRequest {
    std::string head, body;
    AnswerOptions answer;
};

struct Up {
    asio::any_io_executor ex;
    std::shared_ptr<beast::tcp_stream> s;
    std::string server, key;  // key: of the server's kept connections
    bool kept = false;        // its connection has carried another exchange before
    bool broken = false;      // a write on it failed
    std::atomic<bool> dropped = false;
};

// Who speaks at a listening address.
struct Listen {
    enum Kind { Sender, Operator, Adapted } kind;
    std::string addr;
    tcp::acceptor ac;
};

struct Daemon : NodePort, EdgePort, Shell, wire::PeerIf {
    explicit Daemon(const DaemonOptions& o) : op(o), ad(o.adapter), io(ad ? 1 : o.workers) {
        if (ad) op.workers = 1, op.core = !op.st.data.empty();
        reuse_ = ad && op.reuse;
    }

    // ---- NodePort
    auto send(const std::string& addr, const wire::Envelope& e) -> void override {
        if (addr == op.st.peer) return;
        auto l = std::lock_guard(qmu_);
        auto i = outs_.find(addr);
        if (i == outs_.end()) {
            if (outs_.size() >= 512) return;
            i = outs_.emplace(addr, std::make_unique<PeerChannel>(addr, ct2_, ctm_, compressor_)).first;
        }
        i->second->setCompress(compressing_.count(addr) > 0);
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
    auto savePeerHints(const std::vector<std::string>& v) -> void override {
        auto s = std::string();
        for (auto& a : v) s += a + "\n";
        auto l = std::lock_guard(dmu_);
        book_ = s;
        dcv_.notify_one();
    }
    auto probe(const std::string& server, const std::string& addr) -> void override {
        asio::co_spawn(io, probeRun(server, addr), asio::detached);
    }

    // ---- EdgePort
    auto startAttempt(std::int64_t x, int a, const std::string& server, const std::string& addr)
        -> void override {
        auto u = std::make_shared<Up>();
        u->server = server;
        u->key = server + " " + addr;
        if (auto e = edge->find(x); reuse_ && e && edge->mayReuseConnection(*e))
            if (auto s = kept_.take(u->key, bootNow())) {
                u->s = *s;
                u->ex = u->s->get_executor();
                u->kept = true;
                ct_.add("connections_reused_total");
            }
        if (!u->kept) {
            u->ex = strand();
            u->s = std::make_shared<beast::tcp_stream>(u->ex);
        }
        ups_[{x, a}] = u;
        // Not begun here: mu_ is held, and a strand may run at once what it is given.
        asio::post(u->ex, [=, this] { asio::co_spawn(u->ex, upRun(x, a, addr, u), asio::detached); });
    }
    auto cancelAttempt(std::int64_t x, int a) -> void override {
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
    // What runs one connection's steps one after the other. One worker does so anyway.
    auto strand() -> asio::any_io_executor {
        if (op.workers == 1) return io.get_executor();
        return asio::make_strand(io);
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
    auto sendHead(std::int64_t x, int status, const Headers& h) -> void override {
        push(x, [&](Down& d) { d.status = status, d.h = h, d.stream = d.headReady = true; });
    }
    auto sendPart(std::int64_t x, const std::string& s) -> void override {
        push(x, [&](Down& d) { d.parts.push_back(s), d.bytes += s.size(); });
    }
    auto endStream(std::int64_t x, bool whole) -> void override {
        push(x, [&](Down& d) { d.ended = true, d.whole = whole; });
    }
    auto sendReply(std::int64_t x, int status, const Headers& h, const std::string& body) -> void override {
        push(x, [&](Down& d) {
            d.status = status, d.h = h, d.parts = {body}, d.headReady = d.ended = d.whole = true;
        });
    }

    // ---- Shell
    auto order(const std::string& o, const std::string& key, const std::string& body)
        -> awaitable<Outcome> override {
        co_return co_await watchedOrder(nullptr, o, key, body);
    }
    auto readState(const StateQuery& query) -> awaitable<Outcome> override {
        co_return co_await watchedRead(nullptr, query);
    }
    /// The same for the caller of one request, if a watch is given: see RequestShell.
    auto watchedOrder(RequestWatch* watch, std::string o, std::string key, std::string body)
        -> awaitable<Outcome>;
    auto watchedRead(RequestWatch* watch, StateQuery query) -> awaitable<Outcome>;
    auto list(const std::string& body) -> awaitable<Outcome> override {
        co_return co_await await([&](std::int64_t id) { node->list(id, body, bootNow()); });
    }
    auto where(const std::string& region, const std::string& zone) -> std::string override {
        auto l = std::lock_guard(mu_);
        return node->where(region, zone, bootNow());
    }
    auto ready() -> bool override {
        auto l = std::lock_guard(mu_);
        return node->ready(bootNow()) && !stop_.at;
    }
    auto duty() -> bool override {
        auto l = std::lock_guard(mu_);
        return node->hasSingletonDuty(bootNow());
    }
    auto replicatedState() -> std::string override {
        auto l = std::lock_guard(mu_);
        return node->replicatedState().text();
    }
    auto fetch(const std::string& addr, const std::string& target, Microseconds limit)
        -> awaitable<tl::expected<HttpResponse, CallError>> override {
        return duneturn::fetch(addr, "GET", target, "", {}, limit);
    }
    auto settings() -> const Settings& override { return op.st; }

    // ---- peers
    auto tell(const wire::Envelope& e) -> void override {
        auto z = e.__isset.compressed ? decompressEnvelope(e) : std::nullopt;
        auto l = std::lock_guard(mu_);
        if (e.__isset.compressed && !z) return ct_.add("peer_decompress_failed_total");
        node->handle(z ? *z : e, bootNow());
        auto k = node->nodes().find(e.node);
        if (k == node->nodes().end()) return;
        auto l2 = std::lock_guard(qmu_);
        if (e.wire >= COMPRESSION_WIRE_VERSION) compressing_.insert(k->second.record.peer);
        else compressing_.erase(k->second.record.peer);
    }

    auto run() -> int;
    auto bind() -> std::string;
    auto coreStart(const DiskState& s) -> void;
    auto diskLoop() -> void;
    auto bookWrite(const std::string& s) -> void;
    auto upRun(std::int64_t x, int a, std::string addr, std::shared_ptr<Up> u) -> awaitable<void>;
    auto connectServer(std::int64_t x, int a, const std::string& addr, Up& u) -> awaitable<bool>;
    auto requestFor(std::int64_t x, int a, const std::string& addr, const Up& u)
        -> std::optional<ServerRequest>;
    auto readAnswer(std::int64_t x, int a, Up& u, const AnswerOptions& options) -> awaitable<void>;
    auto waitForClient(std::int64_t x, int a, Up& u) -> awaitable<bool>;
    auto keep(Up& u, Microseconds life) -> void;
    auto probeRun(std::string server, std::string addr) -> awaitable<void>;
    auto listen(Listen& at) -> awaitable<void>;
    auto session(tcp::socket s, Listen& at) -> awaitable<void>;
    auto request(beast::tcp_stream& s, beast::flat_buffer& b, const HttpRequest& q, Microseconds arrived)
        -> awaitable<bool>;
    auto operate(const HttpRequest& q, Shell& sh) -> awaitable<HttpResponse>;
    auto adapted(const std::string& at, const HttpRequest& q, Shell& sh) -> awaitable<HttpResponse>;
    auto duties() -> awaitable<void>;
    auto await(std::function<void(std::int64_t)> f, RequestWatch* watch = nullptr) -> awaitable<Outcome>;
    auto callerGone(RequestWatch& watch) -> void;
    auto tick() -> bool;
    auto work() -> void;
    auto ticker() -> awaitable<void>;
    auto stopBegin() -> void;
    auto stopStep(Microseconds now) -> bool;
    auto hup() -> void;
    auto idleClose() -> void;

    DaemonOptions op;
    Adapter* ad;
    asio::io_context io;
    std::mutex mu_, qmu_, dmu_, ctm_;
    Counters ct_, ct2_;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::map<std::string, std::unique_ptr<PeerChannel>> outs_;
    std::set<std::string> compressing_;  // peers that read compressed envelopes
    EnvelopeCompressor compressor_;
    std::deque<DiskWrite> dq_;
    std::string book_;  // to be written; empty if nothing is
    std::condition_variable dcv_;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls_;
    std::int64_t callId_ = 0;
    std::atomic<std::int64_t> keys_ = 0;
    std::map<std::pair<std::int64_t, int>, std::shared_ptr<Up>> ups_;
    std::map<std::int64_t, std::shared_ptr<Down>> downs_;
    ConnectionPool<std::shared_ptr<beast::tcp_stream>> kept_{
        [](auto& s) { return isSocketQuiet(s->socket().native_handle()); }};
    std::set<std::shared_ptr<beast::tcp_stream>> idle_;  // senders' connections between requests
    ConnectionLimits lim_;
    std::map<std::string, std::int64_t> conns_;  // the most that a pool's servers accept
    std::size_t nodes_ = 1;
    std::int64_t limitEpoch_ = -1, limitVersion_ = -1;
    Microseconds sweptAt_ = 0;
    std::vector<std::unique_ptr<Listen>> listens_;
    std::unique_ptr<asio::signal_set> hup_;
    std::atomic<int> sessions_ = 0;
    Store store;
    DiskGate gate;
    StopSchedule stop_;
    bool reuse_ = false, refusing_ = false, cut_ = false, stopDisk_ = false;
    bool started_ = false;               // the disk is open; the disk's thread's own once it runs
    std::atomic<bool> closing_ = false;  // replies say that their connection ends
};

// The shell as one request sees it: orders and reads end when the request's caller is gone.
struct RequestShell : Shell {
    RequestShell(Daemon& d, RequestWatch& w) : daemon(d), watch(w) {}
    auto order(const std::string& op, const std::string& key, const std::string& body)
        -> awaitable<Outcome> override {
        return daemon.watchedOrder(&watch, op, key, body);
    }
    auto readState(const StateQuery& query) -> awaitable<Outcome> override {
        return daemon.watchedRead(&watch, query);
    }
    auto list(const std::string& body) -> awaitable<Outcome> override { return daemon.list(body); }
    auto where(const std::string& region, const std::string& zone) -> std::string override {
        return daemon.where(region, zone);
    }
    auto ready() -> bool override { return daemon.ready(); }
    auto duty() -> bool override { return daemon.duty(); }
    auto replicatedState() -> std::string override { return daemon.replicatedState(); }
    auto fetch(const std::string& addr, const std::string& target, Microseconds limit)
        -> awaitable<tl::expected<HttpResponse, CallError>> override {
        return daemon.fetch(addr, target, limit);
    }
    auto settings() -> const Settings& override { return daemon.settings(); }

    Daemon& daemon;
    RequestWatch& watch;
};

// Makes this a core by what its disk holds.
auto Daemon::coreStart(const DiskState& s) -> void {
    auto ps = std::vector<std::string>();
    if (auto t = readFile(op.st.data + "/peers")) {
        auto in = std::stringstream(*t);
        for (auto a = std::string(); std::getline(in, a);)
            if (parseAddress(a)) ps.push_back(a);
    }
    auto rd = std::random_device();
    auto seed = (std::uint64_t(rd()) << 32) ^ rd();
    auto l = std::lock_guard(mu_);
    if (store.setAside()) ct_.add("store_set_aside_total");
    node->addPeerHints(ps);
    node->startCore(s, fmt::format("{:016x}", hash64(op.st.node, seed)), bootNow());
    started_ = true;
}

auto Daemon::diskLoop() -> void {
    // A disk that was in trouble at the start: served without it meanwhile.
    while (!started_) {
        {
            auto l = std::unique_lock(dmu_);
            if (dcv_.wait_for(l, std::chrono::seconds(1), [&] { return stopDisk_; })) return;
        }
        if (auto r = store.open(op.st.data)) coreStart(*r);
    }
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
                bookWrite(b);
                continue;
            }
            w = std::move(dq_.front());
            dq_.pop_front();
        }
        auto r = tl::expected<void, StoreError>();
        if (gate.takes(w)) r = store.write(w);
        else {
            store.carryOver(w);
            r = tl::make_unexpected(StoreError{"behind a failed write"});
        }
        if (!r) {
            logf("disk: {}", r.error().why);
            gate.fail(w);
        }
        auto l = std::lock_guard(mu_);
        node->diskDone(w.seq, bool(r), bootNow());
    }
}

// Hints only: written aside, synced and renamed, so that a half-written one is never read.
auto Daemon::bookWrite(const std::string& s) -> void {
    auto to = op.st.data + "/peers", tmp = to + ".new";
    auto fd = ::open(tmp.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0) return;
    auto ok = ::write(fd, s.data(), s.size()) == ssize_t(s.size()) && ::fsync(fd) == 0;
    ::close(fd);
    if (!ok || ::rename(tmp.c_str(), to.c_str()) != 0) return;
    if (auto d = ::open(op.st.data.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC); d >= 0) {
        ::fsync(d);
        ::close(d);
    }
}

// ---- towards the servers: a connection carries one exchange at a time, and a second one
// only if that may run again and nothing but the first one's whole reply has come on it.

// A connection that its exchange left clean. With mu_ held.
auto Daemon::keep(Up& u, Microseconds life) -> void {
    if (!reuse_ || u.dropped || stop_.at) return;
    auto most = std::size_t(4);
    if (auto i = node->servers().find(u.server); i != node->servers().end())
        if (auto c = conns_.find(i->second.listing.serviceName); c != conns_.end())
            most = idleShare(c->second, nodes_);
    kept_.put(u.key, u.s, life, bootNow(), most);
}

// A connection on which nothing has come before the first byte is written; false if there is none.
auto Daemon::connectServer(std::int64_t x, int a, const std::string& addr, Up& u) -> awaitable<bool> {
    if (u.kept && isSocketQuiet(u.s->socket().native_handle())) co_return true;
    if (u.kept) {  // it ended, or brought bytes that nobody asked for, since it was taken
        auto l = std::lock_guard(mu_);
        if (u.dropped) co_return false;
        u.kept = false;
        u.s = std::make_shared<beast::tcp_stream>(u.ex);
    }
    auto s = u.s;
    s->expires_after(std::chrono::microseconds(CONNECT));
    auto [ec] = co_await s->async_connect(endpoint(addr), quiet);
    s->expires_never();  // the logic watches the time
    if (!ec && isSocketQuiet(s->socket().native_handle())) {
        configureSocket(s->socket().native_handle(), UNHEARD_SERVER);
        co_return true;
    }
    auto l = std::lock_guard(mu_);
    edge->onConnectionRefused(x, a, bootNow());
    co_return false;
}

// The request, if it may still be sent. From here on it counts as sent.
auto Daemon::requestFor(std::int64_t x, int a, const std::string& addr, const Up& u)
    -> std::optional<ServerRequest> {
    auto l = std::lock_guard(mu_);
    auto e = edge->find(x);
    if (u.dropped || !e || !edge->beforeFirstByte(x, a, bootNow(), u.kept)) return std::nullopt;
    auto r = ServerRequest();
    r.body = e->received.body;
    r.head = requestHead(e->received.method, e->received.path, edge->requestHeaders(*e, bootNow()),
        r.body.size(), addr, reuse_);
    r.answer.answersHead = e->received.method == "HEAD";
    r.answer.mayEndByClose = ad != nullptr;
    r.answer.notExecuted = edge->dialect().notExecuted;
    return r;
}

// A sender that reads slowly holds the server back, not the memory full. False once it has gone.
auto Daemon::waitForClient(std::int64_t x, int a, Up& u) -> awaitable<bool> {
    while (true) {
        auto d = std::shared_ptr<Down>();
        {
            auto l = std::lock_guard(mu_);
            if (!edge->find(x) || u.dropped) co_return false;
            d = down(x);
        }
        {
            auto l = std::lock_guard(d->mu);
            if (d->bytes < HELD) co_return true;
        }
        {
            auto l = std::lock_guard(mu_);
            edge->onClientSlow(x, a, bootNow());
        }
        auto t = asio::steady_timer(u.ex, std::chrono::milliseconds(20));
        co_await t.async_wait(quiet);
    }
}

// Reads the answer to its end, whatever that is, and tells the logic of it.
auto Daemon::readAnswer(std::int64_t x, int a, Up& u, const AnswerOptions& options) -> awaitable<void> {
    auto reader = AnswerReader(options);
    while (true) {
        auto [ec, n] = co_await u.s->async_read_some(reader.prepare(READ), quiet);
        if (!ec) reader.received(n);
        else reader.end(ec == asio::error::eof ? ConnectionEnd::Closed : ConnectionEnd::Reset);
        {
            auto l = std::lock_guard(mu_);
            auto delivery = deliver(reader, *edge, x, a, bootNow());
            if (delivery == Delivery::Whole && !u.broken) keep(u, reader.keepFor());
            if (delivery != Delivery::Reading) co_return;
        }
        if (!reader.streamed()) continue;
        auto there = co_await waitForClient(x, a, u);
        if (!there) co_return;
    }
}

auto Daemon::upRun(std::int64_t x, int a, std::string addr, std::shared_ptr<Up> u) -> awaitable<void> {
    auto connected = co_await connectServer(x, a, addr, *u);
    auto request = connected ? requestFor(x, a, addr, *u) : std::nullopt;
    if (request) {
        auto bytes = std::array{asio::buffer(request->head), asio::buffer(request->body)};
        auto [ec, n] = co_await asio::async_write(*u->s, bytes, quiet);
        // A server may answer and close before it has read the whole request, so that a failed
        // write is no reason not to read.
        u->broken = bool(ec);
        if (!ec) {
            auto l = std::lock_guard(mu_);
            edge->onRequestWritten(x, a);
        }
        request->head = request->body = std::string();
        co_await readAnswer(x, a, *u, request->answer);
    }
    auto l = std::lock_guard(mu_);
    ups_.erase({x, a});
}

auto Daemon::probeRun(std::string server, std::string addr) -> awaitable<void> {
    auto s = beast::tcp_stream(co_await asio::this_coro::executor);
    auto ok = false, refused = false;
    auto d = wire::ServerLoad();
    try {
        s.expires_after(std::chrono::milliseconds(900));
        co_await s.async_connect(endpoint(addr), use_awaitable);
        auto q = HttpRequest(http::verb::get, "/load", 11);
        q.set(http::field::host, addr);
        q.keep_alive(false);
        co_await http::async_write(s, q, use_awaitable);
        auto b = beast::flat_buffer(64 * 1024);
        auto r = HttpResponse();
        co_await http::async_read(s, b, r, use_awaitable);
        auto j = rapidjson::Document();
        if (r.result_int() == 200 && parseJson(r.body(), j) && j.IsObject()) {
            ok = true;
            d.prefill = std::int32_t(jsonInteger(j, "prefill"));
            d.decode = std::int32_t(jsonInteger(j, "decode"));
            d.slots = std::int32_t(jsonInteger(j, "slots"));
            d.boot = jsonInteger(j, "boot");
            d.up = jsonInteger(j, "upUs");
            d.cold = jsonBool(j, "cold");
        }
    } catch (const boost::system::system_error& e) {
        refused = e.code() == asio::error::connection_refused;
    }
    auto l = std::lock_guard(mu_);
    node->probeFinished(server, ok, refused, d, bootNow());
}

// ---- towards the senders

// A reply's head. What the logic gives is kept as it is, less what concerns one connection.
static auto headText(const HttpRequest& q, int status, const Headers& h, bool keep, Microseconds idle)
    -> std::string {
    auto t =
        fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(http::obsolete_reason(http::status(status))));
    auto names = std::string();
    for (auto& [k, v] : h)
        if (beast::iequals(k, "Connection")) names += (names.empty() ? "" : ",") + v;
    auto head = q.method() == http::verb::head;
    for (auto& [k, v] : h)
        if (!isHopByHopHeader(k, names) || (head && beast::iequals(k, "Content-Length")))
            t += k + ": " + v + "\r\n";
    if (!keep) t += "Connection: close\r\n";
    else if (q.version() == 10) t += "Connection: keep-alive\r\n";
    // A second less than what is kept to, so that a request and the close do not cross.
    if (keep && idle >= 2 * SECOND) t += fmt::format("Keep-Alive: timeout={}\r\n", idle / SECOND - 1);
    return t;
}

auto Daemon::request(beast::tcp_stream& s, beast::flat_buffer& b, const HttpRequest& q, Microseconds arrived)
    -> awaitable<bool> {
    auto ex = co_await asio::this_coro::executor;
    auto tm = std::make_shared<asio::steady_timer>(ex);
    auto h = Headers();
    auto hop = std::string();
    for (auto [i, e] = q.equal_range(http::field::connection); i != e; ++i)
        hop += (hop.empty() ? "" : ",") + std::string(i->value());
    for (auto& f : q) {
        // What concerns this connection only is not passed on, nor what its Connection names.
        auto k = std::string_view(f.name_string().data(), f.name_string().size());
        if (!isHopByHopHeader(k, hop)) h.emplace_back(std::string(k), std::string(f.value()));
    }
    auto id = std::int64_t(0);
    auto d = std::shared_ptr<Down>();
    auto idle = Microseconds(0);
    {
        auto l = std::lock_guard(mu_);
        if (ad) idle = lim_.idle;
        id = edge->accept(
            std::string(q.method_string()), std::string(q.target()), h, q.body(), bootNow(), arrived);
        d = down(id);
        auto l2 = std::lock_guard(d->mu);
        d->wake = [this, ex, tm] {
            // The only worker need not be told by way of its queue.
            if (op.workers == 1 && io.get_executor().running_in_this_thread()) tm->cancel();
            else asio::post(ex, [tm] { tm->cancel(); });
        };
    }
    // Notices a sender that goes away while it waits; what it sends ahead is kept.
    struct Watch {
        beast::tcp_stream& s;
        beast::flat_buffer& b;
        Daemon& d;
        std::int64_t id;
        bool over = false;
    };
    auto w = std::make_shared<Watch>(Watch{s, b, *this, id});
    static constexpr auto watch = [](auto self, std::shared_ptr<Watch> w) -> void {
        w->s.socket().async_wait(tcp::socket::wait_read, [self, w](beast::error_code ec) {
            if (w->over) return;
            if (!ec) {
                w->s.socket().non_blocking(true, ec);
                auto n = w->s.socket().read_some(w->b.prepare(2048), ec);
                w->b.commit(n);
                if (ec == asio::error::would_block) ec = {};
                if (!ec) {
                    if (w->b.size() < AHEAD) self(self, w);
                    return;
                }
            }
            auto l = std::lock_guard(w->d.mu_);
            w->d.edge->clientClosed(w->id, bootNow());
            w->d.push(w->id, [](Down& d) { d.ended = true, d.whole = false; });
        });
    };
    if (b.size() < AHEAD) watch(watch, w);
    auto ec = beast::error_code();
    std::size_t n = 0;
    auto good = true, begun = false, plain = q.version() < 11;
    auto keep = q.keep_alive();
    auto noBody = q.method() == http::verb::head;
    while (good) {
        auto parts = std::deque<std::string>();
        auto ready = false, fin = false, wh = false, st = false;
        {
            auto l = std::lock_guard(d->mu);
            ready = d->headReady;
            fin = d->ended;
            wh = d->whole;
            st = d->stream;
            if (ready) {
                parts.swap(d->parts);
                d->bytes = 0;
            }
        }
        if (!ready && fin) {
            good = false;
            break;
        }
        auto out = std::string();
        if (ready && !begun) {
            begun = true;
            keep = keep && !closing_ && !(st && plain);
            out = headText(q, d->status, d->h, keep, idle);
            if (!st) {
                auto none = d->status == 204 || d->status == 304 || d->status / 100 == 1;
                auto len = parts.empty() ? std::size_t(0) : parts.front().size();
                if (!none && !noBody) out += fmt::format("Content-Length: {}\r\n", len);
                out += "\r\n";
                auto body = none || noBody || parts.empty() ? std::string() : std::move(parts.front());
                s.expires_after(std::chrono::microseconds(WRITE));
                std::tie(ec, n) =
                    co_await asio::async_write(s, std::array{asio::buffer(out), asio::buffer(body)}, quiet);
                good = !ec && keep;
                break;
            }
            if (!ad || !ad->dialect.passHeaders) out += "Cache-Control: no-cache\r\n";
            out += plain ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        }
        if (ready && !noBody)
            for (auto& t : parts) {
                if (t.empty()) continue;
                if (!plain) out += fmt::format("{:x}\r\n", t.size());
                out += t;
                if (!plain) out += "\r\n";
            }
        // No final chunk for a stream that is not whole.
        if (fin && wh && !plain && !noBody) out += "0\r\n\r\n";
        if (!out.empty()) {
            s.expires_after(std::chrono::microseconds(WRITE));
            std::tie(ec, n) = co_await asio::async_write(s, asio::buffer(out), quiet);
            s.expires_never();
            good = !ec;
        }
        if (fin) {
            // Without chunks only a reset shows that the end came early.
            if (!wh && plain) s.socket().set_option(asio::socket_base::linger(true, 0), ec);
            good = good && wh && keep;
            break;
        }
        if (!good) break;
        auto more = false;
        {
            auto l = std::lock_guard(d->mu);
            more = d->ended || (d->headReady && (!begun || !d->parts.empty()));
        }
        if (more) continue;
        tm->expires_at(asio::steady_timer::time_point::max());
        co_await tm->async_wait(quiet);
    }
    w->over = true;  // the wait itself ends with the sender's next bytes
    {
        auto l = std::lock_guard(mu_);
        edge->clientClosed(id, bootNow());
        downs_.erase(id);
    }
    co_return good;
}

auto Daemon::session(tcp::socket sk, Listen& at) -> awaitable<void> {
    auto sp = std::make_shared<beast::tcp_stream>(std::move(sk));
    auto& s = *sp;
    auto b = beast::flat_buffer(64u << 20);
    auto ec = beast::error_code();
    std::size_t n = 0;
    configureSocket(s.socket().native_handle(), UNHEARD_CLIENT);
    sessions_++;
    while (true) {
        auto lim = ConnectionLimits();
        auto refusing = false;
        auto arrived = bootNow();  // the request's first byte
        {
            auto l = std::lock_guard(mu_);
            if (ad && at.kind == Listen::Sender) lim = lim_;
            refusing = refusing_;
            if (b.size() == 0 && !refusing) idle_.insert(sp);
        }
        if (b.size() == 0) {
            if (b.capacity() > 2 * READ) b.shrink_to_fit();
            if (refusing) break;
            s.expires_after(std::chrono::microseconds(lim.idle));
            std::tie(ec, n) = co_await s.async_read_some(b.prepare(READ / 2), quiet);
            {
                auto l = std::lock_guard(mu_);
                idle_.erase(sp);
            }
            if (ec) break;
            b.commit(n);
            arrived = bootNow();
        }
        auto p = http::request_parser<http::string_body>();
        p.header_limit(std::uint32_t(lim.headerBytes));
        p.body_limit(lim.bodyBytes);
        s.expires_after(std::chrono::microseconds(lim.headerRead));
        std::tie(ec, n) = co_await http::async_read_header(s, b, p, quiet);
        auto deny = [&](http::status st, std::string why) -> awaitable<void> {
            auto r = HttpResponse(st, 11);
            r.set(http::field::content_type, "application/json");
            if (auto k = ad ? ad->dialect.notExecuted : std::string("X-Not-Executed"); !k.empty())
                r.set(k, "true");
            r.keep_alive(false);
            r.body() = errorBody({{"/", why}});
            r.prepare_payload();
            s.expires_after(std::chrono::seconds(2));
            co_await http::async_write(s, r, quiet);
            // What still comes is read for a moment: closed with unread bytes, the reply is lost.
            s.socket().shutdown(tcp::socket::shutdown_send, ec);
            auto sink = std::array<char, 4096>();
            for (auto left = std::size_t(16u << 20); left > 0;) {
                std::tie(ec, n) = co_await s.async_read_some(asio::buffer(sink), quiet);
                if (ec) break;
                left -= std::min(left, n);
            }
        };
        if (!ec && p.get().count(http::field::transfer_encoding) && !p.chunked()) {
            co_await deny(http::status::bad_request, "malformed request: the body's end is not told");
            break;
        }
        // Fields behind a chunked body are no part of the header: they would name another request.
        auto header = http::fields();
        auto chunked = !ec && p.chunked();
        if (chunked) header = p.get();
        if (!ec && !p.is_done()) {
            s.expires_after(std::chrono::microseconds(BODY_READ));
            if (beast::iequals(p.get()[http::field::expect], "100-continue")) {
                auto c = http::response<http::empty_body>(http::status::continue_, 11);
                co_await http::async_write(s, c, quiet);
            }
            std::tie(ec, n) = co_await http::async_read(s, b, p, quiet);
        }
        if (ec) {
            if (ec != http::error::end_of_stream && ec != asio::error::operation_aborted) {
                auto l = std::lock_guard(ctm_);
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
        if (chunked) static_cast<http::fields&>(q) = std::move(header);
        s.expires_never();
        auto path = std::string(q.target());
        if (at.kind == Listen::Sender
            && (ad || !(path.starts_with("/v1/where") || path == "/healthz" || path == "/readyz"))) {
            if (!co_await request(s, b, q, arrived)) break;
            continue;
        }
        auto r = HttpResponse();
        auto watch = std::make_shared<RequestWatch>(
            s.socket(), bootNow(), [this](RequestWatch& gone) { callerGone(gone); });
        watch->start();
        auto shell = RequestShell(*this, *watch);
        if (at.kind == Listen::Adapted) r = co_await adapted(at.addr, q, shell);
        else r = co_await operate(q, shell);
        watch->stop();
        auto keep = q.keep_alive() && !closing_;
        r.version(11);
        r.keep_alive(keep);
        r.prepare_payload();
        s.expires_after(std::chrono::seconds(10));
        std::tie(ec, n) = co_await http::async_write(s, r, quiet);
        if (ec || !keep) break;
    }
    {
        auto l = std::lock_guard(mu_);
        idle_.erase(sp);
    }
    s.socket().shutdown(tcp::socket::shutdown_both, ec);
    s.socket().close(ec);
    sessions_--;
}

auto Daemon::listen(Listen& at) -> awaitable<void> {
    while (at.ac.is_open()) {
        auto [ec, sk] = co_await at.ac.async_accept(strand(), quiet);
        if (ec) {
            if (ec == asio::error::operation_aborted) co_return;
            auto t = asio::steady_timer(io, std::chrono::milliseconds(50));
            co_await t.async_wait(quiet);
            continue;
        }
        if (sessions_ >= SESSIONS) continue;  // closed at once
        auto ex = sk.get_executor();
        asio::co_spawn(ex, session(std::move(sk), at), asio::detached);
    }
}

// Opens every address once; the reason if that fails.
auto Daemon::bind() -> std::string {
    auto add = [&](Listen::Kind k, const std::string& a) {
        if (a.empty()) return;
        for (auto& l : listens_)
            if (l->addr == a) return;
        listens_.push_back(std::make_unique<Listen>(k, a, tcp::acceptor(io)));
    };
    add(Listen::Sender, op.st.clientAddress);
    if (ad)
        for (auto& a : ad->listens) add(Listen::Adapted, a);
    if (op.operatorListens) add(Listen::Operator, op.st.operatorAddress);
    for (auto& l : listens_) try {
            auto ep = endpoint(l->addr);
            l->ac.open(ep.protocol());
            l->ac.set_option(tcp::acceptor::reuse_address(true));
            l->ac.bind(ep);
            l->ac.listen(1024);
        } catch (const std::exception& e) {
            return l->addr + ": " + e.what();
        }
    return "";
}

auto Daemon::adapted(const std::string& at, const HttpRequest& q, Shell& sh) -> awaitable<HttpResponse> {
    try {
        co_return co_await ad->serve(at, q, sh);
    } catch (const std::exception& e) {
        logf("adapter: {}: {}", clip(std::string(q.target())), e.what());
    }
    co_return HttpResponse(http::status::internal_server_error, 11);
}

auto Daemon::duties() -> awaitable<void> {
    while (true) {
        try {
            co_await ad->duties(*this);
            co_return;
        } catch (const std::exception& e) {
            logf("adapter: duties: {}", e.what());
        }
        auto t = asio::steady_timer(io, std::chrono::seconds(1));
        co_await t.async_wait(quiet);
    }
}

// ---- towards operators and the platform

// A caller who is gone, or whose request may have lain unread while this process was stopped, may have
// been served elsewhere since: what it asks for now could undo that.
auto Daemon::watchedOrder(RequestWatch* watch, std::string o, std::string key, std::string body)
    -> awaitable<Outcome> {
    if (watch && watch->callerGone()) co_return order_answer::notLogged("the caller is gone");
    if (watch && tooLateToBegin(o, watch->arrived, bootNow()))
        co_return order_answer::notLogged("it took too long to begin; send it again");
    if (watch) {
        auto l = std::lock_guard(mu_);
        if (node->wasFrozenSince(watch->arrived, bootNow())) {
            ct_.add("orders_after_freeze_total");
            co_return order_answer::notLogged("this process was stopped meanwhile; send it again");
        }
    }
    auto begin =
        std::function<void(std::int64_t)>([&](std::int64_t id) { node->order(id, o, key, body, bootNow()); });
    co_return co_await await(begin, watch);
}
auto Daemon::watchedRead(RequestWatch* watch, StateQuery query) -> awaitable<Outcome> {
    if (watch && watch->callerGone()) co_return order_answer::readUnconfirmed("the caller is gone");
    auto begin =
        std::function<void(std::int64_t)>([&](std::int64_t id) { node->read(id, query, bootNow()); });
    co_return co_await await(begin, watch);
}
auto Daemon::callerGone(RequestWatch& watch) -> void {
    auto l = std::lock_guard(mu_);
    if (watch.call) node->cancelOrder(watch.call);
}

auto Daemon::await(std::function<void(std::int64_t)> f, RequestWatch* watch) -> awaitable<Outcome> {
    auto ex = co_await asio::this_coro::executor;
    auto tm = std::make_shared<asio::steady_timer>(ex, asio::steady_timer::time_point::max());
    auto out = std::make_shared<Outcome>();
    {
        auto l = std::lock_guard(mu_);
        auto id = ++callId_;
        if (watch) watch->call = id;
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
    if (watch) watch->call = 0;
    co_return *out;
}

static auto query(const std::string& target, const std::string& k) -> std::string {
    auto i = target.find('?');
    while (i != std::string::npos) {
        auto j = target.find('&', i + 1);
        auto kv = target.substr(i + 1, j == std::string::npos ? std::string::npos : j - i - 1);
        auto e = kv.find('=');
        if (kv.substr(0, e) == k) return e == std::string::npos ? "" : kv.substr(e + 1);
        i = j;
    }
    return "";
}

auto Daemon::operate(const HttpRequest& q, Shell& sh) -> awaitable<HttpResponse> {
    auto r = HttpResponse(http::status::ok, 11);
    r.set(http::field::content_type, "application/json");
    auto target = std::string(q.target());
    auto path = target.substr(0, target.find('?'));
    auto get = q.method() == http::verb::get;
    auto now = bootNow();
    auto set = [&](const Outcome& o) {
        r.result(unsigned(o.status));
        r.body() = o.body;
        if (o.status == 503 || o.status == 504) r.set(http::field::retry_after, "1");
    };
    auto key = std::string(q["Idempotency-Key"]);
    auto ordered = [&](const std::string& o) -> awaitable<Outcome> {
        auto k =
            key.empty() ? fmt::format("{}-{:x}-{}", op.st.node, node->ownRecord().boot, ++keys_) : clip(key);
        r.set("Idempotency-Key", k);
        auto body = q.body();
        co_return co_await sh.order(o, k, body);
    };
    if (path == "/v1/where" && get) {
        r.body() = where(query(target, "region"), query(target, "district"));
    } else if (path == "/healthz" && get) {
        r.body() = "{\"live\":true}";
    } else if (path == "/readyz" && get) {
        auto ok = ready();
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
        r.body() = edge->liveRequestsJson(now);
    } else if (path.starts_with("/v1/exchanges/") && get) {
        auto l = std::lock_guard(mu_);
        r.body() = edge->explainedRequestJson(path.substr(14), now);
        if (r.body().empty()) set({404, errorBody({{"/", "no such exchange is live or remembered here"}})});
    } else if (path == "/v1/decisions" && get) {
        auto l = std::lock_guard(mu_);
        r.body() = edge->decisionsJson(std::atoll(query(target, "after").c_str()));
    } else if ((path == "/v1/config" || path == "/v1/word" || path == "/v1/plan"
                   || path.starts_with("/v1/orders/"))
        && get) {
        auto query = StateQuery::document();
        auto o = co_await sh.readState(query);
        if (o.status == 200 && path != "/v1/word") {
            auto w = ReplicatedState();
            w.load(o.body);
            auto g = fmt::to_string(w.version);
            if (path == "/v1/config")
                o.body = bodyOf(
                    {{"generation", fmt::to_string(w.configVersion())}, {"config", jsonText(w.config())}});
            else if (path == "/v1/plan")
                o.body =
                    bodyOf({{"generation", g}, {"plan", w.planText()}, {"empties", w.evacuationsText()}});
            else {
                auto x = w.outcome(path.substr(11));
                if (x.status)
                    o.body =
                        bodyOf({{"known", "true"}, {"status", fmt::to_string(x.status)}, {"body", x.body}});
                else
                    o = {404,
                        bodyOf({{"known", "false"},
                            {"error", jsonQuote("no order of this key is in the log")}})};
            }
        }
        set(o);
    } else if (path == "/v1/config" && q.method() == http::verb::put) {
        set(co_await ordered("config"));
    } else if (path == "/v1/config" && q.method() == http::verb::patch) {
        set(co_await ordered("merge"));
    } else if (path.starts_with("/v1/orders/") && q.method() == http::verb::post) {
        set(co_await ordered(path.substr(11)));
    } else if (path == "/v1/rescue" && q.method() == http::verb::post) {
        auto j = rapidjson::Document();
        if (!parseJson(q.body(), j)) set({400, errorBody({{"/", "malformed JSON"}})});
        else if (!j.IsObject() || !jsonInteger(j, "reign") || !jsonInteger(j, "generation"))
            set({422, errorBody({{"/", "wants the reign and generation that this node holds"}})});
        else {
            auto l = std::lock_guard(mu_);
            set(node->rescue(jsonInteger(j, "reign"), jsonInteger(j, "generation"), bootNow()));
        }
    } else if (path == "/v1/platform/servers" && q.method() == http::verb::put) {
        set(co_await list(q.body()));
    } else if (path.starts_with("/v1/platform/servers/") && path.ends_with("/leaving")
        && q.method() == http::verb::post) {
        auto n = path.substr(21, path.size() - 21 - 8);
        auto j = rapidjson::Document();
        auto rev = std::int64_t(0);
        if (!q.body().empty()) {
            if (!parseJson(q.body(), j) || !j.IsObject())
                co_return set({400, errorBody({{"/", "malformed JSON"}})}), r;
            rev = jsonInteger(j, "revision");
        }
        set(co_await await([&](std::int64_t id) { node->mark(id, n, rev, bootNow()); }));
    } else {
        set({404, errorBody({{"/", "no such path or method"}})});
    }
    co_return r;
}

// What time brings; true once the process may end.
auto Daemon::tick() -> bool {
    auto quietOuts = std::vector<std::unique_ptr<PeerChannel>>();  // their threads are joined without mu_
    auto l = std::unique_lock(mu_);
    auto now = bootNow();
    node->tick(now, wallNow());
    edge->tick(now);
    if (auto& w = node->replicatedState(); w.version != limitVersion_ || w.epoch != limitEpoch_) {
        lim_ = readConnectionLimits(w.config());
        conns_.clear();
        if (w.config().IsObject() && w.config().HasMember("pools") && w.config()["pools"].IsObject())
            for (auto& p : w.config()["pools"].GetObject())
                if (p.value.IsObject()) conns_[p.name.GetString()] = jsonInteger(p.value, "maxConns");
        limitVersion_ = w.version;
        limitEpoch_ = w.epoch;
    }
    if (now - sweptAt_ > 200 * MILLISECOND) {
        sweptAt_ = now;
        ct_.set("sessions", sessions_);
        nodes_ = node->aliveNodes(now).size();
        kept_.expire(now);
        auto l2 = std::lock_guard(qmu_);
        for (auto i = outs_.begin(); i != outs_.end();)
            if (i->second->idle(now)) {
                quietOuts.push_back(std::move(i->second));
                i = outs_.erase(i);
            } else ++i;
    }
    auto end = stop_.at && stopStep(now);
    l.unlock();
    return end;
}

// One worker looks at the time between its handlers. Setting a timer costs a system call only
// where it is the earliest of all; one that always is spares the others' theirs.
auto Daemon::work() -> void {
    auto t = asio::steady_timer(io);
    auto again = std::function<void(beast::error_code)>();
    again = [&](beast::error_code ec) {
        if (ec) return;
        t.expires_after(std::chrono::milliseconds(500));
        t.async_wait([&](beast::error_code e) { again(e); });
    };
    again({});
    while (!io.stopped() && !tick()) io.run_for(std::chrono::microseconds(TICK));
    io.stop();
}

auto Daemon::ticker() -> awaitable<void> {
    auto t = asio::steady_timer(io);
    while (!tick()) {
        t.expires_after(std::chrono::microseconds(TICK));
        co_await t.async_wait(quiet);
    }
    io.stop();
}

// ---- a planned stop

auto Daemon::stopBegin() -> void {
    auto l = std::lock_guard(mu_);
    if (stop_.at) return;
    logf("stop: draining for at most {} us", ad ? op.grace : op.drain);
    stop_ = {bootNow(), ad ? op.grace : op.drain};
    node->leave(stop_.at);
    kept_.clear();
    if (ad) closing_ = true;
    else edge->drain();
}
// True once the process may end. With mu_ held.
auto Daemon::stopStep(Microseconds now) -> bool {
    // A reply that its session has not written yet is as unfinished as its exchange was.
    // Nor is a voter's seat without its successor.
    auto busy = edge->activeRequests() > 0 || !downs_.empty() || !node->voteHandedOver(now);
    auto cut = [&] {
        if (cut_) return;
        cut_ = true;
        if (edge->activeRequests()) {
            logf("stop: {} exchanges cut at the drain's limit", edge->activeRequests());
            edge->abortAll(now);
            edge->tick(now);
        }
    };
    if (!ad) {
        if (now - stop_.at < 500 * MILLISECOND) return false;  // the duty's handing over takes a moment
        if (now - stop_.at >= stop_.grace) cut();
        return !busy || now - stop_.at >= stop_.grace + 200 * MILLISECOND;
    }
    auto st = stop_.step(now, busy);
    if (st == StopStep::Serve) return false;
    if (!refusing_) {
        refusing_ = true;
        edge->stopAccepting();
        idleClose();
    }
    if (st == StopStep::Cut) cut();
    return st == StopStep::End || now - stop_.at >= stop_.grace * 95 / 100;
}
// Senders' connections that carry no request end now, and no others are taken. With mu_ held.
auto Daemon::idleClose() -> void {
    auto ec = beast::error_code();
    for (auto& l : listens_)
        if (l->kind == Listen::Sender) l->ac.close(ec);
    for (auto& s : idle_)
        asio::post(s->get_executor(), [this, s] {
            auto l = std::lock_guard(mu_);
            if (idle_.contains(s)) s->cancel();
        });
}
auto Daemon::hup() -> void {
    hup_->async_wait([this](beast::error_code ec, int) {
        if (ec) return;
        logf("SIGHUP: {}", ad ? "the settings are read again" : "settings are read at a start only");
        try {
            if (ad) ad->reload();
        } catch (const std::exception& e) {
            logf("adapter: reload: {}", e.what());
        }
        hup();
    });
}

auto Daemon::run() -> int {
    signal(SIGPIPE, SIG_IGN);
    // Memory that is free goes back; and the threads, which are many, share their heaps.
    mallopt(M_ARENA_MAX, 2);
    mallopt(M_MMAP_THRESHOLD, 128 << 10);
    mallopt(M_TRIM_THRESHOLD, 256 << 10);
    // The workers' stacks are the main thread's and the system's; those of peers are small.
    auto attr = pthread_attr_t();
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 512 << 10);
    pthread_setattr_default_np(&attr);
    pthread_attr_destroy(&attr);
    tt::GlobalOutput.setOutputFunction([](const char*) {});
    auto rd = std::random_device();
    auto seed = (std::uint64_t(rd()) << 32) ^ rd();
    // Two lives of one node never share a number, and a later one's is higher.
    node = std::make_unique<Node>(op.st, *this, ct_, wallNow(), seed);
    edge = std::make_unique<Edge>(*node, *this, ct_, seed ^ 0x5a5a, ad ? ad->dialect : Dialect());
    auto duneturn = std::thread();
    if (op.core) {
        if (auto r = store.open(op.st.data)) coreStart(*r);
        else if (auto newer = r.error().kind == StoreError::Kind::NewerFormat; !ad || newer) {
            fmt::print(stderr, "duneturn: data {}: {}\n", op.st.data, r.error().why);
            return newer ? 2 : 1;
        } else logf("disk: {}: {}; tried again each second", op.st.data, r.error().why);
    }
    if (auto why = bind(); !why.empty()) {
        fmt::print(stderr, "duneturn: cannot listen: {}\n", why);
        return 1;
    }
    auto pa = *parseAddress(op.st.peer);
    auto ss = std::make_shared<tt::transport::TServerSocket>(pa.ip, pa.port);
    ss->setRecvTimeout(45000);  // longer than a peer's own thread stays idle
    ss->setSendTimeout(2000);
    ss->setAcceptCallback([](int fd) { configureSocket(fd, 2 * SECOND); });
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
    if (op.core) duneturn = std::thread([this] { diskLoop(); });
    logf("{} {} starts: district {}, region {}, peer {}, sender {}, operator {}", op.core ? "core" : "edge",
        op.st.node, op.st.zone, op.st.region, op.st.peer, op.st.clientAddress, op.st.operatorAddress);
    auto sig = asio::signal_set(io, SIGTERM, SIGINT);
    sig.async_wait([&](beast::error_code ec, int) {
        if (!ec) stopBegin();
    });
    hup_ = std::make_unique<asio::signal_set>(io, SIGHUP);
    hup();
    for (auto& l : listens_) asio::co_spawn(io, listen(*l), asio::detached);
    if (op.workers > 1) asio::co_spawn(io, ticker(), asio::detached);
    if (ad) asio::co_spawn(io, duties(), asio::detached);
    auto ws = std::vector<std::thread>();
    for (auto i = 1; i < op.workers; i++) ws.emplace_back([this] { io.run(); });
    if (op.workers > 1) io.run();
    else work();
    for (auto& w : ws) w.join();
    srv.stop();
    {
        auto l = std::lock_guard(dmu_);
        stopDisk_ = true;
    }
    dcv_.notify_all();
    if (duneturn.joinable()) duneturn.join();
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

}  // namespace duneturn
