#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <dirent.h>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/counters.hpp"
#include "base/file.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "sim/world.hpp"
#include "state/configuration_validation.hpp"

namespace duneturn {

static const auto FAULTS = std::vector<std::string>{"crash", "crash-many", "freeze", "cut-node",
    "cut-district", "one-way", "core-split", "lossy", "clock", "power", "disk-slow", "disk-full",
    "disk-stall", "disk-wipe", "replace-core", "server-crash", "server-dark", "server-stall", "server-slow",
    "server-wrong", "server-cut", "server-skip", "server-deny", "server-cold", "leave", "empty", "config",
    "race", "plan", "crowd", "swing", "rules", "server-roll", "late-listing", "district-loss", "total-loss",
    "total-loss-disk", "total-loss-moved", "ruin", "power-after-ack", "wipe-after-ack", "closing-wipe"};
static const auto BROKEN = std::vector<std::string>{"resend-any", "join-any", "ignore-home", "no-budget",
    "no-ramp", "cut-looks-whole", "ignore-leaving", "no-lease", "ack-early", "old-word", "ack-before-sync",
    "vote-twice", "no-quorum", "old-rules", "resume-any", "queue-leak", "late-up", "no-serve", "any-weights",
    "bad-step", "old-boot"};
auto simFaults() -> std::vector<std::string> { return FAULTS; }
auto simBroken() -> std::vector<std::string> { return BROKEN; }

auto World::ticks(int m, std::int64_t life) -> void {
    to(m, life, 25 * MILLISECOND, [this, m, life] {
        auto& x = *ms[std::size_t(m)];
        x.node->tick(x.now(), t + x.wallOff);
        x.edge->tick(x.now());
        auto& w = x.node->replicatedState();
        auto p = std::pair(w.epoch, w.version);
        if (p < x.top)
            broke("no node slips back",
                fmt::format(
                    "{} went from {}/{} to {}/{}", x.st.node, x.top.first, x.top.second, p.first, p.second));
        x.top = std::max(x.top, p);
        if (auto v = x.node->voter(); v && v->leads()) {
            auto& l = ledBy[{v->epoch(), v->term()}];
            if (l.empty()) l = v->disk();
            if (l != v->disk())
                broke("one leader a term", fmt::format("reign {} term {}", v->epoch(), v->term()));
        }
        ticks(m, life);
    });
}

// ---- servers

auto World::up(Conn* c, Microseconds d, std::function<void(Machine&)> f) -> void {
    auto sl = c->slife;
    to(c->m, c->life, d, [this, c, sl, f = std::move(f)] {
        if (!c->open) return;
        (void)sl;
        f(*ms[std::size_t(c->m)]);
    });
}
auto World::closeConn(Conn* c) -> void { c->open = false; }

auto World::serve(Conn* c, int tr, const Request& x) -> void {
    auto from = std::max<std::int64_t>(0, x.relayed.lastEventId);
    auto body = x.received.body;
    auto path = x.received.path;
    auto exid = x.received.name;
    in(lat(), [this, c, tr, from, body, path, exid] {
        auto& s = ss[std::size_t(c->s)];
        if (!s.up || s.life != c->slife) {
            up(c, lat(), [c](Machine& m) { m.edge->onConnectionLost(c->x, c->a, "reset", m.now()); });
            return;
        }
        if (s.dark) return;
        auto& k = ks[std::size_t(asks[std::size_t(trs[std::size_t(tr)].ask)].kind)];
        auto model = !k.plain;
        auto md = s.mode;
        if (md == "deny" || (model && s.prefill + s.decode >= s.slots)) {
            up(c, lat(), [c](Machine& m) {
                m.edge->onResponse(
                    c->x, c->a, 503, {{"X-Not-Executed", "true"}, {"Retry-After", "1"}}, "{}", m.now());
            });
            return;
        }
        execs.push_back({tr, c->s, from, t});
        trs[std::size_t(tr)].execs.push_back(int(execs.size()) - 1);
        r.execs++;
        checkExec(execs.back());
        auto w = s.weights;
        auto hd = Headers{{"X-Exchange-Id", md == "wrong" ? "another" : exid}, {"X-Weights", w}};
        auto slow = md == "slow" ? 20 : 1;
        if (!model) {
            in(2 * MILLISECOND * slow, [this, c, body, path, hd, w, md] {
                if (!ss[std::size_t(c->s)].up || ss[std::size_t(c->s)].life != c->slife) return;
                if (md == "stall") return;
                up(c, lat(), [c, body, path, hd, w, md](Machine& m) {
                    if (!m.edge->onResponseHead(c->x, c->a, 200, hd, m.now())) return;
                    if (md == "cut")
                        return m.edge->onConnectionLost(c->x, c->a, "the reply was cut", m.now());
                    m.edge->onResponse(c->x, c->a, 200, hd,
                        bodyOf({{"reply", jsonQuote(fakeWhole(body + path, w))}}), m.now());
                });
            });
            return;
        }
        auto left = s.cache.read(body);
        r.prompts++;
        r.cacheHits += left < std::int64_t(body.size() / 4);
        r.tokensRead += left;
        if (trs[std::size_t(tr)].execs.size() > 1) r.tokensAgain += left;
        auto isCold = s.cold && t - s.born < 20 * SECOND;
        s.prefill++;
        if (isCold) {
            // What the whole fleet may lay on a cold server: the ramp, and one for each edge
            // whose knowledge is a little old.
            auto cap = 2 + double(s.slots - 2) * double(t - s.born) / double(20 * SECOND) + 3;
            if (s.prefill + s.decode > cap)
                broke("a cold server is eased in",
                    fmt::format("{} has {} at once {} us after its return", s.name, s.prefill + s.decode,
                        t - s.born));
        }
        auto sl = s.life;
        auto prefill = std::max<Microseconds>(MILLISECOND, left * 100 * slow * (isCold ? 2 : 1));
        auto tokens = k.tokens;
        auto stream = k.stream;
        // Reading, then one token after another; a closed connection ends it.
        in(prefill, [this, c, sl, body, hd, w, md, tokens, stream, from, slow] {
            auto& s = ss[std::size_t(c->s)];
            if (s.life != sl) return;
            s.prefill--;
            s.decode++;
            if (stream)
                up(c, lat(), [c, hd](Machine& m) { m.edge->onResponseHead(c->x, c->a, 200, hd, m.now()); });
            auto step = std::make_shared<std::function<void(std::int64_t)>>();
            auto order = std::make_shared<Microseconds>(0);
            auto later = [this, c, order](std::function<void(Machine&)> f) {
                *order = std::max(*order, t + lat());
                up(c, *order - t, std::move(f));
            };
            *step = [this, c, sl, body, hd, w, md, tokens, stream, from, slow, wk = std::weak_ptr(step),
                        later](std::int64_t i) {
                auto step = wk.lock();
                auto& s = ss[std::size_t(c->s)];
                if (s.life != sl) return;
                auto leave = [&] { s.decode--; };
                if (!c->open) return leave();
                auto late = i > from + 3;
                if (stream && md == "cut" && late) {
                    later([c](Machine& m) {
                        m.edge->onConnectionLost(
                            c->x, c->a, "the stream closed before its completion mark", m.now());
                    });
                    return leave();
                }
                if (md == "stall" && late) {
                    in(100 * MILLISECOND, [step, i] { (*step)(i); });
                    return;
                }
                if (i > tokens) {
                    later([c, body, hd, w, stream](Machine& m) {
                        if (stream) {
                            auto e = ServerSentEvent{"", "done", "{}", "event: done\ndata: {}\n\n"};
                            m.edge->onStreamEvent(c->x, c->a, e, m.now());
                        } else if (m.edge->onResponseHead(c->x, c->a, 200, hd, m.now()))
                            m.edge->onResponse(c->x, c->a, 200, hd,
                                bodyOf({{"reply", jsonQuote(fakeWhole(body, w))}}), m.now());
                    });
                    return leave();
                }
                if (stream) {
                    auto n = md == "skip" && late ? i + 1 : i;
                    auto d = bodyOf({{"text", jsonQuote(fakePiece(body, w, n))}});
                    auto e =
                        ServerSentEvent{fmt::to_string(n), "", d, fmt::format("id: {}\ndata: {}\n\n", n, d)};
                    later([c, e](Machine& m) { m.edge->onStreamEvent(c->x, c->a, e, m.now()); });
                }
                in(20 * MILLISECOND * slow, [step, i] { (*step)(i + 1); });
            };
            in(20 * MILLISECOND * slow, [step, from] { (*step)(from + 1); });
        });
    });
}

auto World::serverDown(int k, bool silent) -> void {
    auto& s = ss[std::size_t(k)];
    s.up = false;
    s.life++;
    s.prefill = s.decode = 0;
    s.cache.clear();
    s.mode.clear();
    for (auto& c : conns)
        if (c->s == k && c->open && !silent) {
            auto p = c.get();
            if (ms[std::size_t(p->m)]->up && ms[std::size_t(p->m)]->life == p->life)
                up(p, lat(), [p](Machine& m) { m.edge->onConnectionLost(p->x, p->a, "reset", m.now()); });
        }
}

// ---- senders

auto World::arrive(std::size_t k) -> void {
    if (ended) return;
    auto& d = ks[k];
    auto rate = d.rate * op.scale * crowd;
    if (swing > 0 && !d.plain && !d.probe) rate *= d.stream ? 1 + swing : 1 / (1 + swing);
    if (swing < 0 && !d.plain && !d.probe) rate *= d.stream ? 1 / (1 - swing) : 1 - swing;
    auto u = double((rng.next() >> 11) + 1) * 0x1.0p-53;
    in(Microseconds(-std::log(u) / rate * SECOND), [this, k] { arrive(k); });
    ask(k, !d.region.empty() ? d.region : regions[rng.below(regions.size())]);
}

auto World::ask(std::size_t k, const std::string& region) -> void {
    auto& d = ks[k];
    auto a = Ask();
    a.kind = int(k);
    a.region = region;
    a.born = t;
    a.path = d.path;
    auto no = asks.size();
    if (d.probe) a.body = bodyOf({{"probe", fmt::to_string(no)}});
    else if (d.plain) {
        if (d.method == "GET") a.path += fmt::to_string(no);
        else a.body = bodyOf({{"probe", fmt::to_string(no)}});
    } else {
        auto p = fmt::format("shared {} ", rng.below(std::uint64_t(std::max<std::int64_t>(1, d.prefixes))));
        while (std::int64_t(p.size()) < d.shared * 4) p += "lorem dune turns ";
        p += fmt::format("own {} ", no);
        p += std::string(std::size_t(std::max<std::int64_t>(0, d.prompt * 4 - std::int64_t(p.size()))), 's');
        a.body = bodyOf({{"prompt", jsonQuote(p)}, {"tokens", fmt::to_string(d.tokens)},
            {"stream", d.stream ? "true" : "false"}});
    }
    asks.push_back(std::move(a));
    r.kinds[d.name].sent++;
    if (calmFrom && t >= calmFrom && t < calmTo) calmAsks[d.name + " from " + region].first++;
    go(int(no));
}

auto World::again(int a, bool later) -> void {
    auto& x = asks[std::size_t(a)];
    if (x.tries >= 4 || (t - x.born > 12 * SECOND && !x.moving)) {
        x.over = true;
        auto& k = r.kinds[ks[std::size_t(x.kind)].name];
        (x.moving ? k.cut : k.rejected)++;
        return;
    }
    in(later ? SECOND / 2 + Microseconds(rng.below(SECOND)) : 1 * MILLISECOND, [this, a] { go(a); });
}

auto World::go(int a) -> void {
    auto& x = asks[std::size_t(a)];
    x.tries++;
    // Asks any node where to go, then goes there.
    auto any = aliveMachine();
    if (any < 0) return again(a, true);
    auto& y = *ms[std::size_t(any)];
    auto life = y.life;
    // A node that does not answer is left after a second.
    if (y.frozen) {
        in(SECOND, [this, a] { again(a, false); });
        return;
    }
    to(any, life, lat(), [this, a, any, life] {
        auto& y = *ms[std::size_t(any)];
        auto& x = asks[std::size_t(a)];
        auto d = rapidjson::Document();
        parseJson(y.node->where(x.region, "", y.now()), d);
        auto v = std::vector<std::string>();
        for (auto& n : d["nodes"].GetArray())
            if (v.empty() || jsonString(n, "region") == x.region) v.push_back(jsonString(n, "address"));
        if (v.empty()) return again(a, true);
        // One of them, and the next where nobody is.
        auto to1 = -1;
        auto late = Microseconds(0);
        for (; !v.empty() && to1 < 0; late += lat()) {
            auto i = rng.below(v.size());
            for (auto& m : ms)
                if (m->st.clientAddress == v[i] && m->up) to1 = m->i;
            v.erase(v.begin() + std::ptrdiff_t(i));
        }
        (void)life;
        if (to1 < 0) return again(a, true);
        auto l2 = ms[std::size_t(to1)]->life;
        auto tr = int(trs.size());
        trs.push_back({});
        trs.back().ask = a;
        trs.back().m = to1;
        trs.back().life = l2;
        trs.back().last = trs.back().from = x.last;
        trs.back().said = x.weights;
        in(late + lat(), [this, tr, to1, l2] {
            auto& m = *ms[std::size_t(to1)];
            auto& T = trs[std::size_t(tr)];
            if (!m.up || m.life != l2) return lostTry(tr);
            to(to1, l2, 0, [this, tr, to1, l2] {
                auto& m = *ms[std::size_t(to1)];
                auto& T = trs[std::size_t(tr)];
                auto& x = asks[std::size_t(T.ask)];
                auto& k = ks[std::size_t(x.kind)];
                auto h = Headers{{"X-Region", x.region}};
                if (T.from) {
                    h.emplace_back("Last-Event-Id", fmt::to_string(T.from));
                    h.emplace_back("X-Weights", x.weights);
                }
                T.x = m.edge->accept(k.method, x.path, h, x.body, m.now());
                tryOf[{to1, l2, T.x}] = tr;
            });
            (void)T;
            // A sender has its patience.
            in(70 * SECOND, [this, tr, to1, l2] {
                auto& T = trs[std::size_t(tr)];
                if (T.over) return;
                lostTry(tr);
                to(to1, l2, 0, [this, tr, to1] {
                    ms[std::size_t(to1)]->edge->clientClosed(
                        trs[std::size_t(tr)].x, ms[std::size_t(to1)]->now());
                });
            });
        });
    });
}

auto World::result(int tr, const std::string& what) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    T.over = true;
    auto& x = asks[std::size_t(T.ask)];
    auto& n = ks[std::size_t(x.kind)].name;
    auto& k = r.kinds[n];
    say(fmt::format("try {} of {} at {}: {}", tr, n, ms[std::size_t(T.m)]->st.node, what));
    if (what == "cut" && T.streaming) return cutTry(tr);
    x.over = true;
    if (what == "whole") {
        k.whole++;
        k.took.push_back(t - x.born);
        if (T.execs.size() > 1) k.moved++;
        if (x.moving) k.resumed++;
        if (x.born >= lostAt) backAt.try_emplace({n, x.region}, t);
        if (calmFrom && x.born >= calmFrom && x.born < calmTo) calmAsks[n + " from " + x.region].second++;
    } else if (what == "cut") k.cut++;
    else k.failed++;
}
auto World::lostTry(int tr) -> void { result(tr, trs[std::size_t(tr)].streaming ? "cut" : "failed"); }

// A sender whose stream was cut picks it up at another node, if it was told of the weights;
// what may be resumed it does not know: that is the node's to say.
auto World::cutTry(int tr) -> void {
    auto& T = trs[std::size_t(tr)];
    auto& x = asks[std::size_t(T.ask)];
    auto& k = r.kinds[ks[std::size_t(x.kind)].name];
    k.broke++;
    if (T.weights.empty() || T.last == 0 || x.resumes >= 3) {
        x.over = true;
        k.cut++;
        return;
    }
    x.resumes++;
    x.tries = 0;
    x.moving = true;
    x.last = T.last;
    x.weights = T.weights;
    again(T.ask, true);
}

auto World::event(int tr, const std::string& raw) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto id = std::int64_t(-1);
    auto type = std::string(), data = std::string();
    for (auto i = std::size_t(0); i < raw.size();) {
        auto n = raw.find('\n', i);
        auto l = raw.substr(i, n - i);
        i = n + 1;
        if (l.starts_with("id: ")) id = std::atoll(l.c_str() + 4);
        if (l.starts_with("event: ")) type = l.substr(7);
        if (l.starts_with("data: ")) data = l.substr(6);
    }
    if (T.done || T.failed) broke("a reply is the server's", "an event after the end");
    if (type == "failed") {
        T.failed = true;
        return;
    }
    if (type == "done") {
        T.done = true;
        if (T.last != k.tokens)
            broke("a cut reply never looks whole",
                fmt::format("complete after {} of {} events", T.last, k.tokens));
        return;
    }
    if (id != T.last + 1)
        broke("nothing is dropped, repeated or joined wrongly",
            fmt::format("try {} of {}: event {} after {}", tr, k.name, id, T.last));
    T.last = id;
    if (id == 1) r.kinds[k.name].first.push_back(t - x.born);
    // All events of one stream are of one weights version, over all its runs and nodes.
    if (T.said.empty())
        for (auto v : {"w1", "w2"})
            if (data == bodyOf({{"text", jsonQuote(fakePiece(x.body, v, id))}})) T.said = v;
    if (T.said.empty() || data != bodyOf({{"text", jsonQuote(fakePiece(x.body, T.said, id))}}))
        broke("a reply is the server's", fmt::format("event {} of try {}, weights {}", id, tr, T.said));
    else if (!T.weights.empty() && T.weights != T.said)
        broke("a reply is the server's", fmt::format("try {} was told weights {}", tr, T.weights));
}
auto World::endTry(int tr, bool whole) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    if (whole && !T.done)
        broke("a cut reply never looks whole",
            fmt::format("try {} of {} ended whole without its mark after {}", tr,
                ks[std::size_t(asks[std::size_t(T.ask)].kind)].name, T.last));
    result(tr, whole && T.done ? "whole" : "cut");
}
auto World::replyTry(int tr, int status, const Headers& h, const std::string& body) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto not1 = std::any_of(h.begin(), h.end(), [](auto& f) { return f.first == "X-Not-Executed"; });
    if (status == 200) {
        auto d = rapidjson::Document();
        auto s = parseJson(body, d) ? jsonString(d, "reply") : std::string();
        auto b = k.plain ? x.body + x.path : x.body;
        if (s != fakeWhole(b, "w1") && s != fakeWhole(b, "w2"))
            broke("a reply is the server's", fmt::format("try {} of {}", tr, k.name));
        r.kinds[k.name].first.push_back(t - x.born);
        return result(tr, "whole");
    }
    if (not1) {
        T.over = T.notRun = true;
        auto d = rapidjson::Document();
        auto why = parseJson(body, d) && d.IsObject() ? jsonString(d, "error") : std::string();
        r.rejections[(T.from ? "resumed: " : "") + why.substr(0, 70)]++;
        if (!T.execs.empty()) broke("what was denied has not run", fmt::format("try {} of {}", tr, k.name));
        if (status >= 500) return again(T.ask, true);
        // It may not: coming back changes nothing.
        x.over = true;
        (x.moving ? r.kinds[k.name].cut : r.kinds[k.name].rejected)++;
        return;
    }
    say(fmt::format("reply {} {}", status, body));
    result(tr, "failed");
}

// ---- the platform

auto World::listing() -> std::string {
    auto o = std::string();
    for (auto& s : ss)
        o += (o.empty() ? "" : ",")
            + bodyOf({{"name", jsonQuote(s.name)}, {"address", jsonQuote(s.addr)},
                {"region", jsonQuote(s.region)}, {"district", jsonQuote(s.zone)},
                {"pool", jsonQuote(s.service)}, {"weights", jsonQuote(s.weights)},
                {"slots", fmt::to_string(s.slots)}, {"state", s.leaving ? "\"leaving\"" : "\"up\""},
                {"incarnation", fmt::to_string(s.life)}});
    return fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++rev, o);
}
auto World::tellPlatform(std::function<void(bool)> f, int tries) -> void {
    if (tries <= 0) return f(false);
    auto m = aliveMachine();
    if (m < 0 || ms[std::size_t(m)]->frozen) {
        in(500 * MILLISECOND, [this, f, tries] { tellPlatform(f, tries - 1); });
        return;
    }
    auto over = std::make_shared<bool>(false);
    auto text = listing();
    auto& x = *ms[std::size_t(m)];
    to(m, x.life, lat(), [this, m, f, tries, over, text] {
        auto& x = *ms[std::size_t(m)];
        auto id = ++x.callId;
        x.calls[id] = [this, f, tries, over](const Outcome& o) {
            if (*over) return;
            *over = true;
            if (o.status == 200) f(true);
            else tellPlatform(f, tries - 1);
        };
        x.node->list(id, text, x.now());
    });
    in(4 * SECOND, [this, f, tries, over] {
        if (*over) return;
        *over = true;
        tellPlatform(f, tries - 1);
    });
}
auto World::platform() -> void {
    in(SECOND, [this] { platform(); });
    tellPlatform([](bool) {}, 1);
}

// ---- operators

auto World::aliveMachine() -> int {
    for (auto k = 0; k < 40; k++) {
        auto i = int(rng.below(ms.size()));
        if (ms[std::size_t(i)]->up) return i;
    }
    return -1;
}
auto World::leader() -> int {
    for (auto& m : ms)
        if (m->up && m->core && m->node->voter()->leads()) return m->i;
    return -1;
}

auto World::order(const std::string& o, const std::string& body, const std::string& what, std::int64_t base,
    std::function<void(int)> f) -> void {
    auto m = askAt >= 0 ? askAt : aliveMachine();
    askAt = -1;
    if (m < 0) return;
    auto n = ords.size();
    ords.push_back({t, 0, 0, 0, base, o, what, {}});
    if (o == "config") {
        auto d = rapidjson::Document();
        if (parseJson(body, d) && d.HasMember("config")) {
            ords.back().cfg = std::make_shared<rapidjson::Document>();
            ords.back().cfg->CopyFrom(d["config"], ords.back().cfg->GetAllocator());
        }
    }
    r.orders++;
    auto& x = *ms[std::size_t(m)];
    say(fmt::format("order {}: {} {} base {} at {}", n, o, what, base, x.st.node));
    to(m, x.life, lat(), [this, m, n, o, body, f] {
        auto& x = *ms[std::size_t(m)];
        auto id = ++x.callId;
        x.calls[id] = [this, n, o, f](const Outcome& u) {
            auto& d = ords[n];
            if (d.over) return;  // its operator has given up waiting
            d.over = t;
            d.status = u.status;
            auto j = rapidjson::Document();
            if (parseJson(u.body, j) && j.IsObject())
                d.version = d.op == "config" && u.status == 200 ? jsonInteger(j, "configGeneration")
                                                                : jsonInteger(j, "generation");
            say(fmt::format("order {}: status {} {}", n, u.status, u.body));
            if (u.status == 200) r.acked++, r.ackTook.push_back(t - d.born);
            if (u.status == 200 && o == "empty") emptyTaken(d);
            if (u.status == 504) r.unknown++;
            if (f) f(u.status);
        };
        x.node->order(id, o, fmt::format("op-{}", n), body, x.now());
    });
    // An operator's patience, as ctl's: without a reply by then the outcome is not known.
    in(5 * SECOND, [this, n, f] {
        auto& d = ords[n];
        if (d.over) return;
        d.over = t;
        d.status = 504;
        r.unknown++;
        say(fmt::format("order {}: no reply", n));
        if (f) f(504);
    });
}
auto World::readback(std::function<void(bool, const std::string&)> f) -> void {
    auto m = aliveMachine();
    if (m < 0) {
        in(200 * MILLISECOND, [this, f] { f(false, ""); });
        return;
    }
    auto& x = *ms[std::size_t(m)];
    auto over = std::make_shared<bool>(false);
    auto born = t;
    to(m, x.life, lat(), [this, m, f, over, born] {
        auto& x = *ms[std::size_t(m)];
        auto id = ++x.callId;
        x.calls[id] = [this, f, over, born](const Outcome& o) {
            if (*over) return;
            *over = true;
            if (o.status == 200) {
                auto w = ReplicatedState();
                w.load(o.body);
                auto p = std::string();
                for (auto& v : w.config()["mappings"].GetArray())
                    if (jsonString(v, "name") == "probe") p = jsonString(v, "pool");
                // What it reads is judged with all orders at the day's end; see finish().
                auto h = HistOp();
                h.read = true;
                h.from = born;
                h.to = t;
                h.version = w.configVersion();
                h.what = p;
                for (auto i = std::size_t(0); i < ords.size(); i++)
                    if (ords[i].op == "config" && w.outcome(fmt::format("op-{}", i)).status == 200)
                        h.applied.push_back(int(i));
                hist.push_back(h);
                if (w.configVersion() && std::none_of(ords.begin(), ords.end(), [&](auto& d) {
                        auto unknown = d.over == 0 || d.status == 504 || d.status == 503;
                        return d.op == "config" && d.what == p
                            && (unknown || (d.status == 200 && d.version == w.configVersion()));
                    }))
                    broke("what was refused never takes effect",
                        fmt::format("generation {} reads {}", w.configVersion(), p));
            }
            f(o.status == 200, o.body);
        };
        x.node->read(id, x.now());
    });
    in(6 * SECOND, [over, f] {
        if (*over) return;
        *over = true;
        f(false, "");
    });
}

// The example's configuration with a probe's mapping, whose pool tells which one a node
// obeyed; with a twist, less is allowed than the example does.
auto World::probeConfig(int k, const std::string& twist) -> std::string {
    auto d = rapidjson::Document();
    parseJson(config, d);
    auto& al = d.GetAllocator();
    for (auto& m : d["mappings"].GetArray()) {
        if (twist == "no-resume") m.RemoveMember("Resumable");
        if (twist == "one-try" && m.HasMember("MaxTries")) m["MaxTries"] = 1;
        if (twist == "home" && m.HasMember("spill")) {
            m.RemoveMember("spill");
            m.AddMember("home", "@near", al);
        }
        if (twist == "no-spill") m.RemoveMember("spill");
    }
    if (twist == "no-move")
        for (auto& m : d["models"].GetObject()) m.value.RemoveMember("migrationLimit");
    auto m = rapidjson::Value(rapidjson::kObjectType);
    m.AddMember("name", "probe", al)
        .AddMember("method", "POST", al)
        .AddMember("path", "/probe", al)
        .AddMember("pool", rapidjson::Value(fmt::format("probe-{}", k), al), al)
        .AddMember("MaxTries", 1, al);
    auto sp = rapidjson::Value(rapidjson::kArrayType);
    for (auto& g : regions) sp.PushBack(rapidjson::Value(g, al), al);
    m.AddMember("spill", sp, al);
    d["mappings"].PushBack(m, al);
    return jsonText(d);
}

auto World::load() -> std::string {
    auto dir = opendir((op.example + "/nodes").c_str());
    if (!dir) return op.example + "/nodes: cannot be read";
    auto fs = std::vector<std::string>();
    while (auto e = readdir(dir))
        if (std::string n = e->d_name; n.ends_with(".json")) fs.push_back(op.example + "/nodes/" + n);
    closedir(dir);
    std::sort(fs.begin(), fs.end());
    if (fs.size() < 3) return op.example + "/nodes: wants at least three settings files";
    for (auto& f : fs) {
        auto s = readSettings(f, {});
        if (!s) return f + ": " + s.error().faults[0].path + ": " + s.error().faults[0].why;
        auto m = std::make_unique<Machine>(*this, int(ms.size()));
        m->st = *s;
        m->core = !s->data.empty();
        m->bootOff = Microseconds(rng.below(1000)) * 1000 * SECOND;
        m->wallOff = 1800000000LL * SECOND + Microseconds(rng.below(SECOND)) - SECOND / 2;
        indexByAddress[s->peer] = m->i;
        ms.push_back(std::move(m));
    }
    cut.assign(ms.size(), std::vector<int>(ms.size(), 0));
    auto t1 = readFile(op.example + "/servers.json"), t2 = readFile(op.example + "/config.json"),
         t3 = readFile(op.example + "/day.json");
    auto d1 = rapidjson::Document(), d2 = rapidjson::Document(), d3 = rapidjson::Document();
    if (!t1 || !parseJson(*t1, d1) || !d1.IsObject() || !d1.HasMember("servers"))
        return op.example + "/servers.json: no listing";
    if (!t2 || !parseJson(*t2, d2) || !validateConfiguration(d2).empty())
        return op.example + "/config.json: no sound configuration";
    if (!t3 || !parseJson(*t3, d3) || !d3.IsObject() || !d3.HasMember("kinds"))
        return op.example + "/day.json: no day";
    config = *t2;
    regions = jsonStrings(d3, "regions");
    for (auto& v : d1["servers"].GetArray()) {
        auto s = SimServer();
        s.name = jsonString(v, "name");
        s.addr = jsonString(v, "address");
        s.region = jsonString(v, "region");
        s.zone = jsonString(v, "district");
        s.service = jsonString(v, "pool");
        s.weights = jsonString(v, "weights");
        s.slots = int(jsonInteger(v, "slots", 8));
        ss.push_back(s);
    }
    for (auto i = 0; i < probes; i++) {
        auto s = SimServer();
        s.name = fmt::format("probe-{}", i);
        s.addr = fmt::format("127.0.0.1:{}", 30000 + i);
        s.region = regions[0];
        s.zone = "probes";
        s.service = s.name;
        s.weights = "w1";
        s.slots = 64;
        ss.push_back(s);
    }
    for (auto i = std::size_t(0); i < ss.size(); i++) sByAddr[ss[i].addr] = int(i);
    for (auto& v : d3["kinds"].GetArray()) {
        auto k = Kind();
        static_cast<DayKind&>(k) = dayKind(v);
        ks.push_back(k);
    }
    auto p = Kind();
    p.name = "probe";
    p.method = "POST";
    p.path = "/probe";
    p.rate = 20 / op.scale;
    p.plain = p.probe = true;
    ks.push_back(p);
    return "";
}

auto World::run() -> void {
    for (auto& m : ms) at(Microseconds(rng.below(200 * MILLISECOND)), [p = m.get()] { p->start(); });
    platform();
    // The first configuration, as soon as it is taken.
    auto first = std::make_shared<std::function<void()>>();
    *first = [this, wk = std::weak_ptr(first)] {
        auto first = wk.lock();
        putConfig(0, 0, [this, first](int st) {
            if (st != 200 && st != 409) in(500 * MILLISECOND, [first] { (*first)(); });
            else
                for (auto k = std::size_t(0); k < ks.size(); k++) in(3 * SECOND, [this, k] { arrive(k); });
        });
    };
    at(4 * SECOND, [first] { (*first)(); });
    faults();
    // Operators read back now and then.
    for (auto x = 6 * SECOND; x < op.duration; x += 3 * SECOND + Microseconds(frng.below(SECOND)))
        at(x, [this] { readback([](bool, const std::string&) {}); });
    at(op.duration - 14 * SECOND, [this] {
        say("all faults are healed");
        heal();
    });
    // Then the fleet must serve: what is asked for from 8 s later on is counted.
    if (!has("closing-wipe")) {
        at(op.duration - 6 * SECOND, [this] {
            calmFrom = t;
            calmTo = t + 5 * SECOND;
            calm();
        });
    } else
        at(op.duration - 6 * SECOND, [this] {
            // The closing fault: a majority of the disks goes, with what was acknowledged on them.
            auto n = 0;
            for (auto& m : ms)
                if (m->core && n < 2) {
                    n++;
                    r.faults++;
                    m->kill(true);
                    loseDisk(*m);
                    restart(m->i, SECOND);
                }
        });
    at(op.duration, [this] {
        ended = true;
        say("the day ends");
    });
    // The last readback must succeed once things are calm.
    auto done = std::make_shared<bool>(false);
    auto last = std::make_shared<std::function<void(int)>>();
    *last = [this, wk = std::weak_ptr(last), done](int tries) {
        auto last = wk.lock();
        readback([this, last, done, tries](bool ok, const std::string& body) {
            if (*done) return;
            if (ok) {
                *done = true;
                auto w = ReplicatedState();
                w.load(body);
                r.stateVersion = w.configVersion();
                r.epoch = w.epoch;
                say(fmt::format("day's end reads configuration {} of reign {}", w.configVersion(), w.epoch));
                // Booked moves fired once each, if their hour has come.
                for (auto& operation : w.scheduledOperations())
                    if (operation.at + 5 * SECOND < t + 1800000000LL * SECOND)
                        broke("a move fires exactly once", operation.id + " never fired");
            } else if (tries > 0) in(500 * MILLISECOND, [last, tries] { (*last)(tries - 1); });
            else dump(), broke("the newest accepted is read back at day's end", "no readback succeeds");
        });
    };
    at(op.duration + 6 * SECOND, [last] { (*last)(20); });
    // By then every exchange is over, and no place, credit or send may be held by one.
    auto stop = op.duration + 64 * SECOND;
    at(stop - SECOND, [this] { leaks(); });
    at(stop, [] {});
    while (!q.empty()) {
        auto e = q.top();
        if (e.at > stop) break;
        q.pop();
        t = e.at;
        e.f();
        if (!r.broken.empty() && r.broken.size() >= 20) break;
    }
    finish();
}

auto simRun(const SimOptions& o) -> tl::expected<SimResult, SimError> {
    for (auto& f : o.faults)
        if (std::find(FAULTS.begin(), FAULTS.end(), f) == FAULTS.end())
            return tl::make_unexpected(SimError{"unknown fault: " + f});
    if (!o.broken.empty() && std::find(BROKEN.begin(), BROKEN.end(), o.broken) == BROKEN.end())
        return tl::make_unexpected(SimError{"unknown broken variant: " + o.broken});
    if (o.duration < 40 * SECOND) return tl::make_unexpected(SimError{"a day lasts at least 40000000 us"});
    if (o.scale <= 0 || o.perMinute < 0)
        return tl::make_unexpected(SimError{"scale and faults per minute want to be positive"});
    auto w = std::make_unique<World>();
    w->op = o;
    w->rng = RandomSource{hash64("world", o.seed)};
    w->net = RandomSource{hash64("net", o.seed)};
    w->frng = RandomSource{hash64("faults", o.seed)};
    if (auto e = w->load(); !e.empty()) return tl::make_unexpected(SimError{e});
    muteLog(true);
    w->run();
    muteLog(false);
    return std::move(w->r);
}

auto simulateRun(SimOptions o, int seeds, bool json) -> int {
    auto bad = 0;
    auto first = o.seed;
    for (auto i = 0; i < seeds; i++) {
        o.seed = first + std::uint64_t(i);
        auto r = simRun(o);
        if (!r) {
            fmt::print(stderr, "duneturn simulate: {}\n", r.error().why);
            return 2;
        }
        auto ks = std::string(), ds = std::string();
        for (auto& [n, k] : r->rejections)
            ds += fmt::format("{}{}:{}", ds.empty() ? "" : ",", jsonQuote(n), k);
        for (auto& [n, k] : r->kinds)
            ks += (ks.empty() ? "" : ",") + jsonQuote(n) + ":"
                + bodyOf({{"sent", fmt::to_string(k.sent)}, {"whole", fmt::to_string(k.whole)},
                    {"moved", fmt::to_string(k.moved)}, {"denied", fmt::to_string(k.rejected)},
                    {"failed", fmt::to_string(k.failed)}, {"cut", fmt::to_string(k.cut)},
                    {"broke", fmt::to_string(k.broke)}, {"resumed", fmt::to_string(k.resumed)},
                    {"spilled", fmt::to_string(k.spilled)}, {"p50Us", fmt::to_string(quantile(k.took, .5))},
                    {"p99Us", fmt::to_string(quantile(k.took, .99))},
                    {"first50Us", fmt::to_string(quantile(k.first, .5))},
                    {"first99Us", fmt::to_string(quantile(k.first, .99))}});
        auto line = bodyOf({{"seed", fmt::to_string(o.seed)}, {"broken", fmt::to_string(r->broken.size())},
            {"digest", jsonQuote(fmt::format("{:016x}", r->digest))}, {"faults", fmt::to_string(r->faults)},
            {"firstSends", fmt::to_string(r->firsts)}, {"extraSends", fmt::to_string(r->extras)},
            {"prompts", fmt::to_string(r->prompts)}, {"cacheHits", fmt::to_string(r->cacheHits)},
            {"tokensRead", fmt::to_string(r->tokensRead)},
            {"migrations", fmt::to_string(r->counters["migrations_ongoing_total"])},
            {"resends", fmt::to_string(r->counters["migrations_new_total"])},
            {"budgetDenied", fmt::to_string(r->counters["budget_denied_total"])},
            {"tokensReadAgain", fmt::to_string(r->tokensAgain)}, {"orders", fmt::to_string(r->orders)},
            {"acknowledged", fmt::to_string(r->acked)}, {"unknown", fmt::to_string(r->unknown)},
            {"lastDisobedientUs", fmt::to_string(r->lastDisobedient)},
            {"recoveryUs", fmt::to_string(r->recovery)},
            {"configGeneration", fmt::to_string(r->stateVersion)}, {"reign", fmt::to_string(r->epoch)},
            {"denials", "{" + ds + "}"}, {"worstMinute", fmt::to_string(r->worstMinute)},
            {"ackP50Us", fmt::to_string(quantile(r->ackTook, .5))},
            {"ackP99Us", fmt::to_string(quantile(r->ackTook, .99))},
            {"markP50Us", fmt::to_string(quantile(r->markTook, .5))},
            {"markP99Us", fmt::to_string(quantile(r->markTook, .99))}, {"kinds", "{" + ks + "}"}});
        if (json) fmt::print("{}\n", line);
        else {
            auto s = std::int64_t(0), w = std::int64_t(0);
            for (auto& [n, k] : r->kinds) s += k.sent, w += k.whole;
            fmt::print(
                "seed {}: {} rules broken, {} faults, {} of {} whole, {} extra sends on {}, {} of {} orders "
                "acknowledged, digest {:016x}\n",
                o.seed, r->broken.size(), r->faults, w, s, r->extras, r->firsts, r->acked, r->orders,
                r->digest);
        }
        if (!r->broken.empty()) {
            bad++;
            if (!json) {
                for (auto& l : r->trace) fmt::print("  {}\n", l);
                for (auto& b : r->broken) fmt::print("seed {}: {}\n", o.seed, b);
            }
        }
        std::fflush(stdout);
    }
    return bad ? 1 : 0;
}

}  // namespace duneturn
