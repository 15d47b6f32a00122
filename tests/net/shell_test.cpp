// The shell's pieces without sockets: keep-alive, the pool of kept connections, limits, the stop.
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "net/connection_limits.hpp"
#include "net/connection_pool.hpp"
#include "net/http.hpp"
#include "net/stop_schedule.hpp"
#include "test.hpp"

namespace duneturn {

TEST(Shell, keepAlive) {
    CHECK_EQ(std::int64_t(5), keepAliveSeconds("timeout=5"));
    CHECK_EQ(std::int64_t(15), keepAliveSeconds("max=100, Timeout=15"));
    CHECK_EQ(std::int64_t(7), keepAliveSeconds("timeout = 7, max=2"));
    CHECK_EQ(std::int64_t(0), keepAliveSeconds("timeout=0"));
    CHECK_EQ(std::int64_t(-1), keepAliveSeconds(""));
    CHECK_EQ(std::int64_t(-1), keepAliveSeconds("max=100"));
    CHECK_EQ(std::int64_t(-1), keepAliveSeconds("timeout="));
    CHECK_EQ(std::int64_t(-1), keepAliveSeconds("timeouts"));
    CHECK(keepAliveSeconds("timeout=99999999999999999999") > 0);

    CHECK_EQ(4 * SECOND, keepFor({}));
    CHECK_EQ(4 * SECOND, keepFor({{"keep-alive", "timeout=60"}}));
    CHECK_EQ(2 * SECOND, keepFor({{"Keep-Alive", "timeout=3"}}));
    CHECK_EQ(Microseconds(0), keepFor({{"Keep-Alive", "timeout=1"}}));
    CHECK_EQ(Microseconds(0), keepFor({{"Keep-Alive", "timeout=0"}}));
    CHECK_EQ(Microseconds(0), keepFor({{"connection", "foo, Close"}, {"Keep-Alive", "timeout=60"}}));
    CHECK_EQ(4 * SECOND, keepFor({{"Connection", "keep-alive"}, {"Keep-Alive", "max=1"}}));
}

TEST(Shell, hopByHop) {
    for (auto k : {"connection", "Keep-Alive", "transfer-encoding", "Content-Length", "TE", "Upgrade"})
        CHECK(isHopByHopHeader(k, ""));
    CHECK(!isHopByHopHeader("X-One", ""));
    CHECK(isHopByHopHeader("X-One", "close, x-one"));
    CHECK(!isHopByHopHeader("X-One", "x-oneness"));
    CHECK(!isHopByHopHeader("Host", "close"));
}

TEST(Shell, pool) {
    auto p = IdleConnections();
    auto none = std::vector<std::int64_t>();
    CHECK(!p.take("a", 0));
    for (auto i = 1; i <= 4; i++) CHECK(p.put("a", i, 4 * SECOND, i) == none);
    // A fifth takes the place of the one idle for longest.
    CHECK(p.put("a", 5, 4 * SECOND, 5) == std::vector<std::int64_t>{1});
    CHECK_EQ(std::size_t(4), p.size());
    // The one used last is taken first, and only under its own server's name and address.
    CHECK(!p.take("b", 6));
    CHECK_EQ(std::int64_t(5), p.take("a", 6).value());
    CHECK_EQ(std::int64_t(4), p.take("a", 6).value());
    // None whose time is over is taken; it is given back once, to be closed.
    CHECK(!p.take("a", 4 * SECOND));
    CHECK(p.expire(4 * SECOND - 1) == none);
    CHECK(p.expire(4 * SECOND) == (std::vector<std::int64_t>{2, 3}));
    CHECK_EQ(std::size_t(0), p.size());
    // One with no time left is not kept.
    CHECK(p.put("a", 9, 5, 5) == std::vector<std::int64_t>{9});
    CHECK_EQ(std::size_t(0), p.size());
}

// All nodes' idle connections leave most of a server's places free.
TEST(Shell, idleShare) {
    CHECK_EQ(std::size_t(4), idleShare(0, 12));
    CHECK_EQ(std::size_t(4), idleShare(390, 12));
    CHECK_EQ(std::size_t(2), idleShare(130, 12));
    CHECK_EQ(std::size_t(0), idleShare(130, 100));
    for (auto n = 1; n < 300; n++)
        for (auto c = 1; c < 500; c += 7)
            CHECK(4 * idleShare(c, std::size_t(n)) * std::size_t(n) <= std::size_t(c));
    auto p = IdleConnections();
    CHECK(p.put("a", 1, SECOND, 0, 0) == std::vector<std::int64_t>{1});
    CHECK(p.put("a", 2, SECOND, 0, 1).empty());
    CHECK(p.put("a", 3, SECOND, 0, 1) == std::vector<std::int64_t>{2});
}

// Against a plain list: nothing is lost, taken twice, or taken after its time.
TEST(Shell, poolFuzz) {
    auto r = RandomSource{3};
    auto p = IdleConnections(9);
    auto held = std::map<std::int64_t, std::pair<std::string, Microseconds>>();
    auto id = std::int64_t(0);
    auto taken = 0, closed = 0;
    for (auto now = Microseconds(1); now < 20000; now++) {
        auto key = fmt::format("s{}", r.below(4));
        auto back = std::vector<std::int64_t>();
        if (r.chance(.5)) {
            auto till = now + Microseconds(r.below(40));
            held[++id] = {key, till};
            back = p.put(key, id, till, now);
        } else if (auto idle = p.take(key, now)) {
            auto t = *idle;
            CHECK(held.contains(t));
            CHECK_EQ(key, held[t].first);
            CHECK(held[t].second > now);
            held.erase(t);
            taken++;
        }
        if (r.chance(.3)) {
            auto e = p.expire(now);
            for (auto t : e) CHECK(held[t].second <= now);
            back.insert(back.end(), e.begin(), e.end());
        }
        for (auto t : back) {
            CHECK_EQ(std::size_t(1), held.erase(t));
            closed++;
        }
        CHECK_EQ(held.size(), p.size());
        CHECK(p.size() <= 9);
        auto n = std::map<std::string, int>();
        for (auto& [i, h] : held) n[h.first]++;
        for (auto& [k, c] : n) CHECK(c <= 4);
    }
    CHECK(taken > 1000);
    CHECK(closed > 1000);
}

TEST(Shell, limits) {
    auto l = [](const char* s) {
        auto d = rapidjson::Document();
        CHECK(parseJson(s, d));
        return readConnectionLimits(d);
    };
    for (auto s : {"{}", "null", R"({"limits":{}})", R"({"limits":3})", R"({"limits":{"bodyBytes":0}})"}) {
        CHECK_EQ(std::size_t(16 * 1024), l(s).headerBytes);
        CHECK_EQ(std::size_t(8u << 20), l(s).bodyBytes);
        CHECK_EQ(10 * SECOND, l(s).headerRead);
        CHECK_EQ(60 * SECOND, l(s).idle);
    }
    auto x = l(R"({"limits":{"headerBytes":4096,"bodyBytes":100,"headerReadUs":3000000,"idleUs":15000000}})");
    CHECK_EQ(std::size_t(4096), x.headerBytes);
    CHECK_EQ(std::size_t(100), x.bodyBytes);
    CHECK_EQ(3 * SECOND, x.headerRead);
    CHECK_EQ(15 * SECOND, x.idle);
}

TEST(Shell, stopSchedule) {
    auto s = StopSchedule();
    CHECK(s.step(100 * SECOND, false) == StopStep::Serve);
    s = {10 * SECOND, 8 * SECOND};
    auto at = [&](Microseconds t, bool busy) { return s.step(10 * SECOND + t, busy); };
    // Served for the first 40% of the grace, then refused, cut at 85%.
    CHECK(at(0, true) == StopStep::Serve);
    CHECK(at(3200 * MILLISECOND - 1, true) == StopStep::Serve);
    CHECK(at(3200 * MILLISECOND, true) == StopStep::Refuse);
    CHECK(at(6800 * MILLISECOND - 1, true) == StopStep::Refuse);
    CHECK(at(6800 * MILLISECOND, true) == StopStep::Cut);
    // Idle, it ends; but not before the senders' lists can have caught up.
    CHECK(at(1500 * MILLISECOND - 1, false) == StopStep::Serve);
    CHECK(at(1500 * MILLISECOND, false) == StopStep::End);
    CHECK(at(5 * SECOND, false) == StopStep::End);
    CHECK(at(7 * SECOND, false) == StopStep::End);
    // A grace shorter than that is kept to.
    s.grace = SECOND;
    CHECK(at(850 * MILLISECOND, true) == StopStep::Cut);
    CHECK(at(850 * MILLISECOND, false) == StopStep::End);
}

}  // namespace duneturn
