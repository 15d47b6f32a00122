#pragma once
// Outcomes of orders by idempotency key, as the replicated state keeps them. Accepted configuration
// changes stand in a compact memory of their own (accepted_changes.hpp); neither other orders nor
// refusals can push them out.
#include <cstdint>
#include <string>

#include "base/json.hpp"

namespace duneturn {

/// The answer to an order: a status of HTTP and a JSON body.
struct Outcome {
    int status = 0;
    std::string body;
};

/// Operations on the members `acceptedChanges`, `outcomes` and `refusals` of the state's document.
struct OrderOutcomes {
    static constexpr unsigned ACCEPTED = 256;  // accepted orders that are no configurations
    static constexpr unsigned REFUSED = 64;    // refusals; a key that was refused is rarely used again

    /// Whether the members are there and sound. Ones of an earlier format, a single list of 256, are
    /// taken over: what it does not tell of configuration changes counts as forgotten.
    static auto load(rapidjson::Document& state) -> bool;

    /// The outcome of an order that was accepted; status 0 if none is known.
    static auto accepted(const rapidjson::Document& state, const std::string& key) -> Outcome;
    /// The outcome of an order that was refused; status 0 if none is known.
    static auto refused(const rapidjson::Document& state, const std::string& key) -> Outcome;
    /// The same, of an order on the configuration generation `base`: on another one it is judged anew.
    static auto refused(const rapidjson::Document& state, const std::string& key, std::int64_t base)
        -> Outcome;

    static auto keepConfiguration(rapidjson::Document& state, const std::string& key, std::int64_t version)
        -> void;
    static auto keepAccepted(rapidjson::Document& state, const std::string& key, const Outcome& outcome)
        -> void;
    static auto keepRefused(rapidjson::Document& state, const std::string& key, std::int64_t base,
        const Outcome& outcome) -> void;
};

}  // namespace duneturn
