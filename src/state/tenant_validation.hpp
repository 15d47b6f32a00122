#pragma once
// Which tenants a configuration may have. No fault's text holds a key.
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.hpp"

namespace duneturn {

/// The longest key; it travels in one header of a request.
constexpr std::size_t MAX_KEY_BYTES = 4096;
/// The longest name of a tenant; it travels in one header of each request to a server.
constexpr std::size_t MAX_TENANT_NAME_BYTES = 1024;

/// Why a text cannot be a tenant's name, or a key; empty if it can. Both have to pass through a header
/// unchanged, so they have no control characters and no blanks at their ends.
[[nodiscard]] auto tenantNameFault(std::string_view name) -> std::string;
[[nodiscard]] auto apiKeyFault(std::string_view key) -> std::string;

/// Adds the faults of a configuration's member "tenants", each with its path; `most` bounds all faults.
auto checkTenants(const rapidjson::Value& tenants, std::size_t most, std::vector<Fault>& faults) -> void;

}  // namespace duneturn
