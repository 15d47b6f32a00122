#pragma once
// What a simulation records about servers, clients' requests and operators' orders.
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"
#include "standins/standins.hpp"

namespace duneturn {

/// How long a restarted server is cold: its prefill takes twice as long and its load may only grow slowly.
constexpr auto SLOW_START = 20 * SECOND;

/// A model server. Servers named "probe-N" answer the probe requests that show which configuration a node
/// obeys.
struct SimServer {
    std::string name, address, region, zone, service, weights;
    int slots = 8;
    bool up = true;
    bool unresponsive = false;  // accepts connections, answers nothing
    bool cold = false;
    std::int64_t incarnation = 1;
    Microseconds startedAt = -3600 * SECOND;
    int prefill = 0, decode = 0;  // requests in each phase
    std::string mode;             // of a "server-MODE" fault; empty: works normally
    FakeCache cache;
    bool leaving = false;          // in the listings of the platform
    Microseconds leavingSent = 0;  // when the acknowledged leaving mark was sent; 0: none
};

/// A connection of one attempt of an edge to a server.
struct SimConnection {
    int machine = 0;
    std::int64_t machineIncarnation = 0, request = 0;
    int attempt = 0, server = 0;
    std::int64_t serverIncarnation = 0;
    bool open = true;
};

struct SimRequestKind : DayKind {
    bool probe = false;
};

/// A client's request, over all its attempts at nodes.
struct SimRequest {
    int kind = 0;
    std::string region, body, path;
    Microseconds createdAt = 0;
    int attempts = 0, resumes = 0;
    bool over = false;
    bool resuming = false;         // the client resumes a truncated stream at another node
    std::int64_t lastEventId = 0;  // the newest event that the client has received
    std::string weights;           // the weights version that the stream was announced with
};

/// One attempt of a client: the request as one node received it.
struct SimAttempt {
    int request = 0, machine = 0;
    std::int64_t machineIncarnation = 0, edgeRequest = 0;  // edgeRequest: the edge's number
    bool over = false, streaming = false, done = false, failed = false;
    std::int64_t lastEventId = 0, resumedFrom = 0;
    std::string announcedWeights;  // of the response's headers
    std::string observedWeights;   // that the events' contents show
    std::vector<int> executions;
    bool notExecuted = false;  // the node reported that no server executed it
    int sends = 0;             // connections begun to servers, however they ended
};

/// One execution of a request at a server.
struct SimExecution {
    int attempt = 0, server = 0;
    std::int64_t resumedFrom = 0;  // the last event that the client already has
    Microseconds at = 0;
};

/// An operator's order, as the operator saw it.
struct SimOrder {
    Microseconds sentAt = 0;
    Microseconds over = 0;  // 0: without an outcome so far
    int status = 0;
    std::int64_t version = 0, base = 0;
    std::string operation;
    std::string subject;  // of "config" the probe service that it names, of "empty" and "give-back" the zone
    std::shared_ptr<rapidjson::Document> configuration;

    /// Whether the order may or may not have been applied, as far as the operator knows.
    [[nodiscard]] auto outcomeUnknown() const -> bool { return over == 0 || status == 504 || status == 503; }
};

}  // namespace duneturn
