#include "routing/scoring.hpp"

#include <algorithm>
#include <cstddef>

#include "routing/tuning.hpp"

namespace duneturn {
namespace {

// The fraction of a server's KV cache that requests may fill.
constexpr auto KV_CACHE_FILL_LIMIT = 0.9;
// Assumed until the first request has ended.
constexpr auto DEFAULT_REQUEST_DURATION = double(100 * MILLISECOND);
// The delay of the first byte at a server whose slots are all in use, added in proportion to its occupancy.
constexpr auto FULL_OCCUPANCY_DELAY = double(20 * MILLISECOND);
// The queue length that a server reports in a response is used for this long.
constexpr auto QUEUE_LENGTH_VALIDITY = 300 * MILLISECOND;
// The assumed prompt length of a request in a server's queue.
constexpr auto TOKENS_PER_QUEUED_REQUEST = 1000.0;
// Lower bound of the health score by which a prediction is divided.
constexpr auto MIN_HEALTH_SCORE = 0.05;

}  // namespace

auto uncachedPromptTokens(const ServerStatistics& statistics, const ReceivedRequest& request,
    PrefixAssumption assumption) -> std::int64_t {
    auto cachedTokens = std::int64_t(0), totalTokens = std::int64_t(0);
    auto isPrefixCached = true;  // only a contiguous prefix can be reused
    for (auto i = std::size_t(0); i < request.promptParts.size(); i++) {
        auto [part, tokens] = request.promptParts[i];
        auto isShared = i + 1 < request.promptParts.size();
        auto isAssumed = assumption == PrefixAssumption::SharedParts && isShared;
        isPrefixCached = isPrefixCached && (statistics.prefixCache.has(part) || isAssumed);
        totalTokens += tokens;
        if (isPrefixCached) cachedTokens += tokens;
    }
    return std::max(totalTokens, request.promptTokens) - cachedTokens;
}

auto Scoring::predictFirstByte(const Candidate& candidate, const Request& request, const ServiceRule& rule,
    PrefixAssumption assumption, Microseconds now) -> double {
    auto& statistics = statistics_.of(*candidate.name);
    auto slots = double(statistics_.slots(*candidate.name, *candidate.server, rule));
    auto requestDuration = statistics_.ofService(request.route.service).requestDuration;
    if (requestDuration <= 0) requestDuration = DEFAULT_REQUEST_DURATION;
    auto time = candidate.occupancy * FULL_OCCUPANCY_DELAY;
    if (candidate.occupancy >= 1) time += (candidate.occupancy * slots - slots + 1) * requestDuration / slots;
    if (rule.isEngine) {
        // Requests that wait at an engine although slots are free are in the prefill phase, so they count by
        // their prompt tokens.
        auto queuedTokens = now - statistics.loadHeaderAt < QUEUE_LENGTH_VALIDITY
            ? double(statistics.waiting) * TOKENS_PER_QUEUED_REQUEST
            : 0.0;
        auto uncachedTokens = double(uncachedPromptTokens(statistics, request.received, assumption));
        time += (std::max(statistics.pendingPromptTokens, queuedTokens) + uncachedTokens)
            / PROMPT_TOKENS_PER_MICROSECOND;
    }
    if (candidate.server->listing.region != request.received.region) time += double(OTHER_REGION_LATENCY);
    return time / std::max(MIN_HEALTH_SCORE, statistics.ejection.healthScore(now));
}

auto Scoring::fitsInKvCache(
    const Candidate& candidate, const Request& request, const ServiceRule& rule, Microseconds now) -> bool {
    auto& statistics = statistics_.of(*candidate.name);
    auto otherNodesRequests =
        std::max(0.0, statistics_.load(*candidate.name, *candidate.server, now) - statistics.inflight);
    if (statistics.inflight + otherNodesRequests < 1) return true;
    auto availableTokens =
        KV_CACHE_FILL_LIMIT * double(rule.kvCacheTokens) - double(request.received.sharedTokens);
    auto otherNodesTokens = otherNodesRequests * statistics_.ofService(request.route.service).unsharedTokens;
    return statistics.reservedTokens + otherNodesTokens + double(request.received.unsharedTokens())
        <= availableTokens;
}

}  // namespace duneturn
