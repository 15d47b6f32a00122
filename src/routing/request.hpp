#pragma once
// The state of one client request: the request as received, its attempts, the part of the response that was
// forwarded, and its limits.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "quota/quota_account.hpp"
#include "routing/attempt_state.hpp"
#include "routing/headers.hpp"
#include "routing/route_table.hpp"
#include "routing/tenant_admission.hpp"

namespace duneturn {

/// The phase of a request; request_phases.cpp defines the transitions.
enum class Phase {
    Queued,      ///< It waits for a server.
    Sending,     ///< An attempt has started; nothing of its response was forwarded.
    Delivering,  ///< A part of the response was forwarded.
    Migrating,   ///< An attempt failed; the next one has not started.
    Finished,
};
struct RequestMachine;

/// The request as its client sent it; not changed after it was accepted.
struct ReceivedRequest {
    std::string method, path, body, host;
    std::string name;    ///< The client's name for the request, or one that this node generated.
    std::string region;  ///< The client's region.
    std::string model;   ///< The model that the client asked for; empty: the model of the route.
    Headers headers;     ///< Without the headers that withoutTenantHeaders removes.
    Microseconds acceptedAt = 0;
    /// The parts of the prompt: the hash of each and its number of tokens. Only this request has the last.
    std::vector<std::pair<std::uint64_t, std::int64_t>> promptParts;
    std::uint64_t prefixKey = 0;  ///< Identifies the shared prefix of the prompt; 0: unknown.
    std::int64_t promptTokens = 0, outputTokens = 0, sharedTokens = 0;
    /// The tokens that no other request shares.
    [[nodiscard]] auto unsharedTokens() const -> std::int64_t {
        return std::max<std::int64_t>(0, promptTokens - sharedTokens) + outputTokens;
    }
};

/// The attempts of a request. Each is one send of the request to one server.
struct RequestAttempts {
    int current = 0;      ///< The number of the current attempt; reports about any other number are ignored.
    std::string server;   ///< The server of the current attempt.
    std::string weights;  ///< The version of the weights that it runs.
    Microseconds serverSelectedAt = 0;
    /// When the server was selected, the send began, the server last sent something or the client was last
    /// found to read slower than the server sends, whichever came last.
    Microseconds lastActivityAt = 0;
    Microseconds nextStallCheckAt = 0;     ///< The server's silence is not checked again before.
    bool countedInflight = false;          ///< The attempt counts as in flight at its server.
    std::int64_t pendingPromptTokens = 0;  ///< Tokens of the prompt that the server has not read yet.
    bool onReusedConnection = false;       ///< Another request was sent on this connection before.
    double eventGap = 0;                   ///< Smoothed time between events, in microseconds.
    int eventGapSamples = 0;
    int headReceivedOf = 0;               ///< The number of the attempt whose response head was received.
    AttemptTracker tracker;               ///< The state of the current attempt, with the earlier outcomes.
    int sent = 0;                         ///< Attempts that count against the route's maximum.
    int migrations = 0;                   ///< Migrations that count against the model's limit.
    int withheldSends = 0;                ///< Attempts cancelled directly before the first byte.
    int refusedConnections = 0;           ///< Attempts that failed because the connection was refused.
    bool isFirstAttemptUncounted = true;  ///< The retry budget has not counted the first attempt yet.
    bool sentAsNonRepeatable = false;     ///< Sent while the configuration called it not repeatable.
    std::vector<std::string> tried;       ///< Servers of earlier attempts.
    std::vector<std::string> rejected;    ///< Those of them at which the request certainly did not run.
};

/// The part of a streamed response that was forwarded to the client.
struct RelayedStream {
    bool headSent = false;
    int status = 200;                 ///< Of the response whose head was forwarded.
    Headers headers;                  ///< Of the same response.
    std::string weights;              ///< The version of the weights that the stream is bound to.
    std::int64_t lastEventId = -1;    ///< The id of the newest forwarded event; -1: none was forwarded.
    bool hasOrderedIds = true;        ///< All ids so far were numbers in the expected order.
    std::vector<std::string> events;  ///< Forwarded events, kept while the request may still migrate.
};

/// The limits of a request.
struct RequestLimits {
    Microseconds deadline = 0;
    std::int64_t routesRevision = 0;  ///< The revision of the routes that the request is bound to.
    std::int64_t sequenceTokens = 0;  ///< Tokens of the prompt and the events so far, counted or estimated.
    bool migrationDisabled = false;   ///< It can no longer migrate, whatever its migration limit is.
    bool resumedByClient = false;     ///< Its client lost another node and resumes its stream at this one.
};

/// A slot in a service's queue.
struct QueueEntry {
    std::string service;     ///< Empty: the request has no slot.
    Microseconds until = 0;  ///< When the request leaves the queue at the latest.
};

/// A request's claim on its tenant's quota.
struct QuotaClaim {
    enum class State {
        None,      ///< The request needs no token, or has none.
        Waiting,   ///< It waits for a token.
        Reserved,  ///< It has a token.
        Spent,     ///< It was sent, and its token is used up.
    };
    State state = State::None;
    QuotaReservation reservation;
    std::string tenant;           ///< The tenant for whose token it waits.
    Microseconds waitsUntil = 0;  ///< When it stops waiting.
};

/// One request, from its acceptance to its end.
struct Request {
    std::int64_t id = 0;
    Route route;           ///< As of the newest configuration that the request was bound to.
    RequestTenant tenant;  ///< As of the same configuration.
    ReceivedRequest received;
    RequestAttempts attempts;
    RelayedStream relayed;
    RequestLimits limits;
    QueueEntry queueEntry;
    QuotaClaim quota;
    std::vector<std::string> trace;  ///< The decisions about the request, one line each, for operators.
    std::unique_ptr<RequestMachine> machine;

    Request();
    Request(Request&&) noexcept;
    auto operator=(Request&&) noexcept -> Request&;
    ~Request();
    [[nodiscard]] auto phase() const -> Phase;
    /// What the configuration permits. A request that was sent as not repeatable stays so, even if a newer
    /// configuration calls it repeatable.
    [[nodiscard]] auto retryRights() const -> RetryRights {
        return {route.mayRunAgain() && !attempts.sentAsNonRepeatable, route.resumable};
    }
    /// Whether it takes precedence over `other`: by the rank of the tenants, and for equal ranks by the
    /// urgency of the routes.
    [[nodiscard]] auto isMoreUrgentThan(const Request& other) const -> bool {
        if (tenant.rank != other.tenant.rank) return tenant.rank < other.tenant.rank;
        return route.urgency > other.route.urgency;
    }
    /// The number of times that the request may still migrate.
    [[nodiscard]] auto migrationsLeft() const -> int {
        return limits.migrationDisabled ? 0 : std::max(0, route.migrationLimit - attempts.migrations);
    }
};

}  // namespace duneturn
