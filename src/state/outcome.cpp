#include "state/outcome.hpp"

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"

namespace duneturn {

auto bodyOf(std::initializer_list<std::pair<const char*, std::string>> members) -> std::string {
    auto body = std::string("{");
    for (auto& [name, value] : members)
        body += fmt::format("{}{}:{}", body.size() > 1 ? "," : "", jsonQuote(name), value);
    return body + "}";
}

auto errorBody(const std::vector<Fault>& faults) -> std::string {
    auto list = std::string();
    for (auto& fault : faults) {
        if (!list.empty()) list += ",";
        list += bodyOf({{"path", jsonQuote(fault.path)}, {"why", jsonQuote(fault.why)}});
    }
    auto first = faults.empty() ? "denied" : faults[0].path + ": " + faults[0].why;
    return bodyOf({{"error", jsonQuote(first)}, {"faults", "[" + list + "]"}});
}

auto refusal(int status, const std::string& why) -> Outcome {
    return {status, bodyOf({{"error", jsonQuote(why)}})};
}

auto outcomeUnknown() -> Outcome {
    return {
        504, bodyOf({{"error", jsonQuote("the outcome is not known")}, {"outcome", jsonQuote("unknown")}})};
}

}  // namespace duneturn
