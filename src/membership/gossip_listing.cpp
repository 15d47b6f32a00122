#include "membership/gossip_listing.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "membership/membership_table.hpp"

namespace duneturn {

// A listing number consists of, from the highest bits: the leader's term, a counter, and a hash of the node
// that assigned it. The numbers of a later leader are therefore above those of all earlier leaders.
static constexpr int OWNER_BITS = 10;
static constexpr int COUNTER_BITS = 24;
static constexpr int TERM_SHIFT = OWNER_BITS + COUNTER_BITS;
static constexpr std::int64_t OWNER_MASK = (std::int64_t(1) << OWNER_BITS) - 1;
static constexpr std::int64_t COUNTER_MASK = (std::int64_t(1) << COUNTER_BITS) - 1;
/// Nodes that are further behind are sent the complete listing.
static constexpr std::size_t MAX_RECENT_NUMBERS = 64;
/// A shift of the end of a server's slow start by less than this does not count as a change.
static constexpr Microseconds SLOW_START_TOLERANCE = 1 * SECOND;

auto GossipListing::term() const -> std::int64_t { return number_ >> TERM_SHIFT; }

auto GossipListing::setNumber(std::int64_t number) -> void {
    number_ = number;
    recentNumbers_.push_back(number);
    if (recentNumbers_.size() > MAX_RECENT_NUMBERS) recentNumbers_.pop_front();
}

auto GossipListing::assignNextNumber() -> std::int64_t {
    auto& voter = context_.voter;
    auto& own = context_.members.own();
    auto newTerm = std::max(voter && voter->leads() ? voter->term() : 0, term());
    auto counter = ((number_ >> OWNER_BITS) & COUNTER_MASK) + 1;
    auto owner = std::int64_t(hash64(own.node, std::uint64_t(own.boot)) & std::uint64_t(OWNER_MASK));
    setNumber((newTerm << TERM_SHIFT) | ((counter & COUNTER_MASK) << OWNER_BITS) | owner);
    return number_;
}

/// `assignedNumber`: the number assigned to the present update of the listing; 0 until the first difference.
auto GossipListing::applyEntry(
    const PlatformListing::Entry& entry, std::int64_t& assignedNumber, Microseconds now) -> void {
    auto& server = context_.directory.servers()[entry.listing.server];
    auto listing = entry.listing;
    listing.revision = server.listing.revision;
    listing.age = server.listing.age;
    listing.cold = server.listing.cold;
    auto slowStartUntil = entry.slowStartMicroseconds > 0 ? now + entry.slowStartMicroseconds : 0;
    auto heldColdUntil = server.slowStartUntil > now ? server.slowStartUntil : 0;
    auto same = listing == server.listing && std::abs(slowStartUntil - heldColdUntil) < SLOW_START_TOLERANCE;
    server.listedAt = now;
    if (same && !server.listing.server.empty()) return;
    resetOnNewIncarnation(server, listing.inc, now);
    if (!assignedNumber) assignedNumber = assignNextNumber();
    server.listing = listing;
    server.listing.revision = assignedNumber;
    server.slowStartUntil = slowStartUntil;
}

auto GossipListing::applyPlatformListing(const PlatformListing& listing, Microseconds now) -> bool {
    auto assignedNumber = std::int64_t(0);
    auto listed = std::set<std::string>();
    for (auto& entry : listing.servers) {
        listed.insert(entry.listing.server);
        applyEntry(entry, assignedNumber, now);
    }
    for (auto& [name, server] : context_.directory.servers()) {
        if (listed.count(name) || server.listing.state != UP) continue;
        if (!assignedNumber) assignedNumber = assignNextNumber();
        server.listing.state = LEAVING;
        server.listing.revision = assignedNumber;
        server.listedAt = now;
    }
    if (!number_) assignedNumber = assignNextNumber();  // an empty listing needs a number as well
    return assignedNumber != 0;
}

auto GossipListing::mergeEntry(const wire::ServerListing& listing, Microseconds now) -> void {
    auto& servers = context_.directory.servers();
    if (!servers.count(listing.server) && servers.size() >= MAX_TABLE_ENTRIES) return;
    auto& server = servers[listing.server];
    resetOnNewIncarnation(server, listing.inc, now);
    server.listing = listing;
    server.listedAt = now - std::max<Microseconds>(0, listing.age);
    server.slowStartUntil = listing.cold > 0 ? now + listing.cold : 0;
}

auto GossipListing::merge(const wire::Heartbeat& heartbeat, Microseconds now) -> bool {
    auto complete = heartbeat.listingBase == 0;
    if (heartbeat.listingBase < 0 || heartbeat.listingNumber <= number_) return false;
    if (!complete && heartbeat.listingBase != number_) return false;
    auto listed = std::set<std::string>();
    for (auto& listing : heartbeat.listings) {
        if (listing.server.empty() || listing.server.size() > MAX_NAME_BYTES) continue;
        listed.insert(listing.server);
        mergeEntry(listing, now);
    }
    if (complete) {
        std::erase_if(
            context_.directory.servers(), [&](auto& entry) { return listed.count(entry.first) == 0; });
        recentNumbers_.clear();
    }
    setNumber(heartbeat.listingNumber);
    return true;
}

auto GossipListing::addChanges(wire::Heartbeat& heartbeat, std::int64_t base, Microseconds now) const
    -> void {
    auto known = std::find(recentNumbers_.begin(), recentNumbers_.end(), base) != recentNumbers_.end();
    heartbeat.listingBase = base > 0 && known ? base : 0;
    for (auto& [name, server] : context_.directory.servers())
        if (server.listing.revision > heartbeat.listingBase)
            heartbeat.listings.push_back(agedListing(server, now));
}

auto GossipListing::serverExpired(std::int64_t revision) -> void {
    while (!recentNumbers_.empty() && recentNumbers_.front() < revision) recentNumbers_.pop_front();
}

}  // namespace duneturn
