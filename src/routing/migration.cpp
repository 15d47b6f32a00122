#include "routing/migration.hpp"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>

#include "routing/headers.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto PACE_SMOOTHING = Smoothing{0.8, 0.2};
constexpr auto PACE_SAMPLES = 8;                               // events before an attempt's pace is judged
constexpr auto SLOWEST_SOUND_GAP = double(100 * MILLISECOND);  // a pace that nobody is moved for
constexpr auto CRAWL_FACTOR = 5;                               // times the median of its like

}  // namespace

auto Migration::objection(const Request& request, Execution earlier, AttemptGrant grant) const
    -> std::string {
    auto& relayed = request.relayed;
    if (earlier >= Execution::MayHaveRun && !faults_.retryNonRepeatable) {
        auto step = stepAfterFailure(Execution::MayHaveRun, relayed.headSent);
        if (!mayAttemptAgain(step, request.retryRights()))
            return relayed.headSent && request.retryRights().repeatable
                ? "its beginning was delivered, and nothing can be joined to it"
                : "it may have run, and what may not be repeated never runs twice";
        if (relayed.headSent && !relayed.hasOrderedIds)
            return "its events cannot be counted, so they cannot be joined";
    }
    auto isFurther = grant == AttemptGrant::Further;
    auto migrations = request.attempts.migrations + isFurther;
    // A stream of no model has the limit that is the default: none.
    auto& route = request.route;
    auto isLimited = !route.model.empty() || (dialect_.clientNamesRequests && route.stream);
    auto isSpent = migrations > route.migrationLimit || (isFurther && request.limits.migrationDisabled);
    if (isLimited && migrations > 0 && isSpent) return "no migration is left";
    if (request.attempts.sent >= route.maxAttempts) return "MaxTries is reached";
    return "";
}

auto Migration::resumeForClient(
    Request& request, const std::string& lastEventId, const std::string& weights) const -> std::string {
    auto last = parseNumber(lastEventId);
    request.limits.resumedByClient = true;
    request.attempts.sent = request.attempts.migrations = 1;
    request.relayed.lastEventId = last;
    request.relayed.weights = weights;
    request.limits.sequenceTokens += std::max<std::int64_t>(0, last);
    if (faults_.resumeUnchecked) return "";
    auto& route = request.route;
    if (!route.resumable)
        return "streams of this mapping cannot be resumed; send it anew without Last-Event-Id";
    if (last < 0) return "Last-Event-Id is not the number of an event";
    if (weights.empty()) return "X-Weights, as it came with the stream, is missing";
    if (route.migrationLimit < 1 || route.maxAttempts < 2) return "streams of this mapping may not move";
    if (request.limits.sequenceTokens > route.maxSequenceTokens)
        return "the stream is past the maximum sequence length";
    return "";
}

auto Migration::eventTokens(const Request& request, const ServerSentEvent& event) const -> int {
    if (dialect_.clientNamesRequests && event.id.empty()) return 0;
    auto rule = serviceRuleOf(routes_, dialect_, request.route.service);
    return rule && rule->eventTokens > 0 ? rule->eventTokens : 1;
}

auto Migration::recordRelayed(Request& request, const ServerSentEvent& event) const -> bool {
    auto& limits = request.limits;
    limits.sequenceTokens += eventTokens(request, event);
    if (limits.sequenceTokens > request.route.maxSequenceTokens) {
        auto wasMovable = !limits.migrationDisabled;
        limits.migrationDisabled = true;
        request.relayed.events.clear();
        return wasMovable;
    }
    if (request.migrationsLeft() > 0) request.relayed.events.push_back(event.raw);
    return false;
}

auto Migration::silenceLimit(const Request& request) const -> Microseconds {
    auto& route = request.route;
    if (route.idleTimeoutConfigured) return route.idleTimeout;
    if (request.phase() == Phase::Delivering) {
        if (!route.eventGapTarget) return route.idleTimeout;
        return Microseconds(std::max({0.6 * double(route.eventGapTarget),
            8 * statistics_.median(route.service, &ServerStatistics::eventGap), double(150 * MILLISECOND)}));
    }
    if (!route.firstByteTarget) return route.idleTimeout;
    auto usual = std::max({0.7 * double(route.firstByteTarget),
        4 * statistics_.median(route.service, &ServerStatistics::firstByteTime), double(200 * MILLISECOND)});
    return Microseconds(usual + 2 * double(request.attempts.unreadTokens) / PROMPT_TOKENS_PER_MICROSECOND);
}

auto Migration::crawls(Request& request, Microseconds gap) const -> std::optional<std::string> {
    auto& attempts = request.attempts;
    auto isFirst = attempts.eventGapSamples++ == 0;
    attempts.eventGap =
        isFirst ? double(gap) : attempts.eventGap * PACE_SMOOTHING.keep + double(gap) * PACE_SMOOTHING.take;
    if (attempts.eventGapSamples < PACE_SAMPLES || attempts.eventGap < SLOWEST_SOUND_GAP) return std::nullopt;
    if (attempts.migrations > 0 || !request.route.resumable || request.migrationsLeft() <= 0)
        return std::nullopt;
    auto median = statistics_.median(request.route.service, &ServerStatistics::eventGap);
    if (median <= 0 || attempts.eventGap < CRAWL_FACTOR * median) return std::nullopt;
    return fmt::format("an event every {:.0f} us, where others need {:.0f}", attempts.eventGap, median);
}

}  // namespace duneturn
