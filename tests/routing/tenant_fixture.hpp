#pragma once
// A fixture with an edge whose configuration has tenants with API keys.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "routing/edge_fixture.hpp"

namespace duneturn {

constexpr auto KEY_HEADER = "X-Api-Key";
constexpr auto TENANT_HEADER = "X-Tenant";

/// The configuration of two tenants; requests of the first are more urgent.
inline auto twoTenants() -> std::string {
    return R"("one":{"keys":["key-one"]},"two":{"keys":["key-two"],"rank":3})";
}

/// An edge with tenants, a route at /a/ that needs a key, and one server with capacity.
struct TenantFixture : EdgeFixture {
    explicit TenantFixture(const std::string& route = "", const std::string& tenants = twoTenants()) {
        CHECK_EQ(200, orderTenants(tenants, route));
        listServers({{"x"}});
    }
    /// Orders a configuration with these tenants. `route`: further members of the route.
    auto orderTenants(const std::string& tenants, const std::string& route = "") -> int {
        return orderConfig(
            configOf(R"(,"aimUs":1000000,"queueUs":10000000)" + route, R"(,"tenants":{)" + tenants + "}"));
    }
    auto sendWithKey(const std::string& key, const std::string& path = "/a/x", Headers headers = {})
        -> std::int64_t {
        headers.emplace_back(KEY_HEADER, key);
        return sendRequest(path, std::move(headers));
    }
    /// Sends as many requests as the only server takes; it is at capacity afterwards. Returns their ids.
    auto fillServer(const std::string& key) -> std::vector<std::int64_t> {
        constexpr auto CAPACITY = 5;  // four slots, and one request in the server's own queue
        auto requests = std::vector<std::int64_t>();
        for (auto i = 0; i < CAPACITY; i++) {
            requests.push_back(sendWithKey(key));
            CHECK(sendFirstByte(requests.back()));
        }
        return requests;
    }
    /// The value of a header in the request to the server; "-" if there is none.
    auto headerToServer(std::int64_t request, const std::string& name) -> std::string {
        return headerOf(edge->requestHeaders(*edge->find(request), now), name);
    }
};

}  // namespace duneturn
