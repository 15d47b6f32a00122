// The measurements of the `scale` subcommand: steady state, changes and losses.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "sim/scale_fleet.hpp"

namespace duneturn::scale {

namespace {

constexpr Microseconds STEADY_WINDOW = 10 * SECOND;  // over which bytes and messages are counted
constexpr Microseconds BOOTSTRAP_LIMIT = 60 * SECOND;
constexpr Microseconds RECOVERY_LIMIT = 60 * SECOND;
constexpr Microseconds CONVERGENCE_LIMIT = 30 * SECOND;
constexpr Microseconds ELECTION_LIMIT = 30 * SECOND;
constexpr Microseconds ANSWER_LIMIT = 6 * SECOND;
constexpr Microseconds CHANGE_LIMIT = 20 * SECOND;
constexpr Microseconds CHANGE_PERIOD = 2 * SECOND;
constexpr Microseconds PARTITION_TIME = 30 * SECOND;
constexpr Microseconds PARTITION_SETTLED = 20 * SECOND;  // readiness inside is measured from this time on
constexpr int CHANGES = 3;
constexpr int CONFIGURATION_TRIES = 5;
constexpr int OUTCOMES = 256;  // how many the replicated state keeps
constexpr Microseconds OUTCOME_GAP = 5 * MILLISECOND;
// A probe's request and reply with their headers: assumed, since the servers are not real.
constexpr std::int64_t PROBE_BYTES = 250 + 330;
constexpr int STATUS_OK = 200;
constexpr std::int64_t NANOSECONDS = 1000;  // in a microsecond

auto heapNow() -> std::int64_t {
    auto info = mallinfo2();
    return std::int64_t(info.uordblks + info.hblkhd);
}

/// The longer of two times; -1 if one of them is -1.
auto longest(Microseconds soFar, Microseconds time) -> Microseconds {
    return soFar < 0 || time < 0 ? -1 : std::max(soFar, time);
}

}  // namespace

auto Fleet::sendOrder(HollowNode& node, const std::string& operation, const std::string& body,
    std::function<void(const Outcome&)> onOutcome) -> void {
    auto id = ++node.lastCall;
    node.calls[id] = std::move(onOutcome);
    measureCall(node, &Stats::other, [&] {
        auto key = fmt::format("order-{:08x}-{}", random.state & 0xffffffff, ++orders_);
        node.node->order(id, operation, key, body, now);
    });
}

// ---- setting up

auto Fleet::startNodes() -> void {
    for (auto& node : nodes)
        in(Microseconds(random.below(500 * MILLISECOND)), [started = node.get()] {
            started->start();
            started->settings.bootstrap = false;  // applies to the first start only
        });
    runUntil(600 * MILLISECOND);
}

// The state keeps the last outcomes of orders. It is filled up, as it is in a fleet that has run for hours.
auto Fleet::fillOutcomes() -> void {
    for (auto i = 0; i < OUTCOMES; i++)
        in(i * OUTCOME_GAP, [this, i] {
            if (auto currentLeader = leader())
                sendOrder(*currentLeader, "give-back", fmt::format("{{\"district\":\"none-{}\"}}", i),
                    [](auto&) {});
        });
    runUntil(now + OUTCOMES * OUTCOME_GAP);
    waitFor(CONVERGENCE_LIMIT, [&] {
        return allHaveSameState()
            && leader()->node->replicatedState().outcomeCount() >= std::size_t(OUTCOMES);
    });
    auto currentLeader = leader();
    point.counts["outcomes"] =
        std::int64_t(currentLeader ? currentLeader->node->replicatedState().outcomeCount() : 0);
}

auto Fleet::sendConfiguration(const std::string& configuration) -> void {
    auto status = 0;
    for (auto i = 0; i < CONFIGURATION_TRIES && status != STATUS_OK; i++) {
        if (auto currentLeader = leader())
            sendOrder(*currentLeader, "config", "{\"base\":0,\"config\":" + configuration + "}",
                [&](const Outcome& outcome) { status = outcome.status; });
        waitFor(ANSWER_LIMIT, [&] { return status != 0; });
    }
    point.counts["configStatus"] = status;
}

// False if the fleet was not bootstrapped or did not become ready.
auto Fleet::setUp() -> bool {
    auto& counts = point.counts;
    build();
    counts["nodes"] = size.nodes;
    counts["servers"] = size.servers;
    counts["zones"] = zones;
    counts["regions"] = regions;
    counts["cores"] = cores;
    startNodes();
    counts["bootstrapUs"] = waitFor(BOOTSTRAP_LIMIT, [&] { return allHaveSameState(); });
    if (counts["bootstrapUs"] < 0) return false;
    fillOutcomes();
    auto configuration = largestConfiguration();
    sendConfiguration(configuration);
    sendListing();
    counts["readyUs"] = waitFor(BOOTSTRAP_LIMIT, [&] { return converged(); });
    if (counts["readyUs"] < 0) return false;
    counts["wordBytes"] = std::int64_t(leader()->node->replicatedState().text().size());
    counts["configBytes"] = std::int64_t(configuration.size());
    runUntil(now + 5 * SECOND);
    return true;
}

// ---- the steady state: control traffic without changes

auto Fleet::recordBusiestNode() -> void {
    constexpr auto SECONDS = STEADY_WINDOW / SECOND;
    auto raise = [&](const std::string& name, std::int64_t value) {
        auto& highest = point.counts[name];
        highest = std::max(highest, value / SECONDS);
    };
    auto mostTime = std::int64_t(0);
    for (auto& node : nodes) {
        auto& stats = node->stats;
        raise("all.bytesInMax", stats.bytesIn);
        raise("all.bytesOutMax", stats.bytesOut);
        raise("all.bytesMax", stats.bytesIn + stats.bytesOut);
        raise("all.messagesInMax", stats.messagesIn);
        raise("all.messagesOutMax", stats.messagesOut);
        raise("all.probesMax", stats.probes);
        mostTime = std::max(mostTime, stats.controlTime());
    }
    point.costs["all.cpuUsMax"] = mostTime / SECONDS / NANOSECONDS;
}

// Means per second and node over the nodes of one role.
auto Fleet::recordRole(const std::string& role, const Stats& sum, std::int64_t count) -> void {
    auto nodeSeconds = count * (STEADY_WINDOW / SECOND);
    auto& counts = point.counts;
    counts[role + ".nodes"] = count;
    counts[role + ".bytesIn"] = sum.bytesIn / nodeSeconds;
    counts[role + ".bytesOut"] = sum.bytesOut / nodeSeconds;
    counts[role + ".messagesIn"] = sum.messagesIn / nodeSeconds;
    counts[role + ".messagesOut"] = sum.messagesOut / nodeSeconds;
    counts[role + ".rowsIn"] = sum.recordsIn / nodeSeconds;
    counts[role + ".echoesIn"] = sum.acksIn / nodeSeconds;
    counts[role + ".pulsesIn"] = sum.heartbeatCountersIn / nodeSeconds;
    counts[role + ".listingsIn"] = sum.listingsIn / nodeSeconds;
    counts[role + ".loadsIn"] = sum.loadsIn / nodeSeconds;
    counts[role + ".probes"] = sum.probes / nodeSeconds;
    counts[role + ".wordsIn"] = sum.statesIn / nodeSeconds;
    counts[role + ".syncs"] = sum.syncs / nodeSeconds;
    counts[role + ".probeBytes"] = sum.probes * PROBE_BYTES / nodeSeconds;
    auto& costs = point.costs;
    costs[role + ".cpuUs"] = sum.controlTime() / nodeSeconds / NANOSECONDS;
    costs[role + ".cpuTickUs"] = sum.tick / nodeSeconds / NANOSECONDS;
    costs[role + ".cpuHearUs"] = sum.handle / nodeSeconds / NANOSECONDS;
    costs[role + ".cpuEncodeUs"] = sum.encode / nodeSeconds / NANOSECONDS;
    costs[role + ".cpuDecodeUs"] = sum.decode / nodeSeconds / NANOSECONDS;
    costs[role + ".cpuOtherUs"] = sum.other / nodeSeconds / NANOSECONDS;
}

auto Fleet::measureSteadyState() -> void {
    constexpr auto SECONDS = STEADY_WINDOW / SECOND;
    for (auto& node : nodes) node->stats = {};
    bytesBetweenZones_ = bytesBetweenRegions_ = mostBytesInFlight_ = 0;
    warmCaches_ = true;
    runUntil(now + STEADY_WINDOW);
    warmCaches_ = false;
    auto relayNames = relays();
    auto sums = std::map<std::string, Stats>();
    auto numbers = std::map<std::string, std::int64_t>();
    for (auto& node : nodes)
        for (auto& role : {std::string("all"), roleOf(*node, relayNames)}) {
            sums[role].add(node->stats);
            numbers[role]++;
        }
    recordBusiestNode();
    for (auto& [role, sum] : sums) recordRole(role, sum, numbers[role]);
    auto& all = sums["all"];
    point.costs["listing.ingestUs"] = all.lists ? all.list / all.lists / NANOSECONDS : 0;
    auto& counts = point.counts;
    counts["all.bytesMean"] = (all.bytesIn + all.bytesOut) / SECONDS / std::int64_t(nodes.size());
    counts["betweenZonesBytes"] = bytesBetweenZones_ / SECONDS;
    counts["betweenRegionsBytes"] = bytesBetweenRegions_ / SECONDS;
    counts["inFlightBytesMax"] = mostBytesInFlight_;
}

// ---- changes of the configuration

auto Fleet::totals() -> Totals {
    auto sum = Totals();
    for (auto& node : nodes) {
        sum.bytesIn += node->stats.bytesIn;
        sum.processorTime += node->stats.controlTime();
        if (node->core) sum.diskBytes += node->diskBytes;
    }
    return sum;
}

// Kills the first relay that is neither a core nor the spared node.
auto Fleet::killRelay(const HollowNode& spared) -> void {
    auto relayNames = relays();
    for (auto& node : nodes) {
        if (node->core || !node->up || node.get() == &spared) continue;
        if (relayNames.count(node->settings.node) == 0) continue;
        node->kill();
        return;
    }
}

auto Fleet::allAppliedConfiguration() -> bool {
    return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return !node->up || node->region == partitionedRegion || appliedAt_[std::size_t(node->index)] >= 0;
    });
}

// Makes one small change of the newest configuration and raises the longest times so far to its times.
auto Fleet::measureChange(HollowNode& currentLeader, bool withRelayLoss, ChangeTimes& times) -> void {
    auto base = currentLeader.node->replicatedState().configVersion();
    awaitedConfiguration_ = base + 1;
    appliedAt_.assign(nodes.size(), -1);
    auto began = now, acknowledgedAt = Microseconds(-1);
    auto status = 0;
    auto& asked = someEdge(partitionedRegion);
    if (withRelayLoss) killRelay(asked);
    auto cap = 51 + orders_ % 100;
    sendOrder(asked, "merge",
        fmt::format("{{\"base\":{},\"patch\":{{\"budget\":{{\"cap\":{}}}}}}}", base, cap),
        [&](const Outcome& outcome) {
            acknowledgedAt = now;
            status = outcome.status;
        });
    auto all = waitFor(CHANGE_LIMIT, [&] { return acknowledgedAt >= 0 && allAppliedConfiguration(); });
    auto lastApplied = began;
    for (auto& node : nodes)
        if (node->up && node->region != partitionedRegion)
            lastApplied = std::max(lastApplied, appliedAt_[std::size_t(node->index)]);
    auto accepted = status == STATUS_OK && acknowledgedAt >= 0;
    times.acknowledged = longest(times.acknowledged, accepted ? acknowledgedAt - began : -1);
    // Nodes may apply a change before it is acknowledged.
    auto toLast = accepted && all >= 0 ? std::max(Microseconds(0), lastApplied - acknowledgedAt) : -1;
    times.lastNode = longest(times.lastNode, toLast);
    times.total = std::max(times.total, lastApplied - began);
    awaitedConfiguration_ = 0;
    runUntil(std::max(now, began + CHANGE_PERIOD));
}

// Makes changes one after another. With `withRelayLoss` a relay is killed at the time of each.
auto Fleet::measureChanges(const std::string& name, int count, bool withRelayLoss) -> void {
    auto began = now;
    auto before = totals();
    auto currentLeader = leader();
    auto leaderTime = currentLeader ? currentLeader->stats.controlTime() : 0;
    auto times = ChangeTimes();
    warmCaches_ = true;
    for (auto i = 0; i < count; i++) {
        auto current = leader();
        if (!current) {
            times.acknowledged = times.lastNode = -1;
            break;
        }
        measureChange(*current, withRelayLoss, times);
    }
    warmCaches_ = false;
    auto& counts = point.counts;
    counts[name + ".ackUs"] = times.acknowledged;  // the longest, from the order to its acknowledgement
    counts[name + ".ackToLastUs"] = times.lastNode;
    counts[name + ".convergenceUs"] = times.total;
    if (count < CHANGES) return;
    // The cost of a change is the excess over the steady state.
    auto after = totals();
    auto seconds = double(now - began) / double(SECOND);
    auto number = double(nodes.size());
    auto& costs = point.costs;
    auto steadyBytes = double(counts["all.bytesIn"]) * number * seconds;
    counts[name + ".bytesInANode"] =
        std::int64_t((double(after.bytesIn - before.bytesIn) - steadyBytes) / number / count);
    counts[name + ".diskBytesACore"] = (after.diskBytes - before.diskBytes) / cores / count;
    auto steadyTime = double(costs["all.cpuUs"]) * number * seconds;
    auto spent = double(after.processorTime - before.processorTime) / double(NANOSECONDS);
    costs[name + ".cpuUsANode"] = std::int64_t((spent - steadyTime) / number / count);
    if (!currentLeader || currentLeader != leader()) return;
    auto leaderSpent = double(currentLeader->stats.controlTime() - leaderTime) / double(NANOSECONDS);
    costs[name + ".cpuUsLeader"] =
        std::int64_t((leaderSpent - double(costs["leader.cpuUs"]) * seconds) / count);
}

// ---- losses

// How long there is no working leader, and how long until all running nodes know the new one.
auto Fleet::measureElection(const std::string& name, Microseconds limit) -> void {
    auto began = now;
    point.counts[name + ".electionUs"] = waitFor(limit, [&] { return leader() != nullptr; });
    auto known = waitFor(limit, [&] { return allKnowLeader(); });
    point.counts[name + ".allKnowLeaderUs"] = known < 0 ? -1 : now - began;
}

auto Fleet::startAll() -> void {
    for (auto& node : nodes)
        if (!node->up) node->start();
}

auto Fleet::measureRecovery(const std::string& name) -> void {
    startAll();
    point.counts[name + ".recoveredUs"] = waitFor(RECOVERY_LIMIT, [&] { return converged(); });
    runUntil(now + 2 * SECOND);
}

// From a server's leaving mark in the listing until the last node has it.
auto Fleet::measureServerLeaving() -> void {
    auto& leaving = servers[0];
    leaving.leaving = true;
    point.counts["listing.convergenceUs"] = waitFor(CONVERGENCE_LIMIT, [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
            auto known = node->node->servers().find(leaving.name);
            return known != node->node->servers().end() && known->second.listing.state == LEAVING;
        });
    });
}

// An edge is killed, and restarted once all others have detected its failure.
auto Fleet::measureEdgeRestart() -> void {
    auto& edge = someEdge(-1);
    edge.kill();
    auto& counts = point.counts;
    counts["failureDetection.allUs"] = waitFor(RECOVERY_LIMIT, [&] {
        return std::none_of(nodes.begin(), nodes.end(),
            [&](auto& node) { return node->up && node->node->alive(edge.settings.node, now); });
    });
    edge.stats = {};
    edge.start();
    counts["restart.readyUs"] = waitFor(RECOVERY_LIMIT, [&] { return edge.node->ready(now); });
    counts["restart.bytesIn"] = edge.stats.bytesIn;
    waitFor(CONVERGENCE_LIMIT, [&] { return converged(); });
}

auto Fleet::measureLeaderLoss() -> void {
    if (auto currentLeader = leader()) currentLeader->kill();
    measureElection("leaderLoss", ELECTION_LIMIT);
    measureRecovery("leaderLoss");
}

auto Fleet::measureZoneLoss() -> void {
    if (auto currentLeader = leader())
        for (auto& node : nodes)
            if (node->zone == currentLeader->zone) node->kill();
    measureElection("zoneLoss", ELECTION_LIMIT);
    measureRecovery("zoneLoss");
}

// The leader's region, or the next one with less than half of the core machines, so that a majority remains.
auto Fleet::regionToPartition(const HollowNode& currentLeader) -> int {
    auto coresIn = [&](int region) {
        return std::count_if(
            nodes.begin(), nodes.end(), [&](auto& node) { return node->core && node->region == region; });
    };
    auto region = currentLeader.region;
    for (auto i = 0; i < regions && coresIn(region) * 2 >= cores; i++) region = (region + 1) % regions;
    return region;
}

// How many in a thousand of the partitioned region's nodes are ready, from 20 s after the partition began.
auto Fleet::readyInside(int region, Microseconds began) -> std::int64_t {
    auto ready = std::int64_t(0), asked = std::int64_t(0);
    while (now - began < PARTITION_TIME) {
        runUntil(now + 500 * MILLISECOND);
        if (now - began < PARTITION_SETTLED) continue;
        for (auto& node : nodes) {
            if (node->region != region || !node->up) continue;
            asked++;
            ready += node->node->ready(now);
        }
    }
    return asked ? ready * 1000 / asked : 0;
}

auto Fleet::measureRegionPartition() -> void {
    auto currentLeader = leader();
    if (!currentLeader) return;
    auto region = regionToPartition(*currentLeader);
    auto& counts = point.counts;
    counts["regionPartition.ofLeader"] = region == currentLeader->region;
    partitionedRegion = region;
    auto began = now;
    measureElection("regionPartition", ELECTION_LIMIT);
    measureChanges("regionPartition.change", 1, false);
    counts["regionPartition.readyInside1000"] = readyInside(region, began);
    partitionedRegion = -1;
    counts["regionPartition.recoveredUs"] = waitFor(RECOVERY_LIMIT, [&] { return converged(); });
}

// The heap memory that is freed when a node of each role ends; its virtual disk is not counted.
auto Fleet::measureMemory() -> void {
    auto relayNames = relays();
    auto byRole = std::map<std::string, HollowNode*>();
    for (auto& node : nodes)
        if (node->up) byRole.emplace(roleOf(*node, relayNames), node.get());
    for (auto& [role, node] : byRole) {
        point.counts[role + ".rowsHeld"] = std::int64_t(node->node->nodes().size()) + 1;
        point.counts[role + ".listingsHeld"] = std::int64_t(node->node->servers().size());
        auto before = heapNow();
        node->kill();
        point.costs[role + ".heapBytes"] = before - heapNow();
    }
}

auto Fleet::run() -> void {
    if (!setUp()) return;
    measureSteadyState();
    measureChanges("change", CHANGES, false);
    measureChanges("changeWithRelayLoss", 1, true);
    startAll();
    waitFor(CONVERGENCE_LIMIT, [&] { return converged(); });
    if (!options.faults) return;
    measureServerLeaving();
    measureEdgeRestart();
    measureLeaderLoss();
    measureZoneLoss();
    measureRegionPartition();
    point.counts["refusedMessages"] = invalidMessages;
    measureMemory();
}

}  // namespace duneturn::scale

namespace duneturn {

auto scalePoint(const ScaleOptions& options, ScaleOptions::Size size) -> ScalePoint {
    muteLog(true);
    auto fleet = std::make_unique<scale::Fleet>(options, size);
    fleet->point.membership = options.gossip ? "learnt" : "roster";
    fleet->point.seed = options.seed;
    fleet->run();
    muteLog(false);
    return std::move(fleet->point);
}

auto ScalePoint::json() const -> std::string {
    auto object = [](const std::map<std::string, std::int64_t>& figures) {
        auto text = std::string();
        for (auto& [name, value] : figures)
            text += fmt::format("{}{}:{}", text.empty() ? "" : ",", jsonQuote(name), value);
        return "{" + text + "}";
    };
    return bodyOf({{"membership", jsonQuote(membership)}, {"seed", fmt::to_string(seed)},
        {"counts", object(counts)}, {"costs", object(costs)}});
}

}  // namespace duneturn
