// The log in memory, the writes that bring it to disk, and what waits for them.
#include <cstdint>
#include <string>
#include <utility>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto diskApply(DiskState& state, const DiskWrite& write) -> void {
    if (write.reset) state = DiskState();
    auto base = write.hasSnapshot ? write.meta.snapshotIndex : state.snapshotIndex;
    if (write.truncateFrom >= 0)
        while (!state.log.empty() && state.log.back().index >= write.truncateFrom) state.log.pop_back();
    for (auto& e : write.entries) state.log.push_back(e);
    auto doc = write.hasSnapshot ? write.document : state.snapshotDocument;
    auto snapshotTerm = write.hasSnapshot ? write.meta.snapshotTerm : state.snapshotTerm;
    auto log = std::move(state.log);
    state = write.meta;
    state.snapshotIndex = base;
    state.snapshotTerm = snapshotTerm;
    state.snapshotDocument = doc;
    state.log.clear();
    for (auto& e : log)
        if (e.index > base) state.log.push_back(std::move(e));
}

auto Voter::write(DiskWrite write, Microseconds now) -> std::int64_t {
    write.meta.disk = disk_;
    write.meta.epoch = epoch_;
    write.meta.term = term_;
    write.meta.vote = vote_;
    write.meta.commit = commit_;
    write.meta.snapshotIndex = snapshot_.index;
    write.meta.snapshotTerm = snapshot_.term;
    auto issued = writes_.issue(std::move(write), last(), log_.lastTerm(), *snapshot_.document, now);
    counters_.add("disk_writes_total");
    port_.voterWrite(issued);
    return writes_.newest();
}

// The write that a promise of this term rests on.
auto Voter::writeIfUnsaved(Microseconds now) -> std::int64_t {
    return writes_.isUnsaved(term_, vote_) ? write({}, now) : writes_.newest();
}

// What must not be said before the disk holds what it rests on.
auto Voter::sendAfter(std::int64_t sequence, const std::string& to, wire::Envelope envelope) -> void {
    if (broken.ackBeforeSync || writes_.isDone(sequence)) port_.voterSend(to, envelope);
    else writes_.defer({sequence, to, std::move(envelope)});
}

auto Voter::diskDone(std::int64_t sequence, bool ok, Microseconds now) -> void {
    if (auto write = writes_.complete(sequence)) {
        if (!ok) return writeFailed(*write, now);
        writeSucceeded(*write, now);
    }
    if (leads()) advanceCommit(now);
}

auto Voter::writeFailed(const PendingWrite& write, Microseconds now) -> void {
    auto wasBad = writes_.isDiskBad();
    if (!writes_.noteFailure(write, !broken.ackUnsavedTerm, now)) return;
    if (!wasBad) logf("disk: a write failed; orders are denied until one succeeds");
    counters_.add("disk_failed_total");
    // What this disk does not hold is not kept in memory either.
    if (!blank() && last() > synced_ && synced_ >= snapshot_.index) {
        log_.truncateFrom(synced_ + 1);
        writes_.truncateWithNextWrite(last() + 1);
        commit_ = std::min(commit_, last());
        rebuildHead();
        refreshConfiguration();
    }
    if (leads()) follow(now);
}

auto Voter::writeSucceeded(const PendingWrite& write, Microseconds now) -> void {
    if (writes_.noteSuccess()) logf("disk: writes succeed again");
    auto inLog = write.lastIndex <= last() && log_.termAt(write.lastIndex) == write.lastTerm;
    if (write.lastIndex > synced_ && inLog) synced_ = write.lastIndex;
    for (auto& message : writes_.takeReleased(write.sequence)) {
        // A promise of an earlier epoch is stale by now; its receiver drops it, so it is spared.
        if (message.envelope.epoch == epoch_) port_.voterSend(message.toDisk, message.envelope);
    }
    if (installSeq_ && write.sequence >= installSeq_) {
        installSeq_ = 0;
        if (!blank()) port_.voterApplied(replicatedState_, "", {});
    }
    if (!blank()) applyUpTo(std::min(write.commit, commit_), now);
    // A candidate's own vote counts once its own disk holds it.
    if (voteSeq_ && write.sequence >= voteSeq_ && write.term == term_ && role() == Role::Candidate) {
        voteSeq_ = 0;
        votes_.insert(disk_);
        if (hasVotes()) becomeLeader(now);
    }
}

auto Voter::rebuildHead() -> void {
    latestState_ = replicatedState_;
    for (auto i = applied_ + 1; i <= last(); i++)
        if (log_.at(i).kind == ENTRY_ORDER) latestState_.apply(log_.at(i).body);
}

}  // namespace duneturn
