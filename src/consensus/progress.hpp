#pragma once
// The leader's view of another replica: which entries it holds, which are in flight to it and, for a
// learner, whether it keeps up with the log. The leader owns one ReplicaProgress per replica and term.
#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/time.hpp"
#include "wire_types.h"

namespace duneturn {

/// Decides whether a learner keeps up with the log (Ongaro 2014, 4.2.1). Replication to it is divided into
/// rounds; a round covers the entries that the leader's log held at its start. A learner has caught up once
/// a round ends within an election timeout.
class CatchUp {
  public:
    enum class Verdict {
        Undecided,
        CaughtUp,
        TooSlow,  // MAX_CATCH_UP_ROUNDS rounds took too long, or one exceeded CATCH_UP_ROUND_LIMIT
    };
    /// Evaluates the learner's match index against the leader's last log index.
    auto update(std::int64_t matchIndex, std::int64_t lastIndex, Microseconds now) -> Verdict;
    /// Whether the learner was found too slow less than LEARNER_RETRY_DELAY ago.
    [[nodiscard]] auto isPaused(Microseconds now) const -> bool { return now < retryAt_; }

  private:
    auto beginRound(std::int64_t lastIndex, Microseconds now) -> void;

    std::int64_t roundTarget_ = 0;  // the round ends when this index is replicated; 0: no round has begun
    Microseconds roundStart_ = 0;
    Microseconds retryAt_ = 0;
    int slowRounds_ = 0;  // rounds that ended after more than an election timeout
};

/// The state of replication to one replica.
class ReplicaProgress {
  public:
    /// The index of the next entry to send (Raft's nextIndex); 0 before start().
    [[nodiscard]] auto next() const -> std::int64_t { return next_; }
    /// The highest index up to which the replica is known to hold this log on disk (Raft's matchIndex).
    [[nodiscard]] auto match() const -> std::int64_t { return match_; }
    /// The latest heartbeat round that the replica has answered; see ReadIndexQueue.
    [[nodiscard]] auto confirmedRound() const -> std::int64_t { return confirmedRound_; }
    /// When the last message from the replica arrived; 0 if none has.
    [[nodiscard]] auto lastContact() const -> Microseconds { return lastContact_; }
    /// When the leader last sent, or tried to send, entries, a heartbeat or a snapshot to the replica.
    [[nodiscard]] auto lastSent() const -> Microseconds { return lastSent_; }
    /// Whether the replica has stated that it supports joint configurations.
    [[nodiscard]] auto supportsJoint() const -> bool { return supportsJoint_; }
    /// Whether the replica has stated that it supports entries of kind ENTRY_COMPACT.
    [[nodiscard]] auto supportsCompact() const -> bool { return supportsCompact_; }
    /// Whether the entry may be sent to the replica. A replica without support for joint configurations would
    /// go on counting the voters before the entry; one without support for compact commands would reject the
    /// entry and all that follow.
    [[nodiscard]] auto canRead(const wire::Entry& entry) const -> bool;
    /// Whether fewer than MAX_BATCHES_IN_FLIGHT batches are unanswered, so that another may be sent.
    [[nodiscard]] auto canSendBatch() const -> bool;

    /// Starts replication at index `next`, unless it has started already.
    auto start(std::int64_t next) -> void;
    auto recordSend(Microseconds now) -> void { lastSent_ = now; }
    auto recordContact(Microseconds now) -> void { lastContact_ = now; }
    /// Records contact, supported features and the heartbeat round of a reply of the current term.
    auto recordReply(const wire::AppendEntriesReply& reply, Microseconds now) -> void;
    /// Records that a batch of the entries from next() to `last` was sent.
    auto recordBatch(std::int64_t last, std::size_t bytes, Microseconds now) -> void;
    /// Records that the replica holds the log up to `match`. Batches beyond it stay in flight.
    auto acknowledge(std::int64_t match, Microseconds now) -> void;
    /// Moves next() back because the replica lacks the entry before a batch. Returns false, and changes
    /// nothing, if the reply is outdated: it does not concern the first batch in flight.
    auto reject(const wire::AppendEntriesReply& reply) -> bool;
    /// Gives up batches that are unanswered for longer than transmission over a slow link takes (see
    /// RETRY_BASE), so that they are sent again. Returns whether there were any.
    auto dropLostBatches(Microseconds now) -> bool;
    /// For learners only.
    auto catchUp() -> CatchUp& { return catchUp_; }

  private:
    struct Batch {
        std::int64_t first, last;  // log indices
        std::size_t bytes;
    };
    std::int64_t next_ = 0;
    std::int64_t match_ = 0;
    std::int64_t confirmedRound_ = 0;
    Microseconds lastContact_ = 0;
    Microseconds lastSent_ = 0;
    bool supportsJoint_ = false;
    bool supportsCompact_ = false;
    std::deque<Batch> inFlight_;  // sent and unanswered
    // When the first batch in flight was sent or, if later, when the match index last advanced.
    Microseconds progressAt_ = 0;
    CatchUp catchUp_;
};

}  // namespace duneturn
