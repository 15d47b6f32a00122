// The writes that bring the log to disk, and what waits for them.
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

// The write that a promise of this term rests on.
auto Voter::writeIfUnsaved(Microseconds now) -> std::int64_t {
    return writes_.isUnsaved(term_, votedFor_) ? write({}, now) : writes_.newest();
}

// Sends what must not leave before the disk holds what it rests on.
auto Voter::sendAfterWrite(std::int64_t sequence, const std::string& to, wire::Envelope envelope) -> void {
    if (broken.ackBeforeSync || writes_.isDone(sequence)) port_.sendToReplica(to, envelope);
    else writes_.defer({sequence, to, envelope});
}

auto Voter::onDiskWriteDone(std::int64_t sequence, bool ok, Microseconds now) -> void {
    if (auto write = writes_.complete(sequence)) {
        if (!ok) {
            writeFailed(*write, now);
            return checkInvariants();
        }
        writeSucceeded(*write, now);
    }
    if (leads()) advanceCommit(now);
    checkInvariants();
}

auto Voter::writeFailed(const PendingWrite& write, Microseconds now) -> void {
    auto wasBad = writes_.isDiskBad();
    if (!writes_.noteFailure(write, !broken.ackUnsavedTerm, now)) return;
    if (!wasBad) logEvent("disk_write_failed", "disk={}", disk_);
    counters_.add("disk_failed_total");
    // What this disk does not hold is not kept in memory either.
    if (!blank() && last() > lastSynced_ && lastSynced_ >= snapshot_.index) {
        log_.truncateFrom(lastSynced_ + 1);
        writes_.truncateWithNextWrite(last() + 1);
        commitIndex_ = std::min(commitIndex_, last());
        rebuildLatestState();
        refreshConfiguration();
    }
    if (leads()) becomeFollower(now);
}

auto Voter::writeSucceeded(const PendingWrite& write, Microseconds now) -> void {
    if (writes_.noteSuccess()) logEvent("disk_writes_again", "disk={}", disk_);
    auto inLog = write.lastIndex <= last() && log_.termAt(write.lastIndex) == write.lastTerm;
    if (write.lastIndex > lastSynced_ && inLog) lastSynced_ = write.lastIndex;
    for (auto& message : writes_.takeReleased(write.sequence)) {
        // A promise of an earlier epoch is stale by now; its receiver drops it, so it is spared.
        if (message.envelope.epoch == epoch_) port_.sendToReplica(message.toDisk, message.envelope);
    }
    if (installWrite_ && write.sequence >= installWrite_) {
        installWrite_ = 0;
        if (!blank()) port_.onStateApplied(replicatedState_, {});
    }
    if (!blank()) applyCommitted(std::min(write.commit, commitIndex_), now);
    // A candidate's own vote counts once its own disk holds it.
    if (ownVoteWrite_ && write.sequence >= ownVoteWrite_ && write.term == term_
        && role() == Role::Candidate) {
        ownVoteWrite_ = 0;
        votes_.insert(disk_);
        if (hasElectionMajority()) becomeLeader(now);
    }
}

auto Voter::rebuildLatestState() -> void {
    latestState_ = replicatedState_;
    for (auto index = lastApplied_ + 1; index <= last(); index++)
        if (isCommandEntry(log_.at(index))) latestState_.apply(log_.at(index).body);
}

}  // namespace duneturn
