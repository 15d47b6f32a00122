#pragma once
// What a node asks of its surroundings: the process with its sockets and disk, or a simulator.
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/disk.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

struct NodePort {
    virtual ~NodePort() = default;
    /// Sends to a peer address; may be lost.
    virtual auto send(const std::string& address, const wire::Envelope& envelope) -> void = 0;
    /// Writes the voter's state; answered through Node::onDiskWriteDone.
    virtual auto disk(const DiskWrite& write) -> void = 0;
    /// The outcome of an operator's or the platform's request of this node.
    virtual auto done(std::int64_t id, const Outcome& outcome) -> void = 0;
    /// Keeps the peers' addresses beside the store, as hints for a start after a total loss.
    virtual auto savePeerHints(const std::vector<std::string>& addresses) -> void = 0;
    /// Asks a watched server for its load; answered through Node::probeFinished.
    virtual auto probe(const std::string& server, const std::string& address) -> void = 0;
};

}  // namespace duneturn
