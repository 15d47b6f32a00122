// The judge of tenants' requests: days that the configurations explain, and ones that none does.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "tenant_oracles.hpp"
#include "test.hpp"

namespace duneturn::sim {

namespace {

constexpr Microseconds APPLIED_WITHIN = 3 * SECOND;
constexpr auto PASS_NAME = "no such rule";

// One tenant of region-0 with a limit of 4 a second and a burst of 10: 53 requests in 5 s by the bounds.
struct Day {
    std::vector<OperatorOrder> orders;
    TenantOracles oracles{SimulatedQuotaBounds(), APPLIED_WITHIN};

    Day() { addVersion(1, 0, {"first", "second"}, 4); }

    auto addVersion(std::int64_t number, Microseconds answeredAt, const std::vector<std::string>& keys,
        double rate, int status = 200) -> void {
        auto order = OperatorOrder();
        order.id = int(orders.size());
        order.kind = OrderKind::Put;
        order.number = number;
        order.status = status;
        order.sentAt = answeredAt - 10;
        order.answeredAt = answeredAt;
        order.tenants["tenant"] = {"tenant", keys, 0, rate, 10, {"region-0"}};
        orders.push_back(order);
    }
    static auto request(const std::string& key, Microseconds askedAt, bool inTouch = true) -> TenantRequest {
        auto request = TenantRequest();
        request.tenant = "tenant";
        request.key = key;
        request.askedAt = askedAt;
        request.inTouch = inTouch;
        return request;
    }
    static auto run(const TenantRequest& request) -> TenantRun {
        auto run = TenantRun();
        run.request = std::make_shared<TenantRequest>(request);
        if (!request.key.empty()) run.tenantNames = {"tenant"};
        run.region = "region-0";
        run.sentAt = request.askedAt + 1000;
        run.arrivedAt = request.askedAt + 2000;
        return run;
    }
    auto ran(const TenantRequest& request) -> void { oracles.ran(run(request)); }
    auto refused(const TenantRequest& request, int status) -> void {
        oracles.refused({std::make_shared<TenantRequest>(request), status, request.askedAt + 1000});
    }
    auto runMany(int count, Microseconds from) -> void {
        for (auto i = 0; i < count; i++) ran(request("first", from + i * MILLISECOND));
    }
    auto firstRule() const -> std::string {
        auto violations = oracles.judge(orders);
        return violations.empty() ? std::string(PASS_NAME) : violations.front().rule;
    }
};

}  // namespace

TEST(TenantOracles, requestsByTheRulesPass) {
    auto day = Day();
    day.runMany(53, 10 * SECOND);
    day.refused(day.request("unknown", 10 * SECOND), 401);
    day.refused(day.request("first", 10 * SECOND), 429);
    auto request = day.request("", 10 * SECOND);
    request.isPublic = true;
    day.ran(request);
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
}

TEST(TenantOracles, otherTenantsNameIsSeen) {
    for (auto& names : std::vector<std::vector<std::string>>{{"other"}, {}, {"tenant", "other"}}) {
        auto day = Day();
        auto run = day.run(day.request("first", 10 * SECOND));
        run.tenantNames = names;
        day.oracles.ran(run);
        CHECK_EQ(std::string("a server is given the tenant of the key"), day.firstRule());
    }
}

TEST(TenantOracles, shownKeyIsSeen) {
    auto day = Day();
    auto run = day.run(day.request("first", 10 * SECOND));
    run.showsKey = true;
    day.oracles.ran(run);
    CHECK_EQ(std::string("no server is shown a key"), day.firstRule());
}

TEST(TenantOracles, unknownAndMissingKeysAreSeen) {
    auto day = Day();
    day.ran(day.request("unknown", 10 * SECOND));
    CHECK_EQ(std::string("a key that no configuration held opens nothing"), day.firstRule());
    auto other = Day();
    other.ran(other.request("", 10 * SECOND));
    CHECK_EQ(std::string("a request without a key is not served"), other.firstRule());
}

TEST(TenantOracles, keyOfARefusedConfigurationIsSeen) {
    auto day = Day();
    day.addVersion(2, 10 * SECOND, {"first", "third"}, 4, 412);
    day.ran(day.request("third", 20 * SECOND));
    CHECK_EQ(std::string("a key of a refused configuration opens nothing"), day.firstRule());
}

TEST(TenantOracles, withdrawnKeyIsSeenAfterATime) {
    auto day = Day();
    day.addVersion(2, 10 * SECOND, {"second"}, 4);
    day.ran(day.request("first", 13 * SECOND - 1));
    day.ran(day.request("first", 20 * SECOND, false));
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
    day.ran(day.request("first", 13 * SECOND));
    CHECK_EQ(std::string("a withdrawn key opens nothing after a time"), day.firstRule());
}

TEST(TenantOracles, refusedKeyInForceIsSeenAfterATime) {
    auto day = Day();
    day.addVersion(2, 10 * SECOND, {"first", "second", "third"}, 4);
    day.refused(day.request("third", 13 * SECOND - 1), 401);
    day.refused(day.request("third", 20 * SECOND, false), 401);
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
    day.refused(day.request("third", 13 * SECOND), 401);
    CHECK_EQ(std::string("a key in force is not refused"), day.firstRule());
}

TEST(TenantOracles, keyThatMayHaveBeenWithdrawnMayBeRefused) {
    auto day = Day();
    day.addVersion(2, NEVER, {"second"}, 4, 0);
    day.orders.back().sentAt = 10 * SECOND;
    day.refused(day.request("first", 20 * SECOND), 401);
    day.ran(day.request("first", 20 * SECOND));
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
}

TEST(TenantOracles, otherRegionIsSeen) {
    auto day = Day();
    auto run = day.run(day.request("first", 10 * SECOND));
    run.region = "region-1";
    day.oracles.ran(run);
    CHECK_EQ(std::string("a tenant's requests stay in its home regions"), day.firstRule());
}

TEST(TenantOracles, requestsBeyondTheQuotaAreSeen) {
    auto day = Day();
    day.runMany(54, 10 * SECOND);
    CHECK_EQ(std::string("a tenant's requests keep within its quota"), day.firstRule());
}

TEST(TenantOracles, requestsThatArriveAfterTheWindowDoNotCount) {
    auto day = Day();
    day.runMany(53, 10 * SECOND);
    auto run = day.run(day.request("first", 11 * SECOND));
    run.arrivedAt = 20 * SECOND;
    day.oracles.ran(run);
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
}

// With 1 a second 36.5 requests are allowed.
TEST(TenantOracles, lowerLimitBindsOneWindowAfterAllWereInTouch) {
    auto day = Day();
    day.addVersion(2, 10 * SECOND, {"first"}, 1);
    day.oracles.allInTouchSince(13 * SECOND, 13 * SECOND - 1);
    day.oracles.allInTouchSince(20 * SECOND, 14 * SECOND);
    day.runMany(40, 25 * SECOND - MILLISECOND * 40);
    CHECK_EQ(std::string(PASS_NAME), day.firstRule());
    day.runMany(40, 40 * SECOND);
    CHECK_EQ(std::string("a tenant's requests keep within its quota"), day.firstRule());
}

TEST(TenantOracles, refusalsWithinTheLimitAreCountedAtNodesInTouch) {
    auto day = Day();
    auto request = day.request("first", 10 * SECOND);
    request.withinLimit = true;
    day.oracles.asked(request);
    day.refused(request, 429);
    request.inTouch = false;
    day.oracles.asked(request);
    day.refused(request, 429);
    CHECK_EQ(std::int64_t(1), day.oracles.shares().withinLimit);
    CHECK_EQ(std::int64_t(1), day.oracles.shares().refusedWithinLimit);
    CHECK_EQ(std::int64_t(2), day.oracles.shares().overQuota);
}

}  // namespace duneturn::sim
