#pragma once
// Idle connections to servers, each of which may carry one further request.
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// The most idle connections that are kept to one server.
constexpr auto MAX_IDLE_PER_SERVER = std::size_t(4);

/// How many idle connections one of `nodes` nodes may keep to a server that accepts `maxConnections` from all
/// callers together (0: any number): all nodes' idle ones together are at most a quarter of them.
[[nodiscard]] auto idleShare(std::int64_t maxConnections, std::size_t nodes) -> std::size_t;

/// Which idle connections are kept. Bookkeeping only: connections are numbers here.
class IdleConnections {
  public:
    /// `limit`: the most that are kept to all servers together.
    explicit IdleConnections(std::size_t limit = 512) : limit_(limit) {}

    /// Keeps connection `id` to `server` until `expiry`, of at most `most` there. Gives those that must be
    /// closed in its stead.
    [[nodiscard]] auto put(const std::string& server, std::int64_t id, Microseconds expiry, Microseconds now,
        std::size_t most = MAX_IDLE_PER_SERVER) -> std::vector<std::int64_t>;
    /// Takes out the one to `server` that was used last; none if there is none.
    [[nodiscard]] auto take(const std::string& server, Microseconds now) -> std::optional<std::int64_t>;
    /// Takes out those whose time is over; they must be closed.
    [[nodiscard]] auto expire(Microseconds now) -> std::vector<std::int64_t>;
    [[nodiscard]] auto size() const -> std::size_t { return size_; }

  private:
    struct Idle {
        std::int64_t id = 0;
        Microseconds expiry = 0;
    };

    std::size_t limit_;
    std::size_t size_ = 0;
    std::map<std::string, std::vector<Idle>> servers_;  // the one used last is a list's last
};

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
        for (auto closed : idle_.put(server, id, now + life, now, most)) connections_.erase(closed);
    }
    /// The connection to `server` that was used last and is still quiet; empty if there is none.
    [[nodiscard]] auto take(const std::string& server, Microseconds now) -> std::optional<Connection> {
        for (auto id = idle_.take(server, now); id; id = idle_.take(server, now)) {
            auto node = connections_.extract(*id);
            if (!node.empty() && isQuiet_(node.mapped())) return std::move(node.mapped());
        }
        return std::nullopt;
    }
    /// Closes those whose time is over.
    auto expire(Microseconds now) -> void {
        for (auto id : idle_.expire(now)) connections_.erase(id);
    }
    /// Closes all.
    auto clear() -> void {
        connections_.clear();
        idle_ = IdleConnections();
    }

  private:
    IsQuiet isQuiet_;
    IdleConnections idle_;
    std::map<std::int64_t, Connection> connections_;  // by their number in idle_
    std::int64_t lastId_ = 0;
};

}  // namespace duneturn
