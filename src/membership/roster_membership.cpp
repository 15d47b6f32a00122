#include "membership/roster_membership.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/disaster_recovery.hpp"
#include "membership/failure_detector.hpp"
#include "membership/lease.hpp"
#include "membership/voter_placement.hpp"

namespace duneturn {

static constexpr std::size_t HEARTBEATS_REMEMBERED = 64;  // at 0.2 s each, more than six leases
static constexpr std::size_t RANDOM_PEERS = 3;            // beside the tree, in case the tree has gaps
static constexpr Microseconds STATE_REQUEST_INTERVAL = 50 * MILLISECOND;  // one round trip between regions
static constexpr Microseconds MARK_TIMEOUT = 3 * SECOND;  // the platform gives its mark to another node then

// ---- own record and heartbeats

auto RosterMembership::completeOwnRecord() -> void {
    auto& own = context_.members.own();
    for (auto& [name, server] : context_.directory.servers()) {
        if (server.listing.state != LEAVING) continue;
        auto mark = wire::DrainMark();
        mark.server = name;
        mark.revision = server.listing.revision;
        own.marks.push_back(mark);
    }
}

auto RosterMembership::hasListing() const -> bool { return false; }

auto RosterMembership::beginHeartbeat(Microseconds now) -> void {
    auto& own = context_.members.own();
    own.heartbeat++;
    heartbeatSentAt_[own.heartbeat] = now;
    while (heartbeatSentAt_.size() > HEARTBEATS_REMEMBERED) heartbeatSentAt_.erase(heartbeatSentAt_.begin());
    refreshOwnRecord();
    own.wall = context_.wall;
    own.acks.clear();
    for (auto& [name, known] : context_.members.others()) {
        if (now - known.lastHeartbeatAt >= FORGET_TIMEOUT) continue;
        auto ack = wire::HeartbeatAck();
        ack.node = name;
        ack.boot = known.record.boot;
        ack.heartbeat = known.record.heartbeat;
        own.acks.push_back(ack);
    }
}

auto RosterMembership::receiversOf(Receivers receivers, Microseconds now) const -> std::set<std::string> {
    auto& own = context_.members.own().node;
    auto tree = context_.tree(now);
    auto names = std::set<std::string>();
    for (auto& child : tree.childrenOf(own)) names.insert(child);
    if (receivers == Receivers::Children) return names;
    if (auto parent = tree.parentOf(own); !parent.empty()) names.insert(parent);
    // The few that rendezvous hashing names for this node.
    auto others = context_.members.aliveNodes(now);
    others.erase(std::remove(others.begin(), others.end(), own), others.end());
    std::sort(others.begin(), others.end(),
        [&](auto& left, auto& right) { return rendezvousRank(own, left) > rendezvousRank(own, right); });
    for (auto i = std::size_t(0); i < others.size() && i < RANDOM_PEERS; i++) names.insert(others[i]);
    for (auto& [name, known] : context_.members.others())
        if (context_.isVoter(known.record)) names.insert(name);
    return names;
}

auto RosterMembership::heartbeatEnvelope(Microseconds now) const -> wire::Envelope {
    auto heartbeat = wire::Heartbeat();
    heartbeat.records.push_back(context_.members.own());
    for (auto& [name, known] : context_.members.others())
        if (now - known.lastHeartbeatAt < FORGET_TIMEOUT) heartbeat.records.push_back(known.record);
    for (auto& [name, server] : context_.directory.servers()) {
        heartbeat.listings.push_back(agedListing(server, now));
        if (hasUsableLoad(server, now)) heartbeat.loads.push_back(agedLoad(server, now));
    }
    auto envelope = context_.envelope();
    envelope.__set_heartbeat(heartbeat);
    return envelope;
}

auto RosterMembership::send(Receivers receivers, Microseconds now) -> void {
    beginHeartbeat(now);
    auto& own = context_.members.own();
    auto names = receiversOf(receivers, now);
    auto envelope = heartbeatEnvelope(now);
    for (auto& name : names)
        if (auto record = context_.members.find(name); record && name != own.node)
            context_.port.send(record->peer, envelope);
    if (receivers == Receivers::All && !context_.peerHints.empty()) {
        // One seed a round joins the parts of a fleet that was cut, whoever lives there now.
        auto& seed = context_.nextInTurn(context_.peerHints);
        if (seed != own.peer) context_.port.send(seed, envelope);
    }
    context_.counters.add("beats_sent_total");
}

auto RosterMembership::sendHeartbeats(Microseconds now) -> void { send(Receivers::All, now); }
auto RosterMembership::heartbeatInterval(Microseconds) const -> Microseconds {
    return context_.timeouts.heartbeat;
}

// ---- receiving

auto RosterMembership::handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void {
    auto& own = context_.members.own().node;
    auto tree = context_.tree(now);
    mergeHeartbeat(envelope.heartbeat, envelope.node, now);
    auto parent = tree.parentOf(own);
    auto fromParent = !parent.empty() && parent == envelope.node;
    // News from above goes on down at once, not at the next heartbeat.
    if (fromParent && !tree.childrenOf(own).empty()) send(Receivers::Children, now);
}

auto RosterMembership::mergeHeartbeat(
    const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void {
    auto held = versionOf(context_.newestKnownState());
    auto newest = held;
    auto holder = std::string();  // the address of the node that holds the newest state
    for (auto& record : heartbeat.records) {
        if (!acceptable(record) || !mergeRecord(record, now)) continue;
        if (versionOf(record) <= newest) continue;
        newest = versionOf(record);
        holder = record.peer;
    }
    for (auto& listing : heartbeat.listings) mergeListing(listing, now);
    mergeLoads(heartbeat, from, now);
    // A gap in the news is closed by pulling the state from the node that is known to hold it.
    if (holder.empty() || now < nextStateRequestAt_) return;
    nextStateRequestAt_ = now + STATE_REQUEST_INTERVAL;
    context_.requestState(holder, held);
}

/// True if the record is newer than the one held, and was taken.
auto RosterMembership::mergeRecord(const wire::NodeRecord& record, Microseconds now) -> bool {
    if (record.node == context_.members.own().node) {
        context_.refuteOwnRecord(record.boot, record.heartbeat, record.peer);
        return false;
    }
    auto& others = context_.members.others();
    auto entry = others.find(record.node);
    if (entry == others.end()) {
        if (others.size() > MAX_KNOWN) return false;
        entry = others.emplace(record.node, KnownNode()).first;
        logEvent("node_discovered", "node={} peer={}", record.node, record.peer);
    }
    auto& known = entry->second;
    if (std::pair(record.boot, record.heartbeat) <= std::pair(known.record.boot, known.record.heartbeat))
        return false;
    if (known.record.boot != record.boot) known.acknowledgedSince = 0;
    if (!known.lastHeartbeatAt || !context_.members.isAlive(known, now))
        context_.counters.add("node_heard_again_total");
    known.record = record;
    known.lastHeartbeatAt = now;
    known.recordAt = now;
    mergeAcknowledgements(known);
    mergeMarks(record, now);
    return true;
}

auto RosterMembership::mergeAcknowledgements(KnownNode& known) -> void {
    auto& own = context_.members.own();
    for (auto& ack : known.record.acks) {
        if (ack.node != own.node || ack.boot != own.boot) continue;
        auto sent = heartbeatSentAt_.find(ack.heartbeat);
        if (sent != heartbeatSentAt_.end())
            known.acknowledgedSince = std::max(known.acknowledgedSince, sent->second);
    }
}

auto RosterMembership::mergeMarks(const wire::NodeRecord& record, Microseconds now) -> void {
    for (auto& mark : record.marks) {
        auto& server = context_.directory.servers()[mark.server];
        auto& listing = server.listing;
        if (mark.revision < listing.revision) continue;
        if (mark.revision > listing.revision || listing.state != LEAVING) server.listedAt = now;
        listing.server = mark.server;
        listing.revision = mark.revision;
        listing.state = LEAVING;
    }
}

auto RosterMembership::mergeListing(const wire::ServerListing& listing, Microseconds now) -> void {
    if (listing.server.empty() || listing.server.size() > MAX_NAME_BYTES) return;
    auto& servers = context_.directory.servers();
    auto entry = servers.find(listing.server);
    if (entry == servers.end()) {
        if (servers.size() > MAX_KNOWN) return;
        entry = servers.emplace(listing.server, KnownServer()).first;
        entry->second.firstSeenAt = now;
    }
    auto& server = entry->second;
    auto& held = server.listing;
    // Of the same revision, leaving wins: the mark may have come ahead of the listing.
    if (listing.revision < held.revision) return;
    if (listing.revision == held.revision && held.state > listing.state) return;
    if (listing.revision == held.revision && held.state == listing.state && !held.address.empty()) {
        server.listedAt = std::max(server.listedAt, now - listing.age);
        return;
    }
    noteIncarnation(server, listing.inc, now);
    held = listing;
    server.listedAt = now - listing.age;
    server.slowStartUntil = listing.cold > 0 ? now + listing.cold : 0;
    listingTakenAt_ = std::max(listingTakenAt_, server.listedAt);
}

auto RosterMembership::mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now)
    -> void {
    // What lay unread while this process was stopped is older than it says. What the other node wrote after
    // receiving a heartbeat of this node since is not.
    auto origin = context_.members.others().find(from);
    auto resumedAt = context_.resumedAt;
    auto datable = !resumedAt
        || (origin != context_.members.others().end() && origin->second.acknowledgedSince >= resumedAt);
    if (!datable) return;
    for (auto& load : heartbeat.loads) {
        auto server = context_.directory.find(load.server);
        if (!server || load.age < 0 || now - load.age <= server->loadReadAt) continue;
        server->load = load;
        server->loadReadAt = now - load.age;
    }
}

// ---- time

auto RosterMembership::scanDue(Microseconds) -> bool { return true; }
auto RosterMembership::listingTimeout() const -> Microseconds { return LISTING_TIMEOUT; }
auto RosterMembership::serverLapsed(const wire::ServerListing&) -> void {}

auto RosterMembership::tick(Microseconds now, bool) -> void {
    auto& own = context_.members.own();
    if (own.settled || context_.state.version == 0) return;
    if (!majorityConfirms(context_, VotersCounted::All, now)) return;
    auto vouchedFor = majorityConfirms(context_, VotersCounted::SettledOnly, now);
    if (!vouchedFor && listingTakenAt_ <= context_.startedAt) return;
    own.settled = true;
    logEvent("node_settled", "epoch={} version={}", context_.state.epoch, context_.state.version);
}

auto RosterMembership::placeVoters(Microseconds now) -> void {
    if (context_.voter->leads()) context_.voter->setSpareDisks(rosterSpareDisks(context_, now));
}

auto RosterMembership::beginEpochIfDue(Microseconds now) -> void {
    if (!context_.members.leaderNode(now).empty()) return epochTimer_.reset();
    auto& others = context_.members.others();
    auto anyoneHoldsState = context_.state.version > 0
        || std::any_of(
            others.begin(), others.end(), [](auto& entry) { return entry.second.record.stateVersion > 0; });
    if (anyoneHoldsState) recoverFromRoster(context_, epochTimer_, now);
    else bootstrapFromRoster(context_, epochTimer_, now);
}

// ---- replicated state

auto RosterMembership::withinLease(Microseconds now) const -> bool {
    if (context_.faults.ignoreLease) return context_.state.version > 0;
    return context_.state.version > 0 && context_.members.own().settled
        && majorityConfirms(context_, VotersCounted::SettledOnly, now);
}

auto RosterMembership::majorityStands(Microseconds now) const -> bool { return withinLease(now); }

auto RosterMembership::acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now) -> bool {
    auto needed = StateVersion{context_.state.epoch, version};
    auto holds = [&](const wire::NodeRecord& record) { return versionOf(record) >= needed; };
    return majorityHolds(context_, proof, holds, now);
}

auto RosterMembership::actsOnReceivedState() const -> bool { return false; }
auto RosterMembership::sendsStateTo(const wire::NodeRecord&) const -> bool { return true; }
auto RosterMembership::lastLeader() const -> std::string { return ""; }
auto RosterMembership::voteHandedOver(Microseconds) const -> bool { return true; }

// ---- what the platform says

/// The number of what the platform says: its own, or the next one if it numbers nothing; -1 if something
/// newer is known, so that this was held up on its way.
auto RosterMembership::nextRevision(std::int64_t platformRevision) const -> std::int64_t {
    auto top = context_.directory.topRevision();
    if (!platformRevision || context_.faults.acceptSupersededListing) return top + 1;
    return platformRevision > top ? platformRevision : -1;
}

auto RosterMembership::refuseSuperseded(std::int64_t id) -> void {
    auto body = bodyOf({{"error", jsonQuote("a newer listing or mark is known")},
        {"revision", fmt::to_string(context_.directory.topRevision())}});
    context_.port.done(id, {409, body});
}

static auto markOf(const std::string& server, std::int64_t revision) -> wire::DrainMark {
    auto mark = wire::DrainMark();
    mark.server = server;
    mark.revision = revision;
    return mark;
}

/// True if the server drains from here on.
auto RosterMembership::takeEntry(const PlatformListing::Entry& entry, std::int64_t revision, Microseconds now)
    -> bool {
    auto& server = context_.directory.servers()[entry.listing.server];
    auto wasLeaving = server.listing.state == LEAVING;
    noteIncarnation(server, entry.listing.inc, now);
    server.listing = entry.listing;
    server.listing.revision = revision;
    server.listedAt = now;
    server.slowStartUntil = entry.coldMicroseconds >= 0 ? now + entry.coldMicroseconds : 0;
    return server.listing.state == LEAVING && !wasLeaving;
}

auto RosterMembership::takeListing(std::int64_t id, const PlatformListing& listing, Microseconds now)
    -> void {
    auto revision = nextRevision(listing.revision);
    if (revision < 0) return refuseSuperseded(id);
    auto listed = std::set<std::string>();
    auto pending = PendingMarks{id, {}, now + MARK_TIMEOUT, {}};
    for (auto& entry : listing.servers) {
        listed.insert(entry.listing.server);
        if (takeEntry(entry, revision, now)) pending.marks.push_back(markOf(entry.listing.server, revision));
    }
    for (auto& [name, server] : context_.directory.servers()) {
        if (listed.count(name) || server.listing.state != UP) continue;
        pending.marks.push_back(markOf(name, revision));
        server.listing.state = LEAVING;
        server.listing.revision = revision;
        server.listedAt = now;
    }
    listingTakenAt_ = now;
    context_.counters.add("listings_taken_total");
    refreshOwnRecord();
    context_.nextHeartbeatAt = now;
    if (!pending.marks.empty()) {
        pendingMarks_.push_back(pending);
        return;
    }
    context_.port.done(id, {200, "{\"listed\":" + fmt::to_string(listed.size()) + "}"});
}

auto RosterMembership::takeDrainMark(
    std::int64_t id, const std::string& server, std::int64_t platformRevision, Microseconds now) -> void {
    auto revision = nextRevision(platformRevision);
    if (revision < 0) return refuseSuperseded(id);
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
    pendingMarks_.push_back({id, {markOf(server, revision)}, now + MARK_TIMEOUT, {}});
}

auto RosterMembership::majoritiesHold(PendingMarks& pending, Microseconds now) const -> bool {
    auto holds = [&](const wire::NodeRecord& record) {
        return std::all_of(pending.marks.begin(), pending.marks.end(), [&](const wire::DrainMark& wanted) {
            return std::any_of(record.marks.begin(), record.marks.end(), [&](const wire::DrainMark& held) {
                return held.server == wanted.server && held.revision >= wanted.revision;
            });
        });
    };
    return majorityHolds(context_, pending.proof, holds, now);
}

auto RosterMembership::answerPlatform(Microseconds now) -> void {
    for (auto i = std::size_t(0); i < pendingMarks_.size();) {
        auto& pending = pendingMarks_[i];
        auto held = majoritiesHold(pending, now);
        if (!held && now < pending.due) {
            i++;
            continue;
        }
        auto id = pending.id;
        pendingMarks_.erase(pendingMarks_.begin() + std::ptrdiff_t(i));
        auto unconfirmed = Fault{"/", "a majority has not confirmed this; tell it to another node"};
        context_.port.done(
            id, held ? Outcome{200, "{\"held\":true}"} : Outcome{503, errorBody({unconfirmed})});
    }
}

}  // namespace duneturn
