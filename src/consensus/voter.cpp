// A voter's start, its clock, and which handler a message goes to.
#include "consensus/voter.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "base/counters.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "consensus/invariant.hpp"
#include "consensus/role.hpp"

namespace duneturn {

Voter::Voter(VoterPort& port, Counters& counters, std::uint64_t seed)
    : port_(port), counters_(counters), random_{seed}, roles_(std::make_unique<RoleMachine>()) {}
Voter::~Voter() = default;

auto Voter::role() const -> Role { return Role(roles_->machine.current_state()[0]); }

auto Voter::start(DiskState state, const std::string& newDiskId, Microseconds now) -> void {
    disk_ = state.disk.empty() ? newDiskId : state.disk;
    lastLeaderContact_ = now;
    restartElectionTimer(now);
    if (state.disk.empty() || state.snapshotIndex == 0) {
        write({}, now);  // the identity is synced before anyone relies on it
        return;
    }
    epoch_ = state.epoch;
    term_ = state.term;
    votedFor_ = state.vote;
    commitIndex_ = state.commit;
    replicatedState_.load(state.snapshotDocument);
    snapshot_ = {state.snapshotIndex, state.snapshotTerm,
        std::make_shared<const std::string>(std::move(state.snapshotDocument)), replicatedState_.voters()};
    log_.reset(snapshot_.index, snapshot_.term);
    for (auto& entry : state.log) {
        log_.append(entry);
        entry.body = std::string();  // so that no entry is held twice for long
    }
    lastApplied_ = snapshot_.index;
    lastSynced_ = last();
    commitIndex_ = std::min(std::max(commitIndex_, snapshot_.index), last());
    roles_->process(Initialized{}, counters_);
    refreshConfiguration();
    applyCommitted(commitIndex_, now);
    port_.onStateApplied(replicatedState_, {});
}

auto Voter::envelope() const -> wire::Envelope {
    auto message = wire::Envelope();
    message.wire = WIRE;
    message.disk = disk_;
    message.epoch = epoch_;
    return message;
}

auto Voter::restartElectionTimer(Microseconds now) -> void {
    electionDeadline_ = now + ELECTION_TIMEOUT + Microseconds(random_.below(ELECTION_TIMEOUT));
}

auto Voter::checkInvariants() const -> void {
    if (!isSound()) return;
    INVARIANT(lastApplied_ <= commitIndex_);
    INVARIANT(commitIndex_ <= last());
    INVARIANT(snapshot_.index <= lastApplied_);
    INVARIANT(log_.base() <= snapshot_.index);
    INVARIANT(log_.termAt(snapshot_.index) == snapshot_.term);
    INVARIANT(log_.lastTerm() <= term_);
    INVARIANT(lastSynced_ <= last());
    INVARIANT(configurationIndex_ <= last());
}

auto Voter::tick(Microseconds now) -> void {
    tickDisk(now);
    if (!blank()) {
        if (leads()) tickLeader(now);
        else tickFollower(now);
    }
    checkInvariants();
}

auto Voter::tickDisk(Microseconds now) -> void {
    if (writes_.detectStall(now)) {
        counters_.add("disk_stalled_total");
        logEvent("disk_write_stalled", "disk={} limit_us={}", disk_, WRITE_STALLED);
    }
    if (writes_.takeProbe(now)) write({}, now);
}

auto Voter::tickLeader(Microseconds now) -> void {
    auto hasContact = [&](const std::string& disk) {
        if (disk == disk_) return true;
        auto lastContact = progress_[disk].lastContact();
        return lastContact && now - lastContact < QUORUM_TIMEOUT;
    };
    if (hasMajority(hasContact)) lastQuorumContact_ = now;
    auto quorumLost = now - lastQuorumContact_ > QUORUM_TIMEOUT;
    if (isDiskFaulty() || quorumLost) {
        counters_.add(isDiskFaulty() ? "leader_gave_up_disk_total" : "leader_lost_quorum_total");
        auto transferred = transferLeadership(now);
        becomeFollower(now);
        if (!transferred || quorumLost) leaderDisk_.clear();
        return;
    }
    if (now - lastHeartbeat_ >= HEARTBEAT_INTERVAL) {
        lastHeartbeat_ = now;
        replicateToAll(now);
    }
    advanceConfigurationChange(now);
}

auto Voter::tickFollower(Microseconds now) -> void {
    initializeBlankVoters(now);
    if (now < electionDeadline_) return;
    if (!isVoter(disk_) || isDiskFaulty()) electionDeadline_ = now + ELECTION_TIMEOUT;
    else if (roles_->process(ElectionTimeout{}, counters_)) beginPreVote(now);
}

auto Voter::handle(const wire::Envelope& message, Microseconds now) -> void {
    if (message.disk == disk_) return;
    auto carriesSnapshot = message.__isset.installSnapshot || message.__isset.snapshotChunk;
    // A disk that its cluster no longer counts on may learn of a newer one.
    auto isNewer = message.epoch > epoch_ && votedFor_.empty();
    if (message.epoch != epoch_ && !(carriesSnapshot && (blank() || isNewer))) {
        counters_.add("other_reign_dropped_total");
        return;
    }
    dispatch(message, now);
    checkInvariants();
}

auto Voter::dispatch(const wire::Envelope& message, Microseconds now) -> void {
    if (message.__isset.installSnapshot)
        return onInstallSnapshot(message.disk, message.epoch, message.installSnapshot, now);
    if (message.__isset.snapshotChunk) return onSnapshotChunk(message, now);
    if (blank()) return;
    auto& from = message.disk;
    if (message.__isset.requestVote && message.requestVote.preVote)
        onPreVoteRequest(from, message.requestVote, now);
    else if (message.__isset.requestVote) onRequestVote(from, message.requestVote, now);
    else if (message.__isset.requestVoteReply) onRequestVoteReply(from, message.requestVoteReply, now);
    else if (message.__isset.timeoutNow) onTimeoutNow(from, message.timeoutNow, now);
    else if (message.__isset.appendEntries) onAppendEntries(from, message.appendEntries, now);
    else if (message.__isset.appendEntriesReply) onAppendEntriesReply(from, message.appendEntriesReply, now);
    else if (message.__isset.snapshotChunkReply) onSnapshotChunkReply(from, message.snapshotChunkReply, now);
}

}  // namespace duneturn
