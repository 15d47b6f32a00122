#pragma once
// A fixture with several edges of one fleet, for tests of their combined effect on the servers.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

/// Edges that know each other, the configuration and the servers; each has its own statistics of the servers.
struct EdgeFleet {
    std::vector<std::unique_ptr<EdgeFixture>> edges;
    std::vector<std::size_t> reportedSends;  // by edge: attempts that newSends has returned
    EdgeFleet(int count, const std::string& config, const std::vector<EdgeFixture::ListedServer>& servers) {
        for (auto i = 0; i < count; i++)
            edges.push_back(std::make_unique<EdgeFixture>(fmt::format("n{}", i), count - 1, 100 + i));
        for (auto& rig : edges) {
            CHECK_EQ(200, rig->orderConfig(config));
            rig->listServers(servers);
        }
        for (auto& rig : edges) {
            rig->runFor(4 * SECOND);
            reportedSends.push_back(rig->sends.size());
        }
    }
    auto now() const -> Microseconds { return edges[0]->now; }
    /// The attempts that edge `i` has started since the last call.
    auto newSends(std::size_t i) -> std::vector<StartedAttempt> {
        auto& rig = *edges[i];
        auto attempts = std::vector<StartedAttempt>(
            rig.sends.begin() + std::ptrdiff_t(reportedSends[i]), rig.sends.end());
        reportedSends[i] = rig.sends.size();
        return attempts;
    }
    auto step() -> void {
        for (auto& rig : edges) rig->step();
    }
};

/// The highest number of events in any window of this length.
inline auto maxInWindow(std::vector<Microseconds> times, Microseconds window) -> std::size_t {
    std::sort(times.begin(), times.end());
    auto maximum = std::size_t(0), first = std::size_t(0);
    for (auto last = std::size_t(0); last < times.size(); last++) {
        while (times[last] - times[first] >= window) first++;
        maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
}

}  // namespace duneturn
