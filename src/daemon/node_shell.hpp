#pragma once
// The Shell of this process, for adapters and for the operator API.
#include <string>

#include <tl/expected.hpp>

#include "base/settings.hpp"
#include "control/operator_connection_watch.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/shell.hpp"
#include "net/http_client.hpp"

namespace duneturn {

/// With a watch, the shell as that one request sees it: orders and reads end when its caller is gone.
class NodeShell : public Shell {
  public:
    NodeShell(
        Logic& logic, NodeCalls& calls, const Settings& settings, OperatorConnectionWatch* watch = nullptr)
        : logic_(logic), calls_(calls), settings_(settings), watch_(watch) {}

    auto order(const std::string& operation, const std::string& key, const std::string& body)
        -> asio::awaitable<Outcome> override {
        return runOrder(operation, key, body);
    }
    auto readState(const StateQuery& query) -> asio::awaitable<Outcome> override { return runRead(query); }
    auto list(const std::string& body) -> asio::awaitable<Outcome> override;
    auto where(const std::string& region, const std::string& zone) -> std::string override;
    auto ready() -> bool override;
    auto duty() -> bool override;
    auto replicatedState() -> std::string override;
    auto fetch(const std::string& address, const std::string& target, Microseconds limit)
        -> asio::awaitable<tl::expected<HttpResponse, CallError>> override;
    auto settings() -> const Settings& override { return settings_; }

  private:
    // Coroutines own their parameters.
    auto runOrder(std::string operation, std::string key, std::string body) -> asio::awaitable<Outcome>;
    auto runRead(StateQuery query) -> asio::awaitable<Outcome>;
    auto whyNotBegun(const std::string& operation) -> std::string;

    Logic& logic_;
    NodeCalls& calls_;
    const Settings& settings_;
    OperatorConnectionWatch* watch_;
};

}  // namespace duneturn
