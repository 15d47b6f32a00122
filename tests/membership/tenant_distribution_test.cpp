// Dissemination of the withdrawal of tenants' keys to all nodes of a fleet.
#include <algorithm>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "large_configuration.hpp"
#include "membership/change_cost.hpp"
#include "membership/fleet_fixture.hpp"
#include "state/tenants.hpp"
#include "tenant_configuration.hpp"

namespace duneturn {

namespace {

/// A fleet in which a configuration with tenants is in force; the last tenant's keys change.
struct TenantFleet : Fleet {
    int tenants;
    int revision = 1;  // the number of the last tenant's older valid key

    TenantFleet(std::uint64_t seed, int nodes, int tenantCount) : Fleet(seed), tenants(tenantCount) {
        startCluster(3, nodes);
        put();
        CHECK(until(2 * SECOND, [&] { return inForceEverywhere(); }));
    }
    /// Orders the configuration with the present keys.
    auto put() -> void {
        auto& state = leader()->n->replicatedState();
        auto base = state.configVersion();
        auto id = ++ids;
        leader()->n->order(id, "config", fmt::format("keys-{}", revision),
            replaceRequest(base, tenantConfiguration(tenants, revision, base + 1)), t);
        CHECK(until(3 * SECOND, [&] { return ok(id); }));
    }
    /// Withdraws the older of the last tenant's two keys and adds a new one.
    auto withdraw() -> void {
        revision++;
        put();
    }
    /// Whether a node accepts the two valid keys and not the key that was withdrawn last.
    auto inForceAt(FleetNode& node) -> bool {
        auto configuration = node.n->replicatedState().configuration();
        auto& table = configuration->tenants();
        auto last = tenants - 1;
        return table.findByKey(testKey(last, revision + 1)) && table.findByKey(testKey(last, revision))
            && !table.findByKey(testKey(last, revision - 1));
    }
    auto inForceEverywhere() -> bool {
        return std::all_of(
            nodes.begin(), nodes.end(), [&](auto& node) { return !node->up || inForceAt(*node); });
    }
    auto count(const char* counter) -> std::int64_t {
        auto sum = std::int64_t(0);
        for (auto& node : nodes) sum += node->counters.get(counter);
        return sum;
    }
};

}  // namespace

TEST(TenantDistribution, withdrawnKeyIsRejectedByAllNodesWithinASecond) {
    auto muted = MutedLog();
    auto fleet = TenantFleet(61, 72, 76);
    auto fullStatesBefore = fleet.count("whole_states_sent_total");
    auto cost = measureChange(
        fleet, [&] { fleet.withdraw(); }, [&] { return fleet.inForceEverywhere(); });
    CHECK(cost.bytesPerNode < 10'000);
    CHECK_EQ(fullStatesBefore, fleet.count("whole_states_sent_total"));
}

TEST(TenantDistribution, nodeRejectsWithdrawnKeysAfterAPartition) {
    auto muted = MutedLog();
    auto fleet = TenantFleet(62, 12, 20);
    auto& node = *fleet.nodes.back();
    fleet.lone(node, true);
    for (auto i = 0; i < 4; i++) fleet.withdraw();
    fleet.run(6 * SECOND);
    CHECK(!fleet.inForceAt(node));
    fleet.lone(node, false);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.inForceEverywhere(); }));
}

// The store of a restarted voter holds older keys. It must adopt the newest ones, and must not return to
// those of its store afterwards.
TEST(TenantDistribution, restartedVoterDoesNotRestoreWithdrawnKeysFromItsStore) {
    auto muted = MutedLog();
    for (auto seed = 63u; seed < 67; seed++) {
        auto fleet = TenantFleet(seed, 12, 20);
        auto leader = fleet.leader();
        auto node = std::find_if(fleet.nodes.begin(), fleet.nodes.end(),
            [&](auto& node) { return node->core && node.get() != leader; });
        fleet.stop(**node);
        for (auto i = 0; i < 3; i++) fleet.withdraw();
        fleet.run(3 * SECOND);
        fleet.restart(**node);
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.inForceEverywhere(); }));
        fleet.run(5 * SECOND);
        CHECK(fleet.inForceEverywhere());
    }
}

// A node without a disk must start without any configuration, not with one that has no tenants or older keys.
TEST(TenantDistribution, nodeWithoutADiskStartsWithoutKeysAndAdoptsTheNewest) {
    auto muted = MutedLog();
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

TEST(TenantDistribution, viewsAndCountersDoNotShowKeys) {
    auto muted = MutedLog();
    auto fleet = TenantFleet(68, 12, 20);
    fleet.withdraw();
    fleet.run(SECOND);
    auto& node = *fleet.leader()->n;
    auto views = node.status(fleet.t) + node.beliefs(fleet.t) + fleet.leader()->counters.text();
    CHECK(views.find("configGeneration") != std::string::npos);
    for (auto tenant = 0; tenant < fleet.tenants; tenant++)
        for (auto revision = 1; revision <= fleet.revision + 1; revision++)
            CHECK(views.find(testKey(tenant, revision)) == std::string::npos);
}

TEST(TenantDistribution, lostMessagesDelayWithdrawalsOnlyBriefly) {
    auto muted = MutedLog();
    for (auto seed = 70u; seed < 76; seed++) {
        auto fleet = TenantFleet(seed, 12, 20);
        fleet.lossRate = .3;
        fleet.run(SECOND);
        fleet.lossRate = 0;
        fleet.withdraw();
        fleet.lossRate = .3;
        fleet.run(2 * SECOND);
        fleet.lossRate = 0;
        CHECK(fleet.until(2 * SECOND, [&] { return fleet.inForceEverywhere(); }));
    }
}

}  // namespace duneturn
