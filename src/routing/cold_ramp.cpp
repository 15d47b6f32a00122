// How much a server that has just started, or come back, may be sent.
#include <algorithm>
#include <cmath>
#include <string>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

// A cold server's room grows over the ramp's time, and is dealt out over all edges: each
// takes its part, the remainder goes to those that rendezvous hashing puts first.
auto Edge::rampShare(const std::string& name, const KnownServer& s, Microseconds now) -> int {
    constexpr auto ALL = 1 << 20;
    if (broken.noRamp || ru_.rampOver <= 0) return ALL;
    auto up = now - s.firstSeenAt;
    // After a loss it may be another life that replies: cold, until its load says otherwise.
    if (auto& f = fit_[name]; f.lostAt > s.loadReadAt && f.lostAt > s.firstSeenAt) up = 0;
    // So it does where it was last seen not to reply, or nobody has read its load of late.
    else if (s.loadReadAt && (s.load.dark || now - s.loadReadAt > LOAD_STALE_AFTER)) up = 0;
    else if (s.loadReadAt) {
        if (!s.load.cold && s.load.up >= ru_.rampOver) return ALL;
        up = s.load.up + (now - s.loadReadAt);
    }
    if (up >= ru_.rampOver) return ALL;
    auto slots = double(std::max(1, s.listing.slots));
    auto cap = int(ru_.rampFirst + (slots - ru_.rampFirst) * double(up) / double(ru_.rampOver));
    auto ns = n_.aliveNodes(now);
    auto k = 0;
    for (auto& n : ns) k += rendezvousRank(name, n) > rendezvousRank(name, n_.ownRecord().node);
    return cap / int(ns.size()) + (k < cap % int(ns.size()));
}

auto Edge::cold(const std::string& name, const KnownServer& s, const ServiceRule& pr, Microseconds now)
    -> bool {
    constexpr auto MORE = 250 * MILLISECOND;  // what is told is a little old
    auto& f = fit_[name];
    if (s.coldUntil > s.listedAt && now < s.coldUntil + MORE) return true;
    if (now < f.coldTill + MORE && f.coldTill > 0) return true;
    // New in our time, and nobody says how it is.
    if (!s.coldUntil && listedAt_ && s.firstSeenAt > listedAt_ + SECOND && now < s.firstSeenAt + pr.coldUs)
        return true;
    // Servers of a district that is given back may have turned cold just before.
    auto g = restoredZones_.find(s.listing.zone);
    return g != restoredZones_.end() && (g->second < 0 || s.listedAt < g->second + SECOND);
}

// A cold server bears a rate of exchanges, over all nodes. It is dealt out as buckets of one
// exchange to the nodes that rendezvous hashing puts first, to no more of them than may find
// their buckets full in the same second.
auto Edge::coldLets(const std::string& name, const KnownServer& s, const ServiceRule& pr, Microseconds now,
    bool take) -> bool {
    if (pr.coldRate <= 0 || broken.noRamp || !cold(name, s, pr, now)) return true;
    if (!settled(now)) return false;
    auto most = 0.8 * ((ru_.coldOverrun - 0.9) * pr.coldRate + ru_.coldSlack);
    auto k = std::min(nodes(), std::size_t(std::max(1.0, most)));
    auto before = std::size_t(0);
    for (auto& [n, r] : n_.nodes())
        before += rendezvousRank(name, n) > rendezvousRank(name, n_.ownRecord().node);
    if (before >= k) return false;
    auto& f = fit_[name];
    f.coldLeft =
        std::min(1.0, f.coldLeft + double(now - f.coldAt) / double(SECOND) * 0.9 * pr.coldRate / double(k));
    f.coldAt = now;
    if (f.coldLeft < 1) return false;
    if (take) f.coldLeft -= 1;
    return true;
}

}  // namespace duneturn
