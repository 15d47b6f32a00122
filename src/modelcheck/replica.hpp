#pragma once
// One voter with its simulated disk and its own clock, driven one input at a time. This is the
// only part of the model checker that calls the Voter; everything else works on what a step
// was seen to do from outside: messages, disk writes, applied states and read answers.
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"

namespace duneturn::modelcheck {

/// Deliberate faults of the voter by name; false if there is none of that name.
auto setBroken(Voter::Broken& broken, const std::string& name) -> bool;

/// What is done to one voter or its disk.
enum class InputKind : std::uint8_t {
    ElectionTimeout,  // the clock moves on until the election timer fires
    QuorumTimeout,    // a leader's clock moves on past its check of a quorum
    Heartbeat,        // a leader's clock moves on by one heartbeat interval
    Propose,
    Read,
    OfferSpare,  // a spare disk may take the place of a voter's
    TransferLeadership,
    Retire,  // a later committed state names the voters without this disk
    Deliver,
    WriteSynced,
    WriteFailed,
};

/// One input; the fields that its kind doesn't use stay at their defaults.
struct Input {
    InputKind kind = InputKind::Deliver;
    std::uint32_t number = 0;                 // order, read or version
    std::string node, disk;                   // OfferSpare; Retire: the new identity
    const wire::Envelope* message = nullptr;  // Deliver
};

struct SentMessage {
    std::string toDisk;
    wire::Envelope envelope;
};

/// A state that the voter reported as applied.
struct AppliedState {
    std::int64_t version = 0;
    std::uint64_t digest = 0;
};

struct ReadAnswer {
    std::uint32_t read = 0;
    bool confirmed = false;
    std::uint32_t ordersVisible = 0;
};

/// An entry as it was written to disk.
struct EntryView {
    std::int64_t term = 0;
    std::uint64_t digest = 0;
    bool membership = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the 0 of the generated code for a pointer
    auto operator<=>(const EntryView&) const = default;
};

/// A log as it stands in a DiskState.
struct LogView {
    std::int64_t snapshotIndex = 0;
    std::vector<EntryView> entries;  // from snapshotIndex + 1
    auto last() const -> std::int64_t { return snapshotIndex + std::int64_t(entries.size()); }
    auto at(std::int64_t index) const -> const EntryView* {
        auto known = index > snapshotIndex && index <= last();
        return known ? &entries[std::size_t(index - snapshotIndex - 1)] : nullptr;
    }
    auto operator==(const LogView&) const -> bool = default;
};

/// Everything that one step was seen to do.
struct StepOutput {
    std::vector<SentMessage> sent;
    std::vector<AppliedState> applied;
    std::vector<ReadAnswer> answers;
    std::vector<std::int64_t> cuts;  // first index dropped, of each write that drops entries
};

/// What can be seen of a replica between two steps.
struct Observation {
    std::string disk;
    Voter::Role role = Voter::Role::Uninitialized;
    bool ready = false;
    std::int64_t term = 0, commit = 0, version = 0;
    std::uint32_t ordersApplied = 0;  // bit sets of order numbers
    std::uint32_t ordersDurable = 0;
    LogView durable;  // what the disk holds
    LogView written;  // the same once all pending writes are done
    std::vector<std::string> appliedVoters, newestVoters;
    std::size_t pendingWrites = 0;
};

class Replica : VoterPort {
  public:
    Replica(const DiskState& state, const std::string& newDiskId, Voter::Broken broken);

    /// Performs one input and returns what it did.
    auto step(const Input& input) -> StepOutput;
    /// What the construction did; to be taken once.
    auto takeOutput() -> StepOutput;
    auto observe() const -> Observation;
    /// The disk after a loss of power that the first `kept` pending writes survived.
    auto diskAfterCrash(std::size_t kept) const -> DiskState;

  private:
    auto sendToReplica(const std::string& disk, wire::Envelope& envelope) -> void override;
    auto writeToDisk(const DiskWrite& write) -> void override;
    auto onStateApplied(const ReplicatedState& state, const AppliedEntry& applied) -> void override;
    auto onReadDone(std::int64_t id, bool ok) -> void override;
    auto electionTimeout() -> void;
    auto finishWrite(bool ok) -> void;
    auto propose(std::uint32_t number) -> void;

    Counters counters_;
    DiskState durable_;
    std::deque<DiskWrite> pending_;
    DiskWriteFence gate_;
    StepOutput output_;
    Microseconds now_;
    Voter voter_;
};

/// The disk of a voter of a new cluster with the voters given, as (node, disk).
auto bootstrappedDisk(const std::vector<VoterIdentity>& voters, const std::string& disk) -> DiskState;

}  // namespace duneturn::modelcheck
