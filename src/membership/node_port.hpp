#pragma once
// What a node requires of its environment, which is a process with sockets and a disk, or a simulator.
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/disk.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// Implemented by the environment of a node.
struct NodePort {
    virtual ~NodePort() = default;
    /// Sends a message to a peer address. It may be lost.
    virtual auto send(const std::string& address, const wire::Envelope& envelope) -> void = 0;
    /// Writes to the voter's disk; completion is reported through Node::onDiskWriteDone.
    virtual auto disk(const DiskWrite& write) -> void = 0;
    /// Delivers the outcome of a request that an operator or the platform made at this node.
    virtual auto done(std::int64_t id, const Outcome& outcome) -> void = 0;
    /// Saves the addresses of the peers beside the store. They serve as hints when this node starts after all
    /// nodes were down.
    virtual auto savePeerHints(const std::vector<std::string>& addresses) -> void = 0;
    /// Requests the load of a server; answered through Node::probeFinished.
    virtual auto probe(const std::string& server, const std::string& address) -> void = 0;
};

}  // namespace duneturn
