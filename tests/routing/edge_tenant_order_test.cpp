// Ranks and home regions of tenants: the order of requests, and the regions that may serve them.
#include <cstdint>
#include <string>
#include <vector>

#include "routing/tenant_fixture.hpp"
#include "routing/urgency_levels.hpp"

namespace duneturn {
namespace {

// Members of the fixture's route, which get the lower urgency, and a second route at /u with the higher one.
constexpr auto TWO_URGENCIES = R"(,"urgency":1},
    {"name":"u","path":"/u","pool":"p","aimUs":1000000,"queueUs":10000000,"urgency":9)";

auto tenantsWithHomes(const std::string& homes) -> std::string {
    return R"("one":{"keys":["key-one"],"homes":)" + homes + R"(},"two":{"keys":["key-two"]})";
}

}  // namespace

TEST(EdgeTenants, tenantRankPrecedesRouteUrgency) {
    auto rig = TenantFixture(TWO_URGENCIES);
    auto running = rig.fillServer("key-two");
    auto second = rig.sendWithKey("key-two", "/u");
    auto first = rig.sendWithKey("key-one");
    auto last = rig.sendWithKey("key-two");
    rig.answer(running[0]);
    CHECK_EQ(first, rig.lastSend().request);
    rig.answer(running[1]);
    CHECK_EQ(second, rig.lastSend().request);
    rig.answer(running[2]);
    CHECK_EQ(last, rig.lastSend().request);
}

TEST(EdgeTenants, tenantRankDisplacesFromFullQueue) {
    auto rig = TenantFixture(std::string(R"(,"queue":1)") + R"(,"urgency":1},
    {"name":"u","path":"/u","pool":"p","aimUs":1000000,"queueUs":10000000,"urgency":9,"queue":1)");
    rig.fillServer("key-two");
    auto urgent = rig.sendWithKey("key-two", "/u");
    auto first = rig.sendWithKey("key-one");
    CHECK_EQ(503, rig.outcome(urgent));
    CHECK_EQ(0, rig.outcome(first));
    CHECK_EQ(503, rig.outcome(rig.sendWithKey("key-two", "/u")));
    CHECK_EQ(0, rig.outcome(first));
}

TEST(EdgeTenants, serversReceiveRankAsUrgency) {
    auto rig = TenantFixture(TWO_URGENCIES);
    rig.listServers({{"x", "near", "p", "z", 64}});
    auto level = [&](const std::string& key, const std::string& path) {
        return rig.headerToServer(rig.sendWithKey(key, path), "X-Urgency");
    };
    CHECK_EQ(std::string("0"), level("key-one", "/u"));
    CHECK_EQ(std::string("1"), level("key-one", "/a/x"));
    CHECK_EQ(std::string("5"), level("key-two", "/u"));
    CHECK_EQ(std::string("6"), level("key-two", "/a/x"));
}

TEST(EdgeTenants, levelDependsOnlyOnRouteUrgencyIfTenantsHaveOneRank) {
    auto levels = UrgencyLevels();
    for (auto urgency = 0; urgency <= 9; urgency++) {
        CHECK_EQ(9 - urgency, levels.level(0, urgency));
        levels.addRouteUrgency(urgency);
    }
    levels.addTenantRank(4);
    for (auto urgency = 0; urgency <= 9; urgency++) CHECK_EQ(9 - urgency, levels.level(4, urgency));
}

TEST(EdgeTenants, smallerRankHasSmallerLevelForAnyUrgency) {
    for (auto ranks = 2; ranks <= 10; ranks++) {
        auto levels = UrgencyLevels();
        for (auto rank = 0; rank < ranks; rank++) levels.addTenantRank(rank);
        for (auto urgency = 0; urgency <= 9; urgency++) levels.addRouteUrgency(urgency);
        for (auto rank = 0; rank < ranks; rank++) {
            CHECK(levels.level(rank, 9) >= 0 && levels.level(rank, 0) <= 9);
            for (auto urgency = 1; urgency <= 9; urgency++)
                CHECK(levels.level(rank, urgency) <= levels.level(rank, urgency - 1));
            if (rank > 0) CHECK(levels.level(rank - 1, 0) < levels.level(rank, 9));
        }
    }
}

TEST(EdgeTenants, tenantHomeRegionsRestrictSelection) {
    auto rig = TenantFixture("", tenantsWithHomes(R"(["far"])"));
    rig.listServers({{"x", "near"}, {"y", "far"}, {"z", "other"}});
    for (auto i = 0; i < 4; i++) {
        rig.sendWithKey("key-one");
        CHECK_EQ(std::string("y"), rig.lastSend().server);
    }
    rig.sendWithKey("key-two");
    CHECK_EQ(std::string("x"), rig.lastSend().server);
}

TEST(EdgeTenants, routeAndTenantHomeRegionsAreIntersected) {
    struct Case {
        std::string routeHomes, tenantHomes, server;  // "" if the request is rejected
    };
    for (auto& homes : std::vector<Case>{{R"(["near","far"])", R"(["far","other"])", "y"},
             {R"(["@near"])", R"(["near","far"])", "x"}, {R"(["@near"])", R"(["far"])", ""},
             {R"(["near"])", R"(["far"])", ""}}) {
        auto rig = TenantFixture(R"(,"homes":)" + homes.routeHomes, tenantsWithHomes(homes.tenantHomes));
        rig.listServers({{"x", "near"}, {"y", "far"}, {"z", "other"}});
        auto request = rig.sendWithKey("key-one");
        CHECK_EQ(homes.server.empty() ? 503 : 0, rig.outcome(request));
        CHECK_EQ(homes.server, rig.sends.empty() ? "" : rig.lastSend().server);
    }
}

TEST(EdgeTenants, tenantHomeRegionsRestrictRetries) {
    constexpr auto REPEATABLE = R"(,"MaxTries":3,"repeatable":true)";
    auto rig = TenantFixture(REPEATABLE, tenantsWithHomes(R"(["far"])"));
    rig.listServers({{"x", "near"}, {"y", "far"}});
    auto request = rig.sendWithKey("key-one");
    CHECK(rig.sendFirstByte(request));
    rig.edge->onConnectionLost(request, 1, "reset", rig.now);
    for (auto& send : rig.sends) CHECK_EQ(std::string("y"), send.server);
}

TEST(EdgeTenants, changedHomeRegionsRejectRequestBeforeItsFirstByte) {
    auto rig = TenantFixture("", tenantsWithHomes(R"(["near"])"));
    auto request = rig.sendWithKey("key-one");
    CHECK_EQ(std::string("x"), rig.lastSend().server);
    CHECK_EQ(200, rig.orderTenants(tenantsWithHomes(R"(["far"])")));
    CHECK(!rig.sendFirstByte(request));
    CHECK_EQ(503, rig.outcome(request));
    CHECK_EQ(std::size_t(1), rig.sends.size());
}

}  // namespace duneturn
