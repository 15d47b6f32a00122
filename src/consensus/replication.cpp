// Appending entries here and on the other voters, commit, reads, and applying.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

auto Voter::append(int kind, const std::string& body, Microseconds now) -> void {
    auto e = wire::Entry();
    e.term = term_;
    e.index = last() + 1;
    e.kind = kind;
    e.body = body;
    log_.append(e);
    if (isConfigurationEntry(e)) refreshConfiguration();
    if (kind == ENTRY_ORDER) latestState_.apply(body);
    auto w = DiskWrite();
    w.entries.push_back(e);
    write(w, now);
    sendAppends(now);
}

auto Voter::propose(int kind, const std::string& body, Microseconds now) -> bool {
    if (!leads() || diskBad() || transferDue_ > now) return false;
    append(kind, body, now);
    return true;
}

auto Voter::read(std::int64_t id, Microseconds now) -> void {
    if (!ready()) {
        port_.voterRead(id, false);
        return;
    }
    reads_.add({id, ++round_, commit_});
    sendAppends(now);
    advanceCommit(now);
}

auto Voter::sendAppends(Microseconds now) -> void {
    for (auto& disk : configuration_.disks())
        if (disk != disk_) sendAppend(disk, now);
}

auto Voter::sendAppend(const std::string& disk, Microseconds now) -> void {
    auto& progress = progress_[disk];
    progress.start(last() + 1);
    progress.noteSent(now);
    if (progress.dropLostBatches(now)) counters_.add("append_batches_resent_total");
    if (progress.next() <= log_.base()) return sendSnapshot(disk, now);
    auto before = progress.next();
    do {
        before = progress.next();
        sendBatch(disk, progress, now);
    } while (progress.next() > before && progress.next() <= last() && progress.hasRoom());
}

// One message: a batch of entries, or a heartbeat if there are none or enough are on their way.
auto Voter::sendBatch(const std::string& disk, ReplicaProgress& progress, Microseconds now) -> void {
    auto ask = wire::AppendEntries();
    ask.term = term_;
    ask.prevLogIndex = progress.next() - 1;
    ask.prevLogTerm = log_.termAt(progress.next() - 1);
    ask.commit = commit_;
    ask.round = round_;
    auto bytes = std::size_t(0);
    auto room = progress.hasRoom();
    for (auto i = progress.next(); room && i <= last() && ask.entries.size() < BATCH_ENTRIES; i++) {
        if (bytes > 0 && bytes + log_.at(i).body.size() > BATCH_BYTES) break;
        // One that reads no joint configuration would go on by the voters before it.
        if (log_.at(i).kind == ENTRY_JOINT && !progress.knowsJoint()) break;
        ask.entries.push_back(log_.at(i));
        bytes += log_.at(i).body.size();
    }
    if (!ask.entries.empty()) progress.batchSent(ask.entries.back().index, bytes, now);
    auto message = envelope();
    message.__set_appendEntries(ask);
    port_.voterSend(disk, message);
}

auto Voter::advanceCommit(Microseconds now) -> void {
    if (!leads()) return;
    auto matchOf = [&](const std::string& disk) {
        if (disk == disk_) return synced_;
        auto progress = progress_.find(disk);
        return progress == progress_.end() ? 0 : progress->second.match();
    };
    auto held = configuration_.majorityIndex(matchOf, quorumFaults());
    // Entries of earlier terms are committed by one of this term (Raft, 3.6.2).
    auto mayCount = log_.termAt(held) == term_ || broken.commitOldTerm;
    if (held > commit_ && mayCount) {
        commit_ = held;
        write({}, now);
        sendAppends(now);
    }
    answerReads();
}

auto Voter::answerReads() -> void {
    auto isConfirmed = [&](std::int64_t round) {
        auto confirms = [&](const std::string& disk) {
            return disk == disk_ || progress_[disk].confirmedRound() >= round;
        };
        return hasMajority(confirms) || broken.skipReadQuorum;
    };
    while (auto id = reads_.takeAnswerable(applied_, isConfirmed)) port_.voterRead(*id, true);
}

auto Voter::applyUpTo(std::int64_t index, Microseconds now) -> void {
    auto any = applied_ < index && applied_ < last();
    while (applied_ < index && applied_ < last()) {
        applied_++;
        applyEntry(log_.at(applied_));
    }
    if (!any) return;
    if (applied_ == last()) latestState_ = replicatedState_;
    if (leads() && !isVoter(disk_) && applied_ == last()) {
        transferLeadership(now);
        follow(now);
    }
    if (compactionDue()) compact(now);
}

// A message that no sound member sends in this state.
auto Voter::refuse(const char* counter, const std::string& from) -> void {
    counters_.add(counter);
    logf("core: a message of disk {} was refused ({})", from, counter);
}

// Whether entries follow each other without a gap, in rising terms, and can be read here.
auto Voter::wellFormed(const wire::AppendEntries& ask) const -> bool {
    if (ask.prevLogIndex < 0 || ask.commit < 0) return false;
    auto index = ask.prevLogIndex;
    auto term = ask.prevLogTerm;
    for (auto& e : ask.entries) {
        if (e.index != ++index || e.term < term || e.term > ask.term) return false;
        if (!entryKnown(e)) return false;
        term = e.term;
    }
    return true;
}

auto Voter::contradictsCommitted(const wire::AppendEntries& ask) const -> bool {
    auto contradicts = [&](std::int64_t index, std::int64_t term) {
        return index >= snapshot_.index && index <= commit_ && log_.termAt(index) != term;
    };
    if (contradicts(ask.prevLogIndex, ask.prevLogTerm)) return true;
    return std::any_of(
        ask.entries.begin(), ask.entries.end(), [&](auto& e) { return contradicts(e.index, e.term); });
}

auto Voter::onAppendAsk(const std::string& from, const wire::AppendEntries& ask, Microseconds now) -> void {
    auto reply = wire::AppendEntriesReply();
    auto message = envelope();
    if (ask.term < term_) {
        reply.term = term_;
        message.__set_appendEntriesReply(reply);
        port_.voterSend(from, message);
        return;
    }
    if (!wellFormed(ask)) return refuse("append_malformed_total", from);
    auto otherLeader = ask.term == term_ && !leader_.empty() && leader_ != from;
    if (otherLeader && !broken.voteTwice) return refuse("append_second_leader_total", from);
    if (contradictsCommitted(ask) && !broken.truncateCommitted)
        return refuse("append_contradicts_committed_total", from);
    adoptTerm(ask.term, now);
    if (role() != Role::Follower) follow(now);
    leader_ = from;
    heardLeader_ = now;
    restartElectionTimer(now);
    reply.term = term_;
    reply.round = ask.round;
    reply.knowsJoint = true;
    if (ask.prevLogIndex > last()
        || (ask.prevLogIndex >= snapshot_.index && log_.termAt(ask.prevLogIndex) != ask.prevLogTerm)) {
        reply.prevLogIndex = ask.prevLogIndex;
        reply.rejectHint = std::min(last(), ask.prevLogIndex - 1);
        message.__set_appendEntriesReply(reply);
        sendAfter(writeIfUnsaved(now), from, message);
        return;
    }
    auto w = storeEntries(ask);
    auto match = ask.prevLogIndex + std::int64_t(ask.entries.size());
    auto commit = std::min(ask.commit, match);
    auto rises = commit > commit_;
    if (rises) commit_ = commit;
    if (!w.entries.empty()) {
        refreshConfiguration();
        rebuildHead();
    }
    reply.ok = true;
    reply.match = match;
    message.__set_appendEntriesReply(reply);
    auto seq = rises || !w.entries.empty() ? write(w, now) : writeIfUnsaved(now);
    sendAfter(seq, from, message);
}

// Adds what the log lacks; an entry of another term at the same index replaces all from there on.
auto Voter::storeEntries(const wire::AppendEntries& ask) -> DiskWrite {
    auto w = DiskWrite();
    for (auto& e : ask.entries) {
        if (e.index <= snapshot_.index || (e.index <= last() && log_.termAt(e.index) == e.term)) continue;
        if (e.index <= last()) {
            if (w.truncateFrom < 0) w.truncateFrom = e.index;
            log_.truncateFrom(e.index);
            synced_ = std::min(synced_, last());
        }
        log_.append(e);
        w.entries.push_back(e);
    }
    auto end = ask.prevLogIndex + std::int64_t(ask.entries.size());
    if (broken.truncateMatching && last() > end && end > snapshot_.index) {
        writes_.truncateWithNextWrite(end + 1);
        log_.truncateFrom(end + 1);
        synced_ = std::min(synced_, last());
    }
    return w;
}

auto Voter::onAppendReply(const std::string& from, const wire::AppendEntriesReply& reply, Microseconds now)
    -> void {
    if (reply.ok) endTransfer(from, reply.match);
    if (reply.term > term_) {
        // One that is no voter deposes nobody.
        if (isVoter(from)) adoptTerm(reply.term, now);
        return;
    }
    if (!leads() || reply.term != term_) return;
    auto known = progress_.find(from);
    if (known == progress_.end()) return counters_.add("reply_of_stranger_total");
    if (reply.match > last()) return refuse("reply_beyond_log_total", from);
    auto& progress = known->second;
    progress.noteReply(reply, now);
    auto sendMore = false;
    if (reply.ok) {
        progress.acknowledge(reply.match, now);
        sendMore = progress.next() <= last() && progress.hasRoom();
    } else {
        sendMore = progress.reject(reply);
    }
    if (sendMore) sendAppend(from, now);
    advanceCommit(now);
}

}  // namespace duneturn
