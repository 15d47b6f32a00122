#include "routing/slow_start.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.hpp"

namespace duneturn {
namespace {

constexpr auto NO_LIMIT = 1 << 20;  // attempts; more than any server can run
// Added to the end of a cold time, since reports of cold times are a little out of date.
constexpr auto COLD_MARGIN = 250 * MILLISECOND;
// For this long after a zone is restored its servers may be cold without this node knowing it yet.
constexpr auto RESTORED_MARGIN = 5 * SECOND;
constexpr auto RATE_SHARE = 0.9;   // the fraction of a cold server's rate that the nodes use together
constexpr auto BURST_SHARE = 0.8;  // the fraction of its permitted excess over that rate

}  // namespace

// Returns for how long a server is known to have run without interruption; 0 if it may have restarted.
auto SlowStart::upTime(const std::string& name, const KnownServer& server, Microseconds now) -> Microseconds {
    // After a failure a new incarnation may be running, so the server counts as cold until a newer load
    // report shows otherwise.
    auto failedAt = statistics_.of(name).lastFailureAt;
    if (failedAt > server.loadReadAt && failedAt > server.firstSeenAt) return 0;
    if (!server.loadReadAt) return now - server.firstSeenAt;
    // The same holds if its last probe was unanswered or its load report is stale.
    if (server.load.dark || now - server.loadReadAt > LOAD_STALE_AFTER) return 0;
    if (!server.load.cold && server.load.up >= routes_.slowStartDuration) return routes_.slowStartDuration;
    return server.load.up + (now - server.loadReadAt);
}

auto SlowStart::concurrencyLimit(const std::string& name, const KnownServer& server, Microseconds now)
    -> int {
    if (faults_.skipSlowStart || routes_.slowStartDuration <= 0) return NO_LIMIT;
    auto elapsed = upTime(name, server, now);
    if (elapsed >= routes_.slowStartDuration) return NO_LIMIT;
    auto slots = double(std::max(1, server.listing.slots));
    auto addedSlots =
        (slots - routes_.slowStartInitialSlots) * double(elapsed) / double(routes_.slowStartDuration);
    auto fleetLimit = int(routes_.slowStartInitialSlots + addedSlots);
    // Each node gets an equal share; the remainder goes to the nodes that rendezvous hashing ranks first.
    auto nodes = node_.aliveNodes(now);
    auto rank = 0;
    for (auto& other : nodes)
        rank += rendezvousRank(name, other) > rendezvousRank(name, node_.ownRecord().node);
    return fleetLimit / int(nodes.size()) + (rank < fleetLimit % int(nodes.size()));
}

auto SlowStart::isCold(
    const std::string& name, const KnownServer& server, const ServiceRule& rule, Microseconds now) -> bool {
    auto& statistics = statistics_.of(name);
    if (server.slowStartUntil > server.listedAt && now < server.slowStartUntil + COLD_MARGIN) return true;
    if (now < statistics.slowStartUntil + COLD_MARGIN && statistics.slowStartUntil > 0) return true;
    // Without a reported cold time, a server that appeared while this node was running counts as cold for the
    // service's configured duration.
    auto isNew = firstListedAt_ && server.firstSeenAt > firstListedAt_ + SECOND;
    if (!server.slowStartUntil && isNew && now < server.firstSeenAt + rule.coldDuration) return true;
    // Servers of a zone that was just restored may have restarted shortly before.
    auto restored = restoredZones_.find(server.listing.zone);
    return restored != restoredZones_.end()
        && (restored->second < 0 || server.listedAt < restored->second + SECOND);
}

// Each of the sharing nodes has a token bucket that holds one request and refills with its share of the rate.
// All buckets may be full in the same second, so the number of sharing nodes is limited to the burst that a
// cold server may get.
auto SlowStart::admits(const std::string& name, const KnownServer& server, const ServiceRule& rule,
    Microseconds now, BucketUse use) -> bool {
    if (rule.coldRate <= 0 || faults_.skipSlowStart || !isCold(name, server, rule, now)) return true;
    if (!fleet_.settled(now)) return false;
    auto burst = BURST_SHARE * ((routes_.coldOverrun - RATE_SHARE) * rule.coldRate + routes_.coldSlack);
    auto sharers = std::min(fleet_.nodes(), std::size_t(std::max(1.0, burst)));
    auto rank = std::size_t(0);
    for (auto& [other, known] : node_.nodes())
        rank += rendezvousRank(name, other) > rendezvousRank(name, node_.ownRecord().node);
    if (rank >= sharers) return false;
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
    auto previousZones = std::exchange(evacuatedZones_, std::move(zones));
    for (auto& zone : previousZones)
        if (!evacuatedZones_.count(zone)) restoredZones_[zone] = -1;
}

auto SlowStart::tick(Microseconds now) -> void {
    if (!firstListedAt_ && !node_.servers().empty()) firstListedAt_ = now;
    for (auto zone = restoredZones_.begin(); zone != restoredZones_.end();) {
        if (zone->second < 0) zone->second = now;
        auto isExpired = now - zone->second > RESTORED_MARGIN || evacuatedZones_.count(zone->first);
        zone = isExpired ? restoredZones_.erase(zone) : std::next(zone);
    }
}

}  // namespace duneturn
