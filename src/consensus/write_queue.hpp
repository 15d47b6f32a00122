#pragma once
// The writes that a voter has issued to its disk and that are not reported yet, and the messages that must
// wait for them. Raft's safety depends on this order: a message must not rely on a term, a vote, an entry or
// a snapshot that a power failure could still undo (Ongaro 2014, 3.8).
//
// When a write fails, all writes issued after it fail too (see DiskWriteFence), since their entries would
// follow entries that are missing. A reset, a truncation or a snapshot of the failed writes is carried over
// to the next write.
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "consensus/disk.hpp"
#include "wire_types.h"

namespace duneturn {

/// A write that the disk has not reported yet, with what is known to be durable once it succeeds.
struct PendingWrite {
    std::int64_t sequence = 0;
    std::int64_t writeEpoch = 0;  // see DiskWrite
    std::int64_t term = 0;
    std::int64_t commit = 0;
    std::int64_t lastIndex = 0;  // the last entry of the log at the time of the write
    std::int64_t lastTerm = 0;   // the term of that entry
    Microseconds issuedAt = 0;
    bool reset = false;
    bool hasSnapshot = false;
};

/// A message that may be sent only after a write is durable.
struct DeferredMessage {
    std::int64_t sequence = 0;  // of the write
    std::string toDisk;
    wire::Envelope envelope;
};

/// Numbers the writes of one voter, defers the messages that depend on them, and tracks whether the disk
/// works. It performs no I/O: its owner passes the writes to the disk and sends the messages.
class WriteQueue {
  public:
    /// Queues a write whose `meta` is set. Returns it with its sequence number and with what was carried
    /// over from failed writes.
    /// @param lastIndex, lastTerm the end of the log including this write.
    /// @param snapshotDocument the document of the snapshot that `meta` names.
    [[nodiscard]] auto issue(DiskWrite write, std::int64_t lastIndex, std::int64_t lastTerm,
        const std::string& snapshotDocument, Microseconds now) -> DiskWrite;
    /// The sequence number of the newest write.
    [[nodiscard]] auto newest() const -> std::int64_t { return sequence_; }
    /// Whether the newest write lacks this term or vote, or something is still to be carried over.
    [[nodiscard]] auto isUnsaved(std::int64_t term, const std::string& vote) const -> bool;
    /// Makes the next write also remove the entries from `index` on.
    auto truncateWithNextWrite(std::int64_t index) -> void { truncateFrom_ = index; }

    /// Removes a reported write, and all before it, from the queue; none if it was not in the queue.
    [[nodiscard]] auto complete(std::int64_t sequence) -> std::optional<PendingWrite>;
    /// Records that a completed write succeeded. Returns whether the disk was faulty and works again.
    [[nodiscard]] auto recordSuccess() -> bool;
    /// Records that a completed write failed, drops all deferred messages and marks the disk as faulty.
    /// Returns false, and changes nothing, if the write failed only as a consequence of an earlier failure.
    /// `forgetTerm`: whether the term and vote count as unsaved; false only for a fault that tests inject.
    [[nodiscard]] auto recordFailure(const PendingWrite& write, bool forgetTerm, Microseconds now) -> bool;
    /// Whether the disk has failed or stalled and has not worked since.
    [[nodiscard]] auto isDiskFaulty() const -> bool { return diskFaulty_; }
    /// Marks the disk as faulty if the oldest write is outstanding for longer than DISK_STALL_TIMEOUT.
    /// Returns whether this call did so.
    [[nodiscard]] auto detectStall(Microseconds now) -> bool;
    /// Whether a write should now test if a faulty disk works again. If so, the next test is due
    /// DISK_PROBE_INTERVAL later.
    [[nodiscard]] auto takeDueProbe(Microseconds now) -> bool;

    /// Whether the write with this number was reported.
    [[nodiscard]] auto isDone(std::int64_t sequence) const -> bool;
    /// Keeps a message until the write `message.sequence` is durable.
    auto defer(DeferredMessage message) -> void { deferred_.push_back(std::move(message)); }
    /// Removes and returns the messages that waited for writes up to `sequence`, in their order.
    [[nodiscard]] auto takeReleased(std::int64_t sequence) -> std::vector<DeferredMessage>;
    /// Drops all deferred messages, whose content is no longer valid.
    auto dropDeferred() -> void { deferred_.clear(); }

  private:
    auto carryOver(const PendingWrite& write) -> void;

    std::int64_t sequence_ = 0;
    std::int64_t writeEpoch_ = 0;
    // Term and vote of the newest write; the term is -1 after a failure.
    std::int64_t writtenTerm_ = -1;
    std::string writtenVote_;
    // What the next write must repeat of failed ones.
    bool carriesReset_ = false;
    bool carriesSnapshot_ = false;
    std::int64_t truncateFrom_ = -1;  // -1: nothing to truncate
    bool diskFaulty_ = false;
    Microseconds probeAt_ = 0;
    std::deque<PendingWrite> pending_;
    std::deque<DeferredMessage> deferred_;
};

}  // namespace duneturn
