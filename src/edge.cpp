#include "edge.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dt {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

// ---- what may follow what in an exchange

struct EvSend {};
struct EvBytes {};
struct EvLoss {};
struct EvWait {};
struct EvEnd {};

struct ExchangeDef : msm::front::state_machine_def<ExchangeDef> {
    struct Queued : msm::front::state<> {};
    struct Sending : msm::front::state<> {};
    struct Delivering : msm::front::state<> {};
    struct Migrating : msm::front::state<> {};
    struct Finished : msm::front::state<> {};
    using initial_state = Queued;
    template <class S, class E, class T>
    using R = msm::front::Row<S, E, T, msm::front::none, msm::front::none>;
    struct transition_table
        : mpl::vector<R<Queued, EvSend, Sending>, R<Queued, EvEnd, Finished>, R<Sending, EvBytes, Delivering>,
              R<Sending, EvLoss, Migrating>, R<Sending, EvEnd, Finished>, R<Delivering, EvBytes, Delivering>,
              R<Delivering, EvLoss, Migrating>, R<Delivering, EvEnd, Finished>, R<Migrating, EvSend, Sending>,
              R<Migrating, EvWait, Queued>, R<Migrating, EvEnd, Finished>> {};
    template <class F, class E>
    void no_transition(E const&, F&, int) {
        wrong = true;
    }
    bool wrong = false;
};
struct ExchangeMachine {
    msm::back::state_machine<ExchangeDef> m;
    ExchangeMachine() { m.start(); }
    template <class E>
    auto go(E e) -> bool {
        m.wrong = false;
        m.process_event(e);
        return !m.wrong;
    }
};
// What the table does not allow is never done in silence.
template <class E>
static auto turn(Exchange& x, Counters& c, E e) -> void {
    if (!x.pm->go(e)) c.add("illegal_transitions_total");
}
Exchange::Exchange() : pm(std::make_unique<ExchangeMachine>()) {}
Exchange::Exchange(Exchange&&) noexcept = default;
auto Exchange::operator=(Exchange&&) noexcept -> Exchange& = default;
Exchange::~Exchange() = default;
auto Exchange::phase() const -> Phase { return Phase(pm->m.current_state()[0]); }

// ---- rules

auto compile(const Val& c, std::int64_t gen) -> Rules {
    auto r = Rules();
    r.gen = gen;
    auto sub = [](const Val& v, const char* k) -> const Val& {
        static const auto none = Val(rapidjson::kObjectType);
        return v.IsObject() && v.HasMember(k) ? v[k] : none;
    };
    r.share = jsNum(sub(c, "budget"), "share", r.share);
    r.cap = jsInt(sub(c, "budget"), "cap", r.cap);
    r.rampOver = jsInt(sub(c, "ramp"), "overUs", r.rampOver);
    r.rampFirst = int(jsInt(sub(c, "ramp"), "first", r.rampFirst));
    if (!c.HasMember("mappings")) return r;
    for (auto& v : c["mappings"].GetArray()) {
        auto m = Mapping();
        m.name = jsStr(v, "name");
        m.method = jsStr(v, "method", "POST");
        m.path = jsStr(v, "path");
        if (m.path.ends_with("*")) m.prefix = true, m.path.pop_back();
        m.pool = jsStr(v, "pool");
        m.model = jsStr(v, "model");
        m.home = jsStr(v, "home");
        m.spill = jsList(v, "spill");
        m.spillAt = jsNum(v, "spillAt", m.spillAt);
        m.stream = jsBool(v, "stream");
        m.resumable = jsBool(v, "Resumable");
        m.maxTries = int(jsInt(v, "MaxTries", m.maxTries));
        m.urgency = int(jsInt(v, "urgency", m.urgency));
        m.deadline = jsInt(v, "deadlineUs", m.deadline);
        m.idle = jsInt(v, "idleUs", m.idle);
        m.queueUs = jsInt(v, "queueUs", m.queueUs);
        m.queue = std::size_t(jsInt(v, "queue", std::int64_t(m.queue)));
        m.affinity = std::size_t(jsInt(v, "affinity"));
        auto& md = sub(sub(c, "models"), m.model.c_str());
        m.limit = int(jsInt(md, "migrationLimit", 0));
        m.maxSequence = jsInt(md, "maxSequence", m.maxSequence);
        m.prog = {{Op::Pool, m.pool}, {Op::Listed, ""}, {Op::Emptied, ""}};
        if (!m.home.empty()) m.prog.push_back({Op::Home, m.home});
        m.prog.push_back({Op::Weights, ""});
        m.prog.push_back({Op::Untried, ""});
        m.prog.push_back({Op::Fit, "", 0.3});
        m.prog.push_back({Op::Ramp, ""});
        // Less urgent work leaves a little room for what is more urgent.
        m.prog.push_back({Op::Room, "", m.urgency >= 5 ? 1.0 : 0.85});
        if (m.home.empty()) m.prog.push_back({Op::Near, "", m.spillAt});
        m.prog.push_back({Op::Pick, "", double(m.affinity > 0)});
        r.ms.push_back(std::move(m));
    }
    return r;
}

auto Rules::match(View me, View p) const -> int {
    p = p.substr(0, p.find('?'));
    auto b = -1;
    for (auto i = std::size_t(0); i < ms.size(); i++) {
        auto& m = ms[i];
        if (m.method != me || !(m.prefix ? p.starts_with(m.path) : p == m.path)) continue;
        if (b < 0 || m.path.size() > ms[std::size_t(b)].path.size()) b = int(i);
    }
    return b;
}
// ----

constexpr std::int64_t ONE = 1000;  // credit of one send

Edge::Edge(Node& n, EdgePort& p, Counters& c, std::uint64_t seed) : n_(n), po_(p), ct_(c), rng_{seed} {
    n_.onWord = [this] { rebuild(); };
    n_.onGrant = [this](std::int64_t g) {
        credit_ = std::min(credit_ + g, ru_.cap * ONE);
        ct_.add("grants_taken_total");
    };
    rebuild();
}

auto Edge::rebuild() -> void {
    auto& w = n_.word();
    // A rebuild may give a number anew that an order had which was never acknowledged.
    if (w.configGen() != ru_.gen || w.reign != ru_.reign || ru_.ms.empty()) {
        ru_ = compile(w.config(), w.configGen());
        ru_.reign = w.reign;
        epoch_++;
    }
    auto z = w.emptied(n_.settings().district);
    if (z && !emptiedAt_) emptiedAt_ = -1;
    if (!z) emptiedAt_ = 0;
}

auto Edge::get(std::int64_t x, int a) -> Exchange* {
    auto i = xs_.find(x);
    return i == xs_.end() || i->second.a != a || i->second.phase() == Phase::Finished ? nullptr : &i->second;
}
auto Edge::find(std::int64_t x) const -> const Exchange* {
    auto i = xs_.find(x);
    return i == xs_.end() ? nullptr : &i->second;
}
auto Edge::note(Exchange& x, Str s) -> void {
    if (x.trace.size() < 200) x.trace.push_back(std::move(s));
}
auto Edge::tally(const Exchange& x, View what) -> void {
    ct_.add(fmt::format("exchanges_total{{mapping=\"{}\",outcome=\"{}\"}}", x.m.name, what));
}

static auto header(const Headers& h, View k) -> Str {
    for (auto& [n, v] : h)
        if (n.size() == k.size() && std::equal(n.begin(), n.end(), k.begin(), [](char a, char b) {
                return std::tolower(a) == std::tolower(b);
            }))
            return v;
    return "";
}
static auto whole(const Str& s) -> std::int64_t {
    if (s.empty() || s.size() > 18 || s.find_first_not_of("0123456789") != Str::npos) return -1;
    return std::stoll(s);
}

// ---- placement

auto Edge::occupancy(const Str& name, const Server& s) -> double {
    auto& f = fit_[name];
    if (s.seen > f.seen) {
        f.seen = s.seen;
        f.atSeen = f.inflight;
    }
    auto own = double(f.inflight);
    if (!s.seen) return own;
    return std::max(own, double(s.d.prefill + s.d.decode + f.inflight - f.atSeen));
}

// A cold server's room grows over the ramp's time, and is dealt out over all edges: each
// takes its part, the remainder goes to those that rendezvous hashing puts first.
auto Edge::rampShare(const Str& name, const Server& s, Us now) -> int {
    constexpr auto ALL = 1 << 20;
    if (broken.noRamp || ru_.rampOver <= 0) return ALL;
    auto up = now - s.first;
    // After a loss it may be another life that replies: cold, until its load says otherwise.
    if (auto& f = fit_[name]; f.lostAt > s.seen && f.lostAt > s.first) up = 0;
    // So it does where it was last seen not to reply, or nobody has read its load of late.
    else if (s.seen && (s.d.dark || now - s.seen > STALE)) up = 0;
    else if (s.seen) {
        if (!s.d.cold && s.d.up >= ru_.rampOver) return ALL;
        up = s.d.up + (now - s.seen);
    }
    if (up >= ru_.rampOver) return ALL;
    auto slots = double(std::max(1, s.l.slots));
    auto cap = int(ru_.rampFirst + (slots - ru_.rampFirst) * double(up) / double(ru_.rampOver));
    auto ns = n_.aliveNodes(now);
    auto k = 0;
    for (auto& n : ns) k += rank(name, n) > rank(name, n_.me().node);
    return cap / int(ns.size()) + (k < cap % int(ns.size()));
}

// The median of what is known of a pool's servers; 0 of fewer than three.
auto Edge::median(const Str& pool, double Fitness::*what) const -> double {
    auto v = std::vector<double>();
    for (auto& [n, s] : n_.servers())
        if (auto i = fit_.find(n); i != fit_.end() && s.l.pool == pool && i->second.*what > 0)
            v.push_back(i->second.*what);
    if (v.size() < 3) return 0;
    std::nth_element(v.begin(), v.begin() + std::ptrdiff_t(v.size() / 2), v.end());
    return v[v.size() / 2];
}

auto Edge::fitOf(const Str& s, Us now) -> double {
    auto& f = fit_[s];
    return std::min(1.0, f.fit + double(now - f.at) / double(20 * SEC));
}
auto Edge::hurt(const Str& s, double k, Us now) -> void {
    auto& f = fit_[s];
    f.fit = fitOf(s, now) * k;
    f.at = now;
}

// The newest configuration binds an exchange under way in all but its deadline: what it says
// of this method and path is what counts. False if that is another mapping now.
auto Edge::bind(Exchange& x) -> bool {
    if (x.epoch == epoch_ || broken.oldRules) return true;
    auto i = ru_.match(x.method, x.path);
    if (i < 0) return false;
    auto& m = ru_.ms[std::size_t(i)];
    if (m.name != x.m.name || m.model != x.m.model || m.stream != x.m.stream) return false;
    x.m = m;
    x.epoch = epoch_;
    x.fixed = x.fixed || x.seq > x.m.maxSequence;
    return true;
}

// What stands against a send, whatever the server, where an earlier one may have run (`ran`);
// with `more`, against one beyond those already granted.
auto Edge::bar(const Exchange& x, bool ran, bool more) const -> Str {
    if (ran && !broken.resendAny) {
        if (!x.m.resumable) return "it may have run, and a stream that cannot be resumed never runs twice";
        if (x.headSent && !x.counting) return "its events cannot be counted, so they cannot be joined";
    }
    auto moved = x.moved + more;
    if (!x.m.model.empty() && moved > 0 && (moved > x.m.limit || (more && x.fixed)))
        return "no migration is left";
    if (x.tries >= x.m.maxTries) return "MaxTries is reached";
    return "";
}

// Whether a step's rule lets this server in. What is weighed and not ruled is not asked here.
auto Edge::keeps(const Step& st, const Exchange& x, const Server& s) const -> bool {
    switch (st.op) {
    case Op::Pool: return s.l.pool == st.s;
    case Op::Listed: return !s.l.address.empty() && (s.l.state == UP || broken.ignoreLeaving);
    case Op::Emptied: return !n_.word().emptied(s.l.district);
    case Op::Home: return broken.ignoreHome || s.l.region == (st.s == "@near" ? x.region : st.s);
    case Op::Weights: return broken.anyWeights || x.weights.empty() || x.last < 0 || s.l.weights == x.weights;
    case Op::Near:
        return s.l.region == x.region
            || std::find(x.m.spill.begin(), x.m.spill.end(), s.l.region) != x.m.spill.end();
    default: return true;
    }
}

auto Edge::place(Exchange& x, Us now, bool dry) -> Str {
    struct Cand {
        const Str* n;
        const Server* s;
        double occ;
    };
    auto cs = std::vector<Cand>();
    auto all = std::size_t(0);
    for (auto& [n, s] : n_.servers()) cs.push_back({&n, &s, 0});
    auto say = Str();
    auto keep = [&](View what, auto f) {
        auto was = cs.size();
        std::erase_if(cs, [&](auto& c) { return !f(c); });
        say += fmt::format("{}{} {}/{}", say.empty() ? "" : ", ", what, cs.size(), was);
    };
    auto soft = [&](View what, auto f) {  // a wish, dropped where nothing would be left
        if (std::any_of(cs.begin(), cs.end(), f)) keep(what, f);
        else say += fmt::format(", {} unmet", what);
    };
    auto pick = Str();
    for (auto& st : x.m.prog) {
        if (cs.empty()) break;
        auto rule = [&](auto& c) { return keeps(st, x, *c.s); };
        switch (st.op) {
        case Op::Pool:
            keep("pool " + st.s, rule);
            all = cs.size();
            break;
        case Op::Listed: keep("listed", rule); break;
        case Op::Emptied: keep("not emptied", rule); break;
        case Op::Home: keep("home " + st.s, rule); break;
        case Op::Weights:
            if (!x.weights.empty() && x.last >= 0) keep("weights " + x.weights, rule);
            break;
        case Op::Untried:
            if (!x.tried.empty())
                soft("untried", [&](auto& c) {
                    return std::find(x.tried.begin(), x.tried.end(), *c.n) == x.tried.end();
                });
            break;
        case Op::Fit:
            soft("fit", [&](auto& c) {
                return !(c.s->seen && now - c.s->seen < SEEN && c.s->d.dark) && fitOf(*c.n, now) >= st.w;
            });
            break;
        case Op::Ramp:
            keep("ramp", [&](auto& c) { return fit_[*c.n].inflight < rampShare(*c.n, *c.s, now); });
            break;
        case Op::Room:
            for (auto& c : cs) c.occ = occupancy(*c.n, *c.s) / std::max(1, c.s->l.slots);
            keep("room", [&](auto& c) { return c.occ < st.w; });
            break;
        case Op::Near: {
            auto near = [&](auto& c) { return c.s->l.region == x.region; };
            auto low = [&](auto& c) { return near(c) && c.occ < st.w; };
            if (std::any_of(cs.begin(), cs.end(), low)) keep("near " + x.region, near);
            else keep(fmt::format("spill from {}", x.region), rule);
            break;
        }
        case Op::Pick: {
            auto b = std::size_t(0);
            auto cost = [&](auto& c) { return (c.occ + 0.05) / std::max(0.05, fitOf(*c.n, now)); };
            auto least = std::size_t(0);
            for (auto i = std::size_t(1); i < cs.size(); i++)
                if (cost(cs[i]) < cost(cs[least])) least = i;
            auto how = Str("least occupied of two");
            if (broken.pickRandom) {
                b = rng_.below(cs.size());
                how = "random";
            } else if (broken.pickLeast) {
                b = least;
                how = "least";
            } else if (st.w > 0 && x.key) {
                // The server that rendezvous hashing names for this prompt's beginning has it in
                // its cache, unless it is much busier than the least occupied one.
                auto ord = std::vector<std::size_t>();
                for (auto i = std::size_t(0); i < cs.size(); i++) ord.push_back(i);
                std::sort(ord.begin(), ord.end(),
                    [&](auto i, auto j) { return hash64(*cs[i].n, x.key) > hash64(*cs[j].n, x.key); });
                b = least;
                how = "least occupied, cache homes are busy";
                for (auto i = std::size_t(0); i < ord.size() && i < 2; i++)
                    if (cost(cs[ord[i]]) <= cost(cs[least]) + 0.4) {
                        b = ord[i];
                        how = fmt::format("cache home {}", i + 1);
                        break;
                    }
            } else {
                auto i = rng_.below(cs.size()), j = rng_.below(cs.size());
                b = cost(cs[i]) <= cost(cs[j]) ? i : j;
            }
            pick = *cs[b].n;
            say += fmt::format(", picked {} ({}, region {}, occupancy {:.2f}, fitness {:.2f})", pick, how,
                cs[b].s->l.region, cs[b].occ, fitOf(pick, now));
            if (!dry && cs[b].s->l.region != x.region)
                ct_.add(fmt::format("spilled_total{{mapping=\"{}\"}}", x.m.name));
            break;
        }
        }
    }
    if (pick.empty()) say += all ? "; nothing is left" : "; no server of this pool is known";
    note(x, fmt::format("+{} us place: {}", now - x.born, say));
    return pick;
}

// ---- the walk of an exchange

auto Edge::accept(const Str& method, const Str& path, const Headers& h, const Str& body, Us now)
    -> std::int64_t {
    auto id = ++next_;
    auto& x = xs_[id];
    x.id = id;
    x.born = now;
    x.method = method;
    x.path = path;
    x.exid = fmt::format("{}-{:x}-{}", n_.me().node, n_.me().boot, id);
    x.region = header(h, "X-Region");
    if (x.region.empty()) x.region = n_.me().region;
    x.m.name = "none";
    x.m.deadline = 10 * SEC;
    x.due = now + x.m.deadline;
    auto i = ru_.match(method, path);
    if (draining_) return fail(x, 503, "this node is stopping", now), id;
    if (broken.noServe) return fail(x, 503, "broken", now), id;
    if (!n_.fresh(now)) return fail(x, 503, "this node has not heard a majority within its lease", now), id;
    if (emptiedAt_ > 0 && now - emptiedAt_ > 4 * SEC)
        return fail(x, 503, "this district is emptied", now), id;
    if (i < 0)
        return fail(x, ru_.gen ? 404 : 503, ru_.gen ? "no mapping for this path" : "no configuration yet",
                   now),
               id;
    x.m = ru_.ms[std::size_t(i)];
    x.due = now + x.m.deadline;
    x.h = h;
    x.body = body;
    x.epoch = epoch_;
    x.seq = std::int64_t(body.size() / 4);
    if (x.m.affinity) x.key = beginning(View(body).substr(0, x.m.affinity));
    if (auto l = header(h, "Last-Event-Id"); !l.empty()) {
        if (auto no = resume(x, l, header(h, "X-Weights")); !no.empty()) {
            ct_.add("resumptions_denied_total");
            return fail(x, 409, no, now), id;
        }
        if (credit_ < cost(x)) {
            wantAt_ = now;
            ct_.add("budget_denied_total");
            return fail(x, 503, "the fleet's budget for extra sends is spent", now), id;
        }
    }
    x.fixed = x.seq > x.m.maxSequence;
    note(x,
        fmt::format("accept: mapping {}, region {}, deadline {} us, migrations {}, sends {}{}", x.m.name,
            x.region, x.m.deadline, x.left(), x.m.maxTries - x.tries,
            x.resumed ? fmt::format(", resumed after event {} of weights {}", x.last, x.weights) : ""));
    ct_.add("accepted_total");
    // Nobody goes ahead of those who wait for the same servers with no less urgency.
    if (queued_[x.m.pool] == 0 && start(x, now)) return id;
    if (x.phase() == Phase::Finished) return id;
    if (!queue(x, now)) fail(x, 503, "the servers are full and so is the queue", now);
    return id;
}

// A sender whose own node was lost picks its stream up here. That is a migration which the
// sender asks for: allowed where ours are, counted as ours are, of the same weights only.
auto Edge::resume(Exchange& x, const Str& l, const Str& w) -> Str {
    auto n = whole(l);
    x.resumed = true;
    x.tries = x.moved = 1;
    x.last = n;
    x.weights = w;
    x.seq += std::max<std::int64_t>(0, n);
    if (broken.resumeAny) return "";
    if (!x.m.resumable)
        return "streams of this mapping cannot be resumed; send it anew without Last-Event-Id";
    if (n < 0) return "Last-Event-Id is not the number of an event";
    if (w.empty()) return "X-Weights, as it came with the stream, is missing";
    if (x.m.limit < 1 || x.m.maxTries < 2) return "streams of this mapping may not move";
    if (x.seq > x.m.maxSequence) return "the stream is past the maximum sequence length";
    return "";
}

// A place in the pool's queue. A full queue gives up its least urgent for one more urgent.
auto Edge::queue(Exchange& x, Us now) -> bool {
    if (x.m.queueUs == 0) return false;
    if (queued_[x.m.pool] >= x.m.queue) {
        auto w = (Exchange*)nullptr;
        for (auto& [id, y] : xs_)
            if (y.queuedIn == x.m.pool && y.m.urgency < x.m.urgency
                && (!w || y.m.urgency < w->m.urgency || (y.m.urgency == w->m.urgency && y.due >= w->due)))
                w = &y;
        if (!w) return false;
        ct_.add("displaced_total");
        fail(*w, 503, "more urgent work took its place in the queue", now);
    }
    queued_[x.m.pool]++;
    x.queuedIn = x.m.pool;
    x.queuedTill = std::min(x.due, now + x.m.queueUs);
    note(x, fmt::format("+{} us queued behind {}", now - x.born, queued_[x.m.pool] - 1));
    ct_.add("queued_total");
    return true;
}
auto Edge::unqueue(Exchange& x) -> void {
    if (x.queuedIn.empty()) return;
    queued_[broken.queueLeak ? x.m.pool + "?" : x.queuedIn]--;
    x.queuedIn.clear();
    x.queuedTill = 0;
}
auto Edge::queuedNow() const -> std::size_t {
    auto n = std::size_t(0);
    for (auto& [p, k] : queued_) n += k > xs_.size() ? 1 : k;  // one given back twice is one too few
    return n;
}
auto Edge::inflightNow() const -> int {
    auto n = 0;
    for (auto& [s, f] : fit_) n += f.inflight;
    return n;
}

// Where the shared part of a prompt ends nobody says: it is the longest beginning, in steps
// of 512 bytes, that has come before.
auto Edge::beginning(View body) -> std::uint64_t {
    constexpr auto B = std::size_t(512);
    auto key = std::uint64_t(0);
    for (auto n = B; n <= body.size(); n += B) {
        auto h = hash64(body.substr(0, n), 1) | 1;
        if (begun_.count(h)) key = h;
        else begun_.insert(h), begunOrder_.push_back(h);
    }
    while (begunOrder_.size() > 16384) {
        begun_.erase(begunOrder_.front());
        begunOrder_.pop_front();
    }
    return key;
}

auto Edge::start(Exchange& x, Us now) -> bool {
    if (!bind(x)) {
        fail(x, 503, "its mapping is no longer configured", now);
        return false;
    }
    if (!n_.fresh(now)) {
        fail(x, 503, "this node has not heard a majority within its lease", now);
        return false;
    }
    auto s = place(x, now, false);
    if (s.empty()) return false;
    x.server = s;
    x.a++;
    x.wrote = false;
    x.paced = 0;
    x.lastByte = x.sentAt = now;
    fit_[s].inflight++;
    x.counted = true;
    turn(x, ct_, EvSend{});
    po_.send(x.id, x.a, s, n_.servers().at(s).l.address);
    return true;
}

auto Edge::release(Exchange& x) -> void {
    if (x.counted) {
        fit_[x.server].inflight--;
        x.counted = false;
    }
}

// Why the server that was picked may not be sent to after all.
auto Edge::unsent(const Exchange& x, Us now) const -> Str {
    if (!n_.fresh(now)) return "no majority was heard within the lease";
    if (now >= x.due) return "its time is over";
    auto i = n_.servers().find(x.server);
    if (i == n_.servers().end()) return "it is no longer known";
    for (auto& st : x.m.prog)
        if (!keeps(st, x, i->second)) return "it may no longer be sent there";
    return "";
}

// The last look before the first byte: the process may just have woken from a freeze.
auto Edge::maySend(std::int64_t id, int a, Us now) -> bool {
    auto x = get(id, a);
    if (!x) return false;
    // Some things no other server can mend.
    auto over = bind(*x) ? bar(*x, x->ranBefore, false) : Str("its mapping is no longer configured");
    auto why = over.empty() ? unsent(*x, now) : over;
    if (why.empty()) {
        count(*x);
        x->tries++;
        x->wrote = true;
        x->everRan = true;
        x->lastByte = now;
        x->sentWeights = n_.servers().at(x->server).l.weights;
        note(*x, fmt::format("+{} us send {} to {}", now - x->born, x->tries, x->server));
        return true;
    }
    note(*x, fmt::format("+{} us held back from {}: {}", now - x->born, x->server, why));
    ct_.add("held_back_total");
    release(*x);
    turn(*x, ct_, EvLoss{});
    po_.drop(x->id, x->a);
    x->a++;
    if (!over.empty()) fail(*x, 503, why, now);
    else if (++x->replans > 3 || now >= x->due) fail(*x, 503, "no server may take it now", now);
    else if (!start(*x, now) && x->phase() != Phase::Finished) fail(*x, 503, "no server has room", now);
    return false;
}

// Counts a send. The first of an exchange earns credit; one that carries on a stream whose
// sender lost its node was begun elsewhere, so it is an extra one.
auto Edge::count(Exchange& x) -> void {
    ct_.add("sends_total");
    if (!x.first) return;
    x.first = false;
    if (x.resumed) {
        credit_ -= cost(x);
        ct_.add("resumptions_total");
        ct_.add("extra_sends_total");
        ct_.add("prompt_tokens_again_total", x.seq);
    } else {
        ct_.add("first_sends_total");
        credit_ = std::min(credit_ + std::int64_t(ru_.share * ONE), ru_.cap * ONE);
    }
}

// Reading a long prompt again costs more than reading a short one.
auto Edge::cost(const Exchange& x) const -> std::int64_t {
    return broken.noBudget ? 0 : ONE + ONE * x.seq / 4096;
}

// A send was lost. `ran`: bytes may have reached a server and it did not deny them.
auto Edge::again(Exchange& x, bool ran, const Str& why, Us now) -> void {
    release(x);
    po_.drop(x.id, x.a);
    x.a++;
    turn(x, ct_, EvLoss{});
    x.tried.push_back(x.server);
    note(x, fmt::format("+{} us lost {}: {}{}", now - x.born, x.server, why, ran ? "" : " (nothing ran)"));
    x.ranBefore = x.ranBefore || ran;
    // What the newest configuration allows is what counts, not what it allowed at first.
    if (!bind(x)) return fail(x, 502, why + "; its mapping is no longer configured", now);
    if (auto no = bar(x, x.ranBefore, true); !no.empty()) return fail(x, 502, why + "; " + no, now);
    if (now >= x.due) return fail(x, 504, why + "; its time is over", now);
    auto c = cost(x);
    if (credit_ < c) {
        wantAt_ = now;
        ct_.add("budget_denied_total");
        return fail(x, 503, why + "; the fleet's budget for extra sends is spent", now);
    }
    if (!start(x, now)) {
        if (x.phase() != Phase::Finished) fail(x, 503, why + "; no other server has room", now);
        return;
    }
    credit_ -= c;
    if (!x.m.model.empty()) x.moved++;
    ct_.add(ran ? "migrations_ongoing_total" : "migrations_new_total");
    ct_.add("extra_sends_total");
    if (ran) ct_.add("prompt_tokens_again_total", x.seq);
}

auto Edge::refused(std::int64_t id, int a, Us now) -> void {
    auto x = get(id, a);
    if (!x) return;
    hurt(x->server, 0.4, now);
    fit_[x->server].lostAt = now;
    x->tries += !x->wrote;  // a refused connection is a send too
    count(*x);
    again(*x, false, "connection refused", now);
}

static auto wrongExchange(const Exchange& x, const Headers& h) -> bool {
    auto e = header(h, "X-Exchange-Id");
    return !e.empty() && e != x.exid;
}

auto Edge::upHead(std::int64_t id, int a, int status, const Headers& h, Us now) -> bool {
    auto x = get(id, a);
    if (!x) return false;
    x->lastByte = now;
    auto& f = fit_[x->server];
    auto t = double(now - x->sentAt);
    f.first = f.first > 0 ? f.first * 0.8 + t * 0.2 : t;
    // Slow beside its like: judged against the pool's median.
    if (t > 200 * MS)
        if (auto m = median(x->m.pool, &Fitness::first); m > 0 && f.first > 5 * m) hurt(x->server, 0.9, now);
    // What a server says of its weights itself is newer than the listing.
    if (auto w = header(h, "X-Weights"); status == 200 && !w.empty()) {
        x->sentWeights = w;
        if (x->last >= 0 && !x->weights.empty() && w != x->weights && !broken.anyWeights) {
            ct_.add("wrong_weights_total");
            again(*x, true, "the server runs other weights by now", now);
            return false;
        }
    }
    if (status == 200 && wrongExchange(*x, h)) {
        hurt(x->server, 0.2, now);
        ct_.add("wrong_exchange_total");
        again(*x, true, "the server sent another exchange's reply", now);
        return false;
    }
    return true;
}
auto Edge::waiting(std::int64_t id, int a, Us now) -> void {
    if (auto x = get(id, a)) x->lastByte = now;
}

// A server that crawls is as good as lost to a stream that may move: once a stream, and only
// where another server would take it now, for a stream is better slow than cut.
auto Edge::slow(Exchange& x, Us gap, Us now) -> void {
    auto& f = fit_[x.server];
    f.pace = f.pace > 0 ? f.pace * 0.9 + double(gap) * 0.1 : double(gap);
    x.pace = x.paced++ ? x.pace * 0.8 + double(gap) * 0.2 : double(gap);
    if (x.paced < 8 || x.pace < double(100 * MS) || x.moved > 0 || !x.m.resumable || x.left() <= 0) return;
    auto m = median(x.m.pool, &Fitness::pace);
    if (m <= 0 || x.pace < 5 * m) return;
    hurt(x.server, 0.5, now);
    if (credit_ < cost(x) || !bind(x) || now >= x.due || !bar(x, true, true).empty()) return;
    x.tried.push_back(x.server);
    auto to = place(x, now, true);
    x.tried.pop_back();
    if (to.empty() || to == x.server) return;
    ct_.add("slow_moved_total");
    again(x, true, fmt::format("an event every {:.0f} us, where others need {:.0f}", x.pace, m), now);
}

auto Edge::upEvent(std::int64_t id, int a, const Event& e, Us now) -> void {
    auto x = get(id, a);
    if (!x) return;
    auto gap = now - x->lastByte;
    x->lastByte = now;
    if (!e.id.empty() && x->counting) {
        auto n = whole(e.id);
        if (n < 0) {
            // Ids that are no numbers cannot be counted, nor joined.
            if (x->last >= 0)
                return fail(*x, 502, fmt::format("the event after {} came as {}", x->last, e.id), now);
            x->counting = false;
        } else if (x->last >= 0 && n != x->last + 1 && !broken.joinAny) {
            hurt(x->server, 0.3, now);
            ct_.add("events_out_of_line_total");
            return fail(*x, 502, fmt::format("the event after {} came as {}", x->last, n), now);
        } else x->last = n;
    } else if (e.id.empty() && !e.done()) x->counting = false;
    if (!x->counting) x->fixed = true;
    if (!x->headSent) {
        x->headSent = true;
        if (!x->resumed) x->weights = x->sentWeights;
        po_.head(x->id, 200,
            {{"Content-Type", "text/event-stream"}, {"X-Exchange-Id", x->exid}, {"X-Weights", x->weights}});
    }
    turn(*x, ct_, EvBytes{});
    x->seq++;
    if (x->seq > x->m.maxSequence) {
        if (!x->fixed)
            note(*x, fmt::format("+{} us past the maximum sequence length: migrations 0", now - x->born));
        x->fixed = true;
        x->events.clear();
    } else if (x->left() > 0) x->events.push_back(e.raw);
    po_.part(x->id, e.raw);
    if (e.done()) {
        auto& f = fit_[x->server];
        f.fit = std::min(1.0, fitOf(x->server, now) + 0.1);
        f.at = now;
        po_.end(x->id, true);
        tally(*x, x->tries > 1 ? "whole_moved" : "whole");
        finish(*x, "whole", now);
    } else if (x->last > 0) slow(*x, gap, now);
}

auto Edge::upWhole(std::int64_t id, int a, int status, const Headers& h, const Str& body, Us now) -> void {
    auto x = get(id, a);
    if (!x) return;
    if (wrongExchange(*x, h)) {
        hurt(x->server, 0.2, now);
        ct_.add("wrong_exchange_total");
        return again(*x, true, "the server sent another exchange's reply", now);
    }
    if (!header(h, "X-Not-Executed").empty()) {
        ct_.add("server_denied_total");
        hurt(x->server, 0.8, now);
        x->everRan = x->ranBefore;
        return again(*x, false, fmt::format("denied by the server with {}", status), now);
    }
    if (x->headSent)
        return again(*x, true, fmt::format("the resumed stream was not one (status {})", status), now);
    if (x->m.stream && status == 200) return again(*x, true, "not a stream", now);
    auto& f = fit_[x->server];
    if (status >= 500) hurt(x->server, 0.7, now);
    else f.fit = std::min(1.0, fitOf(x->server, now) + 0.1), f.at = now;
    auto o = Headers{{"X-Exchange-Id", x->exid}};
    for (auto k : {"Content-Type", "Retry-After", "Cache-Control", "ETag"})
        if (auto v = header(h, k); !v.empty()) o.emplace_back(k, v);
    turn(*x, ct_, EvBytes{});
    po_.reply(x->id, status, o, body);
    tally(*x, status < 400 ? (x->tries > 1 ? "whole_moved" : "whole") : "server_error");
    finish(*x, fmt::format("reply {}", status), now);
}

auto Edge::upLost(std::int64_t id, int a, const Str& why, Us now) -> void {
    auto x = get(id, a);
    if (!x) return;
    hurt(x->server, 0.4, now);
    fit_[x->server].lostAt = now;
    ct_.add("sends_lost_total");
    again(*x, x->wrote, why, now);
}

// The final reply, at once. X-Not-Executed is said only where it is certain.
auto Edge::fail(Exchange& x, int status, const Str& why, Us now) -> void {
    release(x);
    if (x.phase() == Phase::Sending || x.phase() == Phase::Delivering) {
        po_.drop(x.id, x.a);
        x.a++;
    }
    if (x.headSent) {
        po_.part(x.id,
            fmt::format("event: failed\ndata: {}\n\n",
                bodyOf({{"error", jsQuote(why)}, {"lastEventId", fmt::to_string(x.last)},
                    {"retryAfter", "1"}})));
        po_.end(x.id, broken.cutLooksWhole);
    } else {
        auto h = Headers{{"Content-Type", "application/json"}};
        if (status >= 500) h.emplace_back("Retry-After", "1");  // else coming back changes nothing
        if (!x.everRan) h.emplace_back("X-Not-Executed", "true");
        po_.reply(x.id, status, h,
            bodyOf({{"error", jsQuote(why)}, {"executed", x.everRan ? "\"unknown\"" : "false"},
                {"exchange", jsQuote(x.exid)}}));
    }
    tally(x, x.headSent ? "cut" : x.everRan ? "failed" : "denied");
    finish(x, "failed: " + why, now);
}

auto Edge::finish(Exchange& x, const Str& how, Us now) -> void {
    release(x);
    unqueue(x);
    turn(x, ct_, EvEnd{});
    if (broken.badStep) turn(x, ct_, EvLoss{});
    note(x, fmt::format("+{} us {}", now - x.born, how));
    auto t = Str();
    for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsQuote(l);
    past_.push_back({++decision_, x.id, x.exid,
        bodyOf({{"seq", fmt::to_string(decision_)}, {"exchange", jsQuote(x.exid)},
            {"mapping", jsQuote(x.m.name)}, {"end", jsQuote(how)}, {"steps", "[" + t + "]"}})});
    if (past_.size() > 1024) past_.erase(past_.begin(), past_.begin() + 512);
    gone_.push_back(x.id);
}

auto Edge::gone(std::int64_t id, Us now) -> void {
    auto i = xs_.find(id);
    if (i == xs_.end() || i->second.phase() == Phase::Finished) return;
    auto& x = i->second;
    po_.drop(x.id, x.a);
    x.a++;
    tally(x, "sender_gone");
    finish(x, "the sender has gone", now);
}

auto Edge::cutAll(Us now) -> void {
    for (auto& [id, x] : xs_)
        if (x.phase() != Phase::Finished) fail(x, 503, "this node is stopping", now);
}

auto Edge::pump(Us now) -> void {
    auto q = std::vector<Exchange*>();
    for (auto& [id, x] : xs_)
        if (x.phase() == Phase::Queued && x.queuedTill) q.push_back(&x);
    if (q.empty()) return;
    std::stable_sort(q.begin(), q.end(), [](auto a, auto b) {
        return a->m.urgency != b->m.urgency ? a->m.urgency > b->m.urgency : a->due < b->due;
    });
    auto full = std::map<Str, int>();
    for (auto x : q) {
        if (now >= x->queuedTill) {
            fail(*x, 503, "no server had room in time", now);
            continue;
        }
        // After a few that found no room the rest of that mapping would not either.
        if (full[x->m.name] >= 2) continue;
        auto tr = x->trace.size();
        if (start(*x, now)) unqueue(*x);
        else {
            full[x->m.name]++;
            if (x->phase() != Phase::Finished) x->trace.resize(tr);
        }
    }
}

auto Edge::tick(Us now) -> void {
    if (emptiedAt_ < 0) emptiedAt_ = now;
    for (auto& [id, x] : xs_) {
        if (x.phase() == Phase::Finished) continue;
        if (now >= x.due) {
            ct_.add("deadline_total");
            fail(x, 504, "its time is over", now);
            continue;
        }
        if ((x.phase() == Phase::Sending || x.phase() == Phase::Delivering) && now - x.lastByte >= x.m.idle) {
            hurt(x.server, 0.4, now);
            ct_.add("stalls_total");
            again(x, x.wrote, fmt::format("silent for {} us", x.m.idle), now);
        }
    }
    pump(now);
    for (auto i : gone_) xs_.erase(i);
    gone_.clear();
    n_.setCredit(credit_, wantAt_ && now - wantAt_ < 2 * SEC ? 1 : 0);
    // Spare credit goes to a node that lacks it: taken off here first, so none is minted.
    if (now - grantAt_ > 200 * MS && credit_ > 8 * ONE) {
        grantAt_ = now;
        for (auto& [n, k] : n_.rows()) {
            if (now - k.at >= ALIVE || !k.r.want || k.r.credit >= 2 * ONE || credit_ <= 8 * ONE) continue;
            auto mine = true;
            for (auto& [o, q] : n_.rows())
                if (o != n && now - q.at < ALIVE && q.r.credit > 8 * ONE
                    && rank(n, o) > rank(n, n_.me().node))
                    mine = false;
            if (!mine) continue;
            credit_ -= 2 * ONE;
            n_.grant(n, 2 * ONE, now);
            ct_.add("grants_given_total");
        }
    }
    ct_.set("credit_milli", credit_);
    ct_.set("exchanges_live", std::int64_t(xs_.size()));
}

// ---- what is shown

static auto phaseName(Phase p) -> const char* {
    switch (p) {
    case Phase::Queued: return "queued";
    case Phase::Sending: return "sending";
    case Phase::Delivering: return "delivering";
    case Phase::Migrating: return "migrating";
    default: return "finished";
    }
}
static auto liveOne(const Exchange& x, Us now, bool steps) -> Str {
    auto t = Str();
    if (steps)
        for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsQuote(l);
    return bodyOf({{"id", fmt::to_string(x.id)}, {"exchange", jsQuote(x.exid)},
        {"mapping", jsQuote(x.m.name)}, {"phase", jsQuote(phaseName(x.phase()))},
        {"server", jsQuote(x.server)}, {"ageUs", fmt::to_string(now - x.born)},
        {"sends", fmt::to_string(x.tries)}, {"migrationsLeft", fmt::to_string(x.left())},
        {"lastEventId", fmt::to_string(x.last)}, {"steps", "[" + t + "]"}});
}
auto Edge::liveText(Us now) const -> Str {
    auto o = Str();
    for (auto& [id, x] : xs_) o += (o.empty() ? "" : ",") + liveOne(x, now, false);
    return "{\"exchanges\":[" + o + "]}";
}
// By its whole name, or by the number at its end.
auto Edge::explainText(const Str& name, Us now) const -> Str {
    auto same = [&](const Str& exid, std::int64_t id) { return name == exid || name == fmt::to_string(id); };
    for (auto& [id, x] : xs_)
        if (same(x.exid, id)) return liveOne(x, now, true);
    for (auto i = past_.rbegin(); i != past_.rend(); ++i)
        if (same(i->exid, i->id)) return i->text;
    return "";
}
auto Edge::decisions(std::int64_t after) const -> Str {
    auto o = Str();
    for (auto& p : past_)
        if (p.seq > after) o += (o.empty() ? "" : ",") + p.text;
    return "{\"decisions\":[" + o + "]}";
}

}  // namespace dt
