#pragma once
// The replicated state: the one state machine that the voters' log drives, and that a majority of disks
// keeps. A command changes it by the same steps on every replica.
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"
#include "state/command.hpp"
#include "state/command_request.hpp"
#include "state/configuration.hpp"
#include "state/evacuations.hpp"
#include "state/outcome.hpp"
#include "state/request_outcomes.hpp"
#include "state/schedule.hpp"
#include "state/state_layout.hpp"

namespace duneturn {

/// A voter: the node that runs it, and the identity of its disk.
struct VoterIdentity {
    std::string node, disk;
};

/// An operation that was scheduled and has not begun.
struct ScheduledOperation {
    std::string id;
    Microseconds at = 0;  // when it is due, by the calendar
};

/// Copies share the configuration and the outcomes, so a copy costs little whatever the configuration.
class ReplicatedState {
  public:
    std::int64_t epoch = 1;    // raised when an operator starts a new cluster from a surviving replica
    std::int64_t version = 0;  // raised by each accepted command and change of voters

    /// The state of a new cluster.
    auto bootstrap(const std::vector<std::string>& roster, const std::vector<VoterIdentity>& voters) -> void;
    /// Takes the state that text() wrote; false, with this one unchanged, if the text is none.
    auto load(const std::string& text) -> bool;
    /// The whole state as JSON, as it is stored and sent: the same state is the same text on any replica.
    [[nodiscard]] auto text() const -> std::string;

    /// Applies one entry of the log. The same entry on the same state gives the same outcome anywhere.
    auto apply(const std::string& entry) -> Outcome;
    auto apply(const LoggedCommand& entry) -> Outcome;
    /// Applies a committed change of the voters: the next version of the state.
    auto applyVoters(const std::vector<VoterIdentity>& voters) -> void;
    /// Begins another epoch with these voters, on top of all that is held here.
    auto beginEpoch(std::int64_t newEpoch, const std::vector<VoterIdentity>& voters) -> void;

    [[nodiscard]] auto voters() const -> const std::vector<VoterIdentity>& { return voters_; }
    [[nodiscard]] auto roster() const -> const std::vector<std::string>& { return roster_; }

    [[nodiscard]] auto config() const -> const rapidjson::Value& { return configuration_->json(); }
    /// The configuration, for holders that outlive this state.
    [[nodiscard]] auto configuration() const -> std::shared_ptr<const Configuration> {
        return configuration_;
    }
    [[nodiscard]] auto configVersion() const -> std::int64_t { return configVersion_; }

    [[nodiscard]] auto evacuated(const std::string& zone) const -> bool;
    [[nodiscard]] auto evacuatedZones() const -> std::vector<std::string>;
    [[nodiscard]] auto zone(const std::string& name) const -> ZoneState { return evacuations_.zone(name); }
    [[nodiscard]] auto evacuations() const -> const Evacuations& { return evacuations_; }
    /// The scheduled operations that have not begun, in the order in which they were accepted.
    [[nodiscard]] auto scheduledOperations() const -> std::vector<ScheduledOperation>;
    /// The evacuations and the schedule as operators read them, as JSON.
    [[nodiscard]] auto evacuationsText() const -> std::string;
    [[nodiscard]] auto planText() const -> std::string;

    [[nodiscard]] auto outcomes() const -> const RequestOutcomes& { return outcomes_; }
    /// How many outcomes of accepted requests are kept.
    [[nodiscard]] auto outcomeCount() const -> std::size_t { return outcomes_.acceptedList().size(); }
    /// The outcome kept under an idempotency key; status 0 if there is none.
    [[nodiscard]] auto outcome(const std::string& key) const -> Outcome;
    /// The same, of a command that was accepted.
    [[nodiscard]] auto accepted(const std::string& key) const -> Outcome { return outcomes_.accepted(key); }

    /// Why a command that is based on the configuration's version `base`, not the newest, is refused; the
    /// outcome is unknown if so old a change may have been accepted, and be forgotten since.
    [[nodiscard]] auto baseRefusal(std::int64_t base) const -> Outcome;

  private:
    friend class StateCodec;

    /// Performs a command, and leaves the state's version to its caller.
    auto perform(const LoggedCommand& entry) -> Outcome;
    auto perform(const ReplaceConfiguration& command) -> Outcome;
    auto perform(const ChangeConfiguration& command) -> Outcome;
    auto perform(const SetEvacuation& command) -> Outcome;
    auto perform(const ScheduleOperation& command) -> Outcome;
    auto perform(const CancelOperation& command) -> Outcome;
    auto perform(const BeginOperation& command) -> Outcome;
    auto perform(const ChangeRoster& command) -> Outcome;
    auto perform(const UnknownCommand& command) -> Outcome;
    auto performScheduled(const Command& command) -> Outcome;
    auto setConfiguration(std::shared_ptr<const Configuration> configuration) -> Outcome;
    auto keepOutcome(const LoggedCommand& entry, bool configurationChanged, const Outcome& outcome) -> void;

    std::shared_ptr<const Configuration> configuration_ = Configuration::empty();  // never null
    std::int64_t configVersion_ = 0;
    Evacuations evacuations_;
    Schedule schedule_;
    std::vector<std::string> roster_;
    std::vector<VoterIdentity> voters_;
    RequestOutcomes outcomes_;
    StateLayout layout_;
};

}  // namespace duneturn
