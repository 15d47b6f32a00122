#include "routing/edge.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/time.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

Edge::Edge(Node& n, EdgePort& p, Counters& c, std::uint64_t seed, const Dialect& d)
    : n_(n), po_(p), ct_(c), rng_{seed}, di_(d) {
    n_.onStateChange = [this] { rebuild(); };
    n_.onGrant = [this](std::int64_t g) {
        credit_ = std::min(credit_ + g, ru_.cap * ONE);
        ct_.add("grants_taken_total");
    };
    rebuild();
}

auto Edge::rebuild() -> void {
    auto& w = n_.replicatedState();
    // A rebuild may give a number anew that an order had which was never acknowledged.
    if (w.configVersion() != ru_.configVersion || w.epoch != ru_.epoch || ru_.ms.empty()) {
        ru_ = compile(w.config(), w.configVersion());
        ru_.epoch = w.epoch;
        rulesRevision_++;
    }
    roster_ = w.roster().size();
    auto was = std::move(evacuatedZones_);
    evacuatedZones_.clear();
    for (auto& zone : w.evacuatedZones()) evacuatedZones_.insert(zone);
    for (auto& d : was)
        if (!evacuatedZones_.count(d)) restoredZones_[d] = -1;
    auto z = w.evacuated(n_.settings().zone);
    if (z && !evacuatedAt_) evacuatedAt_ = -1;
    if (!z) evacuatedAt_ = 0;
}

auto Edge::get(std::int64_t x, int a) -> Request* {
    auto i = xs_.find(x);
    return i == xs_.end() || i->second.a != a || i->second.phase() == Phase::Finished ? nullptr : &i->second;
}

auto Edge::find(std::int64_t x) const -> const Request* {
    auto i = xs_.find(x);
    return i == xs_.end() ? nullptr : &i->second;
}

auto Edge::note(Request& x, std::string s) -> void {
    if (x.trace.size() < 200) x.trace.push_back(std::move(s));
}

auto Edge::tally(const Request& x, std::string_view what) -> void {
    ct_.add(fmt::format("exchanges_total{{mapping=\"{}\",outcome=\"{}\"}}", x.m.name, what));
}

// How long a silence is borne by what may move. Where the configuration does not say, it is moved
// while it may still come in time, unless the whole pool is that slow.
auto Edge::patience(const Request& x) const -> Microseconds {
    if (x.m.idleSaid) return x.m.idle;
    if (x.phase() == Phase::Delivering) {
        if (!x.m.gap) return x.m.idle;
        return Microseconds(std::max(
            {0.6 * double(x.m.gap), 8 * median(x.m.service, &Fitness::pace), double(150 * MILLISECOND)}));
    }
    if (!x.m.aim) return x.m.idle;
    auto usual = std::max(
        {0.7 * double(x.m.aim), 4 * median(x.m.service, &Fitness::first), double(200 * MILLISECOND)});
    return Microseconds(usual + 2 * double(x.unread) / READ);
}

auto Edge::tick(Microseconds now) -> void {
    if (!born_) born_ = now;
    if (!listedAt_ && !n_.servers().empty()) listedAt_ = now;
    if (auto k = n_.nodes().size() + 1; k >= peak_ || now - peakAt_ > 120 * SECOND) peak_ = k, peakAt_ = now;
    if (evacuatedAt_ < 0) evacuatedAt_ = now;
    for (auto i = restoredZones_.begin(); i != restoredZones_.end();) {
        if (i->second < 0) i->second = now;
        i = now - i->second > 5 * SECOND || evacuatedZones_.count(i->first) ? restoredZones_.erase(i)
                                                                            : std::next(i);
    }
    if (di_.clientNamesRequests && now - prunedAt_ > 10 * SECOND) {
        prunedAt_ = now;
        std::erase_if(fit_, [&](auto& f) { return f.second.inflight == 0 && !n_.servers().count(f.first); });
    }
    for (auto& [id, x] : xs_) {
        if (x.phase() == Phase::Finished) continue;
        if (now >= x.due) {
            ct_.add("deadline_total");
            if (di_.clientNamesRequests && x.counted && silent(fit_[x.server], now)) strike(x.server, now);
            apply(x, AttemptEvent::DeadlinePassed);
            fail(x, 504, "its time is over", now);
            continue;
        }
        if (di_.clientNamesRequests) {
            // Silence ends nothing here; it moves what may move, and only where it can.
            if (x.phase() != Phase::Sending && x.phase() != Phase::Delivering) continue;
            if (now - x.lastByte < 150 * MILLISECOND || now < x.lookAt) continue;
            // Nothing of it has left yet: any may go elsewhere, as if it had been refused.
            if (!x.attempt.written()) {
                if (now - x.sentAt < CONNECT) continue;
                x.lookAt = now + 50 * MILLISECOND;
                if (x.refusals < 3 && movable(x, AttemptEvent::ConnectionRefused, now)) refused(id, x.a, now);
                continue;
            }
            auto mayMove = x.rights().repeatable || broken.silenceIsNoArrival;
            if (!mayMove || now - x.lastByte < patience(x)) continue;
            x.lookAt = now + 50 * MILLISECOND;
            if (!movable(x, AttemptEvent::Silence, now)) continue;
            hurt(x.server, 0.4, now);
            ct_.add("stalls_total");
            again(x, AttemptEvent::Silence, fmt::format("silent for {} us", now - x.lastByte), now);
            continue;
        }
        if ((x.phase() == Phase::Sending || x.phase() == Phase::Delivering) && now - x.lastByte >= x.m.idle) {
            hurt(x.server, 0.4, now);
            ct_.add("stalls_total");
            again(x, AttemptEvent::Silence, fmt::format("silent for {} us", x.m.idle), now);
        }
    }
    pump(now);
    for (auto i : gone_) xs_.erase(i);
    gone_.clear();
    n_.setCredit(credit_, wantAt_ && now - wantAt_ < 2 * SECOND ? 1 : 0);
    // Spare credit goes to a node that lacks it: taken off here first, so none is minted.
    if (now - grantAt_ > 200 * MILLISECOND && credit_ > 8 * ONE) {
        grantAt_ = now;
        for (auto& [n, k] : n_.nodes()) {
            if (now - k.lastHeartbeatAt >= ALIVE_TIMEOUT || !k.record.want || k.record.credit >= 2 * ONE
                || credit_ <= 8 * ONE)
                continue;
            auto mine = true;
            for (auto& [o, q] : n_.nodes())
                if (o != n && now - q.lastHeartbeatAt < ALIVE_TIMEOUT && q.record.credit > 8 * ONE
                    && rendezvousRank(n, o) > rendezvousRank(n, n_.ownRecord().node))
                    mine = false;
            if (!mine) continue;
            credit_ -= 2 * ONE;
            n_.grantCredit(n, 2 * ONE, now);
            ct_.add("grants_given_total");
        }
    }
    ct_.set("credit_milli", credit_);
    ct_.set("exchanges_live", std::int64_t(xs_.size()));
}

}  // namespace duneturn
