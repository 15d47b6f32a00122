#pragma once
// The interface of the two membership protocols, by which the nodes discover each other and detect failures:
// RosterMembership, a fixed roster with acknowledged heartbeats, and GossipMembership, discovery from seeds.
// Both work on the tables that are shared through NodeContext.
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "control/order_client.hpp"
#include "control/order_service.hpp"
#include "membership/node_context.hpp"
#include "membership/server_directory.hpp"
#include "membership/singleton_duty.hpp"

namespace duneturn {

/// One node's side of a membership protocol.
class MembershipProtocol {
  public:
    /// `context` must outlive this object.
    explicit MembershipProtocol(NodeContext& context) : context_(context) {}
    virtual ~MembershipProtocol() = default;
    MembershipProtocol(const MembershipProtocol&) = delete;
    auto operator=(const MembershipProtocol&) -> MembershipProtocol& = delete;

    // ---- own record and heartbeats

    /// Updates this node's own record from the voter and the replicated state.
    auto refreshOwnRecord() -> void;
    /// Sends heartbeats to all nodes that are due to receive one.
    virtual auto sendHeartbeats(Microseconds now) -> void = 0;
    /// The time until the next heartbeat is due.
    [[nodiscard]] virtual auto heartbeatInterval(Microseconds now) const -> Microseconds = 0;
    /// Merges what another node sent, and answers its requests.
    virtual auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void = 0;

    // ---- time

    /// Whether this tick scans all known nodes and servers. With hundreds of nodes not every tick does.
    [[nodiscard]] virtual auto scanDue(Microseconds now) -> bool = 0;
    /// How long a server in state UP stays listed without confirmation.
    [[nodiscard]] virtual auto listingTimeout() const -> Microseconds = 0;
    /// Called after the listing of a server has expired and was dropped.
    virtual auto serverExpired(const wire::ServerListing& listing) -> void = 0;
    /// `scanned`: whether this tick scans all known nodes and servers (scanDue).
    virtual auto tick(Microseconds now, bool scanned) -> void = 0;
    /// Offers spare disks to the consensus module. Only for core nodes.
    virtual auto placeVoters(Microseconds now) -> void = 0;
    /// Begins a new epoch if this node is responsible for that. Only for core nodes.
    virtual auto beginEpochIfDue(Microseconds now) -> void = 0;

    // ---- replicated state

    /// Whether this node may act on the replicated state and the listing that it holds. To be checked
    /// immediately before acting.
    [[nodiscard]] virtual auto withinLease(Microseconds now) const -> bool = 0;
    /// Whether clients may send requests to this node.
    [[nodiscard]] auto ready(Microseconds now) const -> bool;
    /// Whether this node is in contact with a majority.
    [[nodiscard]] virtual auto majorityReachable(Microseconds now) const -> bool = 0;
    /// Whether a change may be acknowledged whose version of the state the log has committed.
    [[nodiscard]] virtual auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool = 0;
    /// Whether a voter may act on a newer state of its own epoch that another node sent, before its log
    /// contains the entries that lead to it.
    [[nodiscard]] virtual auto actsOnReceivedState() const -> bool = 0;
    /// Whether this node reports a newly adopted state at once instead of with its next regular heartbeat.
    [[nodiscard]] virtual auto announcesStateAtOnce() const -> bool = 0;
    /// Whether a new state is sent to this child in the dissemination tree.
    [[nodiscard]] virtual auto sendsStateTo(const wire::NodeRecord& record) const -> bool = 0;
    /// The leader as last looked up; empty if none was known or the protocol does not keep it.
    [[nodiscard]] virtual auto lastLeader() const -> std::string = 0;
    /// Whether a planned stop need not wait any longer for this disk's vote to be transferred.
    [[nodiscard]] virtual auto voteHandedOver(Microseconds now) const -> bool = 0;
    /// Whether this node performs the singleton duties now (singleton_duty.hpp).
    [[nodiscard]] auto hasSingletonDuty(Microseconds now) const -> bool {
        return duty_.isHeld(context_, hasListing(), now);
    }

    // ---- requests of the platform; answered through NodePort::done

    /// Applies a complete listing.
    virtual auto applyListing(std::int64_t id, const PlatformListing& listing, Microseconds now) -> void = 0;
    /// Marks a server as draining. It must be in the directory. `revision`: the platform's number of this
    /// mark; 0 if the platform does not number what it sends.
    virtual auto applyDrainMark(
        std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void = 0;
    /// Answers the pending requests of the platform that are complete or have timed out.
    virtual auto answerPlatform(Microseconds now) -> void = 0;

  protected:
    /// Sets the fields of the own record that depend on the protocol.
    virtual auto completeOwnRecord() -> void = 0;
    /// Whether this node holds a numbered listing.
    [[nodiscard]] virtual auto hasListing() const -> bool = 0;

    NodeContext& context_;
    SingletonDuty duty_;
};

/// Returns the retry intervals for operator orders, which depend on the membership protocol.
[[nodiscard]] auto orderRetry(const Settings& settings) -> OrderRetry;

}  // namespace duneturn
