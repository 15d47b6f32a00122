// API keys of tenants: which requests are accepted, and which tenant name is sent to servers.
#include <cstdint>
#include <string>

#include "routing/tenant_fixture.hpp"

namespace duneturn {

TEST(EdgeTenants, keyIsNotForwardedToServers) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto request = rig.sendRequest("/a/x", {{"x-aPI-key", "key-one"}, {"X-Other", "kept"}});
    auto headers = rig.edge->requestHeaders(*rig.edge->find(request), rig.now);
    CHECK_EQ(std::string("-"), headerOf(headers, "x-aPI-key"));
    CHECK_EQ(std::string("kept"), headerOf(headers, "X-Other"));
}

TEST(EdgeTenants, tenantHeaderOfClientIsNotForwarded) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto request = rig.sendRequest("/a/x", {{TENANT_HEADER, "two"}});
    auto headers = rig.edge->requestHeaders(*rig.edge->find(request), rig.now);
    CHECK_EQ(std::string("-"), headerOf(headers, TENANT_HEADER));
}

TEST(EdgeTenants, serverReceivesTenantOfKey) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-two", "/a/x", {{TENANT_HEADER, "one"}});
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("two"), rig.headerToServer(request, TENANT_HEADER));
    CHECK_EQ(std::string("-"), rig.headerToServer(request, KEY_HEADER));
}

TEST(EdgeTenants, unknownKeyIsRejected) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-three");
    CHECK_EQ(401, rig.outcome(request));
    CHECK_EQ(std::string("true"), headerOf(rig.replies[request].headers, "X-Not-Run"));
    CHECK_EQ(std::string("-"), headerOf(rig.replies[request].headers, "Retry-After"));
    CHECK_EQ(std::int64_t(1), rig.counters.get("keys_refused_total"));
    CHECK(rig.sends.empty());
}

TEST(EdgeTenants, missingKeyIsRejected) {
    auto rig = TenantFixture();
    CHECK_EQ(401, rig.outcome(rig.sendRequest("/a/x")));
    CHECK_EQ(401, rig.outcome(rig.sendRequest("/a/x", {{TENANT_HEADER, "one"}})));
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("")));
    CHECK(rig.sends.empty());
}

TEST(EdgeTenants, keyMustBeCompleteValueOfSingleHeader) {
    auto rig = TenantFixture();
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("key-one", "/a/x", {{"x-api-key", "key-one"}})));
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("key-one, key-one")));
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("Bearer key-one")));
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("key-on")));
    CHECK(rig.sends.empty());
}

TEST(EdgeTenants, publicRouteRequiresNoKey) {
    auto rig = TenantFixture(R"(,"public":true)");
    auto tenantFor = [&](const Headers& headers) {
        auto request = rig.sendRequest("/a/x", headers);
        CHECK(rig.sendFirstByte(request));
        CHECK_EQ(std::string("-"), rig.headerToServer(request, KEY_HEADER));
        auto tenant = rig.headerToServer(request, TENANT_HEADER);
        rig.answer(request);
        return tenant;
    };
    CHECK_EQ(std::string("-"), tenantFor({}));
    CHECK_EQ(std::string("-"), tenantFor({{TENANT_HEADER, "one"}}));
    CHECK_EQ(std::string("-"), tenantFor({{KEY_HEADER, "key-three"}}));
    CHECK_EQ(std::string("two"), tenantFor({{KEY_HEADER, "key-two"}}));
}

// A node that has no configuration yet cannot know the keys. It must answer 503, upon which clients retry,
// rather than 401, upon which they give up.
TEST(EdgeTenants, nodeWithoutConfigurationDoesNotRejectKeys) {
    auto rig = EdgeFixture();
    CHECK_EQ(503, rig.outcome(rig.sendRequest("/a/x", {{KEY_HEADER, "key-one"}})));
    CHECK_EQ(503, rig.outcome(rig.sendRequest("/a/x")));
}

TEST(EdgeTenants, unknownPathIsReportedBeforeUnknownKey) {
    auto rig = TenantFixture();
    CHECK_EQ(404, rig.outcome(rig.sendWithKey("key-three", "/elsewhere")));
}

// A client may keep its connection while its key is withdrawn and replaced.
TEST(EdgeTenants, keyOfEachRequestIsChecked) {
    auto rig = TenantFixture();
    auto first = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(first));
    rig.answer(first);
    CHECK_EQ(200, rig.outcome(first));
    CHECK_EQ(401, rig.outcome(rig.sendRequest("/a/x")));
    CHECK_EQ(200, rig.orderTenants(R"("one":{"keys":["another"]},"two":{"keys":["key-two"]})"));
    CHECK_EQ(401, rig.outcome(rig.sendWithKey("key-one")));
    CHECK_EQ(0, rig.outcome(rig.sendWithKey("another")));
}

TEST(EdgeTenants, retryNamesTenant) {
    auto rig = TenantFixture(R"(,"MaxTries":3,"repeatable":true)");
    rig.listServers({{"x"}, {"y"}});
    auto request = rig.sendWithKey("key-two");
    CHECK(rig.sendFirstByte(request));
    rig.edge->onConnectionLost(request, rig.lastSend().attempt, "reset", rig.now);
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::size_t(2), rig.sends.size());
    CHECK_EQ(std::string("two"), rig.headerToServer(request, TENANT_HEADER));
    CHECK_EQ(std::string("-"), rig.headerToServer(request, KEY_HEADER));
}

TEST(EdgeTenants, resumedStreamNamesTenant) {
    auto rig = TenantFixture(R"(,"MaxTries":3,"stream":true,"Resumable":true)");
    rig.listServers({{"x"}, {"y"}});
    auto request = rig.sendWithKey("key-two", "/a/x", {{TENANT_HEADER, "one"}, {"Last-Event-Id", "7"}});
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("7"), rig.headerToServer(request, "Last-Event-Id"));
    CHECK_EQ(std::string("two"), rig.headerToServer(request, TENANT_HEADER));
    CHECK_EQ(std::string("-"), rig.headerToServer(request, KEY_HEADER));
}

TEST(EdgeTenants, operatorViewsNameTenantAndNeverContainKey) {
    auto rig = TenantFixture();
    auto sent = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(sent));
    auto rejected = rig.sendWithKey("key-three");
    auto name = rig.edge->find(sent)->received.name;
    auto seen = rig.edge->liveRequestsJson(rig.now) + rig.edge->explainedRequestJson(name, rig.now);
    CHECK(seen.find("tenant one") != std::string::npos);
    rig.answer(sent);
    seen += rig.edge->decisionsJson(0) + rig.counters.text() + rig.replies[rejected].body;
    CHECK(seen.find("key-one") == std::string::npos);
    CHECK(seen.find("key-three") == std::string::npos);
    for (auto& [header, value] : rig.edge->find(sent)->received.headers) CHECK(value.find("key-") != 0);
}

}  // namespace duneturn
