#pragma once
// The cluster configuration of the replicated log: which disks vote (Ongaro 2014, chapter 4). A
// configuration is one set of voters or, while the voters change, the sets before and after the change;
// a decision then needs a majority of each (joint consensus, section 4.3). The types here are plain values
// that know neither the log nor the network.
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/command_codec.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

// Kinds of log entries (wire::Entry::kind). The numbers are stored and sent; never renumber them.
/// The first entry of a new leader's term.
constexpr std::int32_t ENTRY_NOOP = 0;
/// A command for the replicated state.
constexpr std::int32_t ENTRY_ORDER = 1;
/// The set of voters from this entry on.
constexpr std::int32_t ENTRY_VOTERS = 2;
/// A joint configuration: the voters before and after a change.
constexpr std::int32_t ENTRY_JOINT = 3;
/// A command for the replicated state in the compact form (EntryForm::Compact). A program that does not
/// support this kind rejects the entry, so it can never misread it as another command.
constexpr std::int32_t ENTRY_COMPACT = 4;

/// Whether this program can decode the entry. Entries that it can't decode are not added to the log.
[[nodiscard]] auto isReadableEntry(const wire::Entry& entry) -> bool;
/// Whether the entry holds a command for the replicated state.
[[nodiscard]] auto isCommandEntry(const wire::Entry& entry) -> bool;
/// The kind of a log entry that holds a command in this form.
[[nodiscard]] auto entryKindOf(EntryForm form) -> std::int32_t;
/// Whether the entry changes the configuration.
[[nodiscard]] auto isConfigurationEntry(const wire::Entry& entry) -> bool;

/// Faults that tests inject into the counting of majorities (see Voter::Broken). All are off in production.
struct QuorumFaults {
    bool singleVoterSuffices = false;     // one voter counts as a majority
    bool ignoreOutgoingMajority = false;  // a joint configuration needs the incoming majority only
};

/// A set of voters, or the two sets of a joint configuration.
class VoterConfiguration {
  public:
    VoterConfiguration() = default;
    /// A configuration with a single set of voters.
    explicit VoterConfiguration(std::vector<VoterIdentity> voters) : voters_(std::move(voters)) {}
    /// The joint configuration of a change from `outgoing` to `incoming`.
    static auto joint(std::vector<VoterIdentity> outgoing, std::vector<VoterIdentity> incoming)
        -> VoterConfiguration;
    /// Decodes the body of an ENTRY_VOTERS or ENTRY_JOINT entry; empty if it is malformed.
    static auto fromEntry(const wire::Entry& entry) -> VoterConfiguration;

    /// The set of voters; in a joint configuration, the set after the change.
    [[nodiscard]] auto voters() const -> const std::vector<VoterIdentity>& { return voters_; }
    /// In a joint configuration, the voters before the change; otherwise empty.
    [[nodiscard]] auto outgoing() const -> const std::vector<VoterIdentity>& { return outgoing_; }
    [[nodiscard]] auto isJoint() const -> bool { return !outgoing_.empty(); }
    /// Whether the disk is a voter in either set.
    [[nodiscard]] auto isVoter(const std::string& disk) const -> bool;
    /// The disks of both sets without duplicates, the incoming voters first.
    [[nodiscard]] auto disks() const -> std::vector<std::string>;

    /// Whether `predicate` holds for a majority of each set. Votes, ReadIndex rounds and check-quorum are
    /// counted this way.
    [[nodiscard]] auto hasMajority(const std::function<bool(const std::string& disk)>& predicate,
        const QuorumFaults& faults) const -> bool;
    /// The highest log index that a majority of each set has on disk. `indexOf` returns the last index that
    /// one disk is known to hold.
    [[nodiscard]] auto majorityIndex(const std::function<std::int64_t(const std::string& disk)>& indexOf,
        const QuorumFaults& faults) const -> std::int64_t;

    /// The kind and the body of the log entry that puts this configuration into force.
    [[nodiscard]] auto entryKind() const -> std::int32_t { return isJoint() ? ENTRY_JOINT : ENTRY_VOTERS; }
    [[nodiscard]] auto entryBody() const -> std::string;

  private:
    std::vector<VoterIdentity> voters_;
    std::vector<VoterIdentity> outgoing_;
};

/// Encodes voters as JSON, as in log entries and log lines.
[[nodiscard]] auto encodeVoters(const std::vector<VoterIdentity>& voters) -> std::string;

}  // namespace duneturn
