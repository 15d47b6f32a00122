#pragma once
// Transfer of a snapshot to another replica (InstallSnapshot; Ongaro 2014, 5.3). The document is sent in
// chunks with a few in flight, and the transfer resumes after a loss.
//
// The receiver answers each chunk with the offset that it expects next. Partially received data is
// identified by index, term and digest, so a transfer continues at the same offset under a new leader: its
// snapshot of the same entry is the same document.
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "consensus/snapshot.hpp"
#include "wire_types.h"

namespace duneturn {

/// Whether the chunk's index, term, size and offset are consistent and its checksum matches.
[[nodiscard]] auto isValidChunk(const wire::SnapshotChunk& chunk) -> bool;

/// The transfer of snapshots to one replica, one snapshot at a time. Owned by the sending voter; the
/// document is shared with it.
class OutgoingSnapshot {
  public:
    /// What a reply from the receiver means.
    enum class Reply {
        OtherSnapshot,  // concerns a snapshot other than the current one
        Malformed,      // names an offset beyond the end of the document
        Duplicate,      // reports a loss that was already answered
        Continue,       // further chunks can be sent
        Complete,       // the receiver has the complete document
    };
    enum class Retry {
        None,
        Resend,
        ResendWhole,  // the receiver has answered no chunk: it may support InstallSnapshot only
    };

    /// Whether a transfer is under way that can continue: the log, whose base is `logBase`, still has all
    /// entries after its snapshot.
    [[nodiscard]] auto isUsable(std::int64_t logBase) const -> bool;
    /// Starts the transfer of another snapshot.
    auto begin(const Snapshot& snapshot, Microseconds now) -> void;
    /// Marks chunks that are unanswered for too long as unsent, so that nextChunk() returns them again.
    [[nodiscard]] auto retry(Microseconds now) -> Retry;
    /// The next chunk to send, without term and round; none while enough chunks are in flight.
    [[nodiscard]] auto nextChunk() -> std::optional<wire::SnapshotChunk>;
    [[nodiscard]] auto onReply(const wire::SnapshotChunkReply& reply, Microseconds now) -> Reply;
    /// The index of the last entry that the snapshot includes.
    [[nodiscard]] auto index() const -> std::int64_t { return index_; }

  private:
    std::int64_t index_ = 0;
    std::int64_t term_ = 0;
    std::int64_t digest_ = 0;
    std::shared_ptr<const std::string> document_;
    std::size_t acknowledged_ = 0;  // bytes
    std::size_t sent_ = 0;          // bytes
    Microseconds progressAt_ = 0;   // when more bytes were last acknowledged, or chunks were sent again
    int retries_ = 0;               // retries since more bytes were last acknowledged
    bool supportsChunks_ = false;   // the receiver has answered a chunk
};

/// Assembles a snapshot from its chunks, one snapshot at a time.
class IncomingSnapshot {
  public:
    enum class State {
        OutOfOrder,   // a chunk before this one is missing
        Incomplete,   // further chunks are expected
        DigestWrong,  // all chunks arrived, but the document does not match the announced digest
        Complete,
    };
    struct Result {
        State state = State::Incomplete;
        std::size_t received = 0;  // the offset expected next
        std::string document;      // the snapshot, if complete
    };
    /// Adds a chunk for the cluster with this epoch. The chunk must pass isValidChunk(). A chunk of another
    /// snapshot at offset 0 discards what was received so far.
    [[nodiscard]] auto addChunk(std::int64_t epoch, const wire::SnapshotChunk& chunk) -> Result;

  private:
    [[nodiscard]] auto isSameSnapshot(std::int64_t epoch, const wire::SnapshotChunk& chunk) const -> bool;

    std::int64_t epoch_ = 0;
    std::int64_t index_ = 0;
    std::int64_t term_ = 0;
    std::int64_t size_ = 0;
    std::int64_t digest_ = 0;
    std::string data_;
};

}  // namespace duneturn
