#pragma once
// Migration: when a server fails, its request goes on at another one.
//
// Source: "LLM Request Migration on Engine Failure" (nnshah1 and kthui, approved, reviewed July 21 2025;
// ai-dynamo/enhancements pull request 25). A stage in the frontend keeps the original request, what was
// received of its answer, and a count of migrations left. If a stream cannot be created, the stage takes
// one off the count and sends the original request to another worker; if a stream ends before the answer is
// complete, it takes one off the count and goes on with what was received. The count is set per model
// and is 0 unless configured; past a maximum sequence length it becomes 0. At 0 the failure goes to the
// client. docs/source-design.md says what was kept of it, and what was changed and why.
//
// Here: the count is Request::migrationsLeft, of ModelRule::migrationLimit (default 0) in the newest
// configuration; the maximum sequence length is ModelRule::maxSequenceTokens.
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

/// Whether an attempt that is asked about was granted already, or would be one more.
enum class AttemptGrant { Granted, Further };

/// The rules of migration. Nothing is sent here.
class Migration {
  public:
    Migration(const RouteTable& routes, const Dialect& dialect, const ServerStatisticsTable& statistics,
        const EdgeFaults& faults)
        : routes_(routes), dialect_(dialect), statistics_(statistics), faults_(faults) {}

    /// Why a request may not be sent, whatever the server; empty if it may. `earlier`: what is known of
    /// all attempts before.
    [[nodiscard]] auto objection(const Request& request, Execution earlier, AttemptGrant grant) const
        -> std::string;
    /// A client whose own node was lost picks its stream up here. That is a migration which the client asks
    /// for: allowed where ours are, counted as ours are, of the same weights only. Why it may not be;
    /// empty if it may.
    auto resumeForClient(Request& request, const std::string& lastEventId, const std::string& weights) const
        -> std::string;

    /// An event was relayed: it adds to the sequence, and is kept while the request may still migrate. True
    /// if it took the request past its maximum sequence length, from where on it no longer may.
    auto recordRelayed(Request& request, const ServerSentEvent& event) const -> bool;

    /// How long the silence of a server is borne by a request that may migrate. Where the configuration
    /// does not say, it migrates while it may still come in time, unless the whole service is that slow.
    [[nodiscard]] auto silenceLimit(const Request& request) const -> Microseconds;
    /// The present attempt's event came `gap` after what came before it. Why its server is so slow beside
    /// its like that the stream would better migrate; nothing if it is not. Only once a stream.
    [[nodiscard]] auto crawls(Request& request, Microseconds gap) const -> std::optional<std::string>;

  private:
    [[nodiscard]] auto tokensPerEvent(const Request& request, const ServerSentEvent& event) const -> int;

    const RouteTable& routes_;
    const Dialect& dialect_;
    const ServerStatisticsTable& statistics_;
    const EdgeFaults& faults_;
};

}  // namespace duneturn
