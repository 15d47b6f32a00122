#pragma once
// The interface through which the router sends attempts to servers and responses to clients.
#include <cstdint>
#include <string>

#include "routing/headers.hpp"

namespace duneturn {

/// Implemented by the daemon and by the simulators. `request` is the id returned by Edge::accept, `attempt`
/// the number of one of its attempts.
struct EdgePort {
    virtual ~EdgePort() = default;
    /// Connects to `address` and sends the request. Edge::confirmSend is called directly before the first
    /// byte is written.
    virtual auto startAttempt(
        std::int64_t request, int attempt, const std::string& server, const std::string& address) -> void = 0;
    /// Closes the connection of the attempt for good. Later reports about the attempt are ignored.
    virtual auto cancelAttempt(std::int64_t request, int attempt) -> void = 0;
    /// Sends the head of a streamed response to the client.
    virtual auto sendHead(std::int64_t request, int status, const Headers& headers) -> void = 0;
    /// Sends further bytes of a streamed response to the client.
    virtual auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void = 0;
    /// Ends a streamed response. Unless `isComplete`, the client must be able to see that it is truncated.
    virtual auto endStream(std::int64_t request, bool isComplete) -> void = 0;
    /// Sends a complete response to the client.
    virtual auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void = 0;
};

}  // namespace duneturn
