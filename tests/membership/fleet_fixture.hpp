#pragma once
// A fleet whose membership is learnt, over virtual time: twelve nodes in two regions, three of
// them cores, given three seeds and nothing else.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "test.hpp"

namespace duneturn {

struct Fleet;

struct FleetNode : NodePort {
    Fleet& f;
    Settings st;
    bool core = false, up = false, removed = false;
    std::int64_t life = 0;
    Microseconds frozen = 0;
    DiskState held;
    std::deque<std::pair<Microseconds, DiskWrite>> under;
    DiskWriteFence gate;
    std::string fresh;
    std::vector<std::string> kept;
    Counters ct;
    std::unique_ptr<Node> n;
    std::int64_t top = 0;
    explicit FleetNode(Fleet& x) : f(x) {}
    auto send(const std::string& addr, const wire::Envelope& e) -> void override;
    auto disk(const DiskWrite& w) -> void override;
    auto done(std::int64_t id, const Outcome& o) -> void override;
    auto savePeerHints(const std::vector<std::string>& a) -> void override { kept = a; }
    auto probe(const std::string&, const std::string&) -> void override;
};

struct Fleet {
    RandomSource r;
    Microseconds t = 0, sync = 3 * MILLISECOND;
    std::vector<std::unique_ptr<FleetNode>> nodes;
    struct Post {
        std::string to;
        std::size_t from;
        wire::Envelope e;
    };
    std::multimap<Microseconds, Post> net;
    std::map<std::pair<std::size_t, std::string>, Microseconds>
        last;  // of a link: what is said stays in order
    std::set<std::pair<std::size_t, std::size_t>> cut;
    std::map<std::int64_t, Outcome> outcomes;
    std::vector<std::string> seeds;
    std::map<std::string, std::size_t> indexByAddress;
    std::int64_t ids = 0, between = 0, all = 0, probes = 0, heartbeats = 0;
    std::string bad;
    double loss = 0;
    /// Alters what a node (by its place) sends to an address; none by default.
    std::function<void(std::size_t from, const std::string& to, wire::Envelope&)> filter;
    bool serveOn = true, weigh = false, broken = false;

    explicit Fleet(std::uint64_t seed) : r{seed} {}

    auto add(const std::string& region, const std::string& zone, bool core, bool bootstrap) -> FleetNode& {
        auto& b = *nodes.emplace_back(std::make_unique<FleetNode>(*this));
        auto k = nodes.size();
        b.core = core;
        b.st.node = fmt::format("edge-{}-{}", zone, k);
        b.st.zone = zone;
        b.st.region = region;
        b.st.peer = fmt::format("10.1.{}.{}:7720", k / 250, k % 250);
        b.st.clientAddress = fmt::format("10.1.{}.{}:8161", k / 250, k % 250);
        b.st.operatorAddress = fmt::format("10.1.{}.{}:8166", k / 250, k % 250);
        indexByAddress[b.st.peer] = k - 1;
        b.st.seeds = seeds;
        b.st.gossip = true;
        b.st.bootstrap = bootstrap;
        b.st.serveOn = serveOn;
        b.st.probes = false;
        return b;
    }
    // `cores` of them with a disk, one a district in turn.
    auto bootstrap(int cores = 3, int nodeCount = 12) -> void {
        auto ds = std::vector<std::pair<std::string, std::string>>{
            {"punjab", "lhr-hall"}, {"punjab", "mtn-hall"}, {"sindh", "khi-hall"}};
        seeds = {"10.1.0.1:7720", "10.1.0.2:7720", "10.1.0.3:7720"};
        for (auto i = 0; i < nodeCount; i++)
            add(ds[std::size_t(i % 3)].first, ds[std::size_t(i % 3)].second, i < cores, true);
        for (auto& b : nodes) start(*b);
    }
    auto start(FleetNode& b) -> void {
        b.up = true;
        b.life++;
        b.frozen = 0;
        b.gate = {};
        b.top = 0;
        b.n = std::make_unique<Node>(b.st, b, b.ct, 1'700'000'000 * SECOND + t + b.life, r.next());
        if (!b.core) return;
        b.n->addPeerHints(b.kept);
        b.n->startCore(b.held, fmt::format("disk-{}-{}", b.st.node, r.below(1000000)), t);
    }
    auto stop(FleetNode& b) -> void {  // power: what was not synced is lost
        b.up = false;
        b.n.reset();
        b.under.clear();
    }
    // Settings written now name three cores by a list that lags, so one of them may be gone.
    auto reseed() -> void {
        auto v = std::vector<std::string>();
        auto gone = std::string();
        for (auto& b : nodes)
            if (b->core && b->removed) gone = b->st.peer;
            else if (b->core) v.push_back(b->st.peer);
        if (!gone.empty()) v.insert(v.begin() + Microseconds(r.below(3)), gone);
        v.resize(std::min<std::size_t>(v.size(), 3));
        if (!v.empty()) seeds = v;
    }
    auto restart(FleetNode& b) -> void {
        b.st.bootstrap = false;
        start(b);
    }
    auto back(FleetNode& b) -> void {  // with the settings as they are now
        reseed();
        b.st.seeds = seeds;
        restart(b);
    }
    auto wipe(FleetNode& b) -> void {
        b.held = {};
        b.kept.clear();
    }
    auto at(const std::string& addr) -> int {
        auto i = indexByAddress.find(addr);
        return i == indexByAddress.end() || nodes[i->second]->removed ? -1 : int(i->second);
    }
    auto of(const FleetNode& b) -> std::size_t { return indexByAddress[b.st.peer]; }
    auto lone(FleetNode& b, bool on) -> void {  // cut off from all the others
        auto k = of(b);
        for (auto i = std::size_t(0); i < nodes.size(); i++) {
            if (i == k) continue;
            for (auto p : {std::pair(i, k), std::pair(k, i)})
                if (on) cut.insert(p);
                else cut.erase(p);
        }
    }
    auto post(FleetNode& b, const std::string& to, wire::Envelope e) -> void {
        if (filter) filter(of(b), to, e);
        auto j = at(to);
        if (j < 0 || r.chance(loss)) return;
        auto& o = *nodes[std::size_t(j)];
        auto d = b.st.region != o.st.region ? 55 * MILLISECOND
            : b.st.zone != o.st.zone        ? 900
                                            : Microseconds(300);
        if (weigh) {
            auto m = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
            auto p = apache::thrift::protocol::TCompactProtocol(m);
            auto n = std::int64_t(e.write(&p)) + 30;  // the frame and the call around it
            all += n;
            if (b.st.region != o.st.region) between += n;
        }
        auto& l = last[{of(b), to}];
        l = std::max(l, t + d + Microseconds(r.below(300)));
        net.emplace(l, Post{to, of(b), e});
    }
    auto run(Microseconds d) -> void {
        for (auto end = t + d; t < end && bad.empty();) {
            t += 2 * MILLISECOND;
            for (auto& b : nodes)
                if (broken && b->up && b->n->voter()) b->n->voter()->broken.ackBeforeSync = true;
            while (!net.empty() && net.begin()->first <= t) {
                auto p = net.begin()->second;
                auto when = net.begin()->first;
                net.erase(net.begin());
                auto j = at(p.to);
                if (j < 0 || !nodes[std::size_t(j)]->up || cut.count({p.from, std::size_t(j)})) continue;
                auto& b = *nodes[std::size_t(j)];
                if (b.frozen > t) net.emplace(std::max(when, b.frozen), p);
                else b.n->handle(p.e, t);
            }
            for (auto i = std::size_t(0); i < nodes.size(); i++) {
                auto& b = *nodes[i];
                if (!b.up || b.frozen > t) continue;
                while (!b.under.empty() && b.under.front().first <= t) {
                    auto w = b.under.front().second;
                    b.under.pop_front();
                    applyDiskWrite(b.held, w);
                    b.n->onDiskWriteDone(w.seq, true, t);
                }
                if ((t / MILLISECOND + Microseconds(i) * 2) % 20 == 0)
                    b.n->tick(t, 1'700'000'000 * SECOND + t);
                // Within one life no state goes back.
                if (b.n->replicatedState().version < b.top)
                    bad = fmt::format("{} went back to {}", b.st.node, b.n->replicatedState().version);
                b.top = b.n->replicatedState().version;
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, std::string(), bad);
    }
    auto until(Microseconds limit, const std::function<bool()>& f) -> bool {
        for (auto end = t + limit; t < end;) {
            if (f()) return true;
            run(20 * MILLISECOND);
        }
        return f();
    }
    auto leader() -> FleetNode* {
        auto x = static_cast<FleetNode*>(nullptr);
        for (auto& b : nodes)
            if (b->up && b->frozen <= t && b->n->voter() && b->n->voter()->ready()
                && t - b->n->voter()->lastQuorumContact() < SECOND
                && (!x || b->n->ownRecord().term > x->n->ownRecord().term))
                x = b.get();
        return x;
    }
    auto order(FleetNode& b, const std::string& what) -> std::int64_t {
        b.n->order(++ids, "empty", "key-" + what, "{\"district\":" + jsonQuote(what) + "}", t);
        return ids;
    }
    auto ok(std::int64_t id) -> bool { return outcomes.count(id) && outcomes[id].status == 200; }
    // An operator repeats an order at other nodes until it is acknowledged.
    auto ordered(const std::string& what, Microseconds limit) -> bool {
        for (auto end = t + limit; t < end;) {
            auto live = std::vector<FleetNode*>();
            for (auto& b : nodes)
                if (b->up && b->frozen <= t) live.push_back(b.get());
            auto id = order(*live[r.below(live.size())], what);
            if (until(std::min(SECOND, end - t), [&] { return ok(id); })) return true;
        }
        return false;
    }
    auto everywhere(const std::string& what) -> bool {
        for (auto& b : nodes)
            if (b->up && b->frozen <= t && !b->n->replicatedState().evacuated(what)) return false;
        return true;
    }
    auto config() -> bool {
        auto id = ++ids;
        nodes[4]->n->order(id, "config", "first",
            R"({"base":0,"config":{"mappings":[{"name":"a","path":"/a","pool":"p","MaxTries":2}]}})", t);
        return until(3 * SECOND, [&] { return ok(id); });
    }
    auto voters() -> std::vector<std::string> {
        auto v = std::vector<std::string>();
        for (auto& s : leader()->n->replicatedState().voters()) v.push_back(s.disk);
        return v;
    }
    auto seated(FleetNode& b) -> bool {
        auto v = leader() ? voters() : std::vector<std::string>();
        return b.n && std::find(v.begin(), v.end(), b.n->ownRecord().disk) != v.end();
    }
    auto show() -> void {
        if (!getenv("DT_SHOW")) return;
        for (auto& b : nodes) {
            if (!b->core || !b->n) continue;
            auto v = b->n->voter();
            fmt::print("{} disk {} role {} term {} last {} commit {} gen {} alive {} leader {} voters",
                b->st.node, v->disk(), int(v->role()), v->term(), v->last(), v->commit(),
                b->n->replicatedState().version, b->n->aliveNodes(t).size(), b->n->leaderNode(t));
            for (auto& s : v->voters()) fmt::print(" {}={}", s.node, s.disk);
            fmt::print("\n");
        }
    }
    auto startCluster(int cores = 3, int nodeCount = 12) -> void {
        bootstrap(cores, nodeCount);
        CHECK(until(3 * SECOND, [&] { return leader() != nullptr; }));
        CHECK(config());
        CHECK(until(SECOND, [&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](auto& b) { return b->n->withinLease(t); });
        }));
        run(2 * SECOND);
    }
    auto list(FleetNode& b, const std::vector<std::string>& names, const std::string& more = "") -> int {
        auto s = std::string();
        for (auto& n : names)
            s += fmt::format(
                R"({}{{"name":"{}","address":"10.9.0.1:80","region":"punjab","district":"lhr-hall","pool":"p"{}}})",
                s.empty() ? "" : ",", n, more);
        b.n->list(++ids, "{\"servers\":[" + s + "]}", t);
        return outcomes[ids].status;
    }
    auto duties() -> std::vector<FleetNode*> {
        auto v = std::vector<FleetNode*>();
        for (auto& b : nodes)
            if (b->up && b->n->hasSingletonDuty(t)) v.push_back(b.get());
        return v;
    }
    auto state(FleetNode& b, const std::string& s) -> int {
        auto i = b.n->servers().find(s);
        return i == b.n->servers().end() ? -1 : int(i->second.listing.state);
    }
    auto listed(const std::string& s, int state_) -> bool {
        return std::all_of(
            nodes.begin(), nodes.end(), [&](auto& b) { return !b->up || state(*b, s) == state_; });
    }
};

inline auto FleetNode::send(const std::string& addr, const wire::Envelope& e) -> void {
    f.heartbeats += e.__isset.heartbeat;
    f.post(*this, addr, e);
}
inline auto FleetNode::disk(const DiskWrite& w) -> void {
    under.emplace_back(f.t + 500 + Microseconds(f.r.below(std::uint64_t(f.sync))), w);
}
inline auto FleetNode::done(std::int64_t id, const Outcome& o) -> void { f.outcomes[id] = o; }
inline auto FleetNode::probe(const std::string&, const std::string&) -> void { f.probes++; }

struct MutedLog {
    MutedLog() { muteLog(!getenv("DT_SHOW")); }
    ~MutedLog() { muteLog(false); }
};

}  // namespace duneturn
