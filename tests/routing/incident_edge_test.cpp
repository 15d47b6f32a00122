// What the incidents inc-33e3 and inc-884a showed of an edge behind a wire on which clients name requests: a
// zone's servers fail together. One node that is a fleet of its own.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {
namespace {

constexpr auto ONCE = R"({"name":"once","path":"/o/*","pool":"p","stream":true,"MaxTries":1})";
constexpr auto AGAIN =
    R"({"name":"again","path":"/r/*","pool":"p","stream":true,"Resumable":true,"MaxTries":2})";

// An edge with both routes and six servers of one zone.
struct IncidentEdge : EdgeFixture {
    IncidentEdge() {
        auto limits = R"("budget":{"slack":64,"share":0.2},"models":{"m":{"migrationLimit":1}})";
        CHECK_EQ(200, orderConfig(fmt::format(R"({{{},"mappings":[{},{}]}})", limits, ONCE, AGAIN)));
        auto servers = std::vector<ListedServer>();
        for (auto name : {"u", "v", "w", "x", "y", "z"}) servers.push_back({name, "near", "p", "z", 8});
        listServers(servers);
    }
    auto request(const std::string& path) -> std::int64_t {
        return sendRequest(path, {{"X-Model", "m"}}, "h");
    }
    auto refuse(std::int64_t request) -> void { edge->onConnectionRefused(request, lastSend().attempt, now); }
    auto lose(std::int64_t request) -> void {
        edge->onConnectionLost(request, lastSend().attempt, "reset", now);
    }
};

}  // namespace

// Where nobody was there, nothing was migrated: a second closed door is no reason to give up.
TEST(Incident, refusedIsNoMigration) {
    for (auto path : {"/o/1", "/r/1"}) {
        auto rig = IncidentEdge();
        auto request = rig.request(path);
        for (auto i = 0; i < 3; i++) rig.refuse(request);
        CHECK_EQ(std::size_t(4), rig.sends.size());
        CHECK(!rig.replies.count(request));
        CHECK(rig.sendFirstByte(request));
    }
    // Of one that has run, the limit counts as before: one migration.
    auto rig = IncidentEdge();
    auto request = rig.request("/r/1");
    CHECK(rig.sendFirstByte(request));
    rig.lose(request);
    CHECK_EQ(std::size_t(2), rig.sends.size());
    rig.refuse(request);
    CHECK_EQ(std::size_t(3), rig.sends.size());
    CHECK(rig.sendFirstByte(request));
    rig.lose(request);
    CHECK_EQ(std::size_t(3), rig.sends.size());
    CHECK_EQ(502, rig.replies[request].status);
}

}  // namespace duneturn
