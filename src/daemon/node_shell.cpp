#include "daemon/node_shell.hpp"

#include <cstdint>
#include <mutex>
#include <string>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "control/start_delay.hpp"

namespace duneturn {

// A caller who is gone, or whose request may have lain unread while this process was stopped, may have been
// served elsewhere since: what it asks for now could undo that. Empty if the order may begin.
auto NodeShell::whyNotBegun(const std::string& operation) -> std::string {
    if (!watch_) return "";
    if (watch_->isCallerGone()) return "the caller is gone";
    if (isTooLateToStart(operation, watch_->arrived, bootNow()))
        return "it took too long to begin; send it again";
    auto lock = std::lock_guard(logic_.mutex);
    if (!logic_.node->wasFrozenSince(watch_->arrived, bootNow())) return "";
    logic_.counters.add("orders_after_freeze_total");
    return "this process was stopped meanwhile; send it again";
}

auto NodeShell::runOrder(std::string operation, std::string key, std::string body)
    -> asio::awaitable<Outcome> {
    if (auto why = whyNotBegun(operation); !why.empty()) co_return order_answer::notLogged(why);
    auto begin = NodeCalls::Begin(
        [&](std::int64_t call) { logic_.node->order(call, operation, key, body, bootNow()); });
    co_return co_await calls_.run(begin, watch_);
}

auto NodeShell::runRead(StateQuery query) -> asio::awaitable<Outcome> {
    if (watch_ && watch_->isCallerGone()) co_return order_answer::readUnconfirmed("the caller is gone");
    auto begin = NodeCalls::Begin([&](std::int64_t call) { logic_.node->read(call, query, bootNow()); });
    co_return co_await calls_.run(begin, watch_);
}

auto NodeShell::list(const std::string& body) -> asio::awaitable<Outcome> {
    auto begin = NodeCalls::Begin([&](std::int64_t call) { logic_.node->list(call, body, bootNow()); });
    co_return co_await calls_.run(begin);
}

auto NodeShell::where(const std::string& region, const std::string& zone) -> std::string {
    auto lock = std::lock_guard(logic_.mutex);
    return logic_.node->where(region, zone, bootNow());
}

auto NodeShell::ready() -> bool {
    auto lock = std::lock_guard(logic_.mutex);
    return logic_.node->ready(bootNow()) && !logic_.stop.at;
}

auto NodeShell::duty() -> bool {
    auto lock = std::lock_guard(logic_.mutex);
    return logic_.node->hasSingletonDuty(bootNow());
}

auto NodeShell::replicatedState() -> std::string {
    auto lock = std::lock_guard(logic_.mutex);
    return logic_.node->replicatedState().text();
}

auto NodeShell::fetch(const std::string& address, const std::string& target, Microseconds limit)
    -> asio::awaitable<tl::expected<HttpResponse, CallError>> {
    return duneturn::fetch(address, "GET", target, "", {}, limit);
}

}  // namespace duneturn
