#pragma once
// What every process knows: itself, the other nodes, the operator's word, the servers.
// All of it but the word is soft: told again under leases, and never logged.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "control/order_client.hpp"

namespace duneturn {

constexpr Microseconds ROSTER_HEARTBEAT = 200 * MILLISECOND;  // how often a node speaks of itself
constexpr Microseconds LEASE_DURATION = 2 * SECOND;  // how old the proof may be that the newest word is held
constexpr Microseconds ALIVE_TIMEOUT = 1500 * MILLISECOND;  // silence after which a node is thought gone
constexpr Microseconds LATE_TIMEOUT =
    800 * MILLISECOND;                                 // silence after which senders are not sent to a node
constexpr Microseconds FORGET_TIMEOUT = 30 * SECOND;   // silence after which a node's row is dropped
constexpr Microseconds LISTING_TIMEOUT = 15 * SECOND;  // a listing not told again for this long lapses
constexpr Microseconds DRAIN_MARK_TIMEOUT =
    60 * SECOND;                             // a leaving mark not told again for this long lapses
constexpr std::int64_t EPOCH_STRIDE = 1024;  // a reign's number is its count times this, plus who began it
constexpr Microseconds FREEZE_GAP = 1 * SECOND;  // a process that sees so long a gap in its time was frozen
constexpr Microseconds RESUME_GRACE =
    300 * MILLISECOND;  // after a freeze, requests that came in it are read within this
constexpr Microseconds LOAD_STALE_AFTER =
    1 * SECOND;  // a load older than this tells nothing of whether it is the same life
constexpr Microseconds LOAD_MAX_AGE = 3 * SECOND;  // a load report older than this is not believed
constexpr Microseconds GOSSIP_HEARTBEAT =
    500 * MILLISECOND;  // how often a node speaks of itself where membership is learnt
constexpr Microseconds TRANSFER_RETRY = 2 * SECOND;  // a stopping leader's next try to transfer leadership
constexpr Microseconds VOTER_LOST_TIMEOUT =
    2500 * MILLISECOND;  // learnt: silence after which a voter's seat is given to a spare disk

enum State { UP = 0, LEAVING = 1, GONE = 2 };

struct NodePort {
    virtual ~NodePort() = default;
    virtual auto send(const std::string& addr, const wire::Envelope& e) -> void = 0;
    virtual auto disk(const DiskWrite& w) -> void = 0;
    /// The outcome of an operator's or the platform's request of this node.
    virtual auto done(std::int64_t id, const Outcome& o) -> void = 0;
    /// Keeps the peers' addresses beside the store, as hints for a start after a total loss.
    virtual auto savePeerHints(const std::vector<std::string>& addrs) -> void = 0;
    /// Asks a watched server for its load.
    virtual auto probe(const std::string& server, const std::string& addr) -> void = 0;
};

struct KnownNode {
    wire::NodeRecord record;
    Microseconds lastHeartbeatAt = 0;  // when the newest heartbeat of the node came, by any path
    Microseconds acknowledgedSince =
        0;  // roster: when that heartbeat of ours was sent which it had heard by then
    // Membership by gossip only:
    Microseconds firstSeenAt = 0;   // when this life of the node was first heard of
    Microseconds recordAt = 0;      // when the record itself came
    Microseconds lastDirectAt = 0;  // when the node last spoke to this one
    std::string heardFrom;          // who passed on its newest heartbeat
};

struct KnownServer {
    wire::ServerListing listing;
    Microseconds listedAt = 0;     // when the platform last listed it, as far as known here
    Microseconds firstSeenAt = 0;  // when this life of it was first heard of
    wire::ServerLoad load;
    Microseconds loadReadAt = 0;   // when the load was read at the server; 0 if never
    int failedProbes = 0;          // in a row, by this node
    Microseconds coldUntil = 0;    // as the platform said, on the clock of this node; 0 if it did not
    Microseconds loadHeardAt = 0;  // when the load came here
    std::string loadHeardFrom;     // who passed the load on
};

struct Node : VoterPort, OrderServicePort, OrderClientPort {
    Node(const Settings& s, NodePort& p, Counters& c, std::int64_t boot, std::uint64_t seed);
    ~Node() override;

    /// Makes this a core: what its disk holds, and the identity to take if that is nothing.
    auto startCore(const DiskState& s, const std::string& newDiskId, Microseconds now) -> void;
    /// Addresses kept by an earlier life; tried beside the seeds.
    auto addPeerHints(const std::vector<std::string>& addrs) -> void;
    auto tick(Microseconds now, Microseconds wall) -> void;
    auto handle(const wire::Envelope& e, Microseconds now) -> void;
    auto diskDone(std::int64_t seq, bool ok, Microseconds now) -> void;
    /// What a probe brought; `refused`: the server said itself that nobody is there.
    auto probeFinished(const std::string& server, bool ok, bool refused, const wire::ServerLoad& d,
        Microseconds now) -> void;

    /// May this node act on the word and the marks it holds? Asked at the moment of acting.
    auto withinLease(Microseconds now) const -> bool;
    auto ready(Microseconds now) const -> bool;
    /// Whether this process was stopped for long at or after `arrived`, or so shortly before it that what
    /// arrived by then may have lain unread meanwhile.
    auto wasFrozenSince(Microseconds arrived, Microseconds now) const -> bool;
    /// Begins a planned stop: leadership is transferred, others send no more here, and a voter's
    /// seat passes to a spare disk.
    auto leave(Microseconds now) -> void;
    /// Whether a planned stop may end as far as the replicated log is concerned: this disk does
    /// not vote any more, or there is no spare disk that could take its seat.
    auto voteHandedOver(Microseconds now) const -> bool;
    /// Does this node do the fleet's single duties now? The leader does, or, when none was
    /// heard for 2 s, the root of the relays' tree.
    auto hasSingletonDuty(Microseconds now) const -> bool;

    /// An operator's order or readback; answered through NodePort::done.
    auto order(std::int64_t id, const std::string& op, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    auto read(std::int64_t id, Microseconds now) -> void { read(id, StateQuery::document(), now); }
    /// The caller of an order or a read is gone.
    auto cancelOrder(std::int64_t id) -> void;
    /// The last resort when disks and nodes have lost their majorities: see node.cpp.
    auto rescue(std::int64_t epoch, std::int64_t version, Microseconds now) -> Outcome;
    /// The newest word held here or heard of.
    auto newestKnownState() const -> const ReplicatedState&;
    /// The platform's whole listing, and one server marked as leaving. The platform numbers
    /// what it says (`revision`), so that what is held up on its way undoes nothing newer.
    auto list(std::int64_t id, const std::string& body, Microseconds now) -> void;
    auto mark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void;

    auto replicatedState() const -> const ReplicatedState& { return replicatedState_; }
    auto nodes() const -> const std::map<std::string, KnownNode>& { return rows_; }
    auto servers() const -> const std::map<std::string, KnownServer>& { return servers_; }
    auto ownRecord() const -> const wire::NodeRecord& { return me_; }
    auto settings() const -> const Settings& { return st_; }
    auto voter() -> Voter* { return vt_.get(); }
    auto alive(const std::string& node, Microseconds now) const -> bool;
    auto aliveNodes(Microseconds now) const -> std::vector<std::string>;
    auto leaderNode(Microseconds now) const -> std::string;
    auto grantCredit(const std::string& node, std::int64_t credit, Microseconds now) -> void;
    auto setCredit(std::int64_t c, std::int64_t want) -> void;
    /// A grant that another node gave to this one, taken once.
    std::function<void(std::int64_t)> onGrant;
    std::function<void()> onStateChange;

    /// What this node believes, as JSON.
    auto beliefs(Microseconds now) const -> std::string;
    /// Where callers near this place should go, nearest first, as JSON.
    auto where(const std::string& region, const std::string& zone, Microseconds now) const -> std::string;
    auto status(Microseconds now) -> std::string;
    auto planText(Microseconds now) const -> std::string;

    struct Broken {
        bool noLease = false, ackEarly = false, acceptOldState = false, lateUp = false, oldBoot = false;
    };
    Broken broken;

    auto voterSend(const std::string& disk, wire::Envelope& e) -> void override;
    auto voterWrite(const DiskWrite& w) -> void override;
    auto voterApplied(const ReplicatedState& w, const std::string& key, const Outcome& o) -> void override;
    auto voterRead(std::int64_t id, bool ok) -> void override;
    auto answer(const Requester& to, const Outcome& outcome) -> void override;
    auto acknowledged(MajorityProof& proof, std::int64_t generation, Microseconds now) -> bool override;
    auto findLeader(Microseconds now) -> std::string override;
    auto lastLeader() -> std::string override;
    auto sendOrder(const std::string& node, wire::OrderRequest& ask, Microseconds now) -> void override;
    auto orderDone(std::int64_t id, const Outcome& outcome) -> void override;
    auto orderService() -> OrderService& { return orderService_; }

  private:
    struct Tree {
        std::map<std::string, std::string> up;  // node -> the one it hears the news from
        auto kids(const std::string& n) const -> std::vector<std::string>;
    };
    struct Wait {  // a mark on its way to a majority
        std::int64_t id;
        std::vector<wire::DrainMark> ms;
        Microseconds due;
        MajorityProof p;
    };

    auto env() const -> wire::Envelope;
    auto heartbeatEnvelope(Microseconds now) -> wire::Envelope;
    auto sendHeartbeat(Microseconds now, bool all) -> void;
    auto tree(Microseconds now) const -> Tree;
    auto clock(Microseconds now) -> void;
    auto merge(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> void;
    auto handleReplicatedState(const wire::ReplicatedState& w, Microseconds now) -> void;
    auto sendReplicatedState(const std::string& addr) -> void;
    auto counted(Microseconds now, bool settledVoters) const -> bool;
    auto proven(MajorityProof& p, const std::function<bool(const wire::NodeRecord&)>& f,
        Microseconds now) const -> bool;
    auto holds(const wire::NodeRecord& r, std::int64_t version) const -> bool;
    auto serveOrder(const wire::OrderRequest& ask, Microseconds now) -> void;
    auto listNo(std::int64_t revision) const -> std::int64_t;
    auto listTop() const -> std::int64_t;
    auto lateBody() const -> Outcome;
    auto beginEpoch(Microseconds now) -> void;
    auto beginEpochFromNewest(Microseconds now) -> void;
    auto fire(Microseconds now, Microseconds wall) -> void;
    auto row(const std::string& n) const -> const wire::NodeRecord*;
    auto touchMe(Microseconds now) -> void;

    // Learnt membership (the end of node.cpp).
    struct Told {  // what a neighbour was told and what it said it holds
        struct Of {
            std::int64_t boot = 0, version = 0, heartbeat = 0;
        };
        std::map<std::string, Of> rows;
        std::int64_t listNo = -1, saidNo = -1;
        Microseconds loads = 0, saidAt = 0, wholeAt = 0, at = 0, askedAt = 0;
    };
    auto ownVersion(Microseconds now) -> void;
    auto gossipHeartbeat(const std::string& n, bool whole, bool own, Microseconds now) -> bool;
    auto gossipSend(Microseconds now) -> void;
    auto gossipAsk(const std::string& addr, Microseconds now) -> void;
    auto gossipHandle(const wire::Envelope& e, Microseconds now) -> void;
    auto gossipRecords(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> void;
    auto gossipListing(const wire::Heartbeat& b, const std::string& from, Microseconds now) -> bool;
    auto gossipList(std::int64_t id, const rapidjson::Document& d, Microseconds now) -> void;
    auto gossipTick(Microseconds now, bool look) -> void;
    auto treeNow(Microseconds now) -> const Tree&;
    auto gossipFound(Microseconds now) -> void;
    auto gossipVoters(Microseconds now) -> void;
    auto raiseList(Microseconds now) -> std::int64_t;
    auto places() const -> std::vector<std::string>;
    auto rowOf(const std::string& n, Microseconds now) const -> wire::NodeRecord;

    Settings st_;
    NodePort& po_;
    Counters& ct_;
    RandomSource rng_;
    wire::NodeRecord me_;
    std::map<std::string, KnownNode> rows_;
    std::map<std::string, KnownServer> servers_;
    std::map<std::int64_t, Microseconds> sentAt_;
    ReplicatedState replicatedState_;
    ReplicatedState heard_;  // a voter's: a newer word than its disk holds, kept for a rebuild only
    std::set<std::string> voterDisks_;
    std::set<std::string> roster_;
    std::unique_ptr<Voter> vt_;
    OrderService orderService_;
    OrderClient orderClient_;
    std::vector<Wait> waits_;
    std::map<std::string, std::int64_t> grants_;
    std::int64_t grantSeq_ = 0;
    Microseconds nextHeartbeat_ = 0, nextProbe_ = 0, pullAt_ = 0, aloneSince_ = 0, now_ = 0, started_ = 0,
                 wall_ = 0, firedAt_ = 0, listTold_ = 0, wokeAt_ = 0, transferAt_ = 0;
    std::vector<std::string> hints_, booked_;
    Microseconds bookAt_ = 0;
    std::size_t seed_ = 0;
    bool wasWithinLease_ = false;
    Microseconds heartbeat_ = ROSTER_HEARTBEAT, alive_ = ALIVE_TIMEOUT, late_ = LATE_TIMEOUT;
    std::map<std::string, Told> told_;
    std::map<std::string, std::set<std::string>> wants_;
    wire::NodeRecord said_;
    std::int64_t listNo_ = 0;
    std::deque<std::int64_t> lists_;  // the numbers of listings held here, of one unbroken series
    std::string parent_, led_;
    bool led1_ = false;  // a leader was heard of in this life
    Microseconds saidOff_ = 0, parentSince_ = 0, pullDue_ = 0, leaderAt_ = 0, lookAt_ = 0, coresAt_ = 0,
                 treeAt_ = 0;
    Tree tree_;
    std::size_t cores_ = 0;
};

}  // namespace duneturn
