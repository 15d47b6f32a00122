#pragma once
// The worker threads, which run all coroutines of connections and the logic's ticks.
#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

namespace duneturn {

class WorkerPool {
  public:
    /// `workers`: threads, the calling one of run() among them.
    explicit WorkerPool(int workers) : workers_(workers), context_(workers) {}

    auto context() -> boost::asio::io_context& { return context_; }
    /// A new executor that runs one connection's steps one after the other. A single worker does so anyway.
    auto connectionExecutor() -> boost::asio::any_io_executor;
    /// Whether this is the thread of the only worker.
    auto onOnlyWorker() -> bool;
    /// Runs the workers until `tick`, which is called each TICK_PERIOD by one of them, returns true.
    auto run(const std::function<bool()>& tick) -> void;
    /// Ends run() without waiting for `tick`. Safe from any thread.
    auto stop() -> void { context_.stop(); }

  private:
    auto runAlone(const std::function<bool()>& tick) -> void;

    const int workers_;
    boost::asio::io_context context_;
};

}  // namespace duneturn
