#pragma once
// A snapshot on its way to another replica: numbered chunks, a few in flight, resumed after a loss
// (InstallSnapshot; Ongaro 2014, 5.3).
//
// The receiver answers each chunk with the offset that it expects next. What it has is known by
// index, term and digest, so that it goes on where it was also under another leader, whose snapshot
// of the same entry is the same document.
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "consensus/snapshot.hpp"
#include "wire_types.h"

namespace duneturn {

/// Whether a chunk's numbers are possible and its checksum matches.
[[nodiscard]] auto isSoundChunk(const wire::SnapshotChunk& chunk) -> bool;

/// One snapshot that is sent to one replica. Owned by the voter that sends; the document is shared.
class SnapshotSender {
  public:
    /// What a reply from the receiver means.
    enum class Reply {
        OtherSnapshot,  // about a snapshot that is not the one under way
        Malformed,      // names an offset beyond the end
        Duplicate,      // a loss that was answered for already
        Continue,       // more can be sent
        Complete,       // the receiver has all of it
    };
    enum class Retry {
        None,
        Resend,
        ResendWhole,  // the receiver has answered no chunk: it may know InstallSnapshot only
    };

    /// Whether a snapshot is under way behind which the log is still held, its base being `logBase`.
    [[nodiscard]] auto isUsable(std::int64_t logBase) const -> bool;
    /// Begins with another snapshot.
    auto begin(const Snapshot& snapshot, Microseconds now) -> void;
    /// What was sent and is unanswered for too long is sent again.
    [[nodiscard]] auto retry(Microseconds now) -> Retry;
    /// The next chunk that may leave, but for its term and round; none while enough are in flight.
    [[nodiscard]] auto nextChunk() -> std::optional<wire::SnapshotChunk>;
    [[nodiscard]] auto onReply(const wire::SnapshotChunkReply& reply, Microseconds now) -> Reply;
    /// The last entry that the snapshot includes.
    [[nodiscard]] auto index() const -> std::int64_t { return index_; }

  private:
    std::int64_t index_ = 0;
    std::int64_t term_ = 0;
    std::int64_t digest_ = 0;
    std::shared_ptr<const std::string> document_;
    std::size_t acknowledged_ = 0;  // bytes
    std::size_t sent_ = 0;          // bytes
    Microseconds progressAt_ = 0;   // when more was acknowledged last, or sent again
    int stalls_ = 0;                // retries since the last progress
    bool readsChunks_ = false;      // the receiver has answered a chunk
};

/// Puts the chunks of a snapshot together; one snapshot at a time.
class SnapshotAssembly {
  public:
    enum class State {
        OutOfOrder,   // a chunk before this one is missing
        Incomplete,   // more chunks are expected
        DigestWrong,  // all chunks came, and are not the document that was announced
        Complete,
    };
    struct Result {
        State state = State::Incomplete;
        std::size_t received = 0;  // the offset that is expected next
        std::string document;      // if complete
    };
    /// Takes a sound chunk of a cluster's epoch.
    [[nodiscard]] auto take(std::int64_t epoch, const wire::SnapshotChunk& chunk) -> Result;

  private:
    [[nodiscard]] auto isSame(std::int64_t epoch, const wire::SnapshotChunk& chunk) const -> bool;

    std::int64_t epoch_ = 0;
    std::int64_t index_ = 0;
    std::int64_t term_ = 0;
    std::int64_t size_ = 0;
    std::int64_t digest_ = 0;
    std::string data_;
};

}  // namespace duneturn
