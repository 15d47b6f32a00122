#pragma once
// Slow start: a server that has just started, or come back, is sent little at first.
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

/// Whether an answer about a cold server's bucket takes from it.
enum class BucketUse { Peek, Consume };

/// Two rules. Where the configuration says nothing of the service, a server's room grows from
/// RouteTable::slowStartInitialSlots to all its slots over RouteTable::slowStartDuration. Where it names a
/// cold rate, a cold server bears that many requests a second. Both are limits of all nodes together, and are
/// dealt out to nodes by rendezvous hashing, so that nobody has to ask.
class SlowStart {
  public:
    SlowStart(const Node& node, const RouteTable& routes, ServerStatisticsTable& statistics,
        const FleetSize& fleet, const EdgeFaults& faults)
        : node_(node), routes_(routes), statistics_(statistics), fleet_(fleet), faults_(faults) {}

    /// How many attempts of this node may be under way at a server.
    [[nodiscard]] auto rampShare(const std::string& name, const KnownServer& server, Microseconds now) -> int;
    /// Whether a server may be sent one more request now; always if it is not cold.
    auto admits(const std::string& name, const KnownServer& server, const ServiceRule& rule, Microseconds now,
        BucketUse use) -> bool;
    /// The zones that are evacuated now. Servers of one that no longer is may have turned cold.
    auto setEvacuatedZones(std::set<std::string> zones) -> void;
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
    std::map<std::string, Microseconds> restoredZones_;  // when it was restored; -1 until the next tick
    Microseconds listedAt_ = 0;                          // when servers were first known; 0: not yet
};

}  // namespace duneturn
