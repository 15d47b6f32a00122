#pragma once
// What the shell offers to an adapter: a deployment's own wire, bound to the roles' logic.
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "net/http.hpp"
#include "net/http_client.hpp"
#include "routing/edge.hpp"
#include "state/state_query.hpp"

namespace duneturn {

/// The node, to whoever answers requests in this process. Orders and reads suspend the caller; nothing
/// blocks.
struct Shell {
    virtual ~Shell() = default;
    /// An operator's order (Node::order); answered once its outcome is known.
    virtual auto order(const std::string& operation, const std::string& key, const std::string& body)
        -> asio::awaitable<Outcome> = 0;
    /// What the state answers to `query` (StateQuery::answer), with status 200: the state that a
    /// majority confirmed after this was called. Another status if none did.
    virtual auto readState(const StateQuery& query) -> asio::awaitable<Outcome> = 0;
    /// The platform's whole listing (Node::list).
    virtual auto list(const std::string& body) -> asio::awaitable<Outcome> = 0;
    /// Where callers near this place should go, as JSON (Node::where).
    virtual auto where(const std::string& region, const std::string& zone) -> std::string = 0;
    /// Whether this node serves now; false from the beginning of a planned stop.
    virtual auto ready() -> bool = 0;
    /// Whether this node does the fleet's single duties now (Node::duty).
    virtual auto duty() -> bool = 0;
    /// The text of the replicated state held here.
    virtual auto replicatedState() -> std::string = 0;
    /// A GET of another process.
    virtual auto fetch(const std::string& address, const std::string& target, Microseconds limit)
        -> asio::awaitable<tl::expected<HttpResponse, CallError>> = 0;
    /// The settings that this process was started with.
    virtual auto settings() -> const Settings& = 0;
};

/// A deployment's own wire. All of it runs on one thread.
struct Adapter {
    virtual ~Adapter() = default;
    Dialect dialect;                   ///< The names of what travels in headers.
    std::vector<std::string> listens;  ///< Further addresses to listen at, HTTP.
    /// A call at `at`, one of `listens`; what it throws is answered with 500.
    virtual auto serve(const std::string& at, const HttpRequest& request, Shell& shell)
        -> asio::awaitable<HttpResponse> = 0;
    /// Begun once; runs as long as the process.
    virtual auto duties(Shell& shell) -> asio::awaitable<void> = 0;
    /// The settings file has changed (SIGHUP).
    virtual auto reload() -> void {}
};

}  // namespace duneturn
