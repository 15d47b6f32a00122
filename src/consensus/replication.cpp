// Appending entries here and on the other voters, commit, reads, and applying.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/invariant.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::append(int kind, const std::string& body, Microseconds now) -> void {
    auto entry = wire::Entry();
    entry.term = term_;
    entry.index = last() + 1;
    entry.kind = kind;
    entry.body = body;
    log_.append(entry);
    if (isConfigurationEntry(entry)) refreshConfiguration();
    if (isCommandEntry(entry)) latestState_.apply(body);
    auto change = DiskWrite();
    change.entries.push_back(std::move(entry));
    write(std::move(change), now);
    replicateToAll(now);
}

auto Voter::propose(int kind, const std::string& body, Microseconds now) -> bool {
    if (!leads() || isDiskFaulty() || transferDeadline_ > now) return false;
    append(kind, body, now);
    return true;
}

auto Voter::read(std::int64_t id, Microseconds now) -> void {
    if (!ready()) {
        port_.onReadDone(id, false);
        return;
    }
    reads_.add({id, ++heartbeatRound_, commitIndex_});
    replicateToAll(now);
    advanceCommit(now);
}

auto Voter::replicateToAll(Microseconds now) -> void {
    for (auto& disk : configuration_.disks())
        if (disk != disk_) replicateTo(disk, now);
}

auto Voter::replicateTo(const std::string& disk, Microseconds now) -> void {
    auto& progress = progress_[disk];
    progress.start(last() + 1);
    progress.noteSent(now);
    if (progress.dropLostBatches(now)) counters_.add("append_batches_resent_total");
    if (progress.next() <= log_.base()) return sendSnapshot(disk, now);
    auto before = progress.next();
    do {
        before = progress.next();
        sendAppendEntries(disk, progress, now);
    } while (progress.next() > before && progress.next() <= last() && progress.hasRoom());
}

// One message: a batch of entries, or a heartbeat if there are none or enough are on their way.
auto Voter::sendAppendEntries(const std::string& disk, ReplicaProgress& progress, Microseconds now) -> void {
    auto request = wire::AppendEntries();
    request.term = term_;
    request.prevLogIndex = progress.next() - 1;
    request.prevLogTerm = log_.termAt(progress.next() - 1);
    request.commit = commitIndex_;
    request.round = heartbeatRound_;
    auto bytes = std::size_t(0);
    auto room = progress.hasRoom();
    for (auto index = progress.next(); room && index <= last(); index++) {
        auto& entry = log_.at(index);
        if (request.entries.size() >= BATCH_ENTRIES) break;
        if (bytes > 0 && bytes + entry.body.size() > BATCH_BYTES) break;
        if (!progress.reads(entry)) break;
        request.entries.push_back(entry);
        bytes += entry.body.size();
    }
    if (!request.entries.empty()) progress.batchSent(request.entries.back().index, bytes, now);
    auto message = envelope();
    message.__set_appendEntries(request);
    port_.sendToReplica(disk, message);
}

auto Voter::advanceCommit(Microseconds now) -> void {
    if (!leads()) return;
    auto matchOf = [&](const std::string& disk) {
        if (disk == disk_) return lastSynced_;
        auto progress = progress_.find(disk);
        return progress == progress_.end() ? 0 : progress->second.match();
    };
    auto held = configuration_.majorityIndex(matchOf, quorumFaults());
    // Entries of earlier terms are committed by one of this term (Raft, 3.6.2).
    auto mayCount = log_.termAt(held) == term_ || broken.commitOldTerm;
    if (held > commitIndex_ && mayCount) {
        commitIndex_ = held;
        write({}, now);
        replicateToAll(now);
    }
    answerReads();
}

auto Voter::answerReads() -> void {
    auto isConfirmed = [&](std::int64_t round) {
        auto confirms = [&](const std::string& disk) {
            return disk == disk_ || progress_[disk].confirmedRound() >= round;
        };
        return hasMajority(confirms) || broken.skipReadQuorum;
    };
    while (auto id = reads_.takeAnswerable(lastApplied_, isConfirmed)) port_.onReadDone(*id, true);
}

auto Voter::applyCommitted(std::int64_t index, Microseconds now) -> void {
    auto any = lastApplied_ < index && lastApplied_ < last();
    while (lastApplied_ < index && lastApplied_ < last()) {
        lastApplied_++;
        applyEntry(log_.at(lastApplied_));
    }
    if (!any) return;
    if (lastApplied_ == last()) latestState_ = replicatedState_;
    if (leads() && !isVoter(disk_) && lastApplied_ == last()) {
        transferLeadership(now);
        becomeFollower(now);
    }
    if (isCompactionDue()) compact(now);
}

// A message that no sound member sends in this state.
auto Voter::rejectMessage(const char* counter, const std::string& from) -> void {
    counters_.add(counter);
    logEvent("message_rejected", "from_disk={} reason={}", from, counter);
}

// Whether entries becomeFollower each other without a gap, in rising terms, and can be read here.
auto Voter::isWellFormed(const wire::AppendEntries& request) const -> bool {
    if (request.prevLogIndex < 0 || request.commit < 0) return false;
    auto index = request.prevLogIndex;
    auto term = request.prevLogTerm;
    for (auto& entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > request.term) return false;
        if (!isReadableEntry(entry)) return false;
        term = entry.term;
    }
    return true;
}

auto Voter::contradictsCommitted(const wire::AppendEntries& request) const -> bool {
    auto contradicts = [&](std::int64_t index, std::int64_t term) {
        return index >= snapshot_.index && index <= commitIndex_ && log_.termAt(index) != term;
    };
    if (contradicts(request.prevLogIndex, request.prevLogTerm)) return true;
    return std::any_of(request.entries.begin(), request.entries.end(),
        [&](auto& entry) { return contradicts(entry.index, entry.term); });
}

auto Voter::onAppendEntries(const std::string& from, const wire::AppendEntries& request, Microseconds now)
    -> void {
    auto reply = wire::AppendEntriesReply();
    auto message = envelope();
    if (request.term < term_) {
        reply.term = term_;
        message.__set_appendEntriesReply(reply);
        port_.sendToReplica(from, message);
        return;
    }
    if (!isWellFormed(request)) return rejectMessage("append_malformed_total", from);
    auto otherLeader = request.term == term_ && !leaderDisk_.empty() && leaderDisk_ != from;
    if (otherLeader && !broken.voteTwice) return rejectMessage("append_second_leader_total", from);
    if (contradictsCommitted(request) && !broken.truncateCommitted)
        return rejectMessage("append_contradicts_committed_total", from);
    adoptTerm(request.term, now);
    if (role() != Role::Follower) becomeFollower(now);
    leaderDisk_ = from;
    lastLeaderContact_ = now;
    restartElectionTimer(now);
    reply.term = term_;
    reply.round = request.round;
    reply.knowsJoint = true;
    reply.__set_knowsCompact(true);
    if (request.prevLogIndex > last()
        || (request.prevLogIndex >= snapshot_.index
            && log_.termAt(request.prevLogIndex) != request.prevLogTerm)) {
        reply.prevLogIndex = request.prevLogIndex;
        reply.rejectHint = std::min(last(), request.prevLogIndex - 1);
        message.__set_appendEntriesReply(reply);
        sendAfterWrite(writeIfUnsaved(now), from, message);
        return;
    }
    auto change = storeEntries(request);
    auto match = request.prevLogIndex + std::int64_t(request.entries.size());
    auto commit = std::min(request.commit, match);
    auto rises = commit > commitIndex_;
    if (rises) commitIndex_ = commit;
    if (!change.entries.empty()) refreshConfiguration();
    reply.ok = true;
    reply.match = match;
    message.__set_appendEntriesReply(reply);
    auto sequence = rises || !change.entries.empty() ? write(std::move(change), now) : writeIfUnsaved(now);
    sendAfterWrite(sequence, from, message);
}

// Adds what the log isBehind; an entry of another term at the same index replaces all from there on.
auto Voter::storeEntries(const wire::AppendEntries& request) -> DiskWrite {
    auto change = DiskWrite();
    for (auto& entry : request.entries) {
        auto index = entry.index;
        if (index <= snapshot_.index || (index <= last() && log_.termAt(index) == entry.term)) continue;
        if (index <= last()) {
            INVARIANT(index > commitIndex_ || !isSound());
            if (change.truncateFrom < 0) change.truncateFrom = index;
            log_.truncateFrom(index);
            lastSynced_ = std::min(lastSynced_, last());
        }
        INVARIANT(entry.term >= log_.lastTerm() || !isSound());
        log_.append(entry);
        change.entries.push_back(entry);
    }
    auto end = request.prevLogIndex + std::int64_t(request.entries.size());
    if (broken.truncateMatching && last() > end && end > snapshot_.index) {
        writes_.truncateWithNextWrite(end + 1);
        log_.truncateFrom(end + 1);
        lastSynced_ = std::min(lastSynced_, last());
    }
    return change;
}

auto Voter::onAppendEntriesReply(
    const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now) -> void {
    if (reply.ok) endSnapshotTransfer(from, reply.match);
    if (reply.term > term_) {
        // One that is no voter deposes nobody.
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    if (!leads() || reply.term != term_) return;
    auto known = progress_.find(from);
    if (known == progress_.end()) return counters_.add("reply_of_stranger_total");
    if (reply.match > last()) return rejectMessage("reply_beyond_log_total", from);
    auto& progress = known->second;
    progress.noteReply(reply, now);
    auto sendMore = false;
    if (reply.ok) {
        progress.acknowledge(reply.match, now);
        sendMore = progress.next() <= last() && progress.hasRoom();
    } else {
        sendMore = progress.reject(reply);
    }
    if (sendMore) replicateTo(from, now);
    advanceCommit(now);
}

}  // namespace duneturn
