#pragma once
// The HTTP interface of operators and of the platform: a table of routes, and a short handler each.
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/settings.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/shell.hpp"
#include "daemon/transport_counters.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Whether clients' addresses answer this target too, beside the requests that are for servers.
auto isPublicTarget(std::string_view target) -> bool;

class OperatorApi {
  public:
    OperatorApi(Logic& logic, NodeCalls& calls, TransportCounters& counters, const Settings& settings)
        : logic_(logic), calls_(calls), counters_(counters), settings_(settings) {}

    /// The answer to one request. `shell`: as that request sees it. Both must outlive the answer.
    auto serve(const HttpRequest& request, Shell& shell) -> asio::awaitable<HttpResponse>;

  private:
    /// A request with its target taken apart.
    struct Call {
        const HttpRequest& request;
        Shell& shell;
        std::string target;     ///< With its query.
        std::string path;       ///< Without it.
        std::string parameter;  ///< What stands at the route's "*".
    };
    using Handler = asio::awaitable<HttpResponse> (OperatorApi::*)(const Call&);
    struct Route {
        http::verb method;
        std::string_view pattern;  ///< A path; "*" stands for any characters.
        Handler handler;
    };
    static auto routes() -> const std::vector<Route>&;

    auto where(const Call& call) -> asio::awaitable<HttpResponse>;
    auto live(const Call& call) -> asio::awaitable<HttpResponse>;
    auto ready(const Call& call) -> asio::awaitable<HttpResponse>;
    auto metrics(const Call& call) -> asio::awaitable<HttpResponse>;
    auto status(const Call& call) -> asio::awaitable<HttpResponse>;
    auto beliefs(const Call& call) -> asio::awaitable<HttpResponse>;
    auto tenants(const Call& call) -> asio::awaitable<HttpResponse>;
    auto requests(const Call& call) -> asio::awaitable<HttpResponse>;
    auto explain(const Call& call) -> asio::awaitable<HttpResponse>;
    auto decisions(const Call& call) -> asio::awaitable<HttpResponse>;
    auto readDocument(const Call& call) -> asio::awaitable<HttpResponse>;
    auto readConfig(const Call& call) -> asio::awaitable<HttpResponse>;
    auto readPlan(const Call& call) -> asio::awaitable<HttpResponse>;
    auto findOrder(const Call& call) -> asio::awaitable<HttpResponse>;
    auto putConfig(const Call& call) -> asio::awaitable<HttpResponse>;
    auto mergeConfig(const Call& call) -> asio::awaitable<HttpResponse>;
    auto postOrder(const Call& call) -> asio::awaitable<HttpResponse>;
    auto rescue(const Call& call) -> asio::awaitable<HttpResponse>;
    auto listServers(const Call& call) -> asio::awaitable<HttpResponse>;
    auto markLeaving(const Call& call) -> asio::awaitable<HttpResponse>;

    auto order(const Call& call, std::string operation) -> asio::awaitable<HttpResponse>;
    auto orderKey(const HttpRequest& request) -> std::string;

    Logic& logic_;
    NodeCalls& calls_;
    TransportCounters& counters_;
    const Settings& settings_;
    std::atomic<std::int64_t> lastKey_ = 0;
};

}  // namespace duneturn
