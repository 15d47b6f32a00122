#pragma once
// The fleet behind the `scale` subcommand: nodes without traffic over virtual time, network and disks.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "sim/scale.hpp"
#include "sim/scale_codec.hpp"

namespace duneturn::scale {

/// Counts and costs of one node. The counts are the same for the same seed.
struct Stats {
    std::int64_t messagesIn = 0, messagesOut = 0, bytesIn = 0, bytesOut = 0, statesIn = 0, recordsIn = 0,
                 acksIn = 0, heartbeatCountersIn = 0, listingsIn = 0, loadsIn = 0, probes = 0, ticks = 0,
                 syncs = 0, lists = 0;
    // Nanoseconds of processor time.
    std::int64_t tick = 0, handle = 0, encode = 0, decode = 0, list = 0, other = 0;

    auto processorTime() const -> std::int64_t { return tick + handle + encode + decode + list + other; }
    /// Without the time that listings of the platform take, which is reported separately.
    auto controlTime() const -> std::int64_t { return processorTime() - list; }
    auto add(const Stats& added) -> void;
};

/// Processor time of this thread in nanoseconds.
auto threadCpuTime() -> std::int64_t;

class Fleet;

/// A hollow node: the logic of one node with a virtual disk and network.
struct HollowNode : NodePort {
    Fleet& fleet;
    int index;
    Settings settings;
    int zone = 0, region = 0;
    bool core = false, up = false, syncing = false;
    std::int64_t incarnation = 0, lastCall = 0;
    DiskState durable;                    // the synced contents of the virtual disk
    std::deque<DiskWrite> pendingWrites;  // written, not yet synced
    std::int64_t diskBytes = 0;
    std::vector<std::string> peerHints;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<Node> node;
    std::map<std::int64_t, std::function<void(const Outcome&)>> calls;
    Stats stats;

    HollowNode(Fleet& owner, int number) : fleet(owner), index(number) {}
    auto start() -> void;
    auto kill() -> void;
    auto tick() -> void;
    auto send(const std::string& address, const wire::Envelope& envelope) -> void override;
    auto disk(const DiskWrite& write) -> void override;
    auto done(std::int64_t id, const Outcome& outcome) -> void override;
    auto savePeerHints(const std::vector<std::string>& peers) -> void override { peerHints = peers; }
    auto probe(const std::string& server, const std::string& address) -> void override;

  private:
    auto encoded(const wire::Envelope& envelope) -> std::shared_ptr<std::string>;
    auto receive(const std::string& bytes, std::int64_t wireBytes) -> void;
    auto syncNext() -> void;
};

/// A model server of the listing; it is never called.
struct HollowServer {
    std::string name, address;
    int zone = 0, service = 0;
    bool leaving = false;
};

class Fleet {
  public:
    Fleet(const ScaleOptions& options, ScaleOptions::Size size);
    /// Runs all measurements and stores the figures in `point`.
    auto run() -> void;

    const ScaleOptions& options;
    ScaleOptions::Size size;
    ScalePoint point;
    RandomSource random, networkRandom;
    Microseconds now = 0;
    int zones = 0, regions = 0, cores = 0;
    int partitionedRegion = -1;  // without a connection to the other regions; -1: none
    std::vector<std::unique_ptr<HollowNode>> nodes;
    std::vector<HollowServer> servers;
    std::map<std::string, int> nodeByAddress, serverByAddress;
    EnvelopeCodec codec;
    std::int64_t invalidMessages = 0;

    // ---- virtual time and network
    auto at(Microseconds when, std::function<void()> event) -> void;
    auto in(Microseconds delay, std::function<void()> event) -> void { at(now + delay, std::move(event)); }
    /// Schedules an event at a node; dropped if the node has stopped or restarted by then.
    auto atNode(const HollowNode& node, Microseconds delay, std::function<void(HollowNode&)> event) -> void;
    auto runUntil(Microseconds end) -> void;
    /// Runs until `condition` holds; returns how long that took, or -1 if it does not hold within `limit`.
    auto waitFor(Microseconds limit, const std::function<bool()>& condition) -> Microseconds;
    auto latency(int fromZone, int fromRegion, int toZone, int toRegion) -> Microseconds;
    auto partitioned(int fromRegion, int toRegion) const -> bool;
    /// Delivers a message over the link between two nodes, which keeps the order of sending.
    auto transmit(const HollowNode& from, const HollowNode& to, std::int64_t bytes,
        std::function<void()> arrival) -> void;
    /// Runs a call into a node's logic and adds its processor time, without that of encoding within it, to
    /// the given figure.
    auto measureCall(HollowNode& node, std::int64_t Stats::*timeOf, const std::function<void()>& call)
        -> void;
    auto addEncodingTime(std::int64_t nanoseconds) -> void { encoding_ += nanoseconds; }
    /// Records when a node first has the awaited configuration.
    auto noteConfiguration(HollowNode& node) -> void;

  private:
    struct Event {
        Microseconds at;
        std::int64_t sequence;
        std::function<void()> run;
    };
    struct HappensLater {
        auto operator()(const Event& left, const Event& right) const -> bool {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };
    /// Sums over all nodes, for the cost of a change.
    struct Totals {
        std::int64_t bytesIn = 0, diskBytes = 0, processorTime = 0;
    };
    /// The longest times over several changes; -1 if one of them did not complete.
    struct ChangeTimes {
        Microseconds acknowledged = 0, lastNode = 0, total = 0;
    };

    // ---- setting up
    auto build() -> void;
    auto addNodes() -> void;
    auto addServers() -> void;
    auto startNodes() -> void;
    auto fillOutcomes() -> void;
    auto sendConfiguration(const std::string& configuration) -> void;
    auto largestConfiguration() -> std::string;
    auto listing() -> std::string;
    auto sendListing() -> void;

    // ---- the state of the fleet
    auto leader() -> HollowNode*;
    auto someEdge(int notRegion) -> HollowNode&;
    auto allHaveSameState() -> bool;
    auto allKnowLeader() -> bool;
    auto converged() -> bool;
    auto relays() -> std::set<std::string>;
    auto roleOf(const HollowNode& node, const std::set<std::string>& relayNames) -> std::string;

    // ---- measuring
    auto sendOrder(HollowNode& node, const std::string& operation, const std::string& body,
        std::function<void(const Outcome&)> onOutcome) -> void;
    auto setUp() -> bool;
    auto measureSteadyState() -> void;
    auto recordBusiestNode() -> void;
    auto recordRole(const std::string& role, const Stats& sum, std::int64_t count) -> void;
    auto totals() -> Totals;
    auto killRelay(const HollowNode& spared) -> void;
    auto allAppliedConfiguration() -> bool;
    auto measureChange(HollowNode& leader, bool withRelayLoss, ChangeTimes& times) -> void;
    auto measureChanges(const std::string& name, int count, bool withRelayLoss) -> void;
    auto measureElection(const std::string& name, Microseconds limit) -> void;
    auto startAll() -> void;
    auto measureRecovery(const std::string& name) -> void;
    auto measureServerLeaving() -> void;
    auto measureEdgeRestart() -> void;
    auto measureLeaderLoss() -> void;
    auto measureZoneLoss() -> void;
    auto measureRegionPartition() -> void;
    auto regionToPartition(const HollowNode& leader) -> int;
    auto readyInside(int region, Microseconds began) -> std::int64_t;
    auto measureMemory() -> void;

    std::priority_queue<Event, std::vector<Event>, HappensLater> events_;
    std::int64_t eventCount_ = 0, listingRevision_ = 0, encoding_ = 0;
    std::int64_t bytesInFlight_ = 0, mostBytesInFlight_ = 0;
    std::int64_t bytesBetweenZones_ = 0, bytesBetweenRegions_ = 0;  // the first within a region
    int orders_ = 0;
    std::vector<Microseconds> linkFreeAt_;  // by source and destination
    std::vector<Microseconds> appliedAt_;   // when each node applied the newest configuration
    std::int64_t awaitedConfiguration_ = 0, readSink_ = 0;
    bool warmCaches_ = false;
};

}  // namespace duneturn::scale
