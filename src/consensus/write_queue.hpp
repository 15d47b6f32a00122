#pragma once
// The writes that a voter has given to its disk and that are not reported yet, and the messages that must
// not leave before a write is on disk. Raft's safety rests on that order: no answer is given on a term, a
// vote, an entry or a snapshot that a loss of power could take back (Ongaro 2014, 3.8).
//
// A failed write takes all writes behind it with it (see DiskWriteFence), since their entries would follow
// entries that are missing. What they were to bring beside entries is owed, and comes with the next write.
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "consensus/disk.hpp"
#include "wire_types.h"

namespace duneturn {

/// A write that the disk has not reported yet: what is known to be on disk once it has.
struct PendingWrite {
    std::int64_t sequence = 0;
    std::int64_t writeEpoch = 0;  // see DiskWrite
    std::int64_t term = 0;
    std::int64_t commit = 0;
    std::int64_t lastIndex = 0;  // of the log, and the term of that entry
    std::int64_t lastTerm = 0;
    Microseconds issuedAt = 0;
    bool reset = false;
    bool hasSnapshot = false;
};

/// A message that may leave only when a write is on disk.
struct DeferredMessage {
    std::int64_t sequence = 0;  // of the write
    std::string toDisk;
    wire::Envelope envelope;
};

/// Numbers the writes of one voter, keeps what depends on them, and knows whether the disk works. It
/// performs nothing itself: its owner passes the writes on and sends the messages.
class WriteQueue {
  public:
    /// Completes a write, whose `meta` is set, by its numbers and by what is owed, and queues it.
    /// `last`, `lastTerm`: the end of the log with this write; `snapshotDocument`: of meta's snapshot.
    [[nodiscard]] auto issue(DiskWrite write, std::int64_t last, std::int64_t lastTerm,
        const std::string& snapshotDocument, Microseconds now) -> DiskWrite;
    /// The sequence number of the newest write.
    [[nodiscard]] auto newest() const -> std::int64_t { return sequence_; }
    /// Whether the newest write lacks this term or vote, or something that is owed.
    [[nodiscard]] auto isUnsaved(std::int64_t term, const std::string& vote) const -> bool;
    /// The next write drops the entries from `index` on, beside what it does itself.
    auto truncateWithNextWrite(std::int64_t index) -> void { truncateFrom_ = index; }

    /// Takes a reported write out of the queue; none if it was not in it any more.
    [[nodiscard]] auto complete(std::int64_t sequence) -> std::optional<PendingWrite>;
    /// Takes note of a completed write that succeeded. True if the disk was bad and works again.
    [[nodiscard]] auto noteSuccess() -> bool;
    /// Takes note of one that failed, drops all deferred messages, and makes the disk bad. False if it was
    /// only one of those behind an earlier failure, so that nothing is new.
    /// `forgetTerm`: the term and vote count as unsaved (always, but for a test's fault).
    [[nodiscard]] auto noteFailure(const PendingWrite& write, bool forgetTerm, Microseconds now) -> bool;

    /// Whether the disk has failed or stalled, and has not worked since.
    [[nodiscard]] auto isDiskBad() const -> bool { return diskBad_; }
    /// Whether the oldest write has become overdue; if so, the disk is bad from now on.
    [[nodiscard]] auto detectStall(Microseconds now) -> bool;
    /// Whether a bad disk is to be tried again; if so, not before DISK_PROBE_INTERVAL from now again.
    [[nodiscard]] auto takeProbe(Microseconds now) -> bool;

    /// Whether the write of this number was reported.
    [[nodiscard]] auto isDone(std::int64_t sequence) const -> bool;
    /// Keeps a message until the write `sequence` is on disk.
    auto defer(DeferredMessage message) -> void { deferred_.push_back(std::move(message)); }
    /// Takes the messages that waited for writes up to `sequence`, in their order.
    [[nodiscard]] auto takeReleased(std::int64_t sequence) -> std::vector<DeferredMessage>;
    /// Drops all messages that wait; what they promise holds no more.
    auto dropDeferred() -> void { deferred_.clear(); }

  private:
    auto owe(const PendingWrite& write) -> void;

    std::int64_t sequence_ = 0;
    std::int64_t writeEpoch_ = 0;
    // The term and vote of the newest write; -1 after a failure.
    std::int64_t writtenTerm_ = -1;
    std::string writtenVote_;
    // Parts of failed writes, for the next one.
    bool owesReset_ = false;
    bool owesSnapshot_ = false;
    std::int64_t truncateFrom_ = -1;  // -1: nothing
    bool diskBad_ = false;
    Microseconds probeAt_ = 0;
    std::deque<PendingWrite> pending_;
    std::deque<DeferredMessage> deferred_;
};

}  // namespace duneturn
