#pragma once
// The router of one node. A request passes these stages, each in a file of its own:
//
//   route match         route_table, route_binding   which route a request has
//   tenant              tenant_admission             whose request it is, by its key
//   admission, queue    admission, quota_admission,  taken, queued by urgency, or refused
//                       backlog
//   candidate filters   candidate_filters, slow_start, outlier_ejection, server_selection
//   scoring             scoring, server_statistics, prefix_cache
//   retry budget        retry_budget                 what further attempts are paid from
//   dispatch            dispatch, attempt_state      attempts, and the last check before the first byte
//   response, streams   response_relay               what of an answer is passed on
//   migration           migration                    when a request goes on at another server
//   completion          completion, decision_log     how requests end, and what operators see of them
//
// Logic only: sockets are behind EdgePort, time is passed in, and nothing here waits or locks.
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
#include "routing/refusal.hpp"
#include "routing/request.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"
#include "routing/server_selection.hpp"
#include "routing/server_statistics.hpp"
#include "routing/slow_start.hpp"
#include "net/event_stream.hpp"

namespace duneturn {

/// Moves requests between the stages. A request is named by the number that accept gave, an attempt by its
/// request and its own number; what is said of an attempt that is over is ignored.
class Edge {
  public:
    Edge(Node& node, EdgePort& port, Counters& counters, std::uint64_t seed, const Dialect& dialect = {});
    Edge(const Edge&) = delete;
    auto operator=(const Edge&) -> Edge& = delete;

    /// Faults for tests; none in a real process.
    EdgeFaults broken;

    // ---- Clients.

    /// A client's request, whole, its Host among the headers. Gives its number; it may have ended by then.
    /// `arrived`: when its first byte was read, if that was earlier; its time runs from there.
    auto accept(const std::string& method, const std::string& path, const Headers& headers,
        const std::string& body, Microseconds now, Microseconds arrived = 0) -> std::int64_t;
    /// The client reads slower than the server writes; that is not the server's silence.
    auto onClientSlow(std::int64_t id, int attempt, Microseconds now) -> void;
    /// The client has closed its connection.
    auto clientClosed(std::int64_t id, Microseconds now) -> void;

    // ---- Attempts.

    /// The last check, just before the first byte; true: it is sent now. `reused`: on a connection that
    /// carried another request before, where an answer must prove whose it is.
    [[nodiscard]] auto confirmSend(std::int64_t id, int attempt, Microseconds now, bool reused = false)
        -> bool;
    /// The headers to send, complete but for what concerns length and connection.
    [[nodiscard]] auto requestHeaders(const Request& request, Microseconds now) const -> Headers;
    /// Whether it may go on a connection that was used before, where a loss says nothing.
    [[nodiscard]] auto mayReuseConnection(const Request& request) const -> bool {
        return request.retryRights().repeatable;
    }
    /// The whole request has been written.
    auto onRequestWritten(std::int64_t id, int attempt) -> void;
    /// The connection failed before the first byte of the request was written.
    auto onConnectionRefused(std::int64_t id, int attempt, Microseconds now) -> void;
    /// The answer's head; false if this answer is not for the request, and nothing more of it is wanted.
    auto onResponseHead(std::int64_t id, int attempt, int status, const Headers& headers, Microseconds now)
        -> bool;
    auto onStreamEvent(std::int64_t id, int attempt, const ServerSentEvent& event, Microseconds now) -> void;
    /// The HTTP message of a stream is whole.
    auto onStreamEnd(std::int64_t id, int attempt, Microseconds now) -> void;
    /// A whole answer that is no stream.
    auto onResponse(std::int64_t id, int attempt, int status, const Headers& headers, const std::string& body,
        Microseconds now) -> void;
    auto onConnectionLost(std::int64_t id, int attempt, const std::string& why, Microseconds now) -> void {
        onAttemptFailed(id, attempt, AttemptEvent::ConnectionReset, why, now);
    }
    /// The answer can no longer become whole.
    auto onAttemptFailed(
        std::int64_t id, int attempt, AttemptEvent event, const std::string& why, Microseconds now) -> void;

    // ---- Time, and the process's end.

    /// Called every 20 ms or so: deadlines, silent servers, queues, the budget.
    auto tick(Microseconds now) -> void;
    /// The process stops. A Dialect with clientNamesRequests serves on until stopAccepting.
    auto drain() -> void { draining_ = true; }
    /// From now on new requests are refused at once.
    auto stopAccepting() -> void { rejectingNew_ = true; }
    /// Ends what still runs, visibly; the stop's limit is over.
    auto abortAll(Microseconds now) -> void;

    // ---- What is seen from outside.

    /// A request under way, null if there is none.
    [[nodiscard]] auto find(std::int64_t id) const -> const Request*;
    [[nodiscard]] auto activeRequests() const -> std::size_t { return requests_.size(); }
    [[nodiscard]] auto dialect() const -> const Dialect& { return dialect_; }
    /// Of the retry budget, in thousandths of an attempt.
    [[nodiscard]] auto credit() const -> std::int64_t { return budget_.credit(); }
    /// Places taken in queues, and attempts under way, as counted here; for judging leaks.
    [[nodiscard]] auto queuedCount() const -> std::size_t { return backlog_.count(); }
    [[nodiscard]] auto inflightCount() const -> int { return statistics_.inflight(); }
    /// The requests under way, as JSON.
    [[nodiscard]] auto liveRequestsJson(Microseconds now) const -> std::string;
    /// What was decided of a request, by its name or its number, as JSON; empty if it is not known.
    [[nodiscard]] auto explainedRequestJson(const std::string& name, Microseconds now) const -> std::string;
    /// The decisions about requests that ended, behind number `after`, as JSON.
    [[nodiscard]] auto decisionsJson(std::int64_t after) const -> std::string {
        return decisions_.since(after);
    }

  private:
    /// What becomes of the next event of a stream.
    enum class EventVerdict { Sound, OutOfOrder, Unsound, Uncountable };

    // Admission (admission.cpp).
    auto beginRequest(const std::string& method, const std::string& path, const Headers& headers,
        Microseconds now) -> Request&;
    [[nodiscard]] auto whyRefused(const Headers& headers, Microseconds now) const -> std::optional<Refusal>;
    [[nodiscard]] auto bindAtFirst(Request& request, const Headers& headers) -> std::optional<Refusal>;
    auto readRequest(Request& request, const Headers& headers, const std::string& body, Microseconds begunAt)
        -> void;
    auto readResumption(Request& request, Microseconds now) -> std::optional<Refusal>;
    auto noteAcceptance(Request& request, Microseconds now) -> void;
    auto proceed(Request& request, Microseconds now) -> void;
    auto serveQuotaWaiters(Microseconds now) -> void;
    auto enqueue(Request& request, Microseconds now) -> bool;
    auto rebindQueue(Microseconds now) -> void;
    auto serveQueue(Microseconds now) -> void;

    // Dispatch (dispatch.cpp).
    auto dispatch(Request& request, Microseconds now) -> bool;
    auto beginAttempt(Request& request, const std::string& server, Microseconds now) -> void;
    auto reserveEngine(Request& request, ServerStatistics& statistics, const ServiceRule& rule) -> void;
    auto release(Request& request) -> void;
    auto promptRead(Request& request) -> void;
    [[nodiscard]] auto rebindToNewest(Request& request) -> std::optional<Refusal>;
    [[nodiscard]] auto whyNoAttempt(Request& request) -> std::optional<Refusal>;
    [[nodiscard]] auto whyNotToServer(const Request& request, bool reused, Microseconds now) -> std::string;
    auto giveUpAttempt(Request& request, const std::string& why, Microseconds now) -> void;
    auto holdBack(Request& request, const std::string& why, Microseconds now) -> void;
    auto apply(Request& request, AttemptEvent event) -> Execution;
    auto currentAttempt(std::int64_t id, int attempt) -> Request*;

    // Failed attempts (retry.cpp).
    [[nodiscard]] auto couldMove(Request& request, AttemptEvent event, Microseconds now) -> bool;
    auto retryElsewhere(Request& request, AttemptEvent event, const std::string& why, Microseconds now)
        -> void;
    auto abandonAttempt(Request& request, Execution execution, const std::string& why, Microseconds now)
        -> void;
    auto recordRetry(Request& request, Execution execution, Microseconds now) -> void;
    auto moveIfCrawling(Request& request, Microseconds gap, Microseconds now) -> void;
    auto checkSilence(Request& request, Microseconds now) -> void;
    auto checkSilenceOfNamed(Request& request, Microseconds now) -> void;

    // Answers (response_relay.cpp).
    [[nodiscard]] auto isOtherRequests(const Request& request, const Headers& headers, int status) const
        -> bool;
    [[nodiscard]] auto isNotExecuted(int status, const Headers& headers) const -> bool;
    auto headRead(Request& request, int status, const Headers& headers) -> void;
    auto judgeFirstByteTime(const Request& request, int status, const Headers& headers, Microseconds now)
        -> void;
    auto sendHeadOnce(Request& request) -> void;
    [[nodiscard]] auto judgeEvent(RelayedStream& relayed, const ServerSentEvent& event) const -> EventVerdict;
    [[nodiscard]] auto judgeRisingEvent(RelayedStream& relayed, const ServerSentEvent& event) const
        -> EventVerdict;
    auto rejectEvent(Request& request, const ServerSentEvent& event, EventVerdict verdict, Microseconds now)
        -> void;
    auto completeStream(Request& request, Microseconds now) -> void;
    auto onWrongIdentity(Request& request, Microseconds now) -> void;
    auto onDeclined(Request& request, int status, Microseconds now) -> void;
    [[nodiscard]] auto whyUnsuitable(Request& request, int status, Microseconds now) -> std::string;
    auto relayResponse(Request& request, int status, const Headers& headers, const std::string& body,
        Microseconds now) -> void;

    // Completion (completion.cpp).
    auto fail(Request& request, int status, const std::string& why, Microseconds now) -> void;
    auto cutStream(Request& request, const std::string& why) -> void;
    auto replyFailure(Request& request, int status, const std::string& why) -> void;
    auto finish(Request& request, const std::string& how, Microseconds now) -> void;
    auto countOutcome(const Request& request, std::string_view outcome) -> void;

    // The rest (edge.cpp).
    auto takeState() -> void;
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
    std::vector<std::int64_t> finished_;  // removed with the next tick
    std::int64_t lastRequestId_ = 0;
    ServerStatisticsTable statistics_;
    FleetSize fleet_;
    SlowStart slowStart_;
    RetryBudget budget_;
    Backlog backlog_;
    QuotaAdmission quota_;
    ServerSelection selection_;
    Migration migration_;
    KnownBeginnings beginnings_;
    DecisionLog decisions_;
    bool draining_ = false, rejectingNew_ = false;
    Microseconds evacuatedAt_ = 0;    // when this node's own zone was evacuated; -1 until the next tick
    std::int64_t queueRevision_ = 0;  // of the routes that all waiting requests are bound to
    Microseconds prunedAt_ = 0;       // when unlisted servers were last forgotten
};

}  // namespace duneturn
