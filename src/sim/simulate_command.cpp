// The subcommand `simulate`: runs seeds and prints their results as text or as lines of JSON.
#include <cstdint>
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "sim/simulate.hpp"
#include "standins/standins.hpp"

namespace duneturn {

namespace {

constexpr auto EXIT_VIOLATION = 1;
constexpr auto EXIT_WRONG_USE = 2;

auto kindJson(const SimKindResult& kind) -> std::string {
    return bodyOf({{"sent", fmt::to_string(kind.sent)}, {"whole", fmt::to_string(kind.complete)},
        {"moved", fmt::to_string(kind.migrated)}, {"denied", fmt::to_string(kind.rejected)},
        {"failed", fmt::to_string(kind.failed)}, {"cut", fmt::to_string(kind.truncated)},
        {"broke", fmt::to_string(kind.interrupted)}, {"resumed", fmt::to_string(kind.resumed)},
        {"spilled", fmt::to_string(kind.spilledOver)},
        {"p50Us", fmt::to_string(quantile(kind.durations, .5))},
        {"p99Us", fmt::to_string(quantile(kind.durations, .99))},
        {"first50Us", fmt::to_string(quantile(kind.firstTimes, .5))},
        {"first99Us", fmt::to_string(quantile(kind.firstTimes, .99))}});
}

auto kindsJson(const SimResult& result) -> std::string {
    auto text = std::string();
    for (auto& [name, kind] : result.kinds)
        text += (text.empty() ? "" : ",") + jsonQuote(name) + ":" + kindJson(kind);
    return "{" + text + "}";
}

auto rejectionsJson(const SimResult& result) -> std::string {
    auto text = std::string();
    for (auto& [reason, count] : result.rejections)
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", jsonQuote(reason), count);
    return "{" + text + "}";
}

auto resultJson(std::uint64_t seed, SimResult& result) -> std::string {
    return bodyOf({{"seed", fmt::to_string(seed)}, {"broken", fmt::to_string(result.violations.size())},
        {"digest", jsonQuote(fmt::format("{:016x}", result.digest))},
        {"faults", fmt::to_string(result.faults)}, {"firstSends", fmt::to_string(result.firstSends)},
        {"extraSends", fmt::to_string(result.extraSends)}, {"prompts", fmt::to_string(result.prompts)},
        {"cacheHits", fmt::to_string(result.cacheHits)}, {"tokensRead", fmt::to_string(result.tokensRead)},
        {"migrations", fmt::to_string(result.counters["migrations_ongoing_total"])},
        {"resends", fmt::to_string(result.counters["migrations_new_total"])},
        {"budgetDenied", fmt::to_string(result.counters["budget_denied_total"])},
        {"tokensReadAgain", fmt::to_string(result.tokensReadAgain)},
        {"orders", fmt::to_string(result.orders)},
        {"acknowledged", fmt::to_string(result.acknowledgedOrders)},
        {"unknown", fmt::to_string(result.unknownOrders)},
        {"lastDisobedientUs", fmt::to_string(result.longestDisobedience)},
        {"recoveryUs", fmt::to_string(result.recoveryTime)},
        {"configGeneration", fmt::to_string(result.configurationVersion)},
        {"reign", fmt::to_string(result.epoch)}, {"denials", rejectionsJson(result)},
        {"worstMinute", fmt::to_string(result.worstMinutePermille)},
        {"ackP50Us", fmt::to_string(quantile(result.acknowledgementTimes, .5))},
        {"ackP99Us", fmt::to_string(quantile(result.acknowledgementTimes, .99))},
        {"markP50Us", fmt::to_string(quantile(result.markAcknowledgementTimes, .5))},
        {"markP99Us", fmt::to_string(quantile(result.markAcknowledgementTimes, .99))},
        {"kinds", kindsJson(result)}});
}

auto printSummary(std::uint64_t seed, const SimResult& result) -> void {
    auto sent = std::int64_t(0), complete = std::int64_t(0);
    for (auto& [name, kind] : result.kinds) {
        sent += kind.sent;
        complete += kind.complete;
    }
    fmt::print(
        "seed {}: {} rules broken, {} faults, {} of {} whole, {} extra sends on {}, {} of {} orders "
        "acknowledged, digest {:016x}\n",
        seed, result.violations.size(), result.faults, complete, sent, result.extraSends, result.firstSends,
        result.acknowledgedOrders, result.orders, result.digest);
}

auto printViolations(std::uint64_t seed, const SimResult& result) -> void {
    for (auto& line : result.trace) fmt::print("  {}\n", line);
    for (auto& violation : result.violations) fmt::print("seed {}: {}\n", seed, violation);
}

}  // namespace

auto simulateRun(SimOptions options, int seeds, bool json) -> int {
    auto violated = false;
    auto firstSeed = options.seed;
    for (auto i = 0; i < seeds; i++) {
        options.seed = firstSeed + std::uint64_t(i);
        auto result = simRun(options);
        if (!result) {
            fmt::print(stderr, "duneturn simulate: {}\n", result.error().message);
            return EXIT_WRONG_USE;
        }
        if (json) fmt::print("{}\n", resultJson(options.seed, *result));
        else printSummary(options.seed, *result);
        if (!result->violations.empty()) {
            violated = true;
            if (!json) printViolations(options.seed, *result);
        }
        std::fflush(stdout);
    }
    return violated ? EXIT_VIOLATION : 0;
}

}  // namespace duneturn
