#pragma once
// What this node knows of servers and services from its own attempts and from servers' answers.
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

/// The weights of an exponentially smoothed figure: what is kept of the old value, what is taken of a
/// new one. 0 stands for "no value yet".
struct ExponentialSmoothing {
    double keep, take;
    [[nodiscard]] auto next(double previous, double sample) const -> double {
        return previous > 0 ? previous * keep + sample * take : sample;
    }
};

/// Figures of one server. Times are points in time unless called otherwise; 0: never.
struct ServerStatistics {
    int inflight = 0;          ///< Attempts of this node under way.
    int inflightAtReport = 0;  ///< Those of them when its newest load report came.
    Microseconds reportAt = 0;
    Microseconds lastFailureAt = 0;  ///< When an attempt was last refused or broke.
    OutlierEjection ejection;
    double firstByteTime = 0;  ///< Smoothed time to the first byte, in microseconds.
    double eventGap = 0;       ///< Smoothed time from one event to the next, in microseconds.
    // What it said of itself in an answer, and how many attempts of ours it had then.
    int running = 0, waiting = 0, slots = 0, inflightAtLoad = 0;
    Microseconds loadAt = 0;
    Microseconds fullUntil = 0;        ///< It said that it was full.
    Microseconds unansweredSince = 0;  ///< The first attempt since it last answered.
    Microseconds lastReceivedAt = 0;   ///< When it last answered.
    /// The revision of the listing under which another server answered at its address.
    std::int64_t wrongAddressRevision = -1;
    Microseconds slowStartUntil = 0;  ///< As it said itself.
    double coldBucket = 1;            ///< Requests that a cold one may still be sent; see SlowStart.
    Microseconds coldBucketAt = 0;    ///< When the bucket was last filled.
    double reservedTokens = 0;        ///< Of its memory that ours hold, beside what they share.
    double pendingPromptTokens = 0;   ///< Of prompts sent to it that it has not begun to answer.
    PrefixCache prefixCache;

    /// It was sent something that it has not answered for much longer than it usually takes.
    [[nodiscard]] auto isSilent(Microseconds now) const -> bool;
    /// The first bytes of an answer came.
    auto recordFirstByte(Microseconds taken) -> void;
    /// An event of a stream came `gap` after what came before it.
    auto recordEventGap(Microseconds gap) -> void;
};

/// Figures of one service's requests, as this node sees them.
struct ServiceStatistics {
    double requestDuration = 0;  ///< Smoothed: how long a request takes a server, in microseconds.
    double unsharedTokens = 0;   ///< Smoothed: the tokens that only one request needs.
    double recentRequests = 0;   ///< Requests of late; older ones count less and less.
    std::map<std::string, double> boundByRegion;  ///< Those of them that only one region may serve.
    std::int64_t loadReports = 0;
    double requestsOfOthers = 0;  ///< Smoothed: what a server holds of other nodes' requests.

    auto recordRequestDuration(Microseconds taken) -> void;
    auto recordUnsharedTokens(std::int64_t tokens) -> void;
    /// A request was accepted that only `region` may serve; empty: that several may.
    auto recordRequest(const std::string& region) -> void;
    auto recordRequestsOfOthers(double requests) -> void;
};

/// The statistics of all servers and services.
class ServerStatisticsTable {
  public:
    explicit ServerStatisticsTable(const Node& node) : node_(node) {}

    /// A server's statistics; new ones if there are none.
    auto of(const std::string& server) -> ServerStatistics& { return servers_[server]; }
    [[nodiscard]] auto find(const std::string& server) const -> const ServerStatistics*;
    auto ofService(const std::string& service) -> ServiceStatistics& { return services_[service]; }

    /// Requests that a server holds by the load reports that nodes send each other, ours since then included.
    [[nodiscard]] auto reportedLoad(const std::string& name, const KnownServer& server) -> double;
    /// Requests that a server holds: ours, and what it last said of others'. As those come to their ends,
    /// what was said counts for less and less, and the service's average more.
    [[nodiscard]] auto load(const std::string& name, const KnownServer& server, Microseconds now) -> double;
    /// Requests that a server runs at once: as it says, as it is listed, as the configuration says.
    [[nodiscard]] auto slots(const std::string& name, const KnownServer& server, const ServiceRule& rule)
        -> int;
    /// The median of a figure over a service's servers; 0 if fewer than three have one.
    [[nodiscard]] auto median(const std::string& service, double ServerStatistics::*figure) const -> double;

    /// What a server says of itself in the headers of an answer.
    auto readAnswer(const std::string& name, const Headers& headers, const Dialect& dialect, Microseconds now)
        -> void;
    /// Attempts under way at all servers.
    [[nodiscard]] auto inflight() const -> int;
    /// Forgets servers that are no longer listed and hold nothing of ours.
    auto forgetUnlisted() -> void;

  private:
    auto readLoad(const std::string& name, const std::string& text, Microseconds now) -> void;

    const Node& node_;
    std::map<std::string, ServerStatistics> servers_;
    std::map<std::string, ServiceStatistics> services_;
};

}  // namespace duneturn
