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

/// The maximum size of the document in a compressed message after decompression.
constexpr std::size_t MAX_DOCUMENT_BYTES = std::size_t(32) << 20;
/// The minimum interval between two requests for the complete state after steps that did not fit. It limits
/// how often the complete state is sent if the steps never fit.
constexpr Microseconds FULL_STATE_REQUEST_INTERVAL = 1 * SECOND;

/// Returns the state in the message; empty if it is malformed.
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

/// Applies a step, which is one log entry that changed the state. Returns whether it could be applied and
/// produced the version that it states.
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

// ---- complete state

/// Whether a complete state of this version must be handled. A voter handles one of a later epoch even if it
/// has received that version before: Voter::leaveCluster may have refused then and must be tried again.
auto StateReceiver::shouldHandle(StateVersion version) const -> bool {
    if (context_.faults.acceptOldState) return true;
    if (isVoter() && version.epoch > context_.voter->epoch()) return true;
    return version > versionOf(held());
}

auto StateReceiver::handleFullState(const wire::ReplicatedState& message, Microseconds now) -> void {
    if (!shouldHandle({message.epoch, message.version}))
        return context_.counters.add("word_old_dropped_total");
    auto state = stateOf(message);
    if (!state) return context_.counters.add("word_malformed_total");
    if (isVoter()) receiveAsVoter(*state, nullptr, now);
    else adopt_(*state, nullptr);
}

// ---- steps

auto StateReceiver::handleChange(const wire::StateChange& message, const std::string& from, Microseconds now)
    -> void {
    if (message.steps.empty()) return context_.counters.add("state_change_malformed_total");
    auto version = StateVersion{message.epoch, message.steps.back().version};
    if (version <= versionOf(held())) return context_.counters.add("word_old_dropped_total");
    auto state = apply(message);
    if (!state) return requestMissing(state.error(), from, now);
    context_.counters.add("state_changes_taken_total");
    if (isVoter()) receiveAsVoter(*state, &message, now);
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
        // Steps that the state already includes are skipped.
        if (step.version <= state.version || applyStep(state, step)) continue;
        if (!faults.applyAnyBase) return tl::make_unexpected(ChangeFault::DoesNotFit);
        state.version = step.version;
    }
    if (std::int64_t(stateDigest(state)) != message.digest && !faults.ignoreDigest)
        return tl::make_unexpected(ChangeFault::DigestDiffers);
    return state;
}

/// Requests from the sending node what was missing: after a gap, what is newer than the version held; if the
/// steps did not fit, the complete state, by a request that states no version.
auto StateReceiver::requestMissing(ChangeFault fault, const std::string& from, Microseconds now) -> void {
    auto source = context_.members.find(from);
    auto isGap = fault == ChangeFault::Gap;
    context_.counters.add(isGap ? "state_change_gaps_total" : "state_change_misfits_total");
    if (!source) return;
    if (isGap) return context_.requestState(source->peer, versionOf(held()));
    if (now < nextFullRequestAt_) return;
    nextFullRequestAt_ = now + FULL_STATE_REQUEST_INTERVAL;
    logEvent("state_change_misfit", "from={} version={} digest_differs={}", from, context_.state.version,
        fault == ChangeFault::DigestDiffers);
    context_.requestState(source->peer, {});
}

// ---- on a voter

/// A voter's state normally comes from its own disk only, because what it reports to hold must be durable.
/// The exception is a protocol that lets it act on a received state of its own epoch (adoptBeforeLog).
auto StateReceiver::receiveAsVoter(
    const ReplicatedState& state, const wire::StateChange* change, Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (versionOf(state) > versionOf(context_.receivedState)) context_.receivedState = state;
    if (protocol_.actsOnReceivedState() && state.epoch == voter.epoch())
        return adoptBeforeLog(state, change, now);
    if (state.epoch <= voter.epoch()) return;
    // Two nodes may begin an epoch at the same time. Both epochs then have the same ordinal (EPOCH_STRIDE),
    // and a disk that voted in one of them stays with it, which leaveCluster ensures unless it is forced. An
    // epoch of a higher ordinal was begun after a majority of this epoch's voters was found to be lost.
    auto hasHigherOrdinal = state.epoch / EPOCH_STRIDE > voter.epoch() / EPOCH_STRIDE;
    voter.leaveCluster(hasHigherOrdinal, now);
}

/// Adopts a newer state of the voter's own epoch before its log contains it. If the state does not list the
/// disk among the voters, first tries to retire the disk (Voter::retire).
auto StateReceiver::adoptBeforeLog(
    const ReplicatedState& state, const wire::StateChange* change, Microseconds now) -> void {
    auto& voter = *context_.voter;
    if (state.version <= context_.state.version) return;
    auto voters = state.voters();
    auto votes = std::any_of(voters.begin(), voters.end(),
        [&](const VoterIdentity& identity) { return identity.disk == voter.disk(); });
    if (!votes) {
        auto newDiskNumber = hash64(context_.members.own().node, context_.random.next());
        voter.retire(state.version, fmt::format("{:016x}", newDiskNumber), now);
    }
    adopt_(state, change);
}

}  // namespace duneturn
