#pragma once
// The HTTP header names and protocol conventions that a deployment uses between clients, nodes and servers.
#include <string>

namespace duneturn {

/// Header names and conventions. A header with an empty name is neither read nor sent. The urgency header
/// carries 0 (most urgent) to 9 (least urgent).
struct Dialect {
    std::string request = "X-Exchange-Id", notExecuted = "X-Not-Executed", weights = "X-Weights",
                lastEvent = "Last-Event-Id", target, deadlineMs, urgency, load, serverId, coldMs, parts,
                tokens, model;
    std::string apiKey = "X-Api-Key";  ///< A tenant's API key, read from clients; never sent to servers.
    std::string tenant = "X-Tenant";   ///< The tenant's name, sent to servers; never read from clients.
    /// Clients name their requests, and servers repeat the name in their answers. Such deployments share
    /// these conventions as well: a retry by the client is a new request, event ids increase but not by one,
    /// and a 503 guarantees that the request was not executed.
    bool clientNamesRequests = false;
    /// A server's response headers reach the client unchanged, and none are added.
    bool passThroughHeaders = false;
    /// A stream is complete with its final event; otherwise with the end of its HTTP message.
    bool streamEndsWithDoneEvent = true;
};

}  // namespace duneturn
