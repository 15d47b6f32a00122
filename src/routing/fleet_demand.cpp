#include "routing/fleet_demand.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace duneturn {
namespace {

constexpr auto MILLI = 1000.0;
constexpr auto MOST_MILLI = std::int32_t(100'000'000);       // requests of one class at one node
constexpr auto LONGEST_READING = std::int32_t(60 * SECOND);  // in microseconds

auto loadOf(const std::map<std::string, FleetDemand::ClassLoads>& loads, const std::string& region,
    std::size_t promptClass) -> PromptLoad {
    auto found = loads.find(region);
    return found == loads.end() ? PromptLoad() : found->second.at(promptClass);
}

auto inMilli(double value) -> std::int32_t { return std::int32_t(std::lround(value * MILLI)); }

// The classes of one service's demand that is bound to one region.
auto demandToPublish(const std::string& service, const std::string& region,
    const ServiceStatistics& statistics, Microseconds now) -> wire::ServiceDemand {
    auto published = wire::ServiceDemand();
    published.serviceName = service;
    published.region = region;
    for (auto promptClass = std::size_t(0); promptClass < PromptDemand::CLASSES; promptClass++) {
        auto load = statistics.demand.load(region, promptClass, now);
        if (inMilli(load.requests) <= 0) continue;
        published.promptClasses.push_back(std::int32_t(promptClass));
        published.milliRequests.push_back(inMilli(load.requests));
        published.milliRunning.push_back(inMilli(load.running));
        published.readingTimes.push_back(std::int32_t(statistics.curve.learntReadingTime(promptClass)));
    }
    return published;
}

}  // namespace

auto FleetDemand::add(const std::string& clientRegion, const wire::ServiceDemand& demand) -> void {
    auto count = std::min({demand.promptClasses.size(), demand.milliRequests.size(),
        demand.milliRunning.size(), demand.readingTimes.size()});
    auto& loads = demand.region.empty() ? free_[clientRegion] : bound_[demand.region];
    for (auto i = std::size_t(0); i < count; i++) {
        auto promptClass = demand.promptClasses[i];
        if (promptClass < 0 || std::size_t(promptClass) >= PromptDemand::CLASSES) continue;
        auto requests = std::clamp(demand.milliRequests[i], 0, MOST_MILLI) / MILLI;
        auto& load = loads[std::size_t(promptClass)];
        load.requests += requests;
        load.running += std::clamp(demand.milliRunning[i], 0, MOST_MILLI) / MILLI;
        requests_ += requests;
        if (auto time = std::min(demand.readingTimes[i], LONGEST_READING); time > 0)
            readingTimes_[std::size_t(promptClass)].push_back(time);
    }
}

auto FleetDemand::bound(const std::string& region, std::size_t promptClass) const -> PromptLoad {
    return loadOf(bound_, region, promptClass);
}

auto FleetDemand::free(const std::string& region, std::size_t promptClass) const -> PromptLoad {
    return loadOf(free_, region, promptClass);
}

auto FleetDemand::readingTime(std::size_t promptClass) const -> double {
    auto times = readingTimes_.at(promptClass);
    if (times.empty()) return configuredReadingTime(promptClass);
    auto middle = times.begin() + std::ptrdiff_t(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

auto demandToPublish(const ServerStatisticsTable& statistics, Microseconds now)
    -> std::vector<wire::ServiceDemand> {
    auto published = std::vector<wire::ServiceDemand>();
    for (auto& [service, figures] : statistics.services())
        for (auto& region : figures.demand.regions()) {
            auto demand = demandToPublish(service, region, figures, now);
            if (!demand.promptClasses.empty()) published.push_back(std::move(demand));
        }
    return published;
}

auto fleetDemandOf(const std::string& service, const Node& node, const std::vector<wire::ServiceDemand>& own,
    Microseconds now) -> FleetDemand {
    auto sum = FleetDemand();
    auto add = [&](const std::string& region, const std::vector<wire::ServiceDemand>& published) {
        for (auto& demand : published)
            if (demand.serviceName == service) sum.add(region, demand);
    };
    add(node.ownRecord().region, own);
    for (auto& [name, known] : node.nodes())
        if (node.alive(name, now)) add(known.record.region, known.record.demand);
    return sum;
}

}  // namespace duneturn
