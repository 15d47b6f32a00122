#include "routing/service_partitions.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "routing/candidate_filters.hpp"

namespace duneturn {
namespace {

constexpr auto PLAN_INTERVAL = 100 * MILLISECOND;
constexpr auto LEARNING = 10 * SECOND;  // after which the demand has been observed for long enough
constexpr auto ORDER_SEED = 5;          // each use of hash64 has a seed of its own

// Servers by a hash of their names: the order in which they come to read long prompts.
using OrderedServers = std::vector<std::pair<std::uint64_t, std::string>>;

}  // namespace

auto ServicePartitions::tick(Microseconds now) -> void {
    if (!dialect_.clientNamesRequests || now - plannedAt_ < PLAN_INTERVAL) return;
    plannedAt_ = now;
    published_ = demandToPublish(statistics_, now);
    node_.setDemand(published_);
    for (auto& [service, statistics] : statistics_.services())
        if (auto rule = serviceRuleOf(routes_, dialect_, service); rule && rule->isEngine)
            plan(service, *rule, now);
}

auto ServicePartitions::plan(const std::string& service, const ServiceRule& rule, Microseconds now) -> void {
    auto servers = std::map<std::string, OrderedServers>();
    for (auto& [name, server] : node_.servers()) {
        auto& listing = server.listing;
        if (listing.serviceName != service || listing.state != UP) continue;
        if (!isOutsideEvacuatedZones(server, node_.replicatedState())) continue;
        servers[listing.region].emplace_back(hash64(name, ORDER_SEED), name);
    }
    auto& entry = entries_[service];
    auto demand = fleetDemandOf(service, node_, published_, now);
    if (!entry.learningSince && demand.requests() > 0) entry.learningSince = now;
    auto inputs = PartitionInputs{demand, {}, rule.slots,
        demand.requests() * double(std::min(now - entry.learningSince, LEARNING)) / double(SECOND)};
    for (auto& [region, ordered] : servers) inputs.servers[region] = int(ordered.size());
    entry.partition = planPartition(inputs, entry.partition);
    entry.readingServers.clear();
    if (!entry.partition.isDivided()) return;
    for (auto& [region, ordered] : servers) {
        std::sort(ordered.begin(), ordered.end());
        auto reading = std::size_t(std::max(0, entry.partition.readingServers[region]));
        for (auto i = std::size_t(0); i < std::min(reading, ordered.size()); i++)
            entry.readingServers.insert(ordered[i].second);
    }
}

auto ServicePartitions::isDivided(const std::string& service) const -> bool {
    auto found = entries_.find(service);
    return found != entries_.end() && found->second.partition.isDivided();
}

auto ServicePartitions::isLong(const std::string& service, std::int64_t promptTokens) const -> bool {
    auto found = entries_.find(service);
    return found != entries_.end() && found->second.partition.isLong(promptTokens);
}

auto ServicePartitions::readsLongPrompts(const std::string& service, const std::string& server) const
    -> bool {
    auto found = entries_.find(service);
    return found != entries_.end() && found->second.readingServers.count(server) > 0;
}

}  // namespace duneturn
