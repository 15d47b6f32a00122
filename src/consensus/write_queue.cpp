#include "consensus/write_queue.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "consensus/invariant.hpp"
#include "consensus/limits.hpp"

namespace duneturn {

auto WriteQueue::issue(DiskWrite write, std::int64_t lastIndex, std::int64_t lastTerm,
    const std::string& snapshotDocument, Microseconds now) -> DiskWrite {
    write.seq = ++sequence_;
    write.writeEpoch = writeEpoch_;
    if (truncateFrom_ >= 0 && (write.truncateFrom < 0 || write.truncateFrom > truncateFrom_))
        write.truncateFrom = truncateFrom_;
    truncateFrom_ = -1;
    if (carriesSnapshot_ && write.meta.snapshotIndex > 0 && !write.hasSnapshot) {
        write.hasSnapshot = true;
        write.document = snapshotDocument;
    }
    write.reset = write.reset || carriesReset_;
    carriesReset_ = carriesSnapshot_ = false;
    writtenTerm_ = write.meta.term;
    writtenVote_ = write.meta.vote;
    pending_.push_back({.sequence = write.seq,
        .writeEpoch = writeEpoch_,
        .term = write.meta.term,
        .commit = write.meta.commit,
        .lastIndex = lastIndex,
        .lastTerm = lastTerm,
        .issuedAt = now,
        .reset = write.reset,
        .hasSnapshot = write.hasSnapshot});
    return write;
}

auto WriteQueue::isUnsaved(std::int64_t term, const std::string& vote) const -> bool {
    return writtenTerm_ != term || writtenVote_ != vote || carriesReset_ || carriesSnapshot_;
}

auto WriteQueue::complete(std::int64_t sequence) -> std::optional<PendingWrite> {
    while (!pending_.empty() && pending_.front().sequence <= sequence) {
        auto write = pending_.front();
        pending_.pop_front();
        if (write.sequence == sequence) return write;
    }
    return std::nullopt;
}

auto WriteQueue::recordSuccess() -> bool {
    if (!diskFaulty_ || !pending_.empty()) return false;
    diskFaulty_ = false;
    return true;
}

auto WriteQueue::recordFailure(const PendingWrite& write, bool forgetTerm, Microseconds now) -> bool {
    INVARIANT(write.writeEpoch <= writeEpoch_);
    if (write.writeEpoch < writeEpoch_) return false;
    writeEpoch_++;
    diskFaulty_ = true;
    probeAt_ = now + DISK_PROBE_INTERVAL;
    deferred_.clear();
    carryOver(write);
    for (auto& laterWrite : pending_) carryOver(laterWrite);
    if (forgetTerm) writtenTerm_ = -1;
    return true;
}

auto WriteQueue::carryOver(const PendingWrite& write) -> void {
    carriesReset_ = carriesReset_ || write.reset;
    carriesSnapshot_ = carriesSnapshot_ || write.hasSnapshot;
}

auto WriteQueue::detectStall(Microseconds now) -> bool {
    if (diskFaulty_ || pending_.empty() || now - pending_.front().issuedAt <= DISK_STALL_TIMEOUT)
        return false;
    diskFaulty_ = true;
    return true;
}

auto WriteQueue::takeDueProbe(Microseconds now) -> bool {
    if (!diskFaulty_ || !pending_.empty() || now < probeAt_) return false;
    probeAt_ = now + DISK_PROBE_INTERVAL;
    return true;
}

auto WriteQueue::isDone(std::int64_t sequence) const -> bool {
    return pending_.empty() || sequence < pending_.front().sequence;
}

auto WriteQueue::takeReleased(std::int64_t sequence) -> std::vector<DeferredMessage> {
    auto released = std::vector<DeferredMessage>();
    while (!deferred_.empty() && deferred_.front().sequence <= sequence) {
        released.push_back(std::move(deferred_.front()));
        deferred_.pop_front();
    }
    return released;
}

}  // namespace duneturn
