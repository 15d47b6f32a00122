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
auto Edge::allows(const SelectionStep& st, const Request& x, const Server& s) const -> bool {
    switch (st.stage) {
    case SelectionStage::Service: return s.listing.serviceName == x.route.service;
    case SelectionStage::Listed: {
        auto f = statistics_.find(s.listing.server);
        if (f != statistics_.end() && f->second.wrongAddressRevision >= s.listing.revision) return false;
        return !s.listing.address.empty() && (s.listing.state == UP || broken.ignoreLeaving);
    }
    case SelectionStage::Evacuated: return !node_.replicatedState().evacuated(s.listing.zone);
    case SelectionStage::Home:
        return broken.ignoreHome || std::any_of(x.route.homes.begin(), x.route.homes.end(), [&](auto& h) {
            return s.listing.region == (h == "@near" ? x.received.region : h);
        });
    case SelectionStage::Weights:
        if (dialect_.clientNamesRequests && s.listing.weights.empty()) return true;  // the list does not tell
        return broken.anyWeights || x.relayed.weights.empty() || x.relayed.lastEventId < 0
            || s.listing.weights == x.relayed.weights;
    case SelectionStage::Near:
        if (!x.route.homes.empty() || (dialect_.clientNamesRequests && x.route.spillRegions.empty()))
            return true;
        return s.listing.region == x.received.region
            || std::find(x.route.spillRegions.begin(), x.route.spillRegions.end(), s.listing.region)
            != x.route.spillRegions.end();
    default: return true;
    }
}

// The prompt's tokens that a server would have to read: all but the leading parts that it allows.
auto Edge::unreadPromptTokens(const ServerStatistics& f, const Request& x, bool home) const -> std::int64_t {
    auto n = std::int64_t(0), all = std::int64_t(0);
    auto lead = true;
    for (auto i = std::size_t(0); i < x.received.promptParts.size(); i++) {
        auto [id, t] = x.received.promptParts[i];
        lead = lead && (f.prefixCache.has(id) || (home && i + 1 < x.received.promptParts.size()));
        all += t;
        if (lead) n += t;
    }
    return std::max(all, x.received.promptTokens) - n;
}

// Whether a server's memory has room for it beside what runs there: ours as we know them, the
// others as the pool's exchanges are on average. What is shared is there once, and gives way.
auto Edge::fitsInMemory(const Candidate& c, const Request& x, const ServiceRule& pr, Microseconds now)
    -> bool {
    auto& f = statistics_[*c.n];
    auto others = std::max(0.0, load(*c.n, *c.s, now) - f.inflight);
    auto room = 0.9 * double(pr.memoryTokens) - double(x.received.sharedTokens);
    return f.inflight + others < 1
        || f.heldTokens + others * serviceStatistics_[x.route.service].tokens + double(x.received.ownTokens())
        <= room;
}

// When the reply would begin, in microseconds from now.
auto Edge::predictFirstByte(
    const Candidate& c, const Request& x, const ServiceRule& pr, bool home, Microseconds now) -> double {
    auto& f = statistics_[*c.n];
    auto sl = double(slots(*c.n, *c.s, pr));
    auto held = serviceStatistics_[x.route.service].held > 0 ? serviceStatistics_[x.route.service].held
                                                             : double(100 * MILLISECOND);
    auto t = c.occ * double(20 * MILLISECOND);
    if (c.occ >= 1) t += (c.occ * sl - sl + 1) * held / sl;
    if (pr.isEngine) {
        // Those that wait while slots are free are being read.
        auto others = now - f.loadAt < 300 * MILLISECOND ? double(f.waiting) * 1000.0 : 0.0;
        t += (std::max(f.unreadTokens, others) + double(unreadPromptTokens(f, x, home))) / READ;
    }
    if (c.s->listing.region != x.received.region) t += double(FAR);
    return t / std::max(0.05, fitnessOf(*c.n, now));
}

// What is bound to one region claims that region's servers.
auto Edge::claim(const Request& x) -> void {
    auto& k = serviceStatistics_[x.route.service];
    k.all = k.all * 0.995 + 1;
    for (auto& [r, n] : k.bound) n *= 0.995;
    if (x.route.homes.size() == 1) k.bound[x.route.homes[0]] += 1;
}

// Reading a long prompt holds up all that runs beside it. Where many exchanges can only go to the
// near region and clearly fewer to another, long prompts that may go anywhere are read there. Every
// node sees much the same kinds, so that all choose the same region. Empty: the near one will do.
auto Edge::unclaimedRegion(const std::vector<Candidate>& cs, const Request& x) -> std::string {
    if (x.received.sharedTokens < LONG || x.route.homes.size() == 1) return "";
    auto n = std::map<std::string, int>();
    for (auto& c : cs) n[c.s->listing.region]++;
    auto& k = serviceStatistics_[x.route.service];
    auto claims = [&](const std::string& r) {
        auto i = k.bound.find(r);
        return i == k.bound.end() ? 0.0 : i->second / n[r];
    };
    if (!n.count(x.received.region) || n.size() < 2) return "";
    auto b = x.received.region;
    for (auto& [r, m] : n)
        if (claims(r) < claims(b)) b = r;
    return claims(x.received.region) * n[x.received.region] > 0.2 * k.all
            && claims(b) < 0.5 * claims(x.received.region)
        ? b
        : "";
}

// The server for an exchange, of those that may take it. A long shared beginning goes where it
// was read before: rendezvous hashing names the same two servers at every node. All else goes to
// the best of some drawn at random, since many nodes that know the same would all run to one.
auto Edge::pick(const std::vector<Candidate>& cs, const Request& x, const ServiceRule& pr, Microseconds now,
    std::string& how) -> std::size_t {
    auto cost = [&](std::size_t i, bool home) { return predictFirstByte(cs[i], x, pr, home, now); };
    // The more nodes choose, the fewer servers each compares, lest all run to the same one.
    auto drawn = [&] {
        auto n = std::clamp(cs.size() * 12 / nodeCount(), std::min<std::size_t>(2, cs.size()), cs.size());
        auto from = random_.below(cs.size()), b = from;
        for (auto k = std::size_t(1); k < n; k++)
            if (auto j = (from + k) % cs.size(); cost(j, false) < cost(b, false)) b = j;
        return b;
    };
    how = "least of some";
    if (broken.pickRandom) return random_.below(cs.size());
    if (!pr.isEngine || !x.received.prefixKey || x.received.sharedTokens < LONG) return drawn();
    auto ord = std::vector<std::size_t>(cs.size());
    for (auto i = std::size_t(0); i < cs.size(); i++) ord[i] = i;
    std::sort(ord.begin(), ord.end(), [&](auto i, auto j) {
        return hash64(*cs[i].n, x.received.prefixKey) > hash64(*cs[j].n, x.received.prefixKey);
    });
    auto least = std::size_t(0), free = std::size_t(0);
    for (auto i = std::size_t(1); i < cs.size(); i++) {
        if (cs[i].occ < cs[free].occ) free = i;
        if (cost(i, false) < cost(least, false)) least = i;
    }
    // What it may wait longer at a home, beyond what reading it elsewhere would take.
    auto spare = double(x.route.firstByteTarget ? x.route.firstByteTarget : SECOND) / 4;
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
    auto cs = std::vector<Candidate>();
    auto pr = serviceRule(x.route.service);
    auto all = std::size_t(0);
    for (auto& [n, s] : node_.servers()) cs.push_back({&n, &s, 0});
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
    for (auto& st : x.route.steps) {
        if (cs.empty()) break;
        auto rule = [&](auto& c) { return allows(st, x, *c.s); };
        switch (st.stage) {
        case SelectionStage::Service:
            keep("pool " + x.route.service, rule);
            all = cs.size();
            break;
        case SelectionStage::Listed: keep("listed", rule); break;
        case SelectionStage::Evacuated: keep("not emptied", rule); break;
        case SelectionStage::Home: keep("home " + x.route.homes[0], rule); break;
        case SelectionStage::Weights:
            if (!x.relayed.weights.empty() && x.relayed.lastEventId >= 0)
                keep("weights " + x.relayed.weights, rule);
            break;
        case SelectionStage::Untried:
            // One that said no, or where nobody was, is not asked again by the same exchange.
            if (dialect_.clientNamesRequests && !x.attempts.rejected.empty())
                keep("not denied", [&](auto& c) {
                    return std::find(x.attempts.rejected.begin(), x.attempts.rejected.end(), *c.n)
                        == x.attempts.rejected.end();
                });
            if (!x.attempts.tried.empty())
                soft("untried", [&](auto& c) {
                    return std::find(x.attempts.tried.begin(), x.attempts.tried.end(), *c.n)
                        == x.attempts.tried.end();
                });
            break;
        case SelectionStage::Fit:
            soft("fit", [&](auto& c) {
                auto& f = statistics_[*c.n];
                if (pr && isSilent(f, now)) return false;
                // After a break, one exchange at a time; one that may run again comes first.
                if (pr && f.ejections > 0
                    && (f.inflight > 0 || now < f.ejectedUntil + (x.route.mayRunAgain() ? 0 : 2 * SECOND)))
                    return false;
                return !(c.s->seen && now - c.s->seen < SEEN && c.s->load.dark)
                    && fitnessOf(*c.n, now) >= st.threshold;
            });
            break;
        case SelectionStage::Ramp:
            if (pr) {
                keep("cold", [&](auto& c) { return coldServerAdmits(*c.n, *c.s, *pr, now, false); });
                break;
            }
            keep("ramp", [&](auto& c) { return statistics_[*c.n].inflight < rampShare(*c.n, *c.s, now); });
            break;
        case SelectionStage::Room:
            if (pr) {
                auto share = std::max<std::size_t>(2, std::size_t(pr->maxConnections) / nodeCount());
                for (auto& c : cs) c.occ = load(*c.n, *c.s, now) / slots(*c.n, *c.s, *pr);
                keep("room", [&](auto& c) {
                    // An engine's own queue may hold a few; a plain server's holds one.
                    auto sl = slots(*c.n, *c.s, *pr);
                    auto cap = sl + (pr->isEngine ? std::max(2, sl / 8) : 1);
                    auto own = std::size_t(statistics_[*c.n].inflight);
                    if (pr->isEngine && pr->memoryTokens > 0 && !fitsInMemory(c, x, *pr, now)) return false;
                    if (pr->maxConnections > 0 && own >= (c.occ < 0.5 ? 2 * share : share)) return false;
                    return c.occ * sl < st.threshold * cap;
                });
                soft("not full", [&](auto& c) { return now >= statistics_[*c.n].fullUntil; });
                break;
            }
            for (auto& c : cs) c.occ = occupancy(*c.n, *c.s) / std::max(1, c.s->listing.slots);
            keep("room", [&](auto& c) { return c.occ < st.threshold; });
            break;
        case SelectionStage::Near: {
            auto near = [&](auto& c) { return c.s->listing.region == x.received.region; };
            if (pr && dialect_.clientNamesRequests) {
                keep(fmt::format("regions for {}", x.received.region), rule);
                auto best = [&](bool n, auto f) {
                    auto b = 1e18;
                    for (auto& c : cs)
                        if (near(c) == n) b = std::min(b, f(c));
                    return b;
                };
                auto occ = [](auto& c) { return c.occ; };
                auto first = [&](auto& c) { return predictFirstByte(c, x, *pr, false, now); };
                if (cs.empty() || best(false, occ) > 1e17 || best(true, occ) > 1e17) break;
                if (auto r = unclaimedRegion(cs, x); !r.empty() && r != x.received.region) {
                    auto there = [&](auto& c) { return c.s->listing.region == r && c.occ < 0.6; };
                    if (std::any_of(cs.begin(), cs.end(), there)) {
                        keep("unclaimedRegion " + r, there);
                        break;
                    }
                }
                auto far = best(true, occ) > best(false, occ) + 0.4;
                if (!far && x.route.firstByteTarget)
                    far = best(true, first) > double(x.route.firstByteTarget)
                        && best(true, first) > best(false, first);
                // All are weighed then, lest every node run from one region to the other.
                if (!far) keep("near", near);
                break;
            }
            auto low = [&](auto& c) { return near(c) && c.occ < st.threshold; };
            if (std::any_of(cs.begin(), cs.end(), low)) keep("near " + x.received.region, near);
            else keep(fmt::format("spill from {}", x.received.region), rule);
            break;
        }
        case SelectionStage::Pick: {
            auto b = std::size_t(0);
            auto cost = [&](auto& c) { return (c.occ + 0.05) / std::max(0.05, fitnessOf(*c.n, now)); };
            auto least = std::size_t(0);
            for (auto i = std::size_t(1); i < cs.size(); i++)
                if (cost(cs[i]) < cost(cs[least])) least = i;
            auto how = std::string("least occupied of two");
            if (pr) b = pick(cs, x, *pr, now, how);
            else if (broken.pickRandom) {
                b = random_.below(cs.size());
                how = "random";
            } else if (broken.pickLeast) {
                b = least;
                how = "least";
            } else if (st.threshold > 0 && x.received.prefixKey) {
                // The server that rendezvous hashing names for this prompt's beginning has it in
                // its cache, unless it is much busier than the least occupied one.
                auto ord = std::vector<std::size_t>();
                for (auto i = std::size_t(0); i < cs.size(); i++) ord.push_back(i);
                std::sort(ord.begin(), ord.end(), [&](auto i, auto j) {
                    return hash64(*cs[i].n, x.received.prefixKey) > hash64(*cs[j].n, x.received.prefixKey);
                });
                b = least;
                how = "least occupied, cache homes are busy";
                for (auto i = std::size_t(0); i < ord.size() && i < 2; i++)
                    if (cost(cs[ord[i]]) <= cost(cs[least]) + 0.4) {
                        b = ord[i];
                        how = fmt::format("cache home {}", i + 1);
                        break;
                    }
            } else {
                auto i = random_.below(cs.size()), j = random_.below(cs.size());
                b = cost(cs[i]) <= cost(cs[j]) ? i : j;
            }
            to = *cs[b].n;
            say += fmt::format(", picked {} ({}, region {}, occupancy {:.2f}, fitness {:.2f})", to, how,
                cs[b].s->listing.region, cs[b].occ, fitnessOf(to, now));
            if (!dry && cs[b].s->listing.region != x.received.region)
                counters_.add(fmt::format("spilled_total{{mapping=\"{}\"}}", x.route.name));
            break;
        }
        }
    }
    if (to.empty()) say += all ? "; nothing is left" : "; no server of this pool is known";
    note(x, fmt::format("+{} us place: {}", now - x.received.acceptedAt, say));
    return to;
}

// Is there a server that may take it once it has room?
auto Edge::mayFindServerLater(const Request& x) const -> bool {
    if (!dialect_.clientNamesRequests) return false;
    return std::any_of(node_.servers().begin(), node_.servers().end(), [&](auto& e) {
        return std::find(x.attempts.rejected.begin(), x.attempts.rejected.end(), e.first)
            == x.attempts.rejected.end()
            && std::all_of(x.route.steps.begin(), x.route.steps.end(),
                [&](auto& st) { return allows(st, x, e.second); });
    });
}

}  // namespace duneturn
