// One simulated machine and the process on it: its start and end, disk, messages, and the edge's side of
// requests.
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

auto Machine::now() const -> Microseconds { return w.t + bootOff; }

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
    node->broken.ignoreLease = b == "no-lease";
    node->broken.ackBeforeMajorities = b == "ack-early";
    node->broken.acceptOldState = b == "old-word";
    edge->broken.retryNonRepeatable = b == "resend-any";
    edge->broken.joinUnorderedEvents = b == "join-any";
    edge->broken.ignoreHomeRegion = b == "ignore-home";
    edge->broken.ignoreRetryBudget = b == "no-budget";
    edge->broken.skipSlowStart = b == "no-ramp";
    edge->broken.truncatedLooksComplete = b == "cut-looks-whole";
    edge->broken.ignoreDraining = b == "ignore-leaving";
    edge->broken.keepFirstConfiguration = b == "old-rules";
    edge->broken.resumeUnchecked = b == "resume-any";
    edge->broken.leakQueueSlots = b == "queue-leak";
    edge->broken.ignoreWeightsVersion = b == "any-weights";
    node->broken.acceptSupersededListing = b == "late-up";
    edge->broken.rejectEverything = b == "no-serve" && w.t > 30 * SECOND;
    edge->broken.illegalPhaseChange = b == "bad-step";
    node->broken.reuseIncarnation = b == "old-boot";
    edge->broken.selectRandomly = w.op.place == "random";
    edge->broken.selectLeastLoaded = w.op.place == "least";
    top = {0, 0};
    if (core) {
        dk.under.clear();
        dk.gate = {};
        dk.busy = false;
        node->addPeerHints(kept);
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
    for (auto& [k, v] : ct->values())
        if (k.ends_with("_total")) w.sumCt[k] += v;
    // Under a kill alone the machine may still sync what the process had begun to write.
    if (!power)
        while (!dk.under.empty() && !dk.full && !dk.stalled && w.rng.chance(.5)) {
            applyDiskWrite(dk.held, dk.under.front());
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

auto Machine::send(const std::string& addr, const wire::Envelope& e) -> void {
    auto j = w.indexByAddress.find(addr);
    if (j == w.indexByAddress.end()) return;
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
        d.node->handle(*p, d.now());
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
    w.in(dk.lat / 2 + Microseconds(w.rng.below(std::uint64_t(dk.lat))), [this, l, seq] {
        if (l != life || !up || dk.under.empty() || dk.under.front().seq != seq) return;
        if (dk.stalled) {
            dk.busy = false;
            return;
        }
        auto ok = !dk.full && dk.gate.takes(dk.under.front());
        if (ok) applyDiskWrite(dk.held, dk.under.front());
        else dk.gate.fail(dk.under.front());
        dk.under.pop_front();
        w.to(i, l, 0, [this, seq, ok] { node->onDiskWriteDone(seq, ok, now()); });
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

auto Machine::probe(const std::string& server, const std::string& addr) -> void {
    auto j = w.sByAddr.find(addr);
    if (j == w.sByAddr.end()) return;
    auto s = j->second;
    auto l = life;
    w.in(w.lat(), [this, s, server, l] {
        auto& v = w.ss[std::size_t(s)];
        auto ok = v.up && !v.dark;
        auto d = wire::ServerLoad();
        d.prefill = v.prefill;
        d.decode = v.decode;
        d.slots = v.slots;
        d.boot = v.life;
        d.up = w.t - v.born;
        d.cold = v.cold && w.t - v.born < 20 * SECOND;
        w.to(i, l,
            ok         ? w.lat()
                : v.up ? 900 * MILLISECOND
                       : w.lat(),
            [this, server, ok, no = !v.up, d] { node->probeFinished(server, ok, no, d, now()); });
    });
}

auto Machine::startAttempt(std::int64_t x, int a, const std::string&, const std::string& addr) -> void {
    auto j = w.sByAddr.find(addr);
    w.r.sends++;
    auto l = life;
    if (j == w.sByAddr.end()) {
        w.to(i, l, w.lat(), [this, x, a] { edge->onConnectionRefused(x, a, now()); });
        return;
    }
    auto s = j->second;
    auto c = std::make_unique<Conn>(Conn{i, l, x, a, s, w.ss[std::size_t(s)].life, true});
    auto p = c.get();
    w.conns.push_back(std::move(c));
    w.connOf[{i, l, x, a}] = p;
    w.in(w.lat(), [this, p, x, a, s, l] {
        auto& v = w.ss[std::size_t(s)];
        p->slife = v.life;
        if (!v.up || v.dark) {
            w.to(i, l, v.up ? SECOND : w.lat(), [this, p, x, a, l] {
                if (!p->open) return;
                p->open = false;
                if (auto k = w.tryOf.find({i, l, x}); k != w.tryOf.end()) w.countSend(k->second);
                edge->onConnectionRefused(x, a, now());
            });
            return;
        }
        w.to(i, l, w.lat(), [this, p, x, a, l] {
            auto e = edge->find(x);
            if (!p->open || !e || !edge->confirmSend(x, a, now())) {
                p->open = false;
                return;
            }
            auto tr = w.tryOf.find({i, l, x});
            if (tr == w.tryOf.end()) return;
            w.countSend(tr->second);
            w.serve(p, tr->second, *e);
        });
    });
}
auto Machine::cancelAttempt(std::int64_t x, int a) -> void {
    auto k = w.connOf.find({i, life, x, a});
    if (k == w.connOf.end()) return;
    auto p = k->second;
    w.connOf.erase(k);
    w.in(w.lat(), [this, p] { w.closeConn(p); });
}

auto Machine::sendHead(std::int64_t x, int, const Headers& h) -> void {
    auto k = w.tryOf.find({i, life, x});
    if (k == w.tryOf.end()) return;
    auto& T = w.trs[std::size_t(k->second)];
    T.streaming = true;
    for (auto& [n, v] : h)
        if (n == "X-Weights") T.weights = v;
}
auto Machine::sendStreamBytes(std::int64_t x, const std::string& s) -> void {
    auto k = w.tryOf.find({i, life, x});
    if (k == w.tryOf.end()) return;
    auto& l = w.linkAt[{1000 + i, int(x % 1000000)}];
    l = std::max(l, w.t + w.lat());
    w.at(l, [this, tr = k->second, s] { w.event(tr, s); });
}
auto Machine::endStream(std::int64_t x, bool whole) -> void {
    auto k = w.tryOf.find({i, life, x});
    if (k == w.tryOf.end()) return;
    auto& l = w.linkAt[{1000 + i, int(x % 1000000)}];
    l = std::max(l, w.t + w.lat());
    w.at(l, [this, tr = k->second, whole] { w.endTry(tr, whole); });
}
auto Machine::sendReply(std::int64_t x, int status, const Headers& h, const std::string& body) -> void {
    // accept() may reply before the world knows the exchange's number.
    auto l = life;
    w.in(w.lat(), [this, l, x, status, h, body] {
        auto k = w.tryOf.find({i, l, x});
        if (k != w.tryOf.end()) w.replyTry(k->second, status, h, body);
    });
}

}  // namespace duneturn
