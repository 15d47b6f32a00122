#pragma once
// The names that a deployment's wire gives to the headers of requests and answers, and its customs.
#include <string>

namespace duneturn {

/// The names of headers; a name that is empty is neither read nor sent. Urgency travels as 0 to 9, of
/// which 0 goes first.
struct Dialect {
    std::string request = "X-Exchange-Id", notExecuted = "X-Not-Executed", weights = "X-Weights",
                lastEvent = "Last-Event-Id", target, deadlineMs, urgency, load, serverId, coldMs, parts,
                tokens, model;
    std::string apiKey = "X-Api-Key";  ///< A tenant's key, from clients; never sent to servers.
    std::string tenant = "X-Tenant";   ///< The tenant's name, to servers; never taken from clients.
    /// The client names the request, and servers repeat that name. With it come the customs of
    /// such a wire: a further try of the client's is another request, ids of events rise but not by one,
    /// and 503 is a promise that nothing ran.
    bool clientNamesRequests = false;
    bool passThroughHeaders =
        false;  ///< A server's headers go to the client unchanged, and nothing is added.
    bool streamEndsWithDoneEvent =
        true;  ///< A stream is whole with its last event, not with its HTTP message.
};

}  // namespace duneturn
