// Log compaction, and installation of received snapshots (Ongaro 2014, chapter 5).
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

// Compaction is due after a number of entries, or once their size exceeds that of the snapshot that would
// replace them. Not while the applied configuration is joint: a snapshot names a single set of voters.
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

// Whether the log lacks the last entry of a snapshot. Otherwise the log must be kept: it may hold later
// entries that were acknowledged.
auto Voter::needsSnapshot(std::int64_t index, std::int64_t term) const -> bool {
    return index > snapshot_.index && log_.termAt(index) != term;
}

// Decodes the state of a snapshot; none if it is malformed or belongs to a cluster with another epoch.
auto Voter::decodeSnapshot(std::int64_t epoch, const wire::InstallSnapshot& snapshot)
    -> std::optional<ReplicatedState> {
    if (snapshot.lastIncludedIndex <= 0 || snapshot.lastIncludedTerm <= 0) return std::nullopt;
    if (snapshot.lastIncludedTerm > snapshot.term) return std::nullopt;
    auto state = ReplicatedState();
    if (!state.load(snapshot.document) || state.epoch != epoch || state.voters().empty()) return std::nullopt;
    return state;
}

auto Voter::onInstallSnapshot(const std::string& from, std::int64_t epoch,
    const wire::InstallSnapshot& snapshot, Microseconds now) -> void {
    auto isOtherCluster = epoch != epoch_;
    if (!isOtherCluster && (snapshot.term < term_ || (leads() && snapshot.term == term_))) return;
    auto isNeeded = isOtherCluster || needsSnapshot(snapshot.lastIncludedIndex, snapshot.lastIncludedTerm);
    if (!isOtherCluster && isNeeded && snapshot.lastIncludedIndex <= commitIndex_)
        return rejectMessage("snapshot_contradicts_committed_total", from);
    auto state = isNeeded ? decodeSnapshot(epoch, snapshot) : std::nullopt;
    if (isNeeded && !state) return rejectMessage("snapshot_malformed_total", from);
    if (isOtherCluster && !blank() && !leaveCluster(false, now)) return;
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

auto Voter::replyInstalled(const std::string& disk, std::int64_t index, std::int64_t round, Microseconds now)
    -> void {
    auto reply = wire::AppendEntriesReply();
    reply.term = term_;
    reply.ok = true;
    reply.round = round;
    reply.match = index;
    reply.knowsJoint = true;
    reply.__set_knowsCompact(true);
    auto message = envelope();
    message.__set_appendEntriesReply(reply);
    sendAfterWrite(writeIfUnsaved(now), disk, message);
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
