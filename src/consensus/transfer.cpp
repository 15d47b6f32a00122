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
    while (auto chunk = sender.nextChunk()) sendChunk(disk, std::move(*chunk));
}

auto Voter::sendWholeSnapshot(const std::string& disk) -> void {
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = term_;
    snapshot.lastIncludedIndex = snapshot_.index;
    snapshot.lastIncludedTerm = snapshot_.term;
    snapshot.document = *snapshot_.document;
    snapshot.round = round_;
    auto message = envelope();
    message.__set_installSnapshot(snapshot);
    port_.voterSend(disk, message);
    counters_.add("snapshots_sent_whole_total");
}

auto Voter::sendChunk(const std::string& disk, wire::SnapshotChunk chunk) -> void {
    chunk.term = term_;
    chunk.round = round_;
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

auto Voter::onChunk(const wire::Envelope& message, Microseconds now) -> void {
    auto& chunk = message.snapshotChunk;
    auto& from = message.disk;
    if (!isSoundChunk(chunk)) return refuse("snapshot_chunk_malformed_total", from);
    auto ours = message.epoch == epoch_;
    if (ours && chunk.term < term_) {
        counters_.add("snapshot_chunk_old_term_total");
        return answerChunk(message, 0, true);
    }
    if ((blank() && diskBad()) || (ours && leads() && chunk.term == term_)) return;
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
    auto result = assembly_.take(message.epoch, chunk);
    switch (result.state) {
    case SnapshotAssembly::State::OutOfOrder:
        counters_.add("snapshot_chunk_out_of_order_total");
        return answerChunk(message, result.received, true);
    case SnapshotAssembly::State::Incomplete: return answerChunk(message, result.received, false);
    case SnapshotAssembly::State::DigestWrong:
        refuse("snapshot_digest_wrong_total", message.disk);
        return answerChunk(message, 0, true);
    case SnapshotAssembly::State::Complete: break;
    }
    answerChunk(message, result.received, false);
    auto snapshot = wire::InstallSnapshot();
    snapshot.term = chunk.term;
    snapshot.lastIncludedIndex = chunk.lastIncludedIndex;
    snapshot.lastIncludedTerm = chunk.lastIncludedTerm;
    snapshot.document = std::move(result.document);
    snapshot.round = chunk.round;
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
    auto found = snapshotSenders_.find(from);
    if (found == snapshotSenders_.end() || reply.term != term_) return;
    auto outcome = found->second.onReply(reply, now);
    if (outcome == SnapshotSender::Reply::OtherSnapshot) return;
    if (outcome == SnapshotSender::Reply::Malformed) return refuse("snapshot_reply_malformed_total", from);
    if (auto progress = progress_.find(from); leads() && progress != progress_.end())
        progress->second.noteContact(now);
    if (outcome == SnapshotSender::Reply::Continue) sendSnapshot(from, now);
}

auto Voter::endTransfer(const std::string& disk, std::int64_t match) -> void {
    auto found = snapshotSenders_.find(disk);
    if (found != snapshotSenders_.end() && match >= found->second.index()) snapshotSenders_.erase(found);
}

}  // namespace duneturn
