#pragma once
// Predicts how soon a server would answer a request, by which candidates are compared.
#include <cstdint>

#include "base/time.hpp"
#include "routing/candidate_filters.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// Which parts of a prompt a server's KV cache is assumed to hold.
enum class PrefixAssumption {
    AsRecorded,   ///< Those that this node sent to it.
    SharedParts,  ///< All shared ones, as for an affinity server, to which other nodes send the prefix too.
};

/// The prompt tokens that a server would have to process: all but the leading parts that its cache holds.
[[nodiscard]] auto uncachedPromptTokens(const ServerStatistics& statistics, const ReceivedRequest& request,
    PrefixAssumption assumption) -> std::int64_t;

/// Rates candidates by the statistics of servers. `statistics` must outlive this object.
class Scoring {
  public:
    explicit Scoring(ServerStatisticsTable& statistics) : statistics_(statistics) {}

    /// Predicts the time to the first byte of the answer, in microseconds. The lower the server's health
    /// score, the longer the prediction.
    [[nodiscard]] auto predictFirstByte(const Candidate& candidate, const Request& request,
        const ServiceRule& rule, PrefixAssumption assumption, Microseconds now) -> double;
    /// Whether a request fits into an engine's KV cache beside the requests that run there. Requests of this
    /// node count with their own tokens, requests of other nodes with the service's average. Of shared
    /// prefixes only the request's own counts, since others can be evicted.
    [[nodiscard]] auto fitsInKvCache(const Candidate& candidate, const Request& request,
        const ServiceRule& rule, Microseconds now) -> bool;

  private:
    ServerStatisticsTable& statistics_;
};

}  // namespace duneturn
