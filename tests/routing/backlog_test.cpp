// Queues of requests that wait for a server with capacity.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

// Guards the queue at a server at capacity. A queued request is dispatched as soon as a request ends, the
// more urgent one first; one that waits too long is rejected as not executed, with a Retry-After header. The
// load that a server reports counts as well.
TEST(EdgePlatform, queuedRequestsAreDispatchedByUrgencyOrTimeOut) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"aimUs":1000000,"urgency":5},
      {"name":"u","path":"/u","pool":"p","aimUs":1000000,"urgency":9)")));
    rig.listServers({{"x"}});
    auto running = std::vector<std::int64_t>();
    for (auto i = 0; i < 5; i++) {  // four slots, and one request in the server's own queue
        running.push_back(rig.sendRequest("/a/x"));
        CHECK(rig.sendFirstByte(running.back()));
    }
    auto normal = rig.sendRequest("/a/x"), urgent = rig.sendRequest("/u");
    CHECK_EQ(std::size_t(5), rig.sends.size());
    rig.answer(running[0]);
    CHECK_EQ(std::size_t(6), rig.sends.size());  // at once, not at the next tick
    CHECK_EQ(urgent, rig.lastSend().request);
    rig.runFor(180 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(normal));
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(503, rig.outcome(normal));
    auto retryAfter = std::stod(headerOf(rig.replies[normal].headers, "Retry-After"));
    CHECK(retryAfter > 0.1 && retryAfter < 0.6);
    CHECK_EQ(std::string("true"), headerOf(rig.replies[normal].headers, "X-Not-Run"));
    // The server reports four running and two waiting requests in its four slots, so it gets no other.
    rig.runFor(10 * SECOND);
    for (auto i = 1; i < 5; i++) rig.edge->clientClosed(running[std::size_t(i)], rig.now);
    rig.edge->clientClosed(urgent, rig.now);
    rig.runFor(100 * MILLISECOND);
    auto reporting = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(reporting));
    rig.answer(reporting, {{"X-Load", "4,2,4"}});
    auto sent = rig.sends.size();
    rig.sendRequest("/a/x");
    rig.runFor(100 * MILLISECOND);
    CHECK_EQ(sent, rig.sends.size());
}

}  // namespace duneturn
