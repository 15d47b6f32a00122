#pragma once
// One member of the fleet: its own record, the membership table, the directory of servers, the replicated
// state that it holds and the operator orders that it forwards. Node assembles the parts of this folder and
// dispatches messages, timer ticks and completed disk writes to them.
//
//   node_port.hpp            what a node requires of its environment
//   node_context.hpp         data shared by the parts
//   membership_table.hpp     records of all nodes
//   server_directory.hpp     servers and their load
//   failure_detector.hpp     timeouts and maximum ages
//   dissemination_tree.hpp   the tree along which heartbeats and new replicated state are sent
//   lease.hpp                leases and acknowledgements that majorities confirm
//   membership_protocol.hpp  interface of the two membership protocols:
//     roster_membership.hpp    fixed roster, acknowledged heartbeats
//     gossip_membership.hpp    discovery from seeds; uses gossip_listing.hpp
//   state_publisher.hpp, state_receiver.hpp    dissemination of the replicated state
//   cluster_bootstrap.hpp, disaster_recovery.hpp, voter_placement.hpp    choice of the voters
//   operation_scheduler.hpp, singleton_duty.hpp    tasks that one node performs for the fleet
//   quota_service.hpp        tenants' quotas across all nodes
//   operator_views.hpp       JSON documents for operators
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "control/order_client.hpp"
#include "control/order_service.hpp"
#include "membership/failure_detector.hpp"
#include "membership/membership_protocol.hpp"
#include "membership/membership_table.hpp"
#include "membership/node_context.hpp"
#include "membership/node_port.hpp"
#include "membership/operation_scheduler.hpp"
#include "membership/quota_service.hpp"
#include "membership/server_directory.hpp"
#include "membership/state_receiver.hpp"

namespace duneturn {

/// A node without sockets, disk or clock of its own: NodePort connects it to its environment, and each call
/// passes the current time.
class Node : public VoterPort, public OrderServicePort, public OrderClientPort {
  public:
    /// `boot`: the incarnation number; it must be higher than that of every earlier incarnation of this node.
    /// `port` and `counters` must outlive this object.
    Node(const Settings& settings, NodePort& port, Counters& counters, std::int64_t boot, std::uint64_t seed);
    ~Node() override;

    /// Makes this node a core node, which may become a voter. `disk`: what its disk holds; `newDiskId`: the
    /// identity for an uninitialized disk.
    auto startCore(DiskState disk, const std::string& newDiskId, Microseconds now) -> void;
    /// Adds peer addresses that an earlier incarnation saved; they are tried in addition to the seeds.
    auto addPeerHints(const std::vector<std::string>& addresses) -> void;
    /// Performs all periodic work. `wall`: the calendar time.
    auto tick(Microseconds now, Microseconds wall) -> void;
    /// Handles a message from another node.
    auto handle(const wire::Envelope& envelope, Microseconds now) -> void;
    /// Reports that the disk write with the number `seq` has finished; `ok`: it is durable.
    auto onDiskWriteDone(std::int64_t seq, bool ok, Microseconds now) -> void;
    /// Reports the result of a probe. `ok`: the server answered with `load`; `refused`: the server's host
    /// refused the connection.
    auto probeFinished(const std::string& server, bool ok, bool refused, const wire::ServerLoad& load,
        Microseconds now) -> void;

    /// Whether this node may act on the replicated state and the listing that it holds. To be checked
    /// immediately before acting.
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool { return protocol_->withinLease(now); }
    /// Whether clients may send requests to this node.
    [[nodiscard]] auto ready(Microseconds now) const -> bool { return protocol_->ready(now); }
    /// Whether this process has been suspended for longer than FREEZE_GAP since `arrived`, or resumed from
    /// such a suspension less than RESUME_GRACE before `arrived`. In the latter case a request that was read
    /// at `arrived` may have waited unread while the process was suspended.
    [[nodiscard]] auto wasFrozenSince(Microseconds arrived, Microseconds now) const -> bool;
    /// Begins a planned stop: transfers leadership and announces the stop, so that the other nodes send no
    /// more requests here. With gossip membership the leader then replaces this node's voter by a spare disk,
    /// if there is one.
    auto leave(Microseconds now) -> void;
    /// Whether a planned stop need not wait for this node's vote to be transferred: its disk does not vote
    /// any more, or no spare disk could replace it. Always true with a fixed roster.
    [[nodiscard]] auto voteHandedOver(Microseconds now) const -> bool {
        return protocol_->voteHandedOver(now);
    }
    /// Whether this node performs the singleton duties now (singleton_duty.hpp).
    [[nodiscard]] auto hasSingletonDuty(Microseconds now) const -> bool {
        return protocol_->hasSingletonDuty(now);
    }

    /// Forwards an operator's order, which is a command that changes the replicated state, to the leader;
    /// answered through NodePort::done with `id`. `operation`, `body`: the command's name and its arguments.
    /// `key`: the idempotency key.
    auto order(std::int64_t id, const std::string& operation, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    /// Reads the replicated state with linearizable consistency; answered through NodePort::done.
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    auto read(std::int64_t id, Microseconds now) -> void { read(id, StateQuery::document(), now); }
    /// Reports that the caller of an order or a read has disconnected.
    auto cancelOrder(std::int64_t id) -> void;
    /// Begins a new epoch from newestKnownState(). It is rejected unless `epoch` and `version`, as the
    /// operator gives them, are those of that state. A last resort when neither the voters' disks nor the
    /// nodes of the roster can form a majority (disaster_recovery.hpp).
    auto rescue(std::int64_t epoch, std::int64_t version, Microseconds now) -> Outcome;
    /// The newest replicated state that this node holds or has received.
    [[nodiscard]] auto newestKnownState() const -> const ReplicatedState& {
        return context_.newestKnownState();
    }
    /// Applies the platform's complete listing of the servers (JSON); answered through NodePort::done. The
    /// platform may number its listings and drain marks (`revision`, for a listing a field of the JSON), so
    /// that one that was delayed does not undo a newer one.
    auto list(std::int64_t id, const std::string& body, Microseconds now) -> void;
    /// Marks one server as draining; answered through NodePort::done. `revision`: 0 if the platform does not
    /// number its marks.
    auto mark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void;

    /// The replicated state that this node has adopted. Unlike newestKnownState(), it does not include a
    /// newer state that a voter has received but not adopted.
    [[nodiscard]] auto replicatedState() const -> const ReplicatedState& { return context_.state; }
    /// The other nodes by name.
    [[nodiscard]] auto nodes() const -> const std::map<std::string, KnownNode>& {
        return context_.members.others();
    }
    [[nodiscard]] auto servers() const -> const std::map<std::string, KnownServer>& {
        return context_.directory.servers();
    }
    [[nodiscard]] auto ownRecord() const -> const wire::NodeRecord& { return context_.members.own(); }
    [[nodiscard]] auto settings() const -> const Settings& { return context_.settings; }
    /// Null on a node without a disk.
    auto voter() -> Voter* { return context_.voter.get(); }
    [[nodiscard]] auto alive(const std::string& node, Microseconds now) const -> bool {
        return context_.members.isAlive(node, now);
    }
    [[nodiscard]] auto aliveNodes(Microseconds now) const -> std::vector<std::string> {
        return context_.members.aliveNodes(now);
    }
    [[nodiscard]] auto leaderNode(Microseconds now) const -> std::string {
        return context_.members.leaderNode(now);
    }
    /// Sends `credit` retries of this node's retry budget to another node; the caller deducts them here.
    auto grantCredit(const std::string& node, std::int64_t credit, Microseconds now) -> void;
    /// Sets this node's retry budget, and how much more it wants (`want`), in the record that its heartbeats
    /// carry.
    auto setCredit(std::int64_t credit, std::int64_t want) -> void;
    /// Called with the amount of each retry credit that another node has granted; once per grant.
    std::function<void(std::int64_t)> onCreditGrant;
    /// Called after this node has adopted a newer replicated state.
    std::function<void()> onStateChange;

    /// The tokens of tenants' quotas that this node may spend.
    auto quota() -> QuotaAccount& { return quota_.account(); }
    /// Called when the quota granter has answered.
    std::function<void(Microseconds now)> onQuotaAnswer;

    // Views for operators, as JSON (operator_views.hpp).
    [[nodiscard]] auto beliefs(Microseconds now) const -> std::string;
    [[nodiscard]] auto where(const std::string& region, const std::string& zone, Microseconds now) const
        -> std::string;
    [[nodiscard]] auto status(Microseconds now) const -> std::string;
    [[nodiscard]] auto planText(Microseconds now) const -> std::string;
    [[nodiscard]] auto tenantsText() const -> std::string { return quota_.viewJson(); }

    auto orderService() -> OrderService& { return orderService_; }

    // VoterPort.
    auto sendToReplica(const std::string& disk, wire::Envelope& envelope) -> void override;
    auto writeToDisk(const DiskWrite& write) -> void override;
    auto onStateApplied(const ReplicatedState& state, const AppliedEntry& applied) -> void override;
    auto onReadDone(std::int64_t id, bool ok) -> void override;
    // OrderServicePort.
    auto answer(const Requester& to, const Outcome& outcome) -> void override;
    auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now) -> bool override;
    // OrderClientPort.
    auto findLeader(Microseconds now) -> std::string override;
    auto lastLeader() -> std::string override;
    auto sendOrder(const std::string& node, wire::OrderRequest& request, Microseconds now) -> void override;
    auto onOrderDone(std::int64_t id, const Outcome& outcome) -> void override;

  private:
    auto detectFreeze(Microseconds now) -> void;
    // The steps of a tick, in their order.
    auto retryTransfer(Microseconds now) -> void;
    auto sendDueHeartbeats(Microseconds now) -> void;
    auto dropSilentAndExpired(Microseconds now) -> void;
    auto savePeerHints(Microseconds now) -> void;
    auto reportLeaseChange(Microseconds now) -> void;
    auto probeServers(Microseconds now) -> void;
    auto tickVoter(Microseconds now, Microseconds wall) -> void;
    auto publishCounters(Microseconds now) -> void;

    /// Adopts `state` if it is newer than the one held. Returns whether it was adopted.
    auto adoptIfNewer(const ReplicatedState& state) -> bool;
    /// Disseminates the state that was just adopted and notifies the parts that depend on it.
    auto announceState() -> void;
    auto adoptReceived(const ReplicatedState& state, const wire::StateChange* change) -> void;
    auto handleStateRequest(const wire::ReplicatedStateRequest& request, const std::string& from) -> void;
    auto handleCreditGrant(const wire::CreditGrant& grant, const std::string& from) -> void;
    auto sendStateToChildren() -> void;
    auto serveOrder(const wire::OrderRequest& request, Microseconds now) -> void;

    NodeContext context_;
    std::unique_ptr<MembershipProtocol> protocol_;
    StateReceiver stateReceiver_;
    OrderService orderService_;
    OrderClient orderClient_;
    OperationScheduler scheduler_;
    QuotaService quota_;
    /// The number of the last credit grant that was received, by granting node.
    std::map<std::string, std::int64_t> lastGrantNumbers_;
    std::int64_t grantsSent_ = 0;          // credit grants that this node has sent
    std::vector<std::string> savedHints_;  // the peer addresses as last saved
    Microseconds hintsCheckedAt_ = 0;      // when they were last compared with the membership table
    Microseconds nextProbeAt_ = 0;
    Microseconds transferAttemptedAt_ = 0;  // when a planned stop last tried to transfer leadership
    bool wasWithinLease_ = false;

  public:
    /// Test-only faults; see MembershipFaults.
    MembershipFaults& broken = context_.faults;
};

}  // namespace duneturn
