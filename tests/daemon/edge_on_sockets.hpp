#pragma once
// An edge whose attempts and responses are moved by the daemon's parts over real sockets, in real time.
#include <algorithm>
#include <chrono>
#include <functional>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "daemon/client_response.hpp"
#include "daemon/logic.hpp"
#include "daemon/worker_pool.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

/// With one route, for plain answers or for streams, and one server. The fixture's own time ends with its
/// construction: from then on `logic` has the node and the edge, and the daemon's parts pass the machine's
/// time.
class EdgeOnSockets : public EdgeFixture {
  public:
    explicit EdgeOnSockets(bool isStream) {
        now = std::max(now, bootNow());
        runFor(8 * SECOND);
        auto members = fmt::format(R"(,"MaxTries":1,"deadlineUs":{})", REQUEST_DEADLINE);
        if (isStream) members += R"(,"stream":true)";
        CHECK_EQ(200, orderConfig(configOf(members)));
        listServers({{"x"}});
        logic.node = std::move(node);
        logic.edge = std::move(edge);
    }

    static constexpr Microseconds REQUEST_DEADLINE = 60 * SECOND;

    /// Runs the connections until `done`, or fails.
    auto runUntil(const std::function<bool()>& done) -> void {
        constexpr auto STEP_TIMEOUT = std::chrono::seconds(10);
        while (!done()) CHECK(workers.context().run_one_for(STEP_TIMEOUT) > 0);
    }

    WorkerPool workers{1};
    Logic logic;
    ClientResponses responses;
};

}  // namespace duneturn
