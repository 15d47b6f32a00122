#pragma once
// What a leader knows of another replica: which entries it has, which are on their way to it, and, while
// it is a learner, whether it keeps up. One object for each replica and term, owned by the leader.
#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/time.hpp"
#include "wire_types.h"

namespace duneturn {

/// Whether a learner keeps up with the changes (Ongaro 2014, 4.2.1): replication to it goes in rounds, each
/// of what the log held at its start. A round that ends within an election timeout shows that it does.
class CatchUp {
  public:
    enum class Verdict {
        Undecided,
        CaughtUp,
        TooSlow,  // MAX_CATCH_UP_ROUNDS rounds were too long, or one took CATCH_UP_ROUND_LIMIT
    };
    /// Takes note of the learner's match index and of the leader's last one.
    auto update(std::int64_t match, std::int64_t last, Microseconds now) -> Verdict;
    /// Whether the learner was found too slow, less than LEARNER_RETRY ago.
    [[nodiscard]] auto isPaused(Microseconds now) const -> bool { return now < retryAt_; }

  private:
    auto beginRound(std::int64_t last, Microseconds now) -> void;

    std::int64_t roundTarget_ = 0;  // the current round ends when this entry is replicated; 0: none began
    Microseconds roundStart_ = 0;
    Microseconds retryAt_ = 0;
    int rounds_ = 0;  // that ended too late
};

/// The state of replication to one replica.
class ReplicaProgress {
  public:
    /// The index of the next entry to send; 0 before start().
    [[nodiscard]] auto next() const -> std::int64_t { return next_; }
    /// The highest index up to which the replica's disk is known to hold this log.
    [[nodiscard]] auto match() const -> std::int64_t { return match_; }
    /// The newest round of heartbeats that the replica answered (ReadIndex).
    [[nodiscard]] auto confirmedRound() const -> std::int64_t { return confirmedRound_; }
    /// When the replica was last heard from; 0 if never.
    [[nodiscard]] auto lastContact() const -> Microseconds { return lastContact_; }
    /// When something was sent to it last.
    [[nodiscard]] auto lastSent() const -> Microseconds { return lastSent_; }
    /// Whether it has stated that it reads joint configurations.
    [[nodiscard]] auto knowsJoint() const -> bool { return knowsJoint_; }
    /// Whether it has stated that it reads entries of kind ENTRY_COMPACT.
    [[nodiscard]] auto knowsCompact() const -> bool { return knowsCompact_; }
    /// Whether it may be sent this entry: one that reads no joint configuration would go on by the voters
    /// before it, and a compact command would be refused with all that follows.
    [[nodiscard]] auto reads(const wire::Entry& entry) const -> bool;
    /// Whether another batch may be sent before one is answered.
    [[nodiscard]] auto hasRoom() const -> bool;

    /// Replication begins at this index, unless it has begun.
    auto start(std::int64_t next) -> void;
    auto noteSent(Microseconds now) -> void { lastSent_ = now; }
    auto noteContact(Microseconds now) -> void { lastContact_ = now; }
    /// The replica answered in this term.
    auto noteReply(const wire::AppendEntriesReply& reply, Microseconds now) -> void;
    /// A batch of entries from next() to `last` leaves.
    auto batchSent(std::int64_t last, std::size_t bytes, Microseconds now) -> void;
    /// The replica holds the log up to `match`; later batches stay in flight.
    auto acknowledge(std::int64_t match, Microseconds now) -> void;
    /// The replica lacks the entry before a batch; false if that batch is not the first in flight, so that
    /// the answer is an old one.
    auto reject(const wire::AppendEntriesReply& reply) -> bool;
    /// Gives up batches that are unanswered for longer than a slow link needs; whether there were any.
    auto dropLostBatches(Microseconds now) -> bool;
    /// See CatchUp; only for learners.
    auto catchUp() -> CatchUp& { return catchUp_; }

  private:
    struct Batch {
        std::int64_t first, last;  // indices
        std::size_t bytes;
    };
    std::int64_t next_ = 0;
    std::int64_t match_ = 0;
    std::int64_t confirmedRound_ = 0;
    Microseconds lastContact_ = 0;
    Microseconds lastSent_ = 0;
    bool knowsJoint_ = false;
    bool knowsCompact_ = false;
    std::deque<Batch> inFlight_;  // sent and not answered
    // When the first of them was sent, or one was answered.
    Microseconds progressAt_ = 0;
    CatchUp catchUp_;
};

}  // namespace duneturn
