#include "routing/tenant_admission.hpp"

#include <algorithm>

#include "routing/headers.hpp"

namespace duneturn {

ClientKey::ClientKey(const Headers& headers, const Dialect& dialect) {
    auto isKey = [&](auto& entry) { return equalsIgnoreCase(entry.first, dialect.apiKey); };
    if (std::count_if(headers.begin(), headers.end(), isKey) != 1) return;
    text_ = std::find_if(headers.begin(), headers.end(), isKey)->second;
}

auto ClientKey::findTenant(const TenantTable& tenants) const -> const Tenant* {
    return text_ ? tenants.findByKey(*text_) : nullptr;
}

auto RequestTenant::take(const Tenant* tenant) -> void {
    static const auto none = Tenant();
    auto& source = tenant ? *tenant : none;
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
