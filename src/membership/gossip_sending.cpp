// GossipMembership: which nodes are sent heartbeats, and with what content.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.hpp"
#include "membership/gossip_membership.hpp"

namespace duneturn {

/// Interval at which all records are sent to a neighbour again, because earlier messages may have been lost.
static constexpr Microseconds RESEND_ALL_INTERVAL = 15 * SECOND;
/// A shift of the calendar clock by less than this is not disseminated.
static constexpr Microseconds CLOCK_TOLERANCE = 1 * SECOND;
/// A listing that is not confirmed within this many heartbeats is sent again.
static constexpr int LISTING_RETRY_HEARTBEATS = 3;
/// A neighbour that has been sent nothing for this many heartbeats is forgotten.
static constexpr int NEIGHBOUR_KEPT_HEARTBEATS = 10;
/// A parent that has not sent anything for 5/2 heartbeats counts as silent.
static constexpr int SILENT_PARENT_HALF_HEARTBEATS = 5;
/// How many addresses a node that knows no other node asks at a time.
static constexpr std::size_t ISOLATED_REQUESTS = 3;

/// The fields that other nodes act on; a change of one makes a new version of the record. The version of the
/// replicated state changes at every node with each order, so it is sent with the heartbeat counter instead.
static auto significantFields(const wire::NodeRecord& record) {
    return std::tie(record.peer, record.clientAddress, record.operatorAddress, record.epoch, record.settled,
        record.disk, record.blank, record.term, record.leader, record.ready, record.stopping, record.boot);
}

/// Whether a retry budget differs by more than a quarter from the value sent last.
static auto differsSignificantly(std::int64_t value, std::int64_t sent) -> bool {
    return std::abs(value - sent) * 4 > std::abs(sent) + 4;
}

auto GossipMembership::updateOwnVersion(Microseconds now) -> void {
    refreshOwnRecord();
    auto& own = context_.members.own();
    own.wall = context_.wall;
    auto clockOffset = context_.wall - now;
    if (own.version && significantFields(own) == significantFields(lastSentOwnRecord_)
        && std::abs(clockOffset - sentClockOffset_) < CLOCK_TOLERANCE
        && !differsSignificantly(own.credit, lastSentOwnRecord_.credit)
        && !differsSignificantly(own.want, lastSentOwnRecord_.want))
        return;
    own.version++;
    if (own.leader != lastSentOwnRecord_.leader) {
        leader_ = context_.members.leaderNode(now);
        treeBuiltAt_ = 0;
    }
    lastSentOwnRecord_ = own;
    sentClockOffset_ = clockOffset;
}

auto GossipMembership::currentTree(Microseconds now) -> const DisseminationTree& {
    if (!treeBuiltAt_ || now - treeBuiltAt_ >= context_.timeouts.heartbeat / 4) {
        tree_ = context_.tree(now);
        treeBuiltAt_ = now;
    }
    return tree_;
}

auto GossipMembership::updateParent(Microseconds now) -> std::string {
    auto parent = currentTree(now).parentOf(context_.members.own().node);
    if (parent != parent_) {
        parent_ = parent;
        parentSince_ = now;
    }
    return parent;
}

auto GossipMembership::sendHeartbeats(Microseconds now) -> void {
    auto& own = context_.members.own();
    own.heartbeat++;
    updateOwnVersion(now);
    auto parent = updateParent(now);
    auto neighbours = std::set<std::string>();
    for (auto& child : currentTree(now).childrenOf(own.node)) neighbours.insert(child);
    if (!parent.empty()) neighbours.insert(parent);
    for (auto& name : neighbours) sendTo(name, Extent::Changes, now);
    if (context_.voter) sendToVoters(neighbours, now);
    reestablishContact(parent, now);
    dropOldNeighbours(now);
    context_.counters.add("beats_sent_total");
}

/// Nodes with disks send to each other regardless of the tree, so that voters always know each other's
/// address.
auto GossipMembership::sendToVoters(const std::set<std::string>& alreadySent, Microseconds now) -> void {
    for (auto& [name, known] : context_.members.others()) {
        if (alreadySent.count(name) || known.record.disk.empty()) continue;
        if (context_.members.isAlive(known, now) || context_.isVoter(known.record))
            sendTo(name, Extent::OwnRecord, now);
    }
}

/// If no leader is known or the parent is silent, requests all that is known from the leader, and from the
/// seeds, hints and known nodes in turn.
auto GossipMembership::reestablishContact(const std::string& parent, Microseconds now) -> void {
    auto& members = context_.members;
    auto leader = members.leaderNode(now);
    auto parentSilent = false;
    if (!parent.empty()) {
        auto contactAt = std::max(members.others().at(parent).lastDirectContactAt, parentSince_);
        parentSilent = now - contactAt > context_.timeouts.heartbeat * SILENT_PARENT_HALF_HEARTBEATS / 2;
    }
    if (!leader.empty() && !parentSilent) return;
    auto addresses = contactAddresses();
    auto requests = members.aliveNodes(now).size() < 2 ? ISOLATED_REQUESTS : std::size_t(1);
    if (parentSilent && !leader.empty() && leader != parent && leader != members.own().node)
        requestFullSync(members.find(leader)->peer);
    for (auto i = std::size_t(0); i < requests && i < addresses.size(); i++)
        requestFullSync(context_.nextInTurn(addresses));
}

auto GossipMembership::contactAddresses() const -> std::vector<std::string> {
    auto addresses = context_.peerHints;
    for (auto& [name, known] : context_.members.others())
        if (std::find(addresses.begin(), addresses.end(), known.record.peer) == addresses.end())
            addresses.push_back(known.record.peer);
    std::erase(addresses, context_.members.own().peer);
    return addresses;
}

auto GossipMembership::requestFullSync(const std::string& address) -> void {
    auto heartbeat = wire::Heartbeat();
    heartbeat.records.push_back(context_.members.own());
    heartbeat.wantsAll = true;
    heartbeat.listingNumber = listing_.number();
    auto envelope = context_.envelope();
    envelope.__set_heartbeat(heartbeat);
    context_.port.send(address, envelope);
    context_.counters.add("asked_total");
}

auto GossipMembership::dropOldNeighbours(Microseconds now) -> void {
    auto kept = NEIGHBOUR_KEPT_HEARTBEATS * context_.timeouts.heartbeat;
    std::erase_if(neighbours_, [&](auto& entry) { return now - entry.second.sentAt > kept; });
    std::erase_if(
        missingRecords_, [&](auto& entry) { return context_.members.others().count(entry.first) == 0; });
}

// ---- the content of one heartbeat

static auto isEmpty(const wire::Heartbeat& heartbeat) -> bool {
    return heartbeat.records.empty() && heartbeat.heartbeatPulses.empty() && heartbeat.wantedRecords.empty()
        && heartbeat.loads.empty() && heartbeat.listingBase < 0;
}

auto GossipMembership::sendTo(const std::string& name, Extent extent, Microseconds now) -> void {
    auto& own = context_.members.own();
    auto receiver = context_.members.find(name);
    if (!receiver || name == own.node) return;
    auto& neighbour = neighbours_[name];
    neighbour.sentAt = now;
    if (now - neighbour.recordsResetAt >= RESEND_ALL_INTERVAL) {
        neighbour.recordsResetAt = now;
        neighbour.records.clear();
    }
    if (extent == Extent::Everything) neighbour.records.clear();
    neighbour.readsStateVersions = receiver->readsChanges;
    auto heartbeat = wire::Heartbeat();
    addRecord(heartbeat, neighbour, own, now);
    if (extent != Extent::OwnRecord) {
        addOtherRecords(heartbeat, neighbour, name, extent, now);
        addListing(heartbeat, neighbour, name, extent, now);
        addLoads(heartbeat, neighbour, name, extent, now);
    }
    addMissingRecords(heartbeat, name);
    if (isEmpty(heartbeat)) return;
    auto envelope = context_.envelope();
    envelope.__set_heartbeat(heartbeat);
    context_.port.send(receiver->peer, envelope);
}

auto GossipMembership::recordToSend(const std::string& name, Microseconds now) const -> wire::NodeRecord {
    if (name == context_.members.own().node) return context_.members.own();
    auto& known = context_.members.others().at(name);
    auto record = known.record;
    record.wall += now - known.recordAt;
    record.age = now - known.lastHeartbeatAt;
    return record;
}

auto GossipMembership::heartbeatPulseOf(const wire::NodeRecord& record) const -> wire::HeartbeatPulse {
    auto& own = context_.members.own();
    auto heartbeatPulse = wire::HeartbeatPulse();
    heartbeatPulse.node = record.node;
    heartbeatPulse.boot = record.boot;
    heartbeatPulse.heartbeat = record.heartbeat;
    heartbeatPulse.version = record.version;
    if (&record == &own || versionOf(record) != versionOf(own))
        heartbeatPulse.__set_stateVersion(record.stateVersion);
    return heartbeatPulse;
}

/// Adds the record, or only its heartbeat counter, unless the neighbour has already been sent it.
auto GossipMembership::addRecord(wire::Heartbeat& heartbeat, Neighbour& neighbour,
    const wire::NodeRecord& record, Microseconds now) const -> void {
    auto& sent = neighbour.records[record.node];
    auto stateChanged = sent.state != versionOf(record);
    auto recordChanged = sent.boot != record.boot || sent.version != record.version;
    if (recordChanged || (stateChanged && !neighbour.readsStateVersions)) {
        heartbeat.records.push_back(recordToSend(record.node, now));
    } else if (sent.heartbeat != record.heartbeat) {
        heartbeat.heartbeatPulses.push_back(heartbeatPulseOf(record));
    } else return;
    sent = {record.boot, record.version, record.heartbeat, versionOf(record)};
}

auto GossipMembership::addOtherRecords(wire::Heartbeat& heartbeat, Neighbour& neighbour,
    const std::string& name, Extent extent, Microseconds now) const -> void {
    auto& others = context_.members.others();
    for (auto& [other, known] : others) {
        if (other == name || !context_.members.isAlive(known, now)) continue;
        if (extent == Extent::Everything || known.receivedFrom != name)
            addRecord(heartbeat, neighbour, known.record, now);
    }
    std::erase_if(neighbour.records, [&](auto& entry) {
        return entry.first != context_.members.own().node && others.count(entry.first) == 0;
    });
}

auto GossipMembership::addListing(wire::Heartbeat& heartbeat, Neighbour& neighbour, const std::string& name,
    Extent extent, Microseconds now) const -> void {
    auto number = listing_.number();
    auto everything = extent == Extent::Everything;
    heartbeat.listingNumber = number;
    if (number <= 0 || neighbour.listingHeld >= number) return;
    // The parent receives listings first, so it is sent none before it has reported what it holds.
    if (neighbour.listingHeld < 0 && !everything && name == parent_) return;
    auto recentlySent =
        now - neighbour.listingSentAt < LISTING_RETRY_HEARTBEATS * context_.timeouts.heartbeat;
    if (!everything && neighbour.listingSent == number && recentlySent) return;
    auto base = neighbour.listingHeld;
    if (!everything && neighbour.listingSent > base && recentlySent) base = neighbour.listingSent;
    listing_.addChanges(heartbeat, base, now);
    neighbour.listingSent = number;
    neighbour.listingSentAt = now;
}

auto GossipMembership::addLoads(wire::Heartbeat& heartbeat, Neighbour& neighbour, const std::string& name,
    Extent extent, Microseconds now) const -> void {
    for (auto& [server, known] : context_.directory.servers()) {
        if (!hasUsableLoad(known, now) || known.loadReceivedAt <= neighbour.loadsSentAt) continue;
        if (extent == Extent::Everything || known.loadReceivedFrom != name)
            heartbeat.loads.push_back(agedLoad(known, now));
    }
    neighbour.loadsSentAt = now;
}

/// Requests the records of the nodes for which the neighbour sent only a heartbeat counter.
auto GossipMembership::addMissingRecords(wire::Heartbeat& heartbeat, const std::string& name) -> void {
    auto missing = missingRecords_.find(name);
    if (missing == missingRecords_.end()) return;
    heartbeat.wantedRecords.assign(missing->second.begin(), missing->second.end());
    missingRecords_.erase(missing);
}

}  // namespace duneturn
