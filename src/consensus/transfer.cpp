// A snapshot on its way to another member: numbered chunks, a few in flight, resumed after a loss.
//
// The receiver answers each chunk with the offset that it expects next. What it has is told apart by
// index, term and digest, so that it goes on where it was also under another leader, whose snapshot
// of the same entry is the same document.
#include <cstdint>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

// A receiver that never answered a chunk may run a program that reads whole snapshots only.
constexpr int STALLS_BEFORE_WHOLE = 4;

static auto chunkChecksum(const wire::SnapshotChunk& chunk) -> std::int64_t {
    auto seed = hash64(fmt::format("{}/{}/{}", chunk.lastIncludedIndex, chunk.size, chunk.offset));
    return std::int64_t(hash64(chunk.data, seed));
}

auto Voter::sendSnapshot(const std::string& disk, Microseconds now) -> void {
    auto& transfer = transfers_[disk];
    // One that was begun goes on while the entries behind it are still at hand.
    if (!transfer.document || transfer.lastIncludedIndex < logBase_) {
        auto readsChunks = transfer.readsChunks;
        transfer = {};
        transfer.readsChunks = readsChunks;
        transfer.lastIncludedIndex = snapshotIndex_;
        transfer.lastIncludedTerm = snapshotTerm_;
        transfer.document = snapshotDocument_;
        transfer.digest = std::int64_t(hash64(*snapshotDocument_));
        transfer.progressAt = now;
    }
    retryTransfer(disk, transfer, now);
    // Until the receiver answers, one chunk at a time.
    auto window = transfer.readsChunks && transfer.stalls == 0 ? MAX_CHUNKS_IN_FLIGHT : 1;
    while (transfer.sent < transfer.document->size() && transfer.sent < transfer.acked + window * CHUNK_BYTES)
        sendChunk(disk, transfer);
}

auto Voter::retryTransfer(const std::string& disk, SnapshotTransfer& transfer, Microseconds now) -> void {
    auto unanswered = transfer.sent - transfer.acked;
    auto complete = transfer.acked == transfer.document->size();
    if (unanswered == 0 && !complete) return;
    if (now - transfer.progressAt < RETRY_BASE + Microseconds(unanswered) * RETRY_PER_BYTE) return;
    // All of it is there but the word that it was installed: the last chunk asks for that.
    if (complete) transfer.acked -= std::min(CHUNK_BYTES, transfer.acked);
    transfer.sent = transfer.acked;
    transfer.progressAt = now;
    transfer.stalls++;
    counters_.add("snapshot_chunks_resent_total");
    if (!transfer.readsChunks && transfer.stalls % STALLS_BEFORE_WHOLE == 0) sendWholeSnapshot(disk);
}

auto Voter::sendWholeSnapshot(const std::string& disk) -> void {
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = term_;
    snapshot.lastIncludedIndex = snapshotIndex_;
    snapshot.lastIncludedTerm = snapshotTerm_;
    snapshot.document = *snapshotDocument_;
    snapshot.round = round_;
    auto message = envelope();
    message.__set_installSnapshot(snapshot);
    port_.voterSend(disk, message);
    counters_.add("snapshots_sent_whole_total");
}

auto Voter::sendChunk(const std::string& disk, SnapshotTransfer& transfer) -> void {
    auto chunk = wire::SnapshotChunk();
    chunk.term = term_;
    chunk.lastIncludedIndex = transfer.lastIncludedIndex;
    chunk.lastIncludedTerm = transfer.lastIncludedTerm;
    chunk.size = std::int64_t(transfer.document->size());
    chunk.offset = std::int64_t(transfer.sent);
    chunk.data = transfer.document->substr(transfer.sent, CHUNK_BYTES);
    chunk.checksum = chunkChecksum(chunk);
    chunk.digest = transfer.digest;
    chunk.round = round_;
    transfer.sent += chunk.data.size();
    auto message = envelope();
    message.__set_snapshotChunk(chunk);
    port_.voterSend(disk, message);
    counters_.add("snapshot_chunks_sent_total");
}

// The disks that a new cluster counts on are told of it until they hold it.
auto Voter::initializeBlankVoters(Microseconds now) -> void {
    if (now - toldAt_ < BLANK_VOTER_INTERVAL) return;
    toldAt_ = now;
    for (auto& disk : blankVoters_)
        if (isVoter(disk)) sendSnapshot(disk, now);
}

auto Voter::chunkSound(const wire::SnapshotChunk& chunk) const -> bool {
    if (chunk.lastIncludedIndex <= 0 || chunk.lastIncludedTerm <= 0 || chunk.lastIncludedTerm > chunk.term)
        return false;
    if (chunk.size <= 0 || chunk.size > std::int64_t(MAX_SNAPSHOT_BYTES)) return false;
    if (chunk.offset < 0 || chunk.offset >= chunk.size || chunk.data.empty()) return false;
    if (std::int64_t(chunk.data.size()) > chunk.size - chunk.offset) return false;
    return chunk.checksum == chunkChecksum(chunk);
}

auto Voter::onChunk(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto& from = message.disk;
    if (!chunkSound(chunk)) return refuse("snapshot_chunk_malformed_total", from);
    auto ours = message.epoch == epoch_;
    if (ours && chunk.term < term_) {
        counters_.add("snapshot_chunk_old_term_total");
        return answerChunk(message, 0, true);
    }
    if ((blank() && diskBad_) || (ours && leads() && chunk.term == term_)) return;
    if (!ours) return assemble(message, now);
    if (!lacks(chunk.lastIncludedIndex, chunk.lastIncludedTerm)) {
        auto held = wire::InstallSnapshot();
        held.lastIncludedIndex = chunk.lastIncludedIndex;
        held.round = chunk.round;
        hearSender(chunk.term, now);
        return answerInstalled(from, held, now);
    }
    if (chunk.lastIncludedIndex <= commit_) return refuse("snapshot_contradicts_committed_total", from);
    hearSender(chunk.term, now);
    assemble(message, now);
}

auto Voter::assemble(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto& a = assembly_;
    auto same = a.epoch == message.epoch && a.lastIncludedIndex == chunk.lastIncludedIndex
        && a.lastIncludedTerm == chunk.lastIncludedTerm && a.size == chunk.size && a.digest == chunk.digest;
    if (!same && chunk.offset == 0)
        a = {message.epoch, chunk.lastIncludedIndex, chunk.lastIncludedTerm, chunk.size, chunk.digest, {}};
    auto expected = same || chunk.offset == 0 ? std::int64_t(a.data.size()) : 0;
    if (chunk.offset > expected) {
        counters_.add("snapshot_chunk_out_of_order_total");
        return answerChunk(message, std::size_t(expected), true);
    }
    if (chunk.offset < expected) return answerChunk(message, std::size_t(expected), false);
    a.data += chunk.data;
    if (std::int64_t(a.data.size()) < a.size) return answerChunk(message, a.data.size(), false);
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = chunk.term;
    snapshot.lastIncludedIndex = chunk.lastIncludedIndex;
    snapshot.lastIncludedTerm = chunk.lastIncludedTerm;
    snapshot.document = std::move(a.data);
    snapshot.round = chunk.round;
    a = {};
    if (std::int64_t(hash64(snapshot.document)) != chunk.digest) {
        refuse("snapshot_digest_wrong_total", message.disk);
        return answerChunk(message, 0, true);
    }
    answerChunk(message, snapshot.document.size(), false);
    onSnapshot(message.disk, message.epoch, snapshot, now);
}

auto Voter::answerChunk(const wire::Envelope& message, std::size_t received, bool refused) -> void {
    auto& chunk = message.snapshotChunk;
    auto reply = wire::SnapshotChunkReply();
    // A blank disk has no term of its own yet.
    reply.term = message.epoch == epoch_ ? term_ : chunk.term;
    reply.lastIncludedIndex = chunk.lastIncludedIndex;
    reply.digest = chunk.digest;
    reply.received = std::int64_t(received);
    reply.refused = refused;
    reply.round = chunk.round;
    auto answer = envelope();
    answer.epoch = message.epoch;
    answer.__set_snapshotChunkReply(reply);
    port_.voterSend(message.disk, answer);
}

auto Voter::onChunkReply(const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now)
    -> void {
    if (reply.term > term_) {
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    auto found = transfers_.find(from);
    if (found == transfers_.end() || reply.term != term_) return;
    auto& transfer = found->second;
    if (reply.lastIncludedIndex != transfer.lastIncludedIndex || reply.digest != transfer.digest) return;
    auto received = std::size_t(std::max<std::int64_t>(0, reply.received));
    if (received > transfer.document->size()) return refuse("snapshot_reply_malformed_total", from);
    if (auto peer = peers_.find(from); leads() && peer != peers_.end()) peer->second.heard = now;
    transfer.readsChunks = true;
    if (received > transfer.acked) {
        transfer.acked = received;
        transfer.sent = std::max(transfer.sent, received);
        transfer.progressAt = now;
        transfer.stalls = 0;
    } else if (reply.refused && received < transfer.sent) {
        // A chunk before it was lost, which is answered once, or all that the receiver had.
        auto answered = received == transfer.acked && now - transfer.progressAt < RETRY_BASE / 4;
        if (answered) return;
        transfer.acked = transfer.sent = received;
        transfer.progressAt = now;
    }
    if (transfer.acked < transfer.document->size()) sendSnapshot(from, now);
}

auto Voter::endTransfer(const std::string& disk, std::int64_t match) -> void {
    auto found = transfers_.find(disk);
    if (found != transfers_.end() && match >= found->second.lastIncludedIndex) transfers_.erase(found);
}

}  // namespace duneturn
