#include "membership/state_receiver.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/compression.hpp"
#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "membership/disaster_recovery.hpp"
#include "state/state_digest.hpp"

namespace duneturn {

namespace {

/// The longest document that is taken, decompressed.
constexpr std::size_t MAX_DOCUMENT_BYTES = std::size_t(32) << 20;
/// Between two requests for the whole state because steps did not fit: if they never do, the whole state
/// comes no more often than that.
constexpr Microseconds WHOLE_REQUEST_INTERVAL = 1 * SECOND;

/// The state in the message; nothing if it is malformed.
auto stateOf(const wire::ReplicatedState& message) -> std::optional<ReplicatedState> {
    auto state = ReplicatedState();
    if (message.compressed.empty()) {
        if (!state.load(message.document)) return std::nullopt;
    } else {
        auto document = inflateBytes(message.compressed, MAX_DOCUMENT_BYTES);
        if (!document || !state.load(*document)) return std::nullopt;
    }
    if (versionOf(state) != StateVersion{message.epoch, message.version}) return std::nullopt;
    return state;
}

/// Whether the step fits and makes the version that it names.
auto applyStep(ReplicatedState& state, const wire::StateStep& step) -> bool {
    auto entry = wire::Entry();
    entry.kind = step.kind;
    entry.body = step.body;
    if (!isReadableEntry(entry)) return false;
    if (isCommandEntry(entry)) state.apply(entry.body);
    else if (entry.kind == ENTRY_VOTERS) state.applyVoters(VoterConfiguration::fromEntry(entry).voters());
    else return false;
    return state.version == step.version;
}

}  // namespace

// ---- whole

/// A voter leaves its cluster for a later epoch as soon as it may, so it is reminded by each message of one.
auto StateReceiver::isNews(StateVersion version) const -> bool {
    if (context_.faults.acceptOldState) return true;
    if (isVoter() && version.epoch > context_.voter->epoch()) return true;
    return version > versionOf(held());
}

auto StateReceiver::handleWhole(const wire::ReplicatedState& message, Microseconds now) -> void {
    if (!isNews({message.epoch, message.version})) return context_.counters.add("word_old_dropped_total");
    auto state = stateOf(message);
    if (!state) return context_.counters.add("word_malformed_total");
    if (isVoter()) takeAsVoter(*state, nullptr, now);
    else adopt_(*state, nullptr);
}

// ---- as steps

auto StateReceiver::handleChange(const wire::StateChange& message, const std::string& from, Microseconds now)
    -> void {
    if (message.steps.empty()) return context_.counters.add("state_change_malformed_total");
    auto version = StateVersion{message.epoch, message.steps.back().version};
    if (version <= versionOf(held())) return context_.counters.add("word_old_dropped_total");
    auto state = apply(message);
    if (!state) return askForMissing(state.error(), from, now);
    context_.counters.add("state_changes_taken_total");
    if (isVoter()) takeAsVoter(*state, &message, now);
    else adopt_(*state, &message);
}

auto StateReceiver::apply(const wire::StateChange& message) const
    -> tl::expected<ReplicatedState, ChangeFault> {
    auto state = held();
    auto& faults = context_.faults;
    auto sameEpoch = message.epoch == state.epoch && state.version > 0;
    if (!sameEpoch || (message.base > state.version && !faults.applyAnyBase))
        return tl::make_unexpected(ChangeFault::Gap);
    for (auto& step : message.steps) {
        if (step.version <= state.version || applyStep(state, step)) continue;
        if (!faults.applyAnyBase) return tl::make_unexpected(ChangeFault::DoesNotFit);
        state.version = step.version;
    }
    if (std::int64_t(stateDigest(state)) != message.digest && !faults.ignoreDigest)
        return tl::make_unexpected(ChangeFault::DigestDiffers);
    return state;
}

/// A gap is closed from the version held here on. Where steps do not fit, the node that sent them is asked
/// for its whole state, as if none were held here.
auto StateReceiver::askForMissing(ChangeFault fault, const std::string& from, Microseconds now) -> void {
    auto source = context_.members.find(from);
    auto isGap = fault == ChangeFault::Gap;
    context_.counters.add(isGap ? "state_change_gaps_total" : "state_change_misfits_total");
    if (!source) return;
    if (isGap) return context_.requestState(source->peer, versionOf(held()));
    if (now < nextWholeRequestAt_) return;
    nextWholeRequestAt_ = now + WHOLE_REQUEST_INTERVAL;
    logEvent("state_change_misfit", "from={} version={} digest_differs={}", from, context_.state.version,
        fault == ChangeFault::DigestDiffers);
    context_.requestState(source->peer, {});
}

// ---- on a voter

/// A voter takes its state from its own disk only: what it says it holds must last.
auto StateReceiver::takeAsVoter(
    const ReplicatedState& state, const wire::StateChange* change, Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (versionOf(state) > versionOf(context_.receivedState)) context_.receivedState = state;
    if (protocol_.actsOnReceivedState() && state.epoch == voter.epoch())
        return actBeforeLog(state, change, now);
    if (state.epoch <= voter.epoch()) return;
    // Two nodes may begin an epoch at once: a disk that voted in one of those stays with it. A later one was
    // begun after a majority of these voters was seen to be lost.
    auto laterEpoch = state.epoch / EPOCH_STRIDE > voter.epoch() / EPOCH_STRIDE;
    voter.leaveCluster(laterEpoch, now);
}

/// Acts on a newer state of the voter's own epoch before its log has it, and retires the disk if the state
/// names the voters without it.
auto StateReceiver::actBeforeLog(
    const ReplicatedState& state, const wire::StateChange* change, Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (state.version <= context_.state.version) return;
    auto voters = state.voters();
    auto votes = std::any_of(voters.begin(), voters.end(),
        [&](const VoterIdentity& identity) { return identity.disk == voter.disk(); });
    if (!votes) {
        auto newDiskId = hash64(context_.members.own().node, context_.random.next());
        voter.retire(state.version, fmt::format("{:016x}", newDiskId), now);
    }
    adopt_(state, change);
}

}  // namespace duneturn
