#include "simulate.hpp"

#include <dirent.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

#include "fakes.hpp"

namespace dt {

static const auto FAULTS = std::vector<Str>{"crash", "crash-many", "freeze", "cut-node", "cut-district",
    "one-way", "core-split", "lossy", "clock", "power", "disk-slow", "disk-full", "disk-stall", "disk-wipe",
    "replace-core", "server-crash", "server-dark", "server-stall", "server-slow", "server-wrong",
    "server-cut", "server-skip", "server-deny", "server-cold", "leave", "empty", "config", "race", "plan",
    "crowd", "swing", "district-loss", "total-loss", "power-after-ack", "wipe-after-ack", "closing-wipe"};
static const auto BROKEN =
    std::vector<Str>{"resend-any", "join-any", "ignore-home", "no-budget", "no-ramp", "cut-looks-whole",
        "ignore-leaving", "no-lease", "ack-early", "old-word", "ack-before-sync", "vote-twice", "no-quorum"};
auto simFaults() -> std::vector<Str> { return FAULTS; }
auto simBroken() -> std::vector<Str> { return BROKEN; }

namespace {

struct World;

struct SimDisk {
    DiskState held;               // what survives the loss of power
    std::deque<DiskWrite> under;  // written, not yet synced
    Us lat = 2 * MS;
    DiskGate gate;
    bool full = false, stalled = false, busy = false;
};

// One machine, and the process that may run on it.
struct Machine : NodePort, EdgePort {
    World& w;
    int i;
    Settings st;
    bool core = false;
    SimDisk dk;
    Us wallOff = 0, bootOff = 0;
    std::vector<Str> kept;  // the address book beside the store
    std::int64_t life = 0;
    bool up = false, frozen = false;
    std::deque<std::function<void()>> inbox;
    std::unique_ptr<Counters> ct;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls;
    std::int64_t callId = 0;
    std::pair<std::int64_t, std::int64_t> top{0, 0};

    Machine(World& ww, int k) : w(ww), i(k) {}
    auto now() const -> Us;
    auto start() -> void;
    auto kill(bool power) -> void;
    auto tell(const Str& addr, const wire::Envelope& e) -> void override;
    auto disk(const DiskWrite& x) -> void override;
    auto diskStep() -> void;
    auto done(std::int64_t id, const Outcome& o) -> void override;
    auto book(const std::vector<Str>& v) -> void override { kept = v; }
    auto probe(const Str& server, const Str& addr) -> void override;
    auto send(std::int64_t x, int a, const Str& server, const Str& addr) -> void override;
    auto drop(std::int64_t x, int a) -> void override;
    auto head(std::int64_t x, int status, const Headers& h) -> void override;
    auto part(std::int64_t x, const Str& s) -> void override;
    auto end(std::int64_t x, bool whole) -> void override;
    auto reply(std::int64_t x, int status, const Headers& h, const Str& body) -> void override;
};

struct SimServer {
    Str name, addr, region, district, pool, weights;
    int slots = 8, machine = -1;
    bool up = true, dark = false, cold = false;
    std::int64_t life = 1;
    Us born = -3600 * SEC;
    int prefill = 0, decode = 0, most = 0;
    Str mode;
    FakeCache cache;
    Us leavingAcked = 0;  // when the platform was told that the mark is held; 0 if not leaving
};

struct Conn {
    int m;
    std::int64_t life, x;
    int a, s;
    std::int64_t slife;
    bool open = true, counted = false;
};

struct Kind : DayKind {
    bool probe = false;
};

struct Ask {  // one sender's request, over its tries
    int kind = 0;
    Str region, body, path;
    Us born = 0;
    int tries = 0;
    bool over = false;
};
struct Try {
    int ask = 0, m = 0;
    std::int64_t life = 0, x = 0;
    bool over = false, streaming = false, done = false, failed = false;
    std::int64_t last = 0;
    Str weights, buf;
    std::vector<int> execs;
    bool notRun = false;
    int sends = 0;  // begun towards servers, whatever became of them
};
struct Exec {
    int tr, s;
    std::int64_t from;
    Us at;
};
// An operator's configuration order, as the operator saw it.
struct Order {
    Us born = 0, over = 0;  // over: 0 if the outcome never came
    int status = 0;
    std::int64_t gen = 0, base = 0;
    Str op, what;  // config: the probe pool that it names; empty, give-back: the district
};

struct World {
    SimOptions op;
    SimResult r;
    Rng rng{1}, net{1}, frng{1};
    Us t = 0;
    struct Ev {
        Us at;
        std::int64_t seq;
        std::function<void()> f;
    };
    struct Later {
        auto operator()(const Ev& a, const Ev& b) const -> bool {
            return a.at != b.at ? a.at > b.at : a.seq > b.seq;
        }
    };
    std::priority_queue<Ev, std::vector<Ev>, Later> q;
    std::int64_t evs = 0;
    std::vector<std::unique_ptr<Machine>> ms;
    std::map<Str, int> byAddr;
    std::vector<SimServer> ss;
    std::map<Str, int> sByAddr, sByName;
    std::vector<Kind> ks;
    std::vector<Str> regions;
    Str config;
    std::vector<std::vector<int>> cut;  // > 0: nothing passes from a to b
    double loss = 0;
    std::map<std::pair<int, int>, Us> linkAt;
    std::vector<Ask> asks;
    std::vector<Try> trs;
    std::map<std::tuple<int, std::int64_t, std::int64_t>, int> tryOf;
    std::vector<Exec> execs;
    std::vector<std::unique_ptr<Conn>> conns;
    std::map<std::tuple<int, std::int64_t, std::int64_t, int>, Conn*> connOf;
    std::vector<Order> ords;
    double crowd = 1, swing = 0;
    bool ended = false, platformOn = true;
    Us killedAll = 0, backAt = 0;
    std::map<Str, std::int64_t> sumCt;
    std::int64_t emptiesOpen = 0;
    int askAt = -1;   // the node that the next order goes to
    Us calmTill = 0;  // no other fault before this
    std::map<std::pair<std::int64_t, std::int64_t>, Str> ledBy;
    int probes = 8;

    auto at(Us when, std::function<void()> f) -> void { q.push({std::max(when, t), ++evs, std::move(f)}); }
    auto in(Us d, std::function<void()> f) -> void { at(t + d, std::move(f)); }
    // For a process: lost if that life is over, kept back while it is frozen.
    auto to(int m, std::int64_t life, Us d, std::function<void()> f) -> void {
        in(d, [this, m, life, f = std::move(f)] {
            auto& x = *ms[std::size_t(m)];
            if (!x.up || x.life != life) return;
            if (x.frozen) x.inbox.push_back(f);
            else f();
        });
    }
    auto say(const Str& s) -> void {
        auto l = fmt::format("{:>12} {}", t, s);
        r.digest = hash64(l, r.digest);
        if (!op.quiet) fmt::print("{}\n", l);
        if (r.broken.empty()) {
            r.trace.push_back(l);
            if (r.trace.size() > 4000) r.trace.erase(r.trace.begin(), r.trace.begin() + 2000);
        }
    }
    auto broke(const Str& rule, const Str& s) -> void {
        say(fmt::format("BROKEN {}: {}", rule, s));
        if (r.broken.size() < 20) r.broken.push_back(rule + ": " + s);
    }
    auto lat() -> Us { return 300 + Us(net.below(700)) + (net.chance(.01) ? Us(net.below(20 * MS)) : 0); }
    auto has(const Str& f) const -> bool {
        return std::find(op.faults.begin(), op.faults.end(), f) != op.faults.end();
    }

    auto load() -> Str;
    auto run() -> void;
    auto ticks(int m, std::int64_t life) -> void;
    auto arrive(std::size_t k) -> void;
    auto go(int a) -> void;
    auto again(int a, bool later) -> void;
    auto lostTry(int tr) -> void;
    auto event(int tr, const Str& raw) -> void;
    auto endTry(int tr, bool whole) -> void;
    auto replyTry(int tr, int status, const Headers& h, const Str& body) -> void;
    auto result(int tr, const Str& what) -> void;
    auto serve(Conn* c, int tr, const Exchange& x) -> void;
    auto up(Conn* c, Us d, std::function<void(Machine&)> f) -> void;
    auto closeConn(Conn* c) -> void;
    auto serverDown(int s, bool silent) -> void;
    auto platform() -> void;
    auto listing() -> Str;
    auto tellPlatform(std::function<void(bool)> f, int tries) -> void;
    auto order(const Str& op, const Str& body, const Str& what, std::int64_t base, std::function<void(int)> f)
        -> void;
    auto fault(const Str& f) -> void;
    auto faults() -> void;
    auto leader() -> int;
    auto aliveMachine() -> int;
    auto checkExec(const Exec& e) -> void;
    auto orderEffects(const Exec& e) -> void;
    auto finish() -> void;
    auto dump() -> void;
    auto probeConfig(int k) -> Str;
    auto readback(std::function<void(bool, const Str&)> f) -> void;
    auto startAll() -> void;
    auto heal() -> void;
};

// ---- machines

auto Machine::now() const -> Us { return w.t + bootOff; }

auto Machine::start() -> void {
    if (up) return;
    up = true;
    frozen = false;
    life++;
    inbox.clear();
    calls.clear();
    ct = std::make_unique<Counters>();
    node = std::make_unique<Node>(
        st, *this, *ct, w.t + wallOff + 1, hash64(st.node, w.op.seed * 1000 + std::uint64_t(life)));
    edge = std::make_unique<Edge>(
        *node, *this, *ct, hash64(st.node, w.op.seed * 1000 + 500 + std::uint64_t(life)));
    auto& b = w.op.broken;
    node->broken.noLease = b == "no-lease";
    node->broken.ackEarly = b == "ack-early";
    node->broken.oldWord = b == "old-word";
    edge->broken.resendAny = b == "resend-any";
    edge->broken.joinAny = b == "join-any";
    edge->broken.ignoreHome = b == "ignore-home";
    edge->broken.noBudget = b == "no-budget";
    edge->broken.noRamp = b == "no-ramp";
    edge->broken.cutLooksWhole = b == "cut-looks-whole";
    edge->broken.ignoreLeaving = b == "ignore-leaving";
    edge->broken.pickRandom = w.op.place == "random";
    edge->broken.pickLeast = w.op.place == "least";
    top = {0, 0};
    if (core) {
        dk.under.clear();
        dk.gate = {};
        dk.busy = false;
        node->hints(kept);
        node->startCore(
            dk.held, fmt::format("{:016x}", hash64(st.node, w.op.seed * 77 + std::uint64_t(life))), now());
        node->voter()->broken.ackBeforeSync = b == "ack-before-sync";
        node->voter()->broken.voteTwice = b == "vote-twice";
        node->voter()->broken.noQuorum = b == "no-quorum";
    }
    w.say(fmt::format("{} starts", st.node));
    w.ticks(i, life);
}

auto Machine::kill(bool power) -> void {
    if (!up) return;
    up = frozen = false;
    w.say(fmt::format("{} {}", st.node, power ? "loses power" : "is killed"));
    for (auto& [k, v] : ct->c)
        if (k.ends_with("_total")) w.sumCt[k] += v;
    // Under a kill alone the machine may still sync what the process had begun to write.
    if (!power)
        while (!dk.under.empty() && !dk.full && !dk.stalled && w.rng.chance(.5)) {
            diskApply(dk.held, dk.under.front());
            dk.under.pop_front();
        }
    dk.under.clear();
    edge.reset();
    node.reset();
    inbox.clear();
    calls.clear();
    for (auto& [k, tr] : w.tryOf)
        if (std::get<0>(k) == i && std::get<1>(k) == life && !w.trs[std::size_t(tr)].over)
            w.in(w.lat(), [this, tr = tr] { w.lostTry(tr); });
    for (auto& c : w.conns)
        if (c->m == i && c->life == life && c->open) w.in(w.lat(), [this, p = c.get()] { w.closeConn(p); });
}

auto Machine::tell(const Str& addr, const wire::Envelope& e) -> void {
    auto j = w.byAddr.find(addr);
    if (j == w.byAddr.end()) return;
    auto to = j->second;
    if (to == i) return;
    if (w.cut[std::size_t(i)][std::size_t(to)] > 0 || (w.loss > 0 && w.net.chance(w.loss))) return;
    auto& d = *w.ms[std::size_t(to)];
    if (!d.up) return;
    // A connection keeps its order.
    auto& l = w.linkAt[{i, to}];
    l = std::max(l, w.t + w.lat());
    auto p = std::make_shared<wire::Envelope>(e);
    w.to(to, d.life, l - w.t, [this, to, p] {
        auto& d = *w.ms[std::size_t(to)];
        if (w.cut[std::size_t(i)][std::size_t(to)] > 0) return;
        d.node->hear(*p, d.now());
    });
}

auto Machine::disk(const DiskWrite& x) -> void {
    dk.under.push_back(x);
    if (!dk.busy) diskStep();
}
auto Machine::diskStep() -> void {
    if (dk.under.empty() || dk.stalled) {
        dk.busy = false;
        return;
    }
    dk.busy = true;
    auto l = life;
    auto seq = dk.under.front().seq;
    w.in(dk.lat / 2 + Us(w.rng.below(std::uint64_t(dk.lat))), [this, l, seq] {
        if (l != life || !up || dk.under.empty() || dk.under.front().seq != seq) return;
        if (dk.stalled) {
            dk.busy = false;
            return;
        }
        auto ok = !dk.full && dk.gate.takes(dk.under.front());
        if (ok) diskApply(dk.held, dk.under.front());
        else dk.gate.fail(dk.under.front());
        dk.under.pop_front();
        w.to(i, l, 0, [this, seq, ok] { node->diskDone(seq, ok, now()); });
        diskStep();
    });
}

auto Machine::done(std::int64_t id, const Outcome& o) -> void {
    auto k = calls.find(id);
    if (k == calls.end()) return;
    auto f = std::move(k->second);
    calls.erase(k);
    auto l = life;
    w.in(w.lat(), [this, l, f = std::move(f), o] {
        if (up && life == l) f(o);
    });
}

auto Machine::probe(const Str& server, const Str& addr) -> void {
    auto j = w.sByAddr.find(addr);
    if (j == w.sByAddr.end()) return;
    auto s = j->second;
    auto l = life;
    w.in(w.lat(), [this, s, server, l] {
        auto& v = w.ss[std::size_t(s)];
        auto ok = v.up && !v.dark;
        auto d = wire::Load();
        d.prefill = v.prefill;
        d.decode = v.decode;
        d.slots = v.slots;
        d.boot = v.life;
        d.up = w.t - v.born;
        d.cold = v.cold && w.t - v.born < 20 * SEC;
        w.to(i, l,
            ok         ? w.lat()
                : v.up ? 900 * MS
                       : w.lat(),
            [this, server, ok, no = !v.up, d] { node->loadSeen(server, ok, no, d, now()); });
    });
}

auto Machine::send(std::int64_t x, int a, const Str&, const Str& addr) -> void {
    auto j = w.sByAddr.find(addr);
    w.r.sends++;
    auto l = life;
    if (j == w.sByAddr.end()) {
        w.to(i, l, w.lat(), [this, x, a] { edge->refused(x, a, now()); });
        return;
    }
    auto s = j->second;
    auto c = std::make_unique<Conn>(Conn{i, l, x, a, s, w.ss[std::size_t(s)].life, true, false});
    auto p = c.get();
    w.conns.push_back(std::move(c));
    w.connOf[{i, l, x, a}] = p;
    w.in(w.lat(), [this, p, x, a, s, l] {
        auto& v = w.ss[std::size_t(s)];
        p->slife = v.life;
        if (!v.up || v.dark) {
            w.to(i, l, v.up ? SEC : w.lat(), [this, p, x, a, l] {
                if (!p->open) return;
                p->open = false;
                if (auto k = w.tryOf.find({i, l, x}); k != w.tryOf.end())
                    w.trs[std::size_t(k->second)].sends++;
                edge->refused(x, a, now());
            });
            return;
        }
        w.to(i, l, w.lat(), [this, p, x, a, l] {
            auto e = edge->find(x);
            if (!p->open || !e || !edge->maySend(x, a, now())) {
                p->open = false;
                return;
            }
            auto tr = w.tryOf.find({i, l, x});
            if (tr == w.tryOf.end()) return;
            w.trs[std::size_t(tr->second)].sends++;
            w.serve(p, tr->second, *e);
        });
    });
}
auto Machine::drop(std::int64_t x, int a) -> void {
    auto k = w.connOf.find({i, life, x, a});
    if (k == w.connOf.end()) return;
    auto p = k->second;
    w.connOf.erase(k);
    w.in(w.lat(), [this, p] { w.closeConn(p); });
}

auto Machine::head(std::int64_t x, int, const Headers&) -> void {
    if (auto k = w.tryOf.find({i, life, x}); k != w.tryOf.end())
        w.trs[std::size_t(k->second)].streaming = true;
}
auto Machine::part(std::int64_t x, const Str& s) -> void {
    auto k = w.tryOf.find({i, life, x});
    if (k == w.tryOf.end()) return;
    auto& l = w.linkAt[{1000 + i, int(x % 1000000)}];
    l = std::max(l, w.t + w.lat());
    w.at(l, [this, tr = k->second, s] { w.event(tr, s); });
}
auto Machine::end(std::int64_t x, bool whole) -> void {
    auto k = w.tryOf.find({i, life, x});
    if (k == w.tryOf.end()) return;
    auto& l = w.linkAt[{1000 + i, int(x % 1000000)}];
    l = std::max(l, w.t + w.lat());
    w.at(l, [this, tr = k->second, whole] { w.endTry(tr, whole); });
}
auto Machine::reply(std::int64_t x, int status, const Headers& h, const Str& body) -> void {
    // accept() may reply before the world knows the exchange's number.
    auto l = life;
    w.in(w.lat(), [this, l, x, status, h, body] {
        auto k = w.tryOf.find({i, l, x});
        if (k != w.tryOf.end()) w.replyTry(k->second, status, h, body);
    });
}

auto World::ticks(int m, std::int64_t life) -> void {
    to(m, life, 25 * MS, [this, m, life] {
        auto& x = *ms[std::size_t(m)];
        x.node->tick(x.now(), t + x.wallOff);
        x.edge->tick(x.now());
        auto& w = x.node->word();
        auto p = std::pair(w.reign, w.gen);
        if (p < x.top)
            broke("no node slips back",
                fmt::format(
                    "{} went from {}/{} to {}/{}", x.st.node, x.top.first, x.top.second, p.first, p.second));
        x.top = std::max(x.top, p);
        if (auto v = x.node->voter(); v && v->leads()) {
            auto& l = ledBy[{v->reign(), v->term()}];
            if (l.empty()) l = v->disk();
            if (l != v->disk())
                broke("one leader a term", fmt::format("reign {} term {}", v->reign(), v->term()));
        }
        ticks(m, life);
    });
}

// ---- servers

auto World::up(Conn* c, Us d, std::function<void(Machine&)> f) -> void {
    auto sl = c->slife;
    to(c->m, c->life, d, [this, c, sl, f = std::move(f)] {
        if (!c->open) return;
        (void)sl;
        f(*ms[std::size_t(c->m)]);
    });
}
auto World::closeConn(Conn* c) -> void { c->open = false; }

auto World::serve(Conn* c, int tr, const Exchange& x) -> void {
    auto from = std::max<std::int64_t>(0, x.last);
    auto body = x.body;
    auto path = x.path;
    auto exid = x.exid;
    in(lat(), [this, c, tr, from, body, path, exid] {
        auto& s = ss[std::size_t(c->s)];
        if (!s.up || s.life != c->slife) {
            up(c, lat(), [c](Machine& m) { m.edge->upLost(c->x, c->a, "reset", m.now()); });
            return;
        }
        if (s.dark) return;
        auto& k = ks[std::size_t(asks[std::size_t(trs[std::size_t(tr)].ask)].kind)];
        auto model = !k.plain;
        auto md = s.mode;
        if (md == "deny" || (model && s.prefill + s.decode >= s.slots)) {
            up(c, lat(), [c](Machine& m) {
                m.edge->upWhole(
                    c->x, c->a, 503, {{"X-Not-Executed", "true"}, {"Retry-After", "1"}}, "{}", m.now());
            });
            return;
        }
        execs.push_back({tr, c->s, from, t});
        trs[std::size_t(tr)].execs.push_back(int(execs.size()) - 1);
        r.execs++;
        checkExec(execs.back());
        auto hd = Headers{{"X-Exchange-Id", md == "wrong" ? "another" : exid}};
        auto name = s.name;
        auto w = s.weights;
        auto slow = md == "slow" ? 20 : 1;
        if (!model) {
            in(2 * MS * slow, [this, c, body, path, hd, w, md] {
                if (!ss[std::size_t(c->s)].up || ss[std::size_t(c->s)].life != c->slife) return;
                if (md == "stall") return;
                up(c, lat(), [c, body, path, hd, w, md](Machine& m) {
                    if (!m.edge->upHead(c->x, c->a, 200, hd, m.now())) return;
                    if (md == "cut") return m.edge->upLost(c->x, c->a, "the reply was cut", m.now());
                    m.edge->upWhole(c->x, c->a, 200, hd,
                        bodyOf({{"reply", jsQuote(fakeWhole(body + path, w))}}), m.now());
                });
            });
            return;
        }
        auto left = s.cache.read(body);
        r.prompts++;
        r.cacheHits += left < std::int64_t(body.size() / 4);
        r.tokensRead += left;
        if (trs[std::size_t(tr)].execs.size() > 1) r.tokensAgain += left;
        auto isCold = s.cold && t - s.born < 20 * SEC;
        s.prefill++;
        s.most = std::max(s.most, s.prefill + s.decode);
        if (isCold) {
            // What the whole fleet may lay on a cold server: the ramp, and one for each edge
            // whose knowledge is a little old.
            auto cap = 2 + double(s.slots - 2) * double(t - s.born) / double(20 * SEC) + 3;
            if (s.prefill + s.decode > cap)
                broke("a cold server is eased in",
                    fmt::format("{} has {} at once {} us after its return", s.name, s.prefill + s.decode,
                        t - s.born));
        }
        auto sl = s.life;
        auto prefill = std::max<Us>(MS, left * 100 * slow * (isCold ? 2 : 1));
        auto tokens = k.tokens;
        auto stream = k.stream;
        // Reading, then one token after another; a closed connection ends it.
        in(prefill, [this, c, sl, body, hd, w, md, tokens, stream, from, slow] {
            auto& s = ss[std::size_t(c->s)];
            if (s.life != sl) return;
            s.prefill--;
            s.decode++;
            if (stream) up(c, lat(), [c, hd](Machine& m) { m.edge->upHead(c->x, c->a, 200, hd, m.now()); });
            auto step = std::make_shared<std::function<void(std::int64_t)>>();
            auto order = std::make_shared<Us>(0);
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
                        m.edge->upLost(c->x, c->a, "the stream closed before its completion mark", m.now());
                    });
                    return leave();
                }
                if (md == "stall" && late) {
                    in(100 * MS, [step, i] { (*step)(i); });
                    return;
                }
                if (i > tokens) {
                    later([c, body, hd, w, stream](Machine& m) {
                        if (stream) {
                            auto e = Event{"", "done", "{}", "event: done\ndata: {}\n\n"};
                            m.edge->upEvent(c->x, c->a, e, m.now());
                        } else if (m.edge->upHead(c->x, c->a, 200, hd, m.now()))
                            m.edge->upWhole(c->x, c->a, 200, hd,
                                bodyOf({{"reply", jsQuote(fakeWhole(body, w))}}), m.now());
                    });
                    return leave();
                }
                if (stream) {
                    auto n = md == "skip" && late ? i + 1 : i;
                    auto d = bodyOf({{"text", jsQuote(fakePiece(body, w, n))}});
                    auto e = Event{fmt::to_string(n), "", d, fmt::format("id: {}\ndata: {}\n\n", n, d)};
                    later([c, e](Machine& m) { m.edge->upEvent(c->x, c->a, e, m.now()); });
                }
                in(20 * MS * slow, [step, i] { (*step)(i + 1); });
            };
            in(20 * MS * slow, [step, from] { (*step)(from + 1); });
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
                up(p, lat(), [p](Machine& m) { m.edge->upLost(p->x, p->a, "reset", m.now()); });
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
    in(Us(-std::log(u) / rate * SEC), [this, k] { arrive(k); });
    auto a = Ask();
    a.kind = int(k);
    a.region = !d.region.empty() ? d.region : regions[rng.below(regions.size())];
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
        p += Str(std::size_t(std::max<std::int64_t>(0, d.prompt * 4 - std::int64_t(p.size()))), 's');
        a.body = bodyOf({{"prompt", jsQuote(p)}, {"tokens", fmt::to_string(d.tokens)},
            {"stream", d.stream ? "true" : "false"}});
    }
    asks.push_back(std::move(a));
    r.kinds[d.name].sent++;
    go(int(no));
}

auto World::again(int a, bool later) -> void {
    auto& x = asks[std::size_t(a)];
    if (x.tries >= 4 || t - x.born > 12 * SEC) {
        x.over = true;
        r.kinds[ks[std::size_t(x.kind)].name].denied++;
        return;
    }
    in(later ? SEC / 2 + Us(rng.below(SEC)) : 1 * MS, [this, a] { go(a); });
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
        in(SEC, [this, a] { again(a, false); });
        return;
    }
    to(any, life, lat(), [this, a, any, life] {
        auto& y = *ms[std::size_t(any)];
        auto& x = asks[std::size_t(a)];
        auto d = Doc();
        jsParse(y.node->where(x.region, "", y.now()), d);
        auto v = std::vector<Str>();
        for (auto& n : d["nodes"].GetArray())
            if (v.empty() || jsStr(n, "region") == x.region) v.push_back(jsStr(n, "address"));
        if (v.empty()) return again(a, true);
        auto addr = v[rng.below(v.size())];
        auto to1 = -1;
        for (auto& m : ms)
            if (m->st.sender == addr) to1 = m->i;
        (void)life;
        if (to1 < 0 || !ms[std::size_t(to1)]->up) {
            in(lat(), [this, a] { again(a, false); });
            return;
        }
        auto l2 = ms[std::size_t(to1)]->life;
        auto tr = int(trs.size());
        trs.push_back({});
        trs.back().ask = a;
        trs.back().m = to1;
        trs.back().life = l2;
        in(lat() * 2, [this, tr, to1, l2] {
            auto& m = *ms[std::size_t(to1)];
            auto& T = trs[std::size_t(tr)];
            if (!m.up || m.life != l2) return lostTry(tr);
            to(to1, l2, 0, [this, tr, to1, l2] {
                auto& m = *ms[std::size_t(to1)];
                auto& T = trs[std::size_t(tr)];
                auto& x = asks[std::size_t(T.ask)];
                auto& k = ks[std::size_t(x.kind)];
                T.x = m.edge->accept(k.method, x.path, {{"X-Region", x.region}}, x.body, m.now());
                tryOf[{to1, l2, T.x}] = tr;
            });
            (void)T;
            // A sender has its patience.
            in(70 * SEC, [this, tr, to1, l2] {
                auto& T = trs[std::size_t(tr)];
                if (T.over) return;
                lostTry(tr);
                to(to1, l2, 0, [this, tr, to1] {
                    ms[std::size_t(to1)]->edge->gone(trs[std::size_t(tr)].x, ms[std::size_t(to1)]->now());
                });
            });
        });
    });
}

auto World::result(int tr, const Str& what) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    T.over = true;
    auto& x = asks[std::size_t(T.ask)];
    x.over = true;
    auto& k = r.kinds[ks[std::size_t(x.kind)].name];
    if (what == "whole") {
        k.whole++;
        k.took.push_back(t - x.born);
        if (T.execs.size() > 1) k.moved++;
        if (killedAll && !backAt && x.born > killedAll) backAt = t;
    } else if (what == "cut") k.cut++;
    else k.failed++;
    say(fmt::format(
        "try {} of {} at {}: {}", tr, ks[std::size_t(x.kind)].name, ms[std::size_t(T.m)]->st.node, what));
}
auto World::lostTry(int tr) -> void { result(tr, trs[std::size_t(tr)].streaming ? "cut" : "failed"); }

auto World::event(int tr, const Str& raw) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto id = std::int64_t(-1);
    auto type = Str(), data = Str();
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
    if (data != bodyOf({{"text", jsQuote(fakePiece(x.body, "w1", id))}}))
        broke("a reply is the server's", fmt::format("event {} of try {}", id, tr));
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
auto World::replyTry(int tr, int status, const Headers& h, const Str& body) -> void {
    auto& T = trs[std::size_t(tr)];
    if (T.over) return;
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto not1 = std::any_of(h.begin(), h.end(), [](auto& f) { return f.first == "X-Not-Executed"; });
    if (status == 200) {
        auto d = Doc();
        auto s = jsParse(body, d) ? jsStr(d, "reply") : Str();
        if (s != fakeWhole(k.plain ? x.body + x.path : x.body, "w1"))
            broke("a reply is the server's", fmt::format("try {} of {}", tr, k.name));
        r.kinds[k.name].first.push_back(t - x.born);
        return result(tr, "whole");
    }
    if (not1) {
        T.over = T.notRun = true;
        if (!T.execs.empty()) broke("what was denied has not run", fmt::format("try {} of {}", tr, k.name));
        return again(T.ask, true);
    }
    say(fmt::format("reply {} {}", status, body));
    result(tr, "failed");
}

// ---- the platform

auto World::listing() -> Str {
    auto o = Str();
    for (auto& s : ss)
        o += (o.empty() ? "" : ",")
            + bodyOf({{"name", jsQuote(s.name)}, {"address", jsQuote(s.addr)}, {"region", jsQuote(s.region)},
                {"district", jsQuote(s.district)}, {"pool", jsQuote(s.pool)}, {"weights", jsQuote(s.weights)},
                {"slots", fmt::to_string(s.slots)}, {"state", s.leavingAcked ? "\"leaving\"" : "\"up\""},
                {"incarnation", fmt::to_string(s.life)}});
    return "{\"servers\":[" + o + "]}";
}
auto World::tellPlatform(std::function<void(bool)> f, int tries) -> void {
    if (tries <= 0) return f(false);
    auto m = aliveMachine();
    if (m < 0 || ms[std::size_t(m)]->frozen) {
        in(500 * MS, [this, f, tries] { tellPlatform(f, tries - 1); });
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
    in(4 * SEC, [this, f, tries, over] {
        if (*over) return;
        *over = true;
        tellPlatform(f, tries - 1);
    });
}
auto World::platform() -> void {
    if (!platformOn) return;
    in(SEC, [this] { platform(); });
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

auto World::order(
    const Str& o, const Str& body, const Str& what, std::int64_t base, std::function<void(int)> f) -> void {
    auto m = askAt >= 0 ? askAt : aliveMachine();
    askAt = -1;
    if (m < 0) return;
    auto n = ords.size();
    ords.push_back({t, 0, 0, 0, base, o, what});
    r.orders++;
    auto& x = *ms[std::size_t(m)];
    say(fmt::format("order {}: {} {} base {} at {}", n, o, what, base, x.st.node));
    to(m, x.life, lat(), [this, m, n, o, body, f] {
        auto& x = *ms[std::size_t(m)];
        auto id = ++x.callId;
        x.calls[id] = [this, n, f](const Outcome& u) {
            auto& d = ords[n];
            d.over = t;
            d.status = u.status;
            auto j = Doc();
            if (jsParse(u.body, j) && j.IsObject())
                d.gen = d.op == "config" && u.status == 200 ? jsInt(j, "configGeneration")
                                                            : jsInt(j, "generation");
            say(fmt::format("order {}: status {} {}", n, u.status, u.body));
            if (u.status == 200) r.acked++;
            if (u.status == 504) r.unknown++;
            if (f) f(u.status);
        };
        x.node->order(id, o, fmt::format("op-{}", n), body, x.now());
    });
}
auto World::readback(std::function<void(bool, const Str&)> f) -> void {
    auto m = aliveMachine();
    if (m < 0) {
        in(200 * MS, [this, f] { f(false, ""); });
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
                auto w = Word();
                w.load(o.body);
                auto p = Str();
                for (auto& v : w.config()["mappings"].GetArray())
                    if (jsStr(v, "name") == "probe") p = jsStr(v, "pool");
                // A readback is at least as new as all that was acknowledged before it was asked for.
                for (auto& d : ords)
                    if (d.op == "config" && d.status == 200 && d.over && d.over <= born) {
                        if (d.gen > w.configGen())
                            broke("readback is the newest accepted",
                                fmt::format(
                                    "read generation {} after {} was acknowledged", w.configGen(), d.gen));
                        if (d.gen == w.configGen() && d.what != p)
                            broke("readback is the newest accepted",
                                fmt::format("generation {} reads {} and was {}", d.gen, p, d.what));
                    }
                auto known = w.configGen() == 0;
                for (auto& d : ords)
                    if (d.op == "config" && d.what == p
                        && (d.over == 0 || d.status == 504 || d.status == 503
                            || (d.status == 200 && d.gen == w.configGen())))
                        known = true;
                if (!known)
                    broke("what was refused never takes effect",
                        fmt::format("generation {} reads {}", w.configGen(), p));
            }
            f(o.status == 200, o.body);
        };
        x.node->read(id, x.now());
    });
    in(6 * SEC, [over, f] {
        if (*over) return;
        *over = true;
        f(false, "");
    });
}

auto World::probeConfig(int k) -> Str {
    auto d = Doc();
    jsParse(config, d);
    auto& al = d.GetAllocator();
    auto m = Val(rapidjson::kObjectType);
    m.AddMember("name", "probe", al)
        .AddMember("method", "POST", al)
        .AddMember("path", "/probe", al)
        .AddMember("pool", Val(fmt::format("probe-{}", k), al), al)
        .AddMember("MaxTries", 1, al);
    auto sp = Val(rapidjson::kArrayType);
    for (auto& g : regions) sp.PushBack(Val(g, al), al);
    m.AddMember("spill", sp, al);
    d["mappings"].PushBack(m, al);
    return js(d);
}

// What an order says must hold of every send: judged by the servers' own hour.
auto World::orderEffects(const Exec& e) -> void {
    auto& s = ss[std::size_t(e.s)];
    if (s.leavingAcked && t - s.leavingAcked > 0) {
        r.lastDisobedient = std::max(r.lastDisobedient, t - s.leavingAcked);
        if (t - s.leavingAcked > op.leaveLimit)
            broke("nothing new reaches a leaving server",
                fmt::format("{} {} us after the mark was taken", s.name, t - s.leavingAcked));
    }
    // Emptied districts: in the order of generations; an unknown outcome may stand or not.
    auto since = Us(0);
    auto sure = true;
    auto gen = std::int64_t(0);
    for (auto& d : ords)
        if ((d.op == "empty" || d.op == "give-back") && d.what == s.district) {
            if (d.over && d.status == 200) {
                if (d.gen > gen) {
                    gen = d.gen;
                    since = d.op == "empty" ? d.over : 0;
                    sure = true;
                }
            } else if (!d.over || d.status == 504) {
                if (d.op == "give-back") sure = false;
            }
            if (d.op == "give-back" && d.status != 200 && !d.over) sure = false;
        }
    if (since && sure && t > since) {
        r.lastDisobedient = std::max(r.lastDisobedient, t - since);
        if (t - since > 5 * SEC)
            broke("nothing new reaches an emptied zone",
                fmt::format("{} in {} {} us after the order", s.name, s.district, t - since));
    }
    // The probe's pool tells which configuration the sender's node obeyed.
    if (s.pool.starts_with("probe-")) {
        auto newest = std::int64_t(-1);
        for (auto& d : ords)
            if (d.op == "config" && d.status == 200 && d.over && t - d.over > 3 * SEC)
                newest = std::max(newest, d.gen);
        auto ok = false;
        for (auto& d : ords)
            if (d.op == "config" && d.what == s.pool) {
                if (d.over && d.status == 200) ok = ok || d.gen >= newest;
                else if (!d.over || d.status == 504 || d.status == 503) ok = true;
            }
        if (!ok)
            broke("an acknowledged configuration is obeyed within 3 s",
                fmt::format("{} was reached, generation {} is in force", s.pool, newest));
        for (auto& d : ords)
            if (d.op == "config" && d.status == 200 && d.over && d.what != s.pool && d.over < t) {
                auto older = std::none_of(ords.begin(), ords.end(), [&](auto& o) {
                    return o.op == "config" && o.what == s.pool && (o.status != 200 || o.gen >= d.gen);
                });
                if (older) r.lastDisobedient = std::max(r.lastDisobedient, t - d.over);
            }
    }
}

auto World::checkExec(const Exec& e) -> void {
    auto& T = trs[std::size_t(e.tr)];
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto& s = ss[std::size_t(e.s)];
    if (T.notRun)
        broke("what was denied has not run",
            fmt::format("try {} of {} ran on {} after its denial", e.tr, k.name, s.name));
    auto c = Doc();
    jsParse(config, c);
    for (auto& v : c["mappings"].GetArray()) {
        if (jsStr(v, "name") != k.name) continue;
        if (T.execs.size() > 1 && !jsBool(v, "Resumable"))
            broke("a stream that cannot be resumed never runs twice",
                fmt::format("try {} of {} runs again on {}", e.tr, k.name, s.name));
        auto h = jsStr(v, "home");
        if (h == "@near") h = x.region;
        if (!h.empty() && h != s.region)
            broke("a home region is never left", fmt::format("{} with home {} on {}", k.name, h, s.name));
        if (s.region != x.region) r.kinds[k.name].spilled++;
    }
    if (T.execs.size() > 1) {
        say(fmt::format("try {} moves to {} after event {}", e.tr, s.name, e.from));
    }
    orderEffects(e);
}

// ---- faults

auto World::heal() -> void {
    for (auto& v : cut)
        for (auto& c : v) c = 0;
    loss = 0;
    crowd = 1;
    swing = 0;
    for (auto& m : ms) {
        m->dk.full = m->dk.stalled = false;
        m->dk.lat = 2 * MS;
        if (m->up && m->core && !m->dk.busy) m->diskStep();
        if (m->up && m->frozen) {
            m->frozen = false;
            auto ib = std::move(m->inbox);
            m->inbox.clear();
            for (auto& f : ib) to(m->i, m->life, 0, f);
        }
        if (!m->up) m->start();
    }
    for (auto& s : ss) {
        s.dark = false;
        s.mode.clear();
        if (!s.up) {
            s.up = true;
            s.life++;
            s.born = t;
            s.cold = true;
        }
    }
}

auto World::fault(const Str& f) -> void {
    auto alone = f == "total-loss" || f.ends_with("-after-ack");
    if (!alone && t < calmTill) return;
    r.faults++;
    auto n = int(frng.below(ms.size()));
    auto& m = *ms[std::size_t(n)];
    auto sv = int(frng.below(ss.size() - std::size_t(probes)));
    auto& s = ss[std::size_t(sv)];
    auto span = SEC + Us(frng.below(5 * SEC));
    auto cores = std::vector<int>();
    for (auto& x : ms)
        if (x->core) cores.push_back(x->i);
    auto c = cores[frng.below(cores.size())];
    if (frng.chance(.4) && leader() >= 0) c = leader();
    auto& k = *ms[std::size_t(c)];
    say("fault " + f);
    auto restart = [this](int i, Us d) {
        in(d, [this, i] {
            if (!ended) ms[std::size_t(i)]->start();
        });
    };
    auto cutBoth = [this](auto pa, auto pb, int d) {
        for (auto& a : ms)
            for (auto& b : ms)
                if (a->i != b->i && ((pa(*a) && pb(*b)) || (pb(*a) && pa(*b))))
                    cut[std::size_t(a->i)][std::size_t(b->i)] += d;
    };
    if (f == "crash") {
        m.kill(false);
        restart(n, span);
    } else if (f == "power") {
        k.kill(true);
        restart(c, span);
    } else if (f == "crash-many") {
        for (auto& x : ms)
            if (frng.chance(.4)) x->kill(frng.chance(.5)), restart(x->i, span + Us(frng.below(SEC)));
    } else if (f == "freeze") {
        auto i = frng.chance(.3) ? c : n;
        auto& x = *ms[std::size_t(i)];
        if (!x.up || x.frozen) return;
        x.frozen = true;
        say(x.st.node + " freezes");
        auto l = x.life;
        in(3 * SEC + span, [this, i, l] {
            auto& x = *ms[std::size_t(i)];
            if (!x.up || x.life != l || !x.frozen) return;
            x.frozen = false;
            say(x.st.node + " wakes");
            auto ib = std::move(x.inbox);
            x.inbox.clear();
            for (auto& g : ib) to(i, l, 0, g);
        });
    } else if (f == "cut-node" || f == "core-split") {
        auto i = f == "cut-node" ? n : c;
        auto core = f == "core-split";
        auto pa = [i](Machine& x) { return x.i == i; };
        auto pb = [i, core](Machine& x) { return x.i != i && (!core || x.core); };
        cutBoth(pa, pb, 1);
        in(span, [=, this] {
            if (!ended) cutBoth(pa, pb, -1);
        });
    } else if (f == "cut-district") {
        auto z = m.st.district;
        auto pa = [z](Machine& x) { return x.st.district == z; };
        auto pb = [z](Machine& x) { return x.st.district != z; };
        cutBoth(pa, pb, 1);
        in(span, [=, this] {
            if (!ended) cutBoth(pa, pb, -1);
        });
    } else if (f == "one-way") {
        auto i = frng.chance(.5) ? c : n;
        auto outw = frng.chance(.5);
        auto set = [this, i, outw](int d) {
            for (auto& x : ms)
                if (x->i != i)
                    (outw ? cut[std::size_t(i)][std::size_t(x->i)]
                          : cut[std::size_t(x->i)][std::size_t(i)]) += d;
        };
        set(1);
        in(span, [this, set] {
            if (!ended) set(-1);
        });
    } else if (f == "lossy") {
        loss = 0.2;
        in(span, [this] { loss = 0; });
    } else if (f == "clock") {
        auto j = (frng.chance(.5) ? 1 : -1) * (10 * SEC + Us(frng.below(3600 * SEC)));
        m.wallOff += j;
        in(span + 10 * SEC, [this, n, j] { ms[std::size_t(n)]->wallOff -= j; });
    } else if (f == "disk-slow") {
        k.dk.lat = 300 * MS;
        in(span, [this, c] { ms[std::size_t(c)]->dk.lat = 2 * MS; });
    } else if (f == "disk-full") {
        k.dk.full = true;
        in(span, [this, c] { ms[std::size_t(c)]->dk.full = false; });
    } else if (f == "disk-stall") {
        k.dk.stalled = true;
        in(span, [this, c] {
            auto& k = *ms[std::size_t(c)];
            k.dk.stalled = false;
            if (k.up && !k.dk.busy) k.diskStep();
        });
    } else if (f == "disk-wipe" || f == "replace-core") {
        // One disk at a time: what the fleet is built to lose.
        auto blank = 0;
        for (auto i : cores)
            blank += !ms[std::size_t(i)]->up || ms[std::size_t(i)]->node->voter()->blank()
                || (leader() >= 0
                    && !std::any_of(ms[std::size_t(leader())]->node->word().voters().size()
                            ? ms[std::size_t(leader())]->node->word().d["voters"].Begin()
                            : nullptr,
                        ms[std::size_t(leader())]->node->word().d["voters"].End(), [&](auto& v) {
                            return jsStr(v, "disk") == ms[std::size_t(i)]->node->voter()->disk();
                        }));
        if (blank || leader() < 0) return;
        k.kill(true);
        k.dk.held = {};
        k.kept.clear();
        say(k.st.node + " loses its disk");
        if (f == "replace-core") {
            byAddr.erase(k.st.peer);
            auto p = addrParse(k.st.peer)->port + 1000 + int(frng.below(1000));
            k.st.peer = fmt::format("127.0.0.1:{}", p);
            byAddr[k.st.peer] = c;
            k.wallOff += 1;
        }
        restart(c, span);
    } else if (f.starts_with("server-")) {
        auto md = f.substr(7);
        if (!s.up) return;
        auto back = [this, sv](Us d) {
            in(d, [this, sv] {
                auto& s = ss[std::size_t(sv)];
                if (s.up) return;
                s.up = true;
                s.life++;
                s.born = t;
                s.cold = true;
                s.leavingAcked = 0;
                say(s.name + " returns cold");
            });
        };
        if (md == "crash" || md == "cold") {
            say(s.name + " crashes");
            serverDown(sv, false);
            back(md == "cold" ? SEC : span);
        } else if (md == "dark") {
            s.dark = true;
            say(s.name + " goes dark");
            auto l = s.life;
            for (auto& x : conns)
                if (x->s == sv) x->slife = -1;
            in(span, [this, sv, l] {
                auto& s = ss[std::size_t(sv)];
                s.dark = false;
                if (s.life == l) serverDown(sv, true), s.up = true, s.born = t, s.cold = true;
            });
        } else {
            s.mode = md;
            say(s.name + " goes " + md);
            auto l = s.life;
            in(span, [this, sv, l, md] {
                auto& s = ss[std::size_t(sv)];
                if (s.life == l && s.mode == md) s.mode.clear();
            });
        }
    } else if (f == "leave") {
        if (!s.up || s.leavingAcked) return;
        // Marked through any node until one takes it, then taken away at short notice.
        auto mk = std::make_shared<std::function<void(int)>>();
        *mk = [this, sv, wk = std::weak_ptr(mk)](int tries) {
            auto mk = wk.lock();
            auto i = aliveMachine();
            if (tries <= 0 || i < 0 || ended) return;
            auto& x = *ms[std::size_t(i)];
            auto over = std::make_shared<bool>(false);
            to(i, x.life, lat(), [this, i, sv, mk, tries, over] {
                auto& x = *ms[std::size_t(i)];
                auto id = ++x.callId;
                x.calls[id] = [this, sv, mk, tries, over](const Outcome& o) {
                    if (*over) return;
                    *over = true;
                    auto& s = ss[std::size_t(sv)];
                    if (o.status == 200) {
                        s.leavingAcked = t;
                        say(s.name + " is listed as leaving");
                        auto l = s.life;
                        in(8 * SEC, [this, sv, l] {
                            if (ss[std::size_t(sv)].life != l) return;
                            say(ss[std::size_t(sv)].name + " is taken away");
                            serverDown(sv, false);
                        });
                        in(14 * SEC, [this, sv] {
                            auto& s = ss[std::size_t(sv)];
                            if (s.up) return;
                            s.up = s.cold = true;
                            s.life++;
                            s.born = t;
                            s.leavingAcked = 0;
                            say(s.name + " returns cold");
                        });
                    } else (*mk)(tries - 1);
                };
                x.node->mark(id, ss[std::size_t(sv)].name, x.now());
            });
            in(4 * SEC, [mk, tries, over] {
                if (*over) return;
                *over = true;
                (*mk)(tries - 1);
            });
        };
        (*mk)(5);
    } else if (f == "empty") {
        if (emptiesOpen) return;
        emptiesOpen = 1;
        auto z = m.st.district;
        order("empty", bodyOf({{"district", jsQuote(z)}}), z, 0, {});
        auto give = std::make_shared<std::function<void()>>();
        *give = [this, z, wk = std::weak_ptr(give)] {
            auto give = wk.lock();
            order("give-back", bodyOf({{"district", jsQuote(z)}}), z, 0, [this, give](int st) {
                if (st == 200) emptiesOpen = 0;
                else in(SEC, [give] { (*give)(); });
            });
        };
        in(8 * SEC + span, [give] { (*give)(); });
    } else if (f == "config" || f == "race") {
        auto two = f == "race" ? 2 : 1 + int(frng.below(3));
        auto base = std::int64_t(0);
        for (auto& d : ords)
            if (d.op == "config" && d.status == 200) base = std::max(base, d.gen);
        for (auto i = 0; i < two; i++) {
            auto p = int(frng.below(std::uint64_t(probes)));
            auto b = f == "race" ? base : base + i;
            in(f == "race" ? Us(frng.below(5 * MS)) : i * 700 * MS, [this, p, b] {
                order("config", fmt::format("{{\"base\":{},\"config\":{}}}", b, probeConfig(p)),
                    fmt::format("probe-{}", p), b, {});
            });
        }
    } else if (f == "plan") {
        if (emptiesOpen) return;
        emptiesOpen = 1;
        auto z = m.st.district;
        order("book",
            bodyOf({{"at", jsQuote(wallText(t + 1800000000LL * SEC + 4 * SEC))},
                {"move", bodyOf({{"op", "\"empty\""}, {"district", jsQuote(z)}})}}),
            z, 0, {});
        auto give = std::make_shared<std::function<void()>>();
        *give = [this, z, wk = std::weak_ptr(give)] {
            auto give = wk.lock();
            order("give-back", bodyOf({{"district", jsQuote(z)}}), z, 0, [this, give](int st) {
                if (st == 200) emptiesOpen = 0;
                else in(SEC, [give] { (*give)(); });
            });
        };
        in(12 * SEC, [give] { (*give)(); });
    } else if (f == "crowd") {
        crowd = 4;
        in(span, [this] { crowd = 1; });
    } else if (f == "swing") {
        swing = frng.chance(.5) ? 3 : -3;
        in(span, [this] { swing = 0; });
    } else if (f == "district-loss") {
        auto z = m.st.district;
        for (auto& x : ms)
            if (x->st.district == z) x->kill(true), restart(x->i, span);
        for (auto i = std::size_t(0); i < ss.size() - std::size_t(probes); i++)
            if (ss[i].district == z && ss[i].up) {
                serverDown(int(i), frng.chance(.5));
                in(span, [this, i] {
                    auto& s = ss[i];
                    if (!s.up) s.up = s.cold = true, s.life++, s.born = t;
                });
            }
    } else if (f == "total-loss") {
        for (auto& x : ms) x->kill(true);
        for (auto& x : ms) restart(x->i, SEC + Us(frng.below(SEC)));
        in(2 * SEC, [this] {
            killedAll = t;
            backAt = 0;
        });
        in(8 * SEC, [this] {
            if (!backAt) dump();
        });
        in(16 * SEC, [this] {
            if (!backAt) dump(), broke("serving is back within 12 s of a total loss", "no whole reply yet");
            else r.recovery = std::max(r.recovery, backAt - killedAll);
        });
    } else if (f.ends_with("-after-ack")) {
        // What was acknowledged is put to the test at that very moment.
        auto wipe = f == "wipe-after-ack";
        if (!wipe)
            for (auto i : cores) ms[std::size_t(i)]->dk.lat = 700 * MS;
        auto base = std::int64_t(0);
        for (auto& d : ords)
            if (d.op == "config" && d.status == 200) base = std::max(base, d.gen);
        auto p = int(frng.below(std::uint64_t(probes)));
        // Now and then two cores are alone when they are asked: two disks must not be enough.
        auto i1 = leader(), i2 = i1 < 0 ? -1 : i1 == cores[0] ? cores[1] : cores[0];
        auto split = wipe && i1 >= 0 && frng.chance(.5);
        auto pa = [i1, i2](Machine& x) { return x.i == i1 || x.i == i2; };
        auto pb = [i1, i2](Machine& x) { return x.i != i1 && x.i != i2; };
        if (split) cutBoth(pa, pb, 1);
        askAt = split ? i1 : -1;
        if (split) in(7 * SEC, [=] { cutBoth(pa, pb, -1); });
        order("config", fmt::format("{{\"base\":{},\"config\":{}}}", base, probeConfig(p)),
            fmt::format("probe-{}", p), base, [this, wipe, cores, restart, i1, i2, split](int st) {
                for (auto i : cores) ms[std::size_t(i)]->dk.lat = 2 * MS;
                if (st != 200) return;
                auto n = 0;
                for (auto& x : ms) {
                    if (wipe && (!x->core || n == 2 || (split && x->i != i1 && x->i != i2))) continue;
                    n++;
                    x->kill(true);
                    if (wipe) {
                        x->dk.held = {};
                        x->kept.clear();
                        say(x->st.node + " loses its disk");
                    }
                    restart(x->i, SEC);
                }
            });
    }
}

auto World::faults() -> void {
    auto fs = op.faults;
    std::erase(fs, "closing-wipe");
    // These are judged alone, at most one a day: what they leave is what the fleet promises
    // to live through, and another loss beside them may be too much.
    auto alone = std::vector<Str>();
    for (auto a : {"power-after-ack", "wipe-after-ack", "total-loss"})
        if (std::erase(fs, a)) alone.push_back(a);
    auto from = 10 * SEC, till = op.duration - 15 * SEC;
    if (!fs.empty()) {
        auto n = int(op.perMinute * double(till - from) / double(60 * SEC));
        for (auto i = 0; i < std::max(1, n); i++) {
            auto f = fs[frng.below(fs.size())];
            at(from + Us(frng.below(std::uint64_t(till - from))), [this, f] {
                if (!ended) fault(f);
            });
        }
    }
    if (alone.empty()) return;
    auto k = frng.below(alone.size() + (fs.empty() ? 0 : 1));
    if (k == alone.size()) return;
    at(from + (till - from) / 2 - 12 * SEC, [this, f = alone[k]] {
        calmTill = t + 36 * SEC;
        heal();
        in(12 * SEC, [this, f] { fault(f); });
    });
}

auto World::load() -> Str {
    auto dir = opendir((op.example + "/nodes").c_str());
    if (!dir) return op.example + "/nodes: cannot be read";
    auto fs = std::vector<Str>();
    while (auto e = readdir(dir))
        if (Str n = e->d_name; n.ends_with(".json")) fs.push_back(op.example + "/nodes/" + n);
    closedir(dir);
    std::sort(fs.begin(), fs.end());
    if (fs.size() < 3) return op.example + "/nodes: wants at least three settings files";
    for (auto& f : fs) {
        auto s = settingsRead(f, {});
        if (!s) return f + ": " + s.error().faults[0].path + ": " + s.error().faults[0].why;
        auto m = std::make_unique<Machine>(*this, int(ms.size()));
        m->st = *s;
        m->core = !s->data.empty();
        m->bootOff = Us(rng.below(1000)) * 1000 * SEC;
        m->wallOff = 1800000000LL * SEC + Us(rng.below(SEC)) - SEC / 2;
        byAddr[s->peer] = m->i;
        ms.push_back(std::move(m));
    }
    cut.assign(ms.size(), std::vector<int>(ms.size(), 0));
    auto t1 = fileRead(op.example + "/servers.json"), t2 = fileRead(op.example + "/config.json"),
         t3 = fileRead(op.example + "/day.json");
    auto d1 = Doc(), d2 = Doc(), d3 = Doc();
    if (!t1 || !jsParse(*t1, d1) || !d1.IsObject() || !d1.HasMember("servers"))
        return op.example + "/servers.json: no listing";
    if (!t2 || !jsParse(*t2, d2) || !configCheck(d2).empty())
        return op.example + "/config.json: no sound configuration";
    if (!t3 || !jsParse(*t3, d3) || !d3.IsObject() || !d3.HasMember("kinds"))
        return op.example + "/day.json: no day";
    config = *t2;
    regions = jsList(d3, "regions");
    for (auto& v : d1["servers"].GetArray()) {
        auto s = SimServer();
        s.name = jsStr(v, "name");
        s.addr = jsStr(v, "address");
        s.region = jsStr(v, "region");
        s.district = jsStr(v, "district");
        s.pool = jsStr(v, "pool");
        s.weights = jsStr(v, "weights");
        s.slots = int(jsInt(v, "slots", 8));
        ss.push_back(s);
    }
    for (auto i = 0; i < probes; i++) {
        auto s = SimServer();
        s.name = fmt::format("probe-{}", i);
        s.addr = fmt::format("127.0.0.1:{}", 30000 + i);
        s.region = regions[0];
        s.district = "probes";
        s.pool = s.name;
        s.weights = "w1";
        s.slots = 64;
        ss.push_back(s);
    }
    for (auto i = std::size_t(0); i < ss.size(); i++)
        sByAddr[ss[i].addr] = int(i), sByName[ss[i].name] = int(i);
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
    for (auto& m : ms) at(Us(rng.below(200 * MS)), [p = m.get()] { p->start(); });
    platform();
    // The first configuration, as soon as it is taken.
    auto first = std::make_shared<std::function<void()>>();
    *first = [this, wk = std::weak_ptr(first)] {
        auto first = wk.lock();
        order("config", fmt::format("{{\"base\":0,\"config\":{}}}", probeConfig(0)), "probe-0", 0,
            [this, first](int st) {
                if (st != 200 && st != 409) in(500 * MS, [first] { (*first)(); });
                else
                    for (auto k = std::size_t(0); k < ks.size(); k++) in(3 * SEC, [this, k] { arrive(k); });
            });
    };
    at(4 * SEC, [first] { (*first)(); });
    faults();
    // Operators read back now and then.
    for (auto x = 6 * SEC; x < op.duration; x += 3 * SEC + Us(frng.below(SEC)))
        at(x, [this] { readback([](bool, const Str&) {}); });
    at(op.duration - 14 * SEC, [this] {
        say("all faults are healed");
        heal();
    });
    if (has("closing-wipe"))
        at(op.duration - 6 * SEC, [this] {
            // The closing fault: a majority of the disks goes, with what was acknowledged on them.
            auto n = 0;
            for (auto& m : ms)
                if (m->core && n < 2) {
                    n++;
                    r.faults++;
                    m->kill(true);
                    m->dk.held = {};
                    m->kept.clear();
                    say(m->st.node + " loses its disk");
                    in(SEC, [p = m.get()] { p->start(); });
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
        readback([this, last, done, tries](bool ok, const Str& body) {
            if (*done) return;
            if (ok) {
                *done = true;
                auto w = Word();
                w.load(body);
                r.wordGen = w.configGen();
                r.reign = w.reign;
                say(fmt::format("day's end reads configuration {} of reign {}", w.configGen(), w.reign));
                // Booked moves fired once each, if their hour has come.
                for (auto& m : w.d["plan"].GetArray())
                    if (jsStr(m, "state") == "booked" && jsInt(m, "at") + 5 * SEC < t + 1800000000LL * SEC)
                        broke("a move fires exactly once", jsStr(m, "id") + " never fired");
            } else if (tries > 0) in(500 * MS, [last, tries] { (*last)(tries - 1); });
            else dump(), broke("the newest accepted is read back at day's end", "no readback succeeds");
        });
    };
    at(op.duration + 6 * SEC, [last] { (*last)(20); });
    auto stop = op.duration + 25 * SEC;
    at(stop, [] {});
    while (!q.empty()) {
        auto e = q.top();
        if (e.at > stop) break;
        q.pop();
        t = e.at;
        e.f();
        if (t > op.duration + 8 * SEC && *done) break;
        if (!r.broken.empty() && r.broken.size() >= 20) break;
    }
    finish();
}

// Where every process stands; into the trace when the fleet does not come back.
auto World::dump() -> void {
    for (auto& m : ms) {
        if (!m->up) {
            say(m->st.node + " is down");
            continue;
        }
        auto v = m->node->voter();
        say(fmt::format("{}{} {}", m->frozen ? "frozen " : "", m->node->status(m->now()),
            v ? fmt::format(
                "voters {} role {} disk {} bad {} reign {} term {} last {} commit {} under {}",
                [&] {
                    auto o = Str();
                    for (auto& x : v->voters()) o += x.disk.substr(0, 4) + " ";
                    return o;
                }(),
                int(v->role()), v->disk(), v->diskBad(), v->reign(), v->term(), v->last(), v->commit(),
                m->dk.under.size())
              : ""));
    }
}

auto World::finish() -> void {
    // Orders: generations are unique and follow real time.
    for (auto& a : ords)
        for (auto& b : ords) {
            if (&a == &b || a.op != "config" || b.op != "config" || a.status != 200 || b.status != 200
                || !a.over || !b.over)
                continue;
            if (a.gen == b.gen)
                broke("a lost race never takes effect",
                    fmt::format("two orders were told generation {}", a.gen));
            if (a.over < b.born && a.gen >= b.gen)
                broke("orders are linearizable",
                    fmt::format("generation {} was acknowledged before {} was asked for", a.gen, b.gen));
            if (a.base == b.base && a.base > 0)
                broke("a lost race never takes effect", fmt::format("two orders won on base {}", a.base));
        }
    r.firsts = r.extras = 0;
    for (auto& x : trs) r.firsts += x.sends > 0, r.extras += std::max(0, x.sends - 1);
    if (r.firsts && double(r.extras) > 0.2 * double(r.firsts) + 3)
        broke("extra tries stay near a fifth", fmt::format("{} extra on {} first", r.extras, r.firsts));
    for (auto& m : ms)
        if (m->up)
            for (auto& [k, v] : m->ct->c)
                if (k.ends_with("_total")) sumCt[k] += v;
    if (auto x = sumCt["extra_sends_total"]; double(x) > 0.2 * double(sumCt["first_sends_total"]) + 3)
        broke("extra tries stay near a fifth", fmt::format("{} extra sends counted", x));
    r.counters = sumCt;
}

}  // namespace

auto simRun(const SimOptions& o) -> tl::expected<SimResult, SimError> {
    for (auto& f : o.faults)
        if (std::find(FAULTS.begin(), FAULTS.end(), f) == FAULTS.end())
            return tl::make_unexpected(SimError{"unknown fault: " + f});
    if (!o.broken.empty() && std::find(BROKEN.begin(), BROKEN.end(), o.broken) == BROKEN.end())
        return tl::make_unexpected(SimError{"unknown broken variant: " + o.broken});
    if (o.duration < 40 * SEC) return tl::make_unexpected(SimError{"a day lasts at least 40000000 us"});
    if (o.scale <= 0 || o.perMinute < 0)
        return tl::make_unexpected(SimError{"scale and faults per minute want to be positive"});
    auto w = std::make_unique<World>();
    w->op = o;
    w->rng = Rng{hash64("world", o.seed)};
    w->net = Rng{hash64("net", o.seed)};
    w->frng = Rng{hash64("faults", o.seed)};
    if (auto e = w->load(); !e.empty()) return tl::make_unexpected(SimError{e});
    logMute(true);
    w->run();
    logMute(false);
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
        auto ks = Str();
        for (auto& [n, k] : r->kinds)
            ks += (ks.empty() ? "" : ",") + jsQuote(n) + ":"
                + bodyOf({{"sent", fmt::to_string(k.sent)}, {"whole", fmt::to_string(k.whole)},
                    {"moved", fmt::to_string(k.moved)}, {"denied", fmt::to_string(k.denied)},
                    {"failed", fmt::to_string(k.failed)}, {"cut", fmt::to_string(k.cut)},
                    {"spilled", fmt::to_string(k.spilled)}, {"p50Us", fmt::to_string(quantile(k.took, .5))},
                    {"p99Us", fmt::to_string(quantile(k.took, .99))},
                    {"first50Us", fmt::to_string(quantile(k.first, .5))},
                    {"first99Us", fmt::to_string(quantile(k.first, .99))}});
        auto line = bodyOf({{"seed", fmt::to_string(o.seed)}, {"broken", fmt::to_string(r->broken.size())},
            {"digest", jsQuote(fmt::format("{:016x}", r->digest))}, {"faults", fmt::to_string(r->faults)},
            {"firstSends", fmt::to_string(r->firsts)}, {"extraSends", fmt::to_string(r->extras)},
            {"prompts", fmt::to_string(r->prompts)}, {"cacheHits", fmt::to_string(r->cacheHits)},
            {"tokensRead", fmt::to_string(r->tokensRead)},
            {"migrations", fmt::to_string(r->counters["migrations_ongoing_total"])},
            {"resends", fmt::to_string(r->counters["migrations_new_total"])},
            {"budgetDenied", fmt::to_string(r->counters["budget_denied_total"])},
            {"tokensReadAgain", fmt::to_string(r->tokensAgain)}, {"orders", fmt::to_string(r->orders)},
            {"acknowledged", fmt::to_string(r->acked)}, {"unknown", fmt::to_string(r->unknown)},
            {"lastDisobedientUs", fmt::to_string(r->lastDisobedient)},
            {"recoveryUs", fmt::to_string(r->recovery)}, {"configGeneration", fmt::to_string(r->wordGen)},
            {"reign", fmt::to_string(r->reign)}, {"kinds", "{" + ks + "}"}});
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

}  // namespace dt

#ifdef DT_TEST
#include "test.hpp"
namespace dt {

static auto sim(std::uint64_t seed, std::vector<Str> faults, double perMinute, Str broken = "",
    double scale = 0.5) -> SimResult {
    auto o = SimOptions();
    o.example = DT_EXAMPLES "/radar";
    o.seed = seed;
    o.duration = 90 * SEC;
    o.scale = scale;
    o.faults = std::move(faults);
    o.perMinute = perMinute;
    o.broken = std::move(broken);
    auto r = simRun(o);
    CHECK(bool(r));
    return std::move(*r);
}

TEST(Simulate, sameSeedSameTrace) {
    auto a = sim(5, simFaults(), 30), b = sim(5, simFaults(), 30), c = sim(6, simFaults(), 30);
    CHECK_EQ(a.digest, b.digest);
    CHECK(a.counters == b.counters);
    CHECK(a.digest != c.digest);
}

// Each deliberate fault breaks the rule that it should, in at least one of a few seeds.
TEST(Simulate, brokenIsSeen) {
    struct Variant {
        Str name;
        std::vector<Str> faults;
        double perMinute;
        int seeds;
        Str rule;
        double scale = 0.5;
    };
    auto vs = std::vector<Variant>{{"resend-any", {"server-crash", "server-cut"}, 30, 4,
                                       "a stream that cannot be resumed never runs twice"},
        {"join-any", {"server-skip"}, 30, 4, "nothing is dropped, repeated or joined wrongly"},
        {"ignore-home", {"crowd"}, 12, 2, "a home region is never left"},
        {"no-budget", {"server-cut", "server-crash", "server-deny"}, 300, 16,
            "extra tries stay near a fifth"},
        {"no-ramp", {"server-cold", "crowd"}, 40, 8, "a cold server is eased in", 1},
        {"cut-looks-whole", {"server-cut", "server-crash"}, 30, 8, "a cut reply never looks whole"},
        {"ignore-leaving", {"leave"}, 20, 4, "nothing new reaches a leaving server"},
        {"no-lease", {"cut-node", "config", "empty"}, 60, 8,
            "an acknowledged configuration is obeyed within 3 s"},
        {"ack-early", {"wipe-after-ack"}, 1, 8, "an acknowledged configuration is obeyed within 3 s"},
        {"old-word", {"config", "crash", "cut-node"}, 60, 16, "no node slips back"},
        {"no-quorum", {"core-split", "config", "race"}, 60, 4, "one leader a term"}};
    for (auto& v : vs) {
        auto seen = 0;
        for (auto s = 1; s <= v.seeds && !seen; s++)
            for (auto& b : sim(std::uint64_t(s), v.faults, v.perMinute, v.name, v.scale).broken)
                seen += b.starts_with(v.rule);
        CPPUNIT_ASSERT_MESSAGE(v.name + " was not seen", seen > 0);
    }
}

TEST(Simulate, wrongUse) {
    auto o = SimOptions();
    o.example = DT_EXAMPLES "/radar";
    o.faults = {"colour"};
    CHECK_EQ(Str("unknown fault: colour"), simRun(o).error().why);
    o.faults = {};
    o.broken = "colour";
    CHECK(!simRun(o));
    o.broken = "";
    o.example = "/nowhere";
    CHECK(!simRun(o));
}

}  // namespace dt
#endif
