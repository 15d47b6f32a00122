// Requests that wait for a server with room.
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

// No room: a short wait, then the reply, at once and with its promise. More urgent work first.
TEST(EdgePlatform, queues) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"aimUs":1000000,"urgency":5},
      {"name":"u","path":"/u","pool":"p","aimUs":1000000,"urgency":9)")));
    rig.listServers({{"x"}});
    auto in = std::vector<std::int64_t>();
    for (auto i = 0; i < 5; i++) {  // four slots, and one that it may queue itself
        in.push_back(rig.sendRequest("/a/x"));
        CHECK(rig.sendFirstByte(in.back()));
    }
    auto a = rig.sendRequest("/a/x"), b = rig.sendRequest("/u");
    CHECK_EQ(std::size_t(5), rig.sends.size());
    rig.answer(in[0]);
    CHECK_EQ(std::size_t(6), rig.sends.size());  // not only at the next tick
    CHECK_EQ(b, rig.lastSend().request);
    rig.runFor(180 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(a));
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(503, rig.outcome(a));
    auto t = std::stod(headerOf(rig.replies[a].headers, "Retry-After"));
    CHECK(t > 0.1 && t < 0.6);
    CHECK_EQ(std::string("true"), headerOf(rig.replies[a].headers, "X-Not-Run"));
    // What the server says of itself counts too.
    rig.runFor(10 * SECOND);
    for (auto i = 1; i < 5; i++) rig.edge->clientClosed(in[std::size_t(i)], rig.now);
    rig.edge->clientClosed(b, rig.now);
    rig.runFor(100 * MILLISECOND);
    auto y = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(y));
    rig.answer(y, {{"X-Load", "4,2,4"}});
    auto n = rig.sends.size();
    rig.sendRequest("/a/x");
    rig.runFor(100 * MILLISECOND);
    CHECK_EQ(n, rig.sends.size());
}

}  // namespace duneturn
