// API keys that are withdrawn or reassigned to another tenant while requests are active.
#include <cstdint>
#include <string>

#include "routing/tenant_fixture.hpp"

namespace duneturn {
namespace {

constexpr auto WITHOUT_KEY_ONE = R"("one":{"keys":["another"]},"two":{"keys":["key-two"],"rank":3})";
constexpr auto KEY_ONE_REASSIGNED =
    R"("one":{"keys":["another"]},"two":{"keys":["key-one","key-two"],"rank":3})";
constexpr auto REPEATABLE = R"(,"MaxTries":3,"repeatable":true)";

}  // namespace

TEST(EdgeTenants, withdrawnKeyRejectsQueuedRequest) {
    auto rig = TenantFixture();
    auto running = rig.fillServer("key-two");
    auto waiting = rig.sendWithKey("key-one");
    auto other = rig.sendWithKey("key-two");
    CHECK_EQ(200, rig.orderTenants(WITHOUT_KEY_ONE));
    CHECK_EQ(401, rig.outcome(waiting));
    CHECK_EQ(0, rig.outcome(other));
    CHECK_EQ(std::size_t(1), rig.edge->queuedCount());
    rig.answer(running[0]);
    CHECK_EQ(other, rig.lastSend().request);
}

TEST(EdgeTenants, withdrawnKeyRejectsRequestBeforeItsFirstByte) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-one");
    CHECK_EQ(std::size_t(1), rig.sends.size());
    CHECK_EQ(200, rig.orderTenants(WITHOUT_KEY_ONE));
    CHECK(!rig.sendFirstByte(request));
    CHECK_EQ(401, rig.outcome(request));
    CHECK_EQ(std::int64_t(1), rig.counters.get("keys_refused_total"));
    CHECK_EQ(0, rig.edge->inflightCount());
}

// A request that a server declined without running it is rejected with 401. One that was lost after it was
// sent may have run, so it must not be reported as rejected.
TEST(EdgeTenants, withdrawnKeyPreventsRetry) {
    auto rig = TenantFixture(REPEATABLE);
    rig.listServers({{"x"}, {"y"}});
    auto declined = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(declined));
    auto lost = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(lost));
    CHECK_EQ(200, rig.orderTenants(WITHOUT_KEY_ONE, REPEATABLE));
    auto sent = rig.sends.size();
    rig.edge->onResponse(declined, 1, 503, rig.answerHeaders(declined, {{"X-Not-Run", "true"}}), "", rig.now);
    CHECK_EQ(401, rig.outcome(declined));
    rig.edge->onConnectionLost(lost, 1, "reset", rig.now);
    CHECK_EQ(502, rig.outcome(lost));
    CHECK_EQ(sent, rig.sends.size());
}

TEST(EdgeTenants, withdrawnKeyLetsRunningRequestComplete) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(200, rig.orderTenants(WITHOUT_KEY_ONE));
    rig.answer(request);
    CHECK_EQ(200, rig.outcome(request));
}

TEST(EdgeTenants, queuedRequestOfReassignedKeyNamesNewTenant) {
    auto rig = TenantFixture();
    auto running = rig.fillServer("key-two");
    auto waiting = rig.sendWithKey("key-one");
    CHECK_EQ(200, rig.orderTenants(KEY_ONE_REASSIGNED));
    rig.answer(running[0]);
    CHECK_EQ(waiting, rig.lastSend().request);
    CHECK(rig.sendFirstByte(waiting));
    CHECK_EQ(std::string("two"), rig.headerToServer(waiting, TENANT_HEADER));
}

TEST(EdgeTenants, selectedRequestOfReassignedKeyNamesNewTenant) {
    auto rig = TenantFixture();
    auto request = rig.sendWithKey("key-one");
    CHECK_EQ(200, rig.orderTenants(KEY_ONE_REASSIGNED));
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("two"), rig.headerToServer(request, TENANT_HEADER));
}

TEST(EdgeTenants, sentRequestIsNotRetriedForAnotherTenant) {
    auto rig = TenantFixture(REPEATABLE);
    rig.listServers({{"x"}, {"y"}});
    auto request = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(200, rig.orderTenants(KEY_ONE_REASSIGNED, REPEATABLE));
    auto sent = rig.sends.size();
    rig.edge->onConnectionLost(request, 1, "reset", rig.now);
    CHECK_EQ(502, rig.outcome(request));
    CHECK_EQ(sent, rig.sends.size());
}

TEST(EdgeTenants, startedStreamDoesNotMigrateForAnotherTenant) {
    auto rig = EdgeFixture();
    auto order = [&](const std::string& tenants) {
        return rig.orderConfig(configOf(R"(,"MaxTries":3,"stream":true,"Resumable":true,"model":"m")",
            R"(,"models":{"m":{"migrationLimit":2}},"tenants":{)" + tenants + "}"));
    };
    CHECK_EQ(200, order(twoTenants()));
    rig.listServers({{"x"}, {"y"}});
    auto request = rig.sendRequest("/a/x", {{KEY_HEADER, "key-one"}});
    CHECK(rig.sendFirstByte(request));
    CHECK(rig.edge->onResponseHead(request, 1, 200, rig.answerHeaders(request), rig.now));
    rig.sendEvent(request, "1");
    CHECK_EQ(200, order(KEY_ONE_REASSIGNED));
    auto sent = rig.sends.size();
    rig.edge->onConnectionLost(request, 1, "reset", rig.now);
    CHECK_EQ(2, rig.outcome(request));
    CHECK_EQ(sent, rig.sends.size());
}

// The configuration gets tenants while a request without a key is queued.
TEST(EdgeTenants, queuedRequestWithoutKeyIsRejectedOnceKeysAreRequired) {
    auto rig = TenantFixture(R"(,"public":true)");
    rig.fillServer("key-two");
    auto waiting = rig.sendRequest("/a/x");
    CHECK_EQ(0, rig.outcome(waiting));
    CHECK_EQ(200, rig.orderTenants(twoTenants()));
    CHECK_EQ(401, rig.outcome(waiting));
}

}  // namespace duneturn
