#pragma once
// How well a server would serve a request: the predicted time to the answer's first byte.
#include <cstdint>

#include "base/time.hpp"
#include "routing/candidate_filters.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// What a server's cache is taken to hold of a prompt.
enum class PrefixAssumption {
    AsRecorded,   ///< What it was sent by this node.
    SharedParts,  ///< All but the request's own part, as a cache home does that other nodes send to too.
};

/// The prompt's tokens that a server would have to read: all but the leading parts that it holds.
[[nodiscard]] auto uncachedPromptTokens(const ServerStatistics& statistics, const ReceivedRequest& request,
    PrefixAssumption assumption) -> std::int64_t;

/// Scores of servers by what is known of them.
class Scoring {
  public:
    explicit Scoring(ServerStatisticsTable& statistics) : statistics_(statistics) {}

    /// When the answer would begin, in microseconds from now, the longer the less fit the server is.
    [[nodiscard]] auto predictFirstByte(const Candidate& candidate, const Request& request,
        const ServiceRule& rule, PrefixAssumption assumption, Microseconds now) -> double;
    /// Whether an engine's memory has room for a request beside what runs there: ours as we know them, the
    /// others as the service's requests are on average. What is shared is there once, and gives way.
    [[nodiscard]] auto fitsInMemory(const Candidate& candidate, const Request& request,
        const ServiceRule& rule, Microseconds now) -> bool;

  private:
    ServerStatisticsTable& statistics_;
};

}  // namespace duneturn
