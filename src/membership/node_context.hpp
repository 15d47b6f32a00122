#pragma once
// The data that the parts of one node share: settings, tables, the replicated state, the voter, the time.
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "membership/dissemination_tree.hpp"
#include "membership/failure_detector.hpp"
#include "membership/membership_table.hpp"
#include "membership/node_port.hpp"
#include "membership/server_directory.hpp"
#include "membership/state_publisher.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// Deliberate faults, to show that the oracles of the tests detect them. None is set outside tests.
struct MembershipFaults {
    bool ignoreLease = false;              // acts on the held state without confirmation by a majority
    bool ackBeforeMajorities = false;      // acknowledges a change before majorities hold it
    bool acceptOldState = false;           // replaces a replicated state by an older one
    bool acceptSupersededListing = false;  // applies a listing that a newer one has superseded
    bool wholeStatesOnly = false;   // always sends the complete state, as versions before StateChange do
    bool applyAnyBase = false;      // applies steps to another version than their base
    bool ignoreDigest = false;      // accepts the result of steps without comparing its digest
    bool reuseIncarnation = false;  // reuses an incarnation number that peers have already seen
};

/// The members whose majorities count, according to the replicated state held.
struct VotingMembers {
    std::set<std::string> voterDisks;
    std::set<std::string> roster;  // names of nodes; empty with gossip membership
};

/// What shows that another node's record is recent enough to count for a lease.
enum class LeaseEvidence {
    AcknowledgedHeartbeat,  // it acknowledges a heartbeat that this node sent within LEASE_DURATION
    RecentHeartbeat,        // its newest heartbeat was received within the alive timeout
};

/// Shared by reference; the parts of a node keep references to it.
struct NodeContext {
    NodeContext(const NodeContext&) = delete;
    auto operator=(const NodeContext&) -> NodeContext& = delete;
    NodeContext(const Settings& nodeSettings, NodePort& nodePort, Counters& nodeCounters, std::int64_t boot,
        std::uint64_t seed);

    /// Returns an envelope from this node without a message.
    [[nodiscard]] auto envelope() const -> wire::Envelope;
    /// Builds the dissemination tree from the membership table.
    [[nodiscard]] auto tree(Microseconds now) const -> DisseminationTree;
    /// The newest replicated state that this node holds or has received.
    [[nodiscard]] auto newestKnownState() const -> const ReplicatedState&;
    [[nodiscard]] auto isVoter(const wire::NodeRecord& record) const -> bool {
        return voting.voterDisks.count(record.disk) > 0;
    }
    /// Requests from a peer address a state that is newer than `held`.
    auto requestState(const std::string& address, StateVersion held) -> void;
    /// Replaces the replicated state and updates what is derived from it.
    auto setState(const ReplicatedState& newer) -> void;
    /// Returns the next of `addresses` by round robin. The list must not be empty.
    auto nextInTurn(const std::vector<std::string>& addresses) -> const std::string&;
    /// Handles a record under this node's own name that another node sent. If its incarnation and heartbeat
    /// are newer than this node's, either the clock has been set back since an earlier incarnation, or
    /// another node has the same name. This node then takes a higher incarnation number, because the others
    /// would otherwise reject its records (SWIM's refutation). `peer`: the address in that record; empty if
    /// it is not known.
    auto refuteOwnRecord(std::int64_t boot, std::int64_t heartbeat, const std::string& peer) -> void;

    Settings settings;
    NodePort& port;
    Counters& counters;
    RandomSource random;
    FailureTimeouts timeouts;
    StaleLeaders staleLeaders;
    LeaseEvidence leaseEvidence;
    MembershipTable members;
    ServerDirectory directory;
    ReplicatedState state;
    /// On a voter: a received state that is newer than what its disk holds. Used only to begin a new epoch.
    ReplicatedState receivedState;
    VotingMembers voting;
    StatePublisher statePublisher;
    std::unique_ptr<Voter> voter;  // null on a node without a disk
    Microseconds now = 0;
    Microseconds wall = 0;  // calendar time as of the last tick
    Microseconds startedAt = 0;
    Microseconds resumedAt = 0;  // when this process last detected that it had been suspended; 0 if never
    Microseconds nextHeartbeatAt = 0;
    std::vector<std::string> peerHints;  // the seeds, and addresses saved by an earlier incarnation
    MembershipFaults faults;

  private:
    std::size_t nextTurn_ = 0;
};

}  // namespace duneturn
