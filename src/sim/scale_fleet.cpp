// The fleet of the `scale` subcommand: its nodes, its virtual time and network, and its set-up.
#include "sim/scale_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <time.h>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "state/configuration_validation.hpp"
#include "state/replicated_state.hpp"

namespace duneturn::scale {

namespace {

constexpr Microseconds TICK = 20 * MILLISECOND;  // as in the daemon
constexpr Microseconds ZONE_LATENCY = 200;
constexpr Microseconds REGION_LATENCY = 1400;
constexpr Microseconds WORLD_LATENCY = 55 * MILLISECOND;
constexpr Microseconds JITTER_PART = 20;  // up to this fraction of a latency is added at random
constexpr Microseconds SYNC_TIME = 500;   // of the virtual disk; up to the same is added at random
constexpr Microseconds LISTING_PERIOD = SECOND;
// The overhead of a message on the wire: Ethernet, IP and TCP (with time stamps) headers of each segment.
// Handshakes, acknowledgements and retransmissions of TCP are not counted.
constexpr std::int64_t SEGMENT_BYTES = 1448;
constexpr std::int64_t HEADER_BYTES = 66;
constexpr int MODELS = 6;
constexpr int MAX_TENANTS = 410;
constexpr int SEEDS = 3;
constexpr std::int64_t NANOSECONDS = 1'000'000'000;  // in a second
// A fleet of 390 nodes has 25 zones in 7 regions.
constexpr double FULL_NODES = 390;
constexpr int FULL_ZONES = 25;
constexpr int FULL_REGIONS = 7;

auto bytesOnWire(std::int64_t frame) -> std::int64_t {
    auto segments = (frame + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
    return frame + segments * HEADER_BYTES;
}

/// A configuration with a route for each tenant, over all models.
auto configurationFor(int tenants) -> std::string {
    auto models = std::string(), routes = std::string();
    for (auto i = 0; i < MODELS; i++)
        models +=
            fmt::format("{}\"model-{}\":{{\"migrationLimit\":2,\"maxSequence\":8192}}", i ? "," : "", i);
    for (auto i = 0; i < tenants; i++)
        routes += fmt::format(
            "{}{{\"name\":\"tenant-{:03}\",\"path\":\"/tenant-{:03}/"
            "*\",\"pool\":\"pool-{}\",\"model\":\"model-{}\","
            "\"stream\":true,\"Resumable\":true,\"MaxTries\":3,\"urgency\":{},\"deadlineUs\":60000000,"
            "\"idleUs\":2000000,\"queueUs\":3000000,\"queue\":64,\"affinity\":2048,\"home\":\"region-{}"
            "\"}}",
            i ? "," : "", i, i, i % MODELS, i % MODELS, i % 8, i % 7);
    return fmt::format(
        "{{\"models\":{{{}}},\"budget\":{{\"share\":0.2,\"cap\":50}},\"mappings\":[{}]}}", models, routes);
}

}  // namespace

auto threadCpuTime() -> std::int64_t {
    auto time = timespec();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::int64_t(time.tv_sec) * NANOSECONDS + time.tv_nsec;
}

auto Stats::add(const Stats& added) -> void {
    for (auto figure : {&Stats::messagesIn, &Stats::messagesOut, &Stats::bytesIn, &Stats::bytesOut,
             &Stats::statesIn, &Stats::recordsIn, &Stats::acksIn, &Stats::heartbeatCountersIn,
             &Stats::listingsIn, &Stats::loadsIn, &Stats::probes, &Stats::ticks, &Stats::syncs, &Stats::lists,
             &Stats::tick, &Stats::handle, &Stats::encode, &Stats::decode, &Stats::list, &Stats::other})
        this->*figure += added.*figure;
}

// ---- a node

auto HollowNode::start() -> void {
    up = true;
    incarnation++;
    calls.clear();
    counters = std::make_unique<Counters>();
    auto nodeSeed = fleet.options.seed * 1000 + std::uint64_t(incarnation);
    node = std::make_unique<Node>(settings, *this, *counters, fleet.now + 1, hash64(settings.node, nodeSeed));
    if (core) {
        pendingWrites.clear();
        syncing = false;
        node->addPeerHints(peerHints);
        auto diskSeed = fleet.options.seed * 77 + std::uint64_t(incarnation);
        node->startCore(durable, fmt::format("{:016x}", hash64(settings.node, diskSeed)), fleet.now);
    }
    fleet.atNode(*this, Microseconds(fleet.random.below(TICK)), [](HollowNode& self) { self.tick(); });
}

auto HollowNode::kill() -> void {
    up = false;
    pendingWrites.clear();
    node.reset();
    calls.clear();
}

auto HollowNode::tick() -> void {
    stats.ticks++;
    fleet.measureCall(*this, &Stats::tick, [&] { node->tick(fleet.now, fleet.now); });
    fleet.noteConfiguration(*this);
    fleet.atNode(*this, TICK, [](HollowNode& self) { self.tick(); });
}

auto HollowNode::encoded(const wire::Envelope& envelope) -> std::shared_ptr<std::string> {
    auto began = threadCpuTime();
    auto bytes = fleet.codec.encode(envelope);
    auto spent = threadCpuTime() - began;
    stats.encode += spent;
    fleet.addEncodingTime(spent);
    return bytes;
}

auto HollowNode::send(const std::string& address, const wire::Envelope& envelope) -> void {
    auto found = fleet.nodeByAddress.find(address);
    if (found == fleet.nodeByAddress.end() || found->second == index) return;
    auto bytes = encoded(envelope);
    auto& receiver = *fleet.nodes[std::size_t(found->second)];
    auto wireBytes = bytesOnWire(std::int64_t(bytes->size()));
    stats.messagesOut++;
    stats.bytesOut += wireBytes;
    fleet.transmit(
        *this, receiver, wireBytes, [&receiver, bytes, wireBytes] { receiver.receive(*bytes, wireBytes); });
}

auto HollowNode::receive(const std::string& bytes, std::int64_t wireBytes) -> void {
    auto envelope = wire::Envelope();
    auto began = threadCpuTime();
    auto valid = fleet.codec.decode(bytes, envelope);
    stats.decode += threadCpuTime() - began;
    stats.messagesIn++;
    stats.bytesIn += wireBytes;
    if (!valid) {
        fleet.invalidMessages++;
        return;
    }
    stats.statesIn += envelope.__isset.replicatedState;
    stats.recordsIn += std::int64_t(envelope.heartbeat.records.size());
    for (auto& record : envelope.heartbeat.records) stats.acksIn += std::int64_t(record.acks.size());
    stats.heartbeatCountersIn += std::int64_t(envelope.heartbeat.heartbeatPulses.size());
    stats.listingsIn += std::int64_t(envelope.heartbeat.listings.size());
    stats.loadsIn += std::int64_t(envelope.heartbeat.loads.size());
    fleet.measureCall(*this, &Stats::handle, [&] { node->handle(envelope, fleet.now); });
    fleet.noteConfiguration(*this);
}

auto HollowNode::disk(const DiskWrite& write) -> void {
    pendingWrites.push_back(write);
    diskBytes += std::int64_t(write.document.size());
    for (auto& entry : write.entries) diskBytes += std::int64_t(entry.body.size());
    if (!syncing) syncNext();
}

auto HollowNode::syncNext() -> void {
    syncing = !pendingWrites.empty();
    if (!syncing) return;
    fleet.atNode(*this, SYNC_TIME + Microseconds(fleet.random.below(SYNC_TIME)), [](HollowNode& self) {
        auto write = std::move(self.pendingWrites.front());
        self.pendingWrites.pop_front();
        applyDiskWrite(self.durable, write);
        self.stats.syncs++;
        self.fleet.measureCall(
            self, &Stats::other, [&] { self.node->onDiskWriteDone(write.seq, true, self.fleet.now); });
        self.fleet.noteConfiguration(self);
        self.syncNext();
    });
}

auto HollowNode::done(std::int64_t id, const Outcome& outcome) -> void {
    auto found = calls.find(id);
    if (found == calls.end()) return;
    auto onOutcome = std::move(found->second);
    calls.erase(found);
    fleet.atNode(*this, 0, [onOutcome = std::move(onOutcome), outcome](HollowNode&) { onOutcome(outcome); });
}

auto HollowNode::probe(const std::string& server, const std::string& address) -> void {
    auto found = fleet.serverByAddress.find(address);
    if (found == fleet.serverByAddress.end()) return;
    stats.probes++;
    auto serverZone = fleet.servers[std::size_t(found->second)].zone;
    auto serverRegion = serverZone % fleet.regions;
    if (fleet.partitioned(region, serverRegion)) return;
    auto load = wire::ServerLoad();
    load.boot = 1;
    load.slots = 16;
    load.prefill = std::int32_t(fleet.networkRandom.below(4));
    load.decode = std::int32_t(fleet.networkRandom.below(13));
    load.up = fleet.now;
    auto roundTrip = 2 * fleet.latency(zone, region, serverZone, serverRegion);
    fleet.atNode(*this, roundTrip, [server, load](HollowNode& self) {
        self.fleet.measureCall(self, &Stats::other,
            [&] { self.node->probeFinished(server, true, false, load, self.fleet.now); });
    });
}

// ---- virtual time and network

Fleet::Fleet(const ScaleOptions& scaleOptions, ScaleOptions::Size fleetSize)
    : options(scaleOptions),
      size(fleetSize),
      random{hash64("scale", scaleOptions.seed)},
      networkRandom{hash64("net", scaleOptions.seed)} {}

auto Fleet::at(Microseconds when, std::function<void()> event) -> void {
    events_.push({std::max(when, now), ++eventCount_, std::move(event)});
}

auto Fleet::atNode(const HollowNode& node, Microseconds delay, std::function<void(HollowNode&)> event)
    -> void {
    in(delay, [this, index = node.index, incarnation = node.incarnation, event = std::move(event)] {
        auto& target = *nodes[std::size_t(index)];
        if (target.up && target.incarnation == incarnation) event(target);
    });
}

auto Fleet::runUntil(Microseconds end) -> void {
    while (!events_.empty() && events_.top().at <= end) {
        auto event = events_.top();
        events_.pop();
        now = event.at;
        event.run();
    }
    now = end;
}

auto Fleet::waitFor(Microseconds limit, const std::function<bool()>& condition) -> Microseconds {
    constexpr auto STEP = 10 * MILLISECOND;
    auto began = now;
    while (now - began < limit) {
        if (condition()) return now - began;
        runUntil(now + STEP);
    }
    return condition() ? now - began : -1;
}

auto Fleet::latency(int fromZone, int fromRegion, int toZone, int toRegion) -> Microseconds {
    auto base = fromZone == toZone ? ZONE_LATENCY : fromRegion == toRegion ? REGION_LATENCY : WORLD_LATENCY;
    return base + Microseconds(networkRandom.below(std::uint64_t(base / JITTER_PART)));
}

auto Fleet::partitioned(int fromRegion, int toRegion) const -> bool {
    return partitionedRegion >= 0 && fromRegion != toRegion
        && (fromRegion == partitionedRegion || toRegion == partitionedRegion);
}

auto Fleet::transmit(
    const HollowNode& from, const HollowNode& to, std::int64_t bytes, std::function<void()> arrival) -> void {
    if (to.region != from.region) bytesBetweenRegions_ += bytes;
    else if (to.zone != from.zone) bytesBetweenZones_ += bytes;
    if (!to.up || partitioned(from.region, to.region)) return;
    auto& linkFreeAt = linkFreeAt_[std::size_t(from.index) * nodes.size() + std::size_t(to.index)];
    linkFreeAt = std::max(linkFreeAt, now + latency(from.zone, from.region, to.zone, to.region));
    bytesInFlight_ += bytes;
    mostBytesInFlight_ = std::max(mostBytesInFlight_, bytesInFlight_);
    at(linkFreeAt,
        [this, fromRegion = from.region, &to, incarnation = to.incarnation, bytes,
            arrival = std::move(arrival)] {
            bytesInFlight_ -= bytes;
            if (to.up && to.incarnation == incarnation && !partitioned(fromRegion, to.region)) arrival();
        });
}

auto Fleet::measureCall(HollowNode& node, std::int64_t Stats::*timeOf, const std::function<void()>& call)
    -> void {
    // Hundreds of nodes in one process evict each other from the processor's caches. Reading the node's
    // data first warms the caches, as they are on a machine that runs one node.
    if (warmCaches_) {
        for (auto& [name, known] : node.node->nodes())
            readSink_ += known.lastHeartbeatAt + known.record.heartbeat;
        for (auto& [name, server] : node.node->servers()) readSink_ += server.listedAt + server.load.slots;
    }
    auto began = threadCpuTime(), encodingBefore = encoding_;
    call();
    node.stats.*timeOf += threadCpuTime() - began - (encoding_ - encodingBefore);
}

auto Fleet::noteConfiguration(HollowNode& node) -> void {
    auto& appliedAt = appliedAt_[std::size_t(node.index)];
    if (awaitedConfiguration_ && appliedAt < 0 && node.up
        && node.node->replicatedState().configVersion() >= awaitedConfiguration_)
        appliedAt = now;
}

// ---- setting up

// The number of zones grows with the nodes from 3 to 25, that of regions with the zones from 2 to 7, that of
// core machines (with a disk) from 3 to 6. Core machines share a zone only if there are more of them than
// zones.
auto Fleet::build() -> void {
    zones = std::clamp(int(std::lround(size.nodes * FULL_ZONES / FULL_NODES)), 3, FULL_ZONES);
    regions = std::clamp(int(std::lround(zones * FULL_REGIONS / double(FULL_ZONES))), 2, FULL_REGIONS);
    cores = size.nodes <= 48 ? 3 : size.nodes <= 192 ? 5 : 6;
    addNodes();
    addServers();
    linkFreeAt_.assign(nodes.size() * nodes.size(), 0);
    appliedAt_.assign(nodes.size(), -1);
}

auto Fleet::addNodes() -> void {
    auto inZone = std::vector<int>(std::size_t(zones), 0);
    auto seeds = std::vector<std::string>(), roster = std::vector<std::string>(),
         initialVoters = std::vector<std::string>();
    for (auto i = 0; i < size.nodes; i++) {
        auto node = std::make_unique<HollowNode>(*this, i);
        node->zone = i % zones;
        node->region = node->zone % regions;
        node->core = i < cores;
        auto number = ++inZone[std::size_t(node->zone)];
        auto ip = fmt::format("10.{}.{}.{}", node->region + 1, node->zone, number + 10);
        auto& settings = node->settings;
        settings.zone = fmt::format("hall-{:02}", node->zone);
        settings.region = fmt::format("region-{}", node->region);
        settings.node = fmt::format("edge-{}-{}", settings.zone, number);
        settings.peer = ip + ":7720";
        settings.clientAddress = ip + ":8161";
        settings.operatorAddress = ip + ":8166";
        if (i < SEEDS) seeds.push_back(settings.peer);
        if (node->core) {
            initialVoters.push_back(settings.node);
            settings.data = "/data";
        }
        roster.push_back(settings.node);
        nodeByAddress[settings.peer] = i;
        nodes.push_back(std::move(node));
    }
    for (auto& node : nodes) {
        auto& settings = node->settings;
        settings.seeds = seeds;
        settings.gossip = settings.bootstrap = options.gossip;
        settings.probes = options.probes;
        if (options.gossip) continue;
        settings.roster = roster;
        if (node->core) settings.initialVoters = initialVoters;
    }
}

auto Fleet::addServers() -> void {
    for (auto i = 0; i < size.servers; i++) {
        auto server = HollowServer();
        server.zone = i % zones;
        server.service = i % MODELS;
        server.name = fmt::format("i-{:08x}", std::uint32_t(hash64(fmt::format("server {}", i))));
        server.address = fmt::format("10.{}.{}.{}:8080", 128 + server.zone, i / 250, i % 250 + 1);
        serverByAddress[server.address] = i;
        servers.push_back(server);
    }
}

// The configuration with the most tenants that the schema accepts.
auto Fleet::largestConfiguration() -> std::string {
    for (auto tenants = MAX_TENANTS; tenants > 0; tenants -= 10) {
        auto text = configurationFor(tenants);
        auto document = rapidjson::Document();
        parseJson(text, document);
        if (!validateConfiguration(document).empty()) continue;
        point.counts["tenants"] = tenants;
        return text;
    }
    return "{\"mappings\":[]}";
}

auto Fleet::listing() -> std::string {
    auto list = std::string();
    for (auto& server : servers)
        list += fmt::format(
            "{}{{\"name\":\"{}\",\"address\":\"{}\",\"region\":\"region-{}\",\"district\":\"hall-{:02}\","
            "\"pool\":\"pool-{}\",\"weights\":\"v17\",\"slots\":16,\"state\":\"{}\",\"incarnation\":1}}",
            list.empty() ? "" : ",", server.name, server.address, server.zone % regions, server.zone,
            server.service, server.leaving ? "leaving" : "up");
    return fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++listingRevision_, list);
}

// Gives the platform's complete listing each second to the node that has the singleton duty, which would pull
// it, or with a roster to a random node.
auto Fleet::sendListing() -> void {
    in(LISTING_PERIOD, [this] { sendListing(); });
    auto chosen = int(random.below(nodes.size()));
    for (auto& node : nodes) {
        if (!node->up || (options.gossip ? !node->node->hasSingletonDuty(now) : node->index != chosen))
            continue;
        auto text = listing();
        point.counts["listing.jsonBytes"] = std::int64_t(text.size());
        node->stats.lists++;
        measureCall(*node, &Stats::list, [&] { node->node->list(++node->lastCall, text, now); });
    }
}

// ---- the state of the fleet

auto Fleet::leader() -> HollowNode* {
    for (auto i = 0; i < cores; i++) {
        auto& node = *nodes[std::size_t(i)];
        if (node.up && node.node->voter()->ready() && now - node.node->voter()->lastQuorumContact() < SECOND
            && node.region != partitionedRegion)
            return &node;
    }
    return nullptr;
}

auto Fleet::someEdge(int notRegion) -> HollowNode& {
    while (true) {
        auto& node = *nodes[random.below(nodes.size())];
        if (node.up && !node.core && node.region != notRegion) return node;
    }
}

// Whether all nodes have the version of the leader's state. All nodes must be up.
auto Fleet::allHaveSameState() -> bool {
    auto currentLeader = leader();
    return currentLeader && std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return node->node->replicatedState().version == currentLeader->node->replicatedState().version;
    });
}

// Whether all running nodes outside the partitioned region know the leader.
auto Fleet::allKnowLeader() -> bool {
    auto currentLeader = leader();
    if (!currentLeader) return false;
    return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return !node->up || node->region == partitionedRegion
            || node->node->leaderNode(now) == currentLeader->settings.node;
    });
}

// Whether all running nodes also are ready and have the leader's state.
auto Fleet::converged() -> bool {
    auto currentLeader = leader();
    if (!currentLeader || !allKnowLeader()) return false;
    return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return !node->up
            || (node->node->replicatedState().version == currentLeader->node->replicatedState().version
                && node->node->ready(now));
    });
}

// The nodes that forward state to others, by the leader's view of the dissemination tree.
auto Fleet::relays() -> std::set<std::string> {
    auto names = std::set<std::string>();
    auto currentLeader = leader();
    auto beliefs = rapidjson::Document();
    if (currentLeader && parseJson(currentLeader->node->beliefs(now), beliefs) && beliefs.HasMember("relays"))
        for (auto& relay : beliefs["relays"].GetObject())
            names.insert(std::string(relay.value.GetString(), relay.value.GetStringLength()));
    return names;
}

auto Fleet::roleOf(const HollowNode& node, const std::set<std::string>& relayNames) -> std::string {
    if (&node == leader()) return "leader";
    if (node.core) return "core";
    return relayNames.count(node.settings.node) ? "relay" : "edge";
}

}  // namespace duneturn::scale
