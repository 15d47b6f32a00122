// Compaction of the log, and installing a snapshot.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

// After so many entries, or when their bytes outweigh the snapshot that would replace them. Not
// while the voters change: a snapshot names one set of voters only.
auto Voter::isCompactionDue() const -> bool {
    if (appliedJoint_) return false;
    if (lastApplied_ - snapshot_.index > COMPACTION_ENTRIES) return true;
    auto bytes = log_.bodyBytes(snapshot_.index + 1, lastApplied_);
    return bytes > std::max(COMPACTION_BYTES, snapshot_.document->size());
}

auto Voter::compact(Microseconds now) -> void {
    snapshot_ = {lastApplied_, log_.termAt(lastApplied_),
        std::make_shared<const std::string>(replicatedState_.text()), replicatedState_.voters()};
    log_.compact(snapshot_.index);
    auto change = DiskWrite();
    change.hasSnapshot = true;
    change.document = *snapshot_.document;
    write(std::move(change), now);
    counters_.add("snapshots_total");
}

// Whether this log is behind a snapshot. What it already holds is kept: entries behind it may
// have been acknowledged.
auto Voter::isBehind(std::int64_t index, std::int64_t term) const -> bool {
    return index > snapshot_.index && log_.termAt(index) != term;
}

// The state of a snapshot of a cluster's epoch; none if the snapshot is malformed.
auto Voter::loadSnapshot(std::int64_t epoch, const wire::InstallSnapshot& snapshot)
    -> std::optional<ReplicatedState> {
    if (snapshot.lastIncludedIndex <= 0 || snapshot.lastIncludedTerm <= 0) return std::nullopt;
    if (snapshot.lastIncludedTerm > snapshot.term) return std::nullopt;
    auto state = ReplicatedState();
    if (!state.load(snapshot.document) || state.epoch != epoch || state.voters().empty()) return std::nullopt;
    return state;
}

auto Voter::onInstallSnapshot(const std::string& from, std::int64_t epoch,
    const wire::InstallSnapshot& snapshot, Microseconds now) -> void {
    auto isOther = epoch != epoch_;
    if (!isOther && (snapshot.term < term_ || (leads() && snapshot.term == term_))) return;
    auto isNeeded = isOther || isBehind(snapshot.lastIncludedIndex, snapshot.lastIncludedTerm);
    if (!isOther && isNeeded && snapshot.lastIncludedIndex <= commitIndex_)
        return rejectMessage("snapshot_contradicts_committed_total", from);
    auto state = isNeeded ? loadSnapshot(epoch, snapshot) : std::nullopt;
    if (isNeeded && !state) return rejectMessage("snapshot_malformed_total", from);
    if (isOther && !blank() && !leaveCluster(false, now)) return;
    if (blank()) {
        if (isDiskFaulty() || !roles_->process(Initialized{}, counters_)) return;
        epoch_ = epoch;
        votedFor_.clear();
        term_ = 0;
    }
    followLeader(snapshot.term, now);
    if (state) installSnapshot(snapshot, *state, now);
    replyInstalled(from, snapshot.lastIncludedIndex, snapshot.round, now);
}

auto Voter::followLeader(std::int64_t term, Microseconds now) -> void {
    adoptTerm(term, now);
    if (role() != Role::Follower) becomeFollower(now);
    lastLeaderContact_ = now;
    restartElectionTimer(now);
}

auto Voter::replyInstalled(const std::string& to, std::int64_t index, std::int64_t round, Microseconds now)
    -> void {
    auto reply = wire::AppendEntriesReply();
    reply.term = term_;
    reply.ok = true;
    reply.round = round;
    reply.match = index;
    reply.knowsJoint = true;
    reply.__set_knowsCompact(true);
    auto answer = envelope();
    answer.__set_appendEntriesReply(reply);
    sendAfterWrite(writeIfUnsaved(now), to, answer);
}

auto Voter::installSnapshot(
    const wire::InstallSnapshot& snapshot, const ReplicatedState& state, Microseconds now) -> void {
    replicatedState_ = latestState_ = state;
    lastApplied_ = commitIndex_ = lastSynced_ = snapshot.lastIncludedIndex;
    snapshot_ = {snapshot.lastIncludedIndex, snapshot.lastIncludedTerm,
        std::make_shared<const std::string>(snapshot.document), state.voters()};
    log_.reset(snapshot_.index, snapshot_.term);
    appliedJoint_ = false;
    refreshConfiguration();
    auto change = DiskWrite();
    change.reset = change.hasSnapshot = true;
    change.document = *snapshot_.document;
    installWrite_ = write(std::move(change), now);
    counters_.add("snapshots_installed_total");
}

}  // namespace duneturn
