// A voter's start, its clock, and which handler a message goes to.
#include "consensus/voter.hpp"

#include <cstdint>
#include <memory>
#include <string>

#include "base/counters.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "consensus/role.hpp"

namespace duneturn {

Voter::Voter(VoterPort& port, Counters& counters, std::uint64_t seed)
    : port_(port), counters_(counters), rng_{seed}, role_(std::make_unique<RoleMachine>()) {}
Voter::~Voter() = default;

auto Voter::role() const -> Role { return Role(role_->machine.current_state()[0]); }

auto Voter::start(const DiskState& state, const std::string& newDiskId, Microseconds now) -> void {
    disk_ = state.disk.empty() ? newDiskId : state.disk;
    heardLeader_ = now;
    restartElectionTimer(now);
    if (state.disk.empty() || state.snapshotIndex == 0) {
        write({}, now);  // the identity is synced before anyone relies on it
        return;
    }
    epoch_ = state.epoch;
    term_ = state.term;
    vote_ = state.vote;
    commit_ = state.commit;
    snapshotIndex_ = state.snapshotIndex;
    snapshotTerm_ = state.snapshotTerm;
    snapshotDocument_ = std::make_shared<const std::string>(state.snapshotDocument);
    setLogBase(snapshotIndex_, snapshotTerm_);
    log_ = state.log;
    replicatedState_.load(*snapshotDocument_);
    snapshotVoters_ = replicatedState_.voters();
    applied_ = snapshotIndex_;
    synced_ = last();
    commit_ = std::min(std::max(commit_, snapshotIndex_), last());
    role_->process(Initialized{}, counters_);
    refreshVoters();
    applyUpTo(commit_, now);
    port_.voterApplied(replicatedState_, "", {});
}

auto Voter::envelope() const -> wire::Envelope {
    auto e = wire::Envelope();
    e.wire = WIRE;
    e.disk = disk_;
    e.epoch = epoch_;
    return e;
}

auto Voter::restartElectionTimer(Microseconds now) -> void {
    electionDue_ = now + ELECTION_TIMEOUT + Microseconds(rng_.below(ELECTION_TIMEOUT));
}

auto Voter::tick(Microseconds now) -> void {
    tickDisk(now);
    if (blank()) return;
    if (leads()) tickLeader(now);
    else tickFollower(now);
}

auto Voter::tickDisk(Microseconds now) -> void {
    auto stalled = !pendingWrites_.empty() && now - pendingWrites_.front().at > WRITE_STALLED;
    if (stalled && !diskBad_) {
        diskBad_ = true;
        counters_.add("disk_stalled_total");
        logf("disk: a write has been under way for over {} us", WRITE_STALLED);
    }
    if (diskBad_ && pendingWrites_.empty() && now >= probeAt_) {
        probeAt_ = now + DISK_PROBE_INTERVAL;
        write({}, now);
    }
}

auto Voter::tickLeader(Microseconds now) -> void {
    auto heardLately = [&](const std::string& disk) {
        return disk == disk_ || (peers_[disk].heard && now - peers_[disk].heard < QUORUM_TIMEOUT);
    };
    if (majority(heardLately)) quorumAt_ = now;
    auto quorumLost = now - quorumAt_ > QUORUM_TIMEOUT;
    if (diskBad_ || quorumLost) {
        counters_.add(diskBad_ ? "leader_gave_up_disk_total" : "leader_lost_quorum_total");
        auto transferred = transferLeadership(now);
        follow(now);
        if (!transferred || quorumLost) leader_.clear();
        return;
    }
    if (now - heartbeatAt_ >= HEARTBEAT_INTERVAL) {
        heartbeatAt_ = now;
        sendAppends(now);
    }
    changeVoters(now);
}

auto Voter::tickFollower(Microseconds now) -> void {
    initializeBlankVoters(now);
    if (now < electionDue_) return;
    if (!isVoter(disk_) || diskBad_) electionDue_ = now + ELECTION_TIMEOUT;
    else if (role_->process(ElectionTimeout{}, counters_)) campaign(true, false, now);
}

auto Voter::handle(const wire::Envelope& message, Microseconds now) -> void {
    if (message.disk == disk_) return;
    auto hasSnapshot = message.__isset.installSnapshot || message.__isset.snapshotChunk;
    // A disk that its cluster no longer counts on may be told of a newer one.
    auto newer = message.epoch > epoch_ && vote_.empty();
    if (message.epoch != epoch_ && !(hasSnapshot && (blank() || newer))) {
        counters_.add("other_reign_dropped_total");
        return;
    }
    if (message.__isset.installSnapshot)
        return onSnapshot(message.disk, message.epoch, message.installSnapshot, now);
    if (message.__isset.snapshotChunk) return onChunk(message, now);
    if (blank()) return;
    auto& from = message.disk;
    if (message.__isset.requestVote && message.requestVote.preVote)
        onPreVoteAsk(from, message.requestVote, now);
    else if (message.__isset.requestVote) onVoteAsk(from, message.requestVote, now);
    else if (message.__isset.requestVoteReply) onVoteReply(from, message.requestVoteReply, now);
    else if (message.__isset.timeoutNow) onTakeOver(from, message.timeoutNow, now);
    else if (message.__isset.appendEntries) onAppendAsk(from, message.appendEntries, now);
    else if (message.__isset.appendEntriesReply) onAppendReply(from, message.appendEntriesReply, now);
    else if (message.__isset.snapshotChunkReply) onChunkReply(from, message.snapshotChunkReply, now);
}

}  // namespace duneturn
