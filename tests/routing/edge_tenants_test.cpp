// Keys of tenants: who may send, and what servers learn of it.
#include <string>

#include "routing/tenant_fixture.hpp"

namespace duneturn {

TEST(EdgeTenants, serverNeverGetsTheKey) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto request = rig.sendRequest("/a/x", {{"x-aPI-key", "key-one"}, {"X-Other", "kept"}});
    auto headers = rig.edge->requestHeaders(*rig.edge->find(request), rig.now);
    CHECK_EQ(std::string("-"), headerOf(headers, "x-aPI-key"));
    CHECK_EQ(std::string("kept"), headerOf(headers, "X-Other"));
}

TEST(EdgeTenants, clientCannotNameItsTenant) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto request = rig.sendRequest("/a/x", {{TENANT_HEADER, "two"}});
    auto headers = rig.edge->requestHeaders(*rig.edge->find(request), rig.now);
    CHECK_EQ(std::string("-"), headerOf(headers, TENANT_HEADER));
}

TEST(EdgeTenants, serverLearnsTheTenantOfTheKey) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-two", {{TENANT_HEADER, "one"}});
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("two"), rig.headerToServer(request, TENANT_HEADER));
    CHECK_EQ(std::string("-"), rig.headerToServer(request, KEY_HEADER));
}

TEST(EdgeTenants, unknownKeyIsRefused) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-three");
    CHECK_EQ(401, rig.outcome(request));
    CHECK(rig.sends.empty());
}

}  // namespace duneturn
