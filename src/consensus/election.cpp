// Terms, pre-vote, votes and leadership transfer.
#include <cstdint>
#include <string>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::follow(Microseconds now) -> void {
    if (leads()) {
        logf("core: no longer leader in term {}", term_);
        for (auto& r : reads_) port_.voterRead(r.id, false);
        reads_.clear();
    }
    if (role() != Role::Follower && !blank()) role_->process(LeaderSeen{}, counters_);
    restartElectionTimer(now);
}

auto Voter::adoptTerm(std::int64_t term, Microseconds now) -> void {
    if (term <= term_) return;
    term_ = term;
    vote_.clear();
    leader_.clear();
    follow(now);
}

auto Voter::hasVotes() const -> bool {
    return majority([&](auto& disk) { return votes_.count(disk) > 0; });
}

auto Voter::campaign(bool preVote, bool transferred, Microseconds now) -> void {
    votes_.clear();
    voteSeq_ = 0;
    restartElectionTimer(now);
    auto ask = wire::RequestVote();
    ask.preVote = preVote;
    ask.leadershipTransfer = transferred;
    ask.joint = true;
    ask.lastLogIndex = last();
    ask.lastLogTerm = termAt(last());
    ask.term = term_ + 1;
    auto seq = std::int64_t(0);
    if (preVote) {
        preVoteAt_ = now;
        votes_.insert(disk_);
    } else {
        term_++;
        vote_ = disk_;
        leader_.clear();
        seq = voteSeq_ = write({}, now);
        counters_.add("elections_total");
    }
    auto message = envelope();
    message.__set_requestVote(ask);
    for (auto& disk : members()) {
        if (disk == disk_) continue;
        if (preVote) port_.voterSend(disk, message);
        else sendAfter(seq, disk, message);
    }
    if (!preVote || !hasVotes()) return;
    role_->process(PreVoteWon{}, counters_);
    campaign(false, false, now);
}

auto Voter::becomeLeader(Microseconds now) -> void {
    if (!role_->process(ElectionWon{}, counters_)) return;
    leader_ = disk_;
    quorumAt_ = leadSince_ = now;
    peers_.clear();
    transfers_.clear();
    heartbeatAt_ = 0;
    round_++;
    logf("core: leader of reign {} term {}", epoch_, term_);
    counters_.add("leader_won_total");
    termStart_ = last() + 1;
    append(ENTRY_NOOP, "", now);
}

auto Voter::transferLeadership(Microseconds now) -> bool {
    if (!leads()) return false;
    auto best = std::string();
    for (auto& v : voters_) {  // while a change is under way, only one who stays
        if (v.disk == disk_ || now - peers_[v.disk].heard >= ELECTION_TIMEOUT) continue;
        if (best.empty() || peers_[v.disk].match > peers_[best].match) best = v.disk;
    }
    if (best.empty() || peers_[best].match < synced_) return false;
    auto message = envelope();
    auto timeoutNow = wire::TimeoutNow();
    timeoutNow.term = term_;
    message.__set_timeoutNow(timeoutNow);
    port_.voterSend(best, message);
    transferDue_ = now + ELECTION_TIMEOUT;
    counters_.add("handed_over_total");
    logf("core: the duty is handed to disk {}", best);
    return true;
}

auto Voter::logIsCurrent(const wire::RequestVote& ask) const -> bool {
    auto lastTerm = termAt(last());
    return ask.lastLogTerm > lastTerm || (ask.lastLogTerm == lastTerm && ask.lastLogIndex >= last());
}

// Whether a leader stands as far as this voter knows; then nobody else is voted for.
auto Voter::hearsLeader(Microseconds now) const -> bool {
    if (leads()) return now - quorumAt_ < QUORUM_TIMEOUT;
    return !leader_.empty() && now - heardLeader_ < ELECTION_TIMEOUT;
}

// A program that doesn't know joint configurations would count one majority only.
auto Voter::candidateMayCount(const wire::RequestVote& ask) const -> bool { return !joint() || ask.joint; }

auto Voter::onPreVoteAsk(const std::string& from, const wire::RequestVote& ask, Microseconds now) -> void {
    // Two that ask at the same time would split the vote: the lower identity gives way.
    auto precedes = role() == Role::PreCandidate && now - preVoteAt_ < ELECTION_TIMEOUT / 2 && disk_ > from
        && ask.lastLogTerm == termAt(last()) && ask.lastLogIndex == last();
    auto leaderStands = !ask.leadershipTransfer && hearsLeader(now);
    auto reply = wire::RequestVoteReply();
    reply.preVote = true;
    reply.granted = ask.term > term_ && logIsCurrent(ask) && candidateMayCount(ask) && !leaderStands
        && !precedes && !diskBad_;
    reply.term = reply.granted ? ask.term : term_;
    auto message = envelope();
    message.__set_requestVoteReply(reply);
    port_.voterSend(from, message);
}

auto Voter::onVoteAsk(const std::string& from, const wire::RequestVote& ask, Microseconds now) -> void {
    if (!ask.leadershipTransfer && hearsLeader(now) && ask.term > term_) return;
    auto message = envelope();
    auto reply = wire::RequestVoteReply();
    adoptTerm(ask.term, now);
    auto unused = vote_.empty() || vote_ == from || broken.voteTwice;
    auto sound = logIsCurrent(ask) && candidateMayCount(ask) && !diskBad_;
    if (ask.term == term_ && sound && unused && !leads()) {
        vote_ = from;
        reply.granted = true;
        restartElectionTimer(now);
    }
    reply.term = term_;
    message.__set_requestVoteReply(reply);
    sendAfter(writeIfUnsaved(now), from, message);
}

auto Voter::onVoteReply(const std::string& from, const wire::RequestVoteReply& reply, Microseconds now)
    -> void {
    if (!reply.granted) {
        if (isVoter(from)) adoptTerm(reply.term, now);  // one that is no voter deposes nobody
        return;
    }
    if (reply.preVote && role() == Role::PreCandidate && reply.term == term_ + 1) {
        votes_.insert(from);
        if (!hasVotes()) return;
        role_->process(PreVoteWon{}, counters_);
        campaign(false, false, now);
    } else if (!reply.preVote && role() == Role::Candidate && reply.term == term_) {
        votes_.insert(from);
        if (hasVotes()) becomeLeader(now);
    }
}

auto Voter::onTakeOver(const std::string& from, const wire::TimeoutNow& message, Microseconds now) -> void {
    if (from != leader_) return refuse("transfer_refused_total", from);
    if (message.term != term_ || role() != Role::Follower || !isVoter(disk_) || diskBad_) return;
    if (role_->process(LeadershipReceived{}, counters_)) campaign(false, true, now);
}

}  // namespace duneturn
