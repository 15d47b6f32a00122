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

constexpr auto CACHE_HOMES = std::size_t(2);    // servers that rendezvous hashing names for a beginning
constexpr auto HOME_OCCUPANCY_MARGIN = 0.4;     // how much fuller than the least occupied one it may be
constexpr auto REGION_OCCUPANCY_MARGIN = 0.4;   // how much fuller the client's region may be than others
constexpr auto UNCLAIMED_OCCUPANCY = 0.6;       // up to which an unclaimed region is preferred
constexpr auto DRAWN_BY_ALL = std::size_t(12);  // servers that all nodes together compare for a request
constexpr auto NONE = 1e18;                     // the best of no candidates

// Whether the rule of a stage lets a server in. What is judged at the moment is not asked here.
auto ruleAllows(SelectionStage stage, const Request& request, const KnownServer& server,
    const SelectionInputs& inputs) -> bool {
    switch (stage) {
    case SelectionStage::Service: return isOfService(server, request.route);
    case SelectionStage::Listed:
        return isListed(server, inputs.statistics.find(server.listing.server), inputs.faults);
    case SelectionStage::Evacuated: return isOutsideEvacuatedZones(server, inputs.node.replicatedState());
    case SelectionStage::Home: return isInHomeRegion(server, request, inputs.faults);
    case SelectionStage::Weights: return hasStreamWeights(server, request, inputs.dialect, inputs.faults);
    case SelectionStage::Near: return isInAllowedRegion(server, request, inputs.dialect);
    default: return true;
    }
}

// One selection for one request.
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
            selection_.explanation += ofService_ ? "; nothing is left" : "; no server of this pool is known";
        return selection_;
    }

  private:
    auto apply(const SelectionStep& step) -> void {
        switch (step.stage) {
        case SelectionStage::Service:
            keepByRule("pool " + route_.service, step.stage);
            ofService_ = candidates_.size();
            return;
        case SelectionStage::Listed: return keepByRule("listed", step.stage);
        case SelectionStage::Evacuated: return keepByRule("not emptied", step.stage);
        case SelectionStage::Home: return keepByRule("home " + route_.homes[0], step.stage);
        case SelectionStage::Weights:
            if (request_.relayed.weights.empty() || request_.relayed.lastEventId < 0) return;
            return keepByRule("weights " + request_.relayed.weights, step.stage);
        case SelectionStage::Untried: return keepUntried();
        case SelectionStage::Fit: return preferFit(step.threshold);
        case SelectionStage::Ramp: return keepAdmittedBySlowStart();
        case SelectionStage::Room: return keepWithRoom(step.threshold);
        case SelectionStage::Near:
            if (rule_ && inputs_.dialect.clientNamesRequests) return preferRegionByLoad();
            return preferRegion(step.threshold);
        case SelectionStage::Pick: return pick(step.threshold > 0);
        }
    }

    template <class Condition>
    auto keep(std::string_view what, Condition condition) -> void {
        auto before = candidates_.size();
        std::erase_if(candidates_, [&](auto& candidate) { return !condition(candidate); });
        auto separator = selection_.explanation.empty() ? "" : ", ";
        selection_.explanation += fmt::format("{}{} {}/{}", separator, what, candidates_.size(), before);
    }
    // A wish, dropped where nothing would be left.
    template <class Condition>
    auto prefer(std::string_view what, Condition condition) -> void {
        if (std::any_of(candidates_.begin(), candidates_.end(), condition)) keep(what, condition);
        else selection_.explanation += fmt::format(", {} unmet", what);
    }
    auto keepByRule(std::string_view what, SelectionStage stage) -> void {
        keep(what, [&](auto& candidate) { return ruleAllows(stage, request_, *candidate.server, inputs_); });
    }

    auto statisticsOf(const Candidate& candidate) const -> ServerStatistics& {
        return inputs_.statistics.of(*candidate.name);
    }
    auto healthScore(const Candidate& candidate) const -> double {
        return statisticsOf(candidate).ejection.healthScore(now_);
    }
    auto isNear(const Candidate& candidate) const -> bool {
        return candidate.server->listing.region == request_.received.region;
    }
    auto predict(const Candidate& candidate, PrefixAssumption assumption) -> double {
        return scoring_.predictFirstByte(candidate, request_, *rule_, assumption, now_);
    }

    auto keepUntried() -> void {
        auto& attempts = request_.attempts;
        // One that said no, or where nobody was, is not asked again by the same request.
        if (inputs_.dialect.clientNamesRequests && !attempts.rejected.empty())
            keep("not denied", [&](auto& candidate) { return !isAmong(attempts.rejected, candidate); });
        if (!attempts.tried.empty())
            prefer("untried", [&](auto& candidate) { return !isAmong(attempts.tried, candidate); });
    }

    auto preferFit(double leastFitness) -> void {
        prefer("fit", [&](auto& candidate) {
            return isFit(candidate, statisticsOf(candidate), route_, rule_, leastFitness, now_);
        });
    }

    auto keepAdmittedBySlowStart() -> void {
        auto& slowStart = inputs_.slowStart;
        if (rule_)
            return keep("cold", [&](auto& candidate) {
                return slowStart.admits(*candidate.name, *candidate.server, *rule_, now_, BucketUse::Peek);
            });
        keep("ramp", [&](auto& candidate) {
            return statisticsOf(candidate).inflight
                < slowStart.rampShare(*candidate.name, *candidate.server, now_);
        });
    }

    auto keepWithRoom(double threshold) -> void {
        auto& statistics = inputs_.statistics;
        if (!rule_) {
            for (auto& candidate : candidates_)
                candidate.occupancy = statistics.reportedLoad(*candidate.name, *candidate.server)
                    / std::max(1, candidate.server->listing.slots);
            return keep("room", [&](auto& candidate) { return candidate.occupancy < threshold; });
        }
        auto slots = [&](auto& candidate) {
            return statistics.slots(*candidate.name, *candidate.server, *rule_);
        };
        for (auto& candidate : candidates_)
            candidate.occupancy =
                statistics.load(*candidate.name, *candidate.server, now_) / slots(candidate);
        auto share = std::size_t(rule_->maxConnections) / inputs_.fleet.nodes();
        auto connectionShare = std::max<std::size_t>(2, share);
        auto isBoundByMemory = rule_->isEngine && rule_->kvCacheTokens > 0;
        keep("room", [&](auto& candidate) {
            if (isBoundByMemory && !scoring_.fitsInMemory(candidate, request_, *rule_, now_)) return false;
            return hasRoom(
                candidate, statisticsOf(candidate), *rule_, slots(candidate), connectionShare, threshold);
        });
        prefer("not full", [&](auto& candidate) { return now_ >= statisticsOf(candidate).fullUntil; });
    }

    // The client's region, unless it is full.
    auto preferRegion(double fullOccupancy) -> void {
        auto isRoomy = [&](auto& candidate) {
            return isNear(candidate) && candidate.occupancy < fullOccupancy;
        };
        if (std::any_of(candidates_.begin(), candidates_.end(), isRoomy))
            return keep(
                "near " + request_.received.region, [&](auto& candidate) { return isNear(candidate); });
        keepByRule(fmt::format("spill from {}", request_.received.region), SelectionStage::Near);
    }

    // The client's region, unless others are much less occupied or would answer in time where it does not.
    auto preferRegionByLoad() -> void {
        keepByRule(fmt::format("regions for {}", request_.received.region), SelectionStage::Near);
        auto occupancy = [](auto& candidate) { return candidate.occupancy; };
        auto firstByte = [&](auto& candidate) { return predict(candidate, PrefixAssumption::AsRecorded); };
        auto near = bestOf(true, occupancy), others = bestOf(false, occupancy);
        if (near >= NONE || others >= NONE) return;
        if (auto region = unclaimedRegion(); !region.empty() && region != request_.received.region) {
            auto isThere = [&](auto& candidate) {
                return candidate.server->listing.region == region
                    && candidate.occupancy < UNCLAIMED_OCCUPANCY;
            };
            if (std::any_of(candidates_.begin(), candidates_.end(), isThere))
                return keep("unclaimed " + region, isThere);
        }
        auto isOverloaded = near > others + REGION_OCCUPANCY_MARGIN;
        if (!isOverloaded && route_.firstByteTarget) {
            auto nearTime = bestOf(true, firstByte);
            isOverloaded = nearTime > double(route_.firstByteTarget) && nearTime > bestOf(false, firstByte);
        }
        // All are weighed then, lest every node run from one region to the other.
        if (!isOverloaded) keep("near", [&](auto& candidate) { return isNear(candidate); });
    }
    // The least figure of the candidates in the client's region, or of those elsewhere.
    template <class Figure>
    auto bestOf(bool near, Figure figure) const -> double {
        auto best = NONE;
        for (auto& candidate : candidates_)
            if (isNear(candidate) == near) best = std::min(best, figure(candidate));
        return best;
    }

    // Reading a long prompt holds up all that runs beside it. Where many requests can only go to the
    // client's region and clearly fewer to another, long prompts that may go anywhere are read there. Every
    // node sees much the same kinds, so that all choose the same region. Empty: the client's will do.
    auto unclaimedRegion() -> std::string {
        auto& near = request_.received.region;
        if (request_.received.sharedTokens < LONG_PREFIX_TOKENS || route_.homes.size() == 1) return "";
        auto servers = std::map<std::string, int>();
        for (auto& candidate : candidates_) servers[candidate.server->listing.region]++;
        if (!servers.count(near) || servers.size() < 2) return "";
        auto& service = inputs_.statistics.ofService(route_.service);
        auto claimsPerServer = [&](const std::string& region) {
            auto bound = service.boundByRegion.find(region);
            return bound == service.boundByRegion.end() ? 0.0 : bound->second / servers[region];
        };
        auto least = near;
        for (auto& [region, count] : servers)
            if (claimsPerServer(region) < claimsPerServer(least)) least = region;
        auto isClaimed = claimsPerServer(near) * servers[near] > 0.2 * service.recentRequests;
        return isClaimed && claimsPerServer(least) < 0.5 * claimsPerServer(near) ? least : "";
    }

    struct Picked {
        std::size_t index;
        std::string how;
    };

    auto pick(bool byPrefix) -> void {
        auto picked = rule_ ? pickByPrediction() : pickByOccupancy(byPrefix);
        auto& candidate = candidates_[picked.index];
        selection_.server = *candidate.name;
        selection_.isOutsideRegion = !isNear(candidate);
        selection_.explanation +=
            fmt::format(", picked {} ({}, region {}, occupancy {:.2f}, fitness {:.2f})", selection_.server,
                picked.how, candidate.server->listing.region, candidate.occupancy, healthScore(candidate));
    }

    // The index of the candidate with the least cost, the first of several.
    template <class Cost>
    auto leastBy(Cost cost) const -> std::size_t {
        auto least = std::size_t(0);
        for (auto i = std::size_t(1); i < candidates_.size(); i++)
            if (cost(candidates_[i]) < cost(candidates_[least])) least = i;
        return least;
    }

    // The servers that rendezvous hashing names for this prompt's beginning: the same at every node, so
    // that they have it in their caches.
    auto cacheHomes() const -> std::vector<std::size_t> {
        auto order = std::vector<std::size_t>(candidates_.size());
        std::iota(order.begin(), order.end(), std::size_t(0));
        auto key = request_.received.prefixKey;
        std::sort(order.begin(), order.end(), [&](auto left, auto right) {
            return hash64(*candidates_[left].name, key) > hash64(*candidates_[right].name, key);
        });
        order.resize(std::min(order.size(), CACHE_HOMES));
        return order;
    }

    // A long shared beginning goes where it was read before. All else goes to the best of some drawn at
    // random, since many nodes that know the same would all run to one.
    auto pickByPrediction() -> Picked {
        if (inputs_.faults.selectRandomly)
            return {std::size_t(inputs_.random.below(candidates_.size())), "least of some"};
        auto& received = request_.received;
        if (!rule_->isEngine || !received.prefixKey || received.sharedTokens < LONG_PREFIX_TOKENS)
            return {bestOfDrawn(), "least of some"};
        auto asRecorded = [&](auto& candidate) { return predict(candidate, PrefixAssumption::AsRecorded); };
        auto least = leastBy(asRecorded);
        auto leastOccupied =
            candidates_[leastBy([](auto& candidate) { return candidate.occupancy; })].occupancy;
        // What it may wait longer at a home, beyond what reading it elsewhere would take.
        auto spare = double(route_.firstByteTarget ? route_.firstByteTarget : SECOND) / 4;
        auto homes = cacheHomes();
        for (auto i = std::size_t(0); i < homes.size(); i++) {
            auto& home = candidates_[homes[i]];
            if (home.occupancy > leastOccupied + HOME_OCCUPANCY_MARGIN) continue;
            if (predict(home, PrefixAssumption::SharedParts) > asRecorded(candidates_[least]) + spare)
                continue;
            return {homes[i], fmt::format("cache home {}", i + 1)};
        }
        return {least, "least predicted, cache homes are busy"};
    }

    // The more nodes choose, the fewer servers each compares, lest all run to the same one.
    auto bestOfDrawn() -> std::size_t {
        auto size = candidates_.size();
        auto drawn =
            std::clamp(size * DRAWN_BY_ALL / inputs_.fleet.nodes(), std::min<std::size_t>(2, size), size);
        auto from = std::size_t(inputs_.random.below(size)), best = from;
        auto cost = [&](std::size_t index) {
            return predict(candidates_[index], PrefixAssumption::AsRecorded);
        };
        for (auto k = std::size_t(1); k < drawn; k++)
            if (auto next = (from + k) % size; cost(next) < cost(best)) best = next;
        return best;
    }

    auto pickByOccupancy(bool byPrefix) -> Picked {
        auto cost = [&](auto& candidate) {
            return (candidate.occupancy + 0.05) / std::max(0.05, healthScore(candidate));
        };
        auto draw = [&] { return std::size_t(inputs_.random.below(candidates_.size())); };
        if (inputs_.faults.selectRandomly) return {draw(), "random"};
        if (inputs_.faults.selectLeastLoaded) return {leastBy(cost), "least"};
        if (byPrefix && request_.received.prefixKey) {
            auto least = leastBy(cost);
            auto homes = cacheHomes();
            for (auto i = std::size_t(0); i < homes.size(); i++)
                if (cost(candidates_[homes[i]]) <= cost(candidates_[least]) + HOME_OCCUPANCY_MARGIN)
                    return {homes[i], fmt::format("cache home {}", i + 1)};
            return {least, "least occupied, cache homes are busy"};
        }
        auto one = draw(), other = draw();
        return {cost(candidates_[one]) <= cost(candidates_[other]) ? one : other, "least occupied of two"};
    }

    const SelectionInputs& inputs_;
    const Request& request_;
    const Route& route_;
    Microseconds now_;
    const ServiceRule* rule_;
    Scoring scoring_;
    std::vector<Candidate> candidates_;
    std::size_t ofService_ = 0;
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

auto ServerSelection::recordClaim(const Request& request) -> void {
    auto& homes = request.route.homes;
    inputs_.statistics.ofService(request.route.service).recordRequest(homes.size() == 1 ? homes[0] : "");
}

}  // namespace duneturn
