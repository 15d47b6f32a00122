#pragma once
// An edge whose configuration has tenants with keys.
#include <cstdint>
#include <string>
#include <utility>

#include "routing/edge_fixture.hpp"

namespace duneturn {

constexpr auto KEY_HEADER = "X-Api-Key";
constexpr auto TENANT_HEADER = "X-Tenant";

/// Two tenants, of which the second one's rank comes after the first one's.
inline auto twoTenants() -> std::string {
    return R"("one":{"keys":["key-one"]},"two":{"keys":["key-two"],"rank":3})";
}

/// A node with tenants, a route of theirs at /a/, and a server with room.
struct TenantFixture : EdgeFixture {
    explicit TenantFixture(const std::string& route = "") {
        CHECK_EQ(200, orderTenants(twoTenants(), route));
        listServers({{"x"}});
    }
    /// Another version of the configuration; `route`: more members of the route.
    auto orderTenants(const std::string& tenants, const std::string& route = "") -> int {
        return orderConfig(configOf(R"(,"aimUs":1000000)" + route, R"(,"tenants":{)" + tenants + "}"));
    }
    auto sendWithKey(const std::string& key, Headers headers = {}) -> std::int64_t {
        headers.emplace_back(KEY_HEADER, key);
        return sendRequest("/a/x", std::move(headers));
    }
    /// The header that the server gets; "-" if it gets none.
    auto headerToServer(std::int64_t request, const std::string& name) -> std::string {
        return headerOf(edge->requestHeaders(*edge->find(request), now), name);
    }
};

}  // namespace duneturn
