#include "routing/scoring.hpp"

#include <algorithm>
#include <cstddef>

#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto MEMORY_SHARE = 0.9;                             // of a server's memory that is filled
constexpr auto DEFAULT_HOLD_TIME = double(100 * MILLISECOND);  // where no request has ended yet
constexpr auto OCCUPANCY_COST = double(20 * MILLISECOND);      // that a full server adds to an answer
constexpr auto LOAD_FRESHNESS = 300 * MILLISECOND;             // for which a server's own queue is believed
constexpr auto WAITING_TOKENS = 1000.0;                        // of a prompt in a server's queue, roughly
constexpr auto LEAST_FITNESS = 0.05;                           // bounds the division

}  // namespace

auto uncachedPromptTokens(const ServerStatistics& statistics, const ReceivedRequest& request,
    PrefixAssumption assumption) -> std::int64_t {
    auto held = std::int64_t(0), all = std::int64_t(0);
    auto isLeading = true;
    for (auto i = std::size_t(0); i < request.promptParts.size(); i++) {
        auto [part, tokens] = request.promptParts[i];
        auto isShared = i + 1 < request.promptParts.size();
        auto isAssumed = assumption == PrefixAssumption::SharedParts && isShared;
        isLeading = isLeading && (statistics.prefixCache.has(part) || isAssumed);
        all += tokens;
        if (isLeading) held += tokens;
    }
    return std::max(all, request.promptTokens) - held;
}

auto Scoring::predictFirstByte(const Candidate& candidate, const Request& request, const ServiceRule& rule,
    PrefixAssumption assumption, Microseconds now) -> double {
    auto& statistics = statistics_.of(*candidate.name);
    auto slots = double(statistics_.slots(*candidate.name, *candidate.server, rule));
    auto requestDuration = statistics_.ofService(request.route.service).requestDuration;
    if (requestDuration <= 0) requestDuration = DEFAULT_HOLD_TIME;
    auto time = candidate.occupancy * OCCUPANCY_COST;
    if (candidate.occupancy >= 1) time += (candidate.occupancy * slots - slots + 1) * requestDuration / slots;
    if (rule.isEngine) {
        // Those that wait while slots are free are being read.
        auto others =
            now - statistics.loadAt < LOAD_FRESHNESS ? double(statistics.waiting) * WAITING_TOKENS : 0.0;
        auto own = double(uncachedPromptTokens(statistics, request.received, assumption));
        time += (std::max(statistics.pendingPromptTokens, others) + own) / PROMPT_TOKENS_PER_MICROSECOND;
    }
    if (candidate.server->listing.region != request.received.region) time += double(OTHER_REGION_LATENCY);
    return time / std::max(LEAST_FITNESS, statistics.ejection.healthScore(now));
}

auto Scoring::fitsInMemory(
    const Candidate& candidate, const Request& request, const ServiceRule& rule, Microseconds now) -> bool {
    auto& statistics = statistics_.of(*candidate.name);
    auto others =
        std::max(0.0, statistics_.load(*candidate.name, *candidate.server, now) - statistics.inflight);
    if (statistics.inflight + others < 1) return true;
    auto room = MEMORY_SHARE * double(rule.kvCacheTokens) - double(request.received.sharedTokens);
    auto ofOthers = others * statistics_.ofService(request.route.service).unsharedTokens;
    return statistics.reservedTokens + ofOthers + double(request.received.unsharedTokens()) <= room;
}

}  // namespace duneturn
