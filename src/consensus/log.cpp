// Writing the persistent state, and what depends on the completion of these writes.
#include <cstdint>
#include <string>
#include <utility>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::write(DiskWrite write, Microseconds now) -> std::int64_t {
    write.meta.disk = disk_;
    write.meta.epoch = epoch_;
    write.meta.term = term_;
    write.meta.vote = votedFor_;
    write.meta.commit = commitIndex_;
    write.meta.snapshotIndex = snapshot_.index;
    write.meta.snapshotTerm = snapshot_.term;
    auto issued = writes_.issue(std::move(write), last(), log_.lastTerm(), *snapshot_.document, now);
    counters_.add("disk_writes_total");
    port_.writeToDisk(issued);
    return writes_.newest();
}

// Returns the write that must be durable before a message of the current term may be sent; issues it if the
// newest write lacks the term or the vote.
auto Voter::writeIfUnsaved(Microseconds now) -> std::int64_t {
    return writes_.isUnsaved(term_, votedFor_) ? write({}, now) : writes_.newest();
}

// Sends a message once the write that it depends on is durable.
auto Voter::sendAfterWrite(std::int64_t sequence, const std::string& disk, wire::Envelope envelope) -> void {
    if (broken.ackBeforeSync || writes_.isDone(sequence)) port_.sendToReplica(disk, envelope);
    else writes_.defer({sequence, disk, envelope});
}

auto Voter::onDiskWriteDone(std::int64_t sequence, bool succeeded, Microseconds now) -> void {
    if (auto write = writes_.complete(sequence)) {
        if (!succeeded) {
            onWriteFailed(*write, now);
            return checkInvariants();
        }
        onWriteSucceeded(*write, now);
    }
    if (leads()) advanceCommit(now);
    checkInvariants();
}

auto Voter::onWriteFailed(const PendingWrite& write, Microseconds now) -> void {
    auto wasFaulty = writes_.isDiskFaulty();
    if (!writes_.recordFailure(write, !broken.ackUnsavedTerm, now)) return;
    if (!wasFaulty) logEvent("disk_write_failed", "disk={}", disk_);
    counters_.add("disk_failed_total");
    // Entries that are not durable on this disk are removed from memory too.
    if (!blank() && last() > lastSynced_ && lastSynced_ >= snapshot_.index) {
        log_.truncateFrom(lastSynced_ + 1);
        writes_.truncateWithNextWrite(last() + 1);
        commitIndex_ = std::min(commitIndex_, last());
        rebuildLatestState();
        refreshConfiguration();
    }
    if (leads()) becomeFollower(now);
}

auto Voter::onWriteSucceeded(const PendingWrite& write, Microseconds now) -> void {
    if (writes_.recordSuccess()) logEvent("disk_writes_again", "disk={}", disk_);
    auto isInLog = write.lastIndex <= last() && log_.termAt(write.lastIndex) == write.lastTerm;
    if (write.lastIndex > lastSynced_ && isInLog) lastSynced_ = write.lastIndex;
    for (auto& message : writes_.takeReleased(write.sequence)) {
        // Messages of an earlier epoch are not sent: their receivers would drop them.
        if (message.envelope.epoch == epoch_) port_.sendToReplica(message.toDisk, message.envelope);
    }
    if (installWrite_ && write.sequence >= installWrite_) {
        installWrite_ = 0;
        if (!blank()) port_.onStateApplied(replicatedState_, {});
    }
    if (!blank()) applyCommitted(std::min(write.commit, commitIndex_), now);
    countOwnVote(write, now);
}

// Counts a candidate's own vote once it is durable on its own disk.
auto Voter::countOwnVote(const PendingWrite& write, Microseconds now) -> void {
    auto isDurable = ownVoteWrite_ && write.sequence >= ownVoteWrite_ && write.term == term_;
    if (!isDurable || role() != Role::Candidate) return;
    ownVoteWrite_ = 0;
    votes_.insert(disk_);
    if (hasElectionMajority()) becomeLeader(now);
}

auto Voter::rebuildLatestState() -> void {
    latestState_ = replicatedState_;
    for (auto index = lastApplied_ + 1; index <= last(); index++)
        if (isCommandEntry(log_.at(index))) latestState_.apply(log_.at(index).body);
}

}  // namespace duneturn
