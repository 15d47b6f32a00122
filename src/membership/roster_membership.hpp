#pragma once
// Membership by a fixed roster. Each heartbeat carries all records that are known, with acknowledgements of
// the heartbeats of all others, so that each node knows by its own clock how old a record is (lease.hpp).
// Listings are passed on by all and lapse; an order or drain mark is acknowledged when majorities hold it.
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/cluster_bootstrap.hpp"
#include "membership/membership_protocol.hpp"

namespace duneturn {

class RosterMembership : public MembershipProtocol {
  public:
    using MembershipProtocol::MembershipProtocol;

    auto sendHeartbeats(Microseconds now) -> void override;
    [[nodiscard]] auto heartbeatInterval(Microseconds now) const -> Microseconds override;
    auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void override;
    [[nodiscard]] auto scanDue(Microseconds now) -> bool override;
    [[nodiscard]] auto listingTimeout() const -> Microseconds override;
    auto serverLapsed(const wire::ServerListing& listing) -> void override;
    /// Settles this node if it has received what it needs to vouch for its state.
    auto tick(Microseconds now, bool scanned) -> void override;
    auto placeVoters(Microseconds now) -> void override;
    auto beginEpochIfDue(Microseconds now) -> void override;
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool override;
    [[nodiscard]] auto majorityStands(Microseconds now) const -> bool override;
    [[nodiscard]] auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool override;
    [[nodiscard]] auto actsOnReceivedState() const -> bool override;
    /// An acknowledgement waits until a majority says that it holds the state.
    [[nodiscard]] auto announcesStateAtOnce() const -> bool override { return true; }
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
    /// Drain marks on their way to majorities; answered when those hold them.
    struct PendingMarks {
        std::int64_t id = 0;
        std::vector<wire::DrainMark> marks;
        Microseconds due = 0;
        MajorityProof proof;
    };
    enum class Receivers { Children, All };

    // Sending.
    auto beginHeartbeat(Microseconds now) -> void;
    auto send(Receivers receivers, Microseconds now) -> void;
    [[nodiscard]] auto receiversOf(Receivers receivers, Microseconds now) const -> std::set<std::string>;
    [[nodiscard]] auto heartbeatEnvelope(Microseconds now) const -> wire::Envelope;

    // Receiving.
    auto mergeRecord(const wire::NodeRecord& record, Microseconds now) -> bool;
    auto mergeAcknowledgements(KnownNode& known) -> void;
    auto mergeMarks(const wire::NodeRecord& record, Microseconds now) -> void;
    auto mergeListing(const wire::ServerListing& listing, Microseconds now) -> void;
    auto mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;
    auto mergeHeartbeat(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;

    // The platform.
    [[nodiscard]] auto nextRevision(std::int64_t platformRevision) const -> std::int64_t;
    auto refuseSuperseded(std::int64_t id) -> void;
    auto takeEntry(const PlatformListing::Entry& entry, std::int64_t revision, Microseconds now) -> bool;
    [[nodiscard]] auto majoritiesHold(PendingMarks& pending, Microseconds now) const -> bool;

    std::map<std::int64_t, Microseconds> heartbeatSentAt_;  // the last of this node's, by their counter
    Microseconds nextStateRequestAt_ = 0;
    Microseconds listingTakenAt_ = 0;  // when the platform's newest listing was given, here or elsewhere
    std::vector<PendingMarks> pendingMarks_;
    ConditionTimer epochTimer_;
};

}  // namespace duneturn
