// GossipMembership: merging what other nodes have sent.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/gossip_membership.hpp"

namespace duneturn {

/// Before a newer state is requested; within this time the dissemination tree usually delivers it.
static constexpr Microseconds STATE_PULL_DELAY = 100 * MILLISECOND;
/// Between two answers to the same node's requests for all that is known.
static constexpr Microseconds FULL_SYNC_INTERVAL = 100 * MILLISECOND;
/// Time after a freeze in which the messages that arrived during it are read.
static constexpr Microseconds RESUME_PERIOD = 1 * SECOND;

auto GossipMembership::handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void {
    auto& heartbeat = envelope.heartbeat;
    auto& from = envelope.node;
    auto leaderBefore = leader_;
    for (auto& record : heartbeat.records) mergeRecord(record, from, now);
    auto state = sourceState(envelope);
    for (auto& heartbeatPulse : heartbeat.heartbeatPulses)
        mergeHeartbeatPulse(heartbeatPulse, from, state, now);
    auto neighbour = neighbours_.find(from);
    if (heartbeat.listingNumber && neighbour != neighbours_.end())
        neighbour->second.listingHeld = heartbeat.listingNumber;
    mergeLoads(heartbeat, from, now);
    auto newListing = listing_.merge(heartbeat, now);
    auto source = context_.members.others().find(from);
    if (source == context_.members.others().end()) return;
    source->second.lastDirectContactAt = now;
    answerRequests(envelope, now);
    if (newListing || leader_ != leaderBefore) context_.nextHeartbeatAt = now;
}

/// Sends what the other node asks for. That node must be known.
auto GossipMembership::answerRequests(const wire::Envelope& envelope, Microseconds now) -> void {
    auto& heartbeat = envelope.heartbeat;
    auto& from = envelope.node;
    if (heartbeat.wantsAll) {
        auto& neighbour = neighbours_[from];
        if (neighbour.fullSyncAnsweredAt && now - neighbour.fullSyncAnsweredAt < FULL_SYNC_INTERVAL) return;
        neighbour.fullSyncAnsweredAt = now;
        sendTo(from, Extent::Everything, now);
        return context_.statePublisher.answer(*context_.members.find(from));
    }
    auto neighbour = neighbours_.find(from);
    if (heartbeat.wantedRecords.empty() || neighbour == neighbours_.end()) return;
    for (auto& name : heartbeat.wantedRecords) neighbour->second.records.erase(name);
    sendTo(from, Extent::Changes, now);
}

auto GossipMembership::recordHeartbeat(
    KnownNode& known, std::int64_t heartbeat, const std::string& from, Microseconds now) -> void {
    if (!context_.members.isAlive(known, now)) {
        context_.counters.add("node_heard_again_total");
        treeBuiltAt_ = 0;
    }
    known.record.heartbeat = heartbeat;
    known.lastHeartbeatAt = now;
    known.receivedFrom = from;
}

/// Takes the later of two states of one incarnation: within an incarnation the state never goes back.
static auto advanceState(wire::NodeRecord& record, StateVersion state) -> void {
    if (state <= versionOf(record)) return;
    record.epoch = state.epoch;
    record.stateVersion = state.version;
}

auto GossipMembership::mergeRecord(const wire::NodeRecord& record, const std::string& from, Microseconds now)
    -> void {
    if (!isAcceptable(record)) return;
    if (record.node == context_.members.own().node)
        return context_.refuteOwnRecord(record.boot, record.heartbeat, record.peer);
    auto& others = context_.members.others();
    auto entry = others.find(record.node);
    auto first = entry == others.end();
    if (first) {
        if (others.size() >= MAX_TABLE_ENTRIES) return;
        entry = others.emplace(record.node, KnownNode()).first;
        logEvent("node_discovered", "node={} peer={}", record.node, record.peer);
    }
    auto& known = entry->second;
    auto& held = known.record;
    auto newer = std::pair(record.boot, record.heartbeat) > std::pair(held.boot, held.heartbeat);
    if (std::pair(record.boot, record.heartbeat) < std::pair(held.boot, held.heartbeat)) return;
    if (!newer && record.version == held.version) return;
    if (held.boot != record.boot) {
        known.firstSeenAt = now;
        if (!first) neighbours_.erase(record.node);
    }
    auto leaderMayChange = held.leader || record.leader;
    auto heldState = held.boot == record.boot ? versionOf(held) : StateVersion();
    held = record;
    // The record may be older than a heartbeat pulse that has already reported a newer state.
    advanceState(held, heldState);
    known.recordAt = now;
    if (newer) recordHeartbeat(known, record.heartbeat, from, now);
    // For a newly discovered node, the age that the relaying node reports counts.
    if (first) known.lastHeartbeatAt = now - std::max<Microseconds>(0, record.age);
    if (leaderMayChange) leader_ = context_.members.leaderNode(now);
    if (first || leaderMayChange) treeBuiltAt_ = 0;
    schedulePullIfBehind(record);
}

/// If the record shows a newer state, schedules a request for it in case the tree does not deliver it.
auto GossipMembership::schedulePullIfBehind(const wire::NodeRecord& record) -> void {
    if (!nextStateRequestAt_ && versionOf(record) > versionOf(context_.state))
        nextStateRequestAt_ = context_.now + STATE_PULL_DELAY;
}

/// Returns the state that the source of a message reports to hold; empty if the message does not contain it.
auto GossipMembership::sourceState(const wire::Envelope& envelope) const -> std::optional<StateVersion> {
    auto& heartbeat = envelope.heartbeat;
    auto isSource = [&](const auto& item) { return item.node == envelope.node; };
    auto& records = heartbeat.records;
    auto record = std::find_if(records.begin(), records.end(), isSource);
    if (record != records.end())
        return record->readsChanges ? std::optional(versionOf(*record)) : std::nullopt;
    auto& heartbeatPulses = heartbeat.heartbeatPulses;
    auto heartbeatPulse = std::find_if(heartbeatPulses.begin(), heartbeatPulses.end(), isSource);
    auto held = context_.members.find(envelope.node);
    if (heartbeatPulse == heartbeatPulses.end() || !heartbeatPulse->__isset.stateVersion || !held)
        return std::nullopt;
    if (held->boot != heartbeatPulse->boot || held->version != heartbeatPulse->version) return std::nullopt;
    return StateVersion{held->epoch, heartbeatPulse->stateVersion};
}

auto GossipMembership::mergeHeartbeatPulse(const wire::HeartbeatPulse& heartbeatPulse,
    const std::string& from, const std::optional<StateVersion>& sourceState, Microseconds now) -> void {
    if (heartbeatPulse.node == context_.members.own().node)
        return context_.refuteOwnRecord(heartbeatPulse.boot, heartbeatPulse.heartbeat, "");
    auto entry = context_.members.others().find(heartbeatPulse.node);
    if (entry != context_.members.others().end()) {
        auto& held = entry->second.record;
        if (std::pair(heartbeatPulse.boot, heartbeatPulse.heartbeat) <= std::pair(held.boot, held.heartbeat))
            return;
        if (held.boot == heartbeatPulse.boot && held.version == heartbeatPulse.version) {
            recordHeartbeat(entry->second, heartbeatPulse.heartbeat, from, now);
            if (heartbeatPulse.__isset.stateVersion)
                advanceState(held, {held.epoch, heartbeatPulse.stateVersion});
            else if (sourceState && sourceState->epoch == held.epoch) advanceState(held, *sourceState);
            return schedulePullIfBehind(held);
        }
    }
    if (auto& missing = missingRecords_[from]; missing.size() < MAX_TABLE_ENTRIES)
        missing.insert(heartbeatPulse.node);
}

auto GossipMembership::mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now)
    -> void {
    // Reports that waited unread while this process was suspended are older than their age field says.
    if (context_.resumedAt && now - context_.resumedAt < RESUME_PERIOD) return;
    for (auto& load : heartbeat.loads) {
        auto server = context_.directory.find(load.server);
        if (!server || load.age < 0 || now - load.age <= server->loadReadAt) continue;
        server->load = load;
        server->loadReadAt = now - load.age;
        server->loadReceivedAt = now;
        server->loadReceivedFrom = from;
    }
}

}  // namespace duneturn
