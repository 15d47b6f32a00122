#include "platform/soak/disruptions.hpp"

#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>

#include <fmt/format.h>
#include <signal.h>

#include "base/time.hpp"

namespace duneturn::soak {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr Microseconds SHORTEST_PAUSE = 50 * MILLISECOND;
constexpr Microseconds LONGEST_PAUSE = 800 * MILLISECOND;
/// How often a stopping process is looked at.
constexpr Microseconds LOOK_PERIOD = 20 * MILLISECOND;
constexpr Microseconds RETURN_LOOK_PERIOD = 200 * MILLISECOND;
constexpr Microseconds RETURN_TIMEOUT = 30 * SECOND;
/// Until a core machine that is back counts again.
constexpr Microseconds CATCH_UP = 5 * SECOND;
constexpr auto READY = 200;
// Probabilities.
constexpr auto STOP = 0.5;
constexpr auto RELOAD = 0.25;
constexpr auto SIGNAL_MEANWHILE = 0.02;  // at each look at a stopping process
constexpr auto RELOAD_MEANWHILE = 0.5;   // of those signals; else SIGTERM again

}  // namespace

Disruptions::Disruptions(asio::io_context& context, const Deployment& deployment, Records& records,
    OperatorCalls& operatorCalls, std::uint64_t seed)
    : context_(context),
      deployment_(deployment),
      records_(records),
      operatorCalls_(operatorCalls),
      random_{seed},
      away_(deployment.nodes().size()) {}

auto Disruptions::run() -> asio::awaitable<void> {
    while (!stopping_) {
        disturb();
        co_await pause(SHORTEST_PAUSE + Microseconds(random_.below(LONGEST_PAUSE - SHORTEST_PAUSE)));
    }
}

auto Disruptions::disturb() -> void {
    auto node = std::size_t(random_.below(deployment_.nodes().size()));
    if (random_.chance(STOP)) {
        if (mayStop(node)) asio::co_spawn(context_, stopNode(node), asio::detached);
    } else if (random_.chance(RELOAD)) {
        counts_.reloads += reload(node);
    } else if (!operatorCalls_.changing()) {
        asio::co_spawn(context_, operatorCalls_.changeConfiguration(), asio::detached);
    }
}

// At most half of the nodes at once, and of the core one.
auto Disruptions::mayStop(std::size_t node) const -> bool {
    if (away_[node] || nodesAway_ * 2 >= int(away_.size())) return false;
    return !deployment_.nodes()[node].isCore || !coreAway_;
}

auto Disruptions::stopNode(std::size_t node) -> asio::awaitable<void> {
    auto process = deployment_.process(node);
    if (!process) co_return;
    auto isCore = deployment_.nodes()[node].isCore;
    away_[node] = true;
    coreAway_ = coreAway_ || isCore;
    nodesAway_++;
    counts_.stops++;
    counts_.coreStops += isCore;
    auto grace = deployment_.grace();
    records_.recordStop(node, {bootNow(), grace});
    ::kill(*process, SIGTERM);
    if (!co_await awaitEnd(node, *process, grace)) {
        counts_.kills++;
        ::kill(*process, SIGKILL);
    }
    co_await awaitReturn(node);
    if (isCore) co_await pause(CATCH_UP);
    if (isCore) coreAway_ = false;
    away_[node] = false;
    nodesAway_--;
}

// Whether the process ended within its grace.
auto Disruptions::awaitEnd(std::size_t node, pid_t process, Microseconds grace) -> asio::awaitable<bool> {
    auto until = bootNow() + grace;
    while (bootNow() < until) {
        co_await pause(LOOK_PERIOD);
        if (::kill(process, 0) != 0) co_return true;
        if (random_.chance(SIGNAL_MEANWHILE)) signalMeanwhile(node, process);
    }
    co_return false;
}

auto Disruptions::signalMeanwhile(std::size_t node, pid_t process) -> void {
    if (random_.chance(RELOAD_MEANWHILE)) {
        deployment_.writeSettings(node, false, ++settingsRevision_);
        ::kill(process, SIGHUP);
        counts_.reloadsInStops++;
    } else {
        ::kill(process, SIGTERM);
        counts_.repeatedSignals++;
    }
}

auto Disruptions::awaitReturn(std::size_t node) -> asio::awaitable<void> {
    auto until = bootNow() + RETURN_TIMEOUT;
    while (bootNow() < until) {
        auto status =
            co_await callStatus(context_, deployment_.readinessAddress(node), "GET", "/v1/ready", "", "");
        if (status == READY) co_return;
        co_await pause(RETURN_LOOK_PERIOD);
    }
    records_.recordFault(fmt::format("node {} is not ready {} us after its stop", node, RETURN_TIMEOUT));
}

// A node that serves gets new settings; whether it did.
auto Disruptions::reload(std::size_t node) -> bool {
    auto process = deployment_.process(node);
    if (!process || away_[node]) return false;
    deployment_.writeSettings(node, false, ++settingsRevision_);
    return ::kill(*process, SIGHUP) == 0;
}

auto Disruptions::pause(Microseconds time) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context_, std::chrono::microseconds(time));
    co_await timer.async_wait(quiet);
}

}  // namespace duneturn::soak
