#pragma once
// What the soak does to its nodes: planned stops, further signals meanwhile, new settings and configurations,
// in series that overlap. Nothing unplanned: no node is cut off, slowed or killed within its grace.
#include <cstddef>
#include <cstdint>
#include <vector>

#include <sys/types.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "net/http.hpp"
#include "platform/soak/deployment.hpp"
#include "platform/soak/operator_calls.hpp"
#include "platform/soak/records.hpp"

namespace duneturn::soak {

/// How often each was done.
struct DisruptionCounts {
    int stops = 0, coreStops = 0, repeatedSignals = 0, reloads = 0, reloadsInStops = 0;
    int kills = 0;  ///< Processes that were still there when their grace was over.
};

class Disruptions {
  public:
    Disruptions(asio::io_context& context, const Deployment& deployment, Records& records,
        OperatorCalls& operatorCalls, std::uint64_t seed);

    /// Goes on until stop().
    auto run() -> asio::awaitable<void>;
    auto stop() -> void { stopping_ = true; }
    /// Nodes that are stopping or not back yet.
    [[nodiscard]] auto nodesAway() const -> int { return nodesAway_; }
    [[nodiscard]] auto counts() const -> const DisruptionCounts& { return counts_; }

  private:
    auto disturb() -> void;
    auto mayStop(std::size_t node) const -> bool;
    auto stopNode(std::size_t node) -> asio::awaitable<void>;
    auto awaitEnd(std::size_t node, pid_t process, Microseconds grace) -> asio::awaitable<bool>;
    auto awaitReturn(std::size_t node) -> asio::awaitable<void>;
    auto signalMeanwhile(std::size_t node, pid_t process) -> void;
    auto reload(std::size_t node) -> bool;
    auto pause(Microseconds time) -> asio::awaitable<void>;

    asio::io_context& context_;
    const Deployment& deployment_;
    Records& records_;
    OperatorCalls& operatorCalls_;
    RandomSource random_;
    std::vector<bool> away_;
    int nodesAway_ = 0;
    bool coreAway_ = false;
    int settingsRevision_ = 0;
    bool stopping_ = false;
    DisruptionCounts counts_;
};

}  // namespace duneturn::soak
