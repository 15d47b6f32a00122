#pragma once
// Slow start: a server that has just started or recovered receives requests at a limited rate.
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/edge_faults.hpp"
#include "routing/fleet_size.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// Whether SlowStart::admits consumes a token of the server's bucket or only checks for one.
enum class BucketUse { Peek, Consume };

/// Applies one of two limits. For a service without a rule, the concurrency of a server grows from
/// RouteTable::slowStartInitialSlots to all its slots over RouteTable::slowStartDuration. For a service with
/// a cold rate, a cold server gets that many requests per second. Both limits hold for all nodes together.
/// They are divided among the nodes by rendezvous hashing, so that no communication is needed.
class SlowStart {
  public:
    SlowStart(const Node& node, const RouteTable& routes, ServerStatisticsTable& statistics,
        const FleetSize& fleet, const EdgeFaults& faults)
        : node_(node), routes_(routes), statistics_(statistics), fleet_(fleet), faults_(faults) {}

    /// The number of attempts that this node may have in flight at a server.
    [[nodiscard]] auto concurrencyLimit(const std::string& name, const KnownServer& server, Microseconds now)
        -> int;
    /// Whether a server may get another request now; always true if it is not cold.
    auto admits(const std::string& name, const KnownServer& server, const ServiceRule& rule, Microseconds now,
        BucketUse use) -> bool;
    /// Sets the evacuated zones. Servers in a zone that is no longer evacuated count as cold for a while,
    /// since they may have restarted unnoticed.
    auto setEvacuatedZones(std::set<std::string> zones) -> void;
    /// Updates the times of restored zones; called periodically.
    auto tick(Microseconds now) -> void;

  private:
    [[nodiscard]] auto isCold(const std::string& name, const KnownServer& server, const ServiceRule& rule,
        Microseconds now) -> bool;
    [[nodiscard]] auto upTime(const std::string& name, const KnownServer& server, Microseconds now)
        -> Microseconds;

    const Node& node_;
    const RouteTable& routes_;
    ServerStatisticsTable& statistics_;
    const FleetSize& fleet_;
    const EdgeFaults& faults_;
    std::set<std::string> evacuatedZones_;
    std::map<std::string, Microseconds> restoredZones_;  // time of the restoration; -1 until the next tick
    Microseconds firstListedAt_ = 0;                     // when this node first knew any server; 0: not yet
};

}  // namespace duneturn
