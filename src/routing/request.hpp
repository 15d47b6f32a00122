#pragma once
// A client's request on its way: as it was received, its attempts, what was relayed of its answer, and
// what limits it.
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

/// Where a request stands; request_phases.cpp says what may follow what.
enum class Phase { Queued, Sending, Delivering, Migrating, Finished };
struct RequestMachine;

/// The request as its client sent it; not changed after it was accepted.
struct ReceivedRequest {
    std::string method, path, body, host;
    std::string name;    ///< The client's own, or one that this node made.
    std::string region;  ///< Where the client is.
    std::string model;   ///< That the client asked for; empty: the route's.
    Headers headers;     ///< Less those of withoutTenantHeaders.
    Microseconds acceptedAt = 0;
    /// The parts of its prompt by their hashes, with their tokens; the last is its own.
    std::vector<std::pair<std::uint64_t, std::int64_t>> promptParts;
    std::uint64_t prefixKey = 0;  ///< Of the prompt's shared beginning; 0: none is known.
    std::int64_t promptTokens = 0, outputTokens = 0, sharedTokens = 0;
    /// The tokens that only this request needs.
    [[nodiscard]] auto ownTokens() const -> std::int64_t {
        return std::max<std::int64_t>(0, promptTokens - sharedTokens) + outputTokens;
    }
};

/// The attempts of a request: one send of it to one server each.
struct RequestAttempts {
    int current = 0;  ///< The present attempt's number; what names another is ignored.
    std::string server, weights;
    Microseconds chosenAt = 0;          ///< When its server was chosen.
    Microseconds lastActivityAt = 0;    ///< When its server last sent something, or begun to be written to.
    Microseconds nextStallCheckAt = 0;  ///< Until then its silence is not looked at again.
    bool countedInflight = false;       ///< It counts among its server's attempts under way.
    std::int64_t unreadTokens = 0;      ///< Of the prompt, that its server has not read yet.
    bool onReusedConnection = false;    ///< Its connection carried another request before.
    double eventGap = 0;                ///< Smoothed time between its events, in microseconds.
    int eventGapSamples = 0;
    int headReadOf = 0;      ///< The attempt whose head was read.
    AttemptTracker tracker;  ///< What is known of it and of those before it.
    int sent = 0;            ///< Attempts that count against the route's maximum.
    int migrations = 0;
    int heldBack = 0;                   ///< Attempts given up just before the first byte.
    int refusals = 0;                   ///< Connections refused.
    bool noneCounted = true;            ///< The budget has not counted the first attempt yet.
    bool sentUnrepeatable = false;      ///< Sent while the configuration called it not repeatable.
    std::vector<std::string> tried;     ///< Servers of earlier attempts,
    std::vector<std::string> rejected;  ///< and those of them where nothing ran.
};

/// What was relayed of a streamed answer.
struct RelayedStream {
    bool headSent = false;
    int status = 200;  ///< Of the first server's head,
    Headers headers;   ///< and its headers.
    std::string weights;
    std::int64_t lastEventId = -1;    ///< Of the newest event relayed; -1: none was.
    bool hasOrderedIds = true;        ///< Ids so far were whole numbers that rise as they should.
    std::vector<std::string> events;  ///< Relayed ones, kept while the request may still migrate.
};

/// What limits a request.
struct RequestLimits {
    Microseconds deadline = 0;
    std::int64_t routesRevision = 0;  ///< Of the routes that bind it.
    std::int64_t sequenceTokens = 0;  ///< Prompt and events so far, as counted or estimated here.
    bool migrationDisabled = false;   ///< It can no longer migrate, whatever the limit.
    bool resumedByClient = false;     ///< Its client lost another node and goes on with its stream here.
};

/// A place in a service's queue.
struct QueuePlace {
    std::string service;     ///< Empty: it holds no place.
    Microseconds until = 0;  ///< When it has waited long enough.
};

/// A request's claim on its tenant's quota.
struct QuotaClaim {
    enum class State {
        None,      ///< It needs no token, or has none.
        Waiting,   ///< It waits for one.
        Reserved,  ///< It has one.
        Spent,     ///< It was sent with one.
    };
    State state = State::None;
    QuotaReservation reservation;
    std::string tenant;           ///< For which it waits.
    Microseconds waitsUntil = 0;  ///< When it has waited long enough.
};

/// One request, from its acceptance to its end.
struct Request {
    std::int64_t id = 0;
    Route route;           ///< As the newest configuration that binds it says.
    RequestTenant tenant;  ///< Likewise.
    ReceivedRequest received;
    RequestAttempts attempts;
    RelayedStream relayed;
    RequestLimits limits;
    QueuePlace queuePlace;
    QuotaClaim quota;
    std::vector<std::string> trace;  ///< What was decided of it, for operators.
    std::unique_ptr<RequestMachine> machine;

    Request();
    Request(Request&&) noexcept;
    auto operator=(Request&&) noexcept -> Request&;
    ~Request();
    [[nodiscard]] auto phase() const -> Phase;
    /// What the configuration allows it. One that was sent as not repeatable stays so.
    [[nodiscard]] auto retryRights() const -> RetryRights {
        return {route.mayRunAgain() && !attempts.sentUnrepeatable, route.resumable};
    }
    /// Whether it goes before another: by the tenants' ranks, and between like ranks by the routes' urgency.
    [[nodiscard]] auto isMoreUrgentThan(const Request& other) const -> bool {
        if (tenant.rank != other.tenant.rank) return tenant.rank < other.tenant.rank;
        return route.urgency > other.route.urgency;
    }
    /// The migrations that are left to it.
    [[nodiscard]] auto migrationsLeft() const -> int {
        return limits.migrationDisabled ? 0 : std::max(0, route.migrationLimit - attempts.migrations);
    }
};

}  // namespace duneturn
