// Node: what comes from other nodes and from the voter, and what goes to them.
#include <algorithm>
#include <cstdint>
#include <string>

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
    if (has.replicatedState) stateReceiver_.handleWhole(envelope.replicatedState, now);
    if (has.stateChange) stateReceiver_.handleChange(envelope.stateChange, envelope.node, now);
    if (has.replicatedStateRequest) handleStateRequest(envelope.replicatedStateRequest, envelope.node);
    if (has.orderRequest) serveOrder(envelope.orderRequest, now);
    if (has.orderReply) orderClient_.answered(envelope.orderReply, context_.members.own().boot, now);
    if (has.creditGrant) handleCreditGrant(envelope.creditGrant, envelope.node);
    quota_.handle(envelope);
    if (context_.voter && !envelope.disk.empty()) {
        context_.voter->handle(envelope, now);
        orderService_.tick(*context_.voter, context_.wall, now);
    }
}

auto Node::onDiskWriteDone(std::int64_t seq, bool ok, Microseconds now) -> void {
    noticeFreeze(now);
    if (context_.voter) context_.voter->onDiskWriteDone(seq, ok, now);
    protocol_->refreshOwnRecord();
    orderService_.tick(*context_.voter, context_.wall, now);
}

// ---- the replicated state

auto Node::handleStateRequest(const wire::ReplicatedStateRequest& request, const std::string& from) -> void {
    if (auto record = context_.members.find(from)) context_.statePublisher.answer(record->peer, request);
}

auto Node::sendStateDown() -> void {
    auto children = context_.tree(context_.now).childrenOf(context_.members.own().node);
    context_.statePublisher.keepOnly(children);
    for (auto& child : children) {
        auto record = context_.members.find(child);
        if (record && protocol_->sendsStateTo(*record)) context_.statePublisher.push(*record);
    }
}

auto Node::takeNewerState(const ReplicatedState& state) -> bool {
    if (versionOf(state) <= versionOf(context_.state) && !context_.faults.acceptOldState) return false;
    context_.setState(state);
    protocol_->refreshOwnRecord();
    return true;
}

auto Node::announceState() -> void {
    quota_.stateChanged();
    if (onStateChange) onStateChange();
    sendStateDown();
    if (protocol_->announcesStateAtOnce())
        context_.nextHeartbeatAt = std::min(context_.nextHeartbeatAt, context_.now + NEW_STATE_HEARTBEAT);
}

auto Node::adoptReceived(const ReplicatedState& state, const wire::StateChange* change) -> void {
    if (!takeNewerState(state)) return;
    if (change) context_.statePublisher.noteSteps(*change);
    announceState();
}

auto Node::onStateApplied(const ReplicatedState& state, const AppliedEntry& applied) -> void {
    if (takeNewerState(state)) {
        if (applied.entry) context_.statePublisher.noteEntry(*applied.entry);
        announceState();
    }
    orderService_.applied(applied.key, state.version, applied.outcome);
}

auto Node::sendToReplica(const std::string& disk, wire::Envelope& envelope) -> void {
    envelope.node = context_.members.own().node;
    if (auto known = context_.members.withDisk(disk)) context_.port.send(known->record.peer, envelope);
}

auto Node::writeToDisk(const DiskWrite& write) -> void { context_.port.disk(write); }

auto Node::onReadDone(std::int64_t id, bool ok) -> void { orderService_.readDone(*context_.voter, id, ok); }

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

auto Node::onOrderDone(std::int64_t id, const Outcome& outcome) -> void { context_.port.done(id, outcome); }

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
    if (onCreditGrant) onCreditGrant(grant.credit);
}

auto Node::setCredit(std::int64_t credit, std::int64_t want) -> void {
    context_.members.own().credit = credit;
    context_.members.own().want = want;
}

}  // namespace duneturn
