#include "consensus/snapshot_transfer.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "consensus/invariant.hpp"
#include "consensus/limits.hpp"

namespace duneturn {

namespace {

// Covers the data, its offset, and the index and size of the snapshot that it belongs to.
auto checksumOf(const wire::SnapshotChunk& chunk) -> std::int64_t {
    auto position = fmt::format("{}/{}/{}", chunk.lastIncludedIndex, chunk.size, chunk.offset);
    return std::int64_t(hash64(chunk.data, hash64(position)));
}

}  // namespace

auto isValidChunk(const wire::SnapshotChunk& chunk) -> bool {
    if (chunk.lastIncludedIndex <= 0 || chunk.lastIncludedTerm <= 0) return false;
    if (chunk.lastIncludedTerm > chunk.term) return false;
    if (chunk.size <= 0 || chunk.size > std::int64_t(MAX_SNAPSHOT_BYTES)) return false;
    if (chunk.offset < 0 || chunk.offset >= chunk.size || chunk.data.empty()) return false;
    if (std::int64_t(chunk.data.size()) > chunk.size - chunk.offset) return false;
    return chunk.checksum == checksumOf(chunk);
}

// ---- OutgoingSnapshot

auto OutgoingSnapshot::isUsable(std::int64_t logBase) const -> bool { return document_ && index_ >= logBase; }

auto OutgoingSnapshot::begin(const Snapshot& snapshot, Microseconds now) -> void {
    auto supportsChunks = supportsChunks_;
    *this = {};
    supportsChunks_ = supportsChunks;
    index_ = snapshot.index;
    term_ = snapshot.term;
    document_ = snapshot.document;
    digest_ = std::int64_t(hash64(*document_));
    progressAt_ = now;
}

auto OutgoingSnapshot::retry(Microseconds now) -> Retry {
    INVARIANT(acknowledged_ <= sent_ && sent_ <= document_->size());
    auto unanswered = sent_ - acknowledged_;
    auto complete = acknowledged_ == document_->size();
    if (unanswered == 0 && !complete) return Retry::None;
    if (now - progressAt_ < RETRY_BASE + Microseconds(unanswered) * RETRY_PER_BYTE) return Retry::None;
    // Everything was received, but no reply has confirmed the installation. Sending the last chunk again
    // makes the receiver report its state.
    if (complete) acknowledged_ -= std::min(CHUNK_BYTES, acknowledged_);
    sent_ = acknowledged_;
    progressAt_ = now;
    retries_++;
    return !supportsChunks_ && retries_ % RETRIES_BEFORE_WHOLE_SNAPSHOT == 0 ? Retry::ResendWhole
                                                                             : Retry::Resend;
}

auto OutgoingSnapshot::nextChunk() -> std::optional<wire::SnapshotChunk> {
    // One chunk at a time until the receiver answers, at the start and after each retry.
    auto window = supportsChunks_ && retries_ == 0 ? MAX_CHUNKS_IN_FLIGHT : 1;
    if (sent_ >= document_->size() || sent_ >= acknowledged_ + window * CHUNK_BYTES) return std::nullopt;
    auto chunk = wire::SnapshotChunk();
    chunk.lastIncludedIndex = index_;
    chunk.lastIncludedTerm = term_;
    chunk.size = std::int64_t(document_->size());
    chunk.offset = std::int64_t(sent_);
    chunk.data = document_->substr(sent_, CHUNK_BYTES);
    chunk.checksum = checksumOf(chunk);
    chunk.digest = digest_;
    sent_ += chunk.data.size();
    return chunk;
}

auto OutgoingSnapshot::onReply(const wire::SnapshotChunkReply& reply, Microseconds now) -> Reply {
    if (reply.lastIncludedIndex != index_ || reply.digest != digest_) return Reply::OtherSnapshot;
    auto received = std::size_t(std::max<std::int64_t>(0, reply.received));
    if (received > document_->size()) return Reply::Malformed;
    supportsChunks_ = true;
    if (received > acknowledged_) {
        acknowledged_ = received;
        sent_ = std::max(sent_, received);
        progressAt_ = now;
        retries_ = 0;
    } else if (reply.refused && received < sent_) {
        // An earlier chunk was lost, or the receiver lost everything it had. A loss is answered only once:
        // each later chunk in flight is reported as out of order too.
        if (received == acknowledged_ && now - progressAt_ < RETRY_BASE / 4) return Reply::Duplicate;
        acknowledged_ = sent_ = received;
        progressAt_ = now;
    }
    return acknowledged_ < document_->size() ? Reply::Continue : Reply::Complete;
}

// ---- IncomingSnapshot

auto IncomingSnapshot::isSameSnapshot(std::int64_t epoch, const wire::SnapshotChunk& chunk) const -> bool {
    return epoch_ == epoch && index_ == chunk.lastIncludedIndex && term_ == chunk.lastIncludedTerm
        && size_ == chunk.size && digest_ == chunk.digest;
}

auto IncomingSnapshot::addChunk(std::int64_t epoch, const wire::SnapshotChunk& chunk) -> Result {
    if (!isSameSnapshot(epoch, chunk)) {
        if (chunk.offset > 0) return {State::OutOfOrder, 0, {}};
        epoch_ = epoch;
        index_ = chunk.lastIncludedIndex;
        term_ = chunk.lastIncludedTerm;
        size_ = chunk.size;
        digest_ = chunk.digest;
        data_.clear();
    }
    auto expected = std::int64_t(data_.size());
    if (chunk.offset > expected) return {State::OutOfOrder, data_.size(), {}};
    if (chunk.offset < expected) return {State::Incomplete, data_.size(), {}};
    data_ += chunk.data;
    if (std::int64_t(data_.size()) < size_) return {State::Incomplete, data_.size(), {}};
    auto document = std::move(data_);
    *this = {};
    if (std::int64_t(hash64(document)) != chunk.digest) return {State::DigestWrong, 0, {}};
    auto received = document.size();
    return {State::Complete, received, std::move(document)};
}

}  // namespace duneturn
