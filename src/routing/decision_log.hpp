#pragma once
// The operators' view of requests: the active ones, and the routing decisions about those that ended
// recently.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/request.hpp"

namespace duneturn {

/// Whether the JSON of a request includes the steps of its trace.
enum class TraceDetail { WithoutSteps, WithSteps };

/// One active request, as JSON.
[[nodiscard]] auto requestJson(const Request& request, TraceDetail detail, Microseconds now) -> std::string;
/// All active requests, as JSON without the steps of their traces.
[[nodiscard]] auto requestsJson(const std::map<std::int64_t, Request>& requests, Microseconds now)
    -> std::string;
/// Whether `name` identifies a request: it is the request's name or its numeric id.
[[nodiscard]] auto isNamed(const std::string& name, const std::string& requestName, std::int64_t id) -> bool;

/// The traces of recently ended requests, at most 1024 of them.
class DecisionLog {
  public:
    /// Records the trace of a request that has ended. `how`: its outcome.
    auto record(const Request& request, const std::string& how) -> void;
    /// The record of the newest ended request of this name or id, as JSON; empty if there is none.
    [[nodiscard]] auto find(const std::string& name) const -> std::string;
    /// All records with a sequence number above `after`, as JSON.
    [[nodiscard]] auto since(std::int64_t after) const -> std::string;

  private:
    struct Decision {
        std::int64_t number, requestId;
        std::string requestName, json;
    };
    std::vector<Decision> decisions_;  // oldest first
    std::int64_t lastNumber_ = 0;
};

}  // namespace duneturn
