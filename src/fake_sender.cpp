#include <signal.h>

#include <algorithm>
#include <fstream>

#include "fakes.hpp"

namespace dt {

using asio::awaitable;
constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

// Plays the senders of a day: asks where to go, sends there, and judges what comes back
// by what a server of the named weights must have said. It trusts nothing that duneturn says.
namespace {

struct Tally {
    std::int64_t sent = 0, whole = 0, denied = 0, failed = 0, cut = 0, broken = 0, again = 0, broke = 0,
                 resumed = 0;  // streams cut, and whole all the same
    std::vector<Us> took, first;
};
struct Kind : DayKind {
    Tally t;
};

struct FakeSender {
    FakeSenderOptions op;
    asio::io_context io{1};
    std::vector<Kind> ks;
    std::vector<Str> weights, regions;
    Rng rng{1};
    std::int64_t serial = 0, live = 0;
    std::vector<Str> rulesBroken;
    std::map<Str, std::vector<Str>> where;  // region -> node addresses
    std::map<Str, Us> whereAt;
    std::ofstream log;

    auto broke(Kind& k, const Str& s) -> void {
        k.t.broken++;
        if (rulesBroken.size() < 50) rulesBroken.push_back(k.name + ": " + s);
    }
    auto ask(const Str& region) -> awaitable<void> {
        for (auto i = std::size_t(0); i < op.nodes.size(); i++) {
            auto a = op.nodes[rng.below(op.nodes.size())];
            auto s = beast::tcp_stream(io);
            s.expires_after(std::chrono::seconds(1));
            auto [e1] = co_await s.async_connect(endpoint(a), quiet);
            if (e1) continue;
            auto q = http::request<http::empty_body>(http::verb::get, "/v1/where?region=" + region, 11);
            q.set(http::field::host, a);
            q.keep_alive(false);
            auto [e2, n2] = co_await http::async_write(s, q, quiet);
            if (e2) continue;
            auto b = beast::flat_buffer();
            auto r = Res();
            auto [e3, n3] = co_await http::async_read(s, b, r, quiet);
            auto d = Doc();
            if (e3 || r.result_int() != 200 || !jsParse(r.body(), d) || !d.HasMember("nodes")) continue;
            auto v = std::vector<Str>();
            for (auto& x : d["nodes"].GetArray())
                if (v.empty() || jsStr(x, "region") == region) v.push_back(jsStr(x, "address"));
            if (v.empty()) continue;
            where[region] = v;
            whereAt[region] = bootNow();
            co_return;
        }
    }
    auto one(Kind& k) -> awaitable<void>;
    auto drive(Kind& k, Us end) -> awaitable<void>;
    auto report() -> Str;
};

auto FakeSender::one(Kind& k) -> awaitable<void> {
    live++;
    struct Less {
        std::int64_t& n;
        ~Less() { n--; }
    } less{live};
    auto region = !k.region.empty() ? k.region : regions[rng.below(regions.size())];
    auto no = ++serial;
    auto body = Str();
    auto path = k.path;
    if (k.plain) {
        if (k.method == "GET") path += fmt::format("{}", rng.below(1000));
        else body = bodyOf({{"probe", fmt::to_string(no)}, {"beat", fmt::to_string(rng.below(1000))}});
    } else {
        auto p = fmt::format("shared {} ", rng.below(std::uint64_t(std::max<std::int64_t>(1, k.prefixes))));
        while (std::int64_t(p.size()) < k.shared * 4) p += "lorem dune turns ";
        p += fmt::format("own {} of {} ", no, op.seed);
        while (std::int64_t(p.size()) < k.prompt * 4) p += "storm cell ";
        body = bodyOf({{"prompt", jsQuote(p)}, {"tokens", fmt::to_string(k.tokens)},
            {"stream", k.stream ? "true" : "false"}});
    }
    auto born = bootNow();
    k.t.sent++;
    auto pause = asio::steady_timer(io);
    // What the sender holds of a stream; a cut one it picks up at another node.
    auto last = std::int64_t(0);
    auto w = Str(), told = Str();
    auto resumes = 0;
    auto broken = [&]() -> bool {
        k.t.broke++;
        if (told.empty() || last == 0 || ++resumes > 3) return false;
        where[region].clear();
        return true;
    };
    for (auto go = 0; go < 4; go++) {
        if (where[region].empty() || bootNow() - whereAt[region] > 2 * SEC || go) co_await ask(region);
        if (where[region].empty()) {
            pause.expires_after(std::chrono::milliseconds(500));
            co_await pause.async_wait(quiet);
            continue;
        }
        // One of them, and the next where nobody is.
        auto a = Str();
        auto s = beast::tcp_stream(io);
        auto e1 = beast::error_code(asio::error::host_not_found);
        for (auto v = where[region]; e1 && !v.empty();) {
            auto i = rng.below(v.size());
            a = v[i];
            v.erase(v.begin() + std::ptrdiff_t(i));
            s.close();
            s.expires_after(std::chrono::seconds(2));
            std::tie(e1) = co_await s.async_connect(endpoint(a), quiet);
        }
        if (e1) {
            where[region].clear();
            k.t.again++;
            continue;
        }
        s.expires_after(std::chrono::microseconds(k.patience));
        auto q = Req(http::string_to_verb(k.method), path, 11);
        q.set(http::field::host, a);
        q.set("X-Region", region);
        if (last > 0) {
            q.set("Last-Event-Id", fmt::to_string(last));
            q.set("X-Weights", told);
        }
        q.keep_alive(false);
        q.body() = body;
        q.prepare_payload();
        auto [e2, n2] = co_await http::async_write(s, q, quiet);
        auto b = beast::flat_buffer();
        auto p = http::response_parser<http::buffer_body>();
        p.body_limit(boost::none);
        auto ec = e2;
        if (!ec) {
            auto [e3, n3] = co_await http::async_read_header(s, b, p, quiet);
            ec = e3;
        }
        if (ec) {
            if (last > 0 && broken()) {
                go = -1;
                continue;
            }
            (last > 0 ? k.t.cut : k.t.failed)++;
            co_return;
        }
        auto st = p.get().result_int();
        auto notRun = p.get().count("X-Not-Executed") > 0;
        auto streamed = Str(p.get()[http::field::content_type]).starts_with("text/event-stream");
        auto text = Str();
        auto sp = EventSplit();
        auto done = false, failedMark = false, wrong = false;
        if (streamed) told = Str(p.get()["X-Weights"]);
        char buf[16384];
        while (!p.is_done()) {
            p.get().body().data = buf;
            p.get().body().size = sizeof buf;
            auto [e4, n4] = co_await http::async_read_some(s, b, p, quiet);
            ec = e4 == http::error::need_buffer ? beast::error_code() : e4;
            auto got = View(buf, sizeof buf - p.get().body().size);
            if (!streamed) text += got;
            else {
                sp.feed(got);
                auto e = Event();
                while (sp.next(e)) {
                    if (done || failedMark) wrong = true, broke(k, "an event after the end");
                    if (e.type == "failed") {
                        failedMark = true;
                        continue;
                    }
                    if (e.done()) {
                        done = true;
                        if (last != k.tokens)
                            wrong = true,
                            broke(k, fmt::format("complete after {} of {} events", last, k.tokens));
                        continue;
                    }
                    auto d = Doc();
                    auto n = std::atoll(e.id.c_str());
                    if (n != last + 1) wrong = true, broke(k, fmt::format("event {} after {}", n, last));
                    last = n;
                    if (n == 1) k.t.first.push_back(bootNow() - born);
                    auto x = jsParse(e.data, d) ? jsStr(d, "text") : Str();
                    if (w.empty())
                        for (auto& c : weights)
                            if (x == fakePiece(body, c, n)) w = c;
                    if (w.empty() || x != fakePiece(body, w, n))
                        wrong = true, broke(k, fmt::format("event {} is not what a server says to this", n));
                }
            }
            if (ec) break;
        }
        auto complete = !ec && p.is_done();
        if (streamed) {
            if (complete && !done) broke(k, "a cut stream that looks whole");
            else if (complete && done && !wrong) {
                k.t.whole++;
                k.t.took.push_back(bootNow() - born);
                if (resumes) k.t.resumed++;
            } else if (!wrong && broken()) {
                go = -1;
                pause.expires_after(std::chrono::milliseconds(500 + rng.below(500)));
                co_await pause.async_wait(quiet);
                continue;
            } else k.t.cut++;
            co_return;
        }
        if (!complete) {
            k.t.failed++;
            co_return;
        }
        if (st == 200) {
            auto d = Doc();
            auto x = jsParse(text, d) ? jsStr(d, "reply") : Str();
            auto ok = std::any_of(weights.begin(), weights.end(),
                [&](auto& c) { return x == fakeWhole(k.plain ? body + path : body, c); });
            if (!ok) broke(k, "a reply that no server gave to this");
            else {
                k.t.whole++;
                k.t.took.push_back(bootNow() - born);
                k.t.first.push_back(bootNow() - born);
            }
            co_return;
        }
        if (!notRun) {
            k.t.failed++;
            co_return;
        }
        // Denied and not run: told when to come back, it comes back a few times.
        if (go == 3 || st < 500) break;
        k.t.again++;
        pause.expires_after(std::chrono::microseconds(SEC / 2 + Us(rng.below(SEC))));
        co_await pause.async_wait(quiet);
    }
    (last > 0 ? k.t.cut : k.t.denied)++;
}

auto FakeSender::drive(Kind& k, Us end) -> awaitable<void> {
    auto tm = asio::steady_timer(io);
    auto next = bootNow();
    while (bootNow() < end) {
        // Poisson arrivals.
        auto u = double((rng.next() >> 11) + 1) * 0x1.0p-53;
        next += Us(-std::log(u) / (k.rate * op.scale) * SEC);
        if (auto w = next - bootNow(); w > 0) {
            tm.expires_after(std::chrono::microseconds(w));
            co_await tm.async_wait(quiet);
        }
        if (bootNow() >= end) break;
        if (live < 5000) asio::co_spawn(io, one(k), asio::detached);
    }
}

auto FakeSender::report() -> Str {
    auto o = Str(), r = Str();
    for (auto& k : ks)
        o += (o.empty() ? "" : ",") + jsQuote(k.name) + ":"
            + bodyOf({{"sent", fmt::to_string(k.t.sent)}, {"whole", fmt::to_string(k.t.whole)},
                {"denied", fmt::to_string(k.t.denied)}, {"failed", fmt::to_string(k.t.failed)},
                {"cut", fmt::to_string(k.t.cut)}, {"brokeOff", fmt::to_string(k.t.broke)},
                {"resumed", fmt::to_string(k.t.resumed)}, {"broken", fmt::to_string(k.t.broken)},
                {"cameBack", fmt::to_string(k.t.again)}, {"p50Us", fmt::to_string(quantile(k.t.took, .5))},
                {"p99Us", fmt::to_string(quantile(k.t.took, .99))},
                {"first50Us", fmt::to_string(quantile(k.t.first, .5))},
                {"first99Us", fmt::to_string(quantile(k.t.first, .99))}});
    for (auto& s : rulesBroken) r += (r.empty() ? "" : ",") + jsQuote(s);
    return bodyOf({{"kinds", "{" + o + "}"}, {"rulesBroken", "[" + r + "]"}});
}

}  // namespace

auto fakeSenderRun(const FakeSenderOptions& o) -> int {
    signal(SIGPIPE, SIG_IGN);
    auto f = std::make_unique<FakeSender>();
    f->op = o;
    f->rng = Rng{o.seed};
    auto t = fileRead(o.day);
    auto d = Doc();
    if (!t || !jsParse(*t, d) || !d.IsObject() || !d.HasMember("kinds") || !d["kinds"].IsArray()) {
        fmt::print(stderr, "duneturn fake-sender: --day: {}\n", t ? "wants {\"kinds\":[…]}" : t.error());
        return 2;
    }
    if (o.nodes.empty()) {
        fmt::print(stderr, "duneturn fake-sender: --nodes: missing\n");
        return 2;
    }
    f->weights = jsList(d, "weights");
    f->regions = jsList(d, "regions");
    for (auto& v : d["kinds"].GetArray()) {
        auto k = Kind();
        static_cast<DayKind&>(k) = dayKind(v);
        f->ks.push_back(k);
    }
    auto end = bootNow() + o.duration;
    for (auto& k : f->ks) asio::co_spawn(f->io, f->drive(k, end), asio::detached);
    auto sig = asio::signal_set(f->io, SIGTERM, SIGINT);
    sig.async_wait([&](beast::error_code ec, int) {
        if (!ec) f->io.stop();
    });
    asio::co_spawn(
        f->io,
        [&]() -> awaitable<void> {
            auto tm = asio::steady_timer(f->io);
            while (bootNow() < end || (f->live > 0 && bootNow() < end + 90 * SEC)) {
                tm.expires_after(std::chrono::milliseconds(100));
                co_await tm.async_wait(quiet);
            }
            f->io.stop();
        },
        asio::detached);
    f->io.run();
    auto r = f->report();
    auto rd = Doc();
    jsParse(r, rd);
    if (o.report.empty()) fmt::print("{}\n", jsPretty(rd));
    else std::ofstream(o.report) << jsPretty(rd) << "\n";
    return f->rulesBroken.empty() ? 0 : 1;
}

}  // namespace dt
