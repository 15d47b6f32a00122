#include "routing/server_selection.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <numeric>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "routing/candidate_filters.hpp"
#include "routing/scoring.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

// The number of servers to which rendezvous hashing assigns a prompt prefix.
constexpr auto AFFINITY_SERVERS = std::size_t(2);
// How much the occupancy of an affinity server may exceed that of the least occupied candidate. Without a
// service rule, the same margin applies to the cost instead (see IDLE_OCCUPANCY).
constexpr auto AFFINITY_OCCUPANCY_MARGIN = 0.4;
// How much the lowest occupancy in the client's region may exceed the lowest one elsewhere.
constexpr auto REGION_OCCUPANCY_MARGIN = 0.4;
// Long prompts go to servers of the least demanded region only below this occupancy.
constexpr auto LEAST_DEMANDED_OCCUPANCY_LIMIT = 0.6;
// A region counts as in demand if more than this fraction of recent requests can go to no other region.
constexpr auto MIN_DEMAND_SHARE = 0.2;
// Another region is preferred if its demand per server is below this fraction of the client region's demand
// per server.
constexpr auto DEMAND_RATIO = 0.5;
// In a fleet of up to this many nodes each node compares all candidates; in a fleet of twice as many, half of
// the candidates.
constexpr auto FULL_SAMPLE_NODES = std::size_t(12);
constexpr auto MIN_SAMPLE = std::size_t(2);            // of candidates that each node compares
constexpr auto MIN_CONNECTION_SHARE = std::size_t(2);  // of connections to a server for each node
// An affinity server may answer later than the best candidate by the first-byte target divided by this.
constexpr auto AFFINITY_DELAY_DIVISOR = 4;
// Without a service rule, the cost of a server is its occupancy divided by its health score. IDLE_OCCUPANCY
// is added to the occupancy, and lower health scores are raised to the minimum, so that the cost stays above
// 0 and finite.
constexpr auto IDLE_OCCUPANCY = 0.05;
constexpr auto MIN_HEALTH_SCORE = 0.05;
constexpr auto NO_CANDIDATE = 1e18;  // the lowest statistic of no candidates; more than that of any candidate

// Whether a stage's eligibility rule permits a server. Stages without such a rule (those that depend on
// health, load or earlier attempts, and Pick) permit every server.
auto ruleAllows(SelectionStage stage, const Request& request, const KnownServer& server,
    const SelectionInputs& inputs) -> bool {
    switch (stage) {
    case SelectionStage::Service: return isOfService(server, request.route);
    case SelectionStage::Listed:
        return isListed(server, inputs.statistics.find(server.listing.server), inputs.faults);
    case SelectionStage::Evacuated: return isOutsideEvacuatedZones(server, inputs.node.replicatedState());
    case SelectionStage::Home: return isInHomeRegion(server, request, inputs.faults);
    case SelectionStage::Weights: return hasStreamWeights(server, request, inputs.dialect, inputs.faults);
    case SelectionStage::Region: return isInAllowedRegion(server, request, inputs.dialect);
    default: return true;
    }
}

// A single selection for one request.
class SelectionRun {
  public:
    SelectionRun(const SelectionInputs& inputs, const Request& request, Microseconds now)
        : inputs_(inputs),
          request_(request),
          route_(request.route),
          now_(now),
          rule_(serviceRuleOf(inputs.routes, inputs.dialect, request.route.service)),
          scoring_(inputs.statistics) {
        for (auto& [name, server] : inputs.node.servers()) candidates_.push_back({&name, &server, 0});
    }

    auto run() -> Selection {
        for (auto& step : route_.steps) {
            if (candidates_.empty()) break;
            apply(step);
        }
        if (selection_.server.empty())
            selection_.explanation +=
                serversOfService_ ? "; no candidate is left" : "; no server of this service is known";
        return selection_;
    }

  private:
    auto apply(const SelectionStep& step) -> void {
        switch (step.stage) {
        case SelectionStage::Service:
            keepByRule("service " + route_.service, step.stage);
            serversOfService_ = candidates_.size();
            return;
        case SelectionStage::Listed: return keepByRule("listed", step.stage);
        case SelectionStage::Evacuated: return keepByRule("not evacuated", step.stage);
        case SelectionStage::Home: return keepByRule("home " + route_.homes[0], step.stage);
        case SelectionStage::Weights:
            if (request_.relayed.weights.empty() || request_.relayed.lastEventId < 0) return;
            return keepByRule("weights " + request_.relayed.weights, step.stage);
        case SelectionStage::Untried: return keepUntried();
        case SelectionStage::Healthy: return preferHealthy(step.threshold);
        case SelectionStage::SlowStart: return keepAdmittedBySlowStart();
        case SelectionStage::Capacity: return keepWithCapacity(step.threshold);
        case SelectionStage::Region:
            if (rule_ && inputs_.dialect.clientNamesRequests) return preferClientRegionByLoad();
            return preferClientRegion(step.threshold);
        case SelectionStage::Pick: return pick(step.threshold > 0);
        }
    }

    // Removes the candidates that do not satisfy a condition.
    template <class Condition>
    auto keep(std::string_view filter, Condition condition) -> void {
        auto before = candidates_.size();
        std::erase_if(candidates_, [&](auto& candidate) { return !condition(candidate); });
        auto separator = selection_.explanation.empty() ? "" : ", ";
        selection_.explanation += fmt::format("{}{} {}/{}", separator, filter, candidates_.size(), before);
    }
    // Like `keep`, but skipped if no candidate satisfies the condition.
    template <class Condition>
    auto prefer(std::string_view filter, Condition condition) -> void {
        if (std::any_of(candidates_.begin(), candidates_.end(), condition)) keep(filter, condition);
        else selection_.explanation += fmt::format(", {} unmet", filter);
    }
    auto keepByRule(std::string_view filter, SelectionStage stage) -> void {
        keep(
            filter, [&](auto& candidate) { return ruleAllows(stage, request_, *candidate.server, inputs_); });
    }

    auto statisticsOf(const Candidate& candidate) const -> ServerStatistics& {
        return inputs_.statistics.of(*candidate.name);
    }
    auto healthScore(const Candidate& candidate) const -> double {
        return statisticsOf(candidate).ejection.healthScore(now_);
    }
    auto isInClientRegion(const Candidate& candidate) const -> bool {
        return candidate.server->listing.region == request_.received.region;
    }
    auto predict(const Candidate& candidate, PrefixAssumption assumption) -> double {
        return scoring_.predictFirstByte(candidate, request_, *rule_, assumption, now_);
    }

    auto keepUntried() -> void {
        auto& attempts = request_.attempts;
        // A server that rejected the request or refused the connection is not tried again by the same
        // request.
        if (inputs_.dialect.clientNamesRequests && !attempts.rejected.empty())
            keep("not rejected",
                [&](auto& candidate) { return !containsServer(attempts.rejected, candidate); });
        if (!attempts.tried.empty())
            prefer("untried", [&](auto& candidate) { return !containsServer(attempts.tried, candidate); });
    }

    auto preferHealthy(double minHealthScore) -> void {
        prefer("healthy", [&](auto& candidate) {
            return isHealthy(candidate, statisticsOf(candidate), route_, rule_, minHealthScore, now_);
        });
    }

    auto keepAdmittedBySlowStart() -> void {
        auto& slowStart = inputs_.slowStart;
        if (rule_)
            return keep("slow start", [&](auto& candidate) {
                return slowStart.admits(*candidate.name, *candidate.server, *rule_, now_, BucketUse::Peek);
            });
        keep("slow start", [&](auto& candidate) {
            return statisticsOf(candidate).inflight
                < slowStart.concurrencyLimit(*candidate.name, *candidate.server, now_);
        });
    }

    auto keepWithCapacity(double threshold) -> void {
        auto& statistics = inputs_.statistics;
        if (!rule_) {
            for (auto& candidate : candidates_)
                candidate.occupancy = statistics.reportedLoad(*candidate.name, *candidate.server)
                    / std::max(1, candidate.server->listing.slots);
            return keep("capacity", [&](auto& candidate) { return candidate.occupancy < threshold; });
        }
        auto slots = [&](auto& candidate) {
            return statistics.slots(*candidate.name, *candidate.server, *rule_);
        };
        for (auto& candidate : candidates_)
            candidate.occupancy =
                statistics.load(*candidate.name, *candidate.server, now_) / slots(candidate);
        auto share = std::size_t(rule_->maxConnections) / inputs_.fleet.nodes();
        auto connectionShare = std::max<std::size_t>(MIN_CONNECTION_SHARE, share);
        auto isLimitedByKvCache = rule_->isEngine && rule_->kvCacheTokens > 0;
        keep("capacity", [&](auto& candidate) {
            if (isLimitedByKvCache && !scoring_.fitsInKvCache(candidate, request_, *rule_, now_))
                return false;
            return hasCapacity(
                candidate, statisticsOf(candidate), *rule_, slots(candidate), connectionShare, threshold);
        });
        prefer("not full", [&](auto& candidate) { return now_ >= statisticsOf(candidate).fullUntil; });
    }

    // Keeps the client's region. If all its servers are at capacity, keeps the spillover regions as well.
    auto preferClientRegion(double fullOccupancy) -> void {
        auto hasCapacityInRegion = [&](auto& candidate) {
            return isInClientRegion(candidate) && candidate.occupancy < fullOccupancy;
        };
        if (std::any_of(candidates_.begin(), candidates_.end(), hasCapacityInRegion))
            return keep("region " + request_.received.region,
                [&](auto& candidate) { return isInClientRegion(candidate); });
        keepByRule(fmt::format("spillover from {}", request_.received.region), SelectionStage::Region);
    }

    // Keeps the client's region, unless other regions are much less occupied, or the client's region would
    // miss the latency target and another would answer sooner. Before that, a long prompt goes to the least
    // demanded region if that has a server with enough room.
    auto preferClientRegionByLoad() -> void {
        keepByRule(fmt::format("regions allowed for {}", request_.received.region), SelectionStage::Region);
        auto occupancy = [](auto& candidate) { return candidate.occupancy; };
        auto firstByte = [&](auto& candidate) { return predict(candidate, PrefixAssumption::AsRecorded); };
        auto clientRegionOccupancy = lowest(true, occupancy), otherOccupancy = lowest(false, occupancy);
        if (clientRegionOccupancy >= NO_CANDIDATE || otherOccupancy >= NO_CANDIDATE) return;
        if (auto region = leastDemandedRegion(); !region.empty() && region != request_.received.region) {
            auto isPreferred = [&](auto& candidate) {
                return candidate.server->listing.region == region
                    && candidate.occupancy < LEAST_DEMANDED_OCCUPANCY_LIMIT;
            };
            if (std::any_of(candidates_.begin(), candidates_.end(), isPreferred))
                return keep("least demanded region " + region, isPreferred);
        }
        auto isOverloaded = clientRegionOccupancy > otherOccupancy + REGION_OCCUPANCY_MARGIN;
        if (!isOverloaded && route_.firstByteTarget) {
            auto clientRegionTime = lowest(true, firstByte);
            isOverloaded = clientRegionTime > double(route_.firstByteTarget)
                && clientRegionTime > lowest(false, firstByte);
        }
        // If the client's region is overloaded, all regions stay candidates. Excluding it would make all
        // nodes move their load to another region at once, and back again.
        if (!isOverloaded)
            keep("client region", [&](auto& candidate) { return isInClientRegion(candidate); });
    }
    // The lowest value of a statistic among the candidates inside or outside the client's region.
    template <class Statistic>
    auto lowest(bool inClientRegion, Statistic statistic) const -> double {
        auto lowestValue = NO_CANDIDATE;
        for (auto& candidate : candidates_)
            if (isInClientRegion(candidate) == inClientRegion)
                lowestValue = std::min(lowestValue, statistic(candidate));
        return lowestValue;
    }

    // Returns the region that a long prompt should use instead of the client's; empty if there is none, or if
    // the prompt's shared part has fewer than MIN_AFFINITY_PREFIX_TOKENS. The prefill of a long prompt delays
    // all requests that run beside it, so the prompt leaves the client's region if many recent requests can
    // go to no other region and another region has clearly fewer such requests per server. All nodes receive
    // a similar mix of requests, so they choose the same region.
    auto leastDemandedRegion() -> std::string {
        auto& clientRegion = request_.received.region;
        if (request_.received.sharedTokens < MIN_AFFINITY_PREFIX_TOKENS || route_.homes.size() == 1)
            return "";
        auto servers = std::map<std::string, int>();
        for (auto& candidate : candidates_) servers[candidate.server->listing.region]++;
        if (!servers.count(clientRegion) || servers.size() < 2) return "";
        auto& service = inputs_.statistics.ofService(route_.service);
        auto demandPerServer = [&](const std::string& region) {
            auto demand = service.singleRegionRequests.find(region);
            return demand == service.singleRegionRequests.end() ? 0.0 : demand->second / servers[region];
        };
        auto leastDemanded = clientRegion;
        for (auto& [region, count] : servers)
            if (demandPerServer(region) < demandPerServer(leastDemanded)) leastDemanded = region;
        auto clientRegionDemand = demandPerServer(clientRegion);
        auto isInDemand =
            clientRegionDemand * servers[clientRegion] > MIN_DEMAND_SHARE * service.recentRequests;
        return isInDemand && demandPerServer(leastDemanded) < DEMAND_RATIO * clientRegionDemand
            ? leastDemanded
            : "";
    }

    // The index of the selected candidate, and the reason for operators.
    struct Picked {
        std::size_t index;
        std::string reason;
    };

    auto pick(bool byPrefix) -> void {
        auto picked = rule_ ? pickByPrediction() : pickByOccupancy(byPrefix);
        auto& candidate = candidates_[picked.index];
        selection_.server = *candidate.name;
        selection_.isOutsideRegion = !isInClientRegion(candidate);
        selection_.explanation +=
            fmt::format(", picked {} ({}, region {}, occupancy {:.2f}, health {:.2f})", selection_.server,
                picked.reason, candidate.server->listing.region, candidate.occupancy, healthScore(candidate));
    }

    // The index of the candidate with the lowest cost; the first one of equals.
    template <class Cost>
    auto leastBy(Cost cost) const -> std::size_t {
        auto least = std::size_t(0);
        for (auto i = std::size_t(1); i < candidates_.size(); i++)
            if (cost(candidates_[i]) < cost(candidates_[least])) least = i;
        return least;
    }

    // The indices of the candidates that rendezvous hashing assigns to the request's prompt prefix, best
    // first. Nodes with the same candidates assign the same servers, so that these have the prefix in their
    // KV caches.
    auto affinityServers() const -> std::vector<std::size_t> {
        auto order = std::vector<std::size_t>(candidates_.size());
        std::iota(order.begin(), order.end(), std::size_t(0));
        auto key = request_.received.prefixKey;
        std::sort(order.begin(), order.end(), [&](auto left, auto right) {
            return hash64(*candidates_[left].name, key) > hash64(*candidates_[right].name, key);
        });
        order.resize(std::min(order.size(), AFFINITY_SERVERS));
        return order;
    }

    // A prompt with a long shared prefix goes to an affinity server, which has probably processed the prefix
    // before, or to the best candidate if the affinity servers are busy. Any other request goes to the best
    // of a random sample: if all nodes compared all servers, they would all select the same.
    auto pickByPrediction() -> Picked {
        if (inputs_.faults.selectRandomly)
            return {std::size_t(inputs_.random.below(candidates_.size())), "random"};
        auto& received = request_.received;
        if (!rule_->isEngine || !received.prefixKey || received.sharedTokens < MIN_AFFINITY_PREFIX_TOKENS)
            return {bestOfSample(), "lowest predicted latency of a sample"};
        auto asRecorded = [&](auto& candidate) { return predict(candidate, PrefixAssumption::AsRecorded); };
        auto best = leastBy(asRecorded);
        auto lowestOccupancy =
            candidates_[leastBy([](auto& candidate) { return candidate.occupancy; })].occupancy;
        // How much later than the best candidate an affinity server may answer.
        auto acceptedDelay =
            double(route_.firstByteTarget ? route_.firstByteTarget : SECOND) / AFFINITY_DELAY_DIVISOR;
        auto affinity = affinityServers();
        for (auto i = std::size_t(0); i < affinity.size(); i++) {
            auto& candidate = candidates_[affinity[i]];
            if (candidate.occupancy > lowestOccupancy + AFFINITY_OCCUPANCY_MARGIN) continue;
            if (predict(candidate, PrefixAssumption::SharedParts)
                > asRecorded(candidates_[best]) + acceptedDelay)
                continue;
            return {affinity[i], fmt::format("prefix affinity {}", i + 1)};
        }
        return {best, "lowest predicted latency, affinity servers are busy"};
    }

    // Returns the best of some consecutive candidates, from a random one on. The more nodes there are, the
    // fewer each compares, so that they do not all select the same one.
    auto bestOfSample() -> std::size_t {
        auto size = candidates_.size();
        auto sampleSize =
            std::clamp(size * FULL_SAMPLE_NODES / inputs_.fleet.nodes(), std::min(MIN_SAMPLE, size), size);
        auto first = std::size_t(inputs_.random.below(size)), best = first;
        auto cost = [&](std::size_t index) {
            return predict(candidates_[index], PrefixAssumption::AsRecorded);
        };
        for (auto i = std::size_t(1); i < sampleSize; i++)
            if (auto next = (first + i) % size; cost(next) < cost(best)) best = next;
        return best;
    }

    auto pickByOccupancy(bool byPrefix) -> Picked {
        auto cost = [&](auto& candidate) {
            return (candidate.occupancy + IDLE_OCCUPANCY)
                / std::max(MIN_HEALTH_SCORE, healthScore(candidate));
        };
        auto randomIndex = [&] { return std::size_t(inputs_.random.below(candidates_.size())); };
        if (inputs_.faults.selectRandomly) return {randomIndex(), "random"};
        if (inputs_.faults.selectLeastLoaded) return {leastBy(cost), "least occupied"};
        if (byPrefix && request_.received.prefixKey) {
            auto least = leastBy(cost);
            auto affinity = affinityServers();
            for (auto i = std::size_t(0); i < affinity.size(); i++)
                if (cost(candidates_[affinity[i]]) <= cost(candidates_[least]) + AFFINITY_OCCUPANCY_MARGIN)
                    return {affinity[i], fmt::format("prefix affinity {}", i + 1)};
            return {least, "least occupied, affinity servers are busy"};
        }
        // The power of two random choices (Mitzenmacher, 2001).
        auto one = randomIndex(), other = randomIndex();
        return {cost(candidates_[one]) <= cost(candidates_[other]) ? one : other, "least occupied of two"};
    }

    const SelectionInputs& inputs_;
    const Request& request_;
    const Route& route_;
    Microseconds now_;
    const ServiceRule* rule_;
    Scoring scoring_;
    std::vector<Candidate> candidates_;
    std::size_t serversOfService_ = 0;
    Selection selection_;
};

}  // namespace

auto ServerSelection::select(const Request& request, Microseconds now) -> Selection {
    return SelectionRun(inputs_, request, now).run();
}

auto ServerSelection::allows(const Request& request, const KnownServer& server) const -> bool {
    auto& steps = request.route.steps;
    return std::all_of(steps.begin(), steps.end(),
        [&](auto& step) { return ruleAllows(step.stage, request, server, inputs_); });
}

auto ServerSelection::mayFindServerLater(const Request& request) const -> bool {
    if (!inputs_.dialect.clientNamesRequests) return false;
    auto& rejected = request.attempts.rejected;
    auto& servers = inputs_.node.servers();
    return std::any_of(servers.begin(), servers.end(), [&](auto& entry) {
        return std::find(rejected.begin(), rejected.end(), entry.first) == rejected.end()
            && allows(request, entry.second);
    });
}

auto ServerSelection::recordRegionDemand(const Request& request) -> void {
    auto& homes = request.route.homes;
    inputs_.statistics.ofService(request.route.service).recordRequest(homes.size() == 1 ? homes[0] : "");
}

}  // namespace duneturn
