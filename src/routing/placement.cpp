// Which server a request goes to.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

// Whether a step's rule lets this server in. What is weighed and not ruled is not asked here.
auto Edge::keeps(const Step& st, const Request& x, const KnownServer& s) const -> bool {
    switch (st.op) {
    case Op::Service: return s.listing.serviceName == x.m.service;
    case Op::Listed: {
        auto f = fit_.find(s.listing.server);
        if (f != fit_.end() && f->second.wrongRevision >= s.listing.revision) return false;
        return !s.listing.address.empty() && (s.listing.state == UP || broken.ignoreLeaving);
    }
    case Op::Evacuated: return !n_.replicatedState().evacuated(s.listing.zone);
    case Op::Home:
        return broken.ignoreHome || std::any_of(x.m.homes.begin(), x.m.homes.end(), [&](auto& h) {
            return s.listing.region == (h == "@near" ? x.region : h);
        });
    case Op::Weights:
        if (di_.clientNamesRequests && s.listing.weights.empty()) return true;  // the list does not tell
        return broken.anyWeights || x.weights.empty() || x.last < 0 || s.listing.weights == x.weights;
    case Op::Near:
        if (!x.m.homes.empty() || (di_.clientNamesRequests && x.m.spill.empty())) return true;
        return s.listing.region == x.region
            || std::find(x.m.spill.begin(), x.m.spill.end(), s.listing.region) != x.m.spill.end();
    default: return true;
    }
}

// The prompt's tokens that a server would have to read: all but the leading parts that it keeps.
auto Edge::unread(const Fitness& f, const Request& x, bool home) const -> std::int64_t {
    auto n = std::int64_t(0), all = std::int64_t(0);
    auto lead = true;
    for (auto i = std::size_t(0); i < x.parts.size(); i++) {
        auto [id, t] = x.parts[i];
        lead = lead && (f.kept.has(id) || (home && i + 1 < x.parts.size()));
        all += t;
        if (lead) n += t;
    }
    return std::max(all, x.tokensIn) - n;
}

// Whether a server's memory has room for it beside what runs there: ours as we know them, the
// others as the pool's exchanges are on average. What is shared is there once, and gives way.
auto Edge::fits(const Cand& c, const Request& x, const ServiceRule& pr, Microseconds now) -> bool {
    auto& f = fit_[*c.n];
    auto others = std::max(0.0, load(*c.n, *c.s, now) - f.inflight);
    auto room = 0.9 * double(pr.kvTokens) - double(x.sharedTokens);
    return f.inflight + others < 1 || f.tokens + others * seen_[x.m.service].tokens + double(x.own()) <= room;
}

// When the reply would begin, in microseconds from now.
auto Edge::predict(const Cand& c, const Request& x, const ServiceRule& pr, bool home, Microseconds now)
    -> double {
    auto& f = fit_[*c.n];
    auto sl = double(slots(*c.n, *c.s, pr));
    auto held = seen_[x.m.service].held > 0 ? seen_[x.m.service].held : double(100 * MILLISECOND);
    auto t = c.occ * double(20 * MILLISECOND);
    if (c.occ >= 1) t += (c.occ * sl - sl + 1) * held / sl;
    if (pr.engine) {
        // Those that wait while slots are free are being read.
        auto others = now - f.loadAt < 300 * MILLISECOND ? double(f.waiting) * 1000.0 : 0.0;
        t += (std::max(f.unread, others) + double(unread(f, x, home))) / READ;
    }
    if (c.s->listing.region != x.region) t += double(FAR);
    return t / std::max(0.05, fitOf(*c.n, now));
}

// What is bound to one region claims that region's servers.
auto Edge::claim(const Request& x) -> void {
    auto& k = seen_[x.m.service];
    k.all = k.all * 0.995 + 1;
    for (auto& [r, n] : k.bound) n *= 0.995;
    if (x.m.homes.size() == 1) k.bound[x.m.homes[0]] += 1;
}

// Reading a long prompt holds up all that runs beside it. Where many exchanges can only go to the
// near region and clearly fewer to another, long prompts that may go anywhere are read there. Every
// node sees much the same kinds, so that all choose the same region. Empty: the near one will do.
auto Edge::unclaimed(const std::vector<Cand>& cs, const Request& x) -> std::string {
    if (x.sharedTokens < LONG || x.m.homes.size() == 1) return "";
    auto n = std::map<std::string, int>();
    for (auto& c : cs) n[c.s->listing.region]++;
    auto& k = seen_[x.m.service];
    auto claims = [&](const std::string& r) {
        auto i = k.bound.find(r);
        return i == k.bound.end() ? 0.0 : i->second / n[r];
    };
    if (!n.count(x.region) || n.size() < 2) return "";
    auto b = x.region;
    for (auto& [r, m] : n)
        if (claims(r) < claims(b)) b = r;
    return claims(x.region) * n[x.region] > 0.2 * k.all && claims(b) < 0.5 * claims(x.region) ? b : "";
}

// The server for an exchange, of those that may take it. A long shared beginning goes where it
// was read before: rendezvous hashing names the same two servers at every node. All else goes to
// the best of some drawn at random, since many nodes that know the same would all run to one.
auto Edge::pick(const std::vector<Cand>& cs, const Request& x, const ServiceRule& pr, Microseconds now,
    std::string& how) -> std::size_t {
    auto cost = [&](std::size_t i, bool home) { return predict(cs[i], x, pr, home, now); };
    // The more nodes choose, the fewer servers each compares, lest all run to the same one.
    auto drawn = [&] {
        auto n = std::clamp(cs.size() * 12 / nodes(), std::min<std::size_t>(2, cs.size()), cs.size());
        auto from = rng_.below(cs.size()), b = from;
        for (auto k = std::size_t(1); k < n; k++)
            if (auto j = (from + k) % cs.size(); cost(j, false) < cost(b, false)) b = j;
        return b;
    };
    how = "least of some";
    if (broken.pickRandom) return rng_.below(cs.size());
    if (!pr.engine || !x.key || x.sharedTokens < LONG) return drawn();
    auto ord = std::vector<std::size_t>(cs.size());
    for (auto i = std::size_t(0); i < cs.size(); i++) ord[i] = i;
    std::sort(ord.begin(), ord.end(),
        [&](auto i, auto j) { return hash64(*cs[i].n, x.key) > hash64(*cs[j].n, x.key); });
    auto least = std::size_t(0), free = std::size_t(0);
    for (auto i = std::size_t(1); i < cs.size(); i++) {
        if (cs[i].occ < cs[free].occ) free = i;
        if (cost(i, false) < cost(least, false)) least = i;
    }
    // What it may wait longer at a home, beyond what reading it elsewhere would take.
    auto spare = double(x.m.aim ? x.m.aim : SECOND) / 4;
    for (auto i = std::size_t(0); i < ord.size() && i < 2; i++) {
        auto j = ord[i];
        if (cs[j].occ > cs[free].occ + 0.4 || cost(j, true) > cost(least, false) + spare) continue;
        how = fmt::format("cache home {}", i + 1);
        return j;
    }
    how = "least predicted, cache homes are busy";
    return least;
}

auto Edge::place(Request& x, Microseconds now, bool dry) -> std::string {
    auto cs = std::vector<Cand>();
    auto pr = described(x.m.service);
    auto all = std::size_t(0);
    for (auto& [n, s] : n_.servers()) cs.push_back({&n, &s, 0});
    auto say = std::string();
    auto keep = [&](std::string_view what, auto f) {
        auto was = cs.size();
        std::erase_if(cs, [&](auto& c) { return !f(c); });
        say += fmt::format("{}{} {}/{}", say.empty() ? "" : ", ", what, cs.size(), was);
    };
    auto soft = [&](std::string_view what, auto f) {  // a wish, dropped where nothing would be left
        if (std::any_of(cs.begin(), cs.end(), f)) keep(what, f);
        else say += fmt::format(", {} unmet", what);
    };
    auto to = std::string();
    for (auto& st : x.m.prog) {
        if (cs.empty()) break;
        auto rule = [&](auto& c) { return keeps(st, x, *c.s); };
        switch (st.op) {
        case Op::Service:
            keep("pool " + x.m.service, rule);
            all = cs.size();
            break;
        case Op::Listed: keep("listed", rule); break;
        case Op::Evacuated: keep("not emptied", rule); break;
        case Op::Home: keep("home " + x.m.homes[0], rule); break;
        case Op::Weights:
            if (!x.weights.empty() && x.last >= 0) keep("weights " + x.weights, rule);
            break;
        case Op::Untried:
            // One that said no, or where nobody was, is not asked again by the same exchange.
            if (di_.clientNamesRequests && !x.rejected.empty())
                keep("not denied", [&](auto& c) {
                    return std::find(x.rejected.begin(), x.rejected.end(), *c.n) == x.rejected.end();
                });
            if (!x.tried.empty())
                soft("untried", [&](auto& c) {
                    return std::find(x.tried.begin(), x.tried.end(), *c.n) == x.tried.end();
                });
            break;
        case Op::Fit:
            soft("fit", [&](auto& c) {
                auto& f = fit_[*c.n];
                if (pr && silent(f, now)) return false;
                // After a break, one exchange at a time; one that may run again comes first.
                if (pr && f.strikes > 0
                    && (f.inflight > 0 || now < f.avoidTill + (x.m.again() ? 0 : 2 * SECOND)))
                    return false;
                return !(c.s->loadReadAt && now - c.s->loadReadAt < LOAD_MAX_AGE && c.s->load.dark)
                    && fitOf(*c.n, now) >= st.w;
            });
            break;
        case Op::Ramp:
            if (pr) {
                keep("cold", [&](auto& c) { return coldLets(*c.n, *c.s, *pr, now, false); });
                break;
            }
            keep("ramp", [&](auto& c) { return fit_[*c.n].inflight < rampShare(*c.n, *c.s, now); });
            break;
        case Op::Room:
            if (pr) {
                auto share = std::max<std::size_t>(2, std::size_t(pr->maxConns) / nodes());
                for (auto& c : cs) c.occ = load(*c.n, *c.s, now) / slots(*c.n, *c.s, *pr);
                keep("room", [&](auto& c) {
                    // An engine's own queue may hold a few; a plain server's holds one.
                    auto sl = slots(*c.n, *c.s, *pr);
                    auto cap = sl + (pr->engine ? std::max(2, sl / 8) : 1);
                    auto own = std::size_t(fit_[*c.n].inflight);
                    if (pr->engine && pr->kvTokens > 0 && !fits(c, x, *pr, now)) return false;
                    if (pr->maxConns > 0 && own >= (c.occ < 0.5 ? 2 * share : share)) return false;
                    return c.occ * sl < st.w * cap;
                });
                soft("not full", [&](auto& c) { return now >= fit_[*c.n].fullTill; });
                break;
            }
            for (auto& c : cs) c.occ = occupancy(*c.n, *c.s) / std::max(1, c.s->listing.slots);
            keep("room", [&](auto& c) { return c.occ < st.w; });
            break;
        case Op::Near: {
            auto near = [&](auto& c) { return c.s->listing.region == x.region; };
            if (pr && di_.clientNamesRequests) {
                keep(fmt::format("regions for {}", x.region), rule);
                auto best = [&](bool n, auto f) {
                    auto b = 1e18;
                    for (auto& c : cs)
                        if (near(c) == n) b = std::min(b, f(c));
                    return b;
                };
                auto occ = [](auto& c) { return c.occ; };
                auto first = [&](auto& c) { return predict(c, x, *pr, false, now); };
                if (cs.empty() || best(false, occ) > 1e17 || best(true, occ) > 1e17) break;
                if (auto r = unclaimed(cs, x); !r.empty() && r != x.region) {
                    auto there = [&](auto& c) { return c.s->listing.region == r && c.occ < 0.6; };
                    if (std::any_of(cs.begin(), cs.end(), there)) {
                        keep("unclaimed " + r, there);
                        break;
                    }
                }
                auto far = best(true, occ) > best(false, occ) + 0.4;
                if (!far && x.m.aim)
                    far = best(true, first) > double(x.m.aim) && best(true, first) > best(false, first);
                // All are weighed then, lest every node run from one region to the other.
                if (!far) keep("near", near);
                break;
            }
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
            auto how = std::string("least occupied of two");
            if (pr) b = pick(cs, x, *pr, now, how);
            else if (broken.pickRandom) {
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
            to = *cs[b].n;
            say += fmt::format(", picked {} ({}, region {}, occupancy {:.2f}, fitness {:.2f})", to, how,
                cs[b].s->listing.region, cs[b].occ, fitOf(to, now));
            if (!dry && cs[b].s->listing.region != x.region)
                ct_.add(fmt::format("spilled_total{{mapping=\"{}\"}}", x.m.name));
            break;
        }
        }
    }
    if (to.empty()) say += all ? "; nothing is left" : "; no server of this pool is known";
    note(x, fmt::format("+{} us place: {}", now - x.born, say));
    return to;
}

// Is there a server that may take it once it has room?
auto Edge::hopes(const Request& x) const -> bool {
    if (!di_.clientNamesRequests) return false;
    return std::any_of(n_.servers().begin(), n_.servers().end(), [&](auto& e) {
        return std::find(x.rejected.begin(), x.rejected.end(), e.first) == x.rejected.end()
            && std::all_of(
                x.m.prog.begin(), x.m.prog.end(), [&](auto& st) { return keeps(st, x, e.second); });
    });
}

}  // namespace duneturn
