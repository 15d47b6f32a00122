#include "membership/gossip_membership.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/failure_detector.hpp"
#include "membership/lease.hpp"
#include "membership/voter_placement.hpp"

// Sending and receiving heartbeats stand in gossip_sending.cpp and gossip_receiving.cpp.
namespace duneturn {

static constexpr Microseconds SCAN_INTERVAL = 50 * MILLISECOND;  // with hundreds of nodes a scan is costly
static constexpr Microseconds STATE_REQUEST_INTERVAL = 300 * MILLISECOND;  // one answer may be a megabyte
static constexpr Microseconds START_PERIOD = 3 * SECOND;  // in which a node that knows nobody hurries
static constexpr int START_HURRY = 5;                     // by this factor

// ---- own record

auto GossipMembership::completeOwnRecord() -> void {
    auto& own = context_.members.own();
    own.settled = context_.state.version > 0;
    own.ready = ready(context_.now);
}

auto GossipMembership::hasListing() const -> bool { return listing_.number() != 0; }

// ---- time

auto GossipMembership::heartbeatInterval(Microseconds now) const -> Microseconds {
    auto interval = context_.timeouts.heartbeat;
    // A node that has just started and found nobody yet asks again soon.
    auto starting = now - context_.startedAt < START_PERIOD;
    return starting && context_.members.aliveNodes(now).size() < 2 ? interval / START_HURRY : interval;
}

auto GossipMembership::scanDue(Microseconds now) -> bool {
    if (now < nextScanAt_) return false;
    nextScanAt_ = now + SCAN_INTERVAL;
    return true;
}

auto GossipMembership::listingTimeout() const -> Microseconds {
    return std::numeric_limits<Microseconds>::max();
}
auto GossipMembership::serverLapsed(const wire::ServerListing& listing) -> void {
    listing_.serverLapsed(listing.revision);
}

auto GossipMembership::tick(Microseconds now, bool scanned) -> void {
    if (scanned) leader_ = context_.members.leaderNode(now);
    duty_.observe(!leader_.empty(), now);
    context_.members.own().settled = context_.state.version > 0;
    // What the others must know at once: that this one leads, or does no more.
    if (context_.voter && context_.voter->leads() != sentOwnRecord_.leader) context_.nextHeartbeatAt = now;
    if (nextStateRequestAt_ && now >= nextStateRequestAt_) pullState(now);
}

/// Asks the nearest node that has a newer state for it.
auto GossipMembership::pullState(Microseconds now) -> void {
    auto& own = context_.members.own();
    auto holder = static_cast<const wire::NodeRecord*>(nullptr);
    auto holderNearness = -1;
    for (auto& [name, known] : context_.members.others()) {
        auto& record = known.record;
        if (!context_.members.isAlive(known, now) || versionOf(record) <= versionOf(context_.state)) continue;
        auto nearness = record.region == own.region ? 2 : 1;
        if (record.zone == own.zone) nearness = 3;
        auto better = nearness > holderNearness || (nearness == holderNearness && context_.random.chance(.5));
        if (!better) continue;
        holderNearness = nearness;
        holder = &record;
    }
    nextStateRequestAt_ = holder ? now + STATE_REQUEST_INTERVAL : 0;
    if (holder) context_.requestState(holder->peer, versionOf(context_.state));
}

auto GossipMembership::placeVoters(Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (voter.leads()) voter.setSpareDisks(gossipSpareDisks(context_, now));
    else voter.setSpareDisks({});
}

auto GossipMembership::beginEpochIfDue(Microseconds now) -> void { bootstrap_.tick(context_, now); }

// ---- replicated state

auto GossipMembership::withinLease(Microseconds now) const -> bool {
    auto& state = context_.state;
    if (context_.faults.ignoreLease) return state.version > 0;
    if (context_.settings.serveOn) return state.configVersion() > 0;
    return state.version > 0 && context_.members.own().settled
        && majorityConfirms(context_, VotersCounted::SettledOnly, now);
}

auto GossipMembership::majorityStands(Microseconds now) const -> bool {
    return majorityConfirms(context_, VotersCounted::All, now);
}

// A majority of the voters' disks is enough, and those hold what the log has committed.
auto GossipMembership::acknowledged(MajorityProof&, std::int64_t, Microseconds) -> bool { return true; }

// An acknowledgement rests on the disks alone, so a newer state may be acted on at once.
auto GossipMembership::actsOnReceivedState() const -> bool { return true; }

// A leader's voters take the state from the log.
auto GossipMembership::sendsStateTo(const wire::NodeRecord& record) const -> bool {
    auto leads = context_.voter && context_.voter->leads();
    return !leads || record.blank || !context_.isVoter(record);
}

auto GossipMembership::lastLeader() const -> std::string { return leader_; }

auto GossipMembership::voteHandedOver(Microseconds now) const -> bool {
    return duneturn::voteHandedOver(context_, now);
}

// ---- what the platform says

auto GossipMembership::takeListing(std::int64_t id, const PlatformListing& listing, Microseconds now)
    -> void {
    // A leader that was superseded meanwhile may hold a listing older than what the others have.
    auto& voter = context_.voter;
    auto superseded = voter && voter->leads() && voter->term() < listing_.term();
    if (!hasSingletonDuty(now) || superseded) {
        auto body = bodyOf({{"error", jsonQuote("another node does this duty now")}});
        return context_.port.done(id, {409, body});
    }
    auto changed = listing_.take(listing, now);
    context_.counters.add("listings_taken_total");
    if (changed) context_.nextHeartbeatAt = now;
    auto names = std::set<std::string>();
    for (auto& entry : listing.servers) names.insert(entry.listing.server);
    context_.port.done(id, {200, "{\"listed\":" + fmt::to_string(names.size()) + "}"});
}

auto GossipMembership::takeDrainMark(
    std::int64_t id, const std::string& server, std::int64_t, Microseconds now) -> void {
    auto revision = listing_.raise();
    auto& known = *context_.directory.find(server);
    if (known.listing.state == UP) {
        known.listing.state = LEAVING;
        logEvent("server_draining", "server={}", server);
    }
    known.listing.revision = revision;
    known.listedAt = now;
    refreshOwnRecord();
    context_.nextHeartbeatAt = now;
    context_.counters.add("marks_taken_total");
    context_.port.done(id, {200, "{\"held\":true}"});
}

auto GossipMembership::answerPlatform(Microseconds) -> void {}

}  // namespace duneturn
