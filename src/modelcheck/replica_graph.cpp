#include "modelcheck/replica_graph.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace duneturn::modelcheck {

namespace {

template <class T>
auto serialized(const T& value) -> std::string {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol = apache::thrift::protocol::TBinaryProtocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

auto serialized(const DiskState& state) -> std::string {
    auto text = fmt::format("{} {} {} {} {} {} {} {}\n", state.disk, state.epoch, state.term, state.commit,
        state.snapshotIndex, state.snapshotTerm, state.vote, state.snapshotDocument);
    for (auto& entry : state.log) text += serialized(entry);
    return text;
}

}  // namespace

auto ReplicaGraph::boot(const DiskState& disk, const std::string& newDiskId) -> ReplicaId {
    auto key = serialized(disk) + "\n" + newDiskId;
    auto [place, isNew] = boots_.emplace(key, ReplicaId(nodes_.size()));
    if (!isNew) return place->second;
    auto id = place->second;
    starts_[id] = {disk, newDiskId};
    auto replica = std::make_unique<Replica>(disk, newDiskId, broken_);
    auto start = ReplicaNode();
    start.parent = id;
    add(std::move(start), replica->takeOutput(), *replica);
    live_ = std::move(replica);
    liveId_ = id;
    return id;
}

auto ReplicaGraph::step(ReplicaId from, const InputKey& input) -> ReplicaId {
    auto known = children_[from].find(input);
    if (known != children_[from].end()) return known->second;
    auto replica = rebuild(from);
    auto output = replica->step(inputOf(input));
    auto next = ReplicaNode();
    next.parent = from;
    next.input = input;
    auto id = add(std::move(next), std::move(output), *replica);
    children_[from].emplace(input, id);
    live_ = std::move(replica);
    liveId_ = id;
    return id;
}

auto ReplicaGraph::restart(ReplicaId id, std::size_t kept) -> ReplicaId {
    auto key = std::pair(id, kept);
    if (auto known = restarts_.find(key); known != restarts_.end()) return known->second;
    auto disk = rebuild(id)->diskAfterCrash(kept);
    auto started = boot(disk, nodes_[id].seen.disk);
    restarts_.emplace(key, started);
    return started;
}

auto ReplicaGraph::add(ReplicaNode node, StepOutput output, const Replica& replica) -> ReplicaId {
    node.seen = replica.observe();
    for (auto& sent : output.sent) node.sent.push_back({sent.toDisk, internMessage(sent.envelope)});
    node.applied = std::move(output.applied);
    node.answers = std::move(output.answers);
    node.cuts = std::move(output.cuts);
    nodes_.push_back(std::move(node));
    children_.emplace_back();
    return ReplicaId(nodes_.size() - 1);
}

auto ReplicaGraph::internMessage(const wire::Envelope& envelope) -> MessageId {
    auto [place, isNew] = messageIds_.emplace(serialized(envelope), MessageId(messages_.size()));
    if (isNew) messages_.push_back(envelope);
    return place->second;
}

auto ReplicaGraph::inputOf(const InputKey& key) const -> Input {
    auto input = Input();
    input.kind = key.kind;
    input.number = key.number;
    input.node = key.node;
    input.disk = key.disk;
    if (key.kind == InputKind::Deliver) input.message = &messages_[key.number];
    return input;
}

auto ReplicaGraph::rebuild(ReplicaId id) -> std::unique_ptr<Replica> {
    if (live_ && liveId_ == id) return std::move(live_);
    auto path = std::vector<ReplicaId>();
    auto at = id;
    for (; nodes_[at].parent != at; at = nodes_[at].parent) path.push_back(at);
    auto& start = starts_.at(at);
    auto replica = std::make_unique<Replica>(start.disk, start.newDiskId, broken_);
    replica->takeOutput();
    std::reverse(path.begin(), path.end());
    for (auto step : path) replica->step(inputOf(nodes_[step].input));
    return replica;
}

}  // namespace duneturn::modelcheck
