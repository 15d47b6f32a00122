#pragma once
// Which disks vote (Ongaro 2014, chapter 4): a set of voters, or, while it changes, the two sets before
// and after the change, of which both majorities count (joint consensus, 4.3). A pure value: it knows
// neither the log nor the network.
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/command_codec.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

// The kinds of log entries, as stored and sent (wire::Entry::kind); never renumbered.
/// A new leader's first entry.
constexpr std::int32_t ENTRY_NOOP = 0;
/// A command of the replicated state.
constexpr std::int32_t ENTRY_ORDER = 1;
/// The voters from here on.
constexpr std::int32_t ENTRY_VOTERS = 2;
/// The voters before and after a change, of which both majorities count.
constexpr std::int32_t ENTRY_JOINT = 3;
/// A command of the replicated state in the compact form (EntryForm::Compact). A program that does not know
/// this kind refuses the entry, so that it never applies one that it would read as another command.
constexpr std::int32_t ENTRY_COMPACT = 4;

/// Whether this program can read an entry; one that it can't is not taken into the log.
[[nodiscard]] auto isReadableEntry(const wire::Entry& entry) -> bool;
/// Whether an entry holds a command of the replicated state.
[[nodiscard]] auto isCommandEntry(const wire::Entry& entry) -> bool;
/// The kind of the entry that holds a command in this form.
[[nodiscard]] auto entryKindOf(EntryForm form) -> std::int32_t;
/// Whether an entry changes the configuration.
[[nodiscard]] auto isConfigurationEntry(const wire::Entry& entry) -> bool;

/// Deliberate faults of counting; none is set outside tests (see Voter::Broken).
struct QuorumFaults {
    bool anyVoter = false;      // one voter counts as a majority
    bool incomingOnly = false;  // a joint configuration without the majority of its outgoing voters
};

/// A set of voters, or the two sets of a joint configuration.
class VoterConfiguration {
  public:
    VoterConfiguration() = default;
    /// A configuration of one set.
    explicit VoterConfiguration(std::vector<VoterIdentity> voters) : voters_(std::move(voters)) {}
    /// The joint configuration of a change from `outgoing` to `incoming`.
    static auto joint(std::vector<VoterIdentity> outgoing, std::vector<VoterIdentity> incoming)
        -> VoterConfiguration;
    /// What an entry of kind ENTRY_VOTERS or ENTRY_JOINT says.
    static auto fromEntry(const wire::Entry& entry) -> VoterConfiguration;

    /// The voters; of a joint configuration those after the change.
    [[nodiscard]] auto voters() const -> const std::vector<VoterIdentity>& { return voters_; }
    /// Of a joint configuration the voters before the change; empty otherwise.
    [[nodiscard]] auto outgoing() const -> const std::vector<VoterIdentity>& { return outgoing_; }
    [[nodiscard]] auto isJoint() const -> bool { return !outgoing_.empty(); }
    /// Whether the disk votes in one of the sets.
    [[nodiscard]] auto isVoter(const std::string& disk) const -> bool;
    /// The disks of all sets, each once; the voters after a change come first.
    [[nodiscard]] auto disks() const -> std::vector<std::string>;

    /// Whether a majority of each set fulfils `holds`. Votes, ReadIndex rounds and check-quorum count so.
    [[nodiscard]] auto hasMajority(
        const std::function<bool(const std::string& disk)>& holds, const QuorumFaults& faults) const -> bool;
    /// The highest log index that a majority of each set has on disk, where `indexOf` says what one has.
    [[nodiscard]] auto majorityIndex(const std::function<std::int64_t(const std::string& disk)>& indexOf,
        const QuorumFaults& faults) const -> std::int64_t;

    /// The kind and the body of the entry that brings this configuration into force.
    [[nodiscard]] auto entryKind() const -> std::int32_t { return isJoint() ? ENTRY_JOINT : ENTRY_VOTERS; }
    [[nodiscard]] auto entryBody() const -> std::string;

  private:
    std::vector<VoterIdentity> voters_;
    std::vector<VoterIdentity> outgoing_;
};

/// The voters as they stand in entries and log lines.
[[nodiscard]] auto votersText(const std::vector<VoterIdentity>& voters) -> std::string;

}  // namespace duneturn
