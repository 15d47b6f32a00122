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

/// The number of sent heartbeats whose times are kept. At one every 0.2 s they span more than six leases; the
/// span is shorter on a node that also forwards its parent's heartbeats to its children.
static constexpr std::size_t MAX_SENT_HEARTBEATS = 64;
/// The number of peers that receive heartbeats in addition to the neighbours in the dissemination tree, in
/// case the tree has gaps (dissemination_tree.hpp).
static constexpr std::size_t EXTRA_PEERS = 3;
/// The minimum interval between two requests for the replicated state; one round trip between regions.
static constexpr Microseconds STATE_REQUEST_INTERVAL = 50 * MILLISECOND;
/// Time within which majorities must confirm the drain marks of a request. After that the request is answered
/// with status 503, and the platform repeats it at another node.
static constexpr Microseconds MARK_TIMEOUT = 3 * SECOND;

// ---- own record and heartbeats

/// Adds a drain mark to the own record for each server that is draining.
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

/// With a fixed roster each server's listing has a revision; there is no numbered listing of all servers.
auto RosterMembership::hasListing() const -> bool { return false; }

auto RosterMembership::beginHeartbeat(Microseconds now) -> void {
    auto& own = context_.members.own();
    own.heartbeat++;
    heartbeatSentAt_[own.heartbeat] = now;
    while (heartbeatSentAt_.size() > MAX_SENT_HEARTBEATS) heartbeatSentAt_.erase(heartbeatSentAt_.begin());
    refreshOwnRecord();
    own.wall = context_.wall;
    own.acks.clear();
    for (auto& [name, known] : context_.members.others()) {
        if (now - known.lastHeartbeatAt >= STOP_RELAYING_TIMEOUT) continue;
        auto ack = wire::HeartbeatAck();
        ack.node = name;
        ack.boot = known.record.boot;
        ack.heartbeat = known.record.heartbeat;
        own.acks.push_back(ack);
    }
}

auto RosterMembership::receiversOf(Receivers receivers, Microseconds now) const -> std::set<std::string> {
    auto& ownName = context_.members.own().node;
    auto tree = context_.tree(now);
    auto names = std::set<std::string>();
    for (auto& child : tree.childrenOf(ownName)) names.insert(child);
    if (receivers == Receivers::Children) return names;
    if (auto parent = tree.parentOf(ownName); !parent.empty()) names.insert(parent);
    // Rendezvous hashing selects the extra peers of this node.
    auto others = context_.members.aliveNodes(now);
    others.erase(std::remove(others.begin(), others.end(), ownName), others.end());
    std::sort(others.begin(), others.end(), [&](auto& left, auto& right) {
        return rendezvousRank(ownName, left) > rendezvousRank(ownName, right);
    });
    for (auto i = std::size_t(0); i < others.size() && i < EXTRA_PEERS; i++) names.insert(others[i]);
    for (auto& [name, known] : context_.members.others())
        if (context_.isVoter(known.record)) names.insert(name);
    return names;
}

auto RosterMembership::heartbeatEnvelope(Microseconds now) const -> wire::Envelope {
    auto heartbeat = wire::Heartbeat();
    heartbeat.records.push_back(context_.members.own());
    for (auto& [name, known] : context_.members.others())
        if (now - known.lastHeartbeatAt < STOP_RELAYING_TIMEOUT) heartbeat.records.push_back(known.record);
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
        // One seed or saved address per round, in turn, also receives the heartbeat. This reconnects the
        // parts of a partitioned fleet, even if the nodes at these addresses have been replaced meanwhile.
        auto& address = context_.nextInTurn(context_.peerHints);
        if (address != own.peer) context_.port.send(address, envelope);
    }
    context_.counters.add("beats_sent_total");
}

auto RosterMembership::sendHeartbeats(Microseconds now) -> void { send(Receivers::All, now); }
auto RosterMembership::heartbeatInterval(Microseconds) const -> Microseconds {
    return context_.timeouts.heartbeat;
}

// ---- receiving

auto RosterMembership::handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void {
    auto& ownName = context_.members.own().node;
    auto tree = context_.tree(now);
    mergeHeartbeat(envelope.heartbeat, envelope.node, now);
    auto parent = tree.parentOf(ownName);
    auto fromParent = !parent.empty() && parent == envelope.node;
    // What the parent sent is forwarded to the children at once, in an additional heartbeat of this node.
    if (fromParent && !tree.childrenOf(ownName).empty()) send(Receivers::Children, now);
}

auto RosterMembership::mergeHeartbeat(
    const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void {
    auto held = versionOf(context_.newestKnownState());
    auto newest = held;
    auto newestAddress = std::string();  // peer address of the node with the newest state; empty: this node
    for (auto& record : heartbeat.records) {
        if (!isAcceptable(record) || !mergeRecord(record, now)) continue;
        if (versionOf(record) <= newest) continue;
        newest = versionOf(record);
        newestAddress = record.peer;
    }
    for (auto& listing : heartbeat.listings) mergeListing(listing, now);
    mergeLoads(heartbeat, from, now);
    // If a record shows a newer state than this node holds, the state is requested from that record's node.
    if (newestAddress.empty() || now < nextStateRequestAt_) return;
    nextStateRequestAt_ = now + STATE_REQUEST_INTERVAL;
    context_.requestState(newestAddress, held);
}

/// Stores another node's record if it is newer than the one held. Returns whether it was stored.
auto RosterMembership::mergeRecord(const wire::NodeRecord& record, Microseconds now) -> bool {
    if (record.node == context_.members.own().node) {
        context_.refuteOwnRecord(record.boot, record.heartbeat, record.peer);
        return false;
    }
    auto& others = context_.members.others();
    auto entry = others.find(record.node);
    if (entry == others.end()) {
        if (others.size() > MAX_TABLE_ENTRIES) return false;
        entry = others.emplace(record.node, KnownNode()).first;
        logEvent("node_discovered", "node={} peer={}", record.node, record.peer);
    }
    auto& known = entry->second;
    if (std::pair(record.boot, record.heartbeat) <= std::pair(known.record.boot, known.record.heartbeat))
        return false;
    // What an earlier incarnation acknowledged does not count for the new one.
    if (known.record.boot != record.boot) known.acknowledgedSince = 0;
    if (!known.lastHeartbeatAt || !context_.members.isAlive(known, now))
        context_.counters.add("node_heard_again_total");
    known.record = record;
    known.lastHeartbeatAt = now;
    known.recordAt = now;
    mergeAcknowledgements(known);
    mergeDrainMarks(record, now);
    return true;
}

/// Looks up when this node sent the heartbeats that the other node's record acknowledges.
auto RosterMembership::mergeAcknowledgements(KnownNode& known) -> void {
    auto& own = context_.members.own();
    for (auto& ack : known.record.acks) {
        if (ack.node != own.node || ack.boot != own.boot) continue;
        auto sent = heartbeatSentAt_.find(ack.heartbeat);
        if (sent != heartbeatSentAt_.end())
            known.acknowledgedSince = std::max(known.acknowledgedSince, sent->second);
    }
}

auto RosterMembership::mergeDrainMarks(const wire::NodeRecord& record, Microseconds now) -> void {
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
        if (servers.size() > MAX_TABLE_ENTRIES) return;
        entry = servers.emplace(listing.server, KnownServer()).first;
        entry->second.firstSeenAt = now;
    }
    auto& server = entry->second;
    auto& held = server.listing;
    if (listing.revision < held.revision) return;
    // For equal revisions LEAVING takes precedence over UP: the drain mark may have arrived before the
    // listing.
    if (listing.revision == held.revision && held.state > listing.state) return;
    // The same listing again only confirms the one held, unless that has no address, as after a drain mark
    // for an unknown server.
    if (listing.revision == held.revision && held.state == listing.state && !held.address.empty()) {
        server.listedAt = std::max(server.listedAt, now - listing.age);
        return;
    }
    resetOnNewIncarnation(server, listing.inc, now);
    held = listing;
    server.listedAt = now - listing.age;
    server.slowStartUntil = listing.cold > 0 ? now + listing.cold : 0;
    listingIssuedAt_ = std::max(listingIssuedAt_, server.listedAt);
}

auto RosterMembership::mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now)
    -> void {
    // Reports that waited unread while this process was suspended are older than their age field says. The
    // age is reliable again once the sending node has acknowledged a heartbeat that this node sent after
    // resuming.
    auto source = context_.members.others().find(from);
    auto resumedAt = context_.resumedAt;
    auto agesReliable = !resumedAt
        || (source != context_.members.others().end() && source->second.acknowledgedSince >= resumedAt);
    if (!agesReliable) return;
    for (auto& load : heartbeat.loads) {
        auto server = context_.directory.find(load.server);
        if (!server || load.age < 0 || now - load.age <= server->loadReadAt) continue;
        server->load = load;
        server->loadReadAt = now - load.age;
    }
}

// ---- periodic work

auto RosterMembership::scanDue(Microseconds) -> bool { return true; }
auto RosterMembership::listingTimeout() const -> Microseconds { return LISTING_TIMEOUT; }
auto RosterMembership::serverExpired(const wire::ServerListing&) -> void {}

auto RosterMembership::tick(Microseconds now, bool) -> void {
    auto& own = context_.members.own();
    if (own.settled || context_.state.version == 0) return;
    if (!majorityConfirms(context_, VotersCounted::All, now)) return;
    // If the settled nodes alone are too few to confirm the state, for example after all nodes restarted, a
    // listing that the platform issued after this node's start is required in addition.
    auto confirmedBySettled = majorityConfirms(context_, VotersCounted::SettledOnly, now);
    if (!confirmedBySettled && listingIssuedAt_ <= context_.startedAt) return;
    own.settled = true;
    logEvent("node_settled", "epoch={} version={}", context_.state.epoch, context_.state.version);
}

auto RosterMembership::placeVoters(Microseconds now) -> void {
    if (context_.voter->leads()) context_.voter->setSpareDisks(rosterSpareDisks(context_, now));
}

auto RosterMembership::beginEpochIfDue(Microseconds now) -> void {
    if (!context_.members.leaderNode(now).empty()) return epochTimer_.reset();
    auto& others = context_.members.others();
    auto anyNodeHoldsState = context_.state.version > 0
        || std::any_of(
            others.begin(), others.end(), [](auto& entry) { return entry.second.record.stateVersion > 0; });
    if (anyNodeHoldsState) recoverFromRoster(context_, epochTimer_, now);
    else bootstrapFromRoster(context_, epochTimer_, now);
}

// ---- replicated state

auto RosterMembership::withinLease(Microseconds now) const -> bool {
    if (context_.faults.ignoreLease) return context_.state.version > 0;
    return context_.state.version > 0 && context_.members.own().settled
        && majorityConfirms(context_, VotersCounted::SettledOnly, now);
}

auto RosterMembership::majorityReachable(Microseconds now) const -> bool { return withinLease(now); }

auto RosterMembership::acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now) -> bool {
    auto needed = StateVersion{context_.state.epoch, version};
    auto holds = [&](const wire::NodeRecord& record) { return versionOf(record) >= needed; };
    return majorityHolds(context_, proof, holds, now);
}

auto RosterMembership::actsOnReceivedState() const -> bool { return false; }
auto RosterMembership::sendsStateTo(const wire::NodeRecord&) const -> bool { return true; }
auto RosterMembership::lastLeader() const -> std::string { return ""; }
/// A planned stop has nothing to wait for, because a voter is replaced only by a disk of its own node
/// (rosterSpareDisks).
auto RosterMembership::voteHandedOver(Microseconds) const -> bool { return true; }

// ---- requests of the platform

/// Returns the revision for a listing or drain mark from the platform: the platform's own number, or one
/// above the highest known revision if the platform does not number them (0). Returns -1 if the platform's
/// number is not above the highest known one, because the request was delayed or repeated.
auto RosterMembership::nextRevision(std::int64_t platformRevision) const -> std::int64_t {
    auto highest = context_.directory.highestRevision();
    if (!platformRevision || context_.faults.acceptSupersededListing) return highest + 1;
    return platformRevision > highest ? platformRevision : -1;
}

auto RosterMembership::rejectSuperseded(std::int64_t id) -> void {
    auto body = bodyOf({{"error", jsonQuote("superseded by a newer listing or drain mark")},
        {"revision", fmt::to_string(context_.directory.highestRevision())}});
    context_.port.done(id, {409, body});
}

static auto drainMark(const std::string& server, std::int64_t revision) -> wire::DrainMark {
    auto mark = wire::DrainMark();
    mark.server = server;
    mark.revision = revision;
    return mark;
}

/// Stores one server of the platform's listing. Returns whether the server begins to drain with this entry.
auto RosterMembership::applyEntry(
    const PlatformListing::Entry& entry, std::int64_t revision, Microseconds now) -> bool {
    auto& server = context_.directory.servers()[entry.listing.server];
    auto wasLeaving = server.listing.state == LEAVING;
    resetOnNewIncarnation(server, entry.listing.inc, now);
    server.listing = entry.listing;
    server.listing.revision = revision;
    server.listedAt = now;
    server.slowStartUntil = entry.slowStartMicroseconds >= 0 ? now + entry.slowStartMicroseconds : 0;
    return server.listing.state == LEAVING && !wasLeaving;
}

auto RosterMembership::applyListing(std::int64_t id, const PlatformListing& listing, Microseconds now)
    -> void {
    auto revision = nextRevision(listing.revision);
    if (revision < 0) return rejectSuperseded(id);
    auto listed = std::set<std::string>();
    auto pending = PendingMarks{id, {}, now + MARK_TIMEOUT, {}};
    for (auto& entry : listing.servers) {
        listed.insert(entry.listing.server);
        if (applyEntry(entry, revision, now))
            pending.marks.push_back(drainMark(entry.listing.server, revision));
    }
    // A server that the listing omits begins to drain.
    for (auto& [name, server] : context_.directory.servers()) {
        if (listed.count(name) || server.listing.state != UP) continue;
        pending.marks.push_back(drainMark(name, revision));
        server.listing.state = LEAVING;
        server.listing.revision = revision;
        server.listedAt = now;
    }
    listingIssuedAt_ = now;
    context_.counters.add("listings_taken_total");
    refreshOwnRecord();
    context_.nextHeartbeatAt = now;
    if (!pending.marks.empty()) {
        pendingMarks_.push_back(pending);
        return;
    }
    context_.port.done(id, {200, "{\"listed\":" + fmt::to_string(listed.size()) + "}"});
}

auto RosterMembership::applyDrainMark(
    std::int64_t id, const std::string& server, std::int64_t platformRevision, Microseconds now) -> void {
    auto revision = nextRevision(platformRevision);
    if (revision < 0) return rejectSuperseded(id);
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
    pendingMarks_.push_back({id, {drainMark(server, revision)}, now + MARK_TIMEOUT, {}});
}

/// Whether majorities hold all drain marks of the request, each in this or a later revision.
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
        if (!held && now < pending.deadline) {
            i++;
            continue;
        }
        auto id = pending.id;
        pendingMarks_.erase(pendingMarks_.begin() + std::ptrdiff_t(i));
        auto unconfirmed =
            Fault{"/", "not confirmed by a majority in time; repeat the request at another node"};
        context_.port.done(
            id, held ? Outcome{200, "{\"held\":true}"} : Outcome{503, errorBody({unconfirmed})});
    }
}

}  // namespace duneturn
