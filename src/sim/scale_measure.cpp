// What the `scale` subcommand plays and measures: the steady state, changes, and losses.
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
constexpr Microseconds FOUNDING_LIMIT = 60 * SECOND;
constexpr Microseconds RECOVERY_LIMIT = 60 * SECOND;
constexpr Microseconds CONVERGENCE_LIMIT = 30 * SECOND;
constexpr Microseconds ELECTION_LIMIT = 30 * SECOND;
constexpr Microseconds ANSWER_LIMIT = 6 * SECOND;
constexpr Microseconds CHANGE_LIMIT = 20 * SECOND;
constexpr Microseconds CHANGE_PERIOD = 2 * SECOND;
constexpr Microseconds PARTITION_TIME = 30 * SECOND;
constexpr Microseconds PARTITION_SETTLED = 20 * SECOND;  // into it, when readiness inside is looked at
constexpr int CHANGES = 3;
constexpr int CONFIGURATION_TRIES = 5;
constexpr int OUTCOMES = 256;  // that the state remembers
constexpr Microseconds OUTCOME_GAP = 5 * MILLISECOND;
// A probe's request and reply with their headers: assumed, since the servers are not real.
constexpr std::int64_t PROBE_BYTES = 250 + 330;
constexpr int STATUS_OK = 200;
constexpr std::int64_t NANOSECONDS = 1000;  // in a microsecond

auto heapNow() -> std::int64_t {
    auto info = mallinfo2();
    return std::int64_t(info.uordblks + info.hblkhd);
}

/// The longer of two times; -1 once one of them did not come.
auto longest(Microseconds soFar, Microseconds time) -> Microseconds {
    return soFar < 0 || time < 0 ? -1 : std::max(soFar, time);
}

}  // namespace

auto Fleet::order(HollowNode& node, const std::string& operation, const std::string& body,
    std::function<void(const Outcome&)> answered) -> void {
    auto id = ++node.callId;
    node.calls[id] = std::move(answered);
    spend(node, &Stats::other, [&] {
        auto key = fmt::format("order-{:08x}-{}", rng.state & 0xffffffff, ++orders_);
        node.node->order(id, operation, key, body, now);
    });
}

// ---- setting up

auto Fleet::startNodes() -> void {
    for (auto& node : nodes)
        in(Microseconds(rng.below(500 * MILLISECOND)), [started = node.get()] {
            started->start();
            started->settings.bootstrap = false;  // of the first start only
        });
    runUntil(600 * MILLISECOND);
}

// The state carries the last outcomes; a fleet that has run for hours carries all of them.
auto Fleet::fillOutcomes() -> void {
    for (auto k = 0; k < OUTCOMES; k++)
        in(k * OUTCOME_GAP, [this, k] {
            if (auto lead = leader())
                order(*lead, "give-back", fmt::format("{{\"district\":\"none-{}\"}}", k), [](auto&) {});
        });
    runUntil(now + OUTCOMES * OUTCOME_GAP);
    waitFor(CONVERGENCE_LIMIT, [&] {
        return sameState() && leader()->node->replicatedState().outcomeCount() >= std::size_t(OUTCOMES);
    });
    auto lead = leader();
    point.counts["outcomes"] = std::int64_t(lead ? lead->node->replicatedState().outcomeCount() : 0);
}

auto Fleet::putConfiguration(const std::string& configuration) -> void {
    auto status = 0;
    for (auto k = 0; k < CONFIGURATION_TRIES && status != STATUS_OK; k++) {
        if (auto lead = leader())
            order(*lead, "config", "{\"base\":0,\"config\":" + configuration + "}",
                [&](const Outcome& outcome) { status = outcome.status; });
        waitFor(ANSWER_LIMIT, [&] { return status != 0; });
    }
    point.counts["configStatus"] = status;
}

// False if the fleet was not founded or never became ready.
auto Fleet::setUp() -> bool {
    auto& counts = point.counts;
    build();
    counts["nodes"] = size.nodes;
    counts["servers"] = size.servers;
    counts["zones"] = zones;
    counts["regions"] = regions;
    counts["cores"] = cores;
    startNodes();
    counts["bootstrapUs"] = waitFor(FOUNDING_LIMIT, [&] { return sameState(); });
    if (counts["bootstrapUs"] < 0) return false;
    fillOutcomes();
    auto configuration = largestConfiguration();
    putConfiguration(configuration);
    tellListing();
    counts["readyUs"] = waitFor(FOUNDING_LIMIT, [&] { return converged(); });
    if (counts["readyUs"] < 0) return false;
    counts["wordBytes"] = std::int64_t(leader()->node->replicatedState().text().size());
    counts["configBytes"] = std::int64_t(configuration.size());
    runUntil(now + 5 * SECOND);
    return true;
}

// ---- the steady state: nothing but what control says by itself

auto Fleet::noteBusiest() -> void {
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

// Means over the nodes of one role, a second.
auto Fleet::noteRole(const std::string& role, const Stats& sum, std::int64_t count) -> void {
    auto nodeSeconds = count * (STEADY_WINDOW / SECOND);
    auto& counts = point.counts;
    counts[role + ".nodes"] = count;
    counts[role + ".bytesIn"] = sum.bytesIn / nodeSeconds;
    counts[role + ".bytesOut"] = sum.bytesOut / nodeSeconds;
    counts[role + ".messagesIn"] = sum.messagesIn / nodeSeconds;
    counts[role + ".messagesOut"] = sum.messagesOut / nodeSeconds;
    counts[role + ".rowsIn"] = sum.rowsIn / nodeSeconds;
    counts[role + ".echoesIn"] = sum.echoesIn / nodeSeconds;
    counts[role + ".pulsesIn"] = sum.pulsesIn / nodeSeconds;
    counts[role + ".listingsIn"] = sum.listingsIn / nodeSeconds;
    counts[role + ".loadsIn"] = sum.loadsIn / nodeSeconds;
    counts[role + ".probes"] = sum.probes / nodeSeconds;
    counts[role + ".wordsIn"] = sum.wordsIn / nodeSeconds;
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

auto Fleet::steadyState() -> void {
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
    noteBusiest();
    for (auto& [role, sum] : sums) noteRole(role, sum, numbers[role]);
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

auto Fleet::allTookConfig() -> bool {
    return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return !node->up || node->region == partitionedRegion || tookAt_[std::size_t(node->index)] >= 0;
    });
}

// One change, small and laid on the newest; its times are taken into the longest so far.
auto Fleet::oneChange(HollowNode& lead, bool withRelayLoss, ChangeTimes& times) -> void {
    auto base = lead.node->replicatedState().configVersion();
    awaitedConfig_ = base + 1;
    tookAt_.assign(nodes.size(), -1);
    auto began = now, acknowledgedAt = Microseconds(-1);
    auto status = 0;
    auto& asked = someEdge(partitionedRegion);
    if (withRelayLoss) killRelay(asked);
    auto cap = 51 + orders_ % 100;
    order(asked, "merge", fmt::format("{{\"base\":{},\"patch\":{{\"budget\":{{\"cap\":{}}}}}}}", base, cap),
        [&](const Outcome& outcome) {
            acknowledgedAt = now;
            status = outcome.status;
        });
    auto all = waitFor(CHANGE_LIMIT, [&] { return acknowledgedAt >= 0 && allTookConfig(); });
    auto lastTook = began;
    for (auto& node : nodes)
        if (node->up && node->region != partitionedRegion)
            lastTook = std::max(lastTook, tookAt_[std::size_t(node->index)]);
    auto taken = status == STATUS_OK && acknowledgedAt >= 0;
    times.acknowledged = longest(times.acknowledged, taken ? acknowledgedAt - began : -1);
    // Nodes may act on a change before it is acknowledged.
    auto toLast = taken && all >= 0 ? std::max(Microseconds(0), lastTook - acknowledgedAt) : -1;
    times.lastNode = longest(times.lastNode, toLast);
    times.whole = std::max(times.whole, lastTook - began);
    awaitedConfig_ = 0;
    runUntil(std::max(now, began + CHANGE_PERIOD));
}

// Changes one after another. With `withRelayLoss` a relay dies in the moment of each.
auto Fleet::change(const std::string& name, int count, bool withRelayLoss) -> void {
    auto began = now;
    auto before = totals();
    auto lead = leader();
    auto leaderTime = lead ? lead->stats.controlTime() : 0;
    auto times = ChangeTimes();
    warmCaches_ = true;
    for (auto k = 0; k < count; k++) {
        auto current = leader();
        if (!current) {
            times.acknowledged = times.lastNode = -1;
            break;
        }
        oneChange(*current, withRelayLoss, times);
    }
    warmCaches_ = false;
    auto& counts = point.counts;
    counts[name + ".ackUs"] = times.acknowledged;  // from the order to its acknowledgement, the longest
    counts[name + ".ackToLastUs"] = times.lastNode;
    counts[name + ".convergenceUs"] = times.whole;
    if (count < CHANGES) return;
    // The cost of a change is what lies beyond the steady state's.
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
    if (!lead || lead != leader()) return;
    auto leaderSpent = double(lead->stats.controlTime() - leaderTime) / double(NANOSECONDS);
    costs[name + ".cpuUsLeader"] =
        std::int64_t((leaderSpent - double(costs["leader.cpuUs"]) * seconds) / count);
}

// ---- losses

// How long there is no leader that acts, and until all that run name the same one.
auto Fleet::election(const std::string& name, Microseconds limit) -> void {
    auto began = now;
    point.counts[name + ".electionUs"] = waitFor(limit, [&] { return leader() != nullptr; });
    auto known = waitFor(limit, [&] { return allKnowLeader(); });
    point.counts[name + ".allKnowLeaderUs"] = known < 0 ? -1 : now - began;
}

auto Fleet::startAll() -> void {
    for (auto& node : nodes)
        if (!node->up) node->start();
}

auto Fleet::recover(const std::string& name) -> void {
    startAll();
    point.counts[name + ".recoveredUs"] = waitFor(RECOVERY_LIMIT, [&] { return converged(); });
    runUntil(now + 2 * SECOND);
}

// A server begins to leave; until the last node knows.
auto Fleet::serverLeaves() -> void {
    auto& leaving = servers[0];
    leaving.leaving = true;
    point.counts["listing.convergenceUs"] = waitFor(CONVERGENCE_LIMIT, [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
            auto known = node->node->servers().find(leaving.name);
            return known != node->node->servers().end() && known->second.listing.state == LEAVING;
        });
    });
}

// A node dies, and starts again.
auto Fleet::edgeRestarts() -> void {
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

auto Fleet::leaderLoss() -> void {
    if (auto lead = leader()) lead->kill();
    election("leaderLoss", ELECTION_LIMIT);
    recover("leaderLoss");
}

auto Fleet::zoneLoss() -> void {
    if (auto lead = leader())
        for (auto& node : nodes)
            if (node->zone == lead->zone) node->kill();
    election("zoneLoss", ELECTION_LIMIT);
    recover("zoneLoss");
}

// The leader's region, or another where half of the disks stand in the leader's own.
auto Fleet::regionToCutOff(const HollowNode& lead) -> int {
    auto coresIn = [&](int region) {
        return std::count_if(
            nodes.begin(), nodes.end(), [&](auto& node) { return node->core && node->region == region; });
    };
    auto region = lead.region;
    for (auto k = 0; k < regions && coresIn(region) * 2 >= cores; k++) region = (region + 1) % regions;
    return region;
}

// How many in a thousand of the cut off region's nodes are ready, late in a partition that began then.
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

auto Fleet::regionPartition() -> void {
    auto lead = leader();
    if (!lead) return;
    auto region = regionToCutOff(*lead);
    auto& counts = point.counts;
    counts["regionPartition.ofLeader"] = region == lead->region;
    partitionedRegion = region;
    auto began = now;
    election("regionPartition", ELECTION_LIMIT);
    change("regionPartition.change", 1, false);
    counts["regionPartition.readyInside1000"] = readyInside(region, began);
    partitionedRegion = -1;
    counts["regionPartition.recoveredUs"] = waitFor(RECOVERY_LIMIT, [&] { return converged(); });
}

// The heap that the end of each kind of node gives back; the disk is virtual and not counted.
auto Fleet::memory() -> void {
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
    steadyState();
    change("change", CHANGES, false);
    change("changeWithRelayLoss", 1, true);
    startAll();
    waitFor(CONVERGENCE_LIMIT, [&] { return converged(); });
    if (!options.faults) return;
    serverLeaves();
    edgeRestarts();
    leaderLoss();
    zoneLoss();
    regionPartition();
    point.counts["refusedMessages"] = refusedMessages;
    memory();
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
