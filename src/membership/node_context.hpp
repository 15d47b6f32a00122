#pragma once
// What the parts of one node share: settings, tables, the replicated state held here, the voter, the time.
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

/// Deliberate faults that the tests' oracles must see; none is set outside tests.
struct MembershipFaults {
    bool ignoreLease = false;              // acts on what it holds without any confirmation
    bool ackBeforeMajorities = false;      // acknowledges before the majorities hold a change
    bool acceptOldState = false;           // lets an older replicated state replace a newer one
    bool acceptSupersededListing = false;  // takes a listing that a newer one has superseded
    bool wholeStatesOnly = false;          // sends the state whole, as programs before StateChange do
    bool applyAnyBase = false;             // applies steps of the state to another version than they rest on
    bool ignoreDigest = false;             // takes what steps lead to without comparing its digest
    bool reuseIncarnation = false;         // keeps an incarnation number that peers have already seen
};

/// The members whose majorities count, by the replicated state held here.
struct VotingMembers {
    std::set<std::string> voterDisks;
    std::set<std::string> roster;  // names of nodes; empty with membership by gossip
};

/// What shows that another node's record was recent, for a lease.
enum class LeaseEvidence {
    AcknowledgedHeartbeat,  // it acknowledges a heartbeat that this node sent within LEASE_DURATION
    RecentHeartbeat,        // its newest heartbeat came here within the alive timeout
};

struct NodeContext {
    NodeContext(const NodeContext&) = delete;  // its parts refer to it
    auto operator=(const NodeContext&) -> NodeContext& = delete;
    NodeContext(const Settings& nodeSettings, NodePort& nodePort, Counters& nodeCounters, std::int64_t boot,
        std::uint64_t seed);

    /// An envelope from this node, empty.
    [[nodiscard]] auto envelope() const -> wire::Envelope;
    [[nodiscard]] auto tree(Microseconds now) const -> DisseminationTree;
    /// The newest replicated state held here or received.
    [[nodiscard]] auto newestKnownState() const -> const ReplicatedState&;
    [[nodiscard]] auto isVoter(const wire::NodeRecord& record) const -> bool {
        return voting.voterDisks.count(record.disk) > 0;
    }
    /// Asks for a state newer than `held`.
    auto requestState(const std::string& address, StateVersion held) -> void;
    /// Takes a newer replicated state.
    auto setState(const ReplicatedState& newer) -> void;
    /// The next of the seeds and hints, or of `addresses`, in turn; the list must not be empty.
    auto nextInTurn(const std::vector<std::string>& addresses) -> const std::string&;
    /// A record of this node's life `boot` at heartbeat `heartbeat` came from elsewhere. If that is newer
    /// than this life, an earlier life had a clock that has since been set back, or another node has the
    /// same name: this life takes a higher number, or its records would not be taken. `peer`: that record's
    /// address.
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
    /// A voter's: a newer state than its disk holds, kept for a new epoch only.
    ReplicatedState receivedState;
    VotingMembers voting;
    StatePublisher statePublisher;
    std::unique_ptr<Voter> voter;  // null on a node without a disk
    Microseconds now = 0;
    Microseconds wall = 0;  // calendar time as of the last tick
    Microseconds startedAt = 0;
    Microseconds resumedAt = 0;  // when this process noticed that it had been stopped; 0 if never
    Microseconds nextHeartbeatAt = 0;
    std::vector<std::string> peerHints;  // the seeds, and addresses kept by an earlier life
    MembershipFaults faults;

  private:
    std::size_t nextTurn_ = 0;
};

}  // namespace duneturn
