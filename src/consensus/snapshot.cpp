// Compaction of the log, and installing a snapshot.
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::setLogBase(std::int64_t index, std::int64_t term) -> void {
    log_.clear();
    logBase_ = index;
    logBaseTerm_ = term;
}

// After so many entries, or when their bytes outweigh the snapshot that would replace them. Not
// while the voters change: a snapshot names one set of voters only.
auto Voter::compactionDue() const -> bool {
    if (appliedJoint_) return false;
    if (applied_ - snapshotIndex_ > COMPACTION_ENTRIES) return true;
    auto bytes = std::size_t(0);
    for (auto i = snapshotIndex_ + 1; i <= applied_; i++) bytes += at(i).body.size();
    return bytes > std::max(COMPACTION_BYTES, snapshotDocument_->size());
}

auto Voter::compact(Microseconds now) -> void {
    snapshotTerm_ = termAt(applied_);
    snapshotIndex_ = applied_;
    snapshotDocument_ = std::make_shared<const std::string>(replicatedState_.text());
    snapshotVoters_ = replicatedState_.voters();
    trimTail();
    auto w = DiskWrite();
    w.hasSnapshot = true;
    w.document = *snapshotDocument_;
    write(w, now);
    counters_.add("snapshots_total");
}

// The newest entries before the snapshot stay in memory, though not on disk.
auto Voter::trimTail() -> void {
    auto base = snapshotIndex_;
    auto bytes = std::size_t(0);
    while (base > logBase_ && snapshotIndex_ - base < TAIL_ENTRIES) {
        bytes += at(base).body.size();
        if (bytes > TAIL_BYTES) break;
        base--;
    }
    auto term = termAt(base);
    log_.erase(log_.begin(), log_.begin() + std::ptrdiff_t(base - logBase_));
    logBase_ = base;
    logBaseTerm_ = term;
}

// Whether this log is behind a snapshot. What it already holds is kept: entries behind it may
// have been acknowledged.
auto Voter::lacks(std::int64_t index, std::int64_t term) const -> bool {
    return index > snapshotIndex_ && termAt(index) != term;
}

auto Voter::checkSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
    ReplicatedState& state) -> bool {
    auto sound = snapshot.lastIncludedIndex > 0 && snapshot.lastIncludedTerm > 0
        && snapshot.lastIncludedTerm <= snapshot.term && state.load(snapshot.document) && state.epoch == epoch
        && !state.voters().empty();
    if (!sound) refuse("snapshot_malformed_total", from);
    return sound;
}

auto Voter::onSnapshot(const std::string& from, std::int64_t epoch, const wire::InstallSnapshot& snapshot,
    Microseconds now) -> void {
    auto other = epoch != epoch_;
    if (!other && (snapshot.term < term_ || (leads() && snapshot.term == term_))) return;
    auto lacking = other || lacks(snapshot.lastIncludedIndex, snapshot.lastIncludedTerm);
    if (!other && lacking && snapshot.lastIncludedIndex <= commit_)
        return refuse("snapshot_contradicts_committed_total", from);
    auto state = ReplicatedState();
    if (lacking && !checkSnapshot(from, epoch, snapshot, state)) return;
    if (other && !blank() && !leaveCluster(false, now)) return;
    if (blank()) {
        if (diskBad_ || !role_->process(Initialized{}, counters_)) return;
        epoch_ = epoch;
        vote_.clear();
        term_ = 0;
    }
    hearSender(snapshot.term, now);
    if (lacking) installSnapshot(snapshot, state, now);
    answerInstalled(from, snapshot, now);
}

auto Voter::hearSender(std::int64_t term, Microseconds now) -> void {
    adoptTerm(term, now);
    if (role() != Role::Follower) follow(now);
    heardLeader_ = now;
    restartElectionTimer(now);
}

auto Voter::answerInstalled(const std::string& to, const wire::InstallSnapshot& snapshot, Microseconds now)
    -> void {
    auto reply = wire::AppendEntriesReply();
    reply.term = term_;
    reply.ok = true;
    reply.round = snapshot.round;
    reply.match = snapshot.lastIncludedIndex;
    reply.knowsJoint = true;
    auto answer = envelope();
    answer.__set_appendEntriesReply(reply);
    sendAfter(writeIfUnsaved(now), to, answer);
}

auto Voter::installSnapshot(
    const wire::InstallSnapshot& snapshot, const ReplicatedState& state, Microseconds now) -> void {
    replicatedState_ = latestState_ = state;
    snapshotIndex_ = applied_ = commit_ = synced_ = snapshot.lastIncludedIndex;
    snapshotTerm_ = snapshot.lastIncludedTerm;
    setLogBase(snapshotIndex_, snapshotTerm_);
    snapshotDocument_ = std::make_shared<const std::string>(snapshot.document);
    snapshotVoters_ = state.voters();
    appliedJoint_ = false;
    refreshVoters();
    auto w = DiskWrite();
    w.reset = w.hasSnapshot = true;
    w.document = *snapshotDocument_;
    installSeq_ = write(w, now);
    counters_.add("snapshots_installed_total");
}

}  // namespace duneturn
