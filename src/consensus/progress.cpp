#include "consensus/progress.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "consensus/invariant.hpp"
#include "consensus/limits.hpp"

namespace duneturn {

auto CatchUp::beginRound(std::int64_t lastIndex, Microseconds now) -> void {
    roundTarget_ = lastIndex;
    roundStart_ = now;
}

auto CatchUp::update(std::int64_t matchIndex, std::int64_t lastIndex, Microseconds now) -> Verdict {
    if (matchIndex == 0) return Verdict::Undecided;
    if (roundTarget_ == 0) {
        beginRound(lastIndex, now);
        return Verdict::Undecided;
    }
    auto duration = now - roundStart_;
    auto ended = matchIndex >= roundTarget_;
    if (ended && duration <= ELECTION_TIMEOUT) return Verdict::CaughtUp;
    if (!ended && duration <= CATCH_UP_ROUND_LIMIT) return Verdict::Undecided;
    beginRound(lastIndex, now);
    if (ended && ++slowRounds_ < MAX_CATCH_UP_ROUNDS) return Verdict::Undecided;
    roundTarget_ = 0;
    slowRounds_ = 0;
    retryAt_ = now + LEARNER_RETRY_DELAY;
    return Verdict::TooSlow;
}

auto ReplicaProgress::canSendBatch() const -> bool { return inFlight_.size() < MAX_BATCHES_IN_FLIGHT; }

auto ReplicaProgress::canRead(const wire::Entry& entry) const -> bool {
    if (entry.kind == ENTRY_JOINT) return supportsJoint_;
    return entry.kind != ENTRY_COMPACT || supportsCompact_;
}

auto ReplicaProgress::start(std::int64_t next) -> void {
    if (next_ == 0) next_ = next;
}

auto ReplicaProgress::recordReply(const wire::AppendEntriesReply& reply, Microseconds now) -> void {
    lastContact_ = now;
    supportsJoint_ = supportsJoint_ || reply.knowsJoint;
    supportsCompact_ = supportsCompact_ || reply.knowsCompact;
    confirmedRound_ = std::max(confirmedRound_, reply.round);
}

auto ReplicaProgress::recordBatch(std::int64_t last, std::size_t bytes, Microseconds now) -> void {
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
    // Only the answer to the first unanswered batch counts: next_ already points beyond all batches in
    // flight.
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
