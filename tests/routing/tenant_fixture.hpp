#pragma once
// An edge whose configuration has tenants with keys.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

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
    explicit TenantFixture(const std::string& route = "", const std::string& tenants = twoTenants()) {
        CHECK_EQ(200, orderTenants(tenants, route));
        listServers({{"x"}});
    }
    /// Another version of the configuration; `route`: more members of the route.
    auto orderTenants(const std::string& tenants, const std::string& route = "") -> int {
        return orderConfig(
            configOf(R"(,"aimUs":1000000,"queueUs":10000000)" + route, R"(,"tenants":{)" + tenants + "}"));
    }
    auto sendWithKey(const std::string& key, const std::string& path = "/a/x", Headers headers = {})
        -> std::int64_t {
        headers.emplace_back(KEY_HEADER, key);
        return sendRequest(path, std::move(headers));
    }
    /// Requests that take all places of the only server.
    auto fillServer(const std::string& key) -> std::vector<std::int64_t> {
        constexpr auto PLACES = 5;  // its four slots, and one that waits there
        auto requests = std::vector<std::int64_t>();
        for (auto i = 0; i < PLACES; i++) {
            requests.push_back(sendWithKey(key));
            CHECK(sendFirstByte(requests.back()));
        }
        return requests;
    }
    /// The header that the server gets; "-" if it gets none.
    auto headerToServer(std::int64_t request, const std::string& name) -> std::string {
        return headerOf(edge->requestHeaders(*edge->find(request), now), name);
    }
};

}  // namespace duneturn
