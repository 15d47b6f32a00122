#include "membership/dissemination_tree.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"

namespace duneturn {

/// Within a zone; bounds the load on one uplink.
static constexpr std::size_t CHILDREN_PER_NODE = 4;

/// Returns the leader, or the node of the highest rendezvous rank while no leader is known.
static auto rootOf(const MembershipTable& members, const std::vector<std::string>& names, Microseconds now)
    -> std::string {
    auto root = members.leaderNode(now);
    if (!root.empty()) return root;
    for (auto& name : names)
        if (root.empty() || rendezvousRank("root", name) > rendezvousRank("root", root)) root = name;
    return root;
}

auto DisseminationTree::build(const MembershipTable& members, StaleLeaders staleLeaders, Microseconds now)
    -> DisseminationTree {
    auto tree = DisseminationTree();
    auto names = members.aliveNodes(now);
    auto root = rootOf(members, names, now);
    auto zones = std::map<std::string, std::vector<std::string>>();
    for (auto& name : names) zones[members.find(name)->zone].push_back(name);
    for (auto& [zone, inZone] : zones) {
        auto key = fmt::format("{}/{}", zone, root);
        std::sort(inZone.begin(), inZone.end(), [&](auto& left, auto& right) {
            if ((left == root) != (right == root)) return left == root;
            auto leftLeads = members.find(left)->leader, rightLeads = members.find(right)->leader;
            if (staleLeaders == StaleLeaders::RankedLast && leftLeads != rightLeads) return rightLeads;
            return rendezvousRank(key, left) > rendezvousRank(key, right);
        });
        for (auto i = std::size_t(0); i < inZone.size(); i++) {
            if (inZone[i] == root) continue;
            tree.parents_[inZone[i]] = i == 0 ? root : inZone[(i - 1) / CHILDREN_PER_NODE];
        }
    }
    return tree;
}

auto DisseminationTree::parentOf(const std::string& node) const -> std::string {
    auto edge = parents_.find(node);
    return edge == parents_.end() ? "" : edge->second;
}

auto DisseminationTree::childrenOf(const std::string& node) const -> std::vector<std::string> {
    auto children = std::vector<std::string>();
    for (auto& [child, parent] : parents_)
        if (parent == node) children.push_back(child);
    return children;
}

}  // namespace duneturn
