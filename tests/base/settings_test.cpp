#include <string>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "test.hpp"

namespace duneturn {

TEST(Settings, everyFaultIsNamed) {
    auto s = readSettings("",
        {{"node", "a b"}, {"peer", "host:1"}, {"sender", "127.0.0.1:99999"}, {"seeds", "127.0.0.1:1,x"},
            {"colour", "red"}});
    CHECK(!s);
    auto all = std::string();
    for (auto& f : s.error().faults) all += f.path + "\n";
    for (auto p : {"/node", "/peer", "/sender", "/seeds/1", "/colour", "/operator", "/district", "/region"})
        CHECK(all.find(p) != std::string::npos);
    auto ok = readSettings("",
        {{"node", "a"}, {"peer", "127.0.0.1:1"}, {"sender", "[::1]:2"}, {"operator", "127.0.0.1:3"},
            {"seeds", "127.0.0.1:1"}, {"district", "d"}, {"region", "r"}});
    CHECK(bool(ok));
    CHECK_EQ(std::string("a"), ok->node);
}

TEST(Settings, times) {
    CHECK_EQ(std::string("2026-01-31T06:00:00Z"), formatWallTime(parseWallTime("2026-01-31T06:00:00Z")));
    CHECK(parseWallTime("2026-01-31") < 0);
    CHECK(parseWallTime("2026-01-31T06:00:00Zx") < 0);
}

}  // namespace duneturn
