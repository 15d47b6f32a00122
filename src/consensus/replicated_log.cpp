#include "consensus/replicated_log.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "consensus/configuration.hpp"
#include "consensus/invariant.hpp"
#include "consensus/limits.hpp"

namespace duneturn {

auto ReplicatedLog::reset(std::int64_t baseIndex, std::int64_t baseTerm) -> void {
    entries_.clear();
    base_ = baseIndex;
    baseTerm_ = baseTerm;
}

auto ReplicatedLog::append(wire::Entry entry) -> void {
    INVARIANT(entry.index == last() + 1);
    entries_.push_back(std::move(entry));
}

auto ReplicatedLog::truncateFrom(std::int64_t index) -> void {
    INVARIANT(index > base_ && index <= last() + 1);
    entries_.resize(std::size_t(index - base_ - 1));
}

auto ReplicatedLog::compact(std::int64_t snapshotIndex) -> void {
    auto newBase = snapshotIndex;
    auto bytes = std::size_t(0);
    while (newBase > base_ && snapshotIndex - newBase < TAIL_ENTRIES) {
        bytes += at(newBase).body.size();
        if (bytes > TAIL_BYTES) break;
        newBase--;
    }
    auto newBaseTerm = termAt(newBase);
    entries_.erase(entries_.begin(), entries_.begin() + std::ptrdiff_t(newBase - base_));
    base_ = newBase;
    baseTerm_ = newBaseTerm;
}

auto ReplicatedLog::termAt(std::int64_t index) const -> std::int64_t {
    if (index == base_) return baseTerm_;
    if (index < base_ || index > last()) return UNKNOWN_TERM;
    return at(index).term;
}

auto ReplicatedLog::bodyBytes(std::int64_t first, std::int64_t last) const -> std::size_t {
    auto bytes = std::size_t(0);
    for (auto index = first; index <= last; index++) bytes += at(index).body.size();
    return bytes;
}

auto ReplicatedLog::newestConfigurationEntry() const -> const wire::Entry* {
    auto newest = std::find_if(entries_.rbegin(), entries_.rend(), isConfigurationEntry);
    return newest == entries_.rend() ? nullptr : &*newest;
}

}  // namespace duneturn
