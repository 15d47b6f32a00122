// Sending snapshots to other replicas and receiving them, in chunks (see snapshot_transfer.hpp).
#include <cstdint>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::sendSnapshot(const std::string& disk, Microseconds now) -> void {
    auto& transfer = outgoingSnapshots_[disk];
    // A transfer continues, even if there is a newer snapshot, while the log still has the entries after its
    // own.
    if (!transfer.isUsable(log_.base())) transfer.begin(snapshot_, now);
    auto retry = transfer.retry(now);
    if (retry != OutgoingSnapshot::Retry::None) counters_.add("snapshot_chunks_resent_total");
    if (retry == OutgoingSnapshot::Retry::ResendWhole) sendWholeSnapshot(disk);
    while (auto chunk = transfer.nextChunk()) sendChunk(disk, *chunk);
}

auto Voter::sendWholeSnapshot(const std::string& disk) -> void {
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = term_;
    snapshot.lastIncludedIndex = snapshot_.index;
    snapshot.lastIncludedTerm = snapshot_.term;
    snapshot.document = *snapshot_.document;
    snapshot.round = heartbeatRound_;
    auto message = envelope();
    message.__set_installSnapshot(snapshot);
    port_.sendToReplica(disk, message);
    counters_.add("snapshots_sent_whole_total");
}

auto Voter::sendChunk(const std::string& disk, wire::SnapshotChunk chunk) -> void {
    chunk.term = term_;
    chunk.round = heartbeatRound_;
    auto message = envelope();
    message.__set_snapshotChunk(chunk);
    port_.sendToReplica(disk, message);
    counters_.add("snapshot_chunks_sent_total");
}

// Sends the snapshot to voters with an uninitialized disk, such as those of a new cluster.
auto Voter::initializeVoters(Microseconds now) -> void {
    if (now - lastInitializationAttempt_ < UNINITIALIZED_VOTER_INTERVAL) return;
    lastInitializationAttempt_ = now;
    for (auto& disk : uninitializedVoters_)
        if (isVoter(disk)) sendSnapshot(disk, now);
}

auto Voter::onSnapshotChunk(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto& from = message.disk;
    if (!isValidChunk(chunk)) return rejectMessage("snapshot_chunk_malformed_total", from);
    auto isSameCluster = message.epoch == epoch_;
    if (isSameCluster && chunk.term < term_) {
        counters_.add("snapshot_chunk_old_term_total");
        return replyToChunk(message, 0, true);
    }
    if ((blank() && isDiskFaulty()) || (isSameCluster && leads() && chunk.term == term_)) return;
    if (!isSameCluster) return assembleSnapshot(message, now);
    if (!needsSnapshot(chunk.lastIncludedIndex, chunk.lastIncludedTerm)) {
        followLeader(chunk.term, now);
        return replyInstalled(from, chunk.lastIncludedIndex, chunk.round, now);
    }
    if (chunk.lastIncludedIndex <= commitIndex_)
        return rejectMessage("snapshot_contradicts_committed_total", from);
    followLeader(chunk.term, now);
    assembleSnapshot(message, now);
}

auto Voter::assembleSnapshot(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto result = incomingSnapshot_.addChunk(message.epoch, chunk);
    switch (result.state) {
    case IncomingSnapshot::State::OutOfOrder:
        counters_.add("snapshot_chunk_out_of_order_total");
        return replyToChunk(message, result.received, true);
    case IncomingSnapshot::State::Incomplete: return replyToChunk(message, result.received, false);
    case IncomingSnapshot::State::DigestWrong:
        rejectMessage("snapshot_digest_wrong_total", message.disk);
        return replyToChunk(message, 0, true);
    case IncomingSnapshot::State::Complete: break;
    }
    replyToChunk(message, result.received, false);
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = chunk.term;
    snapshot.lastIncludedIndex = chunk.lastIncludedIndex;
    snapshot.lastIncludedTerm = chunk.lastIncludedTerm;
    snapshot.document = std::move(result.document);
    snapshot.round = chunk.round;
    onInstallSnapshot(message.disk, message.epoch, snapshot, now);
}

auto Voter::replyToChunk(const wire::Envelope& message, std::size_t received, bool refused) -> void {
    auto& chunk = message.snapshotChunk;
    auto reply = wire::SnapshotChunkReply();
    // A disk that does not belong to that cluster yet has no term in it.
    reply.term = message.epoch == epoch_ ? term_ : chunk.term;
    reply.lastIncludedIndex = chunk.lastIncludedIndex;
    reply.digest = chunk.digest;
    reply.received = std::int64_t(received);
    reply.refused = refused;
    reply.round = chunk.round;
    auto replyEnvelope = envelope();
    replyEnvelope.epoch = message.epoch;
    replyEnvelope.__set_snapshotChunkReply(reply);
    port_.sendToReplica(message.disk, replyEnvelope);
}

auto Voter::onSnapshotChunkReply(
    const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now) -> void {
    if (reply.term > term_) {
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    auto found = outgoingSnapshots_.find(from);
    if (found == outgoingSnapshots_.end() || reply.term != term_) return;
    auto outcome = found->second.onReply(reply, now);
    if (outcome == OutgoingSnapshot::Reply::OtherSnapshot) return;
    if (outcome == OutgoingSnapshot::Reply::Malformed)
        return rejectMessage("snapshot_reply_malformed_total", from);
    if (auto progress = progress_.find(from); leads() && progress != progress_.end())
        progress->second.recordContact(now);
    if (outcome == OutgoingSnapshot::Reply::Continue) sendSnapshot(from, now);
}

auto Voter::endSnapshotTransfer(const std::string& disk, std::int64_t match) -> void {
    auto found = outgoingSnapshots_.find(disk);
    if (found != outgoingSnapshots_.end() && match >= found->second.index()) outgoingSnapshots_.erase(found);
}

}  // namespace duneturn
