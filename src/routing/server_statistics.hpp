#pragma once
// Statistics of servers and services, gathered from this node's attempts and from the answers of servers.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/dialect.hpp"
#include "routing/headers.hpp"
#include "routing/outlier_ejection.hpp"
#include "routing/prefix_cache.hpp"
#include "routing/route_table.hpp"

namespace duneturn {

/// Exponential smoothing of a positive value; 0 stands for "no value yet". The weights add up to 1.
struct ExponentialSmoothing {
    double keep;  ///< Weight of the previous value.
    double take;  ///< Weight of the new sample.
    [[nodiscard]] auto next(double previous, double sample) const -> double {
        return previous > 0 ? previous * keep + sample * take : sample;
    }
};

/// Statistics of one server. Members of type Microseconds are points in time; 0: never.
struct ServerStatistics {
    int inflight = 0;                ///< Attempts of this node that are in flight.
    int inflightAtGossipLoad = 0;    ///< Value of `inflight` when the newest gossiped load was first used.
    Microseconds gossipLoadAt = 0;   ///< When that load was read at the server.
    Microseconds lastFailureAt = 0;  ///< When a connection was last refused or lost.
    OutlierEjection ejection;
    double firstByteTime = 0;  ///< Smoothed time to the first byte, in microseconds.
    double eventGap = 0;       ///< Smoothed time between events of a stream, in microseconds.
    /// The newest load header of an answer: requests running and waiting, and slots.
    int running = 0, waiting = 0, slots = 0;
    int inflightAtLoadHeader = 0;      ///< Value of `inflight` when that header was received.
    Microseconds loadHeaderAt = 0;     ///< When that header was received.
    Microseconds fullUntil = 0;        ///< After an answer that it was full, others are preferred until then.
    Microseconds unansweredSince = 0;  ///< When the first attempt since its last answer was sent.
    Microseconds lastReceivedAt = 0;   ///< When it last sent anything.
    /// The revision of the listing under which another server answered at its address; -1: none.
    std::int64_t wrongAddressRevision = -1;
    Microseconds slowStartUntil = 0;  ///< According to the server's own answers.
    double coldBucket = 1;           ///< Tokens of the bucket that limits requests while cold; see SlowStart.
    Microseconds coldBucketAt = 0;   ///< When the bucket was last refilled.
    double reservedTokens = 0;       ///< KV-cache tokens of this node's requests, without shared prefixes.
    double pendingPromptTokens = 0;  ///< Prompt tokens sent to it for which no answer has begun.
    PrefixCache prefixCache;

    /// Whether the server has not answered for much longer than it usually takes to the first byte.
    [[nodiscard]] auto isSilent(Microseconds now) const -> bool;
    /// Records the time that an answer took to its first byte.
    auto recordFirstByte(Microseconds taken) -> void;
    /// Records the time between two successive events of a stream.
    auto recordEventGap(Microseconds gap) -> void;
};

/// Statistics of one service's requests, as observed by this node.
struct ServiceStatistics {
    double requestDuration = 0;  ///< Smoothed time for which a request occupies a server, in microseconds.
    double unsharedTokens = 0;   ///< Smoothed tokens of a request that no other request shares.
    double recentRequests = 0;   ///< Exponentially decayed number of accepted requests.
    /// The part of `recentRequests` that a single region may serve, by region.
    std::map<std::string, double> singleRegionRequests;
    std::int64_t loadReports = 0;   ///< Load headers received.
    double otherNodesRequests = 0;  ///< Smoothed number of other nodes' requests at one server.

    auto recordRequestDuration(Microseconds taken) -> void;
    auto recordUnsharedTokens(std::int64_t tokens) -> void;
    /// Records an accepted request. `region`: the only region that may serve it; empty if several may.
    auto recordRequest(const std::string& region) -> void;
    auto recordOtherNodesRequests(double requests) -> void;
};

/// The statistics of all servers and services. `node` must outlive this object.
class ServerStatisticsTable {
  public:
    explicit ServerStatisticsTable(const Node& node) : node_(node) {}

    /// The statistics of a server; created if there are none.
    auto of(const std::string& server) -> ServerStatistics& { return servers_[server]; }
    /// The statistics of a server; null if there are none.
    [[nodiscard]] auto find(const std::string& server) const -> const ServerStatistics*;
    /// The statistics of a service; created if there are none.
    auto ofService(const std::string& service) -> ServiceStatistics& { return services_[service]; }

    /// The requests at a server according to the gossiped load, plus those that this node has sent since.
    [[nodiscard]] auto reportedLoad(const std::string& name, const KnownServer& server) -> double;
    /// The estimated number of requests at a server: this node's requests, plus other nodes' requests
    /// according to its newest load header. As those requests end, the estimate moves from the header's
    /// number to the service's average. A gossiped load that is newer than the header is used instead.
    [[nodiscard]] auto load(const std::string& name, const KnownServer& server, Microseconds now) -> double;
    /// The requests that a server runs concurrently, at least 1: from its load header, else its listing, else
    /// the service's rule.
    [[nodiscard]] auto slots(const std::string& name, const KnownServer& server, const ServiceRule& rule)
        -> int;
    /// The median of a statistic over a service's servers; 0 if fewer than three servers have a value.
    [[nodiscard]] auto median(const std::string& service, double ServerStatistics::*statistic) const
        -> double;

    /// Records an answer of a server, with the load and the cold time that its headers report.
    auto readAnswer(const std::string& name, const Headers& headers, const Dialect& dialect, Microseconds now)
        -> void;
    /// The attempts in flight at all servers.
    [[nodiscard]] auto inflight() const -> int;
    /// Removes servers that are no longer listed and have no attempt of this node in flight.
    auto forgetUnlisted() -> void;

  private:
    auto readLoad(const std::string& name, const std::string& text, Microseconds now) -> void;

    const Node& node_;
    std::map<std::string, ServerStatistics> servers_;
    std::map<std::string, ServiceStatistics> services_;
};

}  // namespace duneturn
