#pragma once
// The records of all known nodes, including this node's own record. A record carries the node's incarnation
// number (`boot`) and its heartbeat counter; the greater pair supersedes the smaller (SWIM: Das, Gupta,
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

/// Limit on the number of nodes, and on the number of servers, that are kept; it bounds the memory that
/// received messages can make a node use.
constexpr std::size_t MAX_TABLE_ENTRIES = 4096;
/// The longest accepted name of a node or server.
constexpr std::size_t MAX_NAME_BYTES = 256;
/// The longest accepted peer address.
constexpr std::size_t MAX_ADDRESS_BYTES = 64;

/// What is known of another node.
struct KnownNode {
    wire::NodeRecord record;
    Microseconds lastHeartbeatAt = 0;  // when its newest heartbeat was received, by any path
    /// Fixed roster: when this node sent the newest of its heartbeats that the other node has acknowledged.
    /// The other node's record is not older than that. 0 if it has acknowledged none.
    Microseconds acknowledgedSince = 0;
    // Gossip membership:
    Microseconds firstSeenAt = 0;          // when this incarnation was first known
    Microseconds recordAt = 0;             // when the record itself was received
    Microseconds lastDirectContactAt = 0;  // when the node itself last sent a heartbeat
    std::string receivedFrom;              // the node that relayed its newest heartbeat
};

/// The epoch and version of a replicated state; the greater value is the newer state.
struct StateVersion {
    std::int64_t epoch = 0, version = 0;
    auto operator<=>(const StateVersion&) const = default;  // NOLINT(modernize-use-nullptr): false alarm
};
[[nodiscard]] auto versionOf(const wire::NodeRecord& record) -> StateVersion;
[[nodiscard]] auto versionOf(const ReplicatedState& state) -> StateVersion;

/// Whether a received record's name and address have an acceptable length.
[[nodiscard]] auto isAcceptable(const wire::NodeRecord& record) -> bool;

/// The records of this node and of all others known to it.
class MembershipTable {
  public:
    /// `aliveTimeout`: time without a heartbeat after which a node counts as failed.
    explicit MembershipTable(Microseconds aliveTimeout) : aliveTimeout_(aliveTimeout) {}

    /// This node's record.
    auto own() -> wire::NodeRecord& { return own_; }
    [[nodiscard]] auto own() const -> const wire::NodeRecord& { return own_; }
    /// The other nodes by name.
    auto others() -> std::map<std::string, KnownNode>& { return others_; }
    [[nodiscard]] auto others() const -> const std::map<std::string, KnownNode>& { return others_; }

    /// The record of a node, which may be this node; null if it is unknown.
    [[nodiscard]] auto find(const std::string& name) const -> const wire::NodeRecord*;
    /// The other node that has this disk, or the first by name if there are several; null if there is none.
    [[nodiscard]] auto withDisk(const std::string& disk) const -> const KnownNode*;
    [[nodiscard]] auto isAlive(const KnownNode& node, Microseconds now) const -> bool {
        return now - node.lastHeartbeatAt < aliveTimeout_;
    }
    [[nodiscard]] auto isAlive(const std::string& name, Microseconds now) const -> bool;
    /// The sorted names of the nodes that are alive, including this node.
    [[nodiscard]] auto aliveNodes(Microseconds now) const -> std::vector<std::string>;
    /// The leader among the nodes that are alive: if several claim leadership, the one of the highest epoch
    /// and term. Empty if none is known.
    [[nodiscard]] auto leaderNode(Microseconds now) const -> std::string;
    [[nodiscard]] auto aliveTimeout() const -> Microseconds { return aliveTimeout_; }
    /// Drops the records of nodes without a heartbeat for DROP_TIMEOUT.
    auto dropSilent(Microseconds now) -> void;

  private:
    wire::NodeRecord own_;
    std::map<std::string, KnownNode> others_;
    Microseconds aliveTimeout_;
};

}  // namespace duneturn
