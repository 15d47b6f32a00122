#include "scale.hpp"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <queue>
#include <sstream>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Peer.h"

namespace dt {

namespace tt = apache::thrift;

namespace {

constexpr Us TICK = 20 * MS;  // as the daemon's
constexpr Us IN_ZONE = 200, IN_REGION = 1400, BEYOND = 55 * MS;
constexpr Us SYNC = 500;
constexpr Us WINDOW = 10 * SEC;  // of the steady state, over which bytes and messages are counted
// What a message costs on the wire beside its frame: Ethernet, IP and TCP (with time stamps) headers
// for each segment begun. Connections, acknowledgements of TCP and resends are not counted.
constexpr std::int64_t SEGMENT = 1448, HEADERS = 66;
// A probe's request and reply with their headers: assumed, since the servers are not real.
constexpr std::int64_t PROBE_OUT = 250, PROBE_IN = 330;
constexpr int TENANTS = 410, MODELS = 6, OUTCOMES = 256, CHANGES = 3;
constexpr std::int64_t LINE = 8 << 20;  // the daemon's limit for one message

auto cpuNow() -> std::int64_t {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return std::int64_t(t.tv_sec) * 1'000'000'000 + t.tv_nsec;
}
auto heapNow() -> std::int64_t {
    auto m = mallinfo2();
    return std::int64_t(m.uordblks + m.hblkhd);
}

// What one node did and cost. The first part is the same for the same seed.
struct Stats {
    std::int64_t messagesIn = 0, messagesOut = 0, bytesIn = 0, bytesOut = 0, wordsIn = 0, rowsIn = 0,
                 echoesIn = 0, pulsesIn = 0, listingsIn = 0, loadsIn = 0, probes = 0, ticks = 0, syncs = 0,
                 lists = 0;
    // Nanoseconds of processor time.
    std::int64_t tick = 0, hear = 0, encode = 0, decode = 0, list = 0, other = 0;
    auto all() const -> std::int64_t { return tick + hear + encode + decode + list + other; }
    auto add(const Stats& o) -> void {
        for (auto f : {&Stats::messagesIn, &Stats::messagesOut, &Stats::bytesIn, &Stats::bytesOut,
                 &Stats::wordsIn, &Stats::rowsIn, &Stats::echoesIn, &Stats::pulsesIn, &Stats::listingsIn,
                 &Stats::loadsIn, &Stats::probes, &Stats::ticks, &Stats::syncs, &Stats::lists, &Stats::tick,
                 &Stats::hear, &Stats::encode, &Stats::decode, &Stats::list, &Stats::other})
            this->*f += o.*f;
    }
};

struct Fleet;

struct HollowNode : NodePort {
    Fleet& w;
    int i;
    Settings st;
    int zone = 0, region = 0;
    bool core = false, up = false, syncing = false;
    std::int64_t life = 0, callId = 0;
    DiskState held;               // what the virtual disk keeps
    std::deque<DiskWrite> under;  // written, not yet synced
    std::int64_t diskBytes = 0;
    std::vector<Str> kept;
    std::unique_ptr<Counters> ct;
    std::unique_ptr<Node> node;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls;
    Stats c;

    HollowNode(Fleet& f, int k) : w(f), i(k) {}
    auto start() -> void;
    auto kill() -> void;
    auto tick() -> void;
    auto tell(const Str& addr, const wire::Envelope& e) -> void override;
    auto disk(const DiskWrite& x) -> void override;
    auto done(std::int64_t id, const Outcome& o) -> void override;
    auto book(const std::vector<Str>& v) -> void override { kept = v; }
    auto probe(const Str& server, const Str& addr) -> void override;
    auto sync() -> void;
};

struct HollowServer {
    Str name, addr;
    int zone = 0, pool = 0;
    bool leaving = false;
};

// The compact protocol over a memory buffer, framed as between daemons.
struct Codec {
    std::shared_ptr<tt::TConfiguration> conf = std::make_shared<tt::TConfiguration>(LINE, LINE, 64);
    std::shared_ptr<tt::transport::TMemoryBuffer> out = std::make_shared<tt::transport::TMemoryBuffer>();
    std::shared_ptr<tt::transport::TFramedTransport> frame =
        std::make_shared<tt::transport::TFramedTransport>(out);
    wire::PeerClient cl{std::make_shared<tt::protocol::TCompactProtocol>(frame)};

    auto encode(const wire::Envelope& e) -> std::shared_ptr<Str> {
        out->resetBuffer();
        cl.tell(e);
        return std::make_shared<Str>(out->getBufferAsString());
    }
    auto decode(const Str& s, wire::Envelope& e) -> bool {
        auto b = std::make_shared<tt::transport::TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(s.data())), std::uint32_t(s.size()),
            tt::transport::TMemoryBuffer::OBSERVE, conf);
        auto f = std::make_shared<tt::transport::TFramedTransport>(b, conf);
        auto p = tt::protocol::TCompactProtocol(f, std::int32_t(LINE), 100000);
        try {
            auto n = Str();
            auto k = tt::protocol::TMessageType();
            auto q = std::int32_t(0);
            p.readMessageBegin(n, k, q);
            auto a = wire::Peer_tell_args();
            a.read(&p);
            e = std::move(a.e);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }
};

struct Fleet {
    const ScaleOptions& op;
    ScaleOptions::Size z;
    ScalePoint r;
    Rng rng, net;
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
    std::int64_t evs = 0, rev = 0, inside = 0, inFlight = 0, inFlightMax = 0, refused = 0;
    std::int64_t betweenZones = 0, betweenRegions = 0;  // bytes, the first within a region
    int zones = 0, regions = 0, cores = 0, partitionedRegion = -1, orders = 0;
    std::vector<std::unique_ptr<HollowNode>> ms;
    std::map<Str, int> byAddr, sByAddr;
    std::vector<HollowServer> ss;
    std::vector<Us> linkAt;
    std::vector<Us> tookAt;  // when each node took the newest configuration
    std::int64_t awaitedGen = 0, sink = 0;
    bool warm = false;
    Codec cd;

    Fleet(const ScaleOptions& o, ScaleOptions::Size s)
        : op(o), z(s), rng{hash64("scale", o.seed)}, net{hash64("net", o.seed)} {}

    auto at(Us when, std::function<void()> f) -> void { q.push({std::max(when, t), ++evs, std::move(f)}); }
    auto in(Us d, std::function<void()> f) -> void { at(t + d, std::move(f)); }
    auto to(int m, std::int64_t life, Us d, std::function<void(HollowNode&)> f) -> void {
        in(d, [this, m, life, f = std::move(f)] {
            auto& x = *ms[std::size_t(m)];
            if (x.up && x.life == life) f(x);
        });
    }
    auto run(Us till) -> void {
        while (!q.empty() && q.top().at <= till) {
            auto e = std::move(const_cast<Ev&>(q.top()));
            q.pop();
            t = e.at;
            e.f();
        }
        t = till;
    }
    /// Goes on until `f` holds; how long that took, or -1.
    auto until(Us limit, const std::function<bool()>& f) -> Us {
        auto from = t;
        while (t - from < limit) {
            if (f()) return t - from;
            run(t + 10 * MS);
        }
        return f() ? t - from : -1;
    }
    auto lat(int a, int ra, int b, int rb) -> Us {
        auto d = a == b ? IN_ZONE : ra == rb ? IN_REGION : BEYOND;
        return d + Us(net.below(std::uint64_t(d / 20)));
    }
    auto partitioned(int ra, int rb) const -> bool {
        return partitionedRegion >= 0 && ra != rb && (ra == partitionedRegion || rb == partitionedRegion);
    }
    // The processor time of a call into a node's logic, less what the calls within it took for encoding.
    // What the node holds is read over before, so that it is in the processor's caches as on a machine
    // of its own: hundreds of nodes in one process drive each other out of them.
    auto spend(HollowNode& m, std::int64_t Stats::*into, const std::function<void()>& f) -> void {
        if (warm) {
            for (auto& [n, k] : m.node->rows()) sink += k.at + k.r.beat;
            for (auto& [n, s] : m.node->servers()) sink += s.told + s.d.slots;
        }
        auto a = cpuNow(), i0 = inside;
        f();
        m.c.*into += cpuNow() - a - (inside - i0);
    }

    auto build() -> void;
    auto config() -> Str;
    auto listing() -> Str;
    auto platform() -> void;
    auto leader() -> HollowNode*;
    auto someEdge(int notRegion) -> HollowNode&;
    auto order(HollowNode& x, const Str& o, const Str& body, std::function<void(const Outcome&)> f) -> void;
    auto change(const Str& name, int n, bool killRelay) -> void;
    auto converged() -> bool;
    auto allKnowLeader() -> bool;
    auto relays() -> std::set<Str>;
    auto roleOf(const HollowNode& m, const std::set<Str>& rl) -> Str;
    auto steadyState() -> void;
    auto election(const Str& name, Us limit) -> void;
    auto seen(HollowNode& m) -> void;
    auto memory() -> void;
    auto run() -> void;
};

auto HollowNode::start() -> void {
    up = true;
    life++;
    calls.clear();
    ct = std::make_unique<Counters>();
    auto l = std::uint64_t(life);
    node = std::make_unique<Node>(st, *this, *ct, w.t + 1, hash64(st.node, w.op.seed * 1000 + l));
    if (core) {
        under.clear();
        syncing = false;
        node->hints(kept);
        node->startCore(held, fmt::format("{:016x}", hash64(st.node, w.op.seed * 77 + l)), w.t);
    }
    w.to(i, life, Us(w.rng.below(TICK)), [](HollowNode& h) { h.tick(); });
}
auto HollowNode::kill() -> void {
    up = false;
    under.clear();
    node.reset();
    calls.clear();
}
auto HollowNode::tick() -> void {
    c.ticks++;
    w.spend(*this, &Stats::tick, [&] { node->tick(w.t, w.t); });
    w.seen(*this);
    w.to(i, life, TICK, [](HollowNode& h) { h.tick(); });
}

auto HollowNode::tell(const Str& addr, const wire::Envelope& e) -> void {
    auto j = w.byAddr.find(addr);
    if (j == w.byAddr.end() || j->second == i) return;
    auto a = cpuNow();
    auto s = w.cd.encode(e);
    auto ns = cpuNow() - a;
    c.encode += ns;
    w.inside += ns;
    auto& d = *w.ms[std::size_t(j->second)];
    auto n = std::int64_t(s->size());
    n += (n + SEGMENT - 1) / SEGMENT * HEADERS;
    c.messagesOut++;
    c.bytesOut += n;
    if (d.region != region) w.betweenRegions += n;
    else if (d.zone != zone) w.betweenZones += n;
    if (!d.up || w.partitioned(region, d.region)) return;
    // A connection keeps its order.
    auto& l = w.linkAt[std::size_t(i) * w.ms.size() + std::size_t(d.i)];
    l = std::max(l, w.t + w.lat(zone, region, d.zone, d.region));
    w.inFlight += n;
    w.inFlightMax = std::max(w.inFlightMax, w.inFlight);
    w.at(l, [&w = w, from = region, to = d.i, life = d.life, s, n] {
        w.inFlight -= n;
        auto& h = *w.ms[std::size_t(to)];
        if (!h.up || h.life != life || w.partitioned(from, h.region)) return;
        auto e = wire::Envelope();
        auto a = cpuNow();
        auto ok = w.cd.decode(*s, e);
        h.c.decode += cpuNow() - a;
        w.refused += !ok;
        h.c.messagesIn++;
        h.c.bytesIn += n;
        if (!ok) return;
        h.c.wordsIn += e.__isset.word;
        h.c.rowsIn += std::int64_t(e.beat.rows.size());
        for (auto& x : e.beat.rows) h.c.echoesIn += std::int64_t(x.echo.size());
        h.c.pulsesIn += std::int64_t(e.beat.pulses.size());
        h.c.listingsIn += std::int64_t(e.beat.listings.size());
        h.c.loadsIn += std::int64_t(e.beat.loads.size());
        w.spend(h, &Stats::hear, [&] { h.node->hear(e, w.t); });
        w.seen(h);
    });
}

auto HollowNode::disk(const DiskWrite& x) -> void {
    under.push_back(x);
    diskBytes += std::int64_t(x.doc.size());
    for (auto& e : x.add) diskBytes += std::int64_t(e.body.size());
    if (!syncing) sync();
}
auto HollowNode::sync() -> void {
    syncing = !under.empty();
    if (!syncing) return;
    w.to(i, life, SYNC + Us(w.rng.below(SYNC)), [](HollowNode& h) {
        auto x = std::move(h.under.front());
        h.under.pop_front();
        diskApply(h.held, x);
        h.c.syncs++;
        h.w.spend(h, &Stats::other, [&] { h.node->diskDone(x.seq, true, h.w.t); });
        h.w.seen(h);
        h.sync();
    });
}
auto HollowNode::done(std::int64_t id, const Outcome& o) -> void {
    auto k = calls.find(id);
    if (k == calls.end()) return;
    auto f = std::move(k->second);
    calls.erase(k);
    w.to(i, life, 0, [f = std::move(f), o](HollowNode&) { f(o); });
}
auto HollowNode::probe(const Str& server, const Str& addr) -> void {
    auto j = w.sByAddr.find(addr);
    if (j == w.sByAddr.end()) return;
    c.probes++;
    auto& s = w.ss[std::size_t(j->second)];
    auto rg = s.zone % w.regions;
    if (w.partitioned(region, rg)) return;
    auto d = wire::Load();
    d.boot = 1;
    d.slots = 16;
    d.prefill = std::int32_t(w.net.below(4));
    d.decode = std::int32_t(w.net.below(13));
    d.up = w.t;
    w.to(i, life, 2 * w.lat(zone, region, s.zone, rg), [server, d](HollowNode& h) {
        h.w.spend(h, &Stats::other, [&] { h.node->loadSeen(server, true, false, d, h.w.t); });
    });
}

// ---- the fleet

// Zones grow with the nodes from 3 to 25, regions with the zones from 2 to 7, the machines with a
// disk from 3 to 6; no two of those stand in one zone, unless there are more of them than zones.
auto Fleet::build() -> void {
    auto n = z.nodes;
    zones = std::clamp(int(std::lround(n * 25 / 390.)), 3, 25);
    regions = std::clamp(int(std::lround(zones * 7 / 25.)), 2, 7);
    cores = n <= 48 ? 3 : n <= 192 ? 5 : 6;
    auto places = std::vector<int>(std::size_t(zones), 0);
    auto seeds = std::vector<Str>(), roster = std::vector<Str>(), seats = std::vector<Str>();
    for (auto i = 0; i < n; i++) {
        auto m = std::make_unique<HollowNode>(*this, i);
        m->zone = i % zones;
        m->region = m->zone % regions;
        m->core = i < cores;
        auto k = ++places[std::size_t(m->zone)];
        auto& s = m->st;
        s.district = fmt::format("hall-{:02}", m->zone);
        s.region = fmt::format("region-{}", m->region);
        s.node = fmt::format("edge-{}-{}", s.district, k);
        auto ip = fmt::format("10.{}.{}.{}", m->region + 1, m->zone, k + 10);
        s.peer = ip + ":7720";
        s.sender = ip + ":8161";
        s.opr = ip + ":8166";
        if (i < 3) seeds.push_back(s.peer);
        if (m->core) seats.push_back(s.node), s.data = "/data";
        roster.push_back(s.node);
        byAddr[s.peer] = i;
        ms.push_back(std::move(m));
    }
    for (auto& m : ms) {
        m->st.seeds = seeds;
        m->st.learnt = m->st.bootstrap = op.learnt;
        m->st.probes = op.probes;
        if (op.learnt) continue;
        m->st.roster = roster;
        if (m->core) m->st.seats = seats;
    }
    for (auto i = 0; i < z.servers; i++) {
        auto s = HollowServer();
        s.zone = i % zones;
        s.pool = i % MODELS;
        s.name = fmt::format("i-{:08x}", std::uint32_t(hash64(fmt::format("server {}", i))));
        s.addr = fmt::format("10.{}.{}.{}:8080", 128 + s.zone, i / 250, i % 250 + 1);
        sByAddr[s.addr] = i;
        ss.push_back(s);
    }
    linkAt.assign(ms.size() * ms.size(), 0);
    tookAt.assign(ms.size(), -1);
}

// A mapping for each tenant, over six models; fewer where the schema takes no more.
auto Fleet::config() -> Str {
    auto text = [](int tenants) {
        auto md = Str(), mp = Str();
        for (auto i = 0; i < MODELS; i++)
            md +=
                fmt::format("{}\"model-{}\":{{\"migrationLimit\":2,\"maxSequence\":8192}}", i ? "," : "", i);
        for (auto i = 0; i < tenants; i++)
            mp += fmt::format(
                "{}{{\"name\":\"tenant-{:03}\",\"path\":\"/tenant-{:03}/"
                "*\",\"pool\":\"pool-{}\",\"model\":\"model-{}\","
                "\"stream\":true,\"Resumable\":true,\"MaxTries\":3,\"urgency\":{},\"deadlineUs\":60000000,"
                "\"idleUs\":2000000,\"queueUs\":3000000,\"queue\":64,\"affinity\":2048,\"home\":\"region-{}"
                "\"}}",
                i ? "," : "", i, i, i % MODELS, i % MODELS, i % 8, i % 7);
        return fmt::format(
            "{{\"models\":{{{}}},\"budget\":{{\"share\":0.2,\"cap\":50}},\"mappings\":[{}]}}", md, mp);
    };
    for (auto k = TENANTS; k > 0; k -= 10) {
        auto d = Doc();
        jsParse(text(k), d);
        if (configCheck(d).empty()) {
            r.counts["tenants"] = k;
            return text(k);
        }
    }
    return "{\"mappings\":[]}";
}
auto Fleet::listing() -> Str {
    auto o = Str();
    for (auto& s : ss)
        o += fmt::format(
            "{}{{\"name\":\"{}\",\"address\":\"{}\",\"region\":\"region-{}\",\"district\":\"hall-{:02}\","
            "\"pool\":\"pool-{}\",\"weights\":\"v17\",\"slots\":16,\"state\":\"{}\",\"incarnation\":1}}",
            o.empty() ? "" : ",", s.name, s.addr, s.zone % regions, s.zone, s.pool,
            s.leaving ? "leaving" : "up");
    return fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++rev, o);
}
// The platform's listing, whole, each second: pulled by the node that has the duty, or, where there
// is a roster, told to any node.
auto Fleet::platform() -> void {
    in(SEC, [this] { platform(); });
    auto any = rng.below(ms.size());
    for (auto& m : ms) {
        auto& x = *m;
        if (!x.up || (op.learnt ? !x.node->duty(t) : x.i != int(any))) continue;
        auto s = listing();
        r.counts["listing.jsonBytes"] = std::int64_t(s.size());
        x.c.lists++;
        spend(x, &Stats::list, [&] { x.node->list(++x.callId, s, t); });
    }
}

auto Fleet::leader() -> HollowNode* {
    for (auto i = 0; i < cores; i++) {
        auto& m = *ms[std::size_t(i)];
        if (m.up && m.node->voter()->ready() && t - m.node->voter()->quorumAt() < SEC
            && m.region != partitionedRegion)
            return &m;
    }
    return nullptr;
}
auto Fleet::someEdge(int notRegion) -> HollowNode& {
    while (true) {
        auto& m = *ms[rng.below(ms.size())];
        if (m.up && !m.core && m.region != notRegion) return m;
    }
}
auto Fleet::order(HollowNode& x, const Str& o, const Str& body, std::function<void(const Outcome&)> f)
    -> void {
    auto id = ++x.callId;
    x.calls[id] = std::move(f);
    spend(x, &Stats::other,
        [&] { x.node->order(id, o, fmt::format("order-{:08x}-{}", rng.s & 0xffffffff, ++orders), body, t); });
}
// Notes when a node first holds the configuration that is looked for.
auto Fleet::seen(HollowNode& m) -> void {
    auto& a = tookAt[std::size_t(m.i)];
    if (awaitedGen && a < 0 && m.up && m.node->word().configGen() >= awaitedGen) a = t;
}
// Do all that run, and are not cut off, name the one leader?
auto Fleet::allKnowLeader() -> bool {
    auto l = leader();
    if (!l) return false;
    return std::all_of(ms.begin(), ms.end(), [&](auto& m) {
        return !m->up || m->region == partitionedRegion || m->node->leaderNode(t) == l->st.node;
    });
}
// And are all ready, with the same word?
auto Fleet::converged() -> bool {
    auto l = leader();
    if (!l || !allKnowLeader()) return false;
    return std::all_of(ms.begin(), ms.end(),
        [&](auto& m) { return !m->up || (m->node->word().gen == l->node->word().gen && m->node->ready(t)); });
}

// The nodes that others hear the news from, as the leader sees the tree.
auto Fleet::relays() -> std::set<Str> {
    auto o = std::set<Str>();
    auto l = leader();
    auto d = Doc();
    if (l && jsParse(l->node->beliefs(t), d) && d.HasMember("relays"))
        for (auto& m : d["relays"].GetObject()) o.insert(Str(m.value.GetString(), m.value.GetStringLength()));
    return o;
}
auto Fleet::roleOf(const HollowNode& m, const std::set<Str>& rl) -> Str {
    if (&m == leader()) return "leader";
    if (m.core) return "core";
    return rl.count(m.st.node) ? "relay" : "edge";
}

// The steady state: nothing but what control says by itself.
auto Fleet::steadyState() -> void {
    for (auto& m : ms) m->c = {};
    betweenZones = betweenRegions = inFlightMax = 0;
    warm = true;
    run(t + WINDOW);
    warm = false;
    auto s = WINDOW / SEC;
    auto rl = relays();
    auto sum = std::map<Str, Stats>();
    auto num = std::map<Str, std::int64_t>();
    auto all = Stats();
    auto& c = r.counts;
    auto top = [&](const Str& k, std::int64_t v) { c[k] = std::max(c[k], v); };
    auto topNs = std::int64_t(0);
    for (auto& m : ms) {
        all.add(m->c);
        auto k = roleOf(*m, rl);
        sum[k].add(m->c);
        num[k]++;
        top("all.bytesInMax", m->c.bytesIn / s);
        top("all.bytesOutMax", m->c.bytesOut / s);
        top("all.bytesMax", (m->c.bytesIn + m->c.bytesOut) / s);
        top("all.messagesInMax", m->c.messagesIn / s);
        top("all.messagesOutMax", m->c.messagesOut / s);
        top("all.probesMax", m->c.probes / s);
        topNs = std::max(topNs, m->c.all() - m->c.list);
    }
    sum["all"] = all;
    c["all.bytesMean"] = (all.bytesIn + all.bytesOut) / s / std::int64_t(ms.size());
    num["all"] = std::int64_t(ms.size());
    for (auto& [k, v] : sum) {
        auto n = num[k] * s;
        c[k + ".nodes"] = num[k];
        c[k + ".bytesIn"] = v.bytesIn / n;
        c[k + ".bytesOut"] = v.bytesOut / n;
        c[k + ".messagesIn"] = v.messagesIn / n;
        c[k + ".messagesOut"] = v.messagesOut / n;
        c[k + ".rowsIn"] = v.rowsIn / n;
        c[k + ".echoesIn"] = v.echoesIn / n;
        c[k + ".pulsesIn"] = v.pulsesIn / n;
        c[k + ".listingsIn"] = v.listingsIn / n;
        c[k + ".loadsIn"] = v.loadsIn / n;
        c[k + ".probes"] = v.probes / n;
        c[k + ".wordsIn"] = v.wordsIn / n;
        c[k + ".syncs"] = v.syncs / n;
        c[k + ".probeBytes"] = v.probes * (PROBE_OUT + PROBE_IN) / n;
        // Processor time a second, in us; a listing taken from the platform stands apart.
        auto& p = r.costs;
        p[k + ".cpuUs"] = (v.all() - v.list) / n / 1000;
        p[k + ".cpuTickUs"] = v.tick / n / 1000;
        p[k + ".cpuHearUs"] = v.hear / n / 1000;
        p[k + ".cpuEncodeUs"] = v.encode / n / 1000;
        p[k + ".cpuDecodeUs"] = v.decode / n / 1000;
        p[k + ".cpuOtherUs"] = v.other / n / 1000;
    }
    r.costs["all.cpuUsMax"] = topNs / s / 1000;
    r.costs["listing.ingestUs"] = all.lists ? all.list / all.lists / 1000 : 0;
    c["betweenZonesBytes"] = betweenZones / s;
    c["betweenRegionsBytes"] = betweenRegions / s;
    c["inFlightBytesMax"] = inFlightMax;
}

// Configuration changes one after another; each small, laid on the newest. With `killRelay` the
// relay that most nodes hear the news from dies in the moment of the first.
auto Fleet::change(const Str& name, int n, bool killRelay) -> void {
    auto b0 = std::int64_t(0), d0 = std::int64_t(0), p0 = std::int64_t(0);
    auto sums = [&] {
        auto b = std::int64_t(0), d = std::int64_t(0), p = std::int64_t(0);
        for (auto& m : ms) b += m->c.bytesIn, p += m->c.all() - m->c.list, d += m->core ? m->diskBytes : 0;
        return std::tuple(b, d, p);
    };
    auto from = t;
    std::tie(b0, d0, p0) = sums();
    warm = true;
    auto ackTop = Us(0), lastTop = Us(0), beforeTop = Us(0);
    auto lead = leader();
    auto lp = lead ? lead->c.all() - lead->c.list : 0;
    for (auto k = 0; k < n; k++) {
        auto l = leader();
        if (!l) {
            ackTop = lastTop = -1;
            break;
        }
        auto g = l->node->word().configGen();
        awaitedGen = g + 1;
        tookAt.assign(ms.size(), -1);
        auto born = t, acked = Us(-1);
        auto status = 0;
        auto& x = someEdge(partitionedRegion);
        if (killRelay) {
            auto rl = relays();
            for (auto& m : ms)
                if (!m->core && m->up && m.get() != &x && rl.count(m->st.node)) {
                    m->kill();
                    break;
                }
        }
        order(x, "merge",
            fmt::format("{{\"base\":{},\"patch\":{{\"budget\":{{\"cap\":{}}}}}}}", g, 51 + orders % 100),
            [&](const Outcome& o) { acked = t, status = o.status; });
        auto all = until(20 * SEC, [&] {
            if (acked < 0) return false;
            for (auto& m : ms)
                if (m->up && m->region != partitionedRegion && tookAt[std::size_t(m->i)] < 0) return false;
            return true;
        });
        auto top = born;
        for (auto& m : ms)
            if (m->up && m->region != partitionedRegion) top = std::max(top, tookAt[std::size_t(m->i)]);
        if (status != 200) acked = -1;
        if (ackTop >= 0) ackTop = acked < 0 ? -1 : std::max(ackTop, acked - born);
        if (lastTop >= 0) lastTop = all < 0 || acked < 0 ? -1 : std::max(lastTop, top - acked);
        beforeTop = std::max(beforeTop, top - born);
        awaitedGen = 0;
        run(std::max(t, born + 2 * SEC));
    }
    warm = false;
    auto [b, d, p] = sums();
    auto s = double(t - from) / double(SEC);
    auto& c = r.counts;
    c[name + ".ackUs"] = ackTop;         // from the order to its acknowledgement, the longest
    c[name + ".ackToLastUs"] = lastTop;  // from the acknowledgement to the last node
    c[name + ".convergenceUs"] = beforeTop;
    if (n < CHANGES) return;
    auto N = double(ms.size());
    c[name + ".bytesInANode"] = std::int64_t(
        (double(b - b0) - double(c["all.bytesIn"]) * N * s) / N / n);  // beyond the steady state's
    c[name + ".diskBytesACore"] = (d - d0) / cores / n;
    r.costs[name + ".cpuUsANode"] =
        std::int64_t((double(p - p0) / 1000 - double(r.costs["all.cpuUs"]) * N * s) / N / n);
    if (lead != leader()) return;
    r.costs[name + ".cpuUsLeader"] = std::int64_t(
        (double(lead->c.all() - lead->c.list - lp) / 1000 - double(r.costs["leader.cpuUs"]) * s) / n);
}

// How long there is no leader that acts, and until all that run name the same one.
auto Fleet::election(const Str& name, Us limit) -> void {
    auto from = t;
    auto a = until(limit, [&] { return leader() != nullptr; });
    r.counts[name + ".electionUs"] = a;
    r.counts[name + ".allKnowLeaderUs"] = until(limit, [&] { return allKnowLeader(); }) < 0 ? -1 : t - from;
}

// The heap that the end of each kind of node gives back; the disk is virtual and not counted.
auto Fleet::memory() -> void {
    auto rl = relays();
    auto kinds = std::map<Str, HollowNode*>();
    for (auto& m : ms)
        if (m->up) kinds.emplace(roleOf(*m, rl), m.get());
    for (auto& [k, m] : kinds) {
        r.counts[k + ".rowsHeld"] = std::int64_t(m->node->rows().size()) + 1;
        r.counts[k + ".listingsHeld"] = std::int64_t(m->node->servers().size());
        auto a = heapNow();
        m->kill();
        r.costs[k + ".heapBytes"] = a - heapNow();
    }
}

auto Fleet::run() -> void {
    auto& c = r.counts;
    build();
    c["nodes"] = z.nodes;
    c["servers"] = z.servers;
    c["zones"] = zones;
    c["regions"] = regions;
    c["cores"] = cores;
    for (auto& m : ms)
        in(Us(rng.below(500 * MS)), [p = m.get()] {
            p->start();
            p->st.bootstrap = false;  // of the first start only
        });
    run(600 * MS);
    auto held = [&] {
        auto l = leader();
        return l && std::all_of(ms.begin(), ms.end(), [&](auto& m) {
            return m->node->word().gen == l->node->word().gen;
        });
    };
    if (c["bootstrapUs"] = until(60 * SEC, held); c["bootstrapUs"] < 0) return;
    // The word carries the last outcomes; a fleet that has run for hours carries all of them.
    for (auto k = 0; k < OUTCOMES; k++)
        in(k * 5 * MS, [this, k] {
            if (auto l = leader())
                order(*l, "give-back", fmt::format("{{\"district\":\"none-{}\"}}", k), [](auto&) {});
        });
    run(t + OUTCOMES * 5 * MS);
    until(30 * SEC, [&] { return held() && leader()->node->word().d["outcomes"].Size() >= OUTCOMES; });
    c["outcomes"] = std::int64_t(leader() ? leader()->node->word().d["outcomes"].Size() : 0);
    auto cfg = config();
    auto taken = 0;
    for (auto k = 0; k < 5 && taken != 200; k++) {
        if (auto l = leader())
            order(*l, "config", "{\"base\":0,\"config\":" + cfg + "}",
                [&](const Outcome& o) { taken = o.status; });
        until(6 * SEC, [&] { return taken != 0; });
    }
    c["configStatus"] = taken;
    platform();
    if (c["readyUs"] = until(60 * SEC, [&] { return converged(); }); c["readyUs"] < 0) return;
    c["wordBytes"] = std::int64_t(leader()->node->word().text().size());
    c["configBytes"] = std::int64_t(cfg.size());
    run(t + 5 * SEC);

    steadyState();
    change("change", CHANGES, false);
    change("changeWithRelayLoss", 1, true);
    for (auto& m : ms)
        if (!m->up) m->start();
    until(30 * SEC, [&] { return converged(); });

    if (!op.faults) return;

    // A server begins to leave; until the last node knows.
    ss[0].leaving = true;
    c["listing.convergenceUs"] = until(30 * SEC, [&] {
        return std::all_of(ms.begin(), ms.end(), [&](auto& m) {
            auto i = m->node->servers().find(ss[0].name);
            return i != m->node->servers().end() && i->second.l.state == LEAVING;
        });
    });

    // A node dies, and starts again.
    auto& x = someEdge(-1);
    x.kill();
    c["failureDetection.allUs"] = until(60 * SEC, [&] {
        return std::none_of(
            ms.begin(), ms.end(), [&](auto& m) { return m->up && m->node->alive(x.st.node, t); });
    });
    x.c = {};
    x.start();
    c["restart.readyUs"] = until(60 * SEC, [&] { return x.node->ready(t); });
    c["restart.bytesIn"] = x.c.bytesIn;
    until(30 * SEC, [&] { return converged(); });

    // The leader dies; then its whole zone; then the links of its region are lost.
    auto back = [&] {
        for (auto& m : ms)
            if (!m->up) m->start();
        auto d = until(60 * SEC, [&] { return converged(); });
        run(t + 2 * SEC);
        return d;
    };
    if (auto l = leader()) l->kill();
    election("leaderLoss", 30 * SEC);
    c["leaderLoss.recoveredUs"] = back();
    if (auto l = leader())
        for (auto& m : ms)
            if (m->zone == l->zone) m->kill();
    election("zoneLoss", 30 * SEC);
    c["zoneLoss.recoveredUs"] = back();
    if (auto l = leader()) {
        // Of another region where half of the disks stand in the leader's own.
        auto in = [&](int rg) {
            return std::count_if(ms.begin(), ms.end(), [&](auto& m) { return m->core && m->region == rg; });
        };
        auto rg = l->region;
        for (auto k = 0; k < regions && in(rg)*2 >= cores; k++) rg = (rg + 1) % regions;
        c["regionPartition.ofLeader"] = rg == l->region;
        partitionedRegion = rg;
        auto from = t;
        election("regionPartition", 30 * SEC);
        change("regionPartition.change", 1, false);
        auto serving = std::int64_t(0), asked = std::int64_t(0);
        while (t - from < 30 * SEC) {
            run(t + 500 * MS);
            if (t - from < 20 * SEC) continue;
            for (auto& m : ms)
                if (m->region == rg && m->up) asked++, serving += m->node->ready(t);
        }
        c["regionPartition.readyInside1000"] = asked ? serving * 1000 / asked : 0;
        partitionedRegion = -1;
        c["regionPartition.recoveredUs"] = until(60 * SEC, [&] { return converged(); });
    }
    c["refusedMessages"] = refused;
    memory();
}

}  // namespace

auto scalePoint(const ScaleOptions& o, ScaleOptions::Size z) -> ScalePoint {
    logMute(true);
    auto f = std::make_unique<Fleet>(o, z);
    f->r.membership = o.learnt ? "learnt" : "roster";
    f->r.seed = o.seed;
    f->run();
    logMute(false);
    return std::move(f->r);
}

auto ScalePoint::json() const -> Str {
    auto part = [](const std::map<Str, std::int64_t>& m) {
        auto o = Str();
        for (auto& [k, v] : m) o += fmt::format("{}{}:{}", o.empty() ? "" : ",", jsQuote(k), v);
        return "{" + o + "}";
    };
    return bodyOf({{"membership", jsQuote(membership)}, {"seed", fmt::to_string(seed)},
        {"counts", part(counts)}, {"costs", part(costs)}});
}

// ---- the plot

namespace {

struct Line {
    Str label, part, key, colour;
    double unit;
};
struct Panel {
    Str title;
    double budget;
    Str budgetText;
    std::vector<Line> lines;
};

// Four panels on logarithmic scales; earlier runs are dashed.
auto plot(const std::vector<Str>& now, const std::vector<Str>& earlier) -> Str {
    auto pts = std::vector<std::pair<Doc, bool>>();
    for (auto* v : {&now, &earlier})
        for (auto& l : *v) {
            pts.emplace_back(Doc(), v == &earlier);
            jsParse(l, pts.back().first);
        }
    auto blue = Str("#1f5fa8"), red = Str("#b3312c"), green = Str("#2c7a3f"), grey = Str("#777");
    auto panels = std::vector<Panel>{
        {"bytes a second a node, steady state, sent and received", 2000, "2 KB",
            {{"mean", "counts", "all.bytesMean", blue, 1}, {"busiest", "counts", "all.bytesMax", red, 1}}},
        {"processor, in hundredths of a core, steady state", 2.5, "2.5%",
            {{"mean", "costs", "all.cpuUs", blue, 1e4}, {"busiest", "costs", "all.cpuUsMax", red, 1e4}}},
        {"heap of a node, MB", 64, "64 MB",
            {{"edge", "costs", "edge.heapBytes", blue, 1e6},
                {"leader", "costs", "leader.heapBytes", red, 1e6}}},
        {"times, s", 19, "19 s",
            {{"change at the last node", "counts", "change.convergenceUs", blue, 1e6},
                {"dead node dropped", "counts", "failureDetection.allUs", red, 1e6},
                {"without a leader", "counts", "leaderLoss.electionUs", green, 1e6}}}};
    constexpr auto W = 430., H = 320., L = 58., T = 34., PW = 350., PH = 220.;
    auto o = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
        "font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
        "fill=\"#fff\"/>\n",
        2 * W, 2 * H + 24);
    for (auto i = std::size_t(0); i < panels.size(); i++) {
        auto& p = panels[i];
        auto ox = double(i % 2) * W + L, oy = double(i / 2) * H + T;
        auto x0 = 1e9, x1 = 0., y0 = p.budget / 1.5, y1 = p.budget * 1.5;
        auto value = [&](const Doc& d, const Line& l) {
            return jsNum(d[l.part.c_str()], l.key.c_str(), -1) / l.unit;
        };
        for (auto& [d, e] : pts)
            for (auto& l : p.lines) {
                auto n = jsNum(d["counts"], "nodes"), v = value(d, l);
                if (n > 0) x0 = std::min(x0, n), x1 = std::max(x1, n);
                if (v > 0) y0 = std::min(y0, v / 1.2), y1 = std::max(y1, v * 1.2);
            }
        if (x1 <= x0) x0 = std::max(1., x1 / 2), x1 = x1 * 2 + 2;
        auto X = [&](double v) { return ox + PW * std::log(v / x0) / std::log(x1 / x0); };
        auto Y = [&](double v) { return oy + PH * (1 - std::log(v / y0) / std::log(y1 / y0)); };
        auto text = [&](double x, double y, const Str& s, const Str& more = "") {
            o += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" {}>{}</text>\n", x, y, more, s);
        };
        auto line = [&](double a, double b, double c, double d, const Str& more) {
            o += fmt::format(
                "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" {}/>\n", a, b, c, d, more);
        };
        text(ox, oy - 12, p.title, "font-weight=\"bold\"");
        line(ox, oy, ox, oy + PH, "stroke=\"#333\"");
        line(ox, oy + PH, ox + PW, oy + PH, "stroke=\"#333\"");
        for (auto e = std::floor(std::log10(y0)); e <= std::ceil(std::log10(y1)); e++)
            if (auto v = std::pow(10, e); v >= y0 && v <= y1) {
                line(ox, Y(v), ox + PW, Y(v), "stroke=\"#ddd\"");
                text(ox - 6, Y(v) + 4,
                    v >= 1e6       ? fmt::format("{:g}M", v / 1e6)
                        : v >= 1e3 ? fmt::format("{:g}k", v / 1e3)
                                   : fmt::format("{:g}", v),
                    "text-anchor=\"end\"");
            }
        auto seen = std::set<double>();
        for (auto& [d, e] : pts)
            if (auto n = jsNum(d["counts"], "nodes"); n > 0 && seen.insert(n).second)
                text(X(n), oy + PH + 14, fmt::format("{:g}", n), "text-anchor=\"middle\"");
        text(ox + PW, oy + PH + 28, "nodes", "text-anchor=\"end\"");
        line(ox, Y(p.budget), ox + PW, Y(p.budget), "stroke=\"" + grey + "\" stroke-dasharray=\"2 3\"");
        text(ox + PW, Y(p.budget) - 4, "budget " + p.budgetText, "text-anchor=\"end\" fill=\"" + grey + "\"");
        auto lx = ox;
        for (auto& l : p.lines) {
            for (auto old : {false, true}) {
                auto path = Str(), dots = Str();
                for (auto& [d, e] : pts) {
                    auto n = jsNum(d["counts"], "nodes"), v = value(d, l);
                    if (e != old || n <= 0 || v <= 0) continue;
                    path += fmt::format("{}{:.1f} {:.1f} ", path.empty() ? "M" : "L", X(n), Y(v));
                    dots += fmt::format(
                        "<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"2.5\" fill=\"{}\"/>", X(n), Y(v), l.colour);
                }
                if (!path.empty())
                    o += fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\"{}/>{}\n", path, l.colour,
                        old ? " stroke-dasharray=\"5 4\"" : "", dots);
            }
            line(lx, oy + PH + 25, lx + 16, oy + PH + 25, "stroke=\"" + l.colour + "\" stroke-width=\"2\"");
            text(lx + 20, oy + PH + 29, l.label);
            lx += 34 + 6.2 * double(l.label.size());
        }
    }
    auto names = [](const std::vector<Str>& v) {
        auto d = Doc();
        return !v.empty() && jsParse(v[0], d) ? jsStr(d, "membership") : Str();
    };
    o += fmt::format(
        "<text x=\"{}\" y=\"{}\">whole lines: membership {}{}; logarithmic scales; duneturn "
        "scale</text>\n</svg>\n",
        L, 2 * H + 14, names(now), earlier.empty() ? "" : ", dashed: " + names(earlier));
    return o;
}

}  // namespace

// ---- the command

auto scaleMemory(int nodes, int servers, bool learnt) -> std::int64_t {
    auto n = std::int64_t(nodes), s = std::int64_t(servers);
    // A row with its strings, a listing with its load, the word in a few copies.
    auto node = n * 900 + s * 900 + (2 << 20);
    auto msg = n * 250 + s * 130;
    if (!learnt) node += n * n * 90, msg += n * n * 20;
    // Beats on their way: ten to each node five times a second, under 60 ms of delay.
    return n * node + msg * n * 10 * 5 * 60 / 1000;
}

static auto numbers(const Str& s, const Str& what, int least, int most)
    -> tl::expected<std::vector<int>, ScaleError> {
    auto o = std::vector<int>();
    auto ss = std::stringstream(s);
    for (auto t = Str(); std::getline(ss, t, ',');) {
        if (t.empty() || t.size() > 6 || t.find_first_not_of("0123456789") != Str::npos
            || std::stoi(t) < least || std::stoi(t) > most)
            return tl::make_unexpected(ScaleError{
                fmt::format("{}: wants whole numbers from {} to {}, not \"{}\"", what, least, most, t)});
        o.push_back(std::stoi(t));
    }
    if (o.empty()) return tl::make_unexpected(ScaleError{what + ": wants numbers with commas"});
    return o;
}

auto scaleParse(const ScaleFlags& f) -> tl::expected<ScaleOptions, ScaleError> {
    auto no = [](Str s) { return tl::make_unexpected(ScaleError{std::move(s)}); };
    auto o = ScaleOptions();
    if (f.membership != "roster" && f.membership != "learnt")
        return no("--membership: wants roster or learnt, not \"" + f.membership + "\"");
    o.learnt = f.membership == "learnt";
    auto ns = numbers(f.nodes.empty() ? "12,24,48,96,192,390" : f.nodes, "--nodes", 6, 4096);
    if (!ns) return no(ns.error().why);
    auto ss = numbers(f.servers.empty() ? "870" : f.servers, "--servers", 1, 4096);
    if (!ss) return no(ss.error().why);
    if (ss->size() != 1 && ss->size() != ns->size())
        return no(fmt::format("--servers: wants one number, or as many as --nodes has ({})", ns->size()));
    auto mem = f.memory ? f.memory : std::int64_t(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
    for (auto i = std::size_t(0); i < ns->size(); i++) {
        auto z = ScaleOptions::Size{(*ns)[i], ss->size() == 1 ? (*ss)[0] : (*ss)[i]};
        if (auto b = scaleMemory(z.nodes, z.servers, o.learnt); b > mem / 2)
            return no(fmt::format(
                "--nodes: {} nodes with {} servers may take {} MB, over half of this machine's {} MB",
                z.nodes, z.servers, b >> 20, mem >> 20));
        o.sizes.push_back(z);
    }
    o.seed = f.seed;
    o.json = f.json;
    o.probes = f.probes;
    o.svg = f.svg;
    if (!o.svg.empty() && !std::ofstream(o.svg, std::ios::app))
        return no("--svg: " + o.svg + " cannot be written");
    if (!f.earlier.empty()) {
        auto t = fileRead(f.earlier);
        if (!t) return no("--earlier: " + t.error());
        auto in = std::stringstream(*t);
        for (auto l = Str(); std::getline(in, l);) {
            auto d = Doc();
            if (!jsParse(l, d) || !d.IsObject() || !d.HasMember("counts") || !d.HasMember("costs"))
                return no("--earlier: " + f.earlier + ": not the lines of an earlier run with --json");
            o.earlier.push_back(l);
        }
    }
    return o;
}

auto scaleMain(const ScaleFlags& f) -> int {
    auto o = scaleParse(f);
    if (!o) {
        fmt::print(stderr, "duneturn scale: {}\n", o.error().why);
        return 2;
    }
    auto ls = std::vector<Str>();
    if (!o->json)
        fmt::print(
            "{:>5} {:>7} | bytes/s a node in, out, busiest | msgs/s in | us/s mean, busiest | heap MB edge, "
            "leader"
            " | change: ack, last ms | dead ms | no leader ms\n",
            "nodes", "servers");
    for (auto z : o->sizes) {
        auto p = scalePoint(*o, z);
        ls.push_back(p.json());
        auto c = [&](const char* k) { return p.counts.count(k) ? p.counts[k] : -1; };
        auto k = [&](const char* n) { return p.costs.count(n) ? p.costs[n] : -1; };
        if (o->json) fmt::print("{}\n", ls.back());
        else
            fmt::print("{:>5} {:>7} | {} {} {} | {} | {} {} | {:.1f} {:.1f} | {} {} | {} | {}\n", z.nodes,
                z.servers, c("all.bytesIn"), c("all.bytesOut"), c("all.bytesMax"), c("all.messagesIn"),
                k("all.cpuUs"), k("all.cpuUsMax"), double(k("edge.heapBytes")) / 1e6,
                double(k("leader.heapBytes")) / 1e6, c("change.ackUs") / MS, c("change.convergenceUs") / MS,
                c("failureDetection.allUs") / MS, c("leaderLoss.electionUs") / MS);
        std::fflush(stdout);
    }
    if (o->svg.empty()) return 0;
    auto out = std::ofstream(o->svg, std::ios::trunc);
    out << plot(ls, o->earlier);
    out.close();
    if (out) return 0;
    fmt::print(stderr, "duneturn scale: {} could not be written\n", o->svg);
    return 1;
}

}  // namespace dt
