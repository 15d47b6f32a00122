#pragma once
// One replica of the replicated log (Raft: Ongaro, "Consensus: Bridging Theory and Practice", 2014; the
// sections named in this folder are its), with pre-vote, check-quorum, ReadIndex, leadership transfer,
// learners and joint consensus. Logic only: the disk and the network are behind VoterPort, so that the
// simulator, the model checker and the tests drive the code that runs.
//
// A replica is a disk, and is known by the identity of that disk. Voter holds the parts together, passes
// each message to its handler and each write to the disk. The parts, which know nothing of each other:
//
//   configuration.hpp      who votes, and what is a majority
//   replicated_log.hpp     the entries in memory
//   snapshot.hpp           what stands in place of the entries before them
//   write_queue.hpp        writes under way, and messages that must wait for them
//   progress.hpp           what a leader knows of another replica
//   read_index.hpp         reads that wait for a majority
//   snapshot_transfer.hpp  snapshots on their way
//   role.hpp               roles and their transitions
//   limits.hpp             times and sizes
//
// Voter's own functions: voter.cpp (start, clock, dispatch), log.cpp (writes), election.cpp,
// replication.cpp, membership.cpp, snapshot.cpp, transfer.cpp (snapshots in chunks).
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

/// The entry that brought the state machine forward.
struct AppliedEntry {
    const wire::Entry* entry = nullptr;  // null if the state came as a whole; valid during the call
    std::string key;                     // the idempotency key, if the entry was a command
    Outcome outcome;                     // of that command
};

/// What a voter needs of its surroundings: a network, a disk, and one that uses the state.
struct VoterPort {
    virtual ~VoterPort() = default;
    /// Sends a message to the replica with this disk; it may be lost. The callee may complete `message`.
    virtual auto sendToReplica(const std::string& disk, wire::Envelope& message) -> void = 0;
    /// Begins a write; Voter::onDiskWriteDone reports its end. Writes are performed in their order.
    virtual auto writeToDisk(const DiskWrite& write) -> void = 0;
    /// The state machine advanced to `state`, which this disk holds.
    virtual auto onStateApplied(const ReplicatedState& state, const AppliedEntry& applied) -> void = 0;
    /// Answers Voter::read: `ok` if this was the leader after the question came, and the state has what
    /// was committed then.
    virtual auto onReadDone(std::int64_t id, bool ok) -> void = 0;
};

struct RoleMachine;

/// One replica. Not thread-safe; `now` is a clock that never goes back (bootNow()).
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

    /// Starts from what the disk holds; an empty state makes a blank voter with the identity `newDiskId`.
    auto start(DiskState state, const std::string& newDiskId, Microseconds now) -> void;
    /// To be called often, at least each 50 ms; timers are checked here only.
    auto tick(Microseconds now) -> void;
    /// Takes a message of another replica.
    auto handle(const wire::Envelope& message, Microseconds now) -> void;
    /// The write `sequence` (DiskWrite::seq) is on disk, or has failed. To be called in their order.
    auto onDiskWriteDone(std::int64_t sequence, bool ok, Microseconds now) -> void;
    /// Begins a new cluster with this state on this disk alone, leaving any earlier one; the
    /// other voters are sent it as a snapshot.
    auto bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void;
    /// Appends a command (its kind, see configuration.hpp, and its body) to the log. False, and nothing is
    /// appended, unless this leads, its disk works and no transfer of leadership is under way.
    auto propose(int kind, const std::string& body, Microseconds now) -> bool;
    /// Of a leader: whether every voter that answers reads entries of kind ENTRY_COMPACT.
    auto allReadCompact() const -> bool;
    /// Asks whether this is still the leader; answered through onReadDone with this id.
    auto read(std::int64_t id, Microseconds now) -> void;
    /// Spare disks that could take the place of a voter's, as (node, disk).
    auto setSpareDisks(const std::vector<std::pair<std::string, std::string>>& spares) -> void {
        spareDisks_ = spares;
    }
    /// Voters' disks that say they are blank.
    auto setUninitializedVoters(const std::vector<std::string>& disks) -> void { blankVoters_ = disks; }
    /// Transfers leadership to the voter that is furthest along; for a planned stop. False if there is
    /// none that has all that this disk has.
    auto transferLeadership(Microseconds now) -> bool;
    /// Leaves a cluster that never had a vote from this disk, or any if `force`.
    auto leaveCluster(bool force, Microseconds now) -> bool;
    /// A committed state of this cluster, of this version, names the voters without this disk.
    /// If that is behind all this log holds, the disk becomes a blank one with the identity `newDiskId`.
    auto retire(std::int64_t version, const std::string& newDiskId, Microseconds now) -> bool;
    /// When this leader last heard from a disk; 0 if never.
    auto lastContact(const std::string& disk) const -> Microseconds;
    /// Since when this leads; of a former leader, when its last term as such began.
    auto leaderSince() const -> Microseconds { return leaderSince_; }

    auto role() const -> Role;
    auto blank() const -> bool { return role() == Role::Uninitialized; }
    auto leads() const -> bool { return role() == Role::Leader; }
    /// Leads, and has applied an entry of its own term.
    auto ready() const -> bool { return leads() && lastApplied_ >= firstIndexOfTerm_; }
    /// The identity of this disk.
    auto disk() const -> const std::string& { return disk_; }
    auto term() const -> std::int64_t { return term_; }
    /// Of the cluster: a new one that replaces a lost one has a higher epoch.
    auto epoch() const -> std::int64_t { return epoch_; }
    /// The disk of the leader of this term; empty if it isn't known.
    auto leader() const -> const std::string& { return leaderDisk_; }
    /// The state after the entry applied().
    auto replicatedState() const -> const ReplicatedState& { return replicatedState_; }
    /// The state with everything that is in the log, committed or not.
    auto latestState() const -> const ReplicatedState& { return latestState_; }
    /// The index of the last entry that is known to be committed.
    auto commit() const -> std::int64_t { return commitIndex_; }
    auto applied() const -> std::int64_t { return lastApplied_; }
    /// The index of the last entry in the log.
    auto last() const -> std::int64_t { return log_.last(); }
    /// When this leader last had contact to a majority.
    auto lastQuorumContact() const -> Microseconds { return lastQuorumContact_; }
    /// Whether the disk has failed or stalled, and has not worked since.
    auto isDiskFaulty() const -> bool { return writes_.isDiskBad(); }
    /// The newest set in the log, committed or not.
    auto voters() const -> const std::vector<VoterIdentity>& { return configuration_.voters(); }
    /// While a change is under way, the voters before it; their majority is needed too.
    auto outgoingVoters() const -> const std::vector<VoterIdentity>& { return configuration_.outgoing(); }
    auto joint() const -> bool { return configuration_.isJoint(); }
    /// How many entries are held in memory.
    auto logSize() const -> std::size_t { return log_.size(); }

    /// Deliberate faults for proving that oracles can fail; none is set outside tests.
    struct Broken {
        bool ackBeforeSync = false;      // messages don't wait for the writes that they rest on
        bool voteTwice = false;          // a second vote in a term, and a second leader of one
        bool noQuorum = false;           // one voter counts as a majority
        bool newMajorityOnly = false;    // a joint configuration without its old majority
        bool truncateCommitted = false;  // committed entries give way to conflicting ones
        bool ackUnsavedTerm = false;     // after a failed write its term counts as saved
        bool commitOldTerm = false;      // an entry of an earlier term is committed by counting disks
        bool skipReadQuorum = false;     // a read is answered without a round of heartbeats
        bool changeBeforeNoop = false;   // voters change before an entry of the own term is committed
        bool truncateMatching = false;   // an append drops what stands behind it, though it matches
        auto operator==(const Broken&) const -> bool = default;
    };
    Broken broken;

  private:
    // voter.cpp
    auto envelope() const -> wire::Envelope;
    /// What holds between two inputs, whatever they were; not with faults that tests bring in.
    auto checkInvariants() const -> void;
    auto isSound() const -> bool { return broken == Broken(); }
    auto dispatch(const wire::Envelope& message, Microseconds now) -> void;
    auto restartElectionTimer(Microseconds now) -> void;
    auto tickDisk(Microseconds now) -> void;
    auto tickLeader(Microseconds now) -> void;
    auto tickFollower(Microseconds now) -> void;

    // log.cpp
    auto write(DiskWrite write, Microseconds now) -> std::int64_t;
    auto writeIfUnsaved(Microseconds now) -> std::int64_t;
    auto sendAfterWrite(std::int64_t sequence, const std::string& to, wire::Envelope envelope) -> void;
    auto writeFailed(const PendingWrite& write, Microseconds now) -> void;
    auto writeSucceeded(const PendingWrite& write, Microseconds now) -> void;
    auto rebuildLatestState() -> void;

    // election.cpp
    auto becomeFollower(Microseconds now) -> void;
    auto adoptTerm(std::int64_t term, Microseconds now) -> void;
    auto beginPreVote(Microseconds now) -> void;
    /// `leadershipTransfer`: the leader of this term asked for it, so that voters needn't wait for it to
    /// fail.
    auto beginElection(bool leadershipTransfer, Microseconds now) -> void;
    auto voteRequest() const -> wire::RequestVote;
    auto becomeLeader(Microseconds now) -> void;
    auto hasElectionMajority() const -> bool;
    auto isUpToDate(const wire::RequestVote& request) const -> bool;
    auto hasLiveLeader(Microseconds now) const -> bool;
    auto onPreVoteRequest(const std::string& from, const wire::RequestVote& request, Microseconds now)
        -> void;
    auto onRequestVote(const std::string& from, const wire::RequestVote& request, Microseconds now) -> void;
    auto onRequestVoteReply(const std::string& from, const wire::RequestVoteReply& reply, Microseconds now)
        -> void;
    auto onTimeoutNow(const std::string& from, const wire::TimeoutNow& message, Microseconds now) -> void;
    auto candidateReadsConfiguration(const wire::RequestVote& request) const -> bool;

    // replication.cpp
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
    auto rejectMessage(const char* counter, const std::string& from) -> void;
    auto storeEntries(const wire::AppendEntries& request) -> DiskWrite;
    auto onAppendEntriesReply(
        const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now) -> void;

    // membership.cpp
    auto refreshConfiguration() -> void;
    auto isVoter(const std::string& disk) const -> bool { return configuration_.isVoter(disk); }
    auto hasMajority(const std::function<bool(const std::string& disk)>& holds) const -> bool {
        return configuration_.hasMajority(holds, quorumFaults());
    }
    auto quorumFaults() const -> QuorumFaults { return {broken.noQuorum, broken.newMajorityOnly}; }
    auto advanceConfigurationChange(Microseconds now) -> void;
    auto removeReplacedDisk(Microseconds now) -> bool;
    auto promoteLearner(Microseconds now) -> void;
    auto hasCaughtUp(ReplicaProgress& progress, Microseconds now) -> bool;
    auto beginConfigurationChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool;

    // snapshot.cpp
    auto isCompactionDue() const -> bool;
    auto compact(Microseconds now) -> void;
    auto isBehind(std::int64_t index, std::int64_t term) const -> bool;
    auto onInstallSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
        Microseconds now) -> void;
    static auto loadSnapshot(std::int64_t epoch, const wire::InstallSnapshot& snapshot)
        -> std::optional<ReplicatedState>;
    auto followLeader(std::int64_t term, Microseconds now) -> void;
    auto replyInstalled(const std::string& to, std::int64_t index, std::int64_t round, Microseconds now)
        -> void;
    auto installSnapshot(
        const wire::InstallSnapshot& snapshot, const ReplicatedState& state, Microseconds now) -> void;

    // transfer.cpp
    auto sendSnapshot(const std::string& disk, Microseconds now) -> void;
    auto sendWholeSnapshot(const std::string& disk) -> void;
    auto sendChunk(const std::string& disk, wire::SnapshotChunk chunk) -> void;
    auto initializeBlankVoters(Microseconds now) -> void;
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

    // What the disk holds beside the log, or will once the newest write is done.
    std::string disk_;  // its identity
    std::int64_t epoch_ = 0;
    std::int64_t term_ = 0;
    std::string votedFor_;  // in this term; empty: nobody
    std::int64_t commitIndex_ = 0;
    Snapshot snapshot_;
    ReplicatedLog log_;
    WriteQueue writes_;
    std::int64_t lastSynced_ = 0;    // the last entry that is on this disk
    std::int64_t installWrite_ = 0;  // the write of a snapshot from elsewhere; 0 once it is on disk

    // The state machine.
    std::int64_t lastApplied_ = 0;
    bool appliedJoint_ = false;  // the newest applied configuration is a joint one
    ReplicatedState replicatedState_;
    ReplicatedState latestState_;

    // The configuration in force: the newest in the log, committed or not (4.1).
    VoterConfiguration configuration_;
    std::int64_t configurationIndex_ = 0;  // its entry
    std::vector<std::pair<std::string, std::string>> spareDisks_;
    std::vector<std::string> blankVoters_;
    Microseconds lastBlankVoterTry_ = 0;

    // Elections.
    std::string leaderDisk_;  // of this term; empty: not known
    Microseconds lastLeaderContact_ = 0;
    Microseconds electionDeadline_ = 0;
    Microseconds preVoteStart_ = 0;
    std::set<std::string> votes_;    // disks that granted this candidate their vote
    std::int64_t ownVoteWrite_ = 0;  // the write of this candidate's own vote; 0 once it counts

    // Of a leader.
    std::map<std::string, ReplicaProgress> progress_;  // by disk
    ReadIndexQueue reads_;
    std::int64_t firstIndexOfTerm_ = 0;
    std::int64_t heartbeatRound_ = 0;  // see ReadIndexQueue
    Microseconds leaderSince_ = 0;
    Microseconds lastQuorumContact_ = 0;
    Microseconds lastHeartbeat_ = 0;
    Microseconds transferDeadline_ = 0;  // until then nothing is appended

    // Snapshots under way; a follower too sends them, to blank voters.
    std::map<std::string, SnapshotSender> snapshotSenders_;  // by the receiver's disk
    SnapshotAssembly assembly_;
};

}  // namespace duneturn
