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
#include "consensus/disk.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// The kinds of log entries, as stored and sent; never renumbered.
enum EntryKind : std::int32_t {
    ENTRY_NOOP = 0,    // a new leader's first
    ENTRY_ORDER = 1,   // a command of the replicated state
    ENTRY_VOTERS = 2,  // the voters from here on
    ENTRY_JOINT = 3,   // the voters before and after a change, of which both majorities count
};

constexpr Microseconds HEARTBEAT_INTERVAL = 100 * MILLISECOND;
constexpr Microseconds ELECTION_TIMEOUT =
    600 * MILLISECOND;  // the shortest; a draw of as much again is added
constexpr Microseconds QUORUM_TIMEOUT =
    1 * SECOND;  // a leader that hears no majority for this long steps down
constexpr Microseconds WRITE_STALLED = 1 * SECOND;  // a write outstanding for this long makes a disk bad
constexpr Microseconds DISK_PROBE_INTERVAL = 1 * SECOND;
constexpr Microseconds BLANK_VOTER_INTERVAL =
    300 * MILLISECOND;                             // between two tries to initialize a blank voter
constexpr std::int64_t COMPACTION_ENTRIES = 256;   // applied entries before a snapshot is taken
constexpr std::size_t COMPACTION_BYTES = 1 << 20;  // or their bytes, if the snapshot is not larger
constexpr std::int64_t TAIL_ENTRIES = 256;         // kept in memory behind a snapshot, for members
constexpr std::size_t TAIL_BYTES = 1 << 20;        // that are slightly behind
constexpr std::size_t BATCH_ENTRIES = 64;
constexpr std::size_t BATCH_BYTES = 64 * 1024;    // one entry may be larger
constexpr std::size_t MAX_BATCHES_IN_FLIGHT = 2;  // to one member
constexpr std::size_t CHUNK_BYTES = 64 * 1024;    // of a snapshot
constexpr std::size_t MAX_CHUNKS_IN_FLIGHT = 4;   // to one member
constexpr std::size_t MAX_SNAPSHOT_BYTES = 32 << 20;
constexpr Microseconds RETRY_BASE = 400 * MILLISECOND;  // what is unanswered for this long, and for
constexpr Microseconds RETRY_PER_BYTE = 4;              // its bytes at 2 Mbit/s, counts as lost
constexpr int MAX_CATCH_UP_ROUNDS = 10;                 // of a learner, see addLearner()
constexpr Microseconds LEARNER_RETRY = 5 * SECOND;      // after a learner that was too slow
constexpr std::size_t MIN_VOTERS = 3;                   // a smaller set of voters is filled up

struct VoterPort {
    virtual ~VoterPort() = default;
    virtual auto voterSend(const std::string& disk, wire::Envelope& e) -> void = 0;
    virtual auto voterWrite(const DiskWrite& w) -> void = 0;
    /// The state machine advanced to `w`, which this disk holds; `key` and `o` are set when the
    /// entry was a command.
    virtual auto voterApplied(const ReplicatedState& w, const std::string& key, const Outcome& o) -> void = 0;
    virtual auto voterRead(std::int64_t id, bool ok) -> void = 0;
};

/// Whether this program can read an entry; one that it can't is not taken into the log.
auto entryKnown(const wire::Entry& e) -> bool;

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
    auto diskDone(std::int64_t seq, bool ok, Microseconds now) -> void;
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
    auto last() const -> std::int64_t { return logBase_ + std::int64_t(log_.size()); }
    auto quorumAt() const -> Microseconds { return quorumAt_; }
    auto diskBad() const -> bool { return diskBad_; }
    /// The newest set in the log, committed or not.
    auto voters() const -> const std::vector<VoterIdentity>& { return voters_; }
    /// While a change is under way, the voters before it; their majority is needed too.
    auto outgoingVoters() const -> const std::vector<VoterIdentity>& { return outgoing_; }
    auto joint() const -> bool { return !outgoing_.empty(); }
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
    /// What the leader knows of another member.
    struct Peer {
        std::int64_t next = 0, match = 0, round = 0;
        Microseconds heard = 0, sent = 0;
        struct Batch {
            std::int64_t first, last;
            std::size_t bytes;
        };
        std::deque<Batch> inFlight;   // entries that were sent and not answered
        Microseconds progressAt = 0;  // when the first of them was sent, or one was answered
        bool knowsJoint = false;      // said that it reads joint configurations
        // A learner's current round: it ends when what the log held at its start is replicated.
        std::int64_t roundTarget = 0;
        Microseconds roundStart = 0, retryAt = 0;
        int rounds = 0;
    };
    struct PendingWrite {
        std::int64_t seq, last, lastTerm, commit, writeEpoch, term;
        Microseconds at;
        bool reset, hasSnapshot;
    };
    /// A message that may leave only when a write is on disk.
    struct DeferredMessage {
        std::int64_t seq;
        std::string to;
        wire::Envelope envelope;
    };
    /// A snapshot on its way to another member.
    struct SnapshotTransfer {
        std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0, digest = 0;
        std::shared_ptr<const std::string> document;
        std::size_t acked = 0, sent = 0;  // bytes
        Microseconds progressAt = 0;
        int stalls = 0;            // retries since the last progress
        bool readsChunks = false;  // the receiver has answered a chunk
    };
    /// The part of a snapshot that has come here.
    struct SnapshotAssembly {
        std::int64_t epoch = 0, lastIncludedIndex = 0, lastIncludedTerm = 0, size = 0, digest = 0;
        std::string data;
    };
    struct PendingRead {
        std::int64_t id, round, commit;
    };

    // voter.cpp
    auto envelope() const -> wire::Envelope;
    auto restartElectionTimer(Microseconds now) -> void;
    auto tickDisk(Microseconds now) -> void;
    auto tickLeader(Microseconds now) -> void;
    auto tickFollower(Microseconds now) -> void;

    // log.cpp
    auto termAt(std::int64_t index) const -> std::int64_t;
    auto at(std::int64_t index) const -> const wire::Entry& {
        return log_[std::size_t(index - logBase_ - 1)];
    }
    auto write(DiskWrite w, Microseconds now) -> std::int64_t;
    auto writeIfUnsaved(Microseconds now) -> std::int64_t;
    auto unsaved() const -> bool;
    auto owe(const PendingWrite& w) -> void;
    auto sendAfter(std::int64_t seq, const std::string& to, wire::Envelope e) -> void;
    auto writeFailed(const PendingWrite& w, Microseconds now) -> void;
    auto writeSucceeded(const PendingWrite& w, Microseconds now) -> void;
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
    auto sendBatch(const std::string& disk, Peer& peer) -> void;
    auto dropLostBatches(Peer& peer, Microseconds now) -> void;
    auto onRejected(
        const std::string& from, Peer& peer, const wire::AppendEntriesReply& reply, Microseconds now) -> void;
    auto sendAppends(Microseconds now) -> void;
    auto advanceCommit(Microseconds now) -> void;
    auto majorityMatch(const std::vector<VoterIdentity>& voters) const -> std::int64_t;
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
    auto refreshVoters() -> void;
    auto isVoter(const std::string& disk) const -> bool;
    auto majority(const std::function<bool(const std::string&)>& has) const -> bool;
    auto members() const -> std::vector<std::string>;
    auto changeVoters(Microseconds now) -> void;
    auto removeReplaced(Microseconds now) -> bool;
    auto addLearner(Microseconds now) -> void;
    auto caughtUp(Peer& peer, Microseconds now) -> bool;
    auto beginChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool;

    // snapshot.cpp
    auto compactionDue() const -> bool;
    auto compact(Microseconds now) -> void;
    auto trimTail() -> void;
    auto setLogBase(std::int64_t index, std::int64_t term) -> void;
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
    auto sendChunk(const std::string& disk, SnapshotTransfer& transfer) -> void;
    auto retryTransfer(const std::string& disk, SnapshotTransfer& transfer, Microseconds now) -> void;
    auto initializeBlankVoters(Microseconds now) -> void;
    auto onChunk(const wire::Envelope& message, Microseconds now) -> void;
    auto chunkSound(const wire::SnapshotChunk& chunk) const -> bool;
    auto answerChunk(const wire::Envelope& message, std::size_t received, bool refused) -> void;
    auto assemble(const wire::Envelope& message, Microseconds now) -> void;
    auto onChunkReply(const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now)
        -> void;
    auto endTransfer(const std::string& disk, std::int64_t match) -> void;

    VoterPort& port_;
    Counters& counters_;
    RandomSource rng_;
    std::unique_ptr<RoleMachine> role_;
    std::string disk_, vote_, leader_;
    std::shared_ptr<const std::string> snapshotDocument_ = std::make_shared<const std::string>();
    std::int64_t epoch_ = 0, term_ = 0, commit_ = 0, applied_ = 0, snapshotIndex_ = 0, snapshotTerm_ = 0;
    std::int64_t synced_ = 0;              // the last entry that this disk holds
    std::int64_t termStart_ = 0;           // this leader's first entry
    std::int64_t installSeq_ = 0;          // the write of a snapshot that was not reported yet
    std::int64_t cutNext_ = -1;            // the next write drops the entries from here on
    std::int64_t writeEpoch_ = 0;          // see DiskWrite::epoch
    std::int64_t writtenTerm_ = -1;        // the term and vote of the newest write
    std::int64_t voteSeq_ = 0;             // the write of this candidate's own vote
    std::int64_t configurationIndex_ = 0;  // the entry of the voters in force
    std::string writtenVote_;
    bool owedReset_ = false, owedSnap_ = false;  // parts of failed writes, for the next one
    bool appliedJoint_ = false;                  // the newest applied configuration is a joint one
    std::int64_t seq_ = 0, round_ = 0;
    std::int64_t logBase_ = 0, logBaseTerm_ = 0;  // the entry before the first in log_
    std::vector<wire::Entry> log_;
    std::map<std::string, SnapshotTransfer> transfers_;
    SnapshotAssembly assembly_;
    std::map<std::string, Peer> peers_;
    std::set<std::string> votes_;
    std::vector<std::string> blankVoters_;
    std::vector<std::pair<std::string, std::string>> spares_;
    std::vector<VoterIdentity> voters_, outgoing_, snapshotVoters_;
    ReplicatedState replicatedState_, latestState_;
    Microseconds preVoteAt_ = 0, leadSince_ = 0, electionDue_ = 0, heardLeader_ = 0, quorumAt_ = 0,
                 heartbeatAt_ = 0, toldAt_ = 0, transferDue_ = 0, probeAt_ = 0;
    std::deque<PendingWrite> pendingWrites_;
    std::deque<DeferredMessage> deferred_;
    std::vector<PendingRead> reads_;
    bool diskBad_ = false;
};

}  // namespace duneturn
