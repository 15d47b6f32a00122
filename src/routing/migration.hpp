#pragma once
// Migration: when a server fails, its requests continue at other servers.
//
// Source: "LLM Request Migration on Engine Failure" (nnshah1 and kthui, approved, reviewed July 21 2025;
// ai-dynamo/enhancements pull request 25). A stage in the frontend keeps the original request, the part of
// the response received so far, and the number of migrations left. If a stream cannot be created, the stage
// decrements the number and sends the original request to another worker. If a stream ends before the
// response is complete, it decrements the number and continues from the part received. The number is set per
// model and is 0 unless configured; beyond a maximum sequence length it becomes 0. At 0 the failure is
// reported to the client. docs/source-design.md lists the differences from that design and their reasons.
//
// Here the number is Request::migrationsLeft, from ModelRule::migrationLimit (default 0) in the newest
// configuration. The maximum sequence length is ModelRule::maxSequenceTokens.
#include <optional>
#include <string>

#include "base/time.hpp"
#include "routing/attempt_state.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_faults.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"
#include "net/event_stream.hpp"

namespace duneturn {

/// Whether the migration that a check is about is already included in RequestAttempts::migrations.
enum class MigrationCharge { AlreadyCounted, NotYetCounted };

/// Decides whether a request may migrate or be resumed. It sends nothing itself.
class Migration {
  public:
    Migration(const RouteTable& routes, const Dialect& dialect, const ServerStatisticsTable& statistics,
        const EdgeFaults& faults)
        : routes_(routes), dialect_(dialect), statistics_(statistics), faults_(faults) {}

    /// Returns why a request may not be sent to any server; empty if it may. `earlier` is what is known about
    /// the execution by all attempts so far.
    [[nodiscard]] auto rejectionReason(
        const Request& request, Execution earlier, MigrationCharge charge) const -> std::string;
    /// Prepares a request by which a client that lost its node resumes its stream at this node. This is a
    /// migration requested by the client: it is permitted and counted like one of the router's own and
    /// continues only on the same version of the weights. Returns why it is rejected; empty if it is not.
    auto resumeForClient(Request& request, const std::string& lastEventId, const std::string& weights) const
        -> std::string;

    /// Adds the tokens of a forwarded event to the request's sequence, and keeps the event while the request
    /// may still migrate. Returns true if the request now exceeds its maximum sequence length and so can no
    /// longer migrate.
    auto recordRelayed(Request& request, const ServerSentEvent& event) const -> bool;

    /// Returns how long the server of a request that may migrate can be silent before the request migrates.
    /// Unless the configuration sets the time, it is short enough that another server can still meet the
    /// latency target, but longer than the usual response times of the service.
    [[nodiscard]] auto silenceTimeout(const Request& request) const -> Microseconds;
    /// Records that an event of the current attempt arrived `gap` after the previous activity. If the server
    /// is so much slower than the median of its service that the stream should migrate, returns the reason.
    /// A stream that has migrated before does not migrate again for this reason.
    [[nodiscard]] auto slowServerReason(Request& request, Microseconds gap) const
        -> std::optional<std::string>;

  private:
    [[nodiscard]] auto tokensPerEvent(const Request& request, const ServerSentEvent& event) const -> int;

    const RouteTable& routes_;
    const Dialect& dialect_;
    const ServerStatisticsTable& statistics_;
    const EdgeFaults& faults_;
};

}  // namespace duneturn
