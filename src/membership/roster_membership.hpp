#pragma once
// Membership by a fixed roster. Each heartbeat carries all known records, and each record acknowledges the
// heartbeats of the other nodes, so every node knows by its own clock how old a record is (lease.hpp). All
// nodes disseminate server listings, which expire if they are not confirmed. An operator order or a drain
// mark is acknowledged once majorities hold it.
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/cluster_bootstrap.hpp"
#include "membership/membership_protocol.hpp"

namespace duneturn {

/// The membership protocol with a fixed roster.
class RosterMembership : public MembershipProtocol {
  public:
    using MembershipProtocol::MembershipProtocol;

    auto sendHeartbeats(Microseconds now) -> void override;
    [[nodiscard]] auto heartbeatInterval(Microseconds now) const -> Microseconds override;
    auto handleHeartbeat(const wire::Envelope& envelope, Microseconds now) -> void override;
    [[nodiscard]] auto scanDue(Microseconds now) -> bool override;
    [[nodiscard]] auto listingTimeout() const -> Microseconds override;
    auto serverExpired(const wire::ServerListing& listing) -> void override;
    /// Marks this node as settled once majorities have confirmed its state. From then on it counts towards
    /// the majorities of other nodes.
    auto tick(Microseconds now, bool scanned) -> void override;
    auto placeVoters(Microseconds now) -> void override;
    auto beginEpochIfDue(Microseconds now) -> void override;
    [[nodiscard]] auto withinLease(Microseconds now) const -> bool override;
    [[nodiscard]] auto majorityReachable(Microseconds now) const -> bool override;
    [[nodiscard]] auto acknowledged(MajorityProof& proof, std::int64_t version, Microseconds now)
        -> bool override;
    [[nodiscard]] auto actsOnReceivedState() const -> bool override;
    /// An operator order is acknowledged only after a majority has reported that it holds the state.
    [[nodiscard]] auto announcesStateAtOnce() const -> bool override { return true; }
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
    /// Drain marks that are answered once majorities hold them.
    struct PendingMarks {
        std::int64_t id = 0;
        std::vector<wire::DrainMark> marks;
        Microseconds deadline = 0;
        MajorityProof proof;
    };
    /// Whether a heartbeat goes to all peers that are due, or only to the children in the dissemination tree.
    enum class Receivers { Children, All };

    // Sending.
    auto beginHeartbeat(Microseconds now) -> void;
    auto send(Receivers receivers, Microseconds now) -> void;
    [[nodiscard]] auto receiversOf(Receivers receivers, Microseconds now) const -> std::set<std::string>;
    [[nodiscard]] auto heartbeatEnvelope(Microseconds now) const -> wire::Envelope;

    // Receiving.
    auto mergeRecord(const wire::NodeRecord& record, Microseconds now) -> bool;
    auto mergeAcknowledgements(KnownNode& known) -> void;
    auto mergeDrainMarks(const wire::NodeRecord& record, Microseconds now) -> void;
    auto mergeListing(const wire::ServerListing& listing, Microseconds now) -> void;
    auto mergeLoads(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;
    auto mergeHeartbeat(const wire::Heartbeat& heartbeat, const std::string& from, Microseconds now) -> void;

    // The platform.
    [[nodiscard]] auto nextRevision(std::int64_t platformRevision) const -> std::int64_t;
    auto rejectSuperseded(std::int64_t id) -> void;
    auto applyEntry(const PlatformListing::Entry& entry, std::int64_t revision, Microseconds now) -> bool;
    [[nodiscard]] auto majoritiesHold(PendingMarks& pending, Microseconds now) const -> bool;

    std::map<std::int64_t, Microseconds> heartbeatSentAt_;  // this node's latest heartbeats, by counter
    Microseconds nextStateRequestAt_ = 0;
    Microseconds listingIssuedAt_ = 0;  // when the platform issued the newest known listing
    std::vector<PendingMarks> pendingMarks_;
    ConditionTimer epochTimer_;
};

}  // namespace duneturn
