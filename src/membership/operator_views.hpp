#pragma once
// JSON documents that show a node's state to operators. The JSON keys are part of the public interface.
#include <string>

#include "base/time.hpp"
#include "membership/membership_protocol.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// This node's view of all nodes, servers and the dissemination tree.
[[nodiscard]] auto beliefsText(
    const NodeContext& context, const MembershipProtocol& protocol, Microseconds now) -> std::string;
/// A summary of the node's state.
[[nodiscard]] auto statusText(
    const NodeContext& context, const MembershipProtocol& protocol, Microseconds now) -> std::string;
/// The planned operations and the evacuated zones.
[[nodiscard]] auto planText(const NodeContext& context) -> std::string;
/// The nodes that clients in this region and zone should use, nearest first. An empty region stands for this
/// node's own.
[[nodiscard]] auto nearestNodesText(const NodeContext& context, const std::string& region,
    const std::string& zone, Microseconds now) -> std::string;

}  // namespace duneturn
