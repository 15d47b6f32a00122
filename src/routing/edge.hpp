#pragma once
// The router of one node. Its stages and their files, in about the order in which a request meets them:
//
//   route match         route_table, route_binding   finds the route of the request
//   tenant              tenant_admission             identifies the tenant by the API key
//   admission, queue    admission, quota_admission,  accepts the request, queues it by urgency, or rejects it
//                       backlog
//   candidate filters   candidate_filters,           finds the servers that may take the request now
//                       slow_start,
//                       outlier_ejection
//   scoring             server_selection, scoring,   picks one of them by predicted latency or by load
//                       server_statistics,
//                       prefix_cache
//   retry budget        retry_budget                 limits the retries of the whole fleet
//   dispatch            dispatch, attempt_state      starts attempts; last check before the first byte
//   response, streams   response_relay               validates responses and forwards them to the client
//   retry, migration    retry, migration             continues a request at another server
//   completion          completion, decision_log     ends requests and records the decisions for operators
//
// The router does no I/O: sockets are behind EdgePort, the time is passed in, and no call blocks or locks.
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/attempt_state.hpp"
#include "routing/backlog.hpp"
#include "routing/decision_log.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/edge_port.hpp"
#include "routing/fleet_size.hpp"
#include "routing/headers.hpp"
#include "routing/migration.hpp"
#include "routing/prompt_prefix.hpp"
#include "routing/quota_admission.hpp"
#include "routing/request_rejection.hpp"
#include "routing/request.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"
#include "routing/server_selection.hpp"
#include "routing/server_statistics.hpp"
#include "routing/slow_start.hpp"
#include "net/event_stream.hpp"

namespace duneturn {

/// Moves requests through the stages. A request is identified by the id that accept returned, an attempt (one
/// send of a request to one server) by the request's id and its own number. Reports about an attempt that has
/// ended are ignored. "Where clients name requests" means that Dialect::clientNamesRequests is set.
class Edge {
  public:
    Edge(Node& node, EdgePort& port, Counters& counters, std::uint64_t seed, const Dialect& dialect = {});
    Edge(const Edge&) = delete;
    auto operator=(const Edge&) -> Edge& = delete;

    /// Faults injected by tests; none in a real process.
    EdgeFaults broken;

    // ---- Clients.

    /// Accepts a complete request of a client; its Host must be among the headers. Returns the request's id.
    /// The request may have ended by then. `arrived` is when its first byte was read, if that was earlier
    /// than `now`, else 0; the request's time limits count from there.
    auto accept(const std::string& method, const std::string& path, const Headers& headers,
        const std::string& body, Microseconds now, Microseconds arrived = 0) -> std::int64_t;
    /// Reports that reading from the server is paused because the client reads slower than the server sends,
    /// so that the pause does not count as silence of the server.
    auto onClientSlow(std::int64_t id, int attempt, Microseconds now) -> void;
    /// Reports that the client has closed its connection.
    auto clientClosed(std::int64_t id, Microseconds now) -> void;

    // ---- Attempts.

    /// Performs the last check directly before the first byte of an attempt is written. Returns true if the
    /// request is to be sent now; otherwise the attempt has ended. `reused`: the connection carried another
    /// request before, so the response must prove which request it belongs to.
    [[nodiscard]] auto confirmSend(std::int64_t id, int attempt, Microseconds now, bool reused = false)
        -> bool;
    /// Returns the headers to send to the server, except those for the body's length and the connection.
    [[nodiscard]] auto requestHeaders(const Request& request, Microseconds now) const -> Headers;
    /// Whether the request may be sent on a connection that was used before. If such a connection is lost, it
    /// is unknown whether the request arrived, so the request must be repeatable.
    [[nodiscard]] auto mayReuseConnection(const Request& request) const -> bool {
        return request.retryRights().repeatable;
    }
    /// Reports that the complete request has been written.
    auto onRequestWritten(std::int64_t id, int attempt) -> void;
    /// Reports that the connection failed before the first byte of the request was written.
    auto onConnectionRefused(std::int64_t id, int attempt, Microseconds now) -> void;
    /// Handles the head of a response. Returns false if the attempt has ended, for instance because the
    /// response belongs to another request; the rest of the response is not needed then.
    auto onResponseHead(std::int64_t id, int attempt, int status, const Headers& headers, Microseconds now)
        -> bool;
    auto onStreamEvent(std::int64_t id, int attempt, const ServerSentEvent& event, Microseconds now) -> void;
    /// Reports that the HTTP message of a streamed response is complete.
    auto onStreamEnd(std::int64_t id, int attempt, Microseconds now) -> void;
    /// Handles a complete response that is not a stream.
    auto onResponse(std::int64_t id, int attempt, int status, const Headers& headers, const std::string& body,
        Microseconds now) -> void;
    auto onConnectionLost(std::int64_t id, int attempt, const std::string& why, Microseconds now) -> void {
        onAttemptFailed(id, attempt, AttemptEvent::ConnectionReset, why, now);
    }
    /// Reports a failure after which the response can no longer become complete.
    auto onAttemptFailed(
        std::int64_t id, int attempt, AttemptEvent event, const std::string& why, Microseconds now) -> void;

    // ---- Time, and the end of the process.

    /// Checks deadlines, silent servers, queues and the retry budget, and removes ended requests. To be
    /// called about every 20 ms.
    auto tick(Microseconds now) -> void;
    /// Announces that the process will stop. New requests are rejected from now on, but where clients name
    /// requests they are accepted until stopAccepting.
    auto drain() -> void { draining_ = true; }
    /// Rejects new requests from now on.
    auto stopAccepting() -> void { rejectingNew_ = true; }
    /// Fails all requests in flight, since the time limit for stopping has passed.
    auto abortAll(Microseconds now) -> void;

    // ---- Inspection.

    /// Returns a request, or null if there is none with this id. A request that has ended is kept until the
    /// next tick.
    [[nodiscard]] auto find(std::int64_t id) const -> const Request*;
    [[nodiscard]] auto activeRequests() const -> std::size_t { return requests_.size(); }
    [[nodiscard]] auto dialect() const -> const Dialect& { return dialect_; }
    /// The credit of the retry budget's account for all services, in thousandths of an attempt.
    [[nodiscard]] auto credit() const -> std::int64_t { return budget_.credit(); }
    /// The occupied slots in this router's queues; lets tests detect leaks.
    [[nodiscard]] auto queuedCount() const -> std::size_t { return backlog_.count(); }
    /// This router's attempts in flight at all servers; lets tests detect leaks.
    [[nodiscard]] auto inflightCount() const -> int { return statistics_.inflight(); }
    /// Returns the requests in flight as JSON.
    [[nodiscard]] auto liveRequestsJson(Microseconds now) const -> std::string;
    /// Returns the decisions about a request, given by its name or its id, as JSON; empty if the request is
    /// unknown.
    [[nodiscard]] auto explainedRequestJson(const std::string& name, Microseconds now) const -> std::string;
    /// Returns the decisions about ended requests with sequence numbers greater than `after`, as JSON.
    [[nodiscard]] auto decisionsJson(std::int64_t after) const -> std::string {
        return decisions_.since(after);
    }

  private:
    /// The result of validating the next event of a stream.
    enum class EventCheck {
        Valid,
        OutOfOrder,    ///< The id does not follow that of the previous event.
        Malformed,     ///< No id, type or data, or no usable id after events that had one.
        NonNumericId,  ///< The id is not a number, although earlier events had numeric ids.
    };

    // Admission (admission.cpp).
    auto createRequest(const std::string& method, const std::string& path, const Headers& headers,
        Microseconds now) -> Request&;
    [[nodiscard]] auto checkAdmission(const Headers& headers, Microseconds now) const
        -> std::optional<RequestRejection>;
    [[nodiscard]] auto bindNewRequest(Request& request, const Headers& headers)
        -> std::optional<RequestRejection>;
    auto readRequest(
        Request& request, const Headers& headers, const std::string& body, Microseconds startedAt) -> void;
    auto admitResumption(Request& request, Microseconds now) -> std::optional<RequestRejection>;
    auto traceAcceptance(Request& request, Microseconds now) -> void;
    auto proceed(Request& request, Microseconds now) -> void;
    auto serveRequestsAwaitingQuota(Microseconds now) -> void;
    auto enqueue(Request& request, Microseconds now) -> bool;
    auto rebindQueuedRequests(Microseconds now) -> void;
    auto dispatchQueuedRequests(Microseconds now) -> void;

    // Dispatch (dispatch.cpp).
    auto dispatch(Request& request, Microseconds now) -> bool;
    auto beginAttempt(Request& request, const std::string& serverName, Microseconds now) -> void;
    auto reserveEngineTokens(Request& request, ServerStatistics& statistics, const ServiceRule& rule) -> void;
    auto releaseServer(Request& request) -> void;
    auto releasePendingPrompt(Request& request) -> void;
    [[nodiscard]] auto rebindToNewestConfiguration(Request& request) -> std::optional<RequestRejection>;
    [[nodiscard]] auto whySendForbidden(Request& request) -> std::optional<RequestRejection>;
    [[nodiscard]] auto whyServerForbidden(const Request& request, bool reused, Microseconds now)
        -> std::string;
    auto cancelUnsentAttempt(Request& request, const std::string& why, Microseconds now) -> void;
    auto withholdSend(Request& request, const std::string& why, Microseconds now) -> void;
    auto applyAttemptEvent(Request& request, AttemptEvent event) -> Execution;
    auto currentAttempt(std::int64_t id, int attempt) -> Request*;

    // Failed attempts (retry.cpp).
    [[nodiscard]] auto canRetryElsewhere(Request& request, AttemptEvent event, Microseconds now) -> bool;
    auto retryElsewhere(Request& request, AttemptEvent event, const std::string& why, Microseconds now)
        -> void;
    auto endFailedAttempt(Request& request, Execution execution, const std::string& why, Microseconds now)
        -> void;
    auto recordRetry(Request& request, Execution execution, Microseconds now) -> void;
    auto migrateIfServerSlow(Request& request, Microseconds gap, Microseconds now) -> void;
    auto checkIdleTimeout(Request& request, Microseconds now) -> void;
    auto checkSilenceOfNamedRequest(Request& request, Microseconds now) -> void;

    // Responses (response_relay.cpp).
    [[nodiscard]] auto belongsToAnotherRequest(
        const Request& request, const Headers& headers, int status) const -> bool;
    [[nodiscard]] auto isNotExecuted(int status, const Headers& headers) const -> bool;
    auto recordResponseHead(Request& request, int status, const Headers& headers) -> void;
    auto recordFirstByteTime(const Request& request, int status, const Headers& headers, Microseconds now)
        -> void;
    auto sendHeadOnce(Request& request) -> void;
    [[nodiscard]] auto validateEvent(RelayedStream& relayed, const ServerSentEvent& event) const
        -> EventCheck;
    [[nodiscard]] auto validateIncreasingId(RelayedStream& relayed, const ServerSentEvent& event) const
        -> EventCheck;
    auto rejectEvent(Request& request, const ServerSentEvent& event, EventCheck check, Microseconds now)
        -> void;
    auto completeStream(Request& request, Microseconds now) -> void;
    auto onWrongIdentity(Request& request, Microseconds now) -> void;
    auto onNotExecuted(Request& request, int status, Microseconds now) -> void;
    [[nodiscard]] auto whyResponseUnusable(Request& request, int status, Microseconds now) -> std::string;
    auto relayResponse(Request& request, int status, const Headers& headers, const std::string& body,
        Microseconds now) -> void;

    // Completion (completion.cpp).
    auto fail(Request& request, int status, const std::string& why, Microseconds now) -> void;
    auto truncateStream(Request& request, const std::string& why) -> void;
    auto replyFailure(Request& request, int status, const std::string& why) -> void;
    auto finish(Request& request, const std::string& how, Microseconds now) -> void;
    auto countOutcome(const Request& request, std::string_view outcome) -> void;

    // State, time and tracing (edge.cpp).
    auto applyReplicatedState() -> void;
    auto tickRequest(Request& request, Microseconds now) -> void;
    auto note(Request& request, std::string line) -> void;
    [[nodiscard]] auto select(Request& request, Microseconds now) -> Selection;
    [[nodiscard]] auto serviceRule(const Request& request) const -> const ServiceRule*;

    Node& node_;
    EdgePort& port_;
    Counters& counters_;
    RandomSource random_;
    Dialect dialect_;
    RouteTable routes_;
    std::map<std::int64_t, Request> requests_;
    std::vector<std::int64_t> finished_;  // ended requests, removed by the next tick
    std::int64_t lastRequestId_ = 0;
    ServerStatisticsTable statistics_;
    FleetSize fleet_;
    SlowStart slowStart_;
    RetryBudget budget_;
    Backlog backlog_;
    QuotaAdmission quota_;
    ServerSelection selection_;
    Migration migration_;
    PrefixHistory prefixHistory_;
    DecisionLog decisions_;
    bool draining_ = false, rejectingNew_ = false;
    // When this node's zone was evacuated; 0: it is not evacuated; -1: it is, and the next tick replaces this
    // by the time.
    Microseconds evacuatedAt_ = 0;
    std::int64_t queueRevision_ = 0;  // revision of the routes that all queued requests are bound to
    Microseconds prunedAt_ = 0;       // when the statistics of unlisted servers were last dropped
};

}  // namespace duneturn
