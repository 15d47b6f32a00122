// What goes wrong in a simulated day, and when.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/address.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/world.hpp"

namespace duneturn {

// ---- faults

auto World::heal() -> void {
    for (auto& v : cut)
        for (auto& c : v) c = 0;
    loss = 0;
    crowd = 1;
    swing = 0;
    for (auto& m : ms) {
        m->dk.full = m->dk.stalled = false;
        m->dk.lat = 2 * MILLISECOND;
        if (m->up && m->core && !m->dk.busy) m->diskStep();
        if (m->up && m->frozen) wake(*m);
        if (!m->up) m->start();
    }
    for (auto& s : ss) {
        s.dark = false;
        s.mode.clear();
        returnCold(s);
    }
}

// A server comes back as another life, knowing nothing.
auto World::returnCold(SimServer& s) -> bool {
    if (s.up) return false;
    s.up = s.cold = true;
    s.life++;
    s.born = t;
    return true;
}
// The same, and the platform's mark on it is over.
auto World::returnUnmarked(SimServer& s) -> void {
    if (!returnCold(s)) return;
    s.leavingSent = 0;
    s.leaving = false;
    say(s.name + " returns cold");
}

auto World::wake(Machine& m) -> void {
    m.frozen = false;
    auto ib = std::move(m.inbox);
    m.inbox.clear();
    for (auto& f : ib) to(m.i, m.life, 0, f);
}
auto World::restart(int i, Microseconds d) -> void {
    in(d, [this, i] {
        if (!ended) ms[std::size_t(i)]->start();
    });
}
// The disk of a machine that is down is gone, and all that stood on it.
auto World::loseDisk(Machine& m) -> void {
    m.dk.held = {};
    m.kept.clear();
    say(m.st.node + " loses its disk");
}
// Another machine sits in its place, at another address. Its settings name the seeds as they
// are by then; those of the others do not.
auto World::moveCore(Machine& k) -> void {
    indexByAddress.erase(k.st.peer);
    k.st.peer = fmt::format("127.0.0.1:{}", parseAddress(k.st.peer)->port + 1000 + int(frng.below(1000)));
    indexByAddress[k.st.peer] = k.i;
    k.st.seeds.clear();
    for (auto& x : ms)
        if (x->core) k.st.seeds.push_back(x->st.peer);
}

// The newest configuration that an operator was told of.
auto World::newestConfig() const -> std::int64_t {
    auto g = std::int64_t(0);
    for (auto& d : ords)
        if (d.op == "config" && d.status == 200) g = std::max(g, d.version);
    return g;
}
auto World::putConfig(int probe, std::int64_t base, std::function<void(int)> f, const std::string& twist)
    -> void {
    order("config", fmt::format("{{\"base\":{},\"config\":{}}}", base, probeConfig(probe, twist)),
        fmt::format("probe-{}", probe), base, std::move(f));
}
auto World::restoreZone(const std::string& z) -> void {
    order("give-back", bodyOf({{"district", jsonQuote(z)}}), z, 0, [this, z](int st) {
        if (st == 200) openEvacuations = 0;
        else in(SECOND, [this, z] { restoreZone(z); });
    });
}

auto World::fault(const std::string& f) -> void {
    auto alone = f == "ruin" || f.starts_with("total-loss") || f.ends_with("-after-ack");
    if (!alone && t < calmTill) return;
    r.faults++;
    auto n = int(frng.below(ms.size()));
    auto& m = *ms[std::size_t(n)];
    auto sv = int(frng.below(ss.size() - std::size_t(probes)));
    auto& s = ss[std::size_t(sv)];
    auto span = SECOND + Microseconds(frng.below(5 * SECOND));
    auto cores = std::vector<int>();
    for (auto& x : ms)
        if (x->core) cores.push_back(x->i);
    auto c = cores[frng.below(cores.size())];
    if (frng.chance(.4) && leader() >= 0) c = leader();
    auto& k = *ms[std::size_t(c)];
    say("fault " + f);
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
            if (frng.chance(.4))
                x->kill(frng.chance(.5)), restart(x->i, span + Microseconds(frng.below(SECOND)));
    } else if (f == "freeze") {
        auto i = frng.chance(.3) ? c : n;
        auto& x = *ms[std::size_t(i)];
        if (!x.up || x.frozen) return;
        x.frozen = true;
        say(x.st.node + " freezes");
        auto l = x.life;
        in(3 * SECOND + span, [this, i, l] {
            auto& x = *ms[std::size_t(i)];
            if (!x.up || x.life != l || !x.frozen) return;
            say(x.st.node + " wakes");
            wake(x);
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
        auto z = m.st.zone;
        auto pa = [z](Machine& x) { return x.st.zone == z; };
        auto pb = [z](Machine& x) { return x.st.zone != z; };
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
        auto j = (frng.chance(.5) ? 1 : -1) * (10 * SECOND + Microseconds(frng.below(3600 * SECOND)));
        m.wallOff += j;
        in(span + 10 * SECOND, [this, n, j] { ms[std::size_t(n)]->wallOff -= j; });
    } else if (f == "disk-slow") {
        k.dk.lat = 300 * MILLISECOND;
        in(span, [this, c] { ms[std::size_t(c)]->dk.lat = 2 * MILLISECOND; });
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
        for (auto i : cores) {
            auto& machine = *ms[std::size_t(i)];
            auto isVoter = [&] {
                auto voters = ms[std::size_t(leader())]->node->replicatedState().voters();
                return std::any_of(voters.begin(), voters.end(),
                    [&](auto& voter) { return voter.disk == machine.node->voter()->disk(); });
            };
            blank += !machine.up || machine.node->voter()->blank() || (leader() >= 0 && !isVoter());
        }
        if (blank || leader() < 0) return;
        k.kill(true);
        loseDisk(k);
        if (f == "replace-core") {
            moveCore(k);
            k.wallOff += 1;
        }
        restart(c, span);
    } else if (f.starts_with("server-") && f != "server-roll") {
        auto md = f.substr(7);
        if (!s.up) return;
        if (md == "crash" || md == "cold") {
            say(s.name + " crashes");
            serverDown(sv, false);
            in(md == "cold" ? SECOND : span, [this, sv] { returnUnmarked(ss[std::size_t(sv)]); });
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
        if (!s.up || s.leaving) return;
        s.leaving = true;
        // Marked through any node until one takes it, then taken away at short notice.
        auto mk = std::make_shared<std::function<void(int)>>();
        *mk = [this, sv, wk = std::weak_ptr(mk)](int tries) {
            auto mk = wk.lock();
            auto i = aliveMachine();
            if (tries <= 0 || i < 0 || ended) {
                ss[std::size_t(sv)].leaving = false;  // taken back, and must be believed
                return;
            }
            auto& x = *ms[std::size_t(i)];
            auto sent = t;
            auto no = ++rev;
            auto over = std::make_shared<bool>(false);
            to(i, x.life, lat(), [this, i, sv, mk, tries, over, sent, no] {
                auto& x = *ms[std::size_t(i)];
                auto id = ++x.callId;
                x.calls[id] = [this, sv, mk, tries, over, sent](const Outcome& o) {
                    if (*over) return;
                    *over = true;
                    auto& s = ss[std::size_t(sv)];
                    if (o.status == 200) {
                        s.leavingSent = sent;
                        r.markTook.push_back(t - sent);
                        leavingTaken(sv);
                        say(s.name + " is listed as leaving");
                        auto l = s.life;
                        in(8 * SECOND, [this, sv, l] {
                            if (ss[std::size_t(sv)].life != l) return;
                            say(ss[std::size_t(sv)].name + " is taken away");
                            serverDown(sv, false);
                        });
                        in(14 * SECOND, [this, sv] { returnUnmarked(ss[std::size_t(sv)]); });
                    } else (*mk)(tries - 1);
                };
                x.node->mark(id, ss[std::size_t(sv)].name, no, x.now());
            });
            in(4 * SECOND, [mk, tries, over] {
                if (*over) return;
                *over = true;
                (*mk)(tries - 1);
            });
        };
        (*mk)(5);
    } else if (f == "empty") {
        if (openEvacuations) return;
        openEvacuations = 1;
        auto z = m.st.zone;
        order("empty", bodyOf({{"district", jsonQuote(z)}}), z, 0, {});
        in(8 * SECOND + span, [this, z] { restoreZone(z); });
    } else if (f == "config" || f == "race") {
        auto two = f == "race" ? 2 : 1 + int(frng.below(3));
        auto base = newestConfig();
        for (auto i = 0; i < two; i++) {
            auto p = int(frng.below(std::uint64_t(probes)));
            auto b = f == "race" ? base : base + i;
            if (i == 0 && f == "race") {
                // A third sends what is no configuration; no trace of it may ever be seen.
                auto no = probeConfig(0);
                no.insert(no.size() - 1, ",\"colour\":1");
                no.replace(no.find("probe-0"), 7, "probe-x");
                order("config", fmt::format("{{\"base\":{},\"config\":{}}}", base, no), "invalid", base,
                    [this](int st) {
                        if (st == 200 || st == 409)
                            broke("what was refused never takes effect", "an invalid one was taken");
                    });
            }
            in(f == "race" ? Microseconds(frng.below(5 * MILLISECOND)) : i * 700 * MILLISECOND,
                [this, p, b] { putConfig(p, b, {}); });
        }
    } else if (f == "plan") {
        if (openEvacuations) return;
        openEvacuations = 1;
        auto z = m.st.zone;
        order("book",
            bodyOf({{"at", jsonQuote(formatWallTime(t + 1800000000LL * SECOND + 4 * SECOND))},
                {"move", bodyOf({{"op", "\"empty\""}, {"district", jsonQuote(z)}})}}),
            z, 0, {});
        in(12 * SECOND, [this, z] { restoreZone(z); });
    } else if (f == "rules") {
        // Less is allowed for a while, under exchanges that run; then as much as before.
        static const auto TWISTS =
            std::vector<std::string>{"no-resume", "one-try", "home", "no-spill", "no-move"};
        auto tw = TWISTS[frng.below(TWISTS.size())];
        auto put = [this](const std::string& tw) {
            auto p = int(rng.below(std::uint64_t(probes)));
            say("rules " + (tw.empty() ? "as ever" : tw));
            putConfig(p, newestConfig(), {}, tw);
        };
        put(tw);
        in(5 * SECOND + span, [this, put] {
            if (!ended) put("");
        });
    } else if (f == "server-roll") {
        // Taken away and back with other weights, before the platform tells of it.
        if (!s.up || s.leaving) return;
        serverDown(sv, false);
        in(SECOND, [this, sv] {
            auto& s = ss[std::size_t(sv)];
            if (!returnCold(s)) return;
            if (s.service == "model") s.weights = s.weights == "w1" ? "w2" : "w1";
            say(s.name + " is back with weights " + s.weights);
        });
    } else if (f == "late-listing") {
        // What the platform said before is held up on its way, and comes whole.
        auto text = listing();
        in(2 * SECOND + span, [this, text] {
            auto i = aliveMachine();
            if (i < 0 || ended) return;
            auto& x = *ms[std::size_t(i)];
            to(i, x.life, lat(), [this, i, text] {
                auto& x = *ms[std::size_t(i)];
                x.node->list(++x.callId, text, x.now());
            });
        });
    } else if (f == "crowd") {
        crowd = 4;
        in(span, [this] { crowd = 1; });
    } else if (f == "swing") {
        swing = frng.chance(.5) ? 3 : -3;
        in(span, [this] { swing = 0; });
    } else if (f == "district-loss") {
        auto z = m.st.zone;
        for (auto& x : ms)
            if (x->st.zone == z) x->kill(true), restart(x->i, span);
        for (auto i = std::size_t(0); i < ss.size() - std::size_t(probes); i++)
            if (ss[i].zone == z && ss[i].up) {
                serverDown(int(i), frng.chance(.5));
                in(span, [this, i] { returnCold(ss[i]); });
            }
    } else if (f == "ruin") {
        ruin();
    } else if (f.starts_with("total-loss")) {
        totalLoss(f);
    } else if (f.ends_with("-after-ack")) {
        // What was acknowledged is put to the test at that very moment.
        auto wipe = f == "wipe-after-ack";
        if (!wipe)
            for (auto i : cores) ms[std::size_t(i)]->dk.lat = 700 * MILLISECOND;
        auto base = newestConfig();
        auto p = int(frng.below(std::uint64_t(probes)));
        // Now and then two cores are alone when they are asked: two disks must not be enough.
        auto i1 = leader(), i2 = i1 < 0 ? -1 : i1 == cores[0] ? cores[1] : cores[0];
        auto split = wipe && i1 >= 0 && frng.chance(.5);
        auto pa = [i1, i2](Machine& x) { return x.i == i1 || x.i == i2; };
        auto pb = [i1, i2](Machine& x) { return x.i != i1 && x.i != i2; };
        if (split) cutBoth(pa, pb, 1);
        askAt = split ? i1 : -1;
        if (split) in(7 * SECOND, [=] { cutBoth(pa, pb, -1); });
        putConfig(p, base, [this, wipe, cores, i1, i2, split](int st) {
            for (auto i : cores) ms[std::size_t(i)]->dk.lat = 2 * MILLISECOND;
            if (st != 200) return;
            auto n = 0;
            for (auto& x : ms) {
                if (wipe && (!x->core || n == 2 || (split && x->i != i1 && x->i != i2))) continue;
                n++;
                x->kill(true);
                if (wipe) loseDisk(*x);
                restart(x->i, SECOND);
            }
        });
    }
}

// All processes lose power and two of the three disks are lost with it, so neither disks nor
// nodes have a majority. Nobody serves until an operator founds a new reign from the disk that
// is left, which here was the leader's; on a fleet that stands that is denied.
auto World::ruin() -> void {
    auto l = leader();
    if (l < 0) return;
    auto& k = *ms[std::size_t(l)];
    auto held = std::pair(k.node->replicatedState().epoch, k.node->replicatedState().version);
    if (k.node->rescue(held.first, held.second, k.now()).status != 409)
        broke("a rescue is denied while a majority stands", k.st.node);
    for (auto& x : ms) x->kill(true);
    for (auto& x : ms) {
        if (x->core && x->i != l) loseDisk(*x);
        restart(x->i, SECOND + Microseconds(frng.below(SECOND)));
    }
    in(8 * SECOND, [this, l] {
        auto& k = *ms[std::size_t(l)];
        if (ended || !k.up) return;
        for (auto& x : ms)
            if (x->node->withinLease(x->now())) broke("without any majority nobody serves", x->st.node);
        auto& w = k.node->newestKnownState();
        if (k.node->rescue(w.epoch, w.version + 1, k.now()).status != 409)
            broke("a rescue names what is held", k.st.node);
        auto o = k.node->rescue(w.epoch, w.version, k.now());
        say(fmt::format("rescue at {}: {} {}", k.st.node, o.status, o.body));
        if (o.status != 200) broke("a rescue founds a reign when no majority stands", o.body);
        lostAt = t;
        backAt.clear();
        canary(t + 12 * SECOND);
    });
}

// All processes lose power at once, and come back a second or two later; one of the disks
// lost besides, or one core machine replaced by another with a blank disk.
auto World::totalLoss(const std::string& f) -> void {
    lostAt = t;
    backAt.clear();
    for (auto& x : ms) x->kill(true);
    auto c = -1;
    for (auto& x : ms)
        if (x->core && (c < 0 || frng.chance(.5))) c = x->i;
    auto& k = *ms[std::size_t(c)];
    if (f != "total-loss") loseDisk(k);
    if (f == "total-loss-moved") moveCore(k);
    for (auto& x : ms) restart(x->i, SECOND + Microseconds(frng.below(SECOND)));
    canary(t + 12 * SECOND);
}

auto World::faults() -> void {
    auto fs = op.faults;
    std::erase(fs, "closing-wipe");
    // These are judged alone, at most one a day: what they leave is what the fleet promises
    // to live through, and another loss beside them may be too much.
    auto alone = std::vector<std::string>();
    for (auto a :
        {"power-after-ack", "wipe-after-ack", "total-loss", "total-loss-disk", "total-loss-moved", "ruin"})
        if (std::erase(fs, a)) alone.push_back(a);
    auto from = 10 * SECOND, till = op.duration - 15 * SECOND;
    if (!fs.empty()) {
        auto n = int(op.perMinute * double(till - from) / double(60 * SECOND));
        for (auto i = 0; i < std::max(1, n); i++) {
            auto f = fs[frng.below(fs.size())];
            at(from + Microseconds(frng.below(std::uint64_t(till - from))), [this, f] {
                if (!ended) fault(f);
            });
        }
    }
    if (alone.empty()) return;
    auto k = frng.below(alone.size() + (fs.empty() ? 0 : 1));
    if (k == alone.size()) return;
    at(from + (till - from) / 2 - 12 * SECOND, [this, f = alone[k]] {
        calmTill = t + 36 * SECOND;
        heal();
        in(12 * SECOND, [this, f] { fault(f); });
    });
}

}  // namespace duneturn
