#pragma once
// Several edges of one fleet, for tests of what they do together.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

/// Several edges of one fleet, each with its own knowledge, and what all of them sent.
struct EdgeFleet {
    std::vector<std::unique_ptr<EdgeFixture>> edges;
    std::vector<std::size_t> seen;
    EdgeFleet(int count, const std::string& config, const std::vector<EdgeFixture::ListedServer>& servers) {
        for (auto i = 0; i < count; i++)
            edges.push_back(std::make_unique<EdgeFixture>(fmt::format("n{}", i), count - 1, 100 + i));
        for (auto& rig : edges) {
            CHECK_EQ(200, rig->orderConfig(config));
            rig->listServers(servers);
        }
        for (auto& rig : edges) rig->runFor(4 * SECOND), seen.push_back(rig->sends.size());
    }
    auto now() const -> Microseconds { return edges[0]->now; }
    /// What edge `i` began since it was last asked.
    auto newSends(std::size_t i) -> std::vector<StartedAttempt> {
        auto& rig = *edges[i];
        auto o = std::vector<StartedAttempt>(rig.sends.begin() + std::ptrdiff_t(seen[i]), rig.sends.end());
        seen[i] = rig.sends.size();
        return o;
    }
    auto step() -> void {
        for (auto& rig : edges) rig->step();
    }
};

/// The most events of `v` in any span of that length.
inline auto densest(std::vector<Microseconds> v, Microseconds span) -> std::size_t {
    std::sort(v.begin(), v.end());
    auto m = std::size_t(0), j = std::size_t(0);
    for (auto i = std::size_t(0); i < v.size(); i++) {
        while (v[i] - v[j] >= span) j++;
        m = std::max(m, i - j + 1);
    }
    return m;
}

}  // namespace duneturn
