// What is known of the servers: their load, fitness and pace, as answers and failures tell it.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

auto Edge::occupancy(const std::string& name, const Server& s) -> double {
    auto& f = statistics_[name];
    if (s.seen > f.reportAt) {
        f.reportAt = s.seen;
        f.inflightAtReport = f.inflight;
    }
    auto own = double(f.inflight);
    if (!s.seen) return own;
    return std::max(own, double(s.load.prefill + s.load.decode + f.inflight - f.inflightAtReport));
}

// The median of what is known of a pool's servers; 0 of fewer than three.
auto Edge::median(const std::string& service, double ServerStatistics::*what) const -> double {
    auto v = std::vector<double>();
    for (auto& [n, s] : node_.servers())
        if (auto i = statistics_.find(n);
            i != statistics_.end() && s.listing.serviceName == service && i->second.*what > 0)
            v.push_back(i->second.*what);
    if (v.size() < 3) return 0;
    std::nth_element(v.begin(), v.begin() + std::ptrdiff_t(v.size() / 2), v.end());
    return v[v.size() / 2];
}

auto Edge::fitnessOf(const std::string& s, Microseconds now) -> double {
    auto& f = statistics_[s];
    return std::min(1.0, f.fitness + double(now - f.fitnessAt) / double(20 * SECOND));
}

auto Edge::lowerFitness(const std::string& s, double k, Microseconds now) -> void {
    auto& f = statistics_[s];
    f.fitness = fitnessOf(s, now) * k;
    f.fitnessAt = now;
}

auto Edge::serviceRule(const std::string& service) const -> const ServiceRule* {
    static const auto plain = ServiceRule();
    if (auto i = routes_.services.find(service); i != routes_.services.end()) return &i->second;
    return dialect_.clientNamesRequests ? &plain : nullptr;
}

// How many nodes share what the fleet may do: all that were heard of lately, so that a part of
// the fleet that is cut off takes no more than its part.
auto Edge::nodeCount() const -> std::size_t {
    return std::max({node_.rows().size() + 1, rosterSize_, mostNodes_});
}

// What a server says of itself in the headers of a reply.
auto Edge::readLoad(const std::string& name, const Headers& h, Microseconds now) -> void {
    auto& f = statistics_[name];
    f.lastHeardAt = now;
    f.ejections = 0;
    if (auto t = header(h, dialect_.load); !t.empty()) {
        auto v = std::vector<std::int64_t>();
        if (parseNumbers(t, v) && v.size() == 3) {
            auto n = [&](int i) { return int(std::min<std::int64_t>(v[std::size_t(i)], 1 << 20)); };
            f.running = n(0), f.waiting = n(1), f.slots = n(2);
            f.loadAt = now;
            f.inflightAtLoad = f.inflight;
            auto s = node_.servers().find(name);
            auto k = double(std::max(0, f.running + f.waiting - f.inflightAtLoad));
            if (s != node_.servers().end()) {
                auto& p = serviceStatistics_[s->second.listing.serviceName];
                p.others += (p.loads++ ? 0.05 : 1) * (k - p.others);
            }
        }
    }
    if (auto t = header(h, dialect_.coldMs); !t.empty())
        if (auto n = parseNumber(t); n >= 0)
            f.coldUntil = n ? now + std::min<std::int64_t>(n, 3600000) * MILLISECOND : 0;
}

auto Edge::slots(const std::string& name, const Server& s, const ServiceRule& pr) -> int {
    auto& f = statistics_[name];
    return std::max(1, f.slots ? f.slots : s.listing.slots ? int(s.listing.slots) : pr.slots);
}

// How many exchanges a server holds: ours, and what it last said of others'. As those come to
// their ends, what was said tells less and less, and the pool's average more.
auto Edge::load(const std::string& name, const Server& s, Microseconds now) -> double {
    auto& f = statistics_[name];
    auto own = double(f.inflight);
    if (s.seen > f.loadAt) return occupancy(name, s);
    auto& p = serviceStatistics_[s.listing.serviceName];
    if (!f.loadAt) return own + p.others;
    auto others = double(std::max(0, f.running + f.waiting - f.inflightAtLoad));
    auto age = double(now - f.loadAt);
    auto w = std::exp(-age / std::max(p.held, double(20 * MILLISECOND)));
    auto e = own + others * w + p.others * (1 - w);
    auto trust =
        age <= double(BELIEVED) ? 1 : std::max(0.0, 1 - (age - double(BELIEVED)) / double(2 * BELIEVED));
    return own + (e - own) * trust;
}

// A server that did not connect, or broke, is left alone for a while; see SelectionStage::Fit.
auto Edge::eject(const std::string& name, Microseconds now) -> void {
    auto& f = statistics_[name];
    f.ejectedUntil = now + std::min(4 * SECOND, 500 * MILLISECOND << std::min(f.ejections, 3));
    f.ejections++;
}

auto Edge::isSilent(const ServerStatistics& f, Microseconds now) const -> bool {
    return f.inflight > 0 && f.unansweredSince > f.lastHeardAt
        && double(now - f.unansweredSince) > std::max(double(400 * MILLISECOND), 5 * f.firstByteTime);
}

auto Edge::promptRead(Request& x) -> void {
    if (!x.attempts.unreadTokens) return;
    auto& f = statistics_[x.attempts.server];
    f.unreadTokens = std::max(0.0, f.unreadTokens - double(x.attempts.unreadTokens));
    x.attempts.unreadTokens = 0;
}

}  // namespace duneturn
