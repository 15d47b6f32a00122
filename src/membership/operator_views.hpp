#pragma once
// What an operator reads of a node, as JSON. Read-only; the names of the members are part of the interface.
#include <string>

#include "base/time.hpp"
#include "membership/membership_protocol.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// All that this node believes of nodes, servers and the dissemination tree.
[[nodiscard]] auto beliefsText(
    const NodeContext& context, const MembershipProtocol& protocol, Microseconds now) -> std::string;
/// The node's state in brief.
[[nodiscard]] auto statusText(
    const NodeContext& context, const MembershipProtocol& protocol, Microseconds now) -> std::string;
/// The planned operations and the evacuated zones.
[[nodiscard]] auto planText(const NodeContext& context) -> std::string;
/// Where clients near this place should go, nearest first; an empty region is this node's own.
[[nodiscard]] auto nearestNodesText(const NodeContext& context, const std::string& region,
    const std::string& zone, Microseconds now) -> std::string;

}  // namespace duneturn
