#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "sim/simulate.hpp"
#include "test.hpp"

namespace duneturn {

static auto sim(std::uint64_t seed, std::vector<std::string> faults, double perMinute,
    std::string broken = "", double scale = 0.5) -> SimResult {
    auto o = SimOptions();
    o.example = DT_EXAMPLES "/radar";
    o.seed = seed;
    o.duration = 90 * SECOND;
    o.scale = scale;
    o.faults = std::move(faults);
    o.perMinute = perMinute;
    o.broken = std::move(broken);
    auto r = simRun(o);
    CHECK(bool(r));
    return std::move(*r);
}

TEST(Simulate, sameSeedSameTrace) {
    auto a = sim(5, simFaults(), 30), b = sim(5, simFaults(), 30), c = sim(6, simFaults(), 30);
    CHECK_EQ(a.digest, b.digest);
    CHECK(a.counters == b.counters);
    CHECK(a.digest != c.digest);
}

// Each deliberate fault breaks the rule that it should, in at least one of a few seeds.
namespace {
struct Variant {
    std::string name;
    std::vector<std::string> faults;
    double perMinute;
    int seeds;
    std::string rule;
    double scale = 0.5;
};
}  // namespace
static auto mustSee(const std::vector<Variant>& vs) -> void {
    for (auto& v : vs) {
        auto seen = 0;
        for (auto s = 1; s <= v.seeds && !seen; s++)
            for (auto& b : sim(std::uint64_t(s), v.faults, v.perMinute, v.name, v.scale).broken)
                seen += b.starts_with(v.rule);
        CPPUNIT_ASSERT_MESSAGE(v.name + " was not seen by: " + v.rule, seen > 0);
    }
}

TEST(BrokenEdge, isSeen) {
    mustSee({{"resend-any", {"server-crash", "server-cut"}, 30, 4,
                 "a stream that cannot be resumed never runs twice"},
        {"resume-any", {"crash", "crash-many"}, 30, 4, "a stream that cannot be resumed never runs twice"},
        {"old-rules", {"rules", "server-slow", "server-crash", "server-crash", "server-crash"}, 60, 4,
            "a stream"},
        {"join-any", {"server-skip"}, 30, 4, "nothing is dropped, repeated or joined wrongly"},
        {"any-weights", {"server-roll", "server-cut"}, 60, 4, "a reply is the server's"},
        {"ignore-home", {"crowd"}, 12, 2, "a home region is never left"},
        {"cut-looks-whole", {"server-cut", "server-crash"}, 30, 8, "a cut reply never looks whole"}});
}
TEST(BrokenLimits, isSeen) {
    mustSee({{"no-budget", {"server-cut", "server-crash", "server-deny"}, 300, 16,
                 "extra tries stay near a fifth"},
        {"no-ramp", {"server-cold", "crowd"}, 40, 8, "a cold server is eased in", 1},
        {"ignore-leaving", {"leave"}, 20, 4, "nothing new reaches a leaving server"},
        {"late-up", {"late-listing", "leave", "leave"}, 60, 8, "nothing new reaches a leaving server"},
        {"queue-leak", {"crowd", "server-crash"}, 40, 8, "nothing is leaked", 1},
        {"bad-step", {}, 0, 1, "the tables of states hold"}});
}
TEST(BrokenCore, isSeen) {
    mustSee({{"no-lease", {"cut-node", "config", "empty"}, 60, 8,
                 "an acknowledged configuration is obeyed within 3 s"},
        {"no-lease", {"cut-node", "cut-district", "empty"}, 60, 8, "nothing new reaches an emptied zone"},
        {"ack-early", {"wipe-after-ack"}, 1, 8, "orders are linearizable"},
        {"old-word", {"config", "crash", "cut-node"}, 60, 16, "no node slips back", 0.2},
        {"no-quorum", {"core-split", "config", "race"}, 60, 4, "one leader a term"},
        {"no-serve", {"total-loss"}, 1, 4, "serving is back within 12 s of a total loss"},
        {"no-serve", {"crash-many"}, 30, 4, "each kind is served once nothing is wrong"},
        {"old-boot", {"clock", "crash"}, 60, 8, "all nodes are ready once nothing is wrong"}});
}

TEST(Simulate, wrongUse) {
    auto o = SimOptions();
    o.example = DT_EXAMPLES "/radar";
    o.faults = {"colour"};
    CHECK_EQ(std::string("unknown fault: colour"), simRun(o).error().why);
    o.faults = {};
    o.broken = "colour";
    CHECK(!simRun(o));
    o.broken = "";
    o.example = "/nowhere";
    CHECK(!simRun(o));
}

}  // namespace duneturn
