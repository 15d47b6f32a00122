#pragma once
// Which spare disks the leader offers to the consensus module in place of voters that are lost or stopping.
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Offers are pairs: the node whose voter is to be replaced, and the disk.
///
/// Fixed roster: the living nodes' disks that do not vote. A voter is replaced on its own node.
[[nodiscard]] auto rosterSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>>;

/// Membership by gossip, on the leader: for each voter whose disk was silent for VOTER_LOST_TIMEOUT,
/// whose machine is back with another disk, or whose node is stopping, the best disk that does not vote. The
/// same node's new disk is preferred, then a zone with fewer voters, then a blank disk, then the one known
/// for longest.
[[nodiscard]] auto gossipSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>>;

/// The disks of voters that say that they are blank.
[[nodiscard]] auto blankVoterDisks(const NodeContext& context, Microseconds now) -> std::vector<std::string>;

/// Membership by gossip: whether this disk does not vote, or no other disk could take its place.
[[nodiscard]] auto voteHandedOver(const NodeContext& context, Microseconds now) -> bool;

}  // namespace duneturn
