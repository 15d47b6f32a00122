#pragma once
// The answer to an operator's command, and the JSON bodies of such answers.
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "base/json.hpp"

namespace duneturn {

/// The answer to a command: a status of HTTP (0: there is none) and a JSON body.
struct Outcome {
    int status = 0;
    std::string body;

    [[nodiscard]] auto accepted() const -> bool { return status == 200; }
};

/// A JSON object of these members, whose values are JSON texts.
[[nodiscard]] auto bodyOf(std::initializer_list<std::pair<const char*, std::string>> members) -> std::string;
/// The body of a refusal, {"error": first fault, "faults": [{"path", "why"}...]}.
[[nodiscard]] auto errorBody(const std::vector<Fault>& faults) -> std::string;

/// A refusal for one reason.
[[nodiscard]] auto refusal(int status, const std::string& why) -> Outcome;
/// The answer where it is not known whether a command was accepted.
[[nodiscard]] auto outcomeUnknown() -> Outcome;

}  // namespace duneturn
