#pragma once
// Runs the logic of a whole fleet over virtual time, network, clocks and disks, all from one seed, and checks
// it by what servers executed, clients received and operators were answered.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "routing/edge.hpp"

namespace duneturn {

struct SimOptions {
    std::string example;  // a folder such as examples/radar
    std::uint64_t seed = 1;
    Microseconds duration = 60 * SECOND;  // at least 40 s
    double scale = 1;                     // multiplies all request rates of clients
    std::vector<std::string> faults;      // kinds, see simFaults(); empty: none
    double perMinute = 12;                // rate of faults
    std::string broken;                   // a deliberate fault in the logic, see simBroken(); empty: none
    std::string
        place;  // "random" or "least": a simpler server selection, for comparison; empty: the real one
    bool quiet = true;                     // does not print the trace
    Microseconds leaveLimit = 5 * SECOND;  // nothing new may reach a leaving server after this
};

/// The requests of one kind. Interrupted streams count as complete if their client resumed them to the end.
struct SimKindResult {
    std::int64_t sent = 0, complete = 0, rejected = 0, failed = 0, truncated = 0, migrated = 0,
                 spilledOver = 0;
    std::int64_t interrupted = 0, resumed = 0;        // streams interrupted, and of these completed
    std::vector<Microseconds> durations, firstTimes;  // to the end; to the first event or the reply
};

struct SimResult {
    std::vector<std::string> violations;  // the first 20 violations of rules
    std::vector<std::string> trace;       // the last lines before the first violation
    std::map<std::string, SimKindResult> kinds;
    std::int64_t sends = 0, firstSends = 0, extraSends = 0;  // connections begun to servers
    std::int64_t executions = 0, prompts = 0, cacheHits = 0;
    std::int64_t tokensRead = 0, tokensReadAgain = 0;  // of prompts, not cached; again: on a migration
    std::int64_t orders = 0, acknowledgedOrders = 0, unknownOrders = 0, faults = 0;
    std::int64_t configurationVersion = 0, epoch = 0;  // read back at the end
    Microseconds longestDisobedience = 0;            // from an acknowledged order to the last send against it
    Microseconds recoveryTime = 0;                   // from a total loss until every kind was served again
    std::uint64_t digest = 0;                        // of the whole trace: the same seed gives the same
    std::map<std::string, std::int64_t> rejections;  // by reason
    std::vector<Microseconds> acknowledgementTimes;  // from sending an order to its acknowledgement
    std::vector<Microseconds> markAcknowledgementTimes;  // the same of a leaving mark
    int worstMinutePermille = 0;                         // extra sends per thousand first ones
    std::map<std::string, std::int64_t> counters;        // all "_total" counters, summed over all processes
};

struct SimError {
    std::string message;
};

/// Runs one simulation. Fails on unknown faults or variants, on values out of range, and if the example
/// cannot be read.
auto simRun(const SimOptions& options) -> tl::expected<SimResult, SimError>;
/// The kinds of faults that can be injected.
auto simFaults() -> std::vector<std::string>;
/// The deliberate faults in the logic, each of which must violate a rule.
auto simBroken() -> std::vector<std::string>;
/// The subcommand: runs `seeds` seeds from options.seed on and prints their results. Returns 0, 1 (a rule was
/// violated) or 2 (wrong use).
auto simulateRun(SimOptions options, int seeds, bool json) -> int;

}  // namespace duneturn
