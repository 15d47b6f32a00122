#include "daemon/node_calls.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace duneturn {

auto NodeCalls::run(Begin begin, OperatorConnectionWatch* watch) -> asio::awaitable<Outcome> {
    auto executor = co_await asio::this_coro::executor;
    auto done = std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    auto result = std::make_shared<Outcome>();
    {
        auto lock = std::lock_guard(logic_.mutex);
        auto call = ++lastCall_;
        if (watch) watch->call = call;
        waiting_[call] = [result, done, executor](const Outcome& outcome) {
            asio::post(executor, [result, done, outcome] {
                *result = outcome;
                done->cancel();
            });
        };
        begin(call);
    }
    while (!result->status) co_await done->async_wait(asio::as_tuple(asio::use_awaitable));
    if (watch) watch->call = 0;
    co_return *result;
}

auto NodeCalls::finish(std::int64_t call, const Outcome& outcome) -> void {
    auto waiting = waiting_.extract(call);
    if (!waiting.empty()) waiting.mapped()(outcome);
}

auto NodeCalls::cancel(const OperatorConnectionWatch& watch) -> void {
    auto lock = std::lock_guard(logic_.mutex);
    if (watch.call) logic_.node->cancelOrder(watch.call);
}

}  // namespace duneturn
