// Node: what comes from other nodes and from the voter, and what goes to them.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/disaster_recovery.hpp"
#include "membership/node.hpp"

namespace duneturn {

static constexpr Microseconds NEW_STATE_HEARTBEAT = 20 * MILLISECOND;  // others soon learn what is held here

auto Node::handle(const wire::Envelope& envelope, Microseconds now) -> void {
    noticeFreeze(now);
    if (envelope.wire < WIRE - 1 || envelope.wire > WIRE + 1) {
        context_.counters.add("wire_version_dropped_total");
        return;
    }
    auto& has = envelope.__isset;
    if (has.heartbeat) protocol_->handleHeartbeat(envelope, now);
    if (has.replicatedState) handleState(envelope.replicatedState, now);
    if (has.replicatedStateRequest) handleStateRequest(envelope.replicatedStateRequest, envelope.node);
    if (has.orderRequest) serveOrder(envelope.orderRequest, now);
    if (has.orderReply) orderClient_.answered(envelope.orderReply, context_.members.own().boot, now);
    if (has.creditGrant) handleCreditGrant(envelope.creditGrant, envelope.node);
    if (context_.voter && !envelope.disk.empty()) {
        context_.voter->handle(envelope, now);
        orderService_.tick(*context_.voter, context_.wall, now);
    }
}

auto Node::diskDone(std::int64_t seq, bool ok, Microseconds now) -> void {
    noticeFreeze(now);
    if (context_.voter) context_.voter->diskDone(seq, ok, now);
    protocol_->refreshOwnRecord();
    orderService_.tick(*context_.voter, context_.wall, now);
}

// ---- the replicated state

/// The state in the message; nothing if it is malformed.
static auto stateOf(const wire::ReplicatedState& message) -> std::optional<ReplicatedState> {
    auto state = ReplicatedState();
    if (!state.load(message.document)) return std::nullopt;
    if (versionOf(state) != StateVersion{message.epoch, message.version}) return std::nullopt;
    return state;
}

auto Node::handleState(const wire::ReplicatedState& message, Microseconds now) -> void {
    if (context_.voter && !context_.voter->blank()) return handleStateAsVoter(message, now);
    auto version = StateVersion{message.epoch, message.version};
    if (!context_.faults.acceptOldState && version <= versionOf(context_.state)) {
        context_.counters.add("word_old_dropped_total");
        return;
    }
    auto state = stateOf(message);
    if (state) voterApplied(*state, "", {});
    else context_.counters.add("word_malformed_total");
}

/// A voter takes its state from its own disk only: what it says it holds must last.
auto Node::handleStateAsVoter(const wire::ReplicatedState& message, Microseconds now) -> void {
    auto& voter = *context_.voter;
    auto version = StateVersion{message.epoch, message.version};
    if (version > versionOf(context_.receivedState))
        if (auto state = stateOf(message)) context_.receivedState = *state;
    if (protocol_->actsOnReceivedState() && message.epoch == voter.epoch())
        return actOnReceivedState(message, now);
    if (message.epoch <= voter.epoch()) return;
    // Two nodes may begin an epoch at once: a disk that voted in one of those stays with it. A later one was
    // begun after a majority of these voters was seen to be lost.
    auto laterEpoch = message.epoch / EPOCH_STRIDE > voter.epoch() / EPOCH_STRIDE;
    voter.leaveCluster(laterEpoch, now);
}

/// Acts on a newer state of the voter's own epoch before its log has it, and retires the disk if the state
/// names the voters without it.
auto Node::actOnReceivedState(const wire::ReplicatedState& message, Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (message.version <= context_.state.version) return;
    auto state = stateOf(message);
    if (!state) return;
    auto voters = state->voters();
    auto votes = std::any_of(voters.begin(), voters.end(),
        [&](const VoterIdentity& identity) { return identity.disk == voter.disk(); });
    if (!votes) {
        auto newDiskId = hash64(context_.members.own().node, context_.random.next());
        voter.retire(state->version, fmt::format("{:016x}", newDiskId), now);
    }
    voterApplied(*state, "", {});
}

auto Node::handleStateRequest(const wire::ReplicatedStateRequest& request, const std::string& from) -> void {
    if (StateVersion{request.epoch, request.version} >= versionOf(context_.state)) return;
    if (auto record = context_.members.find(from)) context_.sendState(record->peer);
}

auto Node::sendStateDown() -> void {
    auto tree = context_.tree(context_.now);
    for (auto& child : tree.childrenOf(context_.members.own().node)) {
        auto record = context_.members.find(child);
        if (record && protocol_->sendsStateTo(*record)) context_.sendState(record->peer);
    }
}

auto Node::voterApplied(const ReplicatedState& state, const std::string& key, const Outcome& outcome)
    -> void {
    if (versionOf(state) > versionOf(context_.state) || context_.faults.acceptOldState) {
        context_.setState(state);
        protocol_->refreshOwnRecord();
        if (onStateChange) onStateChange();
        sendStateDown();
        context_.nextHeartbeatAt = std::min(context_.nextHeartbeatAt, context_.now + NEW_STATE_HEARTBEAT);
    }
    orderService_.applied(key, state.version, outcome);
}

auto Node::voterSend(const std::string& disk, wire::Envelope& envelope) -> void {
    envelope.node = context_.members.own().node;
    if (auto known = context_.members.withDisk(disk)) context_.port.send(known->record.peer, envelope);
}

auto Node::voterWrite(const DiskWrite& write) -> void { context_.port.disk(write); }

auto Node::voterRead(std::int64_t id, bool ok) -> void { orderService_.readDone(*context_.voter, id, ok); }

// ---- orders

auto Node::serveOrder(const wire::OrderRequest& ask, Microseconds now) -> void {
    auto from = Requester{ask.back, ask.boot, ask.id};
    auto& voter = context_.voter;
    if (!voter) answer(from, order_answer::notLeader());
    else if (ask.readback) orderService_.read(*voter, from, StateQuery::parse(ask.body), now);
    else orderService_.order(*voter, from, ask.body, context_.wall, now);
}

auto Node::answer(const Requester& to, const Outcome& outcome) -> void {
    auto reply = wire::OrderReply();
    reply.id = to.request;
    reply.status = outcome.status;
    reply.body = outcome.body;
    reply.__set_boot(to.boot);
    auto envelope = context_.envelope();
    envelope.__set_orderReply(reply);
    if (to.address == context_.members.own().peer) handle(envelope, context_.now);
    else context_.port.send(to.address, envelope);
}

auto Node::acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now) -> bool {
    return protocol_->acknowledged(proof, version, now);
}

auto Node::findLeader(Microseconds now) -> std::string { return leaderNode(now); }
auto Node::lastLeader() -> std::string { return protocol_->lastLeader(); }

auto Node::sendOrder(const std::string& node, wire::OrderRequest& ask, Microseconds now) -> void {
    auto& own = context_.members.own();
    ask.back = own.peer;
    if (node == own.node) return serveOrder(ask, now);
    auto record = context_.members.find(node);
    if (!record) return;
    auto envelope = context_.envelope();
    envelope.__set_orderRequest(ask);
    context_.port.send(record->peer, envelope);
}

auto Node::orderDone(std::int64_t id, const Outcome& outcome) -> void { context_.port.done(id, outcome); }

// ---- retry budget

auto Node::grantCredit(const std::string& node, std::int64_t credit, Microseconds) -> void {
    auto record = context_.members.find(node);
    if (!record) return;
    auto grant = wire::CreditGrant();
    grant.node = context_.members.own().node;
    grant.boot = record->boot;
    grant.seq = ++grantsGiven_ + context_.members.own().boot;
    grant.credit = credit;
    auto envelope = context_.envelope();
    envelope.__set_creditGrant(grant);
    context_.port.send(record->peer, envelope);
}

auto Node::handleCreditGrant(const wire::CreditGrant& grant, const std::string& from) -> void {
    if (grant.boot != context_.members.own().boot) return;
    auto& taken = grantsTaken_[from];
    if (grant.seq <= taken) return;
    taken = grant.seq;
    if (onGrant) onGrant(grant.credit);
}

auto Node::setCredit(std::int64_t credit, std::int64_t want) -> void {
    context_.members.own().credit = credit;
    context_.members.own().want = want;
}

}  // namespace duneturn
