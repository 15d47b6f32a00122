// The course of a simulation: events in virtual time, the trace, the start and the end of the run.
#include "sim/simulate.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto TICK_INTERVAL = 25 * MILLISECOND;
constexpr auto MIN_DURATION = 40 * SECOND;
constexpr auto MAX_TRACE_LINES = std::size_t(4000);
constexpr auto MAX_VIOLATIONS = std::size_t(20);
// The end of a run: from its end on back, faults are repaired at 14 s and liveness is checked from 6 s on.
constexpr auto REPAIR_BEFORE_END = 14 * SECOND;
constexpr auto LIVENESS_BEFORE_END = 6 * SECOND;
constexpr auto LIVENESS_DURATION = 5 * SECOND;
constexpr auto LAST_READBACK_AFTER_END = 6 * SECOND;
constexpr auto LAST_READBACK_TRIES = 20;
// By then every request is over, and no edge may still have a queue place, retry credit or send of one.
constexpr auto STOP_AFTER_END = 64 * SECOND;

const auto FAULTS = std::vector<std::string>{"crash", "crash-many", "freeze", "cut-node", "cut-district",
    "one-way", "core-split", "lossy", "clock", "power", "disk-slow", "disk-full", "disk-stall", "disk-wipe",
    "replace-core", "server-crash", "server-dark", "server-stall", "server-slow", "server-wrong",
    "server-cut", "server-skip", "server-deny", "server-cold", "leave", "empty", "config", "race", "plan",
    "crowd", "swing", "rules", "server-roll", "late-listing", "district-loss", "total-loss",
    "total-loss-disk", "total-loss-moved", "ruin", "power-after-ack", "wipe-after-ack", "closing-wipe"};
const auto BROKEN_VARIANTS = std::vector<std::string>{"resend-any", "join-any", "ignore-home", "no-budget",
    "no-ramp", "cut-looks-whole", "ignore-leaving", "no-lease", "ack-early", "old-word", "ack-before-sync",
    "vote-twice", "no-quorum", "old-rules", "resume-any", "queue-leak", "late-up", "no-serve", "any-weights",
    "bad-step", "old-boot"};

auto contains(const std::vector<std::string>& names, const std::string& name) -> bool {
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto checkOptions(const SimOptions& options) -> std::string {
    for (auto& fault : options.faults)
        if (!contains(FAULTS, fault)) return "unknown fault: " + fault;
    if (!options.broken.empty() && !contains(BROKEN_VARIANTS, options.broken))
        return "unknown broken variant: " + options.broken;
    if (options.duration < MIN_DURATION) return "the duration must be at least 40000000 us";
    if (options.scale <= 0 || options.perMinute < 0)
        return "the scale must be positive and the faults per minute must not be negative";
    return "";
}

}  // namespace

auto simFaults() -> std::vector<std::string> { return FAULTS; }
auto simBroken() -> std::vector<std::string> { return BROKEN_VARIANTS; }

auto simRun(const SimOptions& options) -> tl::expected<SimResult, SimError> {
    if (auto error = checkOptions(options); !error.empty()) return tl::make_unexpected(SimError{error});
    auto simulation = std::make_unique<Simulation>();
    simulation->options = options;
    simulation->random = RandomSource{hash64("world", options.seed)};
    simulation->networkRandom = RandomSource{hash64("net", options.seed)};
    simulation->faultRandom = RandomSource{hash64("faults", options.seed)};
    if (auto error = simulation->loadExample(); !error.empty()) return tl::make_unexpected(SimError{error});
    muteLog(true);
    simulation->run();
    muteLog(false);
    return std::move(simulation->result);
}

// ---- time, network and trace

auto Simulation::scheduleAt(Microseconds when, Action action) -> void {
    events.push({std::max(when, now), ++eventCount, std::move(action)});
}

auto Simulation::schedule(Microseconds delay, Action action) -> void {
    scheduleAt(now + delay, std::move(action));
}

auto Simulation::scheduleOnMachine(int index, std::int64_t incarnation, Microseconds delay, Action action)
    -> void {
    schedule(delay, [this, index, incarnation, action = std::move(action)] {
        auto& target = machine(index);
        if (!target.up || target.incarnation != incarnation) return;
        if (target.frozen) target.inbox.push_back(action);
        else action();
    });
}

auto Simulation::trace(const std::string& text) -> void {
    auto line = fmt::format("{:>12} {}", now, text);
    result.digest = hash64(line, result.digest);
    if (!options.quiet) fmt::print("{}\n", line);
    if (!result.violations.empty()) return;
    result.trace.push_back(line);
    if (result.trace.size() > MAX_TRACE_LINES)
        result.trace.erase(result.trace.begin(), result.trace.begin() + std::ptrdiff_t(MAX_TRACE_LINES / 2));
}

auto Simulation::reportViolation(const std::string& rule, const std::string& details) -> void {
    trace(fmt::format("BROKEN {}: {}", rule, details));
    if (result.violations.size() < MAX_VIOLATIONS) result.violations.push_back(rule + ": " + details);
}

auto Simulation::networkDelay() -> Microseconds {
    return 300 + Microseconds(networkRandom.below(700))
        + (networkRandom.chance(.01) ? Microseconds(networkRandom.below(20 * MILLISECOND)) : 0);
}

auto Simulation::hasFault(const std::string& kind) const -> bool { return contains(options.faults, kind); }

auto Simulation::isPartitioned(int from, int to) const -> bool {
    return partitions[std::size_t(from)][std::size_t(to)] > 0;
}

// ---- nodes

auto Simulation::scheduleTick(int index, std::int64_t incarnation) -> void {
    scheduleOnMachine(index, incarnation, TICK_INTERVAL, [this, index, incarnation] {
        auto& ticked = machine(index);
        ticked.node->tick(ticked.now(), now + ticked.wallClockOffset);
        ticked.edge->tick(ticked.now());
        checkNodeState(ticked);
        scheduleTick(index, incarnation);
    });
}

auto Simulation::checkNodeState(SimMachine& checked) -> void {
    auto& state = checked.node->replicatedState();
    auto reached = std::pair(state.epoch, state.version);
    auto& newest = checked.newestState;
    if (reached < newest)
        reportViolation("no node slips back",
            fmt::format("{} went from {}/{} to {}/{}", checked.settings.node, newest.first, newest.second,
                reached.first, reached.second));
    newest = std::max(newest, reached);
    auto voter = checked.node->voter();
    if (!voter || !voter->leads()) return;
    auto& disk = leaderDisk[{voter->epoch(), voter->term()}];
    if (disk.empty()) disk = voter->disk();
    if (disk != voter->disk())
        reportViolation("one leader a term", fmt::format("reign {} term {}", voter->epoch(), voter->term()));
}

auto Simulation::leader() -> int {
    for (auto& candidate : machines)
        if (candidate->up && candidate->core && candidate->node->voter()->leads()) return candidate->index;
    return -1;
}

auto Simulation::randomRunningMachine() -> int {
    constexpr auto MAX_DRAWS = 40;
    for (auto i = 0; i < MAX_DRAWS; i++) {
        auto index = int(random.below(machines.size()));
        if (machine(index).up) return index;
    }
    return -1;
}

// ---- the course of a run

auto Simulation::run() -> void {
    for (auto& each : machines)
        scheduleAt(
            Microseconds(random.below(200 * MILLISECOND)), [started = each.get()] { started->start(); });
    scheduleListings();
    scheduleBootstrap();
    scheduleFaults();
    for (auto at = 6 * SECOND; at < options.duration;
         at += 3 * SECOND + Microseconds(faultRandom.below(SECOND)))
        scheduleAt(at, [this] { readBack([](bool, const std::string&) {}); });
    scheduleEnd();
    processEvents(options.duration + STOP_AFTER_END);
    checkAtEnd();
}

// Sends the first configuration until it is accepted; the clients start 3 s later.
auto Simulation::scheduleBootstrap() -> void {
    auto sendFirst = std::make_shared<std::function<void()>>();
    *sendFirst = [this, weak = std::weak_ptr(sendFirst)] {
        auto sendFirst = weak.lock();
        sendConfiguration(0, 0, [this, sendFirst](int status) {
            if (status != 200 && status != 409) {
                schedule(500 * MILLISECOND, [sendFirst] { (*sendFirst)(); });
                return;
            }
            for (auto kind = std::size_t(0); kind < kinds.size(); kind++)
                schedule(3 * SECOND, [this, kind] { scheduleArrivals(kind); });
        });
    };
    scheduleAt(4 * SECOND, [sendFirst] { (*sendFirst)(); });
}

// Repairs all faults and then checks that the fleet serves, accepts orders, can be read and leaks nothing.
// With the fault "closing-wipe" a majority of disks is lost at the end instead, which the fleet need not
// survive; only what was acknowledged is checked then.
auto Simulation::scheduleEnd() -> void {
    scheduleAt(options.duration - REPAIR_BEFORE_END, [this] {
        trace("all faults are healed");
        repairAllFaults();
    });
    if (hasFault("closing-wipe"))
        scheduleAt(options.duration - LIVENESS_BEFORE_END, [this] { wipeMajority(); });
    else
        scheduleAt(options.duration - LIVENESS_BEFORE_END, [this] {
            livenessFrom = now;
            livenessUntil = now + LIVENESS_DURATION;
            checkReadiness();
        });
    scheduleAt(options.duration, [this] {
        ended = true;
        trace("the day ends");
    });
    auto finished = std::make_shared<bool>(false);
    auto readLast = std::make_shared<std::function<void(int)>>();
    *readLast = [this, weak = std::weak_ptr(readLast), finished](int tries) {
        auto readLast = weak.lock();
        readBack([this, readLast, finished, tries](bool succeeded, const std::string& body) {
            if (*finished) return;
            if (succeeded) {
                *finished = true;
                checkLastReadback(body);
            } else if (tries > 0) {
                schedule(500 * MILLISECOND, [readLast, tries] { (*readLast)(tries - 1); });
            } else {
                traceState();
                reportViolation("the newest accepted is read back at day's end", "no readback succeeds");
            }
        });
    };
    scheduleAt(options.duration + LAST_READBACK_AFTER_END, [readLast] { (*readLast)(LAST_READBACK_TRIES); });
    auto stop = options.duration + STOP_AFTER_END;
    scheduleAt(stop - SECOND, [this] { checkLeaks(); });
    scheduleAt(stop, [] {});
}

// The fault "closing-wipe": two core machines lose power and their disks with all that was acknowledged.
auto Simulation::wipeMajority() -> void {
    auto wiped = 0;
    for (auto& each : machines)
        if (each->core && wiped < 2) {
            wiped++;
            result.faults++;
            each->kill(true);
            loseDisk(*each);
            restartLater(each->index, SECOND);
        }
}

auto Simulation::checkLastReadback(const std::string& body) -> void {
    auto state = ReplicatedState();
    state.load(body);
    result.configurationVersion = state.configVersion();
    result.epoch = state.epoch;
    trace(fmt::format("day's end reads configuration {} of reign {}", state.configVersion(), state.epoch));
    for (auto& operation : state.scheduledOperations())
        if (operation.at + 5 * SECOND < now + WALL_CLOCK_START)
            reportViolation("a move fires exactly once", operation.id + " never fired");
}

auto Simulation::processEvents(Microseconds until) -> void {
    while (!events.empty()) {
        auto event = events.top();
        if (event.at > until) break;
        events.pop();
        now = event.at;
        event.action();
        if (result.violations.size() >= MAX_VIOLATIONS) break;
    }
}

}  // namespace duneturn
