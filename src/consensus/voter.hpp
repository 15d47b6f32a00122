#pragma once
// One member of the replicated log (Raft: Ongaro, "Consensus: Bridging Theory and Practice",
// 2014, with pre-vote, check-quorum, ReadIndex and leadership transfer). Logic only: the disk
// and the network are behind VoterPort, so that the simulator and the tests drive this code.
//
//   voter.cpp        construction, clock, dispatch of messages
//   log.cpp          entries, writes to disk, what waits for a write
//   election.cpp     pre-vote, votes, terms, leadership transfer
//   replication.cpp  appending, commit, reads, applying
//   membership.cpp   voters, replacement, founding and retiring
//   snapshot.cpp     compaction, installing a snapshot
//   transfer.cpp     sending a snapshot in chunks, and putting them together
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
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

struct VoterPort {
    virtual ~VoterPort() = default;
    virtual auto voterSend(const std::string& disk, wire::Envelope& e) -> void = 0;
    virtual auto voterWrite(const DiskWrite& w) -> void = 0;
    /// The state machine advanced to `w`, which this disk holds; `key` and `o` are set when the
    /// entry was a command.
    virtual auto voterApplied(const ReplicatedState& w, const std::string& key, const Outcome& o) -> void = 0;
    virtual auto voterRead(std::int64_t id, bool ok) -> void = 0;
};

struct RoleMachine;

class Voter {
  public:
    enum class Role { Blank, Follower, PreCandidate, Candidate, Leader };

    Voter(VoterPort& port, Counters& counters, std::uint64_t seed);
    ~Voter();

    /// Starts from what the disk holds; an empty state makes a blank voter with the identity `fresh`.
    auto start(const DiskState& state, const std::string& newDiskId, Microseconds now) -> void;
    auto tick(Microseconds now) -> void;
    auto handle(const wire::Envelope& message, Microseconds now) -> void;
    auto diskDone(std::int64_t sequence, bool ok, Microseconds now) -> void;
    /// Begins a new cluster with this state on this disk alone, leaving any earlier one; the
    /// other voters are told of it.
    auto bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void;
    /// Appends a command to the log; false unless this is the leader.
    auto propose(int kind, const std::string& body, Microseconds now) -> bool;
    /// Asks whether this is still the leader; answered through voterRead.
    auto read(std::int64_t id, Microseconds now) -> void;
    /// Spare disks that could take a seat (seat, disk).
    auto setSpareDisks(const std::vector<std::pair<std::string, std::string>>& spares) -> void {
        spares_ = spares;
    }
    /// Voters' disks that say they are blank.
    auto setBlankVoters(const std::vector<std::string>& disks) -> void { blankVoters_ = disks; }
    /// Transfers leadership to the voter that is furthest along; for a planned stop.
    auto transferLeadership(Microseconds now) -> bool;
    /// Leaves a cluster that never had a vote from this disk, or any if `force`.
    auto leaveCluster(bool force, Microseconds now) -> bool;
    /// A committed state of this cluster, of generation `gen`, names the voters without this disk.
    /// If that is behind all this log holds, the disk becomes a blank one, under the identity `fresh`.
    auto retire(std::int64_t version, const std::string& newDiskId, Microseconds now) -> bool;
    /// When this leader last heard of a disk; 0 if never.
    auto lastContact(const std::string& disk) const -> Microseconds;
    auto leadSince() const -> Microseconds { return leadSince_; }

    auto role() const -> Role;
    auto blank() const -> bool { return role() == Role::Blank; }
    auto leads() const -> bool { return role() == Role::Leader; }
    /// Leads, and has applied an entry of its own term.
    auto ready() const -> bool { return leads() && applied_ >= termStart_; }
    auto disk() const -> const std::string& { return disk_; }
    auto term() const -> std::int64_t { return term_; }
    auto epoch() const -> std::int64_t { return epoch_; }
    auto leader() const -> const std::string& { return leader_; }
    auto replicatedState() const -> const ReplicatedState& { return replicatedState_; }
    /// The state with everything that is in the log, committed or not.
    auto latestState() const -> const ReplicatedState& { return latestState_; }
    auto commit() const -> std::int64_t { return commit_; }
    /// The last index whose entry is in word().
    auto applied() const -> std::int64_t { return applied_; }
    auto last() const -> std::int64_t { return log_.last(); }
    auto quorumAt() const -> Microseconds { return quorumAt_; }
    auto diskBad() const -> bool { return writes_.isDiskBad(); }
    /// The newest set in the log, committed or not.
    auto voters() const -> const std::vector<VoterIdentity>& { return configuration_.voters(); }
    /// While a change is under way, the voters before it; their majority is needed too.
    auto outgoingVoters() const -> const std::vector<VoterIdentity>& { return configuration_.outgoing(); }
    auto joint() const -> bool { return configuration_.isJoint(); }
    auto logSize() const -> std::size_t { return log_.size(); }

    /// Deliberate faults for proving that oracles can fail; none is set outside tests.
    struct Broken {
        bool ackBeforeSync = false, voteTwice = false, noQuorum = false;
        bool newMajorityOnly = false;    // a joint configuration without its old majority
        bool truncateCommitted = false;  // committed entries give way to conflicting ones
        bool ackUnsavedTerm = false;     // after a failed write its term counts as saved
        bool commitOldTerm = false;      // an entry of an earlier term is committed by counting disks
        bool skipReadQuorum = false;     // a read is answered without a round of heartbeats
        bool changeBeforeNoop = false;   // voters change before an entry of the own term is committed
        bool truncateMatching = false;   // an append drops what stands behind it, though it matches
    };
    Broken broken;

  private:
    // voter.cpp
    auto envelope() const -> wire::Envelope;
    auto restartElectionTimer(Microseconds now) -> void;
    auto tickDisk(Microseconds now) -> void;
    auto tickLeader(Microseconds now) -> void;
    auto tickFollower(Microseconds now) -> void;

    // log.cpp
    auto write(DiskWrite write, Microseconds now) -> std::int64_t;
    auto writeIfUnsaved(Microseconds now) -> std::int64_t;
    auto sendAfter(std::int64_t sequence, const std::string& to, wire::Envelope envelope) -> void;
    auto writeFailed(const PendingWrite& write, Microseconds now) -> void;
    auto writeSucceeded(const PendingWrite& write, Microseconds now) -> void;
    auto rebuildHead() -> void;

    // election.cpp
    auto follow(Microseconds now) -> void;
    auto adoptTerm(std::int64_t term, Microseconds now) -> void;
    auto campaign(bool preVote, bool transferred, Microseconds now) -> void;
    auto becomeLeader(Microseconds now) -> void;
    auto hasVotes() const -> bool;
    auto logIsCurrent(const wire::RequestVote& ask) const -> bool;
    auto hearsLeader(Microseconds now) const -> bool;
    auto onPreVoteAsk(const std::string& from, const wire::RequestVote& ask, Microseconds now) -> void;
    auto onVoteAsk(const std::string& from, const wire::RequestVote& ask, Microseconds now) -> void;
    auto onVoteReply(const std::string& from, const wire::RequestVoteReply& reply, Microseconds now) -> void;
    auto onTakeOver(const std::string& from, const wire::TimeoutNow& message, Microseconds now) -> void;
    auto candidateMayCount(const wire::RequestVote& ask) const -> bool;

    // replication.cpp
    auto append(int kind, const std::string& body, Microseconds now) -> void;
    auto sendAppend(const std::string& disk, Microseconds now) -> void;
    auto sendBatch(const std::string& disk, ReplicaProgress& progress, Microseconds now) -> void;
    auto sendAppends(Microseconds now) -> void;
    auto advanceCommit(Microseconds now) -> void;
    auto answerReads() -> void;
    auto applyUpTo(std::int64_t index, Microseconds now) -> void;
    auto applyEntry(const wire::Entry& e) -> void;
    auto onAppendAsk(const std::string& from, const wire::AppendEntries& ask, Microseconds now) -> void;
    auto wellFormed(const wire::AppendEntries& ask) const -> bool;
    auto contradictsCommitted(const wire::AppendEntries& ask) const -> bool;
    auto refuse(const char* counter, const std::string& from) -> void;
    auto storeEntries(const wire::AppendEntries& ask) -> DiskWrite;
    auto onAppendReply(const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now)
        -> void;

    // membership.cpp
    auto refreshConfiguration() -> void;
    auto isVoter(const std::string& disk) const -> bool { return configuration_.isVoter(disk); }
    auto hasMajority(const std::function<bool(const std::string& disk)>& holds) const -> bool {
        return configuration_.hasMajority(holds, quorumFaults());
    }
    auto quorumFaults() const -> QuorumFaults { return {broken.noQuorum, broken.newMajorityOnly}; }
    auto changeVoters(Microseconds now) -> void;
    auto removeReplaced(Microseconds now) -> bool;
    auto addLearner(Microseconds now) -> void;
    auto caughtUp(ReplicaProgress& progress, Microseconds now) -> bool;
    auto beginChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool;

    // snapshot.cpp
    auto compactionDue() const -> bool;
    auto compact(Microseconds now) -> void;
    auto lacks(std::int64_t index, std::int64_t term) const -> bool;
    auto onSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
        Microseconds now) -> void;
    auto checkSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
        ReplicatedState& state) -> bool;
    auto hearSender(std::int64_t term, Microseconds now) -> void;
    auto answerInstalled(const std::string& to, const wire::InstallSnapshot& snapshot, Microseconds now)
        -> void;
    auto installSnapshot(
        const wire::InstallSnapshot& snapshot, const ReplicatedState& state, Microseconds now) -> void;

    // transfer.cpp
    auto sendSnapshot(const std::string& disk, Microseconds now) -> void;
    auto sendWholeSnapshot(const std::string& disk) -> void;
    auto sendChunk(const std::string& disk, wire::SnapshotChunk chunk) -> void;
    auto initializeBlankVoters(Microseconds now) -> void;
    auto onChunk(const wire::Envelope& message, Microseconds now) -> void;
    auto answerChunk(const wire::Envelope& message, std::size_t received, bool refused) -> void;
    auto assemble(const wire::Envelope& message, Microseconds now) -> void;
    auto onChunkReply(const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now)
        -> void;
    auto endTransfer(const std::string& disk, std::int64_t match) -> void;

    VoterPort& port_;
    Counters& counters_;
    Rng rng_;
    std::unique_ptr<RoleMachine> role_;
    std::string disk_, vote_, leader_;
    std::int64_t epoch_ = 0, term_ = 0, commit_ = 0, applied_ = 0;
    Snapshot snapshot_;
    std::int64_t synced_ = 0;              // the last entry that this disk holds
    std::int64_t termStart_ = 0;           // this leader's first entry
    std::int64_t installSeq_ = 0;          // the write of a snapshot that was not reported yet
    std::int64_t voteSeq_ = 0;             // the write of this candidate's own vote
    std::int64_t configurationIndex_ = 0;  // the entry of the configuration in force
    bool appliedJoint_ = false;            // the newest applied configuration is a joint one
    std::int64_t round_ = 0;
    ReplicatedLog log_;
    std::map<std::string, SnapshotSender> snapshotSenders_;  // by the receiver's disk
    SnapshotAssembly assembly_;
    std::map<std::string, ReplicaProgress> progress_;  // of a leader, by disk
    std::set<std::string> votes_;
    std::vector<std::string> blankVoters_;
    std::vector<std::pair<std::string, std::string>> spares_;
    Configuration configuration_;  // the newest in the log, committed or not
    ReplicatedState replicatedState_, latestState_;
    Microseconds preVoteAt_ = 0, leadSince_ = 0, electionDue_ = 0, heardLeader_ = 0, quorumAt_ = 0,
                 heartbeatAt_ = 0, toldAt_ = 0, transferDue_ = 0;
    WriteQueue writes_;
    ReadIndexQueue reads_;
};

}  // namespace duneturn
