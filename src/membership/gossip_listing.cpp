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

// A number's bits, from the highest: the leader's term, a counter, and whose number it is. A later leader's
// numbers are so above all of an earlier one's.
static constexpr int OWNER_BITS = 10;
static constexpr int COUNTER_BITS = 24;
static constexpr int TERM_SHIFT = OWNER_BITS + COUNTER_BITS;
static constexpr std::int64_t OWNER_MASK = (std::int64_t(1) << OWNER_BITS) - 1;
static constexpr std::int64_t COUNTER_MASK = (std::int64_t(1) << COUNTER_BITS) - 1;
static constexpr std::size_t NUMBERS_REMEMBERED = 64;       // who is further behind is sent the whole listing
static constexpr Microseconds COLD_TOLERANCE = 1 * SECOND;  // a smaller shift of the time is no change

auto GossipListing::term() const -> std::int64_t { return number_ >> TERM_SHIFT; }

auto GossipListing::remember(std::int64_t number) -> void {
    number_ = number;
    recent_.push_back(number);
    if (recent_.size() > NUMBERS_REMEMBERED) recent_.pop_front();
}

auto GossipListing::raise() -> std::int64_t {
    auto& voter = context_.voter;
    auto& own = context_.members.own();
    auto newTerm = std::max(voter && voter->leads() ? voter->term() : 0, term());
    auto counter = ((number_ >> OWNER_BITS) & COUNTER_MASK) + 1;
    auto owner = std::int64_t(hash64(own.node, std::uint64_t(own.boot)) & std::uint64_t(OWNER_MASK));
    remember((newTerm << TERM_SHIFT) | ((counter & COUNTER_MASK) << OWNER_BITS) | owner);
    return number_;
}

/// `raised`: the number given for this change of the listing; 0 before the first difference.
auto GossipListing::takeEntry(const PlatformListing::Entry& entry, std::int64_t& raised, Microseconds now)
    -> void {
    auto& server = context_.directory.servers()[entry.listing.server];
    auto listing = entry.listing;
    listing.revision = server.listing.revision;
    listing.age = server.listing.age;
    listing.cold = server.listing.cold;
    auto slowStartUntil = entry.coldMicroseconds > 0 ? now + entry.coldMicroseconds : 0;
    auto heldColdUntil = server.slowStartUntil > now ? server.slowStartUntil : 0;
    auto same = listing == server.listing && std::abs(slowStartUntil - heldColdUntil) < COLD_TOLERANCE;
    server.listedAt = now;
    if (same && !server.listing.server.empty()) return;
    noteIncarnation(server, listing.inc, now);
    if (!raised) raised = raise();
    server.listing = listing;
    server.listing.revision = raised;
    server.slowStartUntil = slowStartUntil;
}

auto GossipListing::take(const PlatformListing& listing, Microseconds now) -> bool {
    auto raised = std::int64_t(0);
    auto listed = std::set<std::string>();
    for (auto& entry : listing.servers) {
        listed.insert(entry.listing.server);
        takeEntry(entry, raised, now);
    }
    for (auto& [name, server] : context_.directory.servers()) {
        if (listed.count(name) || server.listing.state != UP) continue;
        if (!raised) raised = raise();
        server.listing.state = LEAVING;
        server.listing.revision = raised;
        server.listedAt = now;
    }
    if (!number_) raised = raise();  // an empty listing is one too
    return raised != 0;
}

auto GossipListing::mergeEntry(const wire::ServerListing& listing, Microseconds now) -> void {
    auto& servers = context_.directory.servers();
    if (!servers.count(listing.server) && servers.size() >= MAX_KNOWN) return;
    auto& server = servers[listing.server];
    noteIncarnation(server, listing.inc, now);
    server.listing = listing;
    server.listedAt = now - std::max<Microseconds>(0, listing.age);
    server.slowStartUntil = listing.cold > 0 ? now + listing.cold : 0;
}

auto GossipListing::merge(const wire::Heartbeat& heartbeat, Microseconds now) -> bool {
    auto whole = heartbeat.listingBase == 0;
    if (heartbeat.listingBase < 0 || heartbeat.listingNumber <= number_) return false;
    if (!whole && heartbeat.listingBase != number_) return false;
    auto listed = std::set<std::string>();
    for (auto& listing : heartbeat.listings) {
        if (listing.server.empty() || listing.server.size() > MAX_NAME_BYTES) continue;
        listed.insert(listing.server);
        mergeEntry(listing, now);
    }
    if (whole) {
        std::erase_if(
            context_.directory.servers(), [&](auto& entry) { return listed.count(entry.first) == 0; });
        recent_.clear();
    }
    remember(heartbeat.listingNumber);
    return true;
}

auto GossipListing::addChanges(wire::Heartbeat& heartbeat, std::int64_t base, Microseconds now) const
    -> void {
    auto known = std::find(recent_.begin(), recent_.end(), base) != recent_.end();
    heartbeat.listingBase = base > 0 && known ? base : 0;
    for (auto& [name, server] : context_.directory.servers())
        if (server.listing.revision > heartbeat.listingBase)
            heartbeat.listings.push_back(agedListing(server, now));
}

auto GossipListing::serverLapsed(std::int64_t revision) -> void {
    while (!recent_.empty() && recent_.front() < revision) recent_.pop_front();
}

}  // namespace duneturn
