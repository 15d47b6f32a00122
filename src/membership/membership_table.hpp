#pragma once
// The records of all nodes known here, this node's own among them. A record carries the node's incarnation
// (`boot`) and the counter of its heartbeats; the greater pair supersedes the smaller (SWIM: Das, Gupta,
// Motivala, DSN 2002, 4.2).
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// The largest number of nodes and of servers that are kept, whatever peers send.
constexpr std::size_t MAX_KNOWN = 4096;
/// The longest name of a node or server, and the longest peer address, that are accepted, in bytes.
constexpr std::size_t MAX_NAME_BYTES = 256;
constexpr std::size_t MAX_ADDRESS_BYTES = 64;

/// What is known of another node.
struct KnownNode {
    wire::NodeRecord record;
    Microseconds lastHeartbeatAt = 0;  // when the newest heartbeat of the node came, by any path
    /// Fixed roster: when that heartbeat of ours was sent which the node had received by then.
    Microseconds acknowledgedSince = 0;
    // Membership by gossip:
    Microseconds firstSeenAt = 0;   // when this life of the node was first known
    Microseconds recordAt = 0;      // when the record itself came
    Microseconds lastDirectAt = 0;  // when the node last sent something to this one
    std::string receivedFrom;       // who passed on its newest heartbeat
};

/// The position of a replicated state; the greater one is the newer.
struct StateVersion {
    std::int64_t epoch = 0, version = 0;
    auto operator<=>(const StateVersion&) const = default;  // NOLINT(modernize-use-nullptr): false alarm
};
[[nodiscard]] auto versionOf(const wire::NodeRecord& record) -> StateVersion;
[[nodiscard]] auto versionOf(const ReplicatedState& state) -> StateVersion;

/// Whether a record that a peer sent may be taken: its name and address are of acceptable length.
[[nodiscard]] auto acceptable(const wire::NodeRecord& record) -> bool;

class MembershipTable {
  public:
    explicit MembershipTable(Microseconds aliveTimeout) : aliveTimeout_(aliveTimeout) {}

    /// This node's record.
    auto own() -> wire::NodeRecord& { return own_; }
    [[nodiscard]] auto own() const -> const wire::NodeRecord& { return own_; }
    /// The other nodes by name.
    auto others() -> std::map<std::string, KnownNode>& { return others_; }
    [[nodiscard]] auto others() const -> const std::map<std::string, KnownNode>& { return others_; }

    /// The record of a node, which may be this one; null if it is unknown.
    [[nodiscard]] auto find(const std::string& name) const -> const wire::NodeRecord*;
    /// The other node that has this disk, of several the first by name; null if there is none.
    [[nodiscard]] auto withDisk(const std::string& disk) const -> const KnownNode*;
    [[nodiscard]] auto isAlive(const KnownNode& node, Microseconds now) const -> bool {
        return now - node.lastHeartbeatAt < aliveTimeout_;
    }
    [[nodiscard]] auto isAlive(const std::string& name, Microseconds now) const -> bool;
    /// The names of the nodes that live, this one among them, in order.
    [[nodiscard]] auto aliveNodes(Microseconds now) const -> std::vector<std::string>;
    /// The node that leads, of several the one of the highest epoch and term; empty if none is known.
    [[nodiscard]] auto leaderNode(Microseconds now) const -> std::string;
    [[nodiscard]] auto aliveTimeout() const -> Microseconds { return aliveTimeout_; }
    /// Drops the records of nodes that were silent for DROP_TIMEOUT.
    auto dropSilent(Microseconds now) -> void;

  private:
    wire::NodeRecord own_;
    std::map<std::string, KnownNode> others_;
    Microseconds aliveTimeout_;
};

}  // namespace duneturn
