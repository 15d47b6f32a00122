// The quotas' granter among voters whose places pass to other nodes.
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

/// Whether a request that asks now gets a token, which it spends.
auto isGranted(Fleet& fleet, FleetNode& box) -> bool {
    auto reservation = QuotaReservation();
    auto& account = box.n->quota();
    auto answer = account.reserve(TENANT, reservation, fleet.t);
    if (answer == QuotaDecision::Wait) account.stopWaiting(TENANT);
    return answer == QuotaDecision::Granted && account.spend(reservation, fleet.t);
}

}  // namespace

TEST(QuotaVoters, tokensAreGrantedOnceAVotersPlaceHasPassedToAnotherNode) {
    auto quiet = MutedLog();
    for (auto k = 0U; k < 3; k++) {
        auto fleet = Fleet(40 + k);
        fleet.startCluster();
        putTenants(fleet);
        auto& client = *fleet.nodes.back();
        CHECK(fleet.until(12 * SECOND, [&] { return isGranted(fleet, client); }));
        auto& gone = *fleet.nodes[k];
        fleet.stop(gone);
        gone.removed = true;
        auto& successor = fleet.add(gone.st.region, gone.st.zone, true, false);
        fleet.start(successor);
        CHECK(fleet.until(5 * SECOND, [&] { return fleet.seated(successor); }));
        fleet.stop(*fleet.nodes[(k + 1) % 3]);
        fleet.run(4 * SECOND);  // by then nothing is left that was granted before
        CHECK(fleet.until(16 * SECOND, [&] { return isGranted(fleet, client); }));
    }
}

}  // namespace duneturn
