#pragma once
// Configurations with many tenants, together with the operator's document of them.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"

namespace duneturn {

/// A key of 16 digits that no other tenant, and no other revision of this tenant's keys, has.
inline auto testKey(int tenant, int revision) -> std::string {
    return fmt::format("{:016x}", hash64(fmt::format("{}-{}", tenant, revision)));
}

/// A configuration with one route and `tenants` tenants of two keys each. The last tenant's keys are those of
/// `revision` and the one after it.
inline auto tenantConfiguration(int tenants, int revision, std::int64_t number) -> std::string {
    auto list = std::string();
    auto origin = std::string();
    for (auto i = 0; i < tenants; i++) {
        auto first = i == tenants - 1 ? revision : 1;
        auto keys = fmt::format(R"(["{}","{}"])", testKey(i, first), testKey(i, first + 1));
        list += fmt::format(R"({}"tenant-{}":{{"keys":{},"rank":{},"ratePerS":{}.0,"burst":{}.0}})",
            i ? "," : "", i, keys, i % 3, 100 + i, 100 + i);
        origin += fmt::format(
            R"({}{{"Name":"tenant-{}","ApiKeys":{},"Rank":{},"RatePerS":{},"Burst":{},"HomeRegions":[]}})",
            i ? "," : "", i, keys, i % 3, 100 + i, 100 + i);
    }
    return fmt::format(
        R"({{"tenants":{{{}}},"mappings":[{{"name":"r","host":"desk.example","path":"/","pool":"desk"}}],"origin":{{"number":{},"text":{}}}}})",
        list, number, jsonQuote(fmt::format(R"({{"Number":{},"Tenants":[{}]}})", number, origin)));
}

}  // namespace duneturn
