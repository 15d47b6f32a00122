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

auto Kept::add(std::uint64_t part, std::int64_t tokens, std::int64_t most) -> void {
    if (auto i = at.find(part); i != at.end()) {
        total -= i->second->second;
        l.erase(i->second);
    }
    l.emplace_front(part, tokens);
    at[part] = l.begin();
    total += tokens;
    while (l.size() > 1 && (total > most || l.size() > 8192)) {
        total -= l.back().second;
        at.erase(l.back().first);
        l.pop_back();
    }
}

auto Kept::clear() -> void {
    l.clear();
    at.clear();
    total = 0;
}

auto Edge::occupancy(const std::string& name, const KnownServer& s) -> double {
    auto& f = fit_[name];
    if (s.loadReadAt > f.seen) {
        f.seen = s.loadReadAt;
        f.atSeen = f.inflight;
    }
    auto own = double(f.inflight);
    if (!s.loadReadAt) return own;
    return std::max(own, double(s.load.prefill + s.load.decode + f.inflight - f.atSeen));
}

// The median of what is known of a pool's servers; 0 of fewer than three.
auto Edge::median(const std::string& service, double Fitness::*what) const -> double {
    auto v = std::vector<double>();
    for (auto& [n, s] : n_.servers())
        if (auto i = fit_.find(n); i != fit_.end() && s.listing.serviceName == service && i->second.*what > 0)
            v.push_back(i->second.*what);
    if (v.size() < 3) return 0;
    std::nth_element(v.begin(), v.begin() + std::ptrdiff_t(v.size() / 2), v.end());
    return v[v.size() / 2];
}

auto Edge::fitOf(const std::string& s, Microseconds now) -> double {
    auto& f = fit_[s];
    return std::min(1.0, f.fit + double(now - f.at) / double(20 * SECOND));
}

auto Edge::hurt(const std::string& s, double k, Microseconds now) -> void {
    auto& f = fit_[s];
    f.fit = fitOf(s, now) * k;
    f.at = now;
}

auto Edge::described(const std::string& service) const -> const ServiceRule* {
    static const auto plain = ServiceRule();
    if (auto i = ru_.services.find(service); i != ru_.services.end()) return &i->second;
    return di_.clientNamesRequests ? &plain : nullptr;
}

// How many nodes share what the fleet may do: all that were heard of lately, so that a part of
// the fleet that is cut off takes no more than its part.
auto Edge::nodes() const -> std::size_t { return std::max({n_.nodes().size() + 1, roster_, peak_}); }

// What a server says of itself in the headers of a reply.
auto Edge::readLoad(const std::string& name, const Headers& h, Microseconds now) -> void {
    auto& f = fit_[name];
    f.heard = now;
    f.strikes = 0;
    if (auto t = header(h, di_.load); !t.empty()) {
        auto v = std::vector<std::int64_t>();
        if (parseNumbers(t, v) && v.size() == 3) {
            auto n = [&](int i) { return int(std::min<std::int64_t>(v[std::size_t(i)], 1 << 20)); };
            f.running = n(0), f.waiting = n(1), f.slots = n(2);
            f.loadAt = now;
            f.atLoad = f.inflight;
            auto s = n_.servers().find(name);
            auto k = double(std::max(0, f.running + f.waiting - f.atLoad));
            if (s != n_.servers().end()) {
                auto& p = seen_[s->second.listing.serviceName];
                p.others += (p.loads++ ? 0.05 : 1) * (k - p.others);
            }
        }
    }
    if (auto t = header(h, di_.coldMs); !t.empty())
        if (auto n = parseNumber(t); n >= 0)
            f.coldTill = n ? now + std::min<std::int64_t>(n, 3600000) * MILLISECOND : 0;
}

auto Edge::slots(const std::string& name, const KnownServer& s, const ServiceRule& pr) -> int {
    auto& f = fit_[name];
    return std::max(1, f.slots ? f.slots : s.listing.slots ? int(s.listing.slots) : pr.slots);
}

// How many exchanges a server holds: ours, and what it last said of others'. As those come to
// their ends, what was said tells less and less, and the pool's average more.
auto Edge::load(const std::string& name, const KnownServer& s, Microseconds now) -> double {
    auto& f = fit_[name];
    auto own = double(f.inflight);
    if (s.loadReadAt > f.loadAt) return occupancy(name, s);
    auto& p = seen_[s.listing.serviceName];
    if (!f.loadAt) return own + p.others;
    auto others = double(std::max(0, f.running + f.waiting - f.atLoad));
    auto age = double(now - f.loadAt);
    auto w = std::exp(-age / std::max(p.held, double(20 * MILLISECOND)));
    auto e = own + others * w + p.others * (1 - w);
    auto trust =
        age <= double(BELIEVED) ? 1 : std::max(0.0, 1 - (age - double(BELIEVED)) / double(2 * BELIEVED));
    return own + (e - own) * trust;
}

// A server that did not connect, or broke, is left alone for a while; see Op::Fit.
auto Edge::strike(const std::string& name, Microseconds now) -> void {
    auto& f = fit_[name];
    f.avoidTill = now + std::min(4 * SECOND, 500 * MILLISECOND << std::min(f.strikes, 3));
    f.strikes++;
}

auto Edge::silent(const Fitness& f, Microseconds now) const -> bool {
    return f.inflight > 0 && f.asked > f.heard
        && double(now - f.asked) > std::max(double(400 * MILLISECOND), 5 * f.first);
}

auto Edge::readDone(Request& x) -> void {
    if (!x.unread) return;
    auto& f = fit_[x.server];
    f.unread = std::max(0.0, f.unread - double(x.unread));
    x.unread = 0;
}

}  // namespace duneturn
