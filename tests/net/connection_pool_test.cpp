// The bookkeeping of idle connections to servers.
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "net/connection_pool.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

using Ids = std::vector<std::int64_t>;

/// What IdleConnections must hold, as a plain list.
struct IdleModel {
    std::map<std::int64_t, std::pair<std::string, Microseconds>>
        held;  // the server and the expiry, by number
    int taken = 0, closed = 0;

    auto take(std::int64_t id, const std::string& server, Microseconds now) -> void {
        CHECK(held.contains(id));
        CHECK_EQ(server, held[id].first);
        CHECK(held[id].second > now);
        held.erase(id);
        taken++;
    }
    auto close(const Ids& ids) -> void {
        for (auto id : ids) {
            CHECK_EQ(std::size_t(1), held.erase(id));
            closed++;
        }
    }
    auto checkPerServer() const -> void {
        auto counts = std::map<std::string, std::size_t>();
        for (auto& [id, connection] : held) counts[connection.first]++;
        for (auto& [server, count] : counts) CHECK(count <= MAX_IDLE_PER_SERVER);
    }
};

}  // namespace

TEST(ConnectionPool, idleConnections) {
    auto idle = IdleConnections();
    CHECK(!idle.take("a", 0));
    for (auto i = 1; i <= 4; i++) CHECK(idle.put("a", i, 4 * SECOND, i).empty());
    // A fifth takes the place of the one idle for longest.
    CHECK(idle.put("a", 5, 4 * SECOND, 5) == Ids{1});
    CHECK_EQ(std::size_t(4), idle.size());
    // The one used last is taken first, and only under its own server's name and address.
    CHECK(!idle.take("b", 6));
    CHECK_EQ(std::int64_t(5), idle.take("a", 6).value());
    CHECK_EQ(std::int64_t(4), idle.take("a", 6).value());
    // None whose time is over is taken; it is given out once, to be closed.
    CHECK(!idle.take("a", 4 * SECOND));
    CHECK(idle.expire(4 * SECOND - 1).empty());
    CHECK(idle.expire(4 * SECOND) == (Ids{2, 3}));
    CHECK_EQ(std::size_t(0), idle.size());
    // One with no time left is not kept.
    CHECK(idle.put("a", 9, 5, 5) == Ids{9});
    CHECK_EQ(std::size_t(0), idle.size());
}

// All nodes' idle connections leave most of a server's places free.
TEST(ConnectionPool, idleShare) {
    CHECK_EQ(std::size_t(4), idleShare(0, 12));
    CHECK_EQ(std::size_t(4), idleShare(390, 12));
    CHECK_EQ(std::size_t(2), idleShare(130, 12));
    CHECK_EQ(std::size_t(0), idleShare(130, 100));
    for (auto nodes = std::size_t(1); nodes < 300; nodes++)
        for (auto connections = 1; connections < 500; connections += 7)
            CHECK(4 * idleShare(connections, nodes) * nodes <= std::size_t(connections));
    auto idle = IdleConnections();
    CHECK(idle.put("a", 1, SECOND, 0, 0) == Ids{1});
    CHECK(idle.put("a", 2, SECOND, 0, 1).empty());
    CHECK(idle.put("a", 3, SECOND, 0, 1) == Ids{2});
}

// Against a plain list: nothing is lost, taken twice, or taken after its time.
TEST(ConnectionPool, fuzz) {
    constexpr auto LIMIT = std::size_t(9);
    auto random = RandomSource{3};
    auto idle = IdleConnections(LIMIT);
    auto model = IdleModel();
    auto lastId = std::int64_t(0);
    for (auto now = Microseconds(1); now < 20000; now++) {
        auto server = fmt::format("s{}", random.below(4));
        if (random.chance(.5)) {
            auto expiry = now + Microseconds(random.below(40));
            model.held[++lastId] = {server, expiry};
            model.close(idle.put(server, lastId, expiry, now));
        } else if (auto id = idle.take(server, now)) {
            model.take(*id, server, now);
        }
        if (random.chance(.3)) {
            auto expired = idle.expire(now);
            for (auto id : expired) CHECK(model.held[id].second <= now);
            model.close(expired);
        }
        CHECK_EQ(model.held.size(), idle.size());
        CHECK(idle.size() <= LIMIT);
        model.checkPerServer();
    }
    CHECK(model.taken > 1000);
    CHECK(model.closed > 1000);
}

}  // namespace duneturn
