#pragma once
// Membership by gossip: no roster. A node learns of the others from its seeds and from whoever sends to it.
// Heartbeats go along the edges of the dissemination tree, both ways, and each carries only what its receiver
// has not been sent: a record when its version rose, only the heartbeat counter when nothing else did.
// Nothing goes back to the node that it came from. After delta gossip in van Renesse, Dumitriu, Gough,
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

class GossipMembership : public MembershipProtocol {
  public:
    explicit GossipMembership(NodeContext& context) : MembershipProtocol(context), listing_(context) {}

    auto sendHeartbeats(Microseconds now) -> void override;
    [[nodiscard]] auto heartbeatInterval(Microseconds now) const -> Microseconds override;
    auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void override;
    [[nodiscard]] auto scanDue(Microseconds now) -> bool override;
    [[nodiscard]] auto listingTimeout() const -> Microseconds override;
    auto serverLapsed(const wire::ServerListing& listing) -> void override;
    /// Follows the leader, and closes gaps in the news by pulling the state.
    auto tick(Microseconds now, bool scanned) -> void override;
    auto placeVoters(Microseconds now) -> void override;
    auto beginEpochIfDue(Microseconds now) -> void override;
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool override;
    [[nodiscard]] auto majorityStands(Microseconds now) const -> bool override;
    [[nodiscard]] auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool override;
    [[nodiscard]] auto actsOnReceivedState() const -> bool override;
    [[nodiscard]] auto announcesStateAtOnce() const -> bool override { return false; }
    [[nodiscard]] auto sendsStateTo(const wire::NodeRecord& record) const -> bool override;
    [[nodiscard]] auto lastLeader() const -> std::string override;
    [[nodiscard]] auto voteHandedOver(Microseconds now) const -> bool override;
    auto takeListing(std::int64_t id, const PlatformListing& listing, Microseconds now) -> void override;
    auto takeDrainMark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now)
        -> void override;
    auto answerPlatform(Microseconds now) -> void override;

  protected:
    auto completeOwnRecord() -> void override;
    [[nodiscard]] auto hasListing() const -> bool override;

  private:
    /// What a neighbour was sent, and what it said it holds.
    struct Neighbour {
        struct SentRecord {
            std::int64_t boot = 0, version = 0, heartbeat = 0;
            StateVersion state;
        };
        std::map<std::string, SentRecord> records;
        std::int64_t listingHeld = NO_LISTING;  // as it last said
        std::int64_t listingSent = NO_LISTING;
        bool readsStateVersions = false;  // else a record is sent to it when only the state has changed
        Microseconds listingSentAt = 0;
        Microseconds loadsSentAt = 0;
        Microseconds recordsResetAt = 0;  // when it was last assumed to know no record
        Microseconds sentAt = 0;
        Microseconds askedAllAt = 0;  // when it last asked for all that is known here and was answered
    };
    /// How much of what a neighbour lacks is sent to it.
    enum class Extent { OwnRecord, Changes, Everything };

    // Sending.
    auto raiseOwnVersion(Microseconds now) -> void;
    auto followParent(Microseconds now) -> std::string;
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
    auto seekContact(const std::string& parent, Microseconds now) -> void;
    auto askForAll(const std::string& address) -> void;
    [[nodiscard]] auto contactAddresses() const -> std::vector<std::string>;
    auto dropOldNeighbours(Microseconds now) -> void;
    auto currentTree(Microseconds now) -> const DisseminationTree&;

    // Receiving.
    auto mergeRecord(const wire::NodeRecord& record, const std::string& from, Microseconds now) -> void;
    /// `sourceState`: the state of the node that sent it; none if it is not known.
    auto mergeHeartbeatPulse(const wire::HeartbeatPulse& heartbeatPulse, const std::string& from,
        const std::optional<StateVersion>& sourceState, Microseconds now) -> void;
    [[nodiscard]] auto sourceState(const wire::Envelope& envelope) const -> std::optional<StateVersion>;
    auto mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;
    auto noteState(const wire::NodeRecord& record) -> void;
    auto noteHeartbeat(KnownNode& known, std::int64_t heartbeat, const std::string& from, Microseconds now)
        -> void;
    auto answerRequests(const wire::Envelope& envelope, Microseconds now) -> void;
    auto pullState(Microseconds now) -> void;

    GossipListing listing_;
    GossipBootstrap bootstrap_;
    std::map<std::string, Neighbour> neighbours_;
    /// Nodes of which a neighbour sent the heartbeat counter of a record that is not held here, by neighbour.
    std::map<std::string, std::set<std::string>> missingRecords_;
    wire::NodeRecord sentOwnRecord_;       // as of its last version
    Microseconds sentClockOffset_ = 0;     // calendar time less process time, as of that version
    std::string parent_, leader_;          // as last looked up; empty if there is none
    Microseconds parentSince_ = 0;         // when `parent_` became the parent
    Microseconds nextStateRequestAt_ = 0;  // 0: no gap in the news is known
    Microseconds nextScanAt_ = 0;
    DisseminationTree tree_;
    Microseconds treeBuiltAt_ = 0;  // 0: to be built anew
};

}  // namespace duneturn
