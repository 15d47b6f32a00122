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

auto Voter::termAt(std::int64_t index) const -> std::int64_t {
    if (index == logBase_) return logBaseTerm_;
    if (index < logBase_ || index > last()) return -1;
    return at(index).term;
}

auto Voter::write(DiskWrite w, Microseconds now) -> std::int64_t {
    w.seq = ++seq_;
    w.writeEpoch = writeEpoch_;
    if (cutNext_ >= 0 && (w.truncateFrom < 0 || w.truncateFrom > cutNext_)) w.truncateFrom = cutNext_;
    cutNext_ = -1;
    if (owedSnap_ && snapshotIndex_ > 0 && !w.hasSnapshot) {
        w.hasSnapshot = true;
        w.document = *snapshotDocument_;
    }
    w.reset = w.reset || owedReset_;
    owedReset_ = owedSnap_ = false;
    writtenTerm_ = term_;
    writtenVote_ = vote_;
    w.meta.disk = disk_;
    w.meta.epoch = epoch_;
    w.meta.term = term_;
    w.meta.vote = vote_;
    w.meta.commit = commit_;
    w.meta.snapshotIndex = snapshotIndex_;
    w.meta.snapshotTerm = snapshotTerm_;
    pendingWrites_.push_back(
        {w.seq, last(), termAt(last()), commit_, writeEpoch_, term_, now, w.reset, w.hasSnapshot});
    counters_.add("disk_writes_total");
    port_.voterWrite(w);
    return seq_;
}

// Whether the newest write lacks the term or vote, or something that a failed write was to bring.
auto Voter::unsaved() const -> bool {
    return writtenTerm_ != term_ || writtenVote_ != vote_ || owedReset_ || owedSnap_;
}

// The write that a promise of this term rests on.
auto Voter::writeIfUnsaved(Microseconds now) -> std::int64_t { return unsaved() ? write({}, now) : seq_; }

auto Voter::owe(const PendingWrite& w) -> void {
    owedReset_ = owedReset_ || w.reset;
    owedSnap_ = owedSnap_ || w.hasSnapshot;
}

// What must not be said before the disk holds what it rests on.
auto Voter::sendAfter(std::int64_t seq, const std::string& to, wire::Envelope e) -> void {
    if (broken.ackBeforeSync || pendingWrites_.empty() || seq < pendingWrites_.front().seq) {
        port_.voterSend(to, e);
        return;
    }
    deferred_.push_back({seq, to, std::move(e)});
}

auto Voter::diskDone(std::int64_t seq, bool ok, Microseconds now) -> void {
    while (!pendingWrites_.empty() && pendingWrites_.front().seq <= seq) {
        auto w = pendingWrites_.front();
        pendingWrites_.pop_front();
        if (w.seq != seq) continue;
        if (!ok) return writeFailed(w, now);
        writeSucceeded(w, now);
    }
    if (leads()) advanceCommit(now);
}

auto Voter::writeFailed(const PendingWrite& w, Microseconds now) -> void {
    if (w.writeEpoch < writeEpoch_) return;  // one of those behind the failed one
    writeEpoch_++;
    if (!diskBad_) logf("disk: a write failed; orders are denied until one succeeds");
    diskBad_ = true;
    probeAt_ = now + DISK_PROBE_INTERVAL;
    counters_.add("disk_failed_total");
    // What this disk does not hold is not kept in memory either.
    deferred_.clear();
    owe(w);
    for (auto& behind : pendingWrites_) owe(behind);  // none of them is taken either
    if (!broken.ackUnsavedTerm) writtenTerm_ = -1;
    if (!blank() && last() > synced_ && synced_ >= snapshotIndex_) {
        log_.resize(std::size_t(synced_ - logBase_));
        cutNext_ = last() + 1;
        commit_ = std::min(commit_, last());
        rebuildHead();
        refreshVoters();
    }
    if (leads()) follow(now);
}

auto Voter::writeSucceeded(const PendingWrite& w, Microseconds now) -> void {
    if (diskBad_ && pendingWrites_.empty()) {
        diskBad_ = false;
        logf("disk: writes succeed again");
    }
    if (w.last > synced_ && w.last <= last() && termAt(w.last) == w.lastTerm) synced_ = w.last;
    while (!deferred_.empty() && deferred_.front().seq <= w.seq) {
        auto message = std::move(deferred_.front());
        deferred_.pop_front();
        // A promise of an earlier term is stale by now; its receiver drops it, so it is spared.
        if (message.envelope.epoch == epoch_) port_.voterSend(message.to, message.envelope);
    }
    if (installSeq_ && w.seq >= installSeq_) {
        installSeq_ = 0;
        if (!blank()) port_.voterApplied(replicatedState_, "", {});
    }
    if (!blank()) applyUpTo(std::min(w.commit, commit_), now);
    // A candidate's own vote counts once its own disk holds it.
    if (voteSeq_ && w.seq >= voteSeq_ && w.term == term_ && role() == Role::Candidate) {
        voteSeq_ = 0;
        votes_.insert(disk_);
        if (hasVotes()) becomeLeader(now);
    }
}

auto Voter::rebuildHead() -> void {
    latestState_ = replicatedState_;
    for (auto i = applied_ + 1; i <= last(); i++)
        if (at(i).kind == ENTRY_ORDER) latestState_.apply(at(i).body);
}

}  // namespace duneturn
