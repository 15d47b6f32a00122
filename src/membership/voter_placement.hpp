#pragma once
// Chooses the spare disks that the leader offers to the consensus module as replacements for voters that have
// failed or are stopping.
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "membership/node_context.hpp"

namespace duneturn {

/// Fixed roster: the disks of nodes that are alive and do not vote. A voter is replaced on its own node.
/// Returns pairs of the node whose voter is to be replaced and the spare disk.
[[nodiscard]] auto rosterSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>>;

/// Gossip membership, on the leader only: the best spare disk for each voter that has had no contact for
/// VOTER_LOST_TIMEOUT, whose node is alive with another disk, or whose node is stopping. The preference is:
/// the new disk of the same node, a zone with fewer voters, an uninitialized disk, the node known for
/// longest. Returns pairs as rosterSpareDisks does.
[[nodiscard]] auto gossipSpareDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::pair<std::string, std::string>>;

/// The disks of voters on other nodes that are alive and report an uninitialized disk.
[[nodiscard]] auto uninitializedVoterDisks(const NodeContext& context, Microseconds now)
    -> std::vector<std::string>;

/// Gossip membership: whether this node's disk does not vote, or no spare disk could replace it.
[[nodiscard]] auto voteHandedOver(const NodeContext& context, Microseconds now) -> bool;

}  // namespace duneturn
