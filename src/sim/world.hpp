#pragma once
// The simulated world: what simulate.cpp (processes, servers, senders), faults.cpp and
// oracles.cpp share. Nothing outside these three uses it.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "sim/history.hpp"
#include "sim/simulate.hpp"
#include "standins/standins.hpp"

namespace duneturn {

struct World;

struct SimDisk {
    DiskState held;               // what survives the loss of power
    std::deque<DiskWrite> under;  // written, not yet synced
    Microseconds lat = 2 * MILLISECOND;
    DiskWriteFence gate;
    bool full = false, stalled = false, busy = false;
};

// One machine, and the process that may run on it.
struct Machine : NodePort, EdgePort {
    World& w;
    int i;
    Settings st;
    bool core = false;
    SimDisk dk;
    Microseconds wallOff = 0, bootOff = 0;
    std::vector<std::string> kept;  // the address book beside the store
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
    auto now() const -> Microseconds;
    auto start() -> void;
    auto kill(bool power) -> void;
    auto send(const std::string& addr, const wire::Envelope& e) -> void override;
    auto disk(const DiskWrite& x) -> void override;
    auto diskStep() -> void;
    auto done(std::int64_t id, const Outcome& o) -> void override;
    auto savePeerHints(const std::vector<std::string>& v) -> void override { kept = v; }
    auto probe(const std::string& server, const std::string& addr) -> void override;
    auto startAttempt(std::int64_t x, int a, const std::string& server, const std::string& addr)
        -> void override;
    auto cancelAttempt(std::int64_t x, int a) -> void override;
    auto sendHead(std::int64_t x, int status, const Headers& h) -> void override;
    auto sendStreamBytes(std::int64_t x, const std::string& s) -> void override;
    auto endStream(std::int64_t x, bool whole) -> void override;
    auto sendReply(std::int64_t x, int status, const Headers& h, const std::string& body) -> void override;
};

struct SimServer {
    std::string name, addr, region, zone, service, weights;
    int slots = 8;
    bool up = true, dark = false, cold = false;
    std::int64_t life = 1;
    Microseconds born = -3600 * SECOND;
    int prefill = 0, decode = 0;
    std::string mode;
    FakeCache cache;
    bool leaving = false;          // as the platform means it
    Microseconds leavingSent = 0;  // when the mark that was taken was sent
};

struct Conn {
    int m;
    std::int64_t life, x;
    int a, s;
    std::int64_t slife;
    bool open = true;
};

struct Kind : DayKind {
    bool probe = false;
};

struct Ask {  // one sender's request, over its tries
    int kind = 0;
    std::string region, body, path;
    Microseconds born = 0;
    int tries = 0, resumes = 0;
    bool over = false, moving = false;  // moving: its sender picks a cut stream up elsewhere
    std::int64_t last = 0;              // the newest event that the sender holds
    std::string weights;                // as they came with the stream
};
struct Try {
    int ask = 0, m = 0;
    std::int64_t life = 0, x = 0;
    bool over = false, streaming = false, done = false, failed = false;
    std::int64_t last = 0, from = 0;
    std::string weights, said;  // as the node told, and as the events show
    std::vector<int> execs;
    bool notRun = false;
    int sends = 0;  // begun towards servers, whatever became of them
};
struct Exec {
    int tr, s;
    std::int64_t from;
    Microseconds at;
};
// An operator's configuration order, as the operator saw it.
struct Order {
    Microseconds born = 0, over = 0;  // over: 0 if the outcome never came
    int status = 0;
    std::int64_t version = 0, base = 0;
    std::string op, what;  // config: the probe pool that it names; empty, give-back: the district
    std::shared_ptr<rapidjson::Document> cfg;
};

struct World {
    SimOptions op;
    SimResult r;
    RandomSource rng{1}, net{1}, frng{1};
    Microseconds t = 0;
    struct Ev {
        Microseconds at;
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
    std::map<std::string, int> indexByAddress;
    std::vector<SimServer> ss;
    std::map<std::string, int> sByAddr;
    std::vector<Kind> ks;
    std::vector<std::string> regions;
    std::string config;
    std::vector<std::vector<int>> cut;  // > 0: nothing passes from a to b
    double loss = 0;
    std::map<std::pair<int, int>, Microseconds> linkAt;
    std::vector<Ask> asks;
    std::vector<Try> trs;
    std::map<std::tuple<int, std::int64_t, std::int64_t>, int> tryOf;
    std::vector<Exec> execs;
    std::vector<std::unique_ptr<Conn>> conns;
    std::map<std::tuple<int, std::int64_t, std::int64_t, int>, Conn*> connOf;
    std::vector<Order> ords;
    std::vector<HistOp> hist;                         // of configuration orders and readbacks
    std::vector<std::pair<Microseconds, bool>> sent;  // to servers; whether beyond the first of its request
    double crowd = 1, swing = 0;
    bool ended = false;
    std::int64_t rev = 0;     // the platform numbers what it says
    Microseconds lostAt = 0;  // a total loss, until it is judged
    std::map<std::pair<std::string, std::string>, Microseconds>
        backAt;                                           // kind, region: first whole reply since
    Microseconds calmFrom = 0, calmTo = 0;                // requests born between are judged for liveness
    std::map<std::string, std::pair<int, int>> calmAsks;  // kind/region: asked, whole
    std::map<std::string, std::int64_t> sumCt;
    std::int64_t openEvacuations = 0;
    int askAt = -1;             // the node that the next order goes to
    Microseconds calmTill = 0;  // no other fault before this
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> ledBy;
    int probes = 8;

    auto at(Microseconds when, std::function<void()> f) -> void {
        q.push({std::max(when, t), ++evs, std::move(f)});
    }
    auto in(Microseconds d, std::function<void()> f) -> void { at(t + d, std::move(f)); }
    // For a process: lost if that life is over, kept back while it is frozen.
    auto to(int m, std::int64_t life, Microseconds d, std::function<void()> f) -> void {
        in(d, [this, m, life, f = std::move(f)] {
            auto& x = *ms[std::size_t(m)];
            if (!x.up || x.life != life) return;
            if (x.frozen) x.inbox.push_back(f);
            else f();
        });
    }
    auto say(const std::string& s) -> void {
        auto l = fmt::format("{:>12} {}", t, s);
        r.digest = hash64(l, r.digest);
        if (!op.quiet) fmt::print("{}\n", l);
        if (r.broken.empty()) {
            r.trace.push_back(l);
            if (r.trace.size() > 4000) r.trace.erase(r.trace.begin(), r.trace.begin() + 2000);
        }
    }
    auto broke(const std::string& rule, const std::string& s) -> void {
        say(fmt::format("BROKEN {}: {}", rule, s));
        if (r.broken.size() < 20) r.broken.push_back(rule + ": " + s);
    }
    auto lat() -> Microseconds {
        return 300 + Microseconds(net.below(700))
            + (net.chance(.01) ? Microseconds(net.below(20 * MILLISECOND)) : 0);
    }
    auto has(const std::string& f) const -> bool {
        return std::find(op.faults.begin(), op.faults.end(), f) != op.faults.end();
    }

    auto load() -> std::string;
    auto run() -> void;
    auto ticks(int m, std::int64_t life) -> void;
    auto arrive(std::size_t k) -> void;
    auto ask(std::size_t k, const std::string& region) -> void;
    auto countSend(int tr) -> void;
    auto totalLoss(const std::string& f) -> void;
    auto ruin() -> void;
    auto returnCold(SimServer& s) -> bool;
    auto returnUnmarked(SimServer& s) -> void;
    auto wake(Machine& m) -> void;
    auto restart(int i, Microseconds d) -> void;
    auto loseDisk(Machine& m) -> void;
    auto moveCore(Machine& k) -> void;
    auto newestConfig() const -> std::int64_t;
    auto putConfig(int probe, std::int64_t base, std::function<void(int)> f, const std::string& twist = "")
        -> void;
    auto restoreZone(const std::string& zone) -> void;
    auto go(int a) -> void;
    auto again(int a, bool later) -> void;
    auto lostTry(int tr) -> void;
    auto event(int tr, const std::string& raw) -> void;
    auto endTry(int tr, bool whole) -> void;
    auto replyTry(int tr, int status, const Headers& h, const std::string& body) -> void;
    auto result(int tr, const std::string& what) -> void;
    auto serve(Conn* c, int tr, const Request& x) -> void;
    auto up(Conn* c, Microseconds d, std::function<void(Machine&)> f) -> void;
    auto closeConn(Conn* c) -> void;
    auto serverDown(int s, bool silent) -> void;
    auto platform() -> void;
    auto listing() -> std::string;
    auto tellPlatform(std::function<void(bool)> f, int tries) -> void;
    auto order(const std::string& op, const std::string& body, const std::string& what, std::int64_t base,
        std::function<void(int)> f) -> void;
    auto fault(const std::string& f) -> void;
    auto faults() -> void;
    auto leader() -> int;
    auto aliveMachine() -> int;
    auto checkExec(const Exec& e) -> void;
    auto orderEffects(const Exec& e) -> void;
    auto inForce(Microseconds at) const -> std::vector<const Order*>;
    auto allows(const rapidjson::Document& c, const Exec& e) const -> std::string;
    auto leavingTaken(int s) -> void;
    auto emptyTaken(const Order& d) -> void;
    auto calm() -> void;
    auto leaks() -> void;
    auto canary(Microseconds till) -> void;
    auto finish() -> void;
    auto dump() -> void;
    auto probeConfig(int k, const std::string& twist = "") -> std::string;
    auto cutTry(int tr) -> void;
    auto readback(std::function<void(bool, const std::string&)> f) -> void;
    auto heal() -> void;
};

}  // namespace duneturn
