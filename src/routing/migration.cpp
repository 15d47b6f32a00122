#include "routing/migration.hpp"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>

#include "routing/headers.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

// How long a server may be silent if the configuration does not set an idle timeout: a share of the latency
// target, but not less than a multiple of the service's median or than a minimum.
constexpr auto EVENT_GAP_TARGET_SHARE = 0.6;
constexpr auto EVENT_GAP_MEDIANS = 8;
constexpr auto MIN_EVENT_GAP_TIMEOUT = double(150 * MILLISECOND);
constexpr auto FIRST_BYTE_TARGET_SHARE = 0.7;
constexpr auto FIRST_BYTE_MEDIANS = 4;
constexpr auto MIN_FIRST_BYTE_TIMEOUT = double(200 * MILLISECOND);
constexpr auto PROMPT_READING_MARGIN = 2;  // times the time that the engine needs to read the prompt

// When a server counts as so slow that a stream migrates away from it.
constexpr auto GAP_SMOOTHING = ExponentialSmoothing{0.8, 0.2};
constexpr auto MIN_GAP_SAMPLES = 8;  // events of an attempt before its smoothed gap is compared
constexpr auto MIN_SLOW_GAP = double(100 * MILLISECOND);  // a shorter gap is never too slow
constexpr auto SLOW_STREAM_MEDIANS = 5;  // a gap of this many times the service's median is too slow

}  // namespace

auto Migration::rejectionReason(const Request& request, Execution earlier, MigrationCharge charge) const
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
    auto isNotYetCounted = charge == MigrationCharge::NotYetCounted;
    auto migrations = request.attempts.migrations + isNotYetCounted;
    // A stream without a model has the default migration limit, which is 0.
    auto& route = request.route;
    auto isLimited = !route.model.empty() || (dialect_.clientNamesRequests && route.stream);
    auto isSpent = migrations > route.migrationLimit || (isNotYetCounted && request.limits.migrationDisabled);
    if (isLimited && migrations > 0 && isSpent) return "no migration is left";
    if (request.attempts.sent >= route.maxAttempts) return "MaxTries is reached";
    return "";
}

auto Migration::resumeForClient(
    Request& request, const std::string& lastEventId, const std::string& weights) const -> std::string {
    auto lastId = parseNumber(lastEventId);
    request.limits.resumedByClient = true;
    request.attempts.sent = request.attempts.migrations = 1;
    request.relayed.lastEventId = lastId;
    request.relayed.weights = weights;
    request.limits.sequenceTokens += std::max<std::int64_t>(0, lastId);
    if (faults_.resumeUnchecked) return "";
    auto& route = request.route;
    if (!route.resumable)
        return "streams of this mapping cannot be resumed; send it anew without Last-Event-Id";
    if (lastId < 0) return "Last-Event-Id is not the number of an event";
    if (weights.empty()) return "X-Weights, as it came with the stream, is missing";
    if (route.migrationLimit < 1 || route.maxAttempts < 2) return "streams of this mapping may not move";
    if (request.limits.sequenceTokens > route.maxSequenceTokens)
        return "the stream is past the maximum sequence length";
    return "";
}

auto Migration::tokensPerEvent(const Request& request, const ServerSentEvent& event) const -> int {
    if (dialect_.clientNamesRequests && event.id.empty()) return 0;
    auto rule = serviceRuleOf(routes_, dialect_, request.route.service);
    return rule && rule->tokensPerEvent > 0 ? rule->tokensPerEvent : 1;
}

auto Migration::recordRelayed(Request& request, const ServerSentEvent& event) const -> bool {
    auto& limits = request.limits;
    limits.sequenceTokens += tokensPerEvent(request, event);
    if (limits.sequenceTokens > request.route.maxSequenceTokens) {
        auto couldMigrate = !limits.migrationDisabled;
        limits.migrationDisabled = true;
        request.relayed.events.clear();
        return couldMigrate;
    }
    if (request.migrationsLeft() > 0) request.relayed.events.push_back(event.raw);
    return false;
}

auto Migration::silenceTimeout(const Request& request) const -> Microseconds {
    auto& route = request.route;
    if (route.idleTimeoutConfigured) return route.idleTimeout;
    if (request.phase() == Phase::Delivering) {
        if (!route.eventGapTarget) return route.idleTimeout;
        return Microseconds(std::max({EVENT_GAP_TARGET_SHARE * double(route.eventGapTarget),
            EVENT_GAP_MEDIANS * statistics_.median(route.service, &ServerStatistics::eventGap),
            MIN_EVENT_GAP_TIMEOUT}));
    }
    if (!route.firstByteTarget) return route.idleTimeout;
    auto timeout = std::max({FIRST_BYTE_TARGET_SHARE * double(route.firstByteTarget),
        FIRST_BYTE_MEDIANS * statistics_.median(route.service, &ServerStatistics::firstByteTime),
        MIN_FIRST_BYTE_TIMEOUT});
    auto pendingPromptTokens = double(request.attempts.pendingPromptTokens);
    return Microseconds(
        timeout + PROMPT_READING_MARGIN * pendingPromptTokens / PROMPT_TOKENS_PER_MICROSECOND);
}

auto Migration::slowServerReason(Request& request, Microseconds gap) const -> std::optional<std::string> {
    auto& attempts = request.attempts;
    auto isFirst = attempts.eventGapSamples++ == 0;
    attempts.eventGap =
        isFirst ? double(gap) : attempts.eventGap * GAP_SMOOTHING.keep + double(gap) * GAP_SMOOTHING.take;
    if (attempts.eventGapSamples < MIN_GAP_SAMPLES || attempts.eventGap < MIN_SLOW_GAP) return std::nullopt;
    if (attempts.migrations > 0 || !request.route.resumable || request.migrationsLeft() <= 0)
        return std::nullopt;
    auto median = statistics_.median(request.route.service, &ServerStatistics::eventGap);
    if (median <= 0 || attempts.eventGap < SLOW_STREAM_MEDIANS * median) return std::nullopt;
    return fmt::format("an event every {:.0f} us, where others need {:.0f}", attempts.eventGap, median);
}

}  // namespace duneturn
