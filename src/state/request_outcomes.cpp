#include "state/request_outcomes.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace duneturn {

namespace {

using SharedOutcomes = std::vector<std::shared_ptr<const RequestOutcome>>;

auto find(const SharedOutcomes& outcomes, const std::string& key) -> const RequestOutcome* {
    if (key.empty()) return nullptr;
    for (auto& known : outcomes)
        if (known->key == key) return known.get();
    return nullptr;
}

auto append(SharedOutcomes& outcomes, RequestOutcome outcome, std::size_t most) -> void {
    outcomes.push_back(std::make_shared<const RequestOutcome>(std::move(outcome)));
    if (outcomes.size() <= most) return;
    outcomes.erase(outcomes.begin(), outcomes.end() - std::ptrdiff_t(most));
}

auto shared(std::vector<RequestOutcome> outcomes) -> SharedOutcomes {
    auto list = SharedOutcomes();
    list.reserve(outcomes.size());
    for (auto& outcome : outcomes) list.push_back(std::make_shared<const RequestOutcome>(std::move(outcome)));
    return list;
}

/// As ReplicatedState::apply answered it the first time.
auto acceptedBody(const AcceptedChange& change) -> std::string {
    if (change.stateVersion == 0) return fmt::format("{{\"configGeneration\":{}}}", change.configVersion);
    return fmt::format(
        "{{\"configGeneration\":{},\"generation\":{}}}", change.configVersion, change.stateVersion);
}

}  // namespace

RequestOutcomes::RequestOutcomes(
    AcceptedChanges changes, std::vector<RequestOutcome> accepted, std::vector<RequestOutcome> refused)
    : changes_(std::move(changes)),
      accepted_(shared(std::move(accepted))),
      refused_(shared(std::move(refused))) {}

auto RequestOutcomes::accepted(const std::string& key) const -> Outcome {
    if (auto change = changes_.find(key)) return {200, acceptedBody(*change)};
    auto known = find(accepted_, key);
    return known ? known->outcome : Outcome();
}

auto RequestOutcomes::refused(const std::string& key) const -> Outcome {
    auto known = find(refused_, key);
    return known ? known->outcome : Outcome();
}

auto RequestOutcomes::refused(const std::string& key, std::int64_t base) const -> Outcome {
    auto known = find(refused_, key);
    return known && known->base == base ? known->outcome : Outcome();
}

auto RequestOutcomes::keepConfiguration(
    const std::string& key, std::int64_t documentVersion, std::int64_t stateVersion) -> void {
    changes_.record(key, documentVersion, stateVersion);
}

auto RequestOutcomes::keepAccepted(const std::string& key, const Outcome& outcome) -> void {
    append(accepted_, {key, outcome, LoggedCommand::NO_BASE}, ACCEPTED);
}

auto RequestOutcomes::keepRefused(const std::string& key, std::int64_t base, const Outcome& outcome) -> void {
    std::erase_if(refused_, [&](const auto& known) { return known->key == key; });
    append(refused_, {key, outcome, base}, REFUSED);
}

}  // namespace duneturn
