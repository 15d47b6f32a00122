// Simulated days of the fleet as deployed: fixed seeds that must pass, and deliberate faults that
// an oracle must see.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "platform_simulator.hpp"
#include "test.hpp"

namespace duneturn::sim {

namespace {

auto play(PlatformDayOptions options) -> PlatformDayResult { return runPlatformDay(options); }

auto firstViolation(const PlatformDayResult& day) -> std::string {
    return day.violations.empty() ? std::string() : day.violations.front();
}

struct Variant {
    std::string name;
    std::vector<std::string> faults;  // that bring it about
    double perMinute;
    int seeds;  // within which it must be seen
    std::string rule;
    bool large = false;
};

auto seen(const Variant& variant) -> bool {
    for (auto seed = 1; seed <= variant.seeds; seed++) {
        auto options = PlatformDayOptions();
        options.seed = std::uint64_t(seed);
        options.duration = 30 * SECOND;
        options.faults = variant.faults;
        options.perMinute = variant.perMinute;
        options.broken = variant.name;
        options.large = variant.large;
        for (auto& violation : play(options).violations)
            if (violation.starts_with(variant.rule)) return true;
    }
    return false;
}

}  // namespace

TEST(PlatformDays, theSameSeedGivesTheSameDay) {
    auto options = PlatformDayOptions();
    options.duration = 20 * SECOND;
    options.seed = 3;
    CHECK_EQ(play(options).digest, play(options).digest);
}

TEST(PlatformDays, smallFleet) {
    for (auto seed = std::uint64_t(1); seed <= 6; seed++) {
        auto options = PlatformDayOptions();
        options.seed = seed;
        CHECK_EQ(std::string(), firstViolation(play(options)));
    }
}

// A quiet day of 72 nodes on which no request on the probe's route was drawn for node-0-12 within the last
// span.
TEST(PlatformDays, everyNodeOfALargeFleetIsAskedAtTheEnd) {
    auto options = PlatformDayOptions();
    options.large = true;
    options.seed = 3;
    options.perMinute = 0;
    options.duration = 2 * SECOND;
    options.closing = false;
    CHECK_EQ(std::string(), firstViolation(play(options)));
}

// A voter that led with an uncommitted entry is behind a new leader under steady orders; afterwards the
// majority depends on it.
TEST(PlatformDays, memberWithAnOldEntryCatchesUp) {
    auto options = PlatformDayOptions();
    options.seed = 3127;
    options.perMinute = 20;
    options.duration = 60 * SECOND;
    CHECK_EQ(std::string(), firstViolation(play(options)));
}

TEST(PlatformDays, quietDayKeepsEveryBound) {
    auto options = PlatformDayOptions();
    options.perMinute = 0;
    auto day = play(options);
    CHECK_EQ(std::string(), firstViolation(day));
    CHECK(day.versions > 20);
    CHECK(day.slowestAck < SECOND);
    CHECK_EQ(std::int64_t(0), day.unknown);
}

TEST(PlatformDays, wrongUse) {
    auto options = PlatformDayOptions();
    options.faults = {"colour"};
    CHECK_EQ(2, simulatePlatform(options, 1));
    options.faults = {};
    options.broken = "colour";
    CHECK_EQ(2, simulatePlatform(options, 1));
}

// Days in which an attempt of an evacuation was held up until after later orders of its zone.
TEST(PlatformFencing, heldUpAttempts) {
    for (auto seed : {17, 20}) {
        auto options = PlatformDayOptions();
        options.seed = std::uint64_t(seed);
        CHECK_EQ(std::string(), firstViolation(play(options)));
    }
}

// Each oracle sees the deliberate fault that is its own.
TEST(BrokenPlatform, isSeen) {
    auto variants = std::vector<Variant>{
        {"accept-both", {"kill-core"}, 6, 3, "one of two orders on the same version wins"},
        {"accept-invalid", {"kill-core"}, 6, 3, "an invalid order is never accepted"},
        {"old-word", {"node-cut", "core-isolated", "freeze-node"}, 40, 4,
            "a node never goes back within a life"},
        {"wrong-base", {"reset-connections", "node-cut"}, 40, 4,
            "nodes of the same version hold the same state"},
        {"ignore-change", {"kill-core"}, 6, 1, "an acknowledged configuration is obeyed in time"},
        {"refuse-again", {"answers-lost"}, 20, 3, "an accepted order sent again is never refused"},
        {"local-read", {"core-isolated", "node-cut"}, 20, 4, "a read is never older than what was known"},
        {"no-quorum", {"core-cut", "core-isolated"}, 20, 4, "one of two orders on the same version wins"},
        {"slow-answers", {"kill-core"}, 6, 1, "a proper order is acknowledged in time"},
        {"other-answer", {"kill-core"}, 6, 1, "no answer reaches another caller"},
        {"unfenced-evacuation", {"kill-core"}, 6, 4, "a withdrawn evacuation stays withdrawn"},
        {"ignore-evacuation", {"kill-core"}, 6, 2, "nothing reaches an evacuated zone"},
        {"serves-nobody", {"kill-core"}, 6, 1, "every node serves at the day's end"},
        {"serves-nobody", {"kill-core"}, 6, 1, "every node serves at the day's end", true},
        {"refuse-applied", {"kill-core"}, 6, 3,
            "a refused or invalid order never comes into force: a client's request"},
        {"refuse-applied", {"kill-core"}, 6, 3,
            "a refused or invalid order never comes into force: a client's request", true},
        {"ignore-change", {"kill-core"}, 6, 1, "an acknowledged configuration is obeyed in time", true},
        {"old-word", {"core-isolated", "freeze-node", "core-one-way"}, 40, 1,
            "a node never goes back within a life", true},
    };
    for (auto& variant : variants)
        CPPUNIT_ASSERT_MESSAGE(variant.name + " was not seen by: " + variant.rule, seen(variant));
}

}  // namespace duneturn::sim
