// Sending a snapshot to another replica, and receiving one (see snapshot_transfer.hpp).
#include <cstdint>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::sendSnapshot(const std::string& disk, Microseconds now) -> void {
    auto& sender = snapshotSenders_[disk];
    // One that was begun goes on while the entries behind it are still at hand.
    if (!sender.isUsable(log_.base())) sender.begin(snapshot_, now);
    auto retry = sender.retry(now);
    if (retry != SnapshotSender::Retry::None) counters_.add("snapshot_chunks_resent_total");
    if (retry == SnapshotSender::Retry::ResendWhole) sendWholeSnapshot(disk);
    while (auto chunk = sender.nextChunk()) sendChunk(disk, *chunk);
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

// The disks that a new cluster counts on are sent its snapshot until they hold it.
auto Voter::initializeBlankVoters(Microseconds now) -> void {
    if (now - lastBlankVoterTry_ < BLANK_VOTER_INTERVAL) return;
    lastBlankVoterTry_ = now;
    for (auto& disk : blankVoters_)
        if (isVoter(disk)) sendSnapshot(disk, now);
}

auto Voter::onSnapshotChunk(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto& from = message.disk;
    if (!isSoundChunk(chunk)) return rejectMessage("snapshot_chunk_malformed_total", from);
    auto isOurs = message.epoch == epoch_;
    if (isOurs && chunk.term < term_) {
        counters_.add("snapshot_chunk_old_term_total");
        return replyToChunk(message, 0, true);
    }
    if ((blank() && isDiskFaulty()) || (isOurs && leads() && chunk.term == term_)) return;
    if (!isOurs) return assembleSnapshot(message, now);
    if (!isBehind(chunk.lastIncludedIndex, chunk.lastIncludedTerm)) {
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
    auto result = assembly_.take(message.epoch, chunk);
    switch (result.state) {
    case SnapshotAssembly::State::OutOfOrder:
        counters_.add("snapshot_chunk_out_of_order_total");
        return replyToChunk(message, result.received, true);
    case SnapshotAssembly::State::Incomplete: return replyToChunk(message, result.received, false);
    case SnapshotAssembly::State::DigestWrong:
        rejectMessage("snapshot_digest_wrong_total", message.disk);
        return replyToChunk(message, 0, true);
    case SnapshotAssembly::State::Complete: break;
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
    port_.sendToReplica(message.disk, answer);
}

auto Voter::onSnapshotChunkReply(
    const std::string& from, const wire::SnapshotChunkReply& reply, Microseconds now) -> void {
    if (reply.term > term_) {
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    auto found = snapshotSenders_.find(from);
    if (found == snapshotSenders_.end() || reply.term != term_) return;
    auto outcome = found->second.onReply(reply, now);
    if (outcome == SnapshotSender::Reply::OtherSnapshot) return;
    if (outcome == SnapshotSender::Reply::Malformed)
        return rejectMessage("snapshot_reply_malformed_total", from);
    if (auto progress = progress_.find(from); leads() && progress != progress_.end())
        progress->second.noteContact(now);
    if (outcome == SnapshotSender::Reply::Continue) sendSnapshot(from, now);
}

auto Voter::endSnapshotTransfer(const std::string& disk, std::int64_t match) -> void {
    auto found = snapshotSenders_.find(disk);
    if (found != snapshotSenders_.end() && match >= found->second.index()) snapshotSenders_.erase(found);
}

}  // namespace duneturn
