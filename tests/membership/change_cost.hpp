#pragma once
// What a change of the replicated state costs a fleet until it is in force.
#include <cstdint>
#include <cstdlib>

#include <fmt/format.h>

#include "base/time.hpp"
#include "membership/fleet_fixture.hpp"

namespace duneturn {

struct ChangeCost {
    std::int64_t bytesPerNode = 0;  ///< Beyond what the fleet sends at rest, within the second of the change.
    Microseconds duration = 0;      ///< From the order until it is in force.
};

/// Orders a change in a fleet at rest. Fails unless `isInForce` holds within a second.
template <class Order, class InForce>
auto measureChange(Fleet& fleet, const Order& order, const InForce& isInForce) -> ChangeCost {
    fleet.countBytes = true;
    fleet.run(SECOND);
    auto bytesAtRest = fleet.bytesSent;
    fleet.bytesSent = 0;
    auto orderedAt = fleet.t;
    order();
    CHECK(fleet.until(SECOND - (fleet.t - orderedAt), isInForce));
    auto cost = ChangeCost();
    cost.duration = fleet.t - orderedAt;
    fleet.run(SECOND - cost.duration);
    cost.bytesPerNode = (fleet.bytesSent - bytesAtRest) / std::int64_t(fleet.nodes.size());
    if (getenv("DT_SHOW"))
        fmt::print("{} bytes a node, everywhere after {} us\n", cost.bytesPerNode, cost.duration);
    CHECK(cost.bytesPerNode > 100);  // shows that bytes are counted at all
    return cost;
}

}  // namespace duneturn
