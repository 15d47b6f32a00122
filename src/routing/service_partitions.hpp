#pragma once
// Which engines of each service read long prompts, by the service's SizePartition. Nodes that observe the
// same demand name the same engines: those that come first by a hash of their names.
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/dialect.hpp"
#include "routing/fleet_demand.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"
#include "routing/size_partition.hpp"

namespace duneturn {

/// The divisions of all services of engines.
class ServicePartitions {
  public:
    /// A service's division and the servers that it names.
    struct Entry {
        SizePartition partition;
        std::set<std::string> readingServers;
        Microseconds learningSince = 0;  ///< When demand was first seen.
    };

    ServicePartitions(
        Node& node, const RouteTable& routes, const Dialect& dialect, const ServerStatisticsTable& statistics)
        : node_(node), routes_(routes), dialect_(dialect), statistics_(statistics) {}

    /// Called every 20 ms or so; plans anew from time to time.
    auto tick(Microseconds now) -> void;

    [[nodiscard]] auto isDivided(const std::string& service) const -> bool;
    /// Whether a prompt of so many tokens is long for a service.
    [[nodiscard]] auto isLong(const std::string& service, std::int64_t promptTokens) const -> bool;
    /// Whether a server is one of those that read long prompts.
    [[nodiscard]] auto readsLongPrompts(const std::string& service, const std::string& server) const -> bool;
    [[nodiscard]] auto entries() const -> const std::map<std::string, Entry>& { return entries_; }

  private:
    auto plan(const std::string& service, const ServiceRule& rule, Microseconds now) -> void;

    Node& node_;
    const RouteTable& routes_;
    const Dialect& dialect_;
    const ServerStatisticsTable& statistics_;
    std::map<std::string, Entry> entries_;
    std::vector<wire::ServiceDemand> published_;  // in this node's record
    Microseconds plannedAt_ = 0;
};

}  // namespace duneturn
