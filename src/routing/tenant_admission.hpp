#pragma once
// Identifies the tenant of a request by the API key that the client sends.
#include <optional>
#include <string>
#include <vector>

#include "net/headers.hpp"
#include "routing/dialect.hpp"
#include "state/tenants.hpp"

namespace duneturn {

/// The API key of a request, kept so that it can be looked up again in newer configurations. It has no
/// accessor for its value, so that the key cannot get into a trace, an operator's view or a message.
class ClientKey {
  public:
    ClientKey() = default;
    /// Takes the complete value of the API key header. If the header is missing or repeated, no tenant is
    /// found for the key.
    ClientKey(const Headers& headers, const Dialect& dialect);

    /// The tenant to which the key belongs; null if there is none.
    [[nodiscard]] auto findTenant(const TenantTable& tenants) const -> const Tenant*;

  private:
    std::optional<std::string> value_;
};

/// The tenant of one request, according to the newest configuration that the request was bound to.
struct RequestTenant {
    ClientKey key;
    std::string name;                ///< Empty if the request has no tenant.
    int rank = 0;                    ///< 0 is the most urgent.
    std::vector<std::string> homes;  ///< Only servers of these regions may be used; empty: any.

    [[nodiscard]] auto isKnown() const -> bool { return !name.empty(); }
    /// Copies the tenant's name, rank and homes; null stands for no tenant. The key stays.
    auto assign(const Tenant* tenant) -> void;
};

/// Removes the API key, and a tenant name, which clients must not set.
[[nodiscard]] auto withoutTenantHeaders(const Headers& headers, const Dialect& dialect) -> Headers;

}  // namespace duneturn
