// The limits of clients' connections, as a configuration states them.
#include "base/json.hpp"
#include "base/time.hpp"
#include "net/connection_limits.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

auto limitsIn(const char* text) -> ConnectionLimits {
    auto document = rapidjson::Document();
    CHECK(parseJson(text, document));
    return readConnectionLimits(document);
}

}  // namespace

TEST(ConnectionLimits, fromConfiguration) {
    for (auto text : {"{}", "null", R"({"limits":{}})", R"({"limits":3})", R"({"limits":{"bodyBytes":0}})"}) {
        auto limits = limitsIn(text);
        CHECK_EQ(std::size_t(16 * 1024), limits.headerBytes);
        CHECK_EQ(std::size_t(8) << 20, limits.bodyBytes);
        CHECK_EQ(10 * SECOND, limits.headerRead);
        CHECK_EQ(60 * SECOND, limits.idle);
    }
    auto limits = limitsIn(
        R"({"limits":{"headerBytes":4096,"bodyBytes":100,"headerReadUs":3000000,"idleUs":15000000}})");
    CHECK_EQ(std::size_t(4096), limits.headerBytes);
    CHECK_EQ(std::size_t(100), limits.bodyBytes);
    CHECK_EQ(3 * SECOND, limits.headerRead);
    CHECK_EQ(15 * SECOND, limits.idle);
}

}  // namespace duneturn
