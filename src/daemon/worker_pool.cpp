#include "daemon/worker_pool.hpp"

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "daemon/limits.hpp"

namespace duneturn {

namespace asio = boost::asio;

namespace {

constexpr auto WAKE_PERIOD = std::chrono::milliseconds(500);

/// Keeps a context's queue of timers from running empty. Setting a timer costs a system call only where it
/// is the earliest of all; one that always is spares the others theirs.
class PeriodicTimer {
  public:
    explicit PeriodicTimer(asio::io_context& context) : timer_(context) { wait(); }

  private:
    auto wait() -> void {
        timer_.expires_after(WAKE_PERIOD);
        timer_.async_wait([this](boost::system::error_code failed) {
            if (!failed) wait();
        });
    }

    asio::steady_timer timer_;
};

auto runTicks(asio::io_context& context, std::function<bool()> tick) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context);
    while (!tick()) {
        timer.expires_after(std::chrono::microseconds(TICK_PERIOD));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    context.stop();
}

}  // namespace

auto WorkerPool::connectionExecutor() -> asio::any_io_executor {
    if (workers_ == 1) return context_.get_executor();
    return asio::make_strand(context_);
}

auto WorkerPool::onOnlyWorker() -> bool {
    return workers_ == 1 && context_.get_executor().running_in_this_thread();
}

auto WorkerPool::run(const std::function<bool()>& tick) -> void {
    if (workers_ == 1) return runAlone(tick);
    asio::co_spawn(context_, runTicks(context_, tick), asio::detached);
    auto threads = std::vector<std::thread>();
    for (auto i = 1; i < workers_; i++) threads.emplace_back([this] { context_.run(); });
    context_.run();
    for (auto& thread : threads) thread.join();
}

// The single worker looks at the time between its handlers.
auto WorkerPool::runAlone(const std::function<bool()>& tick) -> void {
    auto timer = PeriodicTimer(context_);
    while (!context_.stopped() && !tick()) context_.run_for(std::chrono::microseconds(TICK_PERIOD));
    context_.stop();
}

}  // namespace duneturn
