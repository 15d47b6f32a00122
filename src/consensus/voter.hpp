#pragma once
// One replica of the replicated log (Raft: Ongaro, "Consensus: Bridging Theory and Practice", 2014; section
// numbers in this folder refer to it), with pre-vote, check-quorum, ReadIndex, leadership transfer, learners
// and joint consensus. The class contains no I/O: disk and network are behind VoterPort, so the simulator,
// the model checker and the tests run the same code as production.
//
// A replica is identified by a string that is stored on its disk, the identity of the disk; a parameter
// named `disk` holds it. Voter dispatches messages to their handlers and issues the writes. It consists of
// these parts:
//
//   configuration.hpp      who votes, and what is a majority
//   replicated_log.hpp     the log entries in memory
//   snapshot.hpp           the state that replaces the log entries up to an index
//   write_queue.hpp        pending writes, and the messages that must wait for them
//   progress.hpp           the leader's view of another replica
//   read_index.hpp         linearizable reads that wait for a majority
//   snapshot_transfer.hpp  snapshots that are being sent or received
//   role.hpp               roles and the transitions between them
//   limits.hpp             timeouts and size limits
//
// The member functions of Voter are in voter.cpp (start, timers, dispatch), log.cpp (writes), election.cpp,
// replication.cpp, membership.cpp, snapshot.cpp and snapshot_chunks.cpp.
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "consensus/disk.hpp"
#include "consensus/limits.hpp"
#include "consensus/progress.hpp"
#include "consensus/read_index.hpp"
#include "consensus/replicated_log.hpp"
#include "consensus/snapshot.hpp"
#include "consensus/snapshot_transfer.hpp"
#include "consensus/write_queue.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// The log entry whose application advanced the state machine.
struct AppliedEntry {
    const wire::Entry* entry = nullptr;  // valid during the call; null if the state came from a snapshot
    std::string key;                     // the idempotency key, if the entry was a command
    Outcome outcome;                     // the outcome of that command
};

/// The environment of a voter: network, disk, and the user of the state machine.
struct VoterPort {
    virtual ~VoterPort() = default;
    /// Sends a message, which may be lost, to the replica with this disk. The callee may set further fields
    /// of `message`.
    virtual auto sendToReplica(const std::string& disk, wire::Envelope& message) -> void = 0;
    /// Starts a write, whose result is reported by Voter::onDiskWriteDone. Writes must be performed in the
    /// order of the calls.
    virtual auto writeToDisk(const DiskWrite& write) -> void = 0;
    /// The state machine advanced to `state`, which is durable on this disk.
    virtual auto onStateApplied(const ReplicatedState& state, const AppliedEntry& applied) -> void = 0;
    /// The result of Voter::read. `confirmed`: this voter was the leader at some time after the call, and its
    /// state machine includes everything that was committed at the time of the call.
    virtual auto onReadDone(std::int64_t id, bool confirmed) -> void = 0;
};

struct RoleMachine;

/// One replica. Not thread-safe. `now` is the time of a monotonic clock (bootNow()).
class Voter {
  public:
    enum class Role {
        Uninitialized,  // belongs to no cluster
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };

    Voter(VoterPort& port, Counters& counters, std::uint64_t seed);
    ~Voter();

    /// Starts from the persistent state. If it has no identity, the voter takes `newDiskId`; if it has no
    /// snapshot, the voter is uninitialized. Call once, before any other function.
    auto start(DiskState state, const std::string& newDiskId, Microseconds now) -> void;
    /// Checks all timers. Call at least every 50 ms.
    auto tick(Microseconds now) -> void;
    /// Handles a message from another replica.
    auto handle(const wire::Envelope& message, Microseconds now) -> void;
    /// Reports that the write `sequence` (DiskWrite::seq) is durable or has failed. Call in the order of the
    /// writes.
    auto onDiskWriteDone(std::int64_t sequence, bool succeeded, Microseconds now) -> void;
    /// Starts a new cluster with this state, and leaves any earlier cluster. Only this disk is written; the
    /// other voters that the state names receive it as a snapshot.
    auto bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void;
    /// Appends an entry of this kind (see configuration.hpp) to the log. Returns false, and appends nothing,
    /// unless this voter leads, its disk works and no leadership transfer is under way.
    auto propose(int kind, const std::string& body, Microseconds now) -> bool;
    /// On a leader: whether every voter that has answered in this term supports entries of kind
    /// ENTRY_COMPACT.
    auto allVotersReadCompact() const -> bool;
    /// Starts a linearizable read (ReadIndex). The result is reported by VoterPort::onReadDone with this id,
    /// possibly during the call.
    auto read(std::int64_t id, Microseconds now) -> void;
    /// Sets the spare disks, as pairs of node and disk. One may replace the disk of a voter on the same node,
    /// or become a further voter while there are fewer than MIN_VOTERS.
    auto setSpareDisks(const std::vector<std::pair<std::string, std::string>>& spares) -> void {
        spareDisks_ = spares;
    }
    /// Sets the disks that currently report that they are uninitialized, voters or not. Those that are voters
    /// receive a snapshot.
    auto setUninitializedVoters(const std::vector<std::string>& disks) -> void {
        uninitializedVoters_ = disks;
    }
    /// Transfers leadership (3.10) to the reachable voter with the highest match index, for a planned stop.
    /// Returns false if no such voter holds everything that is durable on this disk.
    auto transferLeadership(Microseconds now) -> bool;
    /// Leaves the cluster and erases the disk except for its identity. With `force`, a leader steps down
    /// first. Returns false, and changes nothing, if this voter is uninitialized or, without `force`, if it
    /// leads or this disk has given a vote in its current term.
    auto leaveCluster(bool force, Microseconds now) -> bool;
    /// Call when a committed state of this cluster, with this version, does not include this disk among the
    /// voters. If that version lies beyond the end of this log, erases the disk and gives it the identity
    /// `newDiskId`, so that the voter is uninitialized; returns whether it did.
    auto retire(std::int64_t version, const std::string& newDiskId, Microseconds now) -> bool;
    /// When the last reply from a disk reached this leader in the leader's term; 0 if none has.
    auto lastContact(const std::string& disk) const -> Microseconds;
    /// When the current leadership of this voter began; for other roles, its most recent one.
    auto leaderSince() const -> Microseconds { return leaderSince_; }

    auto role() const -> Role;
    /// Whether this voter belongs to no cluster.
    auto blank() const -> bool { return role() == Role::Uninitialized; }
    auto leads() const -> bool { return role() == Role::Leader; }
    /// Whether this voter leads and has applied an entry of its own term.
    auto ready() const -> bool { return leads() && lastApplied_ >= firstIndexOfTerm_; }
    /// The identity of this disk.
    auto disk() const -> const std::string& { return disk_; }
    auto term() const -> std::int64_t { return term_; }
    /// The epoch of the cluster. A cluster that is bootstrapped to replace a lost one has a higher epoch.
    auto epoch() const -> std::int64_t { return epoch_; }
    /// The disk of the leader of this term; empty if unknown.
    auto leader() const -> const std::string& { return leaderDisk_; }
    /// The state of the state machine, which has applied the entries up to applied().
    auto replicatedState() const -> const ReplicatedState& { return replicatedState_; }
    /// On a leader: the state after applying the complete log, including uncommitted entries. Not kept up to
    /// date in other roles.
    auto latestState() const -> const ReplicatedState& { return latestState_; }
    /// The commit index: the last entry that is known to be committed.
    auto commit() const -> std::int64_t { return commitIndex_; }
    /// The index of the last entry that the state machine has applied.
    auto applied() const -> std::int64_t { return lastApplied_; }
    /// The index of the last entry in the log.
    auto last() const -> std::int64_t { return log_.last(); }
    /// When this leader last had contact with a majority, as of the last tick().
    auto lastQuorumContact() const -> Microseconds { return lastQuorumContact_; }
    /// Whether the disk has failed or stalled and has not worked since.
    auto isDiskFaulty() const -> bool { return writes_.isDiskFaulty(); }
    /// The voters of the newest configuration in the log, committed or not.
    auto voters() const -> const std::vector<VoterIdentity>& { return configuration_.voters(); }
    /// In a joint configuration, the voters before the change, of which a majority is needed too.
    auto outgoingVoters() const -> const std::vector<VoterIdentity>& { return configuration_.outgoing(); }
    auto joint() const -> bool { return configuration_.isJoint(); }
    /// The number of log entries in memory.
    auto logSize() const -> std::size_t { return log_.size(); }

    /// Faults that tests inject to prove that the tests' checks (oracles) detect them. All are off in
    /// production.
    struct Broken {
        bool ackBeforeSync = false;      // messages do not wait for the writes that they depend on
        bool voteTwice = false;          // votes twice in a term, and accepts a second leader of a term
        bool noQuorum = false;           // a single voter counts as a majority
        bool newMajorityOnly = false;    // a joint configuration ignores the outgoing majority
        bool truncateCommitted = false;  // committed entries are replaced by conflicting ones
        bool ackUnsavedTerm = false;     // the term of a failed write counts as saved
        bool commitOldTerm = false;      // entries of earlier terms are committed by counting replicas
        bool skipReadQuorum = false;     // a read does not wait for its heartbeat round
        bool changeBeforeNoop = false;   // voters change before the leader has committed an entry of its term
        bool truncateMatching = false;   // an append removes matching entries after those it carries
        auto operator==(const Broken&) const -> bool = default;
    };
    Broken broken;

  private:
    // voter.cpp
    auto envelope() const -> wire::Envelope;
    /// Checks what must hold after each input. Skipped if a test has injected a fault.
    auto checkInvariants() const -> void;
    auto hasNoInjectedFault() const -> bool { return broken == Broken(); }
    auto dispatch(const wire::Envelope& message, Microseconds now) -> void;
    auto restartElectionTimer(Microseconds now) -> void;
    auto tickDisk(Microseconds now) -> void;
    auto tickLeader(Microseconds now) -> void;
    auto tickFollower(Microseconds now) -> void;

    // log.cpp
    auto write(DiskWrite write, Microseconds now) -> std::int64_t;
    auto writeIfUnsaved(Microseconds now) -> std::int64_t;
    auto sendAfterWrite(std::int64_t sequence, const std::string& disk, wire::Envelope envelope) -> void;
    auto onWriteFailed(const PendingWrite& write, Microseconds now) -> void;
    auto onWriteSucceeded(const PendingWrite& write, Microseconds now) -> void;
    auto countOwnVote(const PendingWrite& write, Microseconds now) -> void;
    auto rebuildLatestState() -> void;

    // election.cpp
    auto becomeFollower(Microseconds now) -> void;
    auto adoptTerm(std::int64_t term, Microseconds now) -> void;
    auto beginPreVote(Microseconds now) -> void;
    /// `leadershipTransfer`: the leader requested this election, so voters grant their vote even while they
    /// have contact with the leader.
    auto beginElection(bool leadershipTransfer, Microseconds now) -> void;
    auto voteRequest() const -> wire::RequestVote;
    auto becomeLeader(Microseconds now) -> void;
    auto hasElectionMajority() const -> bool;
    auto isUpToDate(const wire::RequestVote& request) const -> bool;
    auto hasActiveLeader(Microseconds now) const -> bool;
    auto onPreVoteRequest(const std::string& from, const wire::RequestVote& request, Microseconds now)
        -> void;
    auto onRequestVote(const std::string& from, const wire::RequestVote& request, Microseconds now) -> void;
    auto onRequestVoteReply(const std::string& from, const wire::RequestVoteReply& reply, Microseconds now)
        -> void;
    auto onTimeoutNow(const std::string& from, const wire::TimeoutNow& message, Microseconds now) -> void;
    auto candidateReadsConfiguration(const wire::RequestVote& request) const -> bool;

    // replication.cpp; applyEntry is in membership.cpp
    auto append(int kind, const std::string& body, Microseconds now) -> void;
    auto replicateTo(const std::string& disk, Microseconds now) -> void;
    auto sendAppendEntries(const std::string& disk, ReplicaProgress& progress, Microseconds now) -> void;
    auto replicateToAll(Microseconds now) -> void;
    auto advanceCommit(Microseconds now) -> void;
    auto answerReads() -> void;
    auto applyCommitted(std::int64_t index, Microseconds now) -> void;
    auto applyEntry(const wire::Entry& entry) -> void;
    auto onAppendEntries(const std::string& from, const wire::AppendEntries& request, Microseconds now)
        -> void;
    auto isWellFormed(const wire::AppendEntries& request) const -> bool;
    auto contradictsCommitted(const wire::AppendEntries& request) const -> bool;
    auto hasPreviousEntry(const wire::AppendEntries& request) const -> bool;
    auto rejectMessage(const char* counter, const std::string& from) -> void;
    auto storeEntries(const wire::AppendEntries& request) -> DiskWrite;
    auto onAppendEntriesReply(
        const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now) -> void;

    // membership.cpp
    auto refreshConfiguration() -> void;
    auto isVoter(const std::string& disk) const -> bool { return configuration_.isVoter(disk); }
    auto hasMajority(const std::function<bool(const std::string& disk)>& predicate) const -> bool {
        return configuration_.hasMajority(predicate, quorumFaults());
    }
    auto quorumFaults() const -> QuorumFaults { return {broken.noQuorum, broken.newMajorityOnly}; }
    auto advanceConfigurationChange(Microseconds now) -> void;
    auto removeReplacedDisk(Microseconds now) -> bool;
    auto promoteLearner(Microseconds now) -> void;
    auto updateCatchUp(ReplicaProgress& progress, Microseconds now) -> bool;
    auto beginConfigurationChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool;

    // snapshot.cpp
    auto isCompactionDue() const -> bool;
    auto compact(Microseconds now) -> void;
    auto needsSnapshot(std::int64_t index, std::int64_t term) const -> bool;
    auto onInstallSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
        Microseconds now) -> void;
    static auto decodeSnapshot(std::int64_t epoch, const wire::InstallSnapshot& snapshot)
        -> std::optional<ReplicatedState>;
    auto followLeader(std::int64_t term, Microseconds now) -> void;
    auto replyInstalled(const std::string& disk, std::int64_t index, std::int64_t round, Microseconds now)
        -> void;
    auto installSnapshot(
        const wire::InstallSnapshot& snapshot, const ReplicatedState& state, Microseconds now) -> void;

    // snapshot_chunks.cpp
    auto sendSnapshot(const std::string& disk, Microseconds now) -> void;
    auto sendWholeSnapshot(const std::string& disk) -> void;
    auto sendChunk(const std::string& disk, wire::SnapshotChunk chunk) -> void;
    auto initializeVoters(Microseconds now) -> void;
    auto onSnapshotChunk(const wire::Envelope& message, Microseconds now) -> void;
    auto replyToChunk(const wire::Envelope& message, std::size_t received, bool refused) -> void;
    auto assembleSnapshot(const wire::Envelope& message, Microseconds now) -> void;
    auto onSnapshotChunkReply(
        const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now) -> void;
    auto endSnapshotTransfer(const std::string& disk, std::int64_t match) -> void;

    VoterPort& port_;
    Counters& counters_;
    RandomSource random_;
    std::unique_ptr<RoleMachine> roles_;

    // The persistent state, and the queue of writes that store it. It is durable once the newest write is
    // done.
    std::string disk_;  // the identity of this disk
    std::int64_t epoch_ = 0;
    std::int64_t term_ = 0;
    std::string votedFor_;  // the vote of this term; empty: none
    std::int64_t commitIndex_ = 0;
    Snapshot snapshot_;
    ReplicatedLog log_;
    WriteQueue writes_;
    std::int64_t lastSynced_ = 0;  // the index of the last entry that is durable on this disk
    // The sequence number of the pending write of a received or bootstrap snapshot; 0: none.
    std::int64_t installWrite_ = 0;

    // The state machine.
    std::int64_t lastApplied_ = 0;
    bool appliedJoint_ = false;  // the newest applied configuration is joint
    ReplicatedState replicatedState_;
    ReplicatedState latestState_;

    // The configuration in force is the newest one in the log, committed or not (4.1).
    VoterConfiguration configuration_;
    std::int64_t configurationIndex_ = 0;  // the index of its entry
    std::vector<std::pair<std::string, std::string>> spareDisks_;
    std::vector<std::string> uninitializedVoters_;
    Microseconds lastInitializationAttempt_ = 0;

    // Elections.
    std::string leaderDisk_;  // the leader of this term; empty: unknown
    Microseconds lastLeaderContact_ = 0;
    Microseconds electionDeadline_ = 0;
    Microseconds preVoteStart_ = 0;
    std::set<std::string> votes_;    // the disks that granted their vote to this candidate
    std::int64_t ownVoteWrite_ = 0;  // sequence number of the pending write of its own vote; 0: none

    // State of a leader.
    std::map<std::string, ReplicaProgress> progress_;  // by disk
    ReadIndexQueue reads_;
    std::int64_t firstIndexOfTerm_ = 0;
    std::int64_t heartbeatRound_ = 0;  // the latest round; see ReadIndexQueue
    Microseconds leaderSince_ = 0;
    Microseconds lastQuorumContact_ = 0;
    Microseconds lastHeartbeat_ = 0;
    Microseconds transferDeadline_ = 0;  // no proposal is accepted until then

    // Snapshot transfers. Followers also send snapshots, to uninitialized voters.
    std::map<std::string, OutgoingSnapshot> outgoingSnapshots_;  // by the disk of the receiver
    IncomingSnapshot incomingSnapshot_;
};

}  // namespace duneturn
