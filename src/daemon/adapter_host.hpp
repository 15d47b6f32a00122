#pragma once
// Runs an adapter (shell.hpp) within this process: what it throws ends no coroutine of the daemon.
#include <string>

#include "daemon/shell.hpp"
#include "net/http.hpp"

namespace duneturn {

class AdapterHost {
  public:
    /// `adapter`: null if there is none; then serve() and runDuties() must not be called.
    explicit AdapterHost(Adapter* adapter) : adapter_(adapter) {}

    auto present() const -> bool { return adapter_ != nullptr; }
    /// The adapter's answer to a request at one of its addresses; 500 if it throws.
    auto serve(const std::string& at, const HttpRequest& request, Shell& shell)
        -> asio::awaitable<HttpResponse>;
    /// The adapter's duties, begun again whenever they throw.
    auto runDuties(Shell& shell) -> asio::awaitable<void>;
    /// The settings file may have changed (SIGHUP).
    auto reload() -> void;

  private:
    Adapter* adapter_;
};

}  // namespace duneturn
