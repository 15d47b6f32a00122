#include "routing/size_partition.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto LEAST_DEMAND = 1.0;       // requests a second without which nothing is divided
constexpr auto LEAST_LONG_TOKENS = 512;  // a border below it is not looked at
constexpr auto LEAST_SAMPLE = 100.0;     // requests without which only regions are divided
constexpr auto FEWER_BOUND = 0.5;        // of the requests bound to a region's server, elsewhere
constexpr auto BUSIEST = 0.95;           // share of the engines that work is taken to occupy at most
constexpr auto CLEAR_GAIN = 0.8;         // a division or a new border must cost less than this share

// What some requests bring, a second.
struct Work {
    double requests = 0;
    double reading = 0;         // seconds that engines read
    double squaredReading = 0;  // the sum of the squares of each request's seconds
    double running = 0;         // requests under way at a time

    auto operator+=(const Work& other) -> Work& {
        requests += other.requests;
        reading += other.reading;
        squaredReading += other.squaredReading;
        running += other.running;
        return *this;
    }
};

// Requests that share engines.
struct Group {
    double engines = 0;        // worth of work
    double rootOfWaiting = 0;  // sqrt(c) of the header's formula
    // The time that they wait in sum on so many servers; finite where those can't bear the work.
    [[nodiscard]] auto costOn(double servers) const -> double {
        if (rootOfWaiting <= 0) return 0;
        auto spare = std::max(servers - engines, (1 - BUSIEST) * std::max(1.0, servers));
        return rootOfWaiting * rootOfWaiting / spare;
    }
};

// The groups that a border makes.
struct Groups {
    std::map<std::string, Group> shorts;        // by region
    std::map<std::string, bool> hasBoundLongs;  // which regions have long prompts of their own
    Group longs;
    Group all;  // the sums
};

// A division: its border, how many servers of each region read long prompts, and what it costs.
struct Division {
    std::size_t border = 0;  // the class of the shortest long prompts
    std::map<std::string, int> readingServers;
    std::optional<double> cost;  // seconds waited a second; none: it cannot be
};

class Planner {
  public:
    explicit Planner(const PartitionInputs& inputs) : inputs_(inputs) {}

    // The best division at a border; nothing is long there: no cost.
    auto divideAt(std::size_t border) const -> Division {
        auto groups = groupsAt(border);
        auto division = Division{border, {}, std::nullopt};
        if (groups.longs.engines <= 0 || groups.all.rootOfWaiting <= 0) return division;
        auto servers = 0.0;
        for (auto& [region, count] : inputs_.servers) servers += count;
        // Too much work for all engines is divided like as much as they bear.
        auto borne = std::min(1.0, BUSIEST * servers / groups.all.engines);
        auto sparePerRoot = (servers - borne * groups.all.engines) / groups.all.rootOfWaiting;
        for (auto& [region, count] : inputs_.servers) {
            auto& shorts = groups.shorts[region];
            auto staffed = borne * shorts.engines + shorts.rootOfWaiting * sparePerRoot;
            division.readingServers[region] = count - int(std::lround(std::min(staffed, double(count))));
        }
        bound(division, groups);
        division.cost = costOf(division, groups);
        refine(division, groups);
        return division;
    }

    // A former division as it would be now: with the servers that there are, at its cost by the demand of
    // now.
    auto renew(const SizePartition& previous) const -> Division {
        auto border = PromptDemand::classOf(previous.longPromptTokens);
        auto groups = groupsAt(border);
        auto division = Division{border, {}, std::nullopt};
        for (auto& [region, count] : inputs_.servers) {
            auto before = previous.readingServers.find(region);
            division.readingServers[region] = before == previous.readingServers.end() ? 0 : before->second;
        }
        bound(division, groups);
        division.cost = costOf(division, groups);
        return division;
    }

    // What it costs to leave the engines undivided.
    auto undividedCost() const -> double {
        auto cost = 0.0;
        for (auto& [region, count] : inputs_.servers) {
            auto work = boundWork(region, 0, PromptDemand::CLASSES);
            work += freeWork(region, 0, PromptDemand::CLASSES);
            cost += groupOf(work).costOn(count);
        }
        return cost;
    }

  private:
    // Leaves one server at least to each group that only a region's own may serve.
    auto bound(Division& division, const Groups& groups) const -> void {
        for (auto& [region, count] : inputs_.servers) {
            auto least = groups.hasBoundLongs.at(region) ? 1 : 0;
            auto most = std::max(least, count - (groups.shorts.at(region).engines > 0 ? 1 : 0));
            auto& reading = division.readingServers[region];
            reading = std::clamp(reading, std::min(least, count), std::min(most, count));
        }
    }
    // Whole servers: one more or one less in a region may be better than what was rounded.
    auto refine(Division& division, const Groups& groups) const -> void {
        for (auto& [region, count] : inputs_.servers)
            for (auto step : {-1, 1}) {
                auto other = division;
                other.readingServers[region] += step;
                bound(other, groups);
                other.cost = costOf(other, groups);
                if (other.cost && (!division.cost || *other.cost < *division.cost))
                    division = std::move(other);
            }
    }
    // None where no server would read long prompts.
    auto costOf(const Division& division, const Groups& groups) const -> std::optional<double> {
        auto cost = 0.0;
        auto reading = 0;
        for (auto& [region, count] : inputs_.servers) {
            auto readingHere = division.readingServers.at(region);
            cost += groups.shorts.at(region).costOn(count - readingHere);
            reading += readingHere;
        }
        if (!reading) return std::nullopt;
        return cost + groups.longs.costOn(reading);
    }
    auto groupsAt(std::size_t border) const -> Groups {
        auto groups = Groups();
        auto longs = Work();
        for (auto& [region, count] : inputs_.servers) {
            auto shorts = boundWork(region, 0, border);
            shorts += freeWork(region, 0, border);
            auto& group = groups.shorts[region] = groupOf(shorts);
            groups.all.engines += group.engines;
            groups.all.rootOfWaiting += group.rootOfWaiting;
            auto boundLongs = boundWork(region, border, PromptDemand::CLASSES);
            groups.hasBoundLongs[region] = boundLongs.requests > 0;
            longs += boundLongs;
            longs += freeWork(region, border, PromptDemand::CLASSES);
        }
        groups.longs = groupOf(longs);
        groups.all.engines += groups.longs.engines;
        groups.all.rootOfWaiting += groups.longs.rootOfWaiting;
        return groups;
    }
    auto workOf(const PromptLoad& load, std::size_t promptClass) const -> Work {
        auto seconds = inputs_.demand.readingTime(promptClass) / double(SECOND);
        return {load.requests, load.requests * seconds, load.requests * seconds * seconds, load.running};
    }
    // The work of the classes from `first` up to `last` that is bound to a region.
    auto boundWork(const std::string& region, std::size_t first, std::size_t last) const -> Work {
        auto sum = Work();
        for (auto i = first; i < last; i++) sum += workOf(inputs_.demand.bound(region, i), i);
        return sum;
    }
    // What a region's clients bring that other regions may serve as well.
    auto freeWork(const std::string& region, std::size_t first, std::size_t last) const -> Work {
        auto sum = Work();
        for (auto i = first; i < last; i++) sum += workOf(inputs_.demand.free(region, i), i);
        return sum;
    }
    auto groupOf(const Work& work) const -> Group {
        auto occupied = work.running / std::max(1, inputs_.slots);
        return {std::max(work.reading, occupied), std::sqrt(work.requests * work.squaredReading / 2)};
    }

    const PartitionInputs& inputs_;
};

// Before more is known, long prompts are read where clearly fewer requests are bound to.
auto divideByRegions(const PartitionInputs& inputs) -> SizePartition {
    auto boundPerServer = std::map<std::string, double>();
    auto most = 0.0;
    for (auto& [region, count] : inputs.servers) {
        auto& bound = boundPerServer[region];
        for (auto i = std::size_t(0); i < PromptDemand::CLASSES; i++)
            bound += inputs.demand.bound(region, i).requests / std::max(1, count);
        most = std::max(most, bound);
    }
    auto partition = SizePartition{LONG_PREFIX_TOKENS, {}};
    auto reading = 0;
    for (auto& [region, count] : inputs.servers) {
        auto isFree = boundPerServer[region] < FEWER_BOUND * most;
        reading += partition.readingServers[region] = isFree ? count : 0;
    }
    return reading ? partition : SizePartition();
}

}  // namespace

auto planPartition(const PartitionInputs& inputs, const SizePartition& previous) -> SizePartition {
    if (inputs.demand.requests() < LEAST_DEMAND) return previous;
    if (inputs.sample < LEAST_SAMPLE) return previous.isDivided() ? previous : divideByRegions(inputs);
    auto planner = Planner(inputs);
    auto best = Division();
    for (auto border = PromptDemand::classOf(LEAST_LONG_TOKENS); border < PromptDemand::CLASSES; border++)
        if (auto division = planner.divideAt(border);
            division.cost && (!best.cost || *division.cost < *best.cost))
            best = std::move(division);
    if (!best.cost) return {};
    auto undivided = planner.undividedCost();
    if (previous.isDivided()) {
        auto former = planner.renew(previous);
        if (former.cost && *best.cost > CLEAR_GAIN * *former.cost) best = std::move(former);
        if (undivided < CLEAR_GAIN * *best.cost) return {};
    } else if (*best.cost > CLEAR_GAIN * undivided) {
        return {};
    }
    return {PromptDemand::leastTokens(best.border), std::move(best.readingServers)};
}

}  // namespace duneturn
