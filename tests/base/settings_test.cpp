// The settings of a process, and times of the calendar.
#include <string>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "test.hpp"

namespace duneturn {

TEST(Settings, everyFaultIsNamed) {
    auto faulty = readSettings("",
        {{"node", "a b"}, {"peer", "host:1"}, {"sender", "127.0.0.1:99999"}, {"seeds", "127.0.0.1:1,x"},
            {"colour", "red"}});
    CHECK(!faulty);
    auto paths = std::string();
    for (auto& fault : faulty.error().faults) paths += fault.path + "\n";
    for (auto path :
        {"/node", "/peer", "/sender", "/seeds/1", "/colour", "/operator", "/district", "/region"})
        CHECK(paths.find(path) != std::string::npos);
    auto sound = readSettings("",
        {{"node", "a"}, {"peer", "127.0.0.1:1"}, {"sender", "[::1]:2"}, {"operator", "127.0.0.1:3"},
            {"seeds", "127.0.0.1:1"}, {"district", "d"}, {"region", "r"}});
    CHECK(bool(sound));
    CHECK_EQ(std::string("a"), sound->node);
}

TEST(Settings, times) {
    CHECK_EQ(std::string("2026-01-31T06:00:00Z"), formatWallTime(parseWallTime("2026-01-31T06:00:00Z")));
    CHECK(parseWallTime("2026-01-31") < 0);
    CHECK(parseWallTime("2026-01-31T06:00:00Zx") < 0);
}

}  // namespace duneturn
