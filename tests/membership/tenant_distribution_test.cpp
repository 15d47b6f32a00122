// Keys that an operator withdraws, on their way to every node of a fleet.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "large_configuration.hpp"
#include "membership/fleet_fixture.hpp"
#include "state/tenants.hpp"
#include "tenant_configuration.hpp"

namespace duneturn {

namespace {

/// A fleet in which a configuration with tenants is in force; the last tenant's keys change.
struct TenantFleet : Fleet {
    int tenants;
    int revision = 1;  // of the last tenant's keys

    TenantFleet(std::uint64_t seed, int nodes, int tenantCount) : Fleet(seed), tenants(tenantCount) {
        startCluster(3, nodes);
        put();
        CHECK(until(2 * SECOND, [&] { return inForceEverywhere(); }));
    }
    auto put() -> void {
        auto& state = leader()->n->replicatedState();
        auto base = state.configVersion();
        auto id = ++ids;
        leader()->n->order(id, "config", fmt::format("keys-{}", revision),
            replaceRequest(base, tenantConfiguration(tenants, revision, base + 1)), t);
        CHECK(until(3 * SECOND, [&] { return ok(id); }));
    }
    /// Replaces the older of the last tenant's two keys.
    auto withdraw() -> void {
        revision++;
        put();
    }
    /// Whether a node takes the newest keys and none that was withdrawn.
    auto inForceAt(FleetNode& box) -> bool {
        auto configuration = box.n->replicatedState().configuration();
        auto& table = configuration->tenants();
        auto last = tenants - 1;
        return table.findByKey(testKey(last, revision + 1)) && table.findByKey(testKey(last, revision))
            && !table.findByKey(testKey(last, revision - 1));
    }
    auto inForceEverywhere() -> bool {
        return std::all_of(
            nodes.begin(), nodes.end(), [&](auto& box) { return !box->up || inForceAt(*box); });
    }
    auto count(const char* counter) -> std::int64_t {
        auto sum = std::int64_t(0);
        for (auto& box : nodes) sum += box->ct.get(counter);
        return sum;
    }
};

}  // namespace

TEST(TenantDistribution, withdrawnKeyIsGoneAtEveryNodeWithinASecond) {
    auto quiet = MutedLog();
    auto fleet = TenantFleet(61, 72, 76);
    auto wholeBefore = fleet.count("whole_states_sent_total");
    fleet.weigh = true;
    fleet.run(SECOND);
    auto atRest = fleet.all;
    fleet.all = 0;
    auto before = fleet.t;
    fleet.withdraw();
    CHECK(fleet.until(SECOND - (fleet.t - before), [&] { return fleet.inForceEverywhere(); }));
    auto took = fleet.t - before;
    fleet.run(SECOND - took);
    auto bytes = (fleet.all - atRest) / std::int64_t(fleet.nodes.size());
    if (getenv("DT_SHOW")) fmt::print("{} bytes a node, everywhere after {} us\n", bytes, took);
    CHECK(bytes > 100);  // counted at all
    CHECK(bytes < 10'000);
    CHECK_EQ(wholeBefore, fleet.count("whole_states_sent_total"));
}

TEST(TenantDistribution, nodeThatWasCutOffLearnsOfWithdrawnKeys) {
    auto quiet = MutedLog();
    auto fleet = TenantFleet(62, 12, 20);
    auto& node = *fleet.nodes.back();
    fleet.lone(node, true);
    for (auto i = 0; i < 4; i++) fleet.withdraw();
    fleet.run(6 * SECOND);
    CHECK(!fleet.inForceAt(node));
    fleet.lone(node, false);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.inForceEverywhere(); }));
}

// Its store holds older keys; it learns of the newest ones before it counts as in touch.
TEST(TenantDistribution, restartedVoterTakesNoWithdrawnKeyFromItsStore) {
    auto quiet = MutedLog();
    for (auto seed = 63u; seed < 67; seed++) {
        auto fleet = TenantFleet(seed, 12, 20);
        auto leader = fleet.leader();
        auto node = std::find_if(fleet.nodes.begin(), fleet.nodes.end(),
            [&](auto& box) { return box->core && box.get() != leader; });
        fleet.stop(**node);
        for (auto i = 0; i < 3; i++) fleet.withdraw();
        fleet.run(3 * SECOND);
        fleet.restart(**node);
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.inForceEverywhere(); }));
        fleet.run(5 * SECOND);
        CHECK(fleet.inForceEverywhere());
    }
}

// Until it knows a configuration it has none, rather than one without tenants or with older ones.
TEST(TenantDistribution, nodeWithoutADiskStartsWithoutKeysAndThenHasTheNewest) {
    auto quiet = MutedLog();
    auto fleet = TenantFleet(67, 12, 20);
    auto& node = *fleet.nodes.back();
    fleet.stop(node);
    for (auto i = 0; i < 3; i++) fleet.withdraw();
    CHECK(fleet.until(SECOND, [&] { return fleet.inForceEverywhere(); }));
    fleet.restart(node);
    CHECK_EQ(std::int64_t(0), node.n->replicatedState().configVersion());
    CHECK(!node.n->withinLease(fleet.t));
    CHECK(fleet.until(2 * SECOND, [&] { return node.n->replicatedState().configVersion() > 0; }));
    CHECK(fleet.inForceAt(node));
}

TEST(TenantDistribution, viewsAndCountersHoldNoKey) {
    auto quiet = MutedLog();
    auto fleet = TenantFleet(68, 12, 20);
    fleet.withdraw();
    fleet.run(SECOND);
    auto& node = *fleet.leader()->n;
    auto views = node.status(fleet.t) + node.beliefs(fleet.t) + fleet.leader()->ct.text();
    CHECK(views.find("configGeneration") != std::string::npos);
    for (auto tenant = 0; tenant < fleet.tenants; tenant++)
        for (auto revision = 1; revision <= fleet.revision + 1; revision++)
            CHECK(views.find(testKey(tenant, revision)) == std::string::npos);
}

TEST(TenantDistribution, lostMessagesDelayNoWithdrawalForLong) {
    auto quiet = MutedLog();
    for (auto seed = 70u; seed < 76; seed++) {
        auto fleet = TenantFleet(seed, 12, 20);
        fleet.loss = .3;
        fleet.run(SECOND);
        fleet.loss = 0;
        fleet.withdraw();
        fleet.loss = .3;
        fleet.run(2 * SECOND);
        fleet.loss = 0;
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.inForceEverywhere(); }));
    }
}

}  // namespace duneturn
