// The quota granter after voters have been replaced by disks of other nodes.
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "large_configuration.hpp"
#include "membership/fleet_fixture.hpp"
#include "quota/quota_account.hpp"
#include "tenant_configuration.hpp"

namespace duneturn {

namespace {

constexpr auto TENANT = "tenant-0";

auto putTenants(Fleet& fleet) -> void {
    auto base = fleet.leader()->n->replicatedState().configVersion();
    auto id = ++fleet.ids;
    fleet.leader()->n->order(
        id, "config", "tenants", replaceRequest(base, tenantConfiguration(2, 1, base + 1)), fleet.t);
    CHECK(fleet.until(3 * SECOND, [&] { return fleet.ok(id); }));
}

/// Requests a token for one request and spends it. Returns whether the token was granted.
auto isGranted(Fleet& fleet, FleetNode& node) -> bool {
    auto reservation = QuotaReservation();
    auto& account = node.n->quota();
    auto answer = account.reserve(TENANT, reservation, fleet.t);
    if (answer == QuotaDecision::Wait) account.stopWaiting(TENANT);
    return answer == QuotaDecision::Granted && account.spend(reservation, fleet.t);
}

}  // namespace

TEST(QuotaVoters, tokensAreGrantedAfterAVoterWasReplacedByAnotherNode) {
    auto muted = MutedLog();
    for (auto index = 0U; index < 3; index++) {
        auto fleet = Fleet(40 + index);
        fleet.startCluster();
        putTenants(fleet);
        auto& client = *fleet.nodes.back();
        CHECK(fleet.until(12 * SECOND, [&] { return isGranted(fleet, client); }));
        auto& removed = *fleet.nodes[index];
        fleet.stop(removed);
        removed.removed = true;
        auto& successor = fleet.add(removed.st.region, removed.st.zone, true, false);
        fleet.start(successor);
        CHECK(fleet.until(5 * SECOND, [&] { return fleet.isVoter(successor); }));
        fleet.stop(*fleet.nodes[(index + 1) % 3]);
        fleet.run(4 * SECOND);  // by then all earlier grants have expired
        CHECK(fleet.until(16 * SECOND, [&] { return isGranted(fleet, client); }));
    }
}

}  // namespace duneturn
