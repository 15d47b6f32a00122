// Guards against the fault behind the incidents inc-33e3 and inc-884a: when all servers of a zone failed at
// the same time, refused connections used up the migrations of requests that had not arrived anywhere. The
// edge belongs to a fleet of one node, and clients name requests.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {
namespace {

constexpr auto NON_REPEATABLE_ROUTE =
    R"({"name":"once","path":"/o/*","pool":"p","stream":true,"MaxTries":1})";
constexpr auto RESUMABLE_ROUTE =
    R"({"name":"again","path":"/r/*","pool":"p","stream":true,"Resumable":true,"MaxTries":2})";

// An edge with six servers of one zone, a route whose requests are not repeatable and one whose streams are
// resumable.
struct IncidentEdge : EdgeFixture {
    IncidentEdge() {
        auto limits = R"("budget":{"slack":64,"share":0.2},"models":{"m":{"migrationLimit":1}})";
        CHECK_EQ(200,
            orderConfig(
                fmt::format(R"({{{},"mappings":[{},{}]}})", limits, NON_REPEATABLE_ROUTE, RESUMABLE_ROUTE)));
        auto servers = std::vector<ListedServer>();
        for (auto name : {"u", "v", "w", "x", "y", "z"}) servers.push_back({name, "near", "p", "z", 8});
        listServers(servers);
    }
    auto requestModel(const std::string& path) -> std::int64_t {
        return sendRequest(path, {{"X-Model", "m"}}, "h");
    }
    auto refuseConnection(std::int64_t request) -> void {
        edge->onConnectionRefused(request, lastSend().attempt, now);
    }
    auto loseConnection(std::int64_t request) -> void {
        edge->onConnectionLost(request, lastSend().attempt, "reset", now);
    }
};

}  // namespace

// A refused connection proves that the request did not arrive, so it does not count as a migration, and
// further refusals do not fail the request.
TEST(Incident, refusedConnectionIsNotCountedAsMigration) {
    for (auto path : {"/o/1", "/r/1"}) {
        auto rig = IncidentEdge();
        auto request = rig.requestModel(path);
        for (auto i = 0; i < 3; i++) rig.refuseConnection(request);
        CHECK_EQ(std::size_t(4), rig.sends.size());
        CHECK(!rig.replies.count(request));
        CHECK(rig.sendFirstByte(request));
    }
    // A request that may have run still has the limit of one migration.
    auto rig = IncidentEdge();
    auto request = rig.requestModel("/r/1");
    CHECK(rig.sendFirstByte(request));
    rig.loseConnection(request);
    CHECK_EQ(std::size_t(2), rig.sends.size());
    rig.refuseConnection(request);
    CHECK_EQ(std::size_t(3), rig.sends.size());
    CHECK(rig.sendFirstByte(request));
    rig.loseConnection(request);
    CHECK_EQ(std::size_t(3), rig.sends.size());
    CHECK_EQ(502, rig.replies[request].status);
}

}  // namespace duneturn
