#pragma once
// Configurations with many routes, as operators of large deployments send them.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"

namespace duneturn {

/// A configuration of `routes` routes together with the operator's document of it. The last route's number
/// of tries is `tries`.
inline auto largeConfiguration(int routes, int tries, std::int64_t number) -> std::string {
    auto list = std::string();
    auto origin = std::string();
    for (auto i = 0; i < routes; i++) {
        auto most = i == routes - 1 ? tries : 2;
        list += fmt::format(
            R"({}{{"name":"route-{}","host":"desk.example","path":"/service/{:04}/","pool":"desk","MaxTries":{}}})",
            i ? "," : "", i, i, most);
        origin += fmt::format(
            R"({}{{"Name":"route-{}","Hostname":"desk.example","PathPrefix":"/service/{:04}/","MaxTries":{}}})",
            i ? "," : "", i, i, most);
    }
    return fmt::format(R"({{"mappings":[{}],"origin":{{"number":{},"text":{}}}}})", list, number,
        jsonQuote(fmt::format(R"({{"Number":{},"Routes":[{}]}})", number, origin)));
}

/// The body of an operator's request that replaces the configuration of version `base`.
inline auto replaceRequest(std::int64_t base, const std::string& configuration) -> std::string {
    return fmt::format(R"({{"base":{},"config":{}}})", base, configuration);
}

}  // namespace duneturn
