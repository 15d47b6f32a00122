#pragma once
// Outcomes of commands by idempotency key. Accepted configuration changes stand in a compact memory of
// their own (accepted_changes.hpp); neither other commands nor refusals can push them out.
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/accepted_changes.hpp"
#include "state/command.hpp"
#include "state/outcome.hpp"

namespace duneturn {

/// What became of one command.
struct RequestOutcome {
    std::string key;
    Outcome outcome;
    /// Of a refused command: the version of the configuration that it was based on, if it named one.
    std::int64_t base = LoggedCommand::NO_BASE;
};

class RequestOutcomes {
  public:
    static constexpr auto ACCEPTED = std::size_t(256);  // accepted commands that change no configuration
    static constexpr auto REFUSED = std::size_t(64);    // a key that was refused is rarely used again

    RequestOutcomes() = default;
    /// As stored.
    RequestOutcomes(
        AcceptedChanges changes, std::vector<RequestOutcome> accepted, std::vector<RequestOutcome> refused);

    /// The outcome of a command that was accepted; status 0 if none is known.
    [[nodiscard]] auto accepted(const std::string& key) const -> Outcome;
    /// The outcome of a command that was refused; status 0 if none is known.
    [[nodiscard]] auto refused(const std::string& key) const -> Outcome;
    /// The same, of a command on the configuration version `base`: on another one it is judged anew.
    [[nodiscard]] auto refused(const std::string& key, std::int64_t base) const -> Outcome;

    /// Records the change that made the next version of the configuration.
    auto keepConfiguration(const std::string& key, std::int64_t documentVersion, std::int64_t stateVersion)
        -> void;
    auto keepAccepted(const std::string& key, const Outcome& outcome) -> void;
    auto keepRefused(const std::string& key, std::int64_t base, const Outcome& outcome) -> void;

    [[nodiscard]] auto changes() const -> const AcceptedChanges& { return changes_; }
    [[nodiscard]] auto acceptedList() const -> const std::vector<std::shared_ptr<const RequestOutcome>>& {
        return accepted_;
    }
    [[nodiscard]] auto refusedList() const -> const std::vector<std::shared_ptr<const RequestOutcome>>& {
        return refused_;
    }

  private:
    AcceptedChanges changes_;
    // Shared by copies of the state: every one holds nearly the same outcomes. Oldest first.
    std::vector<std::shared_ptr<const RequestOutcome>> accepted_;
    std::vector<std::shared_ptr<const RequestOutcome>> refused_;
};

}  // namespace duneturn
