#include "net/connection_pool.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

auto idleShare(std::int64_t maxConnections, std::size_t nodes) -> std::size_t {
    constexpr auto SHARE = std::size_t(4);  // one in so many may be idle
    if (maxConnections <= 0) return MAX_IDLE_PER_SERVER;
    return std::min(
        MAX_IDLE_PER_SERVER, std::size_t(maxConnections) / (SHARE * std::max<std::size_t>(1, nodes)));
}

auto IdleConnections::put(const std::string& server, std::int64_t id, Microseconds expiry, Microseconds now,
    std::size_t most) -> std::vector<std::int64_t> {
    most = std::min(most, MAX_IDLE_PER_SERVER);
    if (expiry <= now || most == 0) return {id};
    auto closed = std::vector<std::int64_t>();
    auto& connections = servers_[server];
    while (connections.size() >= most) {
        closed.push_back(connections.front().id);
        connections.erase(connections.begin());
        size_--;
    }
    if (size_ >= limit_) {
        if (connections.empty()) servers_.erase(server);
        closed.push_back(id);
        return closed;
    }
    connections.push_back({id, expiry});
    size_++;
    return closed;
}

auto IdleConnections::take(const std::string& server, Microseconds now) -> std::optional<std::int64_t> {
    auto found = servers_.find(server);
    // One whose time is over is left to expire().
    if (found == servers_.end() || found->second.back().expiry <= now) return std::nullopt;
    auto id = found->second.back().id;
    found->second.pop_back();
    size_--;
    if (found->second.empty()) servers_.erase(found);
    return id;
}

auto IdleConnections::expire(Microseconds now) -> std::vector<std::int64_t> {
    auto expired = std::vector<std::int64_t>();
    for (auto server = servers_.begin(); server != servers_.end();) {
        std::erase_if(server->second, [&](auto& idle) {
            if (idle.expiry > now) return false;
            expired.push_back(idle.id);
            return true;
        });
        server = server->second.empty() ? servers_.erase(server) : std::next(server);
    }
    size_ -= expired.size();
    return expired;
}

}  // namespace duneturn
