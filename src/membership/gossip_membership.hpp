#pragma once
// Membership by gossip, without a roster. A node discovers the others through its seeds and through the nodes
// that send to it. Heartbeats travel along the edges of the dissemination tree in both directions, and each
// carries only what the receiver has not been sent yet: a record if its version has risen, or only the
// heartbeat counter if nothing else has changed. Nothing is sent back to the node that it came from. After
// delta gossip in van Renesse, Dumitriu, Gough,
// Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/cluster_bootstrap.hpp"
#include "membership/dissemination_tree.hpp"
#include "membership/gossip_listing.hpp"
#include "membership/membership_protocol.hpp"

namespace duneturn {

/// The membership protocol by gossip; sending is in gossip_sending.cpp, receiving in gossip_receiving.cpp.
class GossipMembership : public MembershipProtocol {
  public:
    /// `context` must outlive this object.
    explicit GossipMembership(NodeContext& context) : MembershipProtocol(context), listing_(context) {}

    auto sendHeartbeats(Microseconds now) -> void override;
    [[nodiscard]] auto heartbeatInterval(Microseconds now) const -> Microseconds override;
    auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void override;
    [[nodiscard]] auto scanDue(Microseconds now) -> bool override;
    [[nodiscard]] auto listingTimeout() const -> Microseconds override;
    auto serverExpired(const wire::ServerListing& listing) -> void override;
    /// Updates the known leader, and requests the replicated state if this node is behind.
    auto tick(Microseconds now, bool scanned) -> void override;
    auto placeVoters(Microseconds now) -> void override;
    auto beginEpochIfDue(Microseconds now) -> void override;
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool override;
    [[nodiscard]] auto majorityReachable(Microseconds now) const -> bool override;
    [[nodiscard]] auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool override;
    [[nodiscard]] auto actsOnReceivedState() const -> bool override;
    [[nodiscard]] auto announcesStateAtOnce() const -> bool override { return false; }
    [[nodiscard]] auto sendsStateTo(const wire::NodeRecord& record) const -> bool override;
    [[nodiscard]] auto lastLeader() const -> std::string override;
    [[nodiscard]] auto voteHandedOver(Microseconds now) const -> bool override;
    auto applyListing(std::int64_t id, const PlatformListing& listing, Microseconds now) -> void override;
    auto applyDrainMark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now)
        -> void override;
    auto answerPlatform(Microseconds now) -> void override;

  protected:
    auto completeOwnRecord() -> void override;
    [[nodiscard]] auto hasListing() const -> bool override;

  private:
    /// What a neighbour has been sent, and what it has reported to hold.
    struct Neighbour {
        struct SentRecord {
            std::int64_t boot = 0, version = 0, heartbeat = 0;
            StateVersion state;
        };
        std::map<std::string, SentRecord> records;
        std::int64_t listingHeld = NO_LISTING;  // as it last reported
        std::int64_t listingSent = NO_LISTING;
        bool readsStateVersions = false;  // if not, the whole record is sent when only the state changed
        Microseconds listingSentAt = 0;
        Microseconds loadsSentAt = 0;
        Microseconds recordsResetAt = 0;      // when `records` was last cleared so that all are sent again
        Microseconds sentAt = 0;              // when it was last sent anything
        Microseconds fullSyncAnsweredAt = 0;  // when its request for all that is known was last answered
    };
    /// How much of what a neighbour lacks is included in a heartbeat.
    enum class Extent { OwnRecord, Changes, Everything };

    // Sending.
    auto updateOwnVersion(Microseconds now) -> void;
    auto updateParent(Microseconds now) -> std::string;
    auto sendTo(const std::string& name, Extent extent, Microseconds now) -> void;
    auto sendToVoters(const std::set<std::string>& alreadySent, Microseconds now) -> void;
    auto addRecord(wire::Heartbeat& heartbeat, Neighbour& neighbour, const wire::NodeRecord& record,
        Microseconds now) const -> void;
    auto addOtherRecords(wire::Heartbeat& heartbeat, Neighbour& neighbour, const std::string& name,
        Extent extent, Microseconds now) const -> void;
    auto addListing(wire::Heartbeat& heartbeat, Neighbour& neighbour, const std::string& name, Extent extent,
        Microseconds now) const -> void;
    auto addLoads(wire::Heartbeat& heartbeat, Neighbour& neighbour, const std::string& name, Extent extent,
        Microseconds now) const -> void;
    auto addMissingRecords(wire::Heartbeat& heartbeat, const std::string& name) -> void;
    [[nodiscard]] auto heartbeatPulseOf(const wire::NodeRecord& record) const -> wire::HeartbeatPulse;
    [[nodiscard]] auto recordToSend(const std::string& name, Microseconds now) const -> wire::NodeRecord;
    auto reestablishContact(const std::string& parent, Microseconds now) -> void;
    auto requestFullSync(const std::string& address) -> void;
    [[nodiscard]] auto contactAddresses() const -> std::vector<std::string>;
    auto dropOldNeighbours(Microseconds now) -> void;
    auto currentTree(Microseconds now) -> const DisseminationTree&;

    // Receiving.
    auto mergeRecord(const wire::NodeRecord& record, const std::string& from, Microseconds now) -> void;
    /// `sourceState`: the state held by the node `from`; empty if it is not known.
    auto mergeHeartbeatPulse(const wire::HeartbeatPulse& heartbeatPulse, const std::string& from,
        const std::optional<StateVersion>& sourceState, Microseconds now) -> void;
    [[nodiscard]] auto sourceState(const wire::Envelope& envelope) const -> std::optional<StateVersion>;
    auto mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;
    auto schedulePullIfBehind(const wire::NodeRecord& record) -> void;
    auto recordHeartbeat(KnownNode& known, std::int64_t heartbeat, const std::string& from, Microseconds now)
        -> void;
    auto answerRequests(const wire::Envelope& envelope, Microseconds now) -> void;
    auto pullState(Microseconds now) -> void;

    GossipListing listing_;
    GossipBootstrap bootstrap_;
    std::map<std::string, Neighbour> neighbours_;
    /// By neighbour: the nodes whose heartbeat counters it sent although their records are not known here.
    std::map<std::string, std::set<std::string>> missingRecords_;
    wire::NodeRecord lastSentOwnRecord_;   // the own record as of its last version
    Microseconds sentClockOffset_ = 0;     // calendar time minus process time, as of that version
    std::string parent_, leader_;          // nodes, as last looked up; empty if there is none
    Microseconds parentSince_ = 0;         // when `parent_` became the parent
    Microseconds nextStateRequestAt_ = 0;  // 0: no newer state is known
    Microseconds nextScanAt_ = 0;
    DisseminationTree tree_;
    Microseconds treeBuiltAt_ = 0;  // 0: the tree must be rebuilt
};

}  // namespace duneturn
