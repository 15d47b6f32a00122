#pragma once
// One process of the fleet as the others see it: its record, what it knows of nodes and servers, the
// replicated state held here, and operators' orders on their way. Node assembles the parts of this folder and
// dispatches messages, time and writes to them.
//
//   node_context.hpp         what the parts share        lease.hpp                confirmation by majorities
//   membership_table.hpp     records of all nodes        server_directory.hpp     servers and their load
//   membership_protocol.hpp  the interface of the two ways of membership:
//     roster_membership.hpp    fixed roster, acknowledged heartbeats
//     gossip_membership.hpp    discovery from seeds; gossip_listing.hpp
//   state_publisher.hpp, state_receiver.hpp   the replicated state on its way between nodes
//   cluster_bootstrap.hpp, disaster_recovery.hpp, voter_placement.hpp    who votes
//   operation_scheduler.hpp, singleton_duty.hpp                          what one node does for all
//   quota_service.hpp        tenants' quotas, counted as one over all nodes
//   operator_views.hpp       what operators read
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

class Node : public VoterPort, public OrderServicePort, public OrderClientPort {
  public:
    /// `boot`: the incarnation number, higher than that of any earlier life of this node.
    Node(const Settings& settings, NodePort& port, Counters& counters, std::int64_t boot, std::uint64_t seed);
    ~Node() override;

    /// Makes this node a voter: what its disk holds, and the identity to take if that is nothing.
    auto startCore(DiskState disk, const std::string& newDiskId, Microseconds now) -> void;
    /// Addresses kept by an earlier life; tried beside the seeds.
    auto addPeerHints(const std::vector<std::string>& addresses) -> void;
    /// `wall`: calendar time.
    auto tick(Microseconds now, Microseconds wall) -> void;
    auto handle(const wire::Envelope& envelope, Microseconds now) -> void;
    auto onDiskWriteDone(std::int64_t seq, bool ok, Microseconds now) -> void;
    /// What a probe brought; `refused`: the server said itself that nobody is there.
    auto probeFinished(const std::string& server, bool ok, bool refused, const wire::ServerLoad& load,
        Microseconds now) -> void;

    /// May this node act on the replicated state and the listing it holds? Asked at the moment of acting.
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool { return protocol_->withinLease(now); }
    /// Whether this node may be given requests.
    [[nodiscard]] auto ready(Microseconds now) const -> bool { return protocol_->ready(now); }
    /// Whether this process was stopped for long at or after `arrived`, or so shortly before it that what
    /// arrived by then may have lain unread meanwhile.
    [[nodiscard]] auto wasFrozenSince(Microseconds arrived, Microseconds now) const -> bool;
    /// Begins a planned stop: leadership is transferred, others send no more here, and a voter's
    /// place passes to a spare disk.
    auto leave(Microseconds now) -> void;
    /// Whether a planned stop may end as far as the replicated log is concerned: this disk does
    /// not vote any more, or there is no spare disk that could take its place.
    [[nodiscard]] auto voteHandedOver(Microseconds now) const -> bool {
        return protocol_->voteHandedOver(now);
    }
    /// Does this node do the fleet's single duties now (singleton_duty.hpp)?
    [[nodiscard]] auto hasSingletonDuty(Microseconds now) const -> bool {
        return protocol_->hasSingletonDuty(now);
    }

    /// An operator's order or read; answered through NodePort::done.
    auto order(std::int64_t id, const std::string& operation, const std::string& key, const std::string& body,
        Microseconds now) -> void;
    auto read(std::int64_t id, const StateQuery& query, Microseconds now) -> void;
    auto read(std::int64_t id, Microseconds now) -> void { read(id, StateQuery::document(), now); }
    /// The caller of an order or a read is gone.
    auto cancelOrder(std::int64_t id) -> void;
    /// The last resort when disks and nodes have lost their majorities (disaster_recovery.hpp).
    auto rescue(std::int64_t epoch, std::int64_t version, Microseconds now) -> Outcome;
    /// The newest replicated state held here or received.
    [[nodiscard]] auto newestKnownState() const -> const ReplicatedState& {
        return context_.newestKnownState();
    }
    /// The platform's whole listing, and one server marked as leaving; answered through NodePort::done. The
    /// platform numbers what it says (`revision`), so that what is held up on its way undoes nothing newer.
    auto list(std::int64_t id, const std::string& body, Microseconds now) -> void;
    auto mark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void;

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
    /// Gives a part of this node's retry budget to another node.
    auto grantCredit(const std::string& node, std::int64_t credit, Microseconds now) -> void;
    /// This node's retry budget and its want of more, for its record.
    auto setCredit(std::int64_t credit, std::int64_t want) -> void;
    /// A grant that another node gave to this one, taken once.
    std::function<void(std::int64_t)> onCreditGrant;
    std::function<void()> onStateChange;

    /// The tokens of tenants' quotas that this node may spend.
    auto quota() -> QuotaAccount& { return quota_.account(); }
    /// The granter of tokens has answered.
    std::function<void(Microseconds now)> onQuotaAnswer;

    // What an operator reads, as JSON (operator_views.hpp).
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
    auto sendOrder(const std::string& node, wire::OrderRequest& ask, Microseconds now) -> void override;
    auto onOrderDone(std::int64_t id, const Outcome& outcome) -> void override;

  private:
    auto noticeFreeze(Microseconds now) -> void;
    // The steps of a tick, in their order.
    auto retryTransfer(Microseconds now) -> void;
    auto sendDueHeartbeats(Microseconds now) -> void;
    auto dropSilentAndLapsed(Microseconds now) -> void;
    auto savePeerHints(Microseconds now) -> void;
    auto noteLease(Microseconds now) -> void;
    auto probeServers(Microseconds now) -> void;
    auto tickVoter(Microseconds now, Microseconds wall) -> void;
    auto publishCounters(Microseconds now) -> void;

    /// Whether `state` was newer than the one held here, and was taken.
    auto takeNewerState(const ReplicatedState& state) -> bool;
    /// Passes a state on that was just taken.
    auto announceState() -> void;
    auto adoptReceived(const ReplicatedState& state, const wire::StateChange* change) -> void;
    auto handleStateRequest(const wire::ReplicatedStateRequest& request, const std::string& from) -> void;
    auto handleCreditGrant(const wire::CreditGrant& grant, const std::string& from) -> void;
    auto sendStateDown() -> void;
    auto serveOrder(const wire::OrderRequest& ask, Microseconds now) -> void;

    NodeContext context_;
    std::unique_ptr<MembershipProtocol> protocol_;
    StateReceiver stateReceiver_;
    OrderService orderService_;
    OrderClient orderClient_;
    OperationScheduler scheduler_;
    QuotaService quota_;
    std::map<std::string, std::int64_t> grantsTaken_;  // the last one's number, by node
    std::int64_t grantsGiven_ = 0;
    std::vector<std::string> savedHints_;
    Microseconds hintsCheckedAt_ = 0;
    Microseconds nextProbeAt_ = 0;
    Microseconds transferTriedAt_ = 0;
    bool wasWithinLease_ = false;

  public:
    /// Test-only faults; see MembershipFaults.
    MembershipFaults& broken = context_.faults;
};

}  // namespace duneturn
