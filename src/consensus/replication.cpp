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
    log_.push_back(e);
    if (kind == ENTRY_VOTERS || kind == ENTRY_JOINT) refreshVoters();
    if (kind == ENTRY_ORDER) latestState_.apply(body);
    auto w = DiskWrite();
    w.entries.push_back(e);
    write(w, now);
    sendAppends(now);
}

auto Voter::propose(int kind, const std::string& body, Microseconds now) -> bool {
    if (!leads() || diskBad_ || transferDue_ > now) return false;
    append(kind, body, now);
    return true;
}

auto Voter::read(std::int64_t id, Microseconds now) -> void {
    if (!ready()) {
        port_.voterRead(id, false);
        return;
    }
    reads_.push_back({id, ++round_, commit_});
    sendAppends(now);
    advanceCommit(now);
}

auto Voter::sendAppends(Microseconds now) -> void {
    for (auto& disk : members())
        if (disk != disk_) sendAppend(disk, now);
}

auto Voter::sendAppend(const std::string& disk, Microseconds now) -> void {
    auto& peer = peers_[disk];
    if (peer.next == 0) peer.next = last() + 1;
    peer.sent = now;
    dropLostBatches(peer, now);
    if (peer.next <= logBase_) return sendSnapshot(disk, now);
    auto before = peer.next;
    do {
        before = peer.next;
        if (peer.inFlight.empty()) peer.progressAt = now;
        sendBatch(disk, peer);
    } while (peer.next > before && peer.next <= last() && peer.inFlight.size() < MAX_BATCHES_IN_FLIGHT);
}

// What is unanswered for longer than a slow link needs is sent again.
auto Voter::dropLostBatches(Peer& peer, Microseconds now) -> void {
    auto bytes = std::size_t(0);
    for (auto& batch : peer.inFlight) bytes += batch.bytes;
    if (peer.inFlight.empty() || now - peer.progressAt < RETRY_BASE + Microseconds(bytes) * RETRY_PER_BYTE)
        return;
    peer.next = std::max(peer.match + 1, peer.inFlight.front().first);
    peer.inFlight.clear();
    counters_.add("append_batches_resent_total");
}

// One message: a batch of entries, or a heartbeat if there are none or enough are on their way.
auto Voter::sendBatch(const std::string& disk, Peer& peer) -> void {
    auto ask = wire::AppendEntries();
    ask.term = term_;
    ask.prevLogIndex = peer.next - 1;
    ask.prevLogTerm = termAt(peer.next - 1);
    ask.commit = commit_;
    ask.round = round_;
    auto bytes = std::size_t(0);
    auto room = peer.inFlight.size() < MAX_BATCHES_IN_FLIGHT;
    for (auto i = peer.next; room && i <= last() && ask.entries.size() < BATCH_ENTRIES; i++) {
        if (bytes > 0 && bytes + at(i).body.size() > BATCH_BYTES) break;
        // One that reads no joint configuration would go on by the voters before it.
        if (at(i).kind == ENTRY_JOINT && !peer.knowsJoint) break;
        ask.entries.push_back(at(i));
        bytes += at(i).body.size();
    }
    if (!ask.entries.empty()) {
        peer.inFlight.push_back({peer.next, ask.entries.back().index, bytes});
        peer.next = ask.entries.back().index + 1;
    }
    auto message = envelope();
    message.__set_appendEntries(ask);
    port_.voterSend(disk, message);
}

auto Voter::advanceCommit(Microseconds now) -> void {
    if (!leads()) return;
    auto held = majorityMatch(voters_);
    if (joint() && !broken.newMajorityOnly) held = std::min(held, majorityMatch(outgoing_));
    // Entries of earlier terms are committed by one of this term (Raft, 3.6.2).
    auto mayCount = termAt(held) == term_ || broken.commitOldTerm;
    if (held > commit_ && mayCount) {
        commit_ = held;
        write({}, now);
        sendAppends(now);
    }
    answerReads();
}

// The highest index that a majority of these voters' disks holds.
auto Voter::majorityMatch(const std::vector<VoterIdentity>& voters) const -> std::int64_t {
    auto held = std::vector<std::int64_t>();
    for (auto& v : voters) {
        auto peer = peers_.find(v.disk);
        auto match = peer == peers_.end() ? 0 : peer->second.match;
        held.push_back(v.disk == disk_ ? synced_ : match);
    }
    std::sort(held.begin(), held.end(), std::greater<>());
    if (held.empty()) return 0;
    return held[broken.noQuorum ? std::size_t(0) : held.size() / 2];
}

auto Voter::answerReads() -> void {
    for (auto i = std::size_t(0); i < reads_.size();) {
        auto r = reads_[i];
        auto confirmed = [&](const std::string& disk) {
            return disk == disk_ || peers_[disk].round >= r.round;
        };
        if (applied_ >= r.commit && (majority(confirmed) || broken.skipReadQuorum)) {
            reads_.erase(reads_.begin() + std::ptrdiff_t(i));
            port_.voterRead(r.id, true);
        } else i++;
    }
}

auto Voter::applyUpTo(std::int64_t index, Microseconds now) -> void {
    auto any = applied_ < index && applied_ < last();
    while (applied_ < index && applied_ < last()) {
        applied_++;
        applyEntry(at(applied_));
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
        return index >= snapshotIndex_ && index <= commit_ && termAt(index) != term;
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
        || (ask.prevLogIndex >= snapshotIndex_ && termAt(ask.prevLogIndex) != ask.prevLogTerm)) {
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
        refreshVoters();
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
        if (e.index <= snapshotIndex_ || (e.index <= last() && termAt(e.index) == e.term)) continue;
        if (e.index <= last()) {
            if (w.truncateFrom < 0) w.truncateFrom = e.index;
            log_.resize(std::size_t(e.index - logBase_ - 1));
            synced_ = std::min(synced_, last());
        }
        log_.push_back(e);
        w.entries.push_back(e);
    }
    auto end = ask.prevLogIndex + std::int64_t(ask.entries.size());
    if (broken.truncateMatching && last() > end && end > snapshotIndex_) {
        cutNext_ = end + 1;
        log_.resize(std::size_t(end - snapshotIndex_));
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
    if (!peers_.count(from)) return counters_.add("reply_of_stranger_total");
    if (reply.match > last()) return refuse("reply_beyond_log_total", from);
    auto& peer = peers_[from];
    peer.heard = now;
    peer.knowsJoint = peer.knowsJoint || reply.knowsJoint;
    peer.round = std::max(peer.round, reply.round);
    if (!reply.ok) return onRejected(from, peer, reply, now);
    if (reply.match > peer.match) {
        peer.match = reply.match;
        peer.progressAt = now;
    }
    while (!peer.inFlight.empty() && peer.inFlight.front().last <= peer.match) peer.inFlight.pop_front();
    peer.next = std::max(peer.next, peer.match + 1);
    if (peer.next <= last() && peer.inFlight.size() < MAX_BATCHES_IN_FLIGHT) sendAppend(from, now);
    advanceCommit(now);
}

auto Voter::onRejected(
    const std::string& from, Peer& peer, const wire::AppendEntriesReply& reply, Microseconds now) -> void {
    // What counts is the answer to the first unanswered batch: `next` has run ahead of it.
    auto first = peer.inFlight.empty() ? peer.next : peer.inFlight.front().first;
    auto stale = reply.prevLogIndex > 0 && reply.prevLogIndex != first - 1;
    if (!stale) {
        peer.inFlight.clear();
        peer.next = std::max<std::int64_t>(1, std::min(first - 1, reply.rejectHint + 1));
        peer.next = std::max(peer.next, peer.match + 1);
        sendAppend(from, now);
    }
    advanceCommit(now);
}

}  // namespace duneturn
