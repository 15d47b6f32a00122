#pragma once
// A fleet with gossip membership in virtual time. By default it has twelve nodes in two regions and three
// zones. Three of them are core nodes, whose addresses are the only seeds that the nodes are given. The
// network, the disks and the clock are simulated; a seed determines every random choice.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "test.hpp"

namespace duneturn {

struct Fleet;

/// One machine of the fleet with its process, its disk and its settings.
struct FleetNode : NodePort {
    Fleet& fleet;
    Settings st;
    bool core = false, up = false, removed = false;
    std::int64_t life = 0;    // number of starts of the process
    Microseconds frozen = 0;  // the process is suspended until then
    DiskState diskState;
    std::deque<std::pair<Microseconds, DiskWrite>> pendingWrites;  // with the time of their completion
    std::vector<std::string> savedHints;
    Counters counters;
    std::unique_ptr<Node> n;
    std::int64_t highestVersion = 0;  // of the replicated state, in this incarnation
    explicit FleetNode(Fleet& ownFleet) : fleet(ownFleet) {}
    auto send(const std::string& address, const wire::Envelope& envelope) -> void override;
    auto disk(const DiskWrite& write) -> void override;
    auto done(std::int64_t id, const Outcome& outcome) -> void override;
    auto savePeerHints(const std::vector<std::string>& addresses) -> void override { savedHints = addresses; }
    auto probe(const std::string&, const std::string&) -> void override;
};

struct Fleet {
    /// A message in transit.
    struct Message {
        std::string to;  // peer address
        std::size_t from;
        wire::Envelope e;
    };

    RandomSource r;
    Microseconds t = 0;                           // the current time
    Microseconds maxSyncDelay = 3 * MILLISECOND;  // of a disk write
    std::vector<std::unique_ptr<FleetNode>> nodes;
    std::multimap<Microseconds, Message> net;  // by time of delivery
    /// When the last message of a link is delivered; links do not reorder messages.
    std::map<std::pair<std::size_t, std::string>, Microseconds> lastDeliveryAt;
    std::set<std::pair<std::size_t, std::size_t>> cut;  // partitioned links, by source and destination
    std::map<std::int64_t, Outcome> outcomes;
    std::vector<std::string> seeds;
    std::map<std::string, std::size_t> indexByAddress;
    std::int64_t ids = 0;  // the number of the last request
    // Counted while countBytes is set:
    std::int64_t bytesBetweenRegions = 0, bytesSent = 0;
    std::int64_t probes = 0, heartbeats = 0;
    std::string violation;  // the first invariant that was violated; empty if none
    double lossRate = 0;
    /// Alters what a node (by its index) sends to an address; none by default.
    std::function<void(std::size_t from, const std::string& to, wire::Envelope&)> filter;
    bool serveOn = true, countBytes = false;
    bool ackBeforeSync = false;  // a deliberate fault of all voters

    explicit Fleet(std::uint64_t seed) : r{seed} {}

    /// Adds a node that is not started yet.
    auto add(const std::string& region, const std::string& zone, bool core, bool bootstrap) -> FleetNode& {
        auto& node = *nodes.emplace_back(std::make_unique<FleetNode>(*this));
        auto number = nodes.size();
        node.core = core;
        node.st.node = fmt::format("edge-{}-{}", zone, number);
        node.st.zone = zone;
        node.st.region = region;
        node.st.peer = fmt::format("10.1.{}.{}:7720", number / 250, number % 250);
        node.st.clientAddress = fmt::format("10.1.{}.{}:8161", number / 250, number % 250);
        node.st.operatorAddress = fmt::format("10.1.{}.{}:8166", number / 250, number % 250);
        indexByAddress[node.st.peer] = number - 1;
        node.st.seeds = seeds;
        node.st.gossip = true;
        node.st.bootstrap = bootstrap;
        node.st.serveOn = serveOn;
        node.st.probes = false;
        return node;
    }
    /// Adds and starts the nodes. The first `cores` of them have a disk; the zones take turns.
    auto bootstrap(int cores = 3, int nodeCount = 12) -> void {
        auto places = std::vector<std::pair<std::string, std::string>>{
            {"punjab", "lhr-hall"}, {"punjab", "mtn-hall"}, {"sindh", "khi-hall"}};
        seeds = {"10.1.0.1:7720", "10.1.0.2:7720", "10.1.0.3:7720"};
        for (auto i = 0; i < nodeCount; i++) {
            auto& [region, zone] = places[std::size_t(i % 3)];
            add(region, zone, i < cores, true);
        }
        for (auto& node : nodes) start(*node);
    }
    auto start(FleetNode& node) -> void {
        node.up = true;
        node.life++;
        node.frozen = 0;
        node.highestVersion = 0;
        auto boot = 1'700'000'000 * SECOND + t + node.life;
        node.n = std::make_unique<Node>(node.st, node, node.counters, boot, r.next());
        if (!node.core) return;
        node.n->addPeerHints(node.savedHints);
        node.n->startCore(node.diskState, fmt::format("disk-{}-{}", node.st.node, r.below(1000000)), t);
    }
    /// Power loss: writes that are not synced are lost.
    auto stop(FleetNode& node) -> void {
        node.up = false;
        node.n.reset();
        node.pendingWrites.clear();
    }
    /// Sets the seeds for later starts to three core nodes from a list that is out of date, so that one of
    /// them may have been removed.
    auto updateSeeds() -> void {
        auto addresses = std::vector<std::string>();
        auto removedCore = std::string();
        for (auto& node : nodes)
            if (node->core && node->removed) removedCore = node->st.peer;
            else if (node->core) addresses.push_back(node->st.peer);
        if (!removedCore.empty()) addresses.insert(addresses.begin() + Microseconds(r.below(3)), removedCore);
        addresses.resize(std::min<std::size_t>(addresses.size(), 3));
        if (!addresses.empty()) seeds = addresses;
    }
    /// Starts a node again with the settings that it had.
    auto restart(FleetNode& node) -> void {
        node.st.bootstrap = false;
        start(node);
    }
    /// Starts a node again with the seeds as they are now.
    auto restartWithNewSeeds(FleetNode& node) -> void {
        updateSeeds();
        node.st.seeds = seeds;
        restart(node);
    }
    auto wipeDisk(FleetNode& node) -> void {
        node.diskState = {};
        node.savedHints.clear();
    }
    /// The index of the node with this peer address; -1 if there is none.
    auto indexAt(const std::string& address) -> int {
        auto entry = indexByAddress.find(address);
        return entry == indexByAddress.end() || nodes[entry->second]->removed ? -1 : int(entry->second);
    }
    auto indexOf(const FleetNode& node) -> std::size_t { return indexByAddress[node.st.peer]; }
    /// Partitions the node from all others, or ends that partition.
    auto lone(FleetNode& node, bool isolated) -> void {
        auto index = indexOf(node);
        for (auto other = std::size_t(0); other < nodes.size(); other++) {
            if (other == index) continue;
            for (auto link : {std::pair(other, index), std::pair(index, other)})
                if (isolated) cut.insert(link);
                else cut.erase(link);
        }
    }
    auto post(FleetNode& from, const std::string& to, wire::Envelope envelope) -> void {
        if (filter) filter(indexOf(from), to, envelope);
        auto index = indexAt(to);
        if (index < 0 || r.chance(lossRate)) return;
        auto& receiver = *nodes[std::size_t(index)];
        auto betweenRegions = from.st.region != receiver.st.region;
        auto betweenZones = from.st.zone != receiver.st.zone;
        auto delay = betweenRegions ? 55 * MILLISECOND : betweenZones ? 900 : Microseconds(300);
        if (countBytes) {
            auto bytes = sizeOnTheWire(envelope);
            bytesSent += bytes;
            if (betweenRegions) bytesBetweenRegions += bytes;
        }
        auto& deliveryAt = lastDeliveryAt[{indexOf(from), to}];
        deliveryAt = std::max(deliveryAt, t + delay + Microseconds(r.below(300)));
        net.emplace(deliveryAt, Message{to, indexOf(from), envelope});
    }
    /// Lets time pass. Fails if an invariant is violated.
    auto run(Microseconds duration) -> void {
        for (auto end = t + duration; t < end && violation.empty();) {
            t += 2 * MILLISECOND;
            for (auto& node : nodes)
                if (ackBeforeSync && node->up && node->n->voter())
                    node->n->voter()->broken.ackBeforeSync = true;
            deliverMessages();
            for (auto i = std::size_t(0); i < nodes.size(); i++)
                if (nodes[i]->up && nodes[i]->frozen <= t) runNode(*nodes[i], i);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violation, std::string(), violation);
    }
    /// Lets time pass until the condition holds. Returns whether it does.
    auto until(Microseconds limit, const std::function<bool()>& condition) -> bool {
        for (auto end = t + limit; t < end;) {
            if (condition()) return true;
            run(20 * MILLISECOND);
        }
        return condition();
    }
    /// The leader of the newest term that a majority has confirmed within the last second; null if none.
    auto leader() -> FleetNode* {
        auto newest = static_cast<FleetNode*>(nullptr);
        for (auto& node : nodes)
            if (node->up && node->frozen <= t && node->n->voter() && node->n->voter()->ready()
                && t - node->n->voter()->lastQuorumContact() < SECOND
                && (!newest || node->n->ownRecord().term > newest->n->ownRecord().term))
                newest = node.get();
        return newest;
    }
    /// Orders the evacuation of a zone and returns the number of the request.
    auto order(FleetNode& node, const std::string& zone) -> std::int64_t {
        node.n->order(++ids, "empty", "key-" + zone, "{\"district\":" + jsonQuote(zone) + "}", t);
        return ids;
    }
    auto ok(std::int64_t id) -> bool { return outcomes.count(id) && outcomes[id].status == 200; }
    /// Orders the evacuation of a zone as an operator does, who repeats the order at other nodes until it is
    /// acknowledged. Returns whether it was acknowledged within `limit`.
    auto orderUntilAcknowledged(const std::string& zone, Microseconds limit) -> bool {
        for (auto end = t + limit; t < end;) {
            auto running = std::vector<FleetNode*>();
            for (auto& node : nodes)
                if (node->up && node->frozen <= t) running.push_back(node.get());
            auto id = order(*running[r.below(running.size())], zone);
            if (until(std::min(SECOND, end - t), [&] { return ok(id); })) return true;
        }
        return false;
    }
    auto evacuatedEverywhere(const std::string& zone) -> bool {
        for (auto& node : nodes)
            if (node->up && node->frozen <= t && !node->n->replicatedState().evacuated(zone)) return false;
        return true;
    }
    /// Puts a first configuration in force.
    auto putConfiguration() -> bool {
        auto id = ++ids;
        nodes[4]->n->order(id, "config", "first",
            R"({"base":0,"config":{"mappings":[{"name":"a","path":"/a","pool":"p","MaxTries":2}]}})", t);
        return until(3 * SECOND, [&] { return ok(id); });
    }
    /// The disks of the voters according to the leader.
    auto voterDisks() -> std::vector<std::string> {
        auto disks = std::vector<std::string>();
        for (auto& voter : leader()->n->replicatedState().voters()) disks.push_back(voter.disk);
        return disks;
    }
    auto isVoter(FleetNode& node) -> bool {
        auto disks = leader() ? voterDisks() : std::vector<std::string>();
        return node.n && std::find(disks.begin(), disks.end(), node.n->ownRecord().disk) != disks.end();
    }
    /// Prints the state of all core nodes if DT_SHOW is set.
    auto printCores() -> void {
        if (!getenv("DT_SHOW")) return;
        for (auto& node : nodes) {
            if (!node->core || !node->n) continue;
            auto voter = node->n->voter();
            fmt::print("{} disk {} role {} term {} last {} commit {} gen {} alive {} leader {} voters",
                node->st.node, voter->disk(), int(voter->role()), voter->term(), voter->last(),
                voter->commit(), node->n->replicatedState().version, node->n->aliveNodes(t).size(),
                node->n->leaderNode(t));
            for (auto& identity : voter->voters()) fmt::print(" {}={}", identity.node, identity.disk);
            fmt::print("\n");
        }
    }
    /// Bootstraps the fleet and waits until every node has a configuration and is within its lease.
    auto startCluster(int cores = 3, int nodeCount = 12) -> void {
        bootstrap(cores, nodeCount);
        CHECK(until(3 * SECOND, [&] { return leader() != nullptr; }));
        CHECK(putConfiguration());
        CHECK(until(SECOND, [&] { return allWithinLease(); }));
        run(2 * SECOND);
    }
    auto allWithinLease() -> bool {
        return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) { return node->n->withinLease(t); });
    }
    /// Sends a listing of these servers to a node. `more`: further JSON members of each server. Returns the
    /// status.
    auto list(FleetNode& node, const std::vector<std::string>& names, const std::string& more = "") -> int {
        auto servers = std::string();
        for (auto& name : names)
            servers += fmt::format(
                R"({}{{"name":"{}","address":"10.9.0.1:80","region":"punjab","district":"lhr-hall","pool":"p"{}}})",
                servers.empty() ? "" : ",", name, more);
        node.n->list(++ids, "{\"servers\":[" + servers + "]}", t);
        return outcomes[ids].status;
    }
    auto dutyHolders() -> std::vector<FleetNode*> {
        auto holders = std::vector<FleetNode*>();
        for (auto& node : nodes)
            if (node->up && node->n->hasSingletonDuty(t)) holders.push_back(node.get());
        return holders;
    }
    /// The state of a server in a node's directory; -1 if it is not listed there.
    auto serverState(FleetNode& node, const std::string& server) -> int {
        auto entry = node.n->servers().find(server);
        return entry == node.n->servers().end() ? -1 : int(entry->second.listing.state);
    }
    /// Whether all running nodes list the server in this state.
    auto listedEverywhere(const std::string& server, int state) -> bool {
        return std::all_of(nodes.begin(), nodes.end(),
            [&](auto& node) { return !node->up || serverState(*node, server) == state; });
    }

  private:
    static auto sizeOnTheWire(const wire::Envelope& envelope) -> std::int64_t {
        constexpr auto FRAME_BYTES = 30;  // the frame and the call around the envelope
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        auto protocol = apache::thrift::protocol::TCompactProtocol(buffer);
        return std::int64_t(envelope.write(&protocol)) + FRAME_BYTES;
    }
    auto deliverMessages() -> void {
        while (!net.empty() && net.begin()->first <= t) {
            auto message = net.begin()->second;
            auto dueAt = net.begin()->first;
            net.erase(net.begin());
            auto index = indexAt(message.to);
            if (index < 0 || !nodes[std::size_t(index)]->up) continue;
            if (cut.count({message.from, std::size_t(index)})) continue;
            auto& node = *nodes[std::size_t(index)];
            if (node.frozen > t) net.emplace(std::max(dueAt, node.frozen), message);
            else node.n->handle(message.e, t);
        }
    }
    /// Completes the node's disk writes, calls its timer and checks that its state has not gone back.
    auto runNode(FleetNode& node, std::size_t index) -> void {
        while (!node.pendingWrites.empty() && node.pendingWrites.front().first <= t) {
            auto write = node.pendingWrites.front().second;
            node.pendingWrites.pop_front();
            applyDiskWrite(node.diskState, write);
            node.n->onDiskWriteDone(write.seq, true, t);
        }
        if ((t / MILLISECOND + Microseconds(index) * 2) % 20 == 0)
            node.n->tick(t, 1'700'000'000 * SECOND + t);
        auto version = node.n->replicatedState().version;
        if (version < node.highestVersion)
            violation = fmt::format("the state of {} went back to version {}", node.st.node, version);
        node.highestVersion = version;
    }
};

inline auto FleetNode::send(const std::string& address, const wire::Envelope& envelope) -> void {
    fleet.heartbeats += envelope.__isset.heartbeat;
    fleet.post(*this, address, envelope);
}
inline auto FleetNode::disk(const DiskWrite& write) -> void {
    auto delay = 500 + Microseconds(fleet.r.below(std::uint64_t(fleet.maxSyncDelay)));
    pendingWrites.emplace_back(fleet.t + delay, write);
}
inline auto FleetNode::done(std::int64_t id, const Outcome& outcome) -> void { fleet.outcomes[id] = outcome; }
inline auto FleetNode::probe(const std::string&, const std::string&) -> void { fleet.probes++; }

/// Mutes the log while it is in scope, unless DT_SHOW is set.
struct MutedLog {
    MutedLog() { muteLog(!getenv("DT_SHOW")); }
    ~MutedLog() { muteLog(false); }
};

}  // namespace duneturn
