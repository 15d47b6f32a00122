#include "consensus/progress.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "consensus/invariant.hpp"
#include "consensus/limits.hpp"

namespace duneturn {

auto CatchUp::beginRound(std::int64_t last, Microseconds now) -> void {
    roundTarget_ = last;
    roundStart_ = now;
}

auto CatchUp::update(std::int64_t match, std::int64_t last, Microseconds now) -> Verdict {
    if (match == 0) return Verdict::Undecided;
    if (roundTarget_ == 0) {
        beginRound(last, now);
        return Verdict::Undecided;
    }
    auto duration = now - roundStart_;
    auto ended = match >= roundTarget_;
    if (ended && duration <= ELECTION_TIMEOUT) return Verdict::CaughtUp;
    if (!ended && duration <= CATCH_UP_ROUND_LIMIT) return Verdict::Undecided;
    beginRound(last, now);
    if (ended && ++rounds_ < MAX_CATCH_UP_ROUNDS) return Verdict::Undecided;
    roundTarget_ = 0;
    rounds_ = 0;
    retryAt_ = now + LEARNER_RETRY;
    return Verdict::TooSlow;
}

auto ReplicaProgress::hasRoom() const -> bool { return inFlight_.size() < MAX_BATCHES_IN_FLIGHT; }

auto ReplicaProgress::reads(const wire::Entry& entry) const -> bool {
    if (entry.kind == ENTRY_JOINT) return knowsJoint_;
    return entry.kind != ENTRY_COMPACT || knowsCompact_;
}

auto ReplicaProgress::start(std::int64_t next) -> void {
    if (next_ == 0) next_ = next;
}

auto ReplicaProgress::noteReply(const wire::AppendEntriesReply& reply, Microseconds now) -> void {
    lastContact_ = now;
    knowsJoint_ = knowsJoint_ || reply.knowsJoint;
    knowsCompact_ = knowsCompact_ || reply.knowsCompact;
    confirmedRound_ = std::max(confirmedRound_, reply.round);
}

auto ReplicaProgress::batchSent(std::int64_t last, std::size_t bytes, Microseconds now) -> void {
    INVARIANT(match_ < next_ && next_ <= last);
    if (inFlight_.empty()) progressAt_ = now;
    inFlight_.push_back({next_, last, bytes});
    next_ = last + 1;
}

auto ReplicaProgress::acknowledge(std::int64_t match, Microseconds now) -> void {
    if (match > match_) {
        match_ = match;
        progressAt_ = now;
    }
    while (!inFlight_.empty() && inFlight_.front().last <= match_) inFlight_.pop_front();
    next_ = std::max(next_, match_ + 1);
}

auto ReplicaProgress::reject(const wire::AppendEntriesReply& reply) -> bool {
    // What counts is the answer to the first unanswered batch: `next_` has run ahead of it.
    auto first = inFlight_.empty() ? next_ : inFlight_.front().first;
    if (reply.prevLogIndex > 0 && reply.prevLogIndex != first - 1) return false;
    inFlight_.clear();
    next_ = std::max<std::int64_t>(1, std::min(first - 1, reply.rejectHint + 1));
    next_ = std::max(next_, match_ + 1);
    return true;
}

auto ReplicaProgress::dropLostBatches(Microseconds now) -> bool {
    if (inFlight_.empty()) return false;
    auto bytes = std::size_t(0);
    for (auto& batch : inFlight_) bytes += batch.bytes;
    if (now - progressAt_ < RETRY_BASE + Microseconds(bytes) * RETRY_PER_BYTE) return false;
    next_ = std::max(match_ + 1, inFlight_.front().first);
    inFlight_.clear();
    return true;
}

}  // namespace duneturn
