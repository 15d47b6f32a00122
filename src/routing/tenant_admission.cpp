#include "routing/tenant_admission.hpp"

#include <algorithm>

#include "routing/headers.hpp"

namespace duneturn {

ClientKey::ClientKey(const Headers& headers, const Dialect& dialect) {
    auto isKey = [&](auto& entry) { return equalsIgnoreCase(entry.first, dialect.apiKey); };
    if (std::count_if(headers.begin(), headers.end(), isKey) != 1) return;
    value_ = std::find_if(headers.begin(), headers.end(), isKey)->second;
}

auto ClientKey::findTenant(const TenantTable& tenants) const -> const Tenant* {
    return value_ ? tenants.findByKey(*value_) : nullptr;
}

auto RequestTenant::assign(const Tenant* tenant) -> void {
    static const auto noTenant = Tenant();
    auto& source = tenant ? *tenant : noTenant;
    name = source.name;
    rank = source.rank;
    homes = source.homes;
}

auto withoutTenantHeaders(const Headers& headers, const Dialect& dialect) -> Headers {
    auto kept = headers;
    std::erase_if(kept, [&](auto& entry) {
        return equalsIgnoreCase(entry.first, dialect.apiKey) || equalsIgnoreCase(entry.first, dialect.tenant);
    });
    return kept;
}

}  // namespace duneturn
