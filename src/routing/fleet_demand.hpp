#pragma once
// What the clients of all nodes ask of one service, summed from the demand that each node publishes of itself
// in its record. A node's newest report replaces its former one, so that hearing it twice changes nothing;
// what a node published may be some seconds old (gossip_sending.cpp).
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/prompt_demand.hpp"
#include "routing/server_statistics.hpp"

namespace duneturn {

/// The demand on one service by class of prompt length.
class FleetDemand {
  public:
    using ClassLoads = std::array<PromptLoad, PromptDemand::CLASSES>;

    /// Adds what a node published of its clients. `clientRegion`: where the node is. Numbers that no node
    /// could serve are bounded, classes that do not exist left out.
    auto add(const std::string& clientRegion, const wire::ServiceDemand& demand) -> void;

    /// Of requests that only servers of `region` may serve.
    [[nodiscard]] auto bound(const std::string& region, std::size_t promptClass) const -> PromptLoad;
    /// Of requests of clients in `region` that servers of several regions may serve.
    [[nodiscard]] auto free(const std::string& region, std::size_t promptClass) const -> PromptLoad;
    /// How long an engine reads a prompt of a class, in microseconds: the median of what nodes learnt, or
    /// what is configured if none did.
    [[nodiscard]] auto readingTime(std::size_t promptClass) const -> double;
    /// Requests a second.
    [[nodiscard]] auto requests() const -> double { return requests_; }

  private:
    std::map<std::string, ClassLoads> bound_, free_;
    std::array<std::vector<double>, PromptDemand::CLASSES> readingTimes_;
    double requests_ = 0;
};

/// What this node publishes of its own clients.
[[nodiscard]] auto demandToPublish(const ServerStatisticsTable& statistics, Microseconds now)
    -> std::vector<wire::ServiceDemand>;

/// The sum of what this node and all others that live publish of a service.
[[nodiscard]] auto fleetDemandOf(const std::string& service, const Node& node,
    const std::vector<wire::ServiceDemand>& own, Microseconds now) -> FleetDemand;

}  // namespace duneturn
