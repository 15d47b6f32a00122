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
    : node_(n), port_(p), counters_(c), random_{seed}, dialect_(d) {
    node_.onStateChange = [this] { rebuild(); };
    node_.onGrant = [this](std::int64_t g) {
        credit_ = std::min(credit_ + g, routes_.budgetCap * ONE);
        counters_.add("grants_taken_total");
    };
    rebuild();
}

auto Edge::rebuild() -> void {
    auto& w = node_.replicatedState();
    // A rebuild may give a number anew that an order had which was never acknowledged.
    if (w.configVersion() != routes_.configVersion || w.epoch != routes_.epoch || routes_.routes.empty()) {
        routes_ = compileRoutes(w.config(), w.configVersion());
        routes_.epoch = w.epoch;
        routesRevision_++;
    }
    rosterSize_ = w.roster().size();
    auto was = std::move(evacuatedZones_);
    evacuatedZones_.clear();
    for (auto& zone : w.evacuatedZones()) evacuatedZones_.insert(zone);
    for (auto& d : was)
        if (!evacuatedZones_.count(d)) restoredZones_[d] = -1;
    auto z = w.evacuated(node_.settings().zone);
    if (z && !evacuatedAt_) evacuatedAt_ = -1;
    if (!z) evacuatedAt_ = 0;
}

auto Edge::currentAttempt(std::int64_t x, int a) -> Request* {
    auto i = requests_.find(x);
    return i == requests_.end() || i->second.attempts.current != a || i->second.phase() == Phase::Finished
        ? nullptr
        : &i->second;
}

auto Edge::find(std::int64_t x) const -> const Request* {
    auto i = requests_.find(x);
    return i == requests_.end() ? nullptr : &i->second;
}

auto Edge::note(Request& x, std::string s) -> void {
    if (x.trace.size() < 200) x.trace.push_back(std::move(s));
}

auto Edge::countOutcome(const Request& x, std::string_view what) -> void {
    counters_.add(fmt::format("exchanges_total{{mapping=\"{}\",outcome=\"{}\"}}", x.route.name, what));
}

// How long a silence is borne by what may move. Where the configuration does not say, it is moved
// while it may still come in time, unless the whole pool is that slow.
auto Edge::patience(const Request& x) const -> Microseconds {
    if (x.route.idleTimeoutConfigured) return x.route.idleTimeout;
    if (x.phase() == Phase::Delivering) {
        if (!x.route.eventGapTarget) return x.route.idleTimeout;
        return Microseconds(std::max({0.6 * double(x.route.eventGapTarget),
            8 * median(x.route.service, &ServerStatistics::eventGap), double(150 * MILLISECOND)}));
    }
    if (!x.route.firstByteTarget) return x.route.idleTimeout;
    auto usual = std::max({0.7 * double(x.route.firstByteTarget),
        4 * median(x.route.service, &ServerStatistics::firstByteTime), double(200 * MILLISECOND)});
    return Microseconds(usual + 2 * double(x.attempts.unreadTokens) / READ);
}

auto Edge::tick(Microseconds now) -> void {
    if (!startedAt_) startedAt_ = now;
    if (!listedAt_ && !node_.servers().empty()) listedAt_ = now;
    if (auto k = node_.rows().size() + 1; k >= mostNodes_ || now - mostNodesAt_ > 120 * SECOND)
        mostNodes_ = k, mostNodesAt_ = now;
    if (evacuatedAt_ < 0) evacuatedAt_ = now;
    for (auto i = restoredZones_.begin(); i != restoredZones_.end();) {
        if (i->second < 0) i->second = now;
        i = now - i->second > 5 * SECOND || evacuatedZones_.count(i->first) ? restoredZones_.erase(i)
                                                                            : std::next(i);
    }
    if (dialect_.clientNamesRequests && now - prunedAt_ > 10 * SECOND) {
        prunedAt_ = now;
        std::erase_if(
            statistics_, [&](auto& f) { return f.second.inflight == 0 && !node_.servers().count(f.first); });
    }
    for (auto& [id, x] : requests_) {
        if (x.phase() == Phase::Finished) continue;
        if (now >= x.limits.deadline) {
            counters_.add("deadline_total");
            if (dialect_.clientNamesRequests && x.attempts.countedInflight
                && isSilent(statistics_[x.attempts.server], now))
                eject(x.attempts.server, now);
            apply(x, AttemptEvent::DeadlinePassed);
            fail(x, 504, "its time is over", now);
            continue;
        }
        if (dialect_.clientNamesRequests) {
            // Silence ends nothing here; it moves what may move, and only where it can.
            if (x.phase() != Phase::Sending && x.phase() != Phase::Delivering) continue;
            if (now - x.attempts.lastActivityAt < 150 * MILLISECOND || now < x.attempts.nextStallCheckAt)
                continue;
            // Nothing of it has left yet: any may go elsewhere, as if it had been refused.
            if (!x.attempts.tracker.written()) {
                if (now - x.attempts.chosenAt < CONNECT) continue;
                x.attempts.nextStallCheckAt = now + 50 * MILLISECOND;
                if (x.attempts.refusals < 3 && couldMove(x, AttemptEvent::ConnectionRefused, now))
                    onConnectionRefused(id, x.attempts.current, now);
                continue;
            }
            auto mayMove = x.retryRights().repeatable || broken.silenceIsNoArrival;
            if (!mayMove || now - x.attempts.lastActivityAt < patience(x)) continue;
            x.attempts.nextStallCheckAt = now + 50 * MILLISECOND;
            if (!couldMove(x, AttemptEvent::Silence, now)) continue;
            lowerFitness(x.attempts.server, 0.4, now);
            counters_.add("stalls_total");
            retryElsewhere(x, AttemptEvent::Silence,
                fmt::format("silent for {} us", now - x.attempts.lastActivityAt), now);
            continue;
        }
        if ((x.phase() == Phase::Sending || x.phase() == Phase::Delivering)
            && now - x.attempts.lastActivityAt >= x.route.idleTimeout) {
            lowerFitness(x.attempts.server, 0.4, now);
            counters_.add("stalls_total");
            retryElsewhere(
                x, AttemptEvent::Silence, fmt::format("silent for {} us", x.route.idleTimeout), now);
        }
    }
    serveQueue(now);
    for (auto i : finished_) requests_.erase(i);
    finished_.clear();
    node_.setCredit(credit_, budgetShortAt_ && now - budgetShortAt_ < 2 * SECOND ? 1 : 0);
    // Spare credit goes to a node that lacks it: taken off here first, so none is minted.
    if (now - grantAt_ > 200 * MILLISECOND && credit_ > 8 * ONE) {
        grantAt_ = now;
        for (auto& [n, k] : node_.rows()) {
            if (now - k.at >= ALIVE || !k.record.want || k.record.credit >= 2 * ONE || credit_ <= 8 * ONE)
                continue;
            auto mine = true;
            for (auto& [o, q] : node_.rows())
                if (o != n && now - q.at < ALIVE && q.record.credit > 8 * ONE
                    && rank(n, o) > rank(n, node_.me().node))
                    mine = false;
            if (!mine) continue;
            credit_ -= 2 * ONE;
            node_.creditGrant(n, 2 * ONE, now);
            counters_.add("grants_given_total");
        }
    }
    counters_.set("credit_milli", credit_);
    counters_.set("exchanges_live", std::int64_t(requests_.size()));
}

}  // namespace duneturn
