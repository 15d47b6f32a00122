// The rules of HTTP that Beast leaves to its user.
#include <cstdint>

#include "base/time.hpp"
#include "net/http.hpp"
#include "test.hpp"

namespace duneturn {

TEST(Http, keepAlive) {
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

TEST(Http, hopByHopHeaders) {
    for (auto name : {"connection", "Keep-Alive", "transfer-encoding", "Content-Length", "TE", "Upgrade"})
        CHECK(isHopByHopHeader(name, ""));
    CHECK(!isHopByHopHeader("X-One", ""));
    CHECK(isHopByHopHeader("X-One", "close, x-one"));
    CHECK(!isHopByHopHeader("X-One", "x-oneness"));
    CHECK(!isHopByHopHeader("Host", "close"));
}

}  // namespace duneturn
