#include "daemon/client_listener.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "daemon/limits.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

/// The session lives in this coroutine's frame.
auto runSession(SessionContext& context, ListenerKind kind, std::string address, tcp::socket socket)
    -> asio::awaitable<void> {
    auto session = ClientSession(context, kind, std::move(address), std::move(socket));
    co_await session.run();
}

}  // namespace

auto ClientListeners::add(ListenerKind kind, const std::string& address) -> void {
    if (address.empty()) return;
    auto known = std::any_of(
        listeners_.begin(), listeners_.end(), [&](auto& listener) { return listener->address == address; });
    if (known) return;
    auto listener = Listener{kind, address, tcp::acceptor(context_.workers.context())};
    listeners_.push_back(std::make_unique<Listener>(std::move(listener)));
}

auto ClientListeners::open() -> tl::expected<void, std::string> {
    for (auto& listener : listeners_) {
        auto& acceptor = listener->acceptor;
        try {
            auto address = endpoint(listener->address);
            acceptor.open(address.protocol());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.bind(address);
            acceptor.listen(ACCEPT_BACKLOG);
        } catch (const std::exception& failure) {
            return tl::make_unexpected(listener->address + ": " + failure.what());
        }
    }
    return {};
}

auto ClientListeners::start() -> void {
    for (auto& listener : listeners_)
        asio::co_spawn(context_.workers.context(), run(*listener), asio::detached);
}

auto ClientListeners::run(Listener& listener) -> asio::awaitable<void> {
    auto& workers = context_.workers;
    while (listener.acceptor.is_open()) {
        auto executor = workers.connectionExecutor();
        auto [failed, socket] = co_await listener.acceptor.async_accept(executor, quiet);
        if (failed == asio::error::operation_aborted) co_return;
        if (failed) {
            auto timer = asio::steady_timer(workers.context(), std::chrono::microseconds(ACCEPT_RETRY));
            co_await timer.async_wait(quiet);
            continue;
        }
        if (context_.sessions >= MOST_SESSIONS) continue;  // closed at once
        auto session = runSession(context_, listener.kind, listener.address, std::move(socket));
        asio::co_spawn(executor, std::move(session), asio::detached);
    }
}

auto ClientListeners::closeIdle() -> void {
    auto ignored = beast::error_code();
    for (auto& listener : listeners_)
        if (listener->kind == ListenerKind::Client) listener->acceptor.close(ignored);
    for (auto& stream : context_.idle)
        asio::post(stream->get_executor(), [&context = context_, stream] {
            auto lock = std::lock_guard(context.logic.mutex);
            if (context.idle.contains(stream)) stream->cancel();
        });
}

}  // namespace duneturn
