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

/// What one node did and cost. The first part is the same for the same seed.
struct Stats {
    std::int64_t messagesIn = 0, messagesOut = 0, bytesIn = 0, bytesOut = 0, wordsIn = 0, rowsIn = 0,
                 echoesIn = 0, pulsesIn = 0, listingsIn = 0, loadsIn = 0, probes = 0, ticks = 0, syncs = 0,
                 lists = 0;
    // Nanoseconds of processor time.
    std::int64_t tick = 0, handle = 0, encode = 0, decode = 0, list = 0, other = 0;

    auto processorTime() const -> std::int64_t { return tick + handle + encode + decode + list + other; }
    /// Without what listings of the platform cost, which stands apart.
    auto controlTime() const -> std::int64_t { return processorTime() - list; }
    auto add(const Stats& o) -> void;
};

/// Processor time of this thread in nanoseconds.
auto cpuNow() -> std::int64_t;

class Fleet;

/// The logic of one node with a virtual disk and network.
struct HollowNode : NodePort {
    Fleet& fleet;
    int index;
    Settings settings;
    int zone = 0, region = 0;
    bool core = false, up = false, syncing = false;
    std::int64_t life = 0, callId = 0;
    DiskState held;                 // what the virtual disk keeps
    std::deque<DiskWrite> writing;  // written, not yet synced
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
    auto send(const std::string& addr, const wire::Envelope& envelope) -> void override;
    auto disk(const DiskWrite& write) -> void override;
    auto done(std::int64_t id, const Outcome& outcome) -> void override;
    auto savePeerHints(const std::vector<std::string>& peers) -> void override { peerHints = peers; }
    auto probe(const std::string& server, const std::string& addr) -> void override;

  private:
    auto encoded(const wire::Envelope& envelope) -> std::shared_ptr<std::string>;
    auto receive(const std::string& bytes, std::int64_t wireBytes) -> void;
    auto syncNext() -> void;
};

/// A model server of the listing; it is never called.
struct HollowServer {
    std::string name, addr;
    int zone = 0, service = 0;
    bool leaving = false;
};

class Fleet {
  public:
    Fleet(const ScaleOptions& options, ScaleOptions::Size size);
    /// Plays the whole run; the figures stand in `point` afterwards.
    auto run() -> void;

    const ScaleOptions& options;
    ScaleOptions::Size size;
    ScalePoint point;
    RandomSource rng, net;
    Microseconds now = 0;
    int zones = 0, regions = 0, cores = 0;
    int partitionedRegion = -1;  // cut off from the others; -1: none
    std::vector<std::unique_ptr<HollowNode>> nodes;
    std::vector<HollowServer> servers;
    std::map<std::string, int> nodeByAddr, serverByAddr;
    EnvelopeCodec codec;
    std::int64_t refusedMessages = 0;

    // ---- virtual time and network
    auto at(Microseconds when, std::function<void()> event) -> void;
    auto in(Microseconds delay, std::function<void()> event) -> void { at(now + delay, std::move(event)); }
    /// An event at a node, dropped if that node is down or restarted by then.
    auto atNode(const HollowNode& node, Microseconds delay, std::function<void(HollowNode&)> event) -> void;
    auto runUntil(Microseconds end) -> void;
    /// Goes on until `condition` holds; how long that took, or -1.
    auto waitFor(Microseconds limit, const std::function<bool()>& condition) -> Microseconds;
    auto latency(int fromZone, int fromRegion, int toZone, int toRegion) -> Microseconds;
    auto partitioned(int fromRegion, int toRegion) const -> bool;
    /// Hands bytes to a node over the link between the two, which keeps their order.
    auto transmit(const HollowNode& from, const HollowNode& to, std::int64_t bytes,
        std::function<void()> arrival) -> void;
    /// Runs a call into a node's logic and books its processor time, less what encoding within it took.
    auto spend(HollowNode& node, std::int64_t Stats::*into, const std::function<void()>& call) -> void;
    auto bookEncoding(std::int64_t nanoseconds) -> void { encoding_ += nanoseconds; }
    /// Notes when a node first holds the configuration that is waited for.
    auto noteConfig(HollowNode& node) -> void;

  private:
    struct Event {
        Microseconds at;
        std::int64_t sequence;
        std::function<void()> run;
    };
    struct Later {
        auto operator()(const Event& a, const Event& b) const -> bool {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };
    /// Sums over all nodes, for the cost of a change.
    struct Totals {
        std::int64_t bytesIn = 0, diskBytes = 0, processorTime = 0;
    };
    /// The longest times over several changes; -1 where one did not come.
    struct ChangeTimes {
        Microseconds acknowledged = 0, lastNode = 0, whole = 0;
    };

    // ---- setting up
    auto build() -> void;
    auto addNodes() -> void;
    auto addServers() -> void;
    auto startNodes() -> void;
    auto fillOutcomes() -> void;
    auto putConfiguration(const std::string& configuration) -> void;
    auto largestConfiguration() -> std::string;
    auto listing() -> std::string;
    auto tellListing() -> void;

    // ---- what the fleet believes
    auto leader() -> HollowNode*;
    auto someEdge(int notRegion) -> HollowNode&;
    auto sameState() -> bool;
    auto allKnowLeader() -> bool;
    auto converged() -> bool;
    auto relays() -> std::set<std::string>;
    auto roleOf(const HollowNode& node, const std::set<std::string>& relayNames) -> std::string;

    // ---- measuring
    auto order(HollowNode& node, const std::string& operation, const std::string& body,
        std::function<void(const Outcome&)> answered) -> void;
    auto setUp() -> bool;
    auto steadyState() -> void;
    auto noteBusiest() -> void;
    auto noteRole(const std::string& role, const Stats& sum, std::int64_t count) -> void;
    auto totals() -> Totals;
    auto killRelay(const HollowNode& spared) -> void;
    auto allTookConfig() -> bool;
    auto oneChange(HollowNode& leader, bool withRelayLoss, ChangeTimes& times) -> void;
    auto change(const std::string& name, int count, bool withRelayLoss) -> void;
    auto election(const std::string& name, Microseconds limit) -> void;
    auto startAll() -> void;
    auto recover(const std::string& name) -> void;
    auto serverLeaves() -> void;
    auto edgeRestarts() -> void;
    auto leaderLoss() -> void;
    auto zoneLoss() -> void;
    auto regionPartition() -> void;
    auto regionToCutOff(const HollowNode& leader) -> int;
    auto readyInside(int region, Microseconds began) -> std::int64_t;
    auto memory() -> void;

    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::int64_t eventCount_ = 0, listingRevision_ = 0, encoding_ = 0;
    std::int64_t bytesInFlight_ = 0, mostBytesInFlight_ = 0;
    std::int64_t bytesBetweenZones_ = 0, bytesBetweenRegions_ = 0;  // the first within a region
    int orders_ = 0;
    std::vector<Microseconds> linkFreeAt_;  // by sender and receiver
    std::vector<Microseconds> tookAt_;      // when each node took the newest configuration
    std::int64_t awaitedConfig_ = 0, readSink_ = 0;
    bool warmCaches_ = false;
};

}  // namespace duneturn::scale
