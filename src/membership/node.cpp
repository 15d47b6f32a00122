#include "membership/node.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/address.hpp"
#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "base/version.hpp"

namespace duneturn {

// The numbers of orders begin elsewhere in each life.
static auto firstOrderNumber(std::int64_t boot, std::uint64_t seed) -> std::int64_t {
    return std::int64_t(hash64(fmt::to_string(boot), seed) >> 2);
}
static auto orderRetry(const Settings& s) -> OrderRetry {
    if (!s.gossip) return {};
    return {250 * MILLISECOND, 250 * MILLISECOND, true};
}

Node::Node(const Settings& s, NodePort& p, Counters& c, std::int64_t boot, std::uint64_t seed)
    : st_(s),
      po_(p),
      ct_(c),
      rng_{seed},
      orderService_(*this, c),
      orderClient_(*this, orderRetry(s), firstOrderNumber(boot, seed)) {
    me_.node = s.node;
    me_.boot = boot;
    me_.zone = s.zone;
    me_.region = s.region;
    me_.peer = s.peer;
    me_.clientAddress = s.clientAddress;
    me_.operatorAddress = s.operatorAddress;
    me_.blank = true;
    hints_ = st_.seeds;
    heartbeat_ = st_.heartbeat ? st_.heartbeat : st_.gossip ? GOSSIP_HEARTBEAT : ROSTER_HEARTBEAT;
    if (st_.gossip) {
        alive_ = heartbeat_ * 7 / 2 + 250 * MILLISECOND;
        late_ = heartbeat_ * 2 + 250 * MILLISECOND;
    }
}
auto Node::addPeerHints(const std::vector<std::string>& v) -> void {
    for (auto& a : v)
        if (std::find(hints_.begin(), hints_.end(), a) == hints_.end() && hints_.size() < 64)
            hints_.push_back(a);
}
Node::~Node() = default;

auto Node::startCore(const DiskState& s, const std::string& newDiskId, Microseconds now) -> void {
    now_ = now;
    vt_ = std::make_unique<Voter>(*this, ct_, rng_.next());
    vt_->start(s, newDiskId, now);
    touchMe(now);
}

auto Node::env() const -> wire::Envelope {
    auto e = wire::Envelope();
    e.wire = WIRE;
    e.node = me_.node;
    return e;
}

auto Node::row(const std::string& n) const -> const wire::NodeRecord* {
    if (n == me_.node) return &me_;
    auto i = rows_.find(n);
    return i == rows_.end() ? nullptr : &i->second.record;
}
auto Node::alive(const std::string& n, Microseconds now) const -> bool {
    if (n == me_.node) return true;
    auto i = rows_.find(n);
    return i != rows_.end() && now - i->second.lastHeartbeatAt < alive_;
}
auto Node::aliveNodes(Microseconds now) const -> std::vector<std::string> {
    auto o = std::vector<std::string>{me_.node};
    for (auto& [n, k] : rows_)
        if (now - k.lastHeartbeatAt < alive_) o.push_back(n);
    std::sort(o.begin(), o.end());
    return o;
}
auto Node::leaderNode(Microseconds now) const -> std::string {
    auto b = std::string();
    auto bt = std::pair<std::int64_t, std::int64_t>(-1, -1);
    auto see = [&](const wire::NodeRecord& r) {
        if (r.leader && std::pair(r.epoch, r.term) > bt) bt = {r.epoch, r.term}, b = r.node;
    };
    see(me_);
    for (auto& [n, k] : rows_)
        if (now - k.lastHeartbeatAt < alive_) see(k.record);
    return b;
}

// ---- the tree of relays

auto Node::Tree::kids(const std::string& n) const -> std::vector<std::string> {
    auto o = std::vector<std::string>();
    for (auto& [k, u] : up)
        if (u == n) o.push_back(k);
    return o;
}

// Every node works the same tree out of what it knows: the leader at the root, one
// relay a district below it, the district's nodes below their relay, four to each.
// Where two nodes know different things the tree has gaps; pulling closes them.
auto Node::tree(Microseconds now) const -> Tree {
    auto t = Tree();
    auto root = leaderNode(now);
    auto ns = aliveNodes(now);
    if (root.empty()) {
        for (auto& n : ns)
            if (root.empty() || rendezvousRank("root", n) > rendezvousRank("root", root)) root = n;
    }
    auto by = std::map<std::string, std::vector<std::string>>();
    for (auto& n : ns) by[row(n)->zone].push_back(n);
    for (auto& [d, v] : by) {
        auto key = d + "/" + root;
        std::sort(v.begin(), v.end(), [&](auto& a, auto& b) {
            if ((a == root) != (b == root)) return a == root;
            // One that still calls itself leader beside a newer one has not been heard since.
            if (st_.gossip && row(a)->leader != row(b)->leader) return row(b)->leader;
            return rendezvousRank(key, a) > rendezvousRank(key, b);
        });
        for (auto i = std::size_t(0); i < v.size(); i++) {
            if (v[i] == root) continue;
            t.up[v[i]] = i == 0 ? root : v[(i - 1) / 4];
        }
    }
    return t;
}

// ---- what is said to others

auto Node::touchMe(Microseconds) -> void {
    me_.blank = true;
    if (vt_) {
        me_.disk = vt_->disk();
        me_.blank = vt_->blank();
        me_.term = vt_->term();
        me_.leader = vt_->leads();
    }
    me_.epoch = replicatedState_.epoch;
    me_.stateVersion = replicatedState_.version;
    me_.marks.clear();
    if (st_.gossip) {
        me_.settled = replicatedState_.version > 0;
        me_.ready = ready(now_);
        return;
    }
    for (auto& [n, s] : servers_)
        if (s.listing.state == LEAVING) {
            auto m = wire::DrainMark();
            m.server = n;
            m.revision = s.listing.revision;
            me_.marks.push_back(m);
        }
}

auto Node::heartbeatEnvelope(Microseconds now) -> wire::Envelope {
    auto e = env();
    auto b = wire::Heartbeat();
    b.rows.push_back(me_);
    for (auto& [n, k] : rows_)
        if (now - k.lastHeartbeatAt < FORGET_TIMEOUT) b.rows.push_back(k.record);
    for (auto& [n, s] : servers_) {
        b.listings.push_back(s.listing);
        b.listings.back().age = now - s.listedAt;
        b.listings.back().cold = std::max<Microseconds>(0, s.coldUntil - now);
        if (s.loadReadAt && now - s.loadReadAt < LOAD_MAX_AGE) {
            b.loads.push_back(s.load);
            b.loads.back().age = now - s.loadReadAt;
        }
    }
    e.__set_heartbeat(b);
    return e;
}

auto Node::sendHeartbeat(Microseconds now, bool all) -> void {
    me_.heartbeat++;
    sentAt_[me_.heartbeat] = now;
    while (sentAt_.size() > 64) sentAt_.erase(sentAt_.begin());
    touchMe(now);
    me_.wall = wall_;
    me_.acks.clear();
    for (auto& [n, k] : rows_) {
        if (now - k.lastHeartbeatAt >= FORGET_TIMEOUT) continue;
        auto c = wire::HeartbeatAck();
        c.node = n;
        c.boot = k.record.boot;
        c.heartbeat = k.record.heartbeat;
        me_.acks.push_back(c);
    }
    auto to = std::set<std::string>();
    auto t = tree(now);
    for (auto& n : t.kids(me_.node)) to.insert(n);
    if (all) {
        if (auto i = t.up.find(me_.node); i != t.up.end()) to.insert(i->second);
        // The few that rendezvous hashing names for this node.
        auto ns = aliveNodes(now);
        ns.erase(std::remove(ns.begin(), ns.end(), me_.node), ns.end());
        std::sort(
            ns.begin(), ns.end(), [&](auto& a, auto& b) { return rendezvousRank(me_.node, a) > rendezvousRank(me_.node, b); });
        for (auto i = std::size_t(0); i < ns.size() && i < 3; i++) to.insert(ns[i]);
        for (auto& [n, k] : rows_)
            if (voterDisks_.count(k.record.disk)) to.insert(n);
    }
    auto e = heartbeatEnvelope(now);
    for (auto& n : to)
        if (auto r = row(n); r && n != me_.node) po_.send(r->peer, e);
    if (all && !hints_.empty()) {
        // One seed a round joins what a cut has parted, whoever lives there now.
        auto& s = hints_[seed_++ % hints_.size()];
        if (s != me_.peer) po_.send(s, e);
    }
    ct_.add("beats_sent_total");
}

auto Node::sendReplicatedState(const std::string& addr) -> void {
    auto e = env();
    auto w = wire::ReplicatedState();
    w.epoch = replicatedState_.epoch;
    w.version = replicatedState_.version;
    w.document = replicatedState_.text();
    e.__set_replicatedState(w);
    po_.send(addr, e);
}

// ---- freshness

auto Node::holds(const wire::NodeRecord& r, std::int64_t version) const -> bool {
    return std::pair(r.epoch, r.stateVersion) >= std::pair(replicatedState_.epoch, version);
}

// A majority of voters, or of the roster, was heard within the lease and knew of no
// newer word than is held here. Every acknowledged order is held by a majority of both.
auto Node::counted(Microseconds now, bool settledVoters) const -> bool {
    auto v = std::size_t(0), n = std::size_t(0);
    auto see = [&](const wire::NodeRecord& r) {
        if (std::pair(r.epoch, r.stateVersion) > std::pair(replicatedState_.epoch, replicatedState_.version))
            return;
        if (!r.blank && voterDisks_.count(r.disk) && (r.settled || !settledVoters)) v++;
        if (r.settled && roster_.count(r.node)) n++;
    };
    see(me_);
    // Beats that are learnt carry no echoes: there the time is when the row's beat came.
    for (auto& [k, x] : rows_)
        if (st_.gossip ? now - x.lastHeartbeatAt < alive_
                       : x.acknowledgedSince && now - x.acknowledgedSince <= LEASE_DURATION)
            see(x.record);
    return v * 2 > voterDisks_.size() || n * 2 > roster_.size();
}

auto Node::withinLease(Microseconds now) const -> bool {
    if (broken.noLease) return replicatedState_.version > 0;
    if (st_.gossip && st_.serveOn) return replicatedState_.configVersion() > 0;
    return replicatedState_.version > 0 && me_.settled && counted(now, true);
}
auto Node::ready(Microseconds now) const -> bool {
    if (me_.stopping || !withinLease(now) || replicatedState_.configVersion() == 0) return false;
    return std::any_of(
        servers_.begin(), servers_.end(), [](auto& s) { return s.second.listing.state == UP; });
}

auto Node::proven(
    MajorityProof& p, const std::function<bool(const wire::NodeRecord&)>& f, Microseconds now) const -> bool {
    if (broken.ackEarly) return true;
    auto both = [&](const std::function<bool(const wire::NodeRecord&, Microseconds)>& g) {
        auto v = std::size_t(0), n = std::size_t(0);
        auto see = [&](const wire::NodeRecord& r, Microseconds t0) {
            if (!f(r) || !g(r, t0)) return;
            v += !r.blank && voterDisks_.count(r.disk);
            n += roster_.count(r.node);
        };
        see(me_, now);
        for (auto& [k, x] : rows_) see(x.record, x.acknowledgedSince);
        return v * 2 > voterDisks_.size() && n * 2 > roster_.size();
    };
    if (!p.begun) {
        if (!both([](auto&, Microseconds) { return true; })) return false;
        p.begun = now;
        p.boots[me_.node] = me_.boot;
        for (auto& [k, x] : rows_)
            if (f(x.record)) p.boots[k] = x.record.boot;
        return false;
    }
    auto ok = both([&](const wire::NodeRecord& r, Microseconds t0) {
        auto i = p.boots.find(r.node);
        return i != p.boots.end() && i->second == r.boot && t0 >= p.begun;
    });
    // One that fell away meanwhile must not hold the rest up for good.
    if (!ok && now - p.begun > SECOND) p = {};
    return ok;
}

// ---- hearing

auto Node::handle(const wire::Envelope& e, Microseconds now) -> void {
    clock(now);
    if (e.wire < WIRE - 1 || e.wire > WIRE + 1) {
        ct_.add("wire_version_dropped_total");
        return;
    }
    if (e.__isset.heartbeat && st_.gossip) gossipHandle(e, now);
    else if (e.__isset.heartbeat) {
        auto t = tree(now);
        merge(e.heartbeat, e.node, now);
        auto i = t.up.find(me_.node);
        // News from above goes on down at once, not at the next beat.
        if (i != t.up.end() && i->second == e.node && !t.kids(me_.node).empty()) sendHeartbeat(now, false);
    }
    if (e.__isset.replicatedState) handleReplicatedState(e.replicatedState, now);
    if (e.__isset.replicatedStateRequest
        && std::pair(e.replicatedStateRequest.epoch, e.replicatedStateRequest.version)
            < std::pair(replicatedState_.epoch, replicatedState_.version))
        if (auto r = row(e.node)) sendReplicatedState(r->peer);
    if (e.__isset.orderRequest) serveOrder(e.orderRequest, now);
    if (e.__isset.orderReply) orderClient_.answered(e.orderReply, me_.boot, now);
    if (e.__isset.creditGrant && e.creditGrant.boot == me_.boot) {
        auto& g = grants_[e.node];
        if (e.creditGrant.seq > g) {
            g = e.creditGrant.seq;
            if (onGrant) onGrant(e.creditGrant.credit);
        }
    }
    if (vt_ && !e.disk.empty()) {
        vt_->handle(e, now);
        orderService_.tick(*vt_, wall_, now);
    }
}

// A gap in its own time tells a process that it was frozen.
auto Node::clock(Microseconds now) -> void {
    if (now_ && now - now_ > FREEZE_GAP) {
        wokeAt_ = now;
        ct_.add("woke_total");
    }
    now_ = now;
}

auto Node::wasFrozenSince(Microseconds arrived, Microseconds now) const -> bool {
    if (now_ && now - now_ > FREEZE_GAP) return true;  // and it has not been noticed yet
    return wokeAt_ && wokeAt_ + RESUME_GRACE > arrived;
}

auto Node::merge(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> void {
    auto ask = std::string();
    auto best0 = std::pair(newestKnownState().epoch, newestKnownState().version);
    auto best = best0;
    for (auto& r : b.rows) {
        if (r.node.empty() || r.node.size() > 256 || r.peer.size() > 64) continue;
        if (r.node == me_.node) {
            // An earlier life of this one, by a clock that has since been set back, or another of
            // the same name: the newest life has the highest number, or it would not be heard.
            if (std::pair(r.boot, r.heartbeat) > std::pair(me_.boot, me_.heartbeat)) {
                if (r.peer != me_.peer) ct_.add("own_name_elsewhere_total");
                ct_.add("boot_raised_total");
                if (!broken.oldBoot) me_.boot = r.boot + 1;
            }
            continue;
        }
        auto i = rows_.find(r.node);
        if (i == rows_.end()) {
            if (rows_.size() > 4096) continue;
            i = rows_.emplace(r.node, KnownNode()).first;
            logf("node {} known at {}", r.node, r.peer);
        }
        auto& k = i->second;
        if (std::pair(r.boot, r.heartbeat) <= std::pair(k.record.boot, k.record.heartbeat)) continue;
        if (k.record.boot != r.boot) k.acknowledgedSince = 0;
        if (!k.lastHeartbeatAt || now - k.lastHeartbeatAt >= alive_) ct_.add("node_heard_again_total");
        k.record = r;
        k.lastHeartbeatAt = now;
        for (auto& c : r.acks)
            if (c.node == me_.node && c.boot == me_.boot)
                if (auto s = sentAt_.find(c.heartbeat); s != sentAt_.end())
                    k.acknowledgedSince = std::max(k.acknowledgedSince, s->second);
        for (auto& m : r.marks) {
            auto& s = servers_[m.server];
            if (m.revision < s.listing.revision) continue;
            if (m.revision > s.listing.revision || s.listing.state != LEAVING) s.listedAt = now;
            s.listing.server = m.server;
            s.listing.revision = m.revision;
            s.listing.state = LEAVING;
        }
        if (std::pair(r.epoch, r.stateVersion) > best) {
            best = {r.epoch, r.stateVersion};
            ask = r.peer;
        }
    }
    for (auto& l : b.listings) {
        if (l.server.empty() || l.server.size() > 256) continue;
        auto i = servers_.find(l.server);
        if (i == servers_.end()) {
            if (servers_.size() > 4096) continue;
            i = servers_.emplace(l.server, KnownServer()).first;
            i->second.firstSeenAt = now;
        }
        auto& s = i->second;
        // Of the same generation, leaving wins: the mark may have come ahead of the listing.
        if (l.revision < s.listing.revision
            || (l.revision == s.listing.revision && s.listing.state > l.state))
            continue;
        if (l.revision == s.listing.revision && s.listing.state == l.state && !s.listing.address.empty()) {
            s.listedAt = std::max(s.listedAt, now - l.age);
            continue;
        }
        if (l.inc != s.listing.inc || s.listing.state == GONE) s.firstSeenAt = now, s.loadReadAt = 0;
        s.listing = l;
        s.listedAt = now - l.age;
        s.coldUntil = l.cold > 0 ? now + l.cold : 0;
        listTold_ = std::max(listTold_, s.listedAt);
    }
    // What lay unheard while this process was frozen is older than it says. What its teller
    // wrote after hearing this node awake is not.
    auto teller = rows_.find(from);
    auto dated = !wokeAt_ || (teller != rows_.end() && teller->second.acknowledgedSince >= wokeAt_);
    for (auto& d : b.loads) {
        if (!dated) break;
        auto i = servers_.find(d.server);
        if (i == servers_.end() || d.age < 0) continue;
        if (auto t = now - d.age; t > i->second.loadReadAt) {
            i->second.load = d;
            i->second.loadReadAt = t;
        }
    }
    // A gap in the news is closed by pulling it from the one who is known to hold it.
    if (!ask.empty() && now >= pullAt_) {
        pullAt_ = now + 50 * MILLISECOND;
        auto e = env();
        auto w = wire::ReplicatedStateRequest();
        w.epoch = best0.first;
        w.version = best0.second;
        e.__set_replicatedStateRequest(w);
        po_.send(ask, e);
        ct_.add("word_pulled_total");
    }
}

auto Node::handleReplicatedState(const wire::ReplicatedState& w, Microseconds now) -> void {
    // A voter takes its word from its own disk only: what it says it holds must last.
    if (vt_ && !vt_->blank()) {
        if (std::pair(w.epoch, w.version) > std::pair(heard_.epoch, heard_.version))
            if (auto n = ReplicatedState(); n.load(w.document) && n.epoch == w.epoch && n.version == w.version)
                heard_ = n;
        if (st_.gossip && w.epoch == vt_->epoch()) {
            // Acknowledgement rests on the disks alone, so a newer word may be acted on at once.
            auto n = ReplicatedState();
            if (w.version <= replicatedState_.version || !n.load(w.document) || n.epoch != w.epoch
                || n.version != w.version)
                return;
            auto vs = n.voters();
            if (std::none_of(vs.begin(), vs.end(), [&](auto& v) { return v.disk == vt_->disk(); }))
                vt_->retire(n.version, fmt::format("{:016x}", hash64(me_.node, rng_.next())), now);
            voterApplied(n, "", {});
            return;
        }
        if (w.epoch <= vt_->epoch()) return;
        // Two may rebuild at once: a disk that voted in one such reign stays with it.
        // A later rebuild has seen a majority of these seats lost.
        vt_->leaveCluster(w.epoch / EPOCH_STRIDE > vt_->epoch() / EPOCH_STRIDE, now);
        return;
    }
    if (!broken.acceptOldState
        && std::pair(w.epoch, w.version) <= std::pair(replicatedState_.epoch, replicatedState_.version)) {
        ct_.add("word_old_dropped_total");
        return;
    }
    auto n = ReplicatedState();
    if (!n.load(w.document) || n.epoch != w.epoch || n.version != w.version) {
        ct_.add("word_malformed_total");
        return;
    }
    voterApplied(n, "", {});
}

auto Node::voterApplied(const ReplicatedState& w, const std::string& key, const Outcome& o) -> void {
    auto rose = std::pair(w.epoch, w.version) > std::pair(replicatedState_.epoch, replicatedState_.version);
    if (rose || broken.acceptOldState) {
        auto cg = replicatedState_.configVersion();
        replicatedState_ = w;
        voterDisks_.clear();
        roster_.clear();
        for (auto& v : w.voters()) voterDisks_.insert(v.disk);
        for (auto& r : w.roster()) roster_.insert(r);
        ct_.set("word_generation", w.version);
        ct_.set("word_reign", w.epoch);
        ct_.set("config_generation", w.configVersion());
        if (cg != w.configVersion()) logf("configuration generation {} in force here", w.configVersion());
        touchMe(now_);
        if (onStateChange) onStateChange();
        // Down the tree at once.
        auto t = tree(now_);
        for (auto& k : t.kids(me_.node))
            // A leader's voters take it from the log.
            if (auto r = row(k);
                r && !(st_.gossip && vt_ && vt_->leads() && !r->blank && voterDisks_.count(r->disk)))
                sendReplicatedState(r->peer);
        nextHeartbeat_ = std::min(nextHeartbeat_, now_ + 20 * MILLISECOND);
    }
    orderService_.applied(key, w.version, o);
}

// ---- orders

auto Node::order(std::int64_t id, const std::string& op, const std::string& key, const std::string& body,
    Microseconds now) -> void {
    orderClient_.order(id, op, key, body, now);
    ct_.add("orders_taken_total");
}
auto Node::read(std::int64_t id, const StateQuery& query, Microseconds now) -> void {
    orderClient_.read(id, query, now);
}
auto Node::cancelOrder(std::int64_t id) -> void {
    ct_.add("orders_cancelled_total");
    orderClient_.cancel(id);
}

auto Node::serveOrder(const wire::OrderRequest& ask, Microseconds now) -> void {
    auto from = Requester{ask.back, ask.boot, ask.id};
    if (!vt_) answer(from, order_answer::notLeader());
    else if (ask.readback) orderService_.read(*vt_, from, StateQuery::parse(ask.body), now);
    else orderService_.order(*vt_, from, ask.body, wall_, now);
}

auto Node::answer(const Requester& to, const Outcome& outcome) -> void {
    auto e = env();
    auto reply = wire::OrderReply();
    reply.id = to.request;
    reply.status = outcome.status;
    reply.body = outcome.body;
    reply.__set_boot(to.boot);
    e.__set_orderReply(reply);
    if (to.address == me_.peer) handle(e, now_);
    else po_.send(to.address, e);
}

auto Node::acknowledged(MajorityProof& proof, std::int64_t generation, Microseconds now) -> bool {
    // With learnt membership a majority of the voters' disks is enough, and those hold it.
    if (st_.gossip) return true;
    auto held = [&](const wire::NodeRecord& row) { return holds(row, generation); };
    return proven(proof, held, now);
}

auto Node::findLeader(Microseconds now) -> std::string { return leaderNode(now); }
auto Node::lastLeader() -> std::string { return led_; }

auto Node::sendOrder(const std::string& node, wire::OrderRequest& ask, Microseconds now) -> void {
    ask.back = me_.peer;
    if (node == me_.node) return serveOrder(ask, now);
    auto known = row(node);
    if (!known) return;
    auto e = env();
    e.__set_orderRequest(ask);
    po_.send(known->peer, e);
}

auto Node::orderDone(std::int64_t id, const Outcome& outcome) -> void { po_.done(id, outcome); }

auto Node::voterRead(std::int64_t id, bool ok) -> void { orderService_.readDone(*vt_, id, ok); }

// ---- the platform

// The number of what the platform says: its own, or the next one if it numbers nothing.
// -1 if something newer is known: this was held up on its way.
auto Node::listNo(std::int64_t rev) const -> std::int64_t {
    if (!rev || broken.lateUp) return listTop() + 1;
    return rev > listTop() ? rev : -1;
}
auto Node::listTop() const -> std::int64_t {
    auto g = std::int64_t(0);
    for (auto& [n, s] : servers_) g = std::max(g, s.listing.revision);
    return g;
}
auto Node::lateBody() const -> Outcome {
    return {409,
        bodyOf({{"error", jsonQuote("a newer listing or mark is known")},
            {"revision", fmt::to_string(listTop())}})};
}

auto Node::list(std::int64_t id, const std::string& body, Microseconds now) -> void {
    static constexpr auto LISTING =
        R"({"type":"object","additionalProperties":false,"required":["servers"],"properties":{
      "revision":{"type":"integer","minimum":1},
      "servers":{"type":"array","maxItems":4096,"items":{"type":"object","additionalProperties":false,
        "required":["name","address","region","district","pool"],"properties":{
        "name":{"type":"string","minLength":1,"maxLength":200},"address":{"type":"string"},"region":{"type":"string"},"district":{"type":"string"},
        "pool":{"type":"string"},"weights":{"type":"string"},"slots":{"type":"integer","minimum":1,"maximum":10000},
        "state":{"type":"string","enum":["up","leaving"]},"incarnation":{"type":"integer"},
        "coldUs":{"type":"integer","minimum":0}}}}}})";
    auto d = rapidjson::Document();
    if (!parseJson(body, d)) return po_.done(id, {400, errorBody({{"/", "malformed JSON"}})});
    auto f = checkSchema(d, LISTING);
    if (f.empty()) {
        auto i = 0;
        for (auto& s : d["servers"].GetArray()) {
            if (auto a = parseAddress(jsonString(s, "address")); !a)
                f.push_back({fmt::format("/servers/{}/address", i), a.error()});
            i++;
        }
    }
    if (!f.empty()) return po_.done(id, {422, errorBody(f)});
    if (st_.gossip) return gossipList(id, d, now);
    auto g = listNo(jsonInteger(d, "revision"));
    if (g < 0) return po_.done(id, lateBody());
    auto has = std::set<std::string>();
    auto w = Wait{id, {}, now + 3 * SECOND, {}};
    for (auto& v : d["servers"].GetArray()) {
        auto n = jsonString(v, "name");
        has.insert(n);
        auto& s = servers_[n];
        auto inc = jsonInteger(v, "incarnation");
        auto was = s.listing.state;
        if (s.listing.server.empty() || s.listing.inc != inc || s.listing.state == GONE)
            s.firstSeenAt = now, s.loadReadAt = 0;
        s.listing.server = n;
        s.listing.address = jsonString(v, "address");
        s.listing.region = jsonString(v, "region");
        s.listing.zone = jsonString(v, "district");
        s.listing.serviceName = jsonString(v, "pool");
        s.listing.weights = jsonString(v, "weights");
        s.listing.slots = std::int32_t(jsonInteger(v, "slots", 8));
        s.listing.state = jsonString(v, "state", "up") == "up" ? UP : LEAVING;
        s.listing.inc = inc;
        s.listing.revision = g;
        s.listedAt = now;
        s.coldUntil = v.HasMember("coldUs") ? now + jsonInteger(v, "coldUs") : 0;
        if (s.listing.state == LEAVING && was != LEAVING) {
            auto m = wire::DrainMark();
            m.server = n;
            m.revision = g;
            w.ms.push_back(m);
        }
    }
    for (auto& [n, s] : servers_)
        if (!has.count(n)) {
            if (s.listing.state == UP) {
                auto m = wire::DrainMark();
                m.server = n;
                m.revision = g;
                w.ms.push_back(m);
                s.listing.state = LEAVING;
                s.listing.revision = g;
                s.listedAt = now;
            }
        }
    listTold_ = now;
    ct_.add("listings_taken_total");
    touchMe(now);
    nextHeartbeat_ = now;
    if (w.ms.empty()) return po_.done(id, {200, "{\"listed\":" + fmt::to_string(has.size()) + "}"});
    waits_.push_back(w);
}

auto Node::mark(std::int64_t id, const std::string& n, std::int64_t rev, Microseconds now) -> void {
    auto i = servers_.find(n);
    if (i == servers_.end()) return po_.done(id, {404, errorBody({{"/server", "not listed: " + n}})});
    auto g = st_.gossip ? raiseList(now) : listNo(rev);
    if (g < 0) return po_.done(id, lateBody());
    if (i->second.listing.state == UP) {
        i->second.listing.state = LEAVING;
        logf("server {} is leaving", n);
    }
    i->second.listing.revision = g;
    i->second.listedAt = now;
    auto m = wire::DrainMark();
    m.server = n;
    m.revision = i->second.listing.revision;
    touchMe(now);
    nextHeartbeat_ = now;
    ct_.add("marks_taken_total");
    if (st_.gossip) return po_.done(id, {200, "{\"held\":true}"});
    waits_.push_back({id, {m}, now + 3 * SECOND, {}});
}

auto Node::probeFinished(
    const std::string& n, bool ok, bool refused, const wire::ServerLoad& d, Microseconds now) -> void {
    auto i = servers_.find(n);
    if (i == servers_.end()) return;
    auto& s = i->second;
    s.failedProbes = ok ? 0 : s.failedProbes + 1;
    if (!ok && !refused && s.failedProbes < 2) return;
    auto dark = !ok;
    if (s.loadReadAt && s.load.dark != dark) logf("server {} is {}", n, dark ? "dark" : "back");
    if (ok && s.loadReadAt && s.load.boot != d.boot) s.firstSeenAt = now;
    if (ok) s.load = d;
    s.load.server = n;
    s.load.dark = dark;
    s.load.watcher = me_.node;
    s.loadReadAt = now;
}

// ---- time

auto Node::tick(Microseconds now, Microseconds wall) -> void {
    clock(now);
    wall_ = wall;
    if (!started_) started_ = now;
    if (vt_) vt_->tick(now);
    if (me_.stopping && vt_ && vt_->leads() && now - transferAt_ >= TRANSFER_RETRY) {
        transferAt_ = now;
        vt_->transferLeadership(now);
    }
    touchMe(now);
    if (now >= nextHeartbeat_) {
        nextHeartbeat_ = now + heartbeat_;
        // One that has just started and found nobody yet asks again soon.
        if (st_.gossip && now - started_ < 3 * SECOND && aliveNodes(now).size() < 2)
            nextHeartbeat_ = now + heartbeat_ / 5;
        if (st_.gossip) gossipSend(now);
        else sendHeartbeat(now, true);
    }
    // Looking through all that is known is kept off most ticks where there may be hundreds of nodes.
    auto look = !st_.gossip || now >= lookAt_;
    if (look) lookAt_ = now + 50 * MILLISECOND;
    for (auto i = rows_.begin(); look && i != rows_.end();)
        // Told on for FORGET_TIMEOUT, kept for longer: what has been dropped is not learnt anew from one
        // that was told of it last.
        if (now - i->second.lastHeartbeatAt >= 4 * FORGET_TIMEOUT) {
            logf("node {} forgotten", i->first);
            i = rows_.erase(i);
        } else ++i;
    for (auto i = servers_.begin(); look && i != servers_.end();) {
        auto& s = i->second;
        auto lim = s.listing.state != UP ? DRAIN_MARK_TIMEOUT : st_.gossip ? INT64_MAX : LISTING_TIMEOUT;
        if (now - s.listedAt >= lim) {
            logf("server {} lapsed from the listing", i->first);
            ct_.add("listings_lapsed_total");
            // Who holds an older listing does not know that it left: it is told the whole.
            while (!lists_.empty() && lists_.front() < s.listing.revision) lists_.pop_front();
            i = servers_.erase(i);
        } else ++i;
    }
    if (st_.gossip) gossipTick(now, look);
    else if (!me_.settled && replicatedState_.version > 0 && counted(now, false)
        && (counted(now, true) || listTold_ > started_)) {
        me_.settled = true;
        logf("settled: generation {} of reign {}", replicatedState_.version, replicatedState_.epoch);
    }
    if (vt_ && now - bookAt_ > 2 * SECOND) {
        bookAt_ = now;
        auto v = std::vector<std::string>();
        for (auto& [n, k] : rows_) v.push_back(k.record.peer);
        if (!v.empty() && v != booked_) po_.savePeerHints(booked_ = v);
    }
    me_.ready = ready(now);
    if (auto f = withinLease(now); f != wasWithinLease_) {
        wasWithinLease_ = f;
        logLine(f ? "fresh: a majority was heard within the lease"
                  : "stale: no majority heard within the lease, new exchanges are denied");
        ct_.add(f ? "fresh_gained_total" : "fresh_lost_total");
    }
    if (st_.probes && now >= nextProbe_) {
        nextProbe_ = now + 500 * MILLISECOND;
        auto ns = aliveNodes(now);
        for (auto& [n, s] : servers_) {
            if (s.listing.state == GONE || s.listing.address.empty()) continue;
            auto k = 0;
            for (auto& x : ns) k += rendezvousRank(n, x) > rendezvousRank(n, me_.node);
            if (k < 2) po_.probe(n, s.listing.address);
        }
    }
    for (auto i = std::size_t(0); i < waits_.size();) {
        auto& w = waits_[i];
        auto ok = proven(
            w.p,
            [&](const wire::NodeRecord& r) {
                return std::all_of(w.ms.begin(), w.ms.end(), [&](auto& m) {
                    return std::any_of(r.marks.begin(), r.marks.end(),
                        [&](auto& x) { return x.server == m.server && x.revision >= m.revision; });
                });
            },
            now);
        if (!ok && now < w.due) {
            i++;
            continue;
        }
        auto id = w.id;
        waits_.erase(waits_.begin() + std::ptrdiff_t(i));
        po_.done(id,
            ok ? Outcome{200, "{\"held\":true}"}
               : Outcome{
                   503, errorBody({{"/", "a majority has not confirmed this; tell it to another node"}})});
    }
    orderClient_.tick(me_.boot, now);
    if (vt_) {
        if (st_.gossip) gossipVoters(now);
        else if (vt_->leads()) {
            auto of = std::vector<std::pair<std::string, std::string>>();
            for (auto& [n, k] : rows_)
                if (now - k.lastHeartbeatAt < alive_ && !k.record.disk.empty()
                    && !voterDisks_.count(k.record.disk))
                    of.emplace_back(n, k.record.disk);
            vt_->setSpareDisks(of);
        }
        auto un = std::vector<std::string>();
        for (auto& [n, k] : rows_)
            if (now - k.lastHeartbeatAt < alive_ && k.record.blank && voterDisks_.count(k.record.disk))
                un.push_back(k.record.disk);
        vt_->setBlankVoters(un);
        fire(now, wall);
        if (st_.gossip) gossipFound(now);
        else beginEpoch(now);
        orderService_.tick(*vt_, wall_, now);
        ct_.set("core_leader", vt_->leads());
        ct_.set("core_term", vt_->term());
        ct_.set("core_commit", vt_->commit());
        ct_.set("disk_bad", vt_->diskBad());
    }
    if (!look) return;
    ct_.set("nodes_alive", std::int64_t(aliveNodes(now).size()));
    ct_.set("servers_listed", std::int64_t(servers_.size()));
    ct_.set("fresh", wasWithinLease_);
    ct_.set("ready", me_.ready);
}

// Booked moves fire by the median of the nodes' calendars: one clock that jumped
// moves nothing. That a move fires once is settled in the log, by its state.
auto Node::fire(Microseconds now, Microseconds wall) -> void {
    if (!vt_->ready() || now - firedAt_ < 500 * MILLISECOND) return;
    auto ws = std::vector<Microseconds>{wall};
    for (auto& [n, k] : rows_)
        if (now - k.lastHeartbeatAt < alive_)
            ws.push_back(k.record.wall + (now - (st_.gossip ? k.recordAt : k.lastHeartbeatAt)));
    std::nth_element(ws.begin(), ws.begin() + std::ptrdiff_t(ws.size() / 2), ws.end());
    auto m = ws[ws.size() / 2];
    for (auto& [id, at] : vt_->latestState().scheduledOperations())
        if (at <= m) {
            firedAt_ = now;
            auto o =
                orderPrepare(vt_->latestState(), "fire", "fire-" + id, bodyOf({{"move", jsonQuote(id)}}), m);
            if (o && vt_->propose(1, *o, now)) {
                logf("plan: move {} fires", id);
                ct_.add("moves_fired_total");
            }
            return;
        }
}

// A blank core begins a reign when nothing is left to join: at first, when all seats are
// blank and nobody holds a word; later, when a majority of disks is lost, from the
// newest word that a majority of the roster holds.
auto Node::beginEpoch(Microseconds now) -> void {
    if (!leaderNode(now).empty()) {
        aloneSince_ = 0;
        return;
    }
    auto& initialVoters = st_.initialVoters;
    auto top = replicatedState_.version > 0 ? replicatedState_.voters() : std::vector<VoterIdentity>();
    auto any = replicatedState_.version > 0;
    for (auto& [n, k] : rows_) any = any || k.record.stateVersion > 0;
    auto go = [&](Microseconds wait) {
        if (!aloneSince_) aloneSince_ = now;
        return now - aloneSince_ >= wait;
    };
    if (!any) {
        if (!vt_->blank() || initialVoters.empty() || st_.roster.empty() || initialVoters[0] != me_.node)
            return;
        auto vs = std::vector<VoterIdentity>();
        for (auto& s : initialVoters) {
            auto r = row(s);
            if (!r || !alive(s, now) || r->disk.empty() || !r->blank) {
                aloneSince_ = 0;
                return;
            }
            vs.push_back({s, r->disk});
        }
        auto n = std::size_t(0);
        for (auto& x : st_.roster) n += alive(x, now);
        if (n * 2 <= st_.roster.size()) {
            aloneSince_ = 0;
            return;
        }
        if (!go(SECOND)) return;
        auto w = ReplicatedState();
        w.bootstrap(st_.roster, vs);
        vt_->bootstrap(w, 1, now);
        return;
    }
    if (replicatedState_.version == 0) {
        aloneSince_ = 0;
        return;
    }
    // Rebuild. A seat counts as lost only when its machine is there with another disk. Where
    // a disk of the old reign survives it is the one that rebuilds, and so leaves that
    // reign in the same step: no majority of it, nor of a change under way, can act again.
    auto best = std::pair(newestKnownState().epoch, newestKnownState().version);
    auto lostSeat = std::string(), keptSeat = std::string();
    auto lost = std::size_t(0);
    for (auto& v : top) {
        auto r = row(v.node);
        if (!r || !alive(v.node, now) || r->disk.empty()) continue;
        if (r->disk != v.disk) {
            lost++;
            if (lostSeat.empty()) lostSeat = v.node;
        } else if (!r->blank && keptSeat.empty()) keptSeat = v.node;
    }
    auto n = std::size_t(0);
    auto newer = false;
    auto see = [&](const wire::NodeRecord& r) {
        if (!roster_.count(r.node)) return;
        if (std::pair(r.epoch, r.stateVersion) > best) newer = true;
        n += r.settled;
    };
    see(me_);
    for (auto& [k, x] : rows_)
        if (x.acknowledgedSince && now - x.acknowledgedSince <= LEASE_DURATION) see(x.record);
    auto dead = lost * 2 > top.size() || (lost * 2 == top.size() && !keptSeat.empty());
    auto by = keptSeat.empty() ? lostSeat : keptSeat;
    if (!dead || by != me_.node || newer || n * 2 <= roster_.size()) {
        aloneSince_ = 0;
        return;
    }
    if (!go(2 * SECOND)) return;
    ct_.add("rebuilt_total");
    logf("core: a majority of disks is lost; rebuilt from the roster at generation {}", best.second + 1);
    beginEpochFromNewest(now);
}

auto Node::newestKnownState() const -> const ReplicatedState& {
    return std::pair(heard_.epoch, heard_.version)
            > std::pair(replicatedState_.epoch, replicatedState_.version)
        ? heard_
        : replicatedState_;
}

// A new reign on this disk and on those that sit in the seats now, from the newest word known.
auto Node::beginEpochFromNewest(Microseconds now) -> void {
    auto w = newestKnownState();
    auto vs = std::vector<VoterIdentity>();
    auto term = me_.term;
    for (auto& v : w.voters())
        if (auto r = row(v.node); r && alive(v.node, now) && !r->disk.empty()
            && std::none_of(vs.begin(), vs.end(), [&](auto& x) { return x.node == v.node; }))
            vs.push_back({v.node, r->disk});
    if (std::none_of(vs.begin(), vs.end(), [&](auto& x) { return x.disk == me_.disk; }))
        vs.push_back({me_.node, me_.disk});
    for (auto& [k, x] : rows_)
        if (st_.gossip ? now - x.lastHeartbeatAt < alive_
                       : x.acknowledgedSince && now - x.acknowledgedSince <= LEASE_DURATION)
            term = std::max(term, x.record.term);
    w.beginEpoch(
        (w.epoch / EPOCH_STRIDE + 1) * EPOCH_STRIDE + std::int64_t(hash64(me_.disk) % EPOCH_STRIDE), vs);
    vt_->bootstrap(w, term + 1, now);
}

// The last resort, by an operator who names what this survivor holds: a new reign from that,
// whatever was acknowledged behind it. Never while a majority could still come together.
auto Node::rescue(std::int64_t epoch, std::int64_t version, Microseconds now) -> Outcome {
    auto no = [&](const std::string& why) {
        ct_.add("rescues_denied_total");
        return Outcome{409,
            bodyOf({{"error", jsonQuote(why)}, {"reign", fmt::to_string(newestKnownState().epoch)},
                {"generation", fmt::to_string(newestKnownState().version)}})};
    };
    if (!vt_) return no("no disk here; give this to a core, which takes the newest word it hears of");
    if (newestKnownState().version == 0) return no("nothing is held here");
    if (std::pair(epoch, version) != std::pair(newestKnownState().epoch, newestKnownState().version))
        return no("this is not what is held here");
    if (!leaderNode(now).empty() || (st_.gossip ? counted(now, false) : withinLease(now)))
        return no("a majority stands: there is a leader");
    auto disks = std::size_t(0), nodes = std::size_t(0);
    auto newer = std::string();
    auto see = [&](const wire::NodeRecord& r) {
        disks += !r.blank && voterDisks_.count(r.disk);
        nodes += r.settled && roster_.count(r.node);
        if (std::pair(r.epoch, r.stateVersion) > std::pair(epoch, version)) newer = r.node;
    };
    see(me_);
    for (auto& [k, x] : rows_)
        if (now - x.lastHeartbeatAt < alive_) see(x.record);
    if (disks * 2 > voterDisks_.size()) return no("a majority of the disks stands; they elect a leader");
    if (nodes * 2 > roster_.size()) return no("a majority of the nodes stands; they rebuild by themselves");
    if (!newer.empty()) return no(newer + " holds a newer word; it comes here by itself");
    ct_.add("rescued_total");
    logf("core: an operator founds a new reign from generation {} of reign {}", version, epoch);
    beginEpochFromNewest(now);
    return {200,
        bodyOf({{"reign", fmt::to_string(vt_->replicatedState().epoch)},
            {"generation", fmt::to_string(vt_->replicatedState().version)},
            {"mayBeLost",
                jsonQuote(
                    fmt::format("orders acknowledged after generation {} of reign {}", version, epoch))}})};
}

auto Node::leave(Microseconds now) -> void {
    me_.stopping = true;
    transferAt_ = now;
    if (vt_) vt_->transferLeadership(now);
    if (st_.gossip) gossipSend(now);
    else sendHeartbeat(now, true);
}

auto Node::voteHandedOver(Microseconds now) const -> bool {
    if (!st_.gossip || !vt_ || vt_->blank() || !voterDisks_.count(me_.disk)) return true;
    return std::none_of(rows_.begin(), rows_.end(), [&](auto& known) {
        auto& r = known.second.record;
        auto voter = voterDisks_.count(r.disk) > 0;
        return now - known.second.lastHeartbeatAt < alive_ && !r.disk.empty() && !r.stopping && !voter;
    });
}

auto Node::diskDone(std::int64_t seq, bool ok, Microseconds now) -> void {
    clock(now);
    if (vt_) vt_->diskDone(seq, ok, now);
    touchMe(now);
    orderService_.tick(*vt_, wall_, now);
}

auto Node::voterSend(const std::string& disk, wire::Envelope& e) -> void {
    e.node = me_.node;
    for (auto& [n, k] : rows_)
        if (k.record.disk == disk) return po_.send(k.record.peer, e);
}
auto Node::voterWrite(const DiskWrite& w) -> void { po_.disk(w); }

auto Node::grantCredit(const std::string& n, std::int64_t c, Microseconds) -> void {
    auto r = row(n);
    if (!r) return;
    auto e = env();
    auto g = wire::CreditGrant();
    g.node = me_.node;
    g.boot = r->boot;
    g.seq = ++grantSeq_ + me_.boot;
    g.credit = c;
    e.__set_creditGrant(g);
    po_.send(r->peer, e);
}
auto Node::setCredit(std::int64_t c, std::int64_t want) -> void {
    me_.credit = c;
    me_.want = want;
}

// ---- what is shown

static auto stateName(int s) -> const char* { return s == UP ? "up" : s == LEAVING ? "leaving" : "gone"; }

auto Node::beliefs(Microseconds now) const -> std::string {
    auto ns = std::string(), ss = std::string();
    auto put = [&](const wire::NodeRecord& r, Microseconds age, Microseconds t0) {
        ns += (ns.empty() ? "" : ",")
            + bodyOf({{"node", jsonQuote(r.node)}, {"boot", fmt::to_string(r.boot)},
                {"district", jsonQuote(r.zone)}, {"region", jsonQuote(r.region)}, {"peer", jsonQuote(r.peer)},
                {"sender", jsonQuote(r.clientAddress)}, {"operator", jsonQuote(r.operatorAddress)},
                {"alive", age < alive_ ? "true" : "false"}, {"ageUs", fmt::to_string(age)},
                {"provenUs", t0 ? fmt::to_string(now - t0) : "null"}, {"reign", fmt::to_string(r.epoch)},
                {"generation", fmt::to_string(r.stateVersion)}, {"settled", r.settled ? "true" : "false"},
                {"ready", r.ready ? "true" : "false"}, {"disk", jsonQuote(r.disk)},
                {"blank", r.blank ? "true" : "false"}, {"leader", r.leader ? "true" : "false"},
                {"credit", fmt::to_string(r.credit)}});
    };
    put(me_, 0, now);
    for (auto& [n, k] : rows_) put(k.record, now - k.lastHeartbeatAt, k.acknowledgedSince);
    for (auto& [n, s] : servers_) {
        auto l = s.loadReadAt && now - s.loadReadAt < LOAD_MAX_AGE
            ? bodyOf({{"prefill", fmt::to_string(s.load.prefill)}, {"decode", fmt::to_string(s.load.decode)},
                {"slots", fmt::to_string(s.load.slots)}, {"dark", s.load.dark ? "true" : "false"},
                {"watcher", jsonQuote(s.load.watcher)}, {"ageUs", fmt::to_string(now - s.loadReadAt)}})
            : std::string("null");
        ss += (ss.empty() ? "" : ",")
            + bodyOf({{"server", jsonQuote(n)}, {"address", jsonQuote(s.listing.address)},
                {"region", jsonQuote(s.listing.region)}, {"district", jsonQuote(s.listing.zone)},
                {"pool", jsonQuote(s.listing.serviceName)}, {"weights", jsonQuote(s.listing.weights)},
                {"state", jsonQuote(stateName(s.listing.state))},
                {"generation", fmt::to_string(s.listing.revision)},
                {"toldUs", fmt::to_string(now - s.listedAt)}, {"occupancy", l}});
    }
    auto t = tree(now);
    auto tr = std::string();
    for (auto& [k, u] : t.up) tr += fmt::format("{}{}:{}", tr.empty() ? "" : ",", jsonQuote(k), jsonQuote(u));
    return bodyOf({{"node", jsonQuote(me_.node)}, {"reign", fmt::to_string(replicatedState_.epoch)},
        {"generation", fmt::to_string(replicatedState_.version)},
        {"configGeneration", fmt::to_string(replicatedState_.configVersion())},
        {"wordHash", jsonQuote(fmt::format("{:016x}", hash64(replicatedState_.text())))},
        {"fresh", withinLease(now) ? "true" : "false"}, {"leader", jsonQuote(leaderNode(now))},
        {"empties", replicatedState_.evacuationsText()}, {"nodes", "[" + ns + "]"},
        {"servers", "[" + ss + "]"}, {"relays", "{" + tr + "}"}});
}

auto Node::status(Microseconds now) -> std::string {
    return bodyOf(
        {{"node", jsonQuote(me_.node)}, {"version", jsonQuote(VERSION)}, {"district", jsonQuote(me_.zone)},
            {"region", jsonQuote(me_.region)}, {"ready", ready(now) ? "true" : "false"},
            {"fresh", withinLease(now) ? "true" : "false"}, {"settled", me_.settled ? "true" : "false"},
            {"leader", jsonQuote(leaderNode(now))}, {"reign", fmt::to_string(replicatedState_.epoch)},
            {"generation", fmt::to_string(replicatedState_.version)},
            {"configGeneration", fmt::to_string(replicatedState_.configVersion())},
            {"nodesAlive", fmt::to_string(aliveNodes(now).size())},
            {"roster", fmt::to_string(roster_.size())}, {"servers", fmt::to_string(servers_.size())},
            {"role",
                jsonQuote(!vt_           ? "edge"
                        : vt_->leads() ? "core, leader"
                        : vt_->blank() ? "core, blank"
                                       : "core, follower")}});
}

auto Node::planText(Microseconds) const -> std::string {
    return bodyOf({{"generation", fmt::to_string(replicatedState_.version)},
        {"plan", replicatedState_.planText()}, {"empties", replicatedState_.evacuationsText()}});
}

auto Node::where(const std::string& region, const std::string& zone, Microseconds now) const -> std::string {
    auto rg = region.empty() ? me_.region : region;
    auto v = std::vector<std::pair<int, const wire::NodeRecord*>>();
    auto see = [&](const wire::NodeRecord& r) {
        if (!r.ready || r.stopping || replicatedState_.evacuated(r.zone)) return;
        v.push_back({r.zone == zone ? 0 : r.region == rg ? 1 : 2, &r});
    };
    see(me_);
    // A sender sent to a node that is gone loses a try, so one that is late is not named while
    // there are others.
    for (auto lim : {late_, alive_})
        if (lim == late_ || v.empty())
            for (auto& [n, k] : rows_)
                if (now - k.lastHeartbeatAt < lim) see(k.record);
    auto key = rg + "/" + zone + fmt::to_string(now / SECOND);  // callers are spread
    std::sort(v.begin(), v.end(), [&](auto& a, auto& b) {
        return a.first != b.first ? a.first < b.first : rendezvousRank(key, a.second->node) > rendezvousRank(key, b.second->node);
    });
    auto o = std::string();
    for (auto& [d, r] : v)
        o += (o.empty() ? "" : ",")
            + bodyOf({{"node", jsonQuote(r->node)}, {"address", jsonQuote(r->clientAddress)},
                {"region", jsonQuote(r->region)}, {"district", jsonQuote(r->zone)}});
    return "{\"nodes\":[" + o + "]}";
}

// ---- learnt membership
//
// No roster: a node learns of the others from three seeds and from whoever it speaks to. Beats go
// along the edges of the relays' tree, and each carries only what its neighbour has not been told:
// a row when its version rose, a pulse when only its beat did. Nothing goes back to the one it
// came from.

auto Node::places() const -> std::vector<std::string> {
    auto v = hints_;
    auto put = [&](const std::string& a) {
        if (std::find(v.begin(), v.end(), a) == v.end()) v.push_back(a);
    };
    for (auto& [n, k] : rows_) put(k.record.peer);
    v.erase(std::remove(v.begin(), v.end(), me_.peer), v.end());
    return v;
}

// The version of the own row rises with whatever others act on; the beat alone is a pulse.
auto Node::ownVersion(Microseconds now) -> void {
    touchMe(now);
    me_.wall = wall_;
    auto what = [](const wire::NodeRecord& r) {
        return std::tie(r.peer, r.clientAddress, r.operatorAddress, r.epoch, r.stateVersion, r.settled,
            r.disk, r.blank, r.term, r.leader, r.ready, r.stopping, r.boot);
    };
    auto off = wall_ - now;
    auto far = [](std::int64_t a, std::int64_t b) { return std::abs(a - b) * 4 > std::abs(b) + 4; };
    if (me_.version && what(me_) == what(said_) && std::abs(off - saidOff_) < SECOND
        && !far(me_.credit, said_.credit) && !far(me_.want, said_.want))
        return;
    me_.version++;
    if (me_.leader != said_.leader) {
        led_ = leaderNode(now);
        treeAt_ = 0;
    }
    said_ = me_;
    saidOff_ = off;
}

auto Node::rowOf(const std::string& n, Microseconds now) const -> wire::NodeRecord {
    if (n == me_.node) return me_;
    auto& k = rows_.at(n);
    auto r = k.record;
    r.wall += now - k.recordAt;
    r.age = now - k.lastHeartbeatAt;
    return r;
}

// Tells `n` what it lacks; `whole`: all that is alive here, `own`: of this node alone.
auto Node::gossipHeartbeat(const std::string& n, bool whole, bool own, Microseconds now) -> bool {
    auto to = row(n);
    if (!to || n == me_.node) return false;
    auto& t = told_[n];
    t.at = now;
    if (now - t.wholeAt >= 15 * SECOND) {  // what was told may have been lost
        t.wholeAt = now;
        t.rows.clear();
    }
    if (whole) t.rows.clear();
    auto b = wire::Heartbeat();
    auto put = [&](const wire::NodeRecord& r) {
        auto& o = t.rows[r.node];
        if (o.boot != r.boot || o.version != r.version) b.rows.push_back(rowOf(r.node, now));
        else if (o.heartbeat != r.heartbeat) {
            auto p = wire::HeartbeatPulse();
            p.node = r.node;
            p.boot = r.boot;
            p.heartbeat = r.heartbeat;
            p.version = r.version;
            b.pulses.push_back(p);
        } else return;
        o = {r.boot, r.version, r.heartbeat};
    };
    put(me_);
    if (!own) {
        for (auto& [x, k] : rows_)
            if (x != n && now - k.lastHeartbeatAt < alive_ && (whole || k.heardFrom != n)) put(k.record);
        for (auto i = t.rows.begin(); i != t.rows.end();)
            if (i->first != me_.node && !rows_.count(i->first)) i = t.rows.erase(i);
            else ++i;
        b.listNo = listNo_;
        auto lacks = listNo_ > 0 && t.listNo < listNo_ && (t.listNo >= 0 || whole || n != parent_);
        if (lacks && (whole || t.saidNo != listNo_ || now - t.saidAt >= 3 * heartbeat_)) {
            auto has = [&](std::int64_t x) {
                return std::find(lists_.begin(), lists_.end(), x) != lists_.end();
            };
            auto base = t.listNo;
            if (!whole && t.saidNo > base && now - t.saidAt < 3 * heartbeat_) base = t.saidNo;
            if (base <= 0 || !has(base)) base = 0;
            b.listBase = base;
            for (auto& [x, s] : servers_)
                if (s.listing.revision > base) {
                    b.listings.push_back(s.listing);
                    b.listings.back().age = now - s.listedAt;
                    b.listings.back().cold = std::max<Microseconds>(0, s.coldUntil - now);
                }
            t.saidNo = listNo_;
            t.saidAt = now;
        }
        for (auto& [x, s] : servers_)
            if (s.loadReadAt && now - s.loadReadAt < LOAD_MAX_AGE && s.loadHeardAt > t.loads
                && (whole || s.loadHeardFrom != n)) {
                b.loads.push_back(s.load);
                b.loads.back().age = now - s.loadReadAt;
            }
        t.loads = now;
    }
    if (auto w = wants_.find(n); w != wants_.end()) {
        b.rowAsk.assign(w->second.begin(), w->second.end());
        wants_.erase(w);
    }
    if (b.rows.empty() && b.pulses.empty() && b.rowAsk.empty() && b.loads.empty() && b.listBase < 0)
        return false;
    auto e = env();
    e.__set_heartbeat(b);
    po_.send(to->peer, e);
    return true;
}

auto Node::gossipAsk(const std::string& addr, Microseconds) -> void {
    auto e = env();
    auto b = wire::Heartbeat();
    b.rows.push_back(me_);
    b.fullAsk = true;
    b.listNo = listNo_;
    e.__set_heartbeat(b);
    po_.send(addr, e);
    ct_.add("asked_total");
}

auto Node::treeNow(Microseconds now) -> const Tree& {
    if (!treeAt_ || now - treeAt_ >= heartbeat_ / 4) {
        tree_ = tree(now);
        treeAt_ = now;
    }
    return tree_;
}

auto Node::gossipSend(Microseconds now) -> void {
    me_.heartbeat++;
    ownVersion(now);
    auto& t = treeNow(now);
    auto up = t.up.find(me_.node);
    auto p = up == t.up.end() ? std::string() : up->second;
    if (p != parent_) {
        parent_ = p;
        parentSince_ = now;
    }
    auto to = std::set<std::string>();
    for (auto& n : t.kids(me_.node)) to.insert(n);
    if (!p.empty()) to.insert(p);
    for (auto& n : to) gossipHeartbeat(n, false, false, now);
    // Cores keep hearing of each other whatever the tree is: voters find each other's address so.
    if (vt_)
        for (auto& [n, k] : rows_)
            if (!to.count(n) && !k.record.disk.empty()
                && (now - k.lastHeartbeatAt < alive_ || voterDisks_.count(k.record.disk)))
                gossipHeartbeat(n, false, true, now);
    // Whoever is out of touch asks the leader, seeds and hints in turn for all they know.
    auto led = leaderNode(now);
    auto silent = !p.empty() && now - std::max(rows_.at(p).lastDirectAt, parentSince_) > heartbeat_ * 5 / 2;
    if (led.empty() || silent) {
        auto v = places();
        auto n = aliveNodes(now).size() < 2 ? 3 : 1;
        if (silent && !led.empty() && led != p && led != me_.node) gossipAsk(row(led)->peer, now);
        for (auto i = 0; i < n && std::size_t(i) < v.size(); i++) gossipAsk(v[seed_++ % v.size()], now);
    }
    for (auto i = told_.begin(); i != told_.end();)
        if (now - i->second.at > 10 * heartbeat_) i = told_.erase(i);
        else ++i;
    for (auto i = wants_.begin(); i != wants_.end();)
        if (!rows_.count(i->first)) i = wants_.erase(i);
        else ++i;
    ct_.add("beats_sent_total");
}

auto Node::gossipHandle(const wire::Envelope& e, Microseconds now) -> void {
    auto& b = e.heartbeat;
    auto led = led_;
    gossipRecords(b, e.node, now);
    auto list = gossipListing(b, e.node, now);
    auto k = rows_.find(e.node);
    if (k == rows_.end()) return;
    k->second.lastDirectAt = now;
    auto news = list || led_ != led;
    auto i = told_.find(e.node);
    if (b.fullAsk) {
        auto& t = told_[e.node];
        if (!t.askedAt || now - t.askedAt >= 100 * MILLISECOND) {
            t.askedAt = now;
            gossipHeartbeat(e.node, true, false, now);
            if (auto& r = k->second.record; std::pair(r.epoch, r.stateVersion)
                < std::pair(replicatedState_.epoch, replicatedState_.version))
                sendReplicatedState(r.peer);
        }
    } else if (!b.rowAsk.empty() && i != told_.end()) {
        for (auto& n : b.rowAsk) i->second.rows.erase(n);
        gossipHeartbeat(e.node, false, false, now);
    }
    if (news) nextHeartbeat_ = now;
}

auto Node::gossipRecords(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> void {
    auto seen = [&](KnownNode& k, std::int64_t heartbeat) {
        if (now - k.lastHeartbeatAt >= alive_) {
            ct_.add("node_heard_again_total");
            treeAt_ = 0;
        }
        k.record.heartbeat = heartbeat;
        k.lastHeartbeatAt = now;
        k.heardFrom = from;
    };
    auto self = [&](std::int64_t boot, std::int64_t heartbeat, const std::string& peer) {
        if (std::pair(boot, heartbeat) <= std::pair(me_.boot, me_.heartbeat)) return;
        // An earlier life by a clock that has since been set back, or another of the same name.
        if (!peer.empty() && peer != me_.peer) ct_.add("own_name_elsewhere_total");
        ct_.add("boot_raised_total");
        if (!broken.oldBoot) me_.boot = boot + 1;
    };
    for (auto& r : b.rows) {
        if (r.node.empty() || r.node.size() > 256 || r.peer.size() > 64) continue;
        if (r.node == me_.node) {
            self(r.boot, r.heartbeat, r.peer);
            continue;
        }
        auto i = rows_.find(r.node);
        auto first = i == rows_.end();
        if (first) {
            if (rows_.size() >= 4096) continue;
            i = rows_.emplace(r.node, KnownNode()).first;
            logf("node {} known at {}", r.node, r.peer);
        }
        auto& k = i->second;
        if (std::pair(r.boot, r.heartbeat) < std::pair(k.record.boot, k.record.heartbeat)) continue;
        if (std::tie(r.boot, r.heartbeat, r.version)
            == std::tie(k.record.boot, k.record.heartbeat, k.record.version))
            continue;
        if (k.record.boot != r.boot) {
            k.firstSeenAt = now;
            if (!first) told_.erase(r.node);
        }
        auto at = k.lastHeartbeatAt;
        auto newer = std::pair(r.boot, r.heartbeat) > std::pair(k.record.boot, k.record.heartbeat);
        auto led = k.record.leader || r.leader;
        k.record = r;
        k.recordAt = now;
        if (newer) seen(k, r.heartbeat);
        // Of one that was unknown it counts how long ago it was heard.
        if (first) k.lastHeartbeatAt = now - std::max<Microseconds>(0, r.age);
        else if (!newer) k.lastHeartbeatAt = at;
        if (led) led_ = leaderNode(now);
        if (first || led) treeAt_ = 0;
        // A gap in the news that the tree does not close by itself is closed by pulling.
        if (!pullDue_
            && std::pair(r.epoch, r.stateVersion)
                > std::pair(replicatedState_.epoch, replicatedState_.version))
            pullDue_ = now + 100 * MILLISECOND;
    }
    for (auto& p : b.pulses) {
        if (p.node == me_.node) {
            self(p.boot, p.heartbeat, "");
            continue;
        }
        auto i = rows_.find(p.node);
        if (i != rows_.end()
            && std::pair(p.boot, p.heartbeat) <= std::pair(i->second.record.boot, i->second.record.heartbeat))
            continue;
        if (i != rows_.end() && i->second.record.boot == p.boot && i->second.record.version == p.version)
            seen(i->second, p.heartbeat);
        else if (auto& w = wants_[from]; w.size() < 4096) w.insert(p.node);
    }
}

// ---- the listing, where membership is learnt
//
// It is one thing with one number. Who does the duty raises the number when something changed; all
// others take it whole, or take what changed since the very number that they hold.

auto Node::raiseList(Microseconds) -> std::int64_t {
    // A later leader's numbers are above all of an earlier one's; the lowest bits tell whose it is.
    auto term = std::max(vt_ && vt_->leads() ? vt_->term() : 0, listNo_ >> 34);
    auto n = ((listNo_ >> 10) & 0xffffff) + 1;
    listNo_ = (term << 34) | ((n & 0xffffff) << 10)
        | std::int64_t(hash64(me_.node, std::uint64_t(me_.boot)) & 1023);
    lists_.push_back(listNo_);
    if (lists_.size() > 64) lists_.pop_front();
    return listNo_;
}

auto Node::gossipList(std::int64_t id, const rapidjson::Document& d, Microseconds now) -> void {
    // One that was superseded meanwhile may hold a listing older than what the others have.
    if (!hasSingletonDuty(now) || (vt_ && vt_->leads() && vt_->term() < (listNo_ >> 34)))
        return po_.done(id, {409, bodyOf({{"error", jsonQuote("another node does this duty now")}})});
    auto g = std::int64_t(0);
    auto no = [&] { return g ? g : g = raiseList(now); };
    auto has = std::set<std::string>();
    for (auto& v : d["servers"].GetArray()) {
        auto n = jsonString(v, "name");
        has.insert(n);
        auto& s = servers_[n];
        auto l = s.listing;
        l.server = n;
        l.address = jsonString(v, "address");
        l.region = jsonString(v, "region");
        l.zone = jsonString(v, "district");
        l.serviceName = jsonString(v, "pool");
        l.weights = jsonString(v, "weights");
        l.slots = std::int32_t(jsonInteger(v, "slots", 8));
        l.state = jsonString(v, "state", "up") == "up" ? UP : LEAVING;
        l.inc = jsonInteger(v, "incarnation");
        auto cold = jsonInteger(v, "coldUs") > 0 ? now + jsonInteger(v, "coldUs") : 0;
        auto was = s.coldUntil > now ? s.coldUntil : 0;
        auto same = l == s.listing && std::abs(cold - was) < SECOND;
        s.listedAt = now;
        if (same && !s.listing.server.empty()) continue;
        if (s.listing.server.empty() || s.listing.inc != l.inc || s.listing.state == GONE)
            s.firstSeenAt = now, s.loadReadAt = 0;
        s.listing = l;
        s.listing.revision = no();
        s.coldUntil = cold;
    }
    for (auto& [n, s] : servers_)
        if (!has.count(n) && s.listing.state == UP) {
            s.listing.state = LEAVING;
            s.listing.revision = no();
            s.listedAt = now;
        }
    if (!listNo_) no();  // an empty listing is one too
    listTold_ = now;
    ct_.add("listings_taken_total");
    if (g) nextHeartbeat_ = now;
    po_.done(id, {200, "{\"listed\":" + fmt::to_string(has.size()) + "}"});
}

// True if there is something new in it.
auto Node::gossipListing(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> bool {
    if (b.listNo)
        if (auto i = told_.find(from); i != told_.end()) i->second.listNo = b.listNo;
    for (auto& d : b.loads) {
        // What lay unheard while this process was frozen is older than it says.
        if (wokeAt_ && now - wokeAt_ < SECOND) break;
        auto i = servers_.find(d.server);
        if (i == servers_.end() || d.age < 0) continue;
        if (auto t = now - d.age; t > i->second.loadReadAt) {
            i->second.load = d;
            i->second.loadReadAt = t;
            i->second.loadHeardAt = now;
            i->second.loadHeardFrom = from;
        }
    }
    if (b.listBase < 0 || b.listNo <= listNo_ || (b.listBase && b.listBase != listNo_)) return false;
    auto has = std::set<std::string>();
    for (auto& l : b.listings) {
        if (l.server.empty() || l.server.size() > 256) continue;
        has.insert(l.server);
        if (!servers_.count(l.server) && servers_.size() >= 4096) continue;
        auto& s = servers_[l.server];
        if (s.listing.server.empty() || l.inc != s.listing.inc || s.listing.state == GONE)
            s.firstSeenAt = now, s.loadReadAt = 0;
        s.listing = l;
        s.listedAt = now - std::max<Microseconds>(0, l.age);
        s.coldUntil = l.cold > 0 ? now + l.cold : 0;
    }
    if (!b.listBase) {
        for (auto i = servers_.begin(); i != servers_.end();)
            if (!has.count(i->first)) i = servers_.erase(i);
            else ++i;
        lists_.clear();
    }
    listNo_ = b.listNo;
    lists_.push_back(listNo_);
    if (lists_.size() > 64) lists_.pop_front();
    listTold_ = now;
    return true;
}

// ---- duties and seats, where membership is learnt

auto Node::hasSingletonDuty(Microseconds now) const -> bool {
    if (vt_ && vt_->leads()) return now - vt_->quorumAt() < SECOND;
    // After a start of all at once there is no leader yet, and nobody has a listing: each core that has
    // none asks for it, and the root of what is known by then doesn't wait for the election.
    if (vt_ && !led1_ && listNo_ == 0 && leaderNode(now).empty()) return true;
    auto wait = led1_ ? 2 * SECOND : 200 * MILLISECOND;
    if (!leaderNode(now).empty() || !leaderAt_ || now - leaderAt_ < wait) return false;
    return tree(now).up.count(me_.node) == 0;
}

auto Node::gossipTick(Microseconds now, bool look) -> void {
    if (look) led_ = leaderNode(now);
    if (!led_.empty() || !leaderAt_) leaderAt_ = now;
    led1_ = led1_ || !led_.empty();
    me_.settled = replicatedState_.version > 0;
    // What the others must know at once: that this one leads, or does no more.
    if (vt_ && vt_->leads() != said_.leader) nextHeartbeat_ = now;
    if (!pullDue_ || now < pullDue_) return;
    auto from = static_cast<const wire::NodeRecord*>(nullptr);
    auto near = -1;
    for (auto& [n, k] : rows_) {
        auto& r = k.record;
        if (now - k.lastHeartbeatAt >= alive_
            || std::pair(r.epoch, r.stateVersion)
                <= std::pair(replicatedState_.epoch, replicatedState_.version))
            continue;
        auto d = r.zone == me_.zone ? 3 : r.region == me_.region ? 2 : 1;
        if (d > near || (d == near && rng_.chance(.5))) near = d, from = &r;
    }
    pullDue_ = from ? now + 300 * MILLISECOND : 0;
    if (!from) return;
    auto e = env();
    auto w = wire::ReplicatedStateRequest();
    w.epoch = replicatedState_.epoch;
    w.version = replicatedState_.version;
    e.__set_replicatedStateRequest(w);
    po_.send(from->peer, e);
    ct_.add("word_pulled_total");
}

// The fleet's first start: all processes are told the same seeds in the same order, and all of those
// are up. The first of them that has a disk founds, so there is one founder only.
auto Node::gossipFound(Microseconds now) -> void {
    if (!st_.bootstrap || !vt_->blank() || replicatedState_.version > 0) return;
    auto founder = std::string();
    for (auto& a : st_.seeds) {
        auto r = a == me_.peer ? &me_ : nullptr;
        for (auto& [n, k] : rows_)
            if (k.record.peer == a && now - k.lastHeartbeatAt < alive_) r = &k.record;
        if (!r) return;
        if (founder.empty() && !r->disk.empty()) founder = r->node;
    }
    if (founder != me_.node) return;
    auto by = std::map<std::string, std::vector<VoterIdentity>>();  // district -> its blank cores
    auto n = std::size_t(1);
    by[me_.zone].push_back({me_.node, me_.disk});
    for (auto& [x, k] : rows_) {
        if (k.record.stateVersion > 0) return;
        if (now - k.lastHeartbeatAt >= alive_ || k.record.disk.empty() || !k.record.blank) continue;
        by[k.record.zone].push_back({x, k.record.disk});
        n++;
    }
    if (n != cores_) {
        cores_ = n;
        coresAt_ = now;
    }
    if (now - coresAt_ < 800 * MILLISECOND) return;
    // In turn from each district, beginning with its own.
    auto vs = std::vector<VoterIdentity>();
    auto most = std::min<std::size_t>(5, n % 2 ? n : n - 1);
    for (auto i = std::size_t(0); vs.size() < most; i++) {
        auto take = [&](const std::vector<VoterIdentity>& v) {
            if (i < v.size() && vs.size() < most) vs.push_back(v[i]);
        };
        take(by[me_.zone]);
        for (auto& [d, v] : by)
            if (d != me_.zone) take(v);
    }
    auto w = ReplicatedState();
    w.bootstrap({}, vs);
    vt_->bootstrap(w, 1, now);
}

// A seat whose disk has not been heard for long, or whose node is stopping, is offered a disk
// that sits in none.
auto Node::gossipVoters(Microseconds now) -> void {
    auto of = std::vector<std::pair<std::string, std::string>>();
    if (vt_->leads()) {
        auto vs = vt_->voters();
        auto spare = std::vector<const KnownNode*>();
        for (auto& [n, k] : rows_)
            if (now - k.lastHeartbeatAt < alive_ && now - k.firstSeenAt >= 500 * MILLISECOND
                && !k.record.disk.empty() && !k.record.stopping
                && (k.record.blank || k.record.term <= vt_->term())
                && std::none_of(vs.begin(), vs.end(), [&](auto& v) { return v.disk == k.record.disk; }))
                spare.push_back(&k);
        auto where = std::map<std::string, int>();  // districts of the voters that live
        auto lost = std::vector<std::string>(), leaving = std::vector<std::string>();
        for (auto& v : vs) {
            auto at = std::max(vt_->lastContact(v.disk), vt_->leadSince());
            auto r = v.disk == me_.disk ? &me_ : nullptr;
            for (auto& [n, k] : rows_)
                if (k.record.disk == v.disk) {
                    at = std::max(at, k.lastHeartbeatAt);
                    r = &k.record;
                }
            // Its machine is there with another disk: the old one does not come back.
            auto own = row(v.node);
            auto swapped = own && alive(v.node, now) && !r && !own->disk.empty();
            if (v.disk != me_.disk && (swapped || now - at >= VOTER_LOST_TIMEOUT)) lost.push_back(v.node);
            else if (v.disk != me_.disk && r && r->stopping) leaving.push_back(v.node);
            else if (r) where[r->zone]++;
        }
        lost.insert(lost.end(), leaving.begin(), leaving.end());
        for (auto& s : lost) {
            auto best = static_cast<const KnownNode*>(nullptr);
            auto key = [&](const KnownNode* k) {
                return std::tuple(
                    k->record.node == s, -where[k->record.zone], k->record.blank, k->firstSeenAt * -1);
            };
            for (auto k : spare)
                if (!best || key(k) > key(best)) best = k;
            if (!best) break;
            spare.erase(std::find(spare.begin(), spare.end(), best));
            where[best->record.zone]++;
            of.emplace_back(s, best->record.disk);
        }
    }
    vt_->setSpareDisks(of);
}

}  // namespace duneturn
