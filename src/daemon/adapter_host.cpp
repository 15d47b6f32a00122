#include "daemon/adapter_host.hpp"

#include <chrono>
#include <exception>
#include <string>

#include "base/log.hpp"
#include "daemon/limits.hpp"

namespace duneturn {

auto AdapterHost::serve(const std::string& at, const HttpRequest& request, Shell& shell)
    -> asio::awaitable<HttpResponse> {
    try {
        co_return co_await adapter_->serve(at, request, shell);
    } catch (const std::exception& failure) {
        auto target = std::string(request.target()).substr(0, CLIPPED_TEXT);
        logEvent("adapter_request_failed", "target={} cause={}", target, failure.what());
    }
    co_return HttpResponse(http::status::internal_server_error, 11);
}

auto AdapterHost::runDuties(Shell& shell) -> asio::awaitable<void> {
    while (true) {
        try {
            co_await adapter_->duties(shell);
            co_return;
        } catch (const std::exception& failure) {
            logEvent("adapter_duties_failed", "cause={}", failure.what());
        }
        auto timer =
            asio::steady_timer(co_await asio::this_coro::executor, std::chrono::microseconds(DUTIES_RETRY));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto AdapterHost::reload() -> void {
    if (!adapter_) {
        logEvent("reload_ignored", "signal=SIGHUP cause={}", "settings are read at a start only");
        return;
    }
    logEvent("settings_reload", "signal=SIGHUP");
    try {
        adapter_->reload();
    } catch (const std::exception& failure) {
        logEvent("adapter_reload_failed", "cause={}", failure.what());
    }
}

}  // namespace duneturn
