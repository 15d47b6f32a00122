#pragma once
// Whose request it is: the key that a client sends, the tenant that holds it, and what that tenant decides of
// the request.
#include <optional>
#include <string>
#include <vector>

#include "net/headers.hpp"
#include "routing/dialect.hpp"
#include "state/tenants.hpp"

namespace duneturn {

/// The key that came with a request, kept to be looked up again in newer configurations. Its text can not be
/// read back, so that it ends up in no trace, view or message.
class ClientKey {
  public:
    ClientKey() = default;
    /// The whole value of the only header with a key. Without such a header, or with several, no tenant is
    /// found.
    ClientKey(const Headers& headers, const Dialect& dialect);

    /// The tenant that holds the key; null if none does.
    [[nodiscard]] auto findTenant(const TenantTable& tenants) const -> const Tenant*;

  private:
    std::optional<std::string> text_;
};

/// The tenant of one request, as the newest configuration that binds it says.
struct RequestTenant {
    ClientKey key;
    std::string name;                ///< Empty: the request is no tenant's.
    int rank = 0;                    ///< 0 goes first.
    std::vector<std::string> homes;  ///< Regions whose servers alone may be used; empty: any.

    [[nodiscard]] auto isKnown() const -> bool { return !name.empty(); }
    /// Takes what the configuration says of a tenant; null: of no tenant.
    auto take(const Tenant* tenant) -> void;
};

/// The headers less the client's key, and less the tenant that the client says it is.
[[nodiscard]] auto withoutTenantHeaders(const Headers& headers, const Dialect& dialect) -> Headers;

}  // namespace duneturn
