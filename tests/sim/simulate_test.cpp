#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "sim/simulate.hpp"
#include "test.hpp"

namespace duneturn {

static auto simulate(std::uint64_t seed, std::vector<std::string> faults, double perMinute,
    std::string broken = "", double scale = 0.5) -> SimResult {
    auto options = SimOptions();
    options.example = DT_EXAMPLES "/radar";
    options.seed = seed;
    options.duration = 90 * SECOND;
    options.scale = scale;
    options.faults = std::move(faults);
    options.perMinute = perMinute;
    options.broken = std::move(broken);
    auto result = simRun(options);
    CHECK(bool(result));
    return std::move(*result);
}

TEST(Simulate, sameSeedGivesTheSameTrace) {
    auto first = simulate(5, simFaults(), 30);
    auto again = simulate(5, simFaults(), 30);
    auto other = simulate(6, simFaults(), 30);
    CHECK_EQ(first.digest, again.digest);
    CHECK(first.counters == again.counters);
    CHECK(first.digest != other.digest);
}

// Each deliberate fault in the logic must violate its rule in at least one of a few seeds.
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

static auto violations(const Variant& variant, std::uint64_t seed) -> int {
    auto count = 0;
    auto result = simulate(seed, variant.faults, variant.perMinute, variant.name, variant.scale);
    for (auto& violation : result.violations) count += violation.starts_with(variant.rule);
    return count;
}

static auto checkAllAreFound(const std::vector<Variant>& variants) -> void {
    for (auto& variant : variants) {
        auto found = 0;
        for (auto seed = 1; seed <= variant.seeds && !found; seed++)
            found += violations(variant, std::uint64_t(seed));
        CPPUNIT_ASSERT_MESSAGE(variant.name + " was not found by: " + variant.rule, found > 0);
    }
}

TEST(BrokenEdge, violatesItsRule) {
    checkAllAreFound({{"resend-any", {"server-crash", "server-cut"}, 30, 4,
                          "a stream that cannot be resumed never runs twice"},
        {"resume-any", {"crash", "crash-many"}, 30, 4, "a stream that cannot be resumed never runs twice"},
        {"old-rules", {"rules", "server-slow", "server-crash", "server-crash", "server-crash"}, 60, 4,
            "a stream"},
        {"join-any", {"server-skip"}, 30, 4, "nothing is dropped, repeated or joined wrongly"},
        {"any-weights", {"server-roll", "server-cut"}, 60, 4, "a reply is the server's"},
        {"ignore-home", {"crowd"}, 12, 2, "a home region is never left"},
        {"cut-looks-whole", {"server-cut", "server-crash"}, 30, 8, "a cut reply never looks whole"}});
}

TEST(BrokenLimits, violatesItsRule) {
    checkAllAreFound({{"no-budget", {"server-cut", "server-crash", "server-deny"}, 300, 16,
                          "extra tries stay near a fifth"},
        {"no-ramp", {"server-cold", "crowd"}, 40, 8, "a cold server is eased in", 1},
        {"ignore-leaving", {"leave"}, 20, 4, "nothing new reaches a leaving server"},
        {"late-up", {"late-listing", "leave", "leave"}, 60, 8, "nothing new reaches a leaving server"},
        {"queue-leak", {"crowd", "server-crash"}, 40, 8, "nothing is leaked", 1},
        {"bad-step", {}, 0, 1, "the tables of states hold"}});
}

TEST(BrokenCore, violatesItsRule) {
    checkAllAreFound({{"no-lease", {"cut-node", "config", "empty"}, 60, 8,
                          "an acknowledged configuration is obeyed within 3 s"},
        {"no-lease", {"cut-node", "cut-district", "empty"}, 60, 8, "nothing new reaches an emptied zone"},
        {"ack-early", {"wipe-after-ack"}, 1, 8, "orders are linearizable"},
        {"old-word", {"config", "crash", "cut-node"}, 60, 16, "no node slips back", 0.2},
        {"no-quorum", {"core-split", "config", "race"}, 60, 4, "one leader a term"},
        {"no-serve", {"total-loss"}, 1, 4, "serving is back within 12 s of a total loss"},
        {"no-serve", {"crash-many"}, 30, 4, "each kind is served once nothing is wrong"},
        {"old-boot", {"clock", "crash"}, 60, 8, "all nodes are ready once nothing is wrong"}});
}

TEST(Simulate, rejectsWrongUse) {
    auto options = SimOptions();
    options.example = DT_EXAMPLES "/radar";
    options.faults = {"colour"};
    CHECK_EQ(std::string("unknown fault: colour"), simRun(options).error().message);
    options.faults = {};
    options.broken = "colour";
    CHECK(!simRun(options));
    options.broken = "";
    options.example = "/nowhere";
    CHECK(!simRun(options));
}

}  // namespace duneturn
