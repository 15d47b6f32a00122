// Log replication: appending entries, sending them to other replicas, commit, linearizable reads, and
// applying committed entries.
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
    auto diskWrite = DiskWrite();
    diskWrite.entries.push_back(std::move(entry));
    write(std::move(diskWrite), now);
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
    progress.recordSend(now);
    if (progress.dropLostBatches(now)) counters_.add("append_batches_resent_total");
    if (progress.next() <= log_.base()) return sendSnapshot(disk, now);
    auto batchStart = progress.next();
    do {
        batchStart = progress.next();
        sendAppendEntries(disk, progress, now);
    } while (progress.next() > batchStart && progress.next() <= last() && progress.canSendBatch());
}

// Sends one AppendEntries message: a batch of entries, or a heartbeat if there is nothing to send, the
// replica can't read the next entry, or MAX_BATCHES_IN_FLIGHT batches are in flight.
auto Voter::sendAppendEntries(const std::string& disk, ReplicaProgress& progress, Microseconds now) -> void {
    auto request = wire::AppendEntries();
    request.term = term_;
    request.prevLogIndex = progress.next() - 1;
    request.prevLogTerm = log_.termAt(progress.next() - 1);
    request.commit = commitIndex_;
    request.round = heartbeatRound_;
    auto bytes = std::size_t(0);
    auto canSendBatch = progress.canSendBatch();
    for (auto index = progress.next(); canSendBatch && index <= last(); index++) {
        auto& entry = log_.at(index);
        if (request.entries.size() >= BATCH_ENTRIES) break;
        if (bytes > 0 && bytes + entry.body.size() > BATCH_BYTES) break;
        if (!progress.canRead(entry)) break;
        request.entries.push_back(entry);
        bytes += entry.body.size();
    }
    if (!request.entries.empty()) progress.recordBatch(request.entries.back().index, bytes, now);
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
    auto majorityIndex = configuration_.majorityIndex(matchOf, quorumFaults());
    // Entries of earlier terms are committed only together with one of the current term (3.6.2).
    auto mayCommit = log_.termAt(majorityIndex) == term_ || broken.commitOldTerm;
    if (majorityIndex > commitIndex_ && mayCommit) {
        commitIndex_ = majorityIndex;
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
    auto hasEntriesToApply = lastApplied_ < index && lastApplied_ < last();
    while (lastApplied_ < index && lastApplied_ < last()) {
        lastApplied_++;
        applyEntry(log_.at(lastApplied_));
    }
    if (!hasEntriesToApply) return;
    if (lastApplied_ == last()) latestState_ = replicatedState_;
    // A leader that is no longer a voter steps down once it has applied its whole log.
    if (leads() && !isVoter(disk_) && lastApplied_ == last()) {
        transferLeadership(now);
        becomeFollower(now);
    }
    if (isCompactionDue()) compact(now);
}

// Counts and logs a message that no correct replica sends in this state. The caller then disregards its
// content.
auto Voter::rejectMessage(const char* counter, const std::string& from) -> void {
    counters_.add(counter);
    logEvent("message_rejected", "from_disk={} reason={}", from, counter);
}

// Whether the entries have consecutive indices and non-decreasing terms up to that of the request, and this
// program can decode them.
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

// Whether the request differs in a term from a committed entry. The terms of entries before the last one of
// the snapshot are not compared.
auto Voter::contradictsCommitted(const wire::AppendEntries& request) const -> bool {
    auto contradicts = [&](std::int64_t index, std::int64_t term) {
        return index >= snapshot_.index && index <= commitIndex_ && log_.termAt(index) != term;
    };
    if (contradicts(request.prevLogIndex, request.prevLogTerm)) return true;
    return std::any_of(request.entries.begin(), request.entries.end(),
        [&](auto& entry) { return contradicts(entry.index, entry.term); });
}

// Whether the log holds the entry before the request's entries. Entries that the snapshot includes are
// committed, so their terms need no comparison.
auto Voter::hasPreviousEntry(const wire::AppendEntries& request) const -> bool {
    if (request.prevLogIndex > last()) return false;
    return request.prevLogIndex < snapshot_.index || log_.termAt(request.prevLogIndex) == request.prevLogTerm;
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
    auto hasOtherLeader = request.term == term_ && !leaderDisk_.empty() && leaderDisk_ != from;
    if (hasOtherLeader && !broken.voteTwice) return rejectMessage("append_second_leader_total", from);
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
    if (!hasPreviousEntry(request)) {
        reply.prevLogIndex = request.prevLogIndex;
        reply.rejectHint = std::min(last(), request.prevLogIndex - 1);
        message.__set_appendEntriesReply(reply);
        sendAfterWrite(writeIfUnsaved(now), from, message);
        return;
    }
    auto diskWrite = storeEntries(request);
    auto match = request.prevLogIndex + std::int64_t(request.entries.size());
    auto commit = std::min(request.commit, match);
    auto commitAdvances = commit > commitIndex_;
    if (commitAdvances) commitIndex_ = commit;
    if (!diskWrite.entries.empty()) refreshConfiguration();
    reply.ok = true;
    reply.match = match;
    message.__set_appendEntriesReply(reply);
    auto sequence =
        commitAdvances || !diskWrite.entries.empty() ? write(std::move(diskWrite), now) : writeIfUnsaved(now);
    sendAfterWrite(sequence, from, message);
}

// Appends the entries that the log lacks, and returns the write that stores them. If the log has an entry
// with the same index and another term, that entry and all later ones are removed first.
auto Voter::storeEntries(const wire::AppendEntries& request) -> DiskWrite {
    auto diskWrite = DiskWrite();
    for (auto& entry : request.entries) {
        auto index = entry.index;
        if (index <= snapshot_.index || (index <= last() && log_.termAt(index) == entry.term)) continue;
        if (index <= last()) {
            INVARIANT(index > commitIndex_ || !hasNoInjectedFault());
            if (diskWrite.truncateFrom < 0) diskWrite.truncateFrom = index;
            log_.truncateFrom(index);
            lastSynced_ = std::min(lastSynced_, last());
        }
        INVARIANT(entry.term >= log_.lastTerm() || !hasNoInjectedFault());
        log_.append(entry);
        diskWrite.entries.push_back(entry);
    }
    auto end = request.prevLogIndex + std::int64_t(request.entries.size());
    if (broken.truncateMatching && last() > end && end > snapshot_.index) {
        writes_.truncateWithNextWrite(end + 1);
        log_.truncateFrom(end + 1);
        lastSynced_ = std::min(lastSynced_, last());
    }
    return diskWrite;
}

auto Voter::onAppendEntriesReply(
    const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now) -> void {
    if (reply.ok) endSnapshotTransfer(from, reply.match);
    if (reply.term > term_) {
        // A non-voter must not make a leader step down.
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    if (!leads() || reply.term != term_) return;
    auto found = progress_.find(from);
    if (found == progress_.end()) return counters_.add("reply_of_stranger_total");
    if (reply.match > last()) return rejectMessage("reply_beyond_log_total", from);
    auto& progress = found->second;
    progress.recordReply(reply, now);
    auto sendMore = false;
    if (reply.ok) {
        progress.acknowledge(reply.match, now);
        sendMore = progress.next() <= last() && progress.canSendBatch();
    } else {
        sendMore = progress.reject(reply);
    }
    if (sendMore) replicateTo(from, now);
    advanceCommit(now);
}

}  // namespace duneturn
