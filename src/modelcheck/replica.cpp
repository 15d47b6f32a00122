#include "modelcheck/replica.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "consensus/configuration.hpp"

namespace duneturn::modelcheck {

namespace {

constexpr Microseconds BOOT_TIME = 10 * SECOND;
constexpr Microseconds HEARTBEAT_STEP = 100 * MILLISECOND;
constexpr Microseconds TIMER_STEP = 50 * MILLISECOND;
constexpr Microseconds ELECTION_LIMIT = 1300 * MILLISECOND;  // longer than the longest election timeout
constexpr Microseconds QUORUM_STEP = 1300 * MILLISECOND;     // longer than a leader waits for a quorum
constexpr std::uint64_t VOTER_SEED = 1;
constexpr std::uint32_t MAX_ORDERS = 8;

auto orderKey(std::uint32_t number) -> std::string { return fmt::format("order-{}", number); }

auto digestOf(const wire::Entry& entry) -> std::uint64_t {
    return hash64(entry.body, hash64(fmt::format("{} {}", entry.term, entry.kind)));
}

auto viewOf(const DiskState& state) -> LogView {
    auto view = LogView();
    view.snapshotIndex = state.snapshotIndex;
    for (auto& entry : state.log)
        view.entries.push_back({entry.term, digestOf(entry), isConfigurationEntry(entry)});
    return view;
}

// The orders whose keys stand in a disk's log or snapshot.
auto ordersIn(const DiskState& state) -> std::uint32_t {
    auto found = std::uint32_t(0);
    for (auto number = 0u; number < MAX_ORDERS; number++) {
        auto quoted = jsonQuote(orderKey(number));
        auto holds = state.snapshotDocument.find(quoted) != std::string::npos;
        for (auto& entry : state.log)
            holds = holds || (entry.kind == ENTRY_ORDER && entry.body.find(quoted) != std::string::npos);
        if (holds) found |= 1u << number;
    }
    return found;
}

auto disksOf(const std::vector<VoterIdentity>& initialVoters) -> std::vector<std::string> {
    auto disks = std::vector<std::string>();
    for (auto& voter : initialVoters) disks.push_back(voter.disk);
    return disks;
}

}  // namespace

auto setBroken(Voter::Broken& broken, const std::string& name) -> bool {
    if (name == "ackBeforeSync") broken.ackBeforeSync = true;
    else if (name == "voteTwice") broken.voteTwice = true;
    else if (name == "noQuorum") broken.noQuorum = true;
    else if (name == "commitOldTerm") broken.commitOldTerm = true;
    else if (name == "skipReadQuorum") broken.skipReadQuorum = true;
    else if (name == "changeBeforeNoop") broken.changeBeforeNoop = true;
    else if (name == "truncateMatching") broken.truncateMatching = true;
    else return false;
    return true;
}

Replica::Replica(const DiskState& state, const std::string& newDiskId, Voter::Broken broken)
    : durable_(state), now_(BOOT_TIME), voter_(*this, counters_, VOTER_SEED) {
    voter_.broken = broken;
    voter_.start(state, newDiskId, now_);
}

auto Replica::takeOutput() -> StepOutput {
    auto output = std::move(output_);
    output_ = StepOutput();
    return output;
}

auto Replica::step(const Input& input) -> StepOutput {
    switch (input.kind) {
    case InputKind::ElectionTimeout: electionTimeout(); break;
    case InputKind::QuorumTimeout:
        now_ += QUORUM_STEP;
        voter_.tick(now_);
        break;
    case InputKind::Heartbeat:
        now_ += HEARTBEAT_STEP;
        voter_.tick(now_);
        break;
    case InputKind::Propose: propose(input.number); break;
    case InputKind::Read: voter_.read(input.number, now_); break;
    case InputKind::OfferSpare:
        voter_.setSpareDisks({{input.node, input.disk}});
        now_ += HEARTBEAT_STEP;
        voter_.tick(now_);
        break;
    case InputKind::TransferLeadership: voter_.transferLeadership(now_); break;
    case InputKind::Retire: voter_.retire(input.number, input.disk, now_); break;
    case InputKind::Deliver: voter_.handle(*input.message, now_); break;
    case InputKind::WriteSynced: finishWrite(true); break;
    case InputKind::WriteFailed: finishWrite(false); break;
    }
    return takeOutput();
}

// Small steps, so that the timer fires before a write that is under way counts as stalled.
auto Replica::electionTimeout() -> void {
    auto limit = now_ + ELECTION_LIMIT;
    auto role = voter_.role();
    while (now_ < limit && output_.sent.empty() && voter_.role() == role) {
        now_ += TIMER_STEP;
        voter_.tick(now_);
    }
}

auto Replica::finishWrite(bool ok) -> void {
    if (pending_.empty()) return;
    auto write = pending_.front();
    pending_.pop_front();
    auto taken = ok && gate_.takes(write);
    if (taken) applyDiskWrite(durable_, write);
    else gate_.fail(write);
    voter_.onDiskWriteDone(write.seq, taken, now_);
}

auto Replica::propose(std::uint32_t number) -> void {
    auto body = orderPrepare(voter_.latestState(), "empty", orderKey(number),
        fmt::format("{{\"district\":\"zone-{}\"}}", number), 0);
    if (body) voter_.propose(ENTRY_ORDER, *body, now_);
}

auto Replica::sendToReplica(const std::string& disk, wire::Envelope& envelope) -> void {
    output_.sent.push_back({disk, envelope});
}

auto Replica::writeToDisk(const DiskWrite& write) -> void {
    if (write.truncateFrom >= 0) output_.cuts.push_back(write.truncateFrom);
    pending_.push_back(write);
}

auto Replica::onStateApplied(const ReplicatedState& state, const AppliedEntry&) -> void {
    output_.applied.push_back({state.version, hash64(state.text())});
}

auto Replica::onReadDone(std::int64_t id, bool ok) -> void {
    auto visible = std::uint32_t(0);
    for (auto number = 0u; number < MAX_ORDERS; number++)
        if (voter_.replicatedState().outcome(orderKey(number)).status == 200) visible |= 1u << number;
    output_.answers.push_back({std::uint32_t(id), ok, visible});
}

auto Replica::diskAfterCrash(std::size_t kept) const -> DiskState {
    auto state = durable_;
    auto gate = gate_;
    for (auto i = std::size_t(0); i < kept && i < pending_.size(); i++)
        if (gate.takes(pending_[i])) applyDiskWrite(state, pending_[i]);
    return state;
}

auto Replica::observe() const -> Observation {
    auto seen = Observation();
    seen.disk = voter_.disk();
    seen.role = voter_.role();
    seen.ready = voter_.ready();
    seen.term = voter_.term();
    seen.commit = voter_.commit();
    seen.version = voter_.replicatedState().version;
    for (auto number = 0u; number < MAX_ORDERS; number++)
        if (voter_.replicatedState().outcome(orderKey(number)).status == 200)
            seen.ordersApplied |= 1u << number;
    seen.ordersDurable = ordersIn(durable_);
    seen.durable = viewOf(durable_);
    seen.written = viewOf(diskAfterCrash(pending_.size()));
    seen.appliedVoters = disksOf(voter_.replicatedState().voters());
    seen.newestVoters = disksOf(voter_.voters());
    seen.pendingWrites = pending_.size();
    return seen;
}

auto bootstrappedDisk(const std::vector<VoterIdentity>& voters, const std::string& disk) -> DiskState {
    auto bootstrapped = ReplicatedState();
    bootstrapped.bootstrap({"node"}, voters);
    auto state = DiskState();
    state.disk = disk;
    state.epoch = bootstrapped.epoch;
    state.term = 1;
    state.commit = state.snapshotIndex = 1;
    state.snapshotTerm = 1;
    state.snapshotDocument = bootstrapped.text();
    return state;
}

}  // namespace duneturn::modelcheck
