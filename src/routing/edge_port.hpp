#pragma once
// What the router asks of the process around it: connections to servers, and answers to clients.
#include <cstdint>
#include <string>

#include "routing/headers.hpp"

namespace duneturn {

/// Implemented by the daemon and by the simulators. `request` is the number that Edge::accept gave,
/// `attempt` the number of one attempt of it.
struct EdgePort {
    virtual ~EdgePort() = default;
    /// Connects to `address` and sends; Edge::confirmSend is asked just before the first byte.
    virtual auto startAttempt(
        std::int64_t request, int attempt, const std::string& server, const std::string& address) -> void = 0;
    /// Closes the attempt's connection for good; what still comes of it is ignored.
    virtual auto cancelAttempt(std::int64_t request, int attempt) -> void = 0;
    /// The head of a streamed answer to the client.
    virtual auto sendHead(std::int64_t request, int status, const Headers& headers) -> void = 0;
    /// Further bytes of a streamed answer.
    virtual auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void = 0;
    /// Ends a streamed answer: whole, or visibly cut.
    virtual auto endStream(std::int64_t request, bool whole) -> void = 0;
    /// A whole answer to the client.
    virtual auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void = 0;
};

}  // namespace duneturn
