#pragma once
// The tree along which news is passed on: the leader at the root, in each zone one relay below it, and the
// zone's other nodes below their relay, four to each. Every node computes the tree from its own membership
// table; where tables differ the tree has gaps, which pulling closes.
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/membership_table.hpp"

namespace duneturn {

/// How a node that calls itself leader beside a newer leader is placed within its zone.
enum class StaleLeaders {
    RankedAsOthers,  // fixed roster: each record shows itself how recent it is
    RankedLast,      // gossip: such a node has been silent since, and would be a bad relay
};

class DisseminationTree {
  public:
    static auto build(const MembershipTable& members, StaleLeaders staleLeaders, Microseconds now)
        -> DisseminationTree;

    /// The node that `node` gets the news from; empty for the root and for an unknown node.
    [[nodiscard]] auto parentOf(const std::string& node) const -> std::string;
    /// The nodes below `node`, by name.
    [[nodiscard]] auto childrenOf(const std::string& node) const -> std::vector<std::string>;
    /// Node -> its parent, without the root.
    [[nodiscard]] auto parents() const -> const std::map<std::string, std::string>& { return parents_; }

  private:
    std::map<std::string, std::string> parents_;
};

}  // namespace duneturn
