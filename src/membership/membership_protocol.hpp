#pragma once
// How a node learns of the others and they of it. Two ways stand behind this interface: RosterMembership, a
// fixed roster with acknowledged heartbeats, and GossipMembership, discovery from seeds. The tables, the
// lease and the parts without policy are shared through NodeContext.
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "control/order_client.hpp"
#include "control/order_service.hpp"
#include "membership/node_context.hpp"
#include "membership/server_directory.hpp"
#include "membership/singleton_duty.hpp"

namespace duneturn {

class MembershipProtocol {
  public:
    explicit MembershipProtocol(NodeContext& context) : context_(context) {}
    virtual ~MembershipProtocol() = default;
    MembershipProtocol(const MembershipProtocol&) = delete;
    auto operator=(const MembershipProtocol&) -> MembershipProtocol& = delete;

    // ---- own record and heartbeats

    /// Brings this node's record up to date.
    auto refreshOwnRecord() -> void;
    /// Sends heartbeats to all that are due some.
    virtual auto sendHeartbeats(Microseconds now) -> void = 0;
    /// How long after a heartbeat the next one is due.
    [[nodiscard]] virtual auto heartbeatInterval(Microseconds now) const -> Microseconds = 0;
    virtual auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void = 0;

    // ---- time

    /// Whether this tick looks through all that is known; with hundreds of nodes, not each one does.
    [[nodiscard]] virtual auto scanDue(Microseconds now) -> bool = 0;
    /// How long a server that is up stays listed without confirmation.
    [[nodiscard]] virtual auto listingTimeout() const -> Microseconds = 0;
    virtual auto serverLapsed(const wire::ServerListing& listing) -> void = 0;
    virtual auto tick(Microseconds now, bool scanned) -> void = 0;
    /// On a node with a disk: which spare disks the leader offers.
    virtual auto placeVoters(Microseconds now) -> void = 0;
    /// On a node with a disk: begins a new epoch if that is this node's to do.
    virtual auto beginEpochIfDue(Microseconds now) -> void = 0;

    // ---- replicated state

    /// May this node act on the replicated state and the listing it holds? Asked at the moment of acting.
    [[nodiscard]] virtual auto withinLease(Microseconds now) const -> bool = 0;
    /// Whether this node may be given requests.
    [[nodiscard]] auto ready(Microseconds now) const -> bool;
    /// Whether a majority is in touch with this node, whatever state it holds.
    [[nodiscard]] virtual auto majorityStands(Microseconds now) const -> bool = 0;
    /// Whether a change may be acknowledged, of which the log has committed `version`.
    [[nodiscard]] virtual auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool = 0;
    /// Whether a voter may act on a newer state of its epoch that another node sent, before its log has it.
    [[nodiscard]] virtual auto actsOnReceivedState() const -> bool = 0;
    /// Whether the others must learn at once which state this node has taken, before the next heartbeat.
    [[nodiscard]] virtual auto announcesStateAtOnce() const -> bool = 0;
    /// Whether a new state is sent down the tree to the node with this record.
    [[nodiscard]] virtual auto sendsStateTo(const wire::NodeRecord& record) const -> bool = 0;
    /// The leader as last looked up; empty if none was known or the way of membership keeps none.
    [[nodiscard]] virtual auto lastLeader() const -> std::string = 0;
    /// Whether a planned stop needs to wait no longer for this disk's vote to pass to another.
    [[nodiscard]] virtual auto voteHandedOver(Microseconds now) const -> bool = 0;
    [[nodiscard]] auto hasSingletonDuty(Microseconds now) const -> bool {
        return duty_.isHeld(context_, hasListing(), now);
    }

    // ---- what the platform says; answered through NodePort::done

    /// The platform's whole listing.
    virtual auto takeListing(std::int64_t id, const PlatformListing& listing, Microseconds now) -> void = 0;
    /// One server drains, known and said with the number `revision` (0: the platform numbers nothing).
    virtual auto takeDrainMark(
        std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void = 0;
    /// Answers what can be answered by now.
    virtual auto answerPlatform(Microseconds now) -> void = 0;

  protected:
    /// Puts into the own record what depends on the way of membership.
    virtual auto completeOwnRecord() -> void = 0;
    /// Whether a listing is held to which the singleton duty's holder has given a number.
    [[nodiscard]] virtual auto hasListing() const -> bool = 0;

    NodeContext& context_;
    SingletonDuty duty_;
};

/// How soon a node sends an operator's order again, by the way of membership.
[[nodiscard]] auto orderRetry(const Settings& settings) -> OrderRetry;

}  // namespace duneturn
