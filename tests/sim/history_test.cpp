#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "sim/history.hpp"
#include "test.hpp"

namespace duneturn {

static auto write(Microseconds a, Microseconds b, int st, std::int64_t base, std::int64_t version,
    std::string what, int who) -> HistOp {
    auto o = HistOp();
    o.from = a, o.to = b, o.status = st, o.base = base, o.version = version, o.what = what, o.who = who;
    return o;
}
static auto read(Microseconds a, Microseconds b, std::int64_t version, std::string what,
    std::vector<int> applied) -> HistOp {
    auto o = HistOp();
    o.read = true, o.from = a, o.to = b, o.version = version, o.what = what, o.applied = std::move(applied);
    return o;
}

TEST(History, knownOnes) {
    CHECK_EQ(std::string(), historyCheck({}, ""));
    // Two race; the reader overlaps both.
    CHECK_EQ(std::string(),
        historyCheck({write(0, 10, 200, 0, 1, "a", 0), write(1, 9, 409, 0, 0, "b", 1), read(2, 8, 0, "", {}),
                         read(3, 9, 1, "a", {0})},
            ""));
    // Going back.
    CHECK(historyCheck({write(0, 1, 200, 0, 1, "a", 0), read(2, 3, 1, "a", {0}), read(4, 5, 0, "", {})}, "")
        != "");
    // An acknowledged order is not read afterwards.
    CHECK(historyCheck({write(0, 1, 200, 0, 1, "a", 0), read(2, 3, 0, "", {})}, "") != "");
    // Two won the same race.
    CHECK(historyCheck({write(0, 5, 200, 0, 1, "a", 0), write(0, 5, 200, 0, 1, "b", 1)}, "") != "");
    // One lost that there was nobody to lose against.
    CHECK(historyCheck({write(0, 5, 409, 0, 0, "a", 0)}, "") != "");
    // One not known may come late, or never, but not twice, nor half: its success is looked up.
    auto u = write(0, -1, 0, 0, 0, "a", 0);
    CHECK_EQ(std::string(), historyCheck({u, read(10, 11, 0, "", {}), read(20, 21, 1, "a", {0})}, ""));
    CHECK_EQ(std::string(), historyCheck({u, read(10, 11, 0, "", {})}, ""));
    CHECK(historyCheck({u, read(10, 11, 1, "a", {})}, "") != "");
    CHECK(historyCheck({u, read(10, 11, 1, "a", {0}), read(20, 21, 0, "", {})}, "") != "");
}

// Histories made by a true register are always explained; with one reply changed, as good as never.
TEST(History, fuzz) {
    auto g = RandomSource{5};
    auto caught = 0, changed = 0;
    for (auto i = 0; i < 300; i++) {
        auto ops = std::vector<HistOp>();
        auto version = std::int64_t(0);
        auto what = std::string();
        auto applied = std::vector<int>();
        for (auto k = 0; k < 24; k++) {
            auto t = Microseconds(k) * 100 + 50;  // its moment; asked before, told after
            auto a = t - Microseconds(g.below(250)), b = t + Microseconds(g.below(250));
            if (g.chance(.5)) {
                ops.push_back(read(a, b, version, what, applied));
                continue;
            }
            auto o = write(a, b, 200, version - std::int64_t(g.below(2)), 0, fmt::format("v{}", k), k);
            if (o.base == version) {
                o.version = ++version;
                what = o.what;
                applied.push_back(k);
            } else o.status = 409;
            if (g.chance(.2)) o.to = -1, o.status = 0;
            ops.push_back(o);
        }
        CHECK_EQ(std::string(), historyCheck(ops, ""));
        for (auto& o : ops)
            if (o.read && g.chance(.3)) {
                o.version += g.chance(.5) ? 1 : -1;
                changed++;
                caught += historyCheck(ops, "") != "";
                break;
            }
    }
    CHECK(changed > 100);
    CHECK_EQ(changed, caught);
}

}  // namespace duneturn
