#pragma once
// The operator's word: the one document that a majority of disks keeps. An order
// changes it by the same steps on every machine; nothing else is ever logged.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"
#include "state/order_outcomes.hpp"

namespace duneturn {

struct VoterIdentity {
    std::string node, disk;
};

/// An operation that was scheduled and has not begun.
struct ScheduledOperation {
    std::string id;
    Microseconds at = 0;  // when it is due, by the calendar
};

struct ReplicatedState {
    rapidjson::Document d;
    std::int64_t epoch = 0, version = 0;

    ReplicatedState();
    ReplicatedState(const ReplicatedState& o);
    auto operator=(const ReplicatedState& o) -> ReplicatedState&;

    /// The document of a new fleet.
    auto bootstrap(const std::vector<std::string>& roster, const std::vector<VoterIdentity>& vs) -> void;
    /// Takes `s` whole; false and unchanged if it is no such document.
    auto load(const std::string& s) -> bool;
    auto text() const -> std::string { return jsonText(d); }
    /// One logged order. The same order on the same word gives the same outcome anywhere.
    auto apply(const std::string& order) -> Outcome;
    /// Applies a committed change of the voters: the next version of the state.
    auto applyVoters(const std::vector<VoterIdentity>& voters) -> void;
    /// Begins another epoch with these voters, on top of all that is held here.
    auto beginEpoch(std::int64_t newEpoch, const std::vector<VoterIdentity>& voters) -> void;

    auto voters() const -> std::vector<VoterIdentity>;
    auto roster() const -> std::vector<std::string> { return jsonStrings(d, "roster"); }
    auto evacuated(const std::string& zone) const -> bool;
    auto evacuatedZones() const -> std::vector<std::string>;
    /// The evacuations and the plan as operators read them, as JSON.
    auto evacuationsText() const -> std::string { return jsonText(d["empties"]); }
    auto planText() const -> std::string { return jsonText(d["plan"]); }
    /// The scheduled operations that have not begun, in the order in which they were accepted.
    auto scheduledOperations() const -> std::vector<ScheduledOperation>;
    /// How many outcomes of requests are kept.
    auto outcomeCount() const -> std::size_t { return d["outcomes"].Size(); }
    auto config() const -> const rapidjson::Value& { return d["config"]; }
    auto configVersion() const -> std::int64_t { return jsonInteger(d, "configGeneration"); }
    /// The outcome kept under an idempotency key; status 0 if there is none.
    auto outcome(const std::string& key) const -> Outcome;
    /// The same, of an order that was accepted.
    auto accepted(const std::string& key) const -> Outcome;

  private:
    auto setVoters(const std::vector<VoterIdentity>& vs) -> void;
    auto rise() -> void;
    auto change(rapidjson::Value& o, bool planned) -> Outcome;
    auto lay(const std::string& order) -> Outcome;
};

auto bodyOf(std::initializer_list<std::pair<const char*, std::string>> kv) -> std::string;
/// A denial's JSON: {"error": why, "path": where}.
auto errorBody(const std::vector<Fault>& fs) -> std::string;

/// The answer where it cannot be told whether an order was accepted.
auto outcomeUnknown() -> Outcome;

/// Why an order is not put into the log.
struct OrderRefusal : Outcome {
    bool dependsOnState = false;  // on another state the same order might be accepted
};

/// What a leader does with an operator's request before it is logged: checks it and
/// lays merge patches onto the word. Gives the entry's text, or the denial.
auto orderPrepare(const ReplicatedState& w, const std::string& op, const std::string& key,
    const std::string& body, Microseconds wall) -> tl::expected<std::string, OrderRefusal>;

}  // namespace duneturn
