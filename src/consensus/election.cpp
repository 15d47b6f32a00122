// Terms, pre-vote, votes (3.4, 9.6) and leadership transfer (3.10).
#include <cstdint>
#include <string>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::becomeFollower(Microseconds now) -> void {
    if (leads()) {
        logEvent("leader_stepped_down", "term={}", term_);
        for (auto id : reads_.takeAll()) port_.onReadDone(id, false);
    }
    if (role() != Role::Follower && !blank()) roles_->process(LeaderSeen{}, counters_);
    restartElectionTimer(now);
}

auto Voter::adoptTerm(std::int64_t term, Microseconds now) -> void {
    if (term <= term_) return;
    term_ = term;
    votedFor_.clear();
    leaderDisk_.clear();
    becomeFollower(now);
}

auto Voter::hasElectionMajority() const -> bool {
    return hasMajority([&](auto& disk) { return votes_.count(disk) > 0; });
}

auto Voter::voteRequest() const -> wire::RequestVote {
    auto request = wire::RequestVote();
    request.joint = true;
    request.lastLogIndex = last();
    request.lastLogTerm = log_.lastTerm();
    return request;
}

// Asks whether a majority would vote for this one, before it disturbs the cluster by a higher term (9.6).
auto Voter::beginPreVote(Microseconds now) -> void {
    restartElectionTimer(now);
    ownVoteWrite_ = 0;
    preVoteStart_ = now;
    votes_ = {disk_};
    auto request = voteRequest();
    request.preVote = true;
    request.term = term_ + 1;
    auto message = envelope();
    message.__set_requestVote(request);
    for (auto& disk : configuration_.disks())
        if (disk != disk_) port_.sendToReplica(disk, message);
    if (!hasElectionMajority()) return;
    roles_->process(PreVoteWon{}, counters_);
    beginElection(false, now);
}

auto Voter::beginElection(bool leadershipTransfer, Microseconds now) -> void {
    restartElectionTimer(now);
    votes_.clear();
    term_++;
    votedFor_ = disk_;
    leaderDisk_.clear();
    ownVoteWrite_ = write({}, now);
    counters_.add("elections_total");
    auto request = voteRequest();
    request.leadershipTransfer = leadershipTransfer;
    request.term = term_;
    auto message = envelope();
    message.__set_requestVote(request);
    for (auto& disk : configuration_.disks())
        if (disk != disk_) sendAfterWrite(ownVoteWrite_, disk, message);
}

auto Voter::becomeLeader(Microseconds now) -> void {
    if (!roles_->process(ElectionWon{}, counters_)) return;
    leaderDisk_ = disk_;
    lastQuorumContact_ = leaderSince_ = now;
    progress_.clear();
    snapshotSenders_.clear();
    lastHeartbeat_ = 0;
    heartbeatRound_++;
    logEvent("leader_elected", "epoch={} term={}", epoch_, term_);
    counters_.add("leader_won_total");
    firstIndexOfTerm_ = last() + 1;
    rebuildLatestState();
    append(ENTRY_NOOP, "", now);
}

auto Voter::transferLeadership(Microseconds now) -> bool {
    if (!leads()) return false;
    auto best = std::string();
    for (auto& voter : configuration_.voters()) {  // while a change is under way, only one who stays
        if (voter.disk == disk_) continue;
        auto& progress = progress_[voter.disk];
        if (now - progress.lastContact() >= ELECTION_TIMEOUT) continue;
        if (best.empty() || progress.match() > progress_[best].match()) best = voter.disk;
    }
    if (best.empty() || progress_[best].match() < lastSynced_) return false;
    auto message = envelope();
    auto timeoutNow = wire::TimeoutNow();
    timeoutNow.term = term_;
    message.__set_timeoutNow(timeoutNow);
    port_.sendToReplica(best, message);
    transferDeadline_ = now + ELECTION_TIMEOUT;
    counters_.add("handed_over_total");
    logEvent("leadership_transferred", "to_disk={}", best);
    return true;
}

auto Voter::isUpToDate(const wire::RequestVote& request) const -> bool {
    auto lastTerm = log_.lastTerm();
    return request.lastLogTerm > lastTerm
        || (request.lastLogTerm == lastTerm && request.lastLogIndex >= last());
}

// Whether a leader stands as far as this voter knows; then nobody else is voted for.
auto Voter::hasLiveLeader(Microseconds now) const -> bool {
    if (leads()) return now - lastQuorumContact_ < QUORUM_TIMEOUT;
    return !leaderDisk_.empty() && now - lastLeaderContact_ < ELECTION_TIMEOUT;
}

// A program that doesn't know joint configurations would count one majority only.
auto Voter::candidateReadsConfiguration(const wire::RequestVote& request) const -> bool {
    return !joint() || request.joint;
}

auto Voter::onPreVoteRequest(const std::string& from, const wire::RequestVote& request, Microseconds now)
    -> void {
    // Two candidates at the same time would split the vote: the lower identity gives way.
    auto precedes = role() == Role::PreCandidate && now - preVoteStart_ < ELECTION_TIMEOUT / 2 && disk_ > from
        && request.lastLogTerm == log_.lastTerm() && request.lastLogIndex == last();
    auto leaderStands = !request.leadershipTransfer && hasLiveLeader(now);
    auto reply = wire::RequestVoteReply();
    reply.preVote = true;
    reply.granted = request.term > term_ && isUpToDate(request) && candidateReadsConfiguration(request)
        && !leaderStands && !precedes && !isDiskFaulty();
    reply.term = reply.granted ? request.term : term_;
    auto message = envelope();
    message.__set_requestVoteReply(reply);
    port_.sendToReplica(from, message);
}

auto Voter::onRequestVote(const std::string& from, const wire::RequestVote& request, Microseconds now)
    -> void {
    if (!request.leadershipTransfer && hasLiveLeader(now) && request.term > term_) return;
    auto message = envelope();
    auto reply = wire::RequestVoteReply();
    adoptTerm(request.term, now);
    auto mayVote = votedFor_.empty() || votedFor_ == from || broken.voteTwice;
    auto isFit = isUpToDate(request) && candidateReadsConfiguration(request);
    if (request.term == term_ && isFit && mayVote && !leads() && !isDiskFaulty()) {
        votedFor_ = from;
        reply.granted = true;
        restartElectionTimer(now);
    }
    reply.term = term_;
    message.__set_requestVoteReply(reply);
    sendAfterWrite(writeIfUnsaved(now), from, message);
}

auto Voter::onRequestVoteReply(const std::string& from, const wire::RequestVoteReply& reply, Microseconds now)
    -> void {
    if (!reply.granted) {
        if (isVoter(from)) adoptTerm(reply.term, now);  // one that is no voter deposes nobody
        return;
    }
    if (reply.preVote && role() == Role::PreCandidate && reply.term == term_ + 1) {
        votes_.insert(from);
        if (!hasElectionMajority()) return;
        roles_->process(PreVoteWon{}, counters_);
        beginElection(false, now);
    } else if (!reply.preVote && role() == Role::Candidate && reply.term == term_) {
        votes_.insert(from);
        if (hasElectionMajority()) becomeLeader(now);
    }
}

auto Voter::onTimeoutNow(const std::string& from, const wire::TimeoutNow& message, Microseconds now) -> void {
    if (from != leaderDisk_) return rejectMessage("transfer_refused_total", from);
    if (message.term != term_ || role() != Role::Follower || !isVoter(disk_) || isDiskFaulty()) return;
    if (roles_->process(LeadershipReceived{}, counters_)) beginElection(true, now);
}

}  // namespace duneturn
