#include "routing/slow_start.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.hpp"

namespace duneturn {
namespace {

constexpr auto NO_LIMIT = 1 << 20;               // attempts; beyond what any server bears
constexpr auto COLD_MARGIN = 250 * MILLISECOND;  // what is known of cold times is a little old
constexpr auto RESTORED_MARGIN = 5 * SECOND;     // how long a restored zone's servers may be cold unseen
constexpr auto RATE_SHARE = 0.9;                 // of a cold server's rate that is dealt out
constexpr auto BURST_SHARE = 0.8;                // of what it bears beyond its rate

}  // namespace

// How long a server has run, as far as that is certain.
auto SlowStart::upTime(const std::string& name, const KnownServer& server, Microseconds now) -> Microseconds {
    // After a loss it may be another life that answers: cold, until its load says otherwise.
    auto failedAt = statistics_.of(name).lastFailureAt;
    if (failedAt > server.loadReadAt && failedAt > server.firstSeenAt) return 0;
    if (!server.loadReadAt) return now - server.firstSeenAt;
    // So it does where it was last seen not to answer, or nobody has read its load of late.
    if (server.load.dark || now - server.loadReadAt > LOAD_STALE_AFTER) return 0;
    if (!server.load.cold && server.load.up >= routes_.slowStartDuration) return routes_.slowStartDuration;
    return server.load.up + (now - server.loadReadAt);
}

auto SlowStart::rampShare(const std::string& name, const KnownServer& server, Microseconds now) -> int {
    if (faults_.skipSlowStart || routes_.slowStartDuration <= 0) return NO_LIMIT;
    auto elapsed = upTime(name, server, now);
    if (elapsed >= routes_.slowStartDuration) return NO_LIMIT;
    auto slots = double(std::max(1, server.listing.slots));
    auto grown =
        (slots - routes_.slowStartInitialSlots) * double(elapsed) / double(routes_.slowStartDuration);
    auto all = int(routes_.slowStartInitialSlots + grown);
    // Each node takes its part; the remainder goes to those that rendezvous hashing puts first.
    auto nodes = node_.aliveNodes(now);
    auto before = 0;
    for (auto& other : nodes)
        before += rendezvousRank(name, other) > rendezvousRank(name, node_.ownRecord().node);
    return all / int(nodes.size()) + (before < all % int(nodes.size()));
}

auto SlowStart::isCold(
    const std::string& name, const KnownServer& server, const ServiceRule& rule, Microseconds now) -> bool {
    auto& statistics = statistics_.of(name);
    if (server.slowStartUntil > server.listedAt && now < server.slowStartUntil + COLD_MARGIN) return true;
    if (now < statistics.slowStartUntil + COLD_MARGIN && statistics.slowStartUntil > 0) return true;
    // New in our time, and nobody says how it is.
    auto isNew = listedAt_ && server.firstSeenAt > listedAt_ + SECOND;
    if (!server.slowStartUntil && isNew && now < server.firstSeenAt + rule.coldDuration) return true;
    // Servers of a zone that is restored may have turned cold just before.
    auto restored = restoredZones_.find(server.listing.zone);
    return restored != restoredZones_.end()
        && (restored->second < 0 || server.listedAt < restored->second + SECOND);
}

// The rate is dealt out as buckets of one request, to no more nodes than may find their buckets full in
// the same second.
auto SlowStart::admits(const std::string& name, const KnownServer& server, const ServiceRule& rule,
    Microseconds now, BucketUse use) -> bool {
    if (rule.coldRate <= 0 || faults_.skipSlowStart || !isCold(name, server, rule, now)) return true;
    if (!fleet_.settled(now)) return false;
    auto burst = BURST_SHARE * ((routes_.coldOverrun - RATE_SHARE) * rule.coldRate + routes_.coldSlack);
    auto sharers = std::min(fleet_.nodes(), std::size_t(std::max(1.0, burst)));
    auto before = std::size_t(0);
    for (auto& [other, known] : node_.nodes())
        before += rendezvousRank(name, other) > rendezvousRank(name, node_.ownRecord().node);
    if (before >= sharers) return false;
    auto& statistics = statistics_.of(name);
    auto elapsed = double(now - statistics.coldBucketAt) / double(SECOND);
    statistics.coldBucket =
        std::min(1.0, statistics.coldBucket + elapsed * RATE_SHARE * rule.coldRate / double(sharers));
    statistics.coldBucketAt = now;
    if (statistics.coldBucket < 1) return false;
    if (use == BucketUse::Consume) statistics.coldBucket -= 1;
    return true;
}

auto SlowStart::setEvacuatedZones(std::set<std::string> zones) -> void {
    auto before = std::exchange(evacuatedZones_, std::move(zones));
    for (auto& zone : before)
        if (!evacuatedZones_.count(zone)) restoredZones_[zone] = -1;
}

auto SlowStart::tick(Microseconds now) -> void {
    if (!listedAt_ && !node_.servers().empty()) listedAt_ = now;
    for (auto zone = restoredZones_.begin(); zone != restoredZones_.end();) {
        if (zone->second < 0) zone->second = now;
        auto over = now - zone->second > RESTORED_MARGIN || evacuatedZones_.count(zone->first);
        zone = over ? restoredZones_.erase(zone) : std::next(zone);
    }
}

}  // namespace duneturn
