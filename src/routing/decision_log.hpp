#pragma once
// What operators are shown of requests: those under way, and the decisions about those that ended lately.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/request.hpp"

namespace duneturn {

/// Whether a request's text has the steps that were decided.
enum class TraceDetail { WithoutSteps, WithSteps };

/// A request under way, as JSON.
[[nodiscard]] auto requestJson(const Request& request, TraceDetail detail, Microseconds now) -> std::string;
/// All requests under way, as JSON.
[[nodiscard]] auto requestsJson(const std::map<std::int64_t, Request>& requests, Microseconds now)
    -> std::string;
/// Whether an operator's `name` means this request: its whole name, or the number at its end.
[[nodiscard]] auto isNamed(const std::string& name, const std::string& requestName, std::int64_t id) -> bool;

/// The decisions about requests that ended, the last thousand at most.
class DecisionLog {
  public:
    /// Keeps what was decided of a request that ended `how`.
    auto record(const Request& request, const std::string& how) -> void;
    /// The decisions of a request that ended, as JSON; empty if it is not known.
    [[nodiscard]] auto find(const std::string& name) const -> std::string;
    /// The decisions behind number `after`, as JSON.
    [[nodiscard]] auto since(std::int64_t after) const -> std::string;

  private:
    struct Decision {
        std::int64_t number, requestId;
        std::string requestName, json;
    };
    std::vector<Decision> decisions_;  // the oldest first
    std::int64_t lastNumber_ = 0;
};

}  // namespace duneturn
