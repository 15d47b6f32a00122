#pragma once
// Remembers what each input does to each replica. A replica's state follows from its disk at
// its start and the inputs since, so each (state, input) pair is executed on the real voter only
// once; all interleavings of other replicas share the result.
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "modelcheck/replica.hpp"

namespace duneturn::modelcheck {

using ReplicaId = std::uint32_t;  // a replica state of the graph
using MessageId = std::uint32_t;  // a distinct message content

/// One (state, input) pair's input, in a form that can be a key.
struct InputKey {
    InputKind kind = InputKind::Deliver;
    std::uint32_t number = 0;  // order, read, version or MessageId
    std::string node, disk;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the 0 of the generated code for a pointer
    auto operator<=>(const InputKey&) const = default;
};

struct RoutedMessage {
    std::string toDisk;
    MessageId message = 0;
};

/// One replica state, with what the step that led to it did.
struct ReplicaNode {
    ReplicaId parent = 0;  // itself for a state after a start
    InputKey input;
    Observation seen;
    std::vector<RoutedMessage> sent;
    std::vector<AppliedState> applied;
    std::vector<ReadAnswer> answers;
    std::vector<std::int64_t> cuts;
};

class ReplicaGraph {
  public:
    explicit ReplicaGraph(Voter::Broken broken) : broken_(broken) {}

    /// The state of a replica that starts from this disk.
    auto boot(const DiskState& disk, const std::string& newDiskId) -> ReplicaId;
    auto step(ReplicaId from, const InputKey& input) -> ReplicaId;
    /// The start after a loss of power that the first `kept` pending writes survived.
    auto restart(ReplicaId id, std::size_t kept) -> ReplicaId;
    auto node(ReplicaId id) const -> const ReplicaNode& { return nodes_[id]; }
    auto message(MessageId id) const -> const wire::Envelope& { return messages_[id]; }
    auto size() const -> std::size_t { return nodes_.size(); }

  private:
    struct Start {
        DiskState disk;
        std::string newDiskId;
    };
    auto add(ReplicaNode node, StepOutput output, const Replica& replica) -> ReplicaId;
    auto internMessage(const wire::Envelope& envelope) -> MessageId;
    auto inputOf(const InputKey& key) const -> Input;
    auto rebuild(ReplicaId id) -> std::unique_ptr<Replica>;

    Voter::Broken broken_;
    std::deque<ReplicaNode> nodes_;
    std::vector<std::map<InputKey, ReplicaId>> children_;
    std::map<std::string, ReplicaId> boots_;  // by the disk's content
    std::unordered_map<ReplicaId, Start> starts_;
    std::map<std::pair<ReplicaId, std::size_t>, ReplicaId> restarts_;
    std::deque<wire::Envelope> messages_;
    std::unordered_map<std::string, MessageId> messageIds_;
    ReplicaId liveId_ = 0;  // the state that live_ is in
    std::unique_ptr<Replica> live_;
};

}  // namespace duneturn::modelcheck
