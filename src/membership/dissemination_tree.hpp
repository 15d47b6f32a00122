#pragma once
// The tree along which heartbeats and new replicated state are disseminated. The leader is the root; in each
// zone one relay node is its child, and the zone's other nodes are below that relay, four children per node.
// Every node computes the tree from its own membership table. Where tables differ the tree has gaps; nodes
// that miss a state because of a gap request it (anti-entropy).
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/membership_table.hpp"

namespace duneturn {

/// Where a node that still claims leadership, beside a leader of a newer term, is placed within its zone.
enum class StaleLeaders {
    RankedAsOthers,  // fixed roster: each record shows how recent it is
    RankedLast,      // gossip: the node has been silent since the newer election and would be a bad relay
};

/// A snapshot of the tree; it does not follow later changes of the membership table.
class DisseminationTree {
  public:
    /// Builds the tree over the nodes that are alive at `now`.
    static auto build(const MembershipTable& members, StaleLeaders staleLeaders, Microseconds now)
        -> DisseminationTree;

    /// The node that sends to `node`; empty for the root and for an unknown node.
    [[nodiscard]] auto parentOf(const std::string& node) const -> std::string;
    /// The nodes that `node` sends to, sorted by name.
    [[nodiscard]] auto childrenOf(const std::string& node) const -> std::vector<std::string>;
    /// The parent of each node except the root, by name of the child.
    [[nodiscard]] auto parents() const -> const std::map<std::string, std::string>& { return parents_; }

  private:
    std::map<std::string, std::string> parents_;
};

}  // namespace duneturn
