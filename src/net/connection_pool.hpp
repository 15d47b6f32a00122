#pragma once
// Idle connections to servers, each of which may carry one further request.
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Keeps idle connections by server. `Connection` is a handle; dropping it closes the connection.
template <class Connection>
class ConnectionPool {
  public:
    /// Whether nothing waits to be read on a connection, not even its end.
    using IsQuiet = std::function<bool(const Connection&)>;

    explicit ConnectionPool(IsQuiet isQuiet) : isQuiet_(std::move(isQuiet)) {}

    /// Keeps a connection to `server` for `life`, of at most `most` to that server. One that is not
    /// quiet is closed: bytes that nobody asked for would be taken for the next request's answer.
    auto put(const std::string& server, Connection connection, Microseconds life, Microseconds now,
        std::size_t most) -> void {
        if (life <= 0 || !isQuiet_(connection)) return;
        auto id = ++lastId_;
        connections_.emplace(id, std::move(connection));
        for (auto closed : pool_.put(server, id, now + life, now, most)) connections_.erase(closed);
    }
    /// The connection to `server` that was used last and is still quiet; empty if there is none.
    auto take(const std::string& server, Microseconds now) -> std::optional<Connection> {
        for (auto id = pool_.take(server, now); id >= 0; id = pool_.take(server, now)) {
            auto node = connections_.extract(id);
            if (!node.empty() && isQuiet_(node.mapped())) return std::move(node.mapped());
        }
        return std::nullopt;
    }
    /// Closes those whose time is over.
    auto expire(Microseconds now) -> void {
        for (auto id : pool_.expire(now)) connections_.erase(id);
    }
    /// Closes all.
    auto clear() -> void {
        connections_.clear();
        pool_ = {};
    }

  private:
    IsQuiet isQuiet_;
    IdleConnections pool_;
    std::map<std::int64_t, Connection> connections_;  // by their number in pool_
    std::int64_t lastId_ = 0;
};

}  // namespace duneturn
