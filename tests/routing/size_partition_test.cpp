// How a service's engines are divided between long and short prompts.
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "routing/size_partition.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr auto OBSERVED_SAMPLE = 1e6;  // beside which what is expected without observation weighs nothing

struct Requests {
    std::int64_t tokens;
    double perSecond;
    std::string clients = "a";  // their region
    std::string bound = "";     // the only region that may serve them
    double readingSeconds = 0;  // as learnt; 0: as configured
};

auto demandOf(const std::vector<Requests>& all) -> FleetDemand {
    auto demand = FleetDemand();
    for (auto& requests : all) {
        auto published = wire::ServiceDemand();
        published.serviceName = "p";
        published.region = requests.bound;
        published.promptClasses = {std::int32_t(PromptDemand::classOf(requests.tokens))};
        published.milliRequests = {std::int32_t(requests.perSecond * 1000)};
        published.milliRunning = {0};
        published.readingTimes = {std::int32_t(requests.readingSeconds * double(SECOND))};
        demand.add(requests.clients, published);
    }
    return demand;
}

auto plan(const std::vector<Requests>& all, const std::map<std::string, int>& servers,
    const SizePartition& previous = {}) -> SizePartition {
    auto demand = demandOf(all);
    return planPartition({demand, servers, 64, OBSERVED_SAMPLE}, previous);
}

// Mean waits in sum, by Pollaczek and Khinchine, of arrivals of one length on so many servers.
auto waited(double perSecond, double seconds, double servers) -> double {
    auto spare = servers - perSecond * seconds;
    return spare <= 0 ? 1e9 : perSecond * perSecond * seconds * seconds / 2 / spare;
}

}  // namespace

// Against every other number of servers, by a formula that stands here once more.
TEST(SizePartition, bestOfAllNumbers) {
    auto random = RandomSource{4};
    for (auto round = 0; round < 200; round++) {
        auto shorts =
            Requests{300, 20.0 + double(random.below(200)), "a", "", .004 + .002 * double(random.below(5))};
        auto longs =
            Requests{9000, 1.0 + double(random.below(30)), "a", "", .1 + .05 * double(random.below(5))};
        auto work = shorts.perSecond * shorts.readingSeconds + longs.perSecond * longs.readingSeconds;
        auto servers = int(work * (1.3 + .1 * double(random.below(10)))) + 4;
        auto partition = plan({shorts, longs}, {{"a", servers}});
        CHECK(partition.isDivided());
        CHECK(!partition.isLong(300));
        CHECK(partition.isLong(9000));
        auto cost = [&](int reading) {
            return waited(shorts.perSecond, shorts.readingSeconds, servers - reading)
                + waited(longs.perSecond, longs.readingSeconds, reading);
        };
        auto best = 1e18;
        for (auto reading = 1; reading < servers; reading++) best = std::min(best, cost(reading));
        CHECK(cost(partition.readingServers["a"]) <= 1.1 * best);
    }
}

// Few long prompts: they are read where nothing is bound, and leave the bound requests' region alone.
TEST(SizePartition, boundRequestsKeepTheirRegion) {
    auto all = std::vector<Requests>{{300, 112, "a", "a", .006}, {300, 112, "b", "a", .006},
        {17000, 2, "a", "", .1}, {17000, 2, "b", "", .1}};
    auto partition = plan(all, {{"a", 6}, {"b", 5}});
    CHECK(partition.isDivided());
    CHECK_EQ(5, partition.readingServers["b"]);
    CHECK(partition.readingServers["a"] <= 2);
}

// Many long prompts: the other region alone could not read them in time. All of them went there once.
TEST(SizePartition, longPromptsAreReadInBothRegions) {
    auto all =
        std::vector<Requests>{{700, 86, "a", "a", .02}, {700, 86, "b", "a", .02}, {2400, 97, "a", "", .07},
            {2400, 97, "b", "", .07}, {9000, 66, "a", "", .28}, {9000, 66, "b", "", .28}};
    auto partition = plan(all, {{"a", 81}, {"b", 57}});
    CHECK(partition.isLong(9000));
    CHECK(!partition.isLong(700));
    CHECK(partition.readingServers["a"] > 30);
    CHECK(partition.readingServers["b"] > 30);
    CHECK(81 - partition.readingServers["a"] > 172 * .02 + 97 * .07);
    CHECK(57 - partition.readingServers["b"] > 97 * .07);
}

TEST(SizePartition, regionTenTimesSmaller) {
    auto all = std::vector<Requests>{
        {300, 200, "a", "", .01}, {300, 20, "b", "", .01}, {9000, 20, "a", "", .2}, {9000, 2, "b", "", .2}};
    auto partition = plan(all, {{"a", 40}, {"b", 4}});
    CHECK(partition.isDivided());
    CHECK(partition.readingServers["b"] < 4);
    CHECK(40 - partition.readingServers["a"] >= 3);
}

// Long prompts that only one region may read have a server there.
TEST(SizePartition, boundLongPromptsHaveServers) {
    auto all =
        std::vector<Requests>{{300, 400, "a", "a", .01}, {9000, 2, "a", "a", .3}, {9000, 9, "b", "", .3}};
    auto partition = plan(all, {{"a", 8}, {"b", 8}});
    CHECK(partition.isDivided());
    CHECK(partition.readingServers["a"] >= 1);
    CHECK(partition.readingServers["a"] < 8);
}

TEST(SizePartition, noneWithoutLongPromptsOrServers) {
    CHECK(!plan({{300, 400, "a", "", .01}}, {{"a", 8}}).isDivided());
    CHECK(!plan({{300, 400, "a", "", .01}, {9000, 5, "a", "", .2}}, {{"a", 1}}).isDivided());
    CHECK(!plan({{300, 400, "a", "", .01}, {9000, 5, "a", "", .2}}, {}).isDivided());
    CHECK(!plan({}, {{"a", 8}}).isDivided());
}

// More work than all engines bear leaves neither group without servers.
TEST(SizePartition, overload) {
    for (auto factor : {1., 3., 100.}) {
        auto partition =
            plan({{300, 1000 * factor, "a", "", .01}, {9000, 100 * factor, "a", "", .2}}, {{"a", 20}});
        if (!partition.isDivided()) continue;
        CHECK(partition.readingServers["a"] >= 1);
        CHECK(partition.readingServers["a"] < 20);
    }
}

// Demand that is counted a little differently from one moment to the next moves no server; twice as much
// does.
TEST(SizePartition, steady) {
    auto random = RandomSource{6};
    auto noisy = [&](double value) { return value * (.92 + .01 * double(random.below(17))); };
    auto at = [&](double longs) {
        return std::vector<Requests>{{300, noisy(220), "a", "a", .01}, {2400, noisy(90), "a", "", .05},
            {2400, noisy(90), "b", "", .05}, {9000, noisy(longs), "a", "", .2},
            {9000, noisy(longs), "b", "", .2}};
    };
    auto servers = std::map<std::string, int>{{"a", 60}, {"b", 50}};
    auto partition = plan(at(30), servers);
    auto changes = 0;
    for (auto i = 0; i < 500; i++) {
        auto next = plan(at(30), servers, partition);
        changes += next.longPromptTokens != partition.longPromptTokens
            || next.readingServers != partition.readingServers;
        partition = next;
    }
    CHECK(changes <= 2);
    auto before = partition.readingServers["a"] + partition.readingServers["b"];
    for (auto i = 0; i < 5; i++) partition = plan(at(90), servers, partition);
    CHECK(partition.readingServers["a"] + partition.readingServers["b"] > before + 10);
}

// Where servers are lost, a division that is kept fits those that are left.
TEST(SizePartition, lostServers) {
    auto all = std::vector<Requests>{{300, 100, "a", "", .01}, {9000, 10, "a", "", .2}};
    auto partition = plan(all, {{"a", 20}});
    for (auto left : {12, 7, 3, 2}) {
        partition = plan(all, {{"a", left}}, partition);
        if (partition.isDivided()) CHECK(partition.readingServers["a"] < left);
    }
}

// What nodes publish is summed; numbers that cannot be are bounded, and no list need be as long as another.
TEST(SizePartition, falseDemand) {
    auto demand = FleetDemand();
    auto published = wire::ServiceDemand();
    published.promptClasses = {-1, 5, 1000, 7, 8};
    published.milliRequests = {1000, -50, 1000, 2147483647, 3000};
    published.milliRunning = {0, -5, 0, 2147483647, 0};
    published.readingTimes = {0, -1, 0, 2147483647};
    demand.add("a", published);
    CHECK_EQ(0., demand.free("a", 5).requests);
    CHECK(demand.free("a", 7).requests <= 1e5);
    CHECK(demand.readingTime(7) <= 60e6);
    CHECK_EQ(0., demand.free("a", 8).requests);
    CHECK_EQ(0., demand.bound("a", 7).requests);
}

// One node's wrong reading time does not move the median of many.
TEST(SizePartition, medianOfReadingTimes) {
    auto demand = FleetDemand();
    for (auto i = 0; i < 9; i++) {
        auto published = wire::ServiceDemand();
        published.promptClasses = {20}, published.milliRequests = {1000}, published.milliRunning = {0};
        published.readingTimes = {i < 3 ? 50'000'000 : i < 4 ? 0 : 100'000};
        demand.add("a", published);
    }
    CHECK_EQ(100000., demand.readingTime(20));
    CHECK_EQ(configuredReadingTime(21), demand.readingTime(21));
}

TEST(SizePartition, classesOfPromptLength) {
    for (auto i = std::size_t(1); i + 1 < PromptDemand::CLASSES; i++) {
        if (PromptDemand::leastTokens(i) == PromptDemand::leastTokens(i + 1)) continue;
        CHECK_EQ(i, PromptDemand::classOf(PromptDemand::leastTokens(i + 1) - 1));
    }
    CHECK_EQ(std::size_t(0), PromptDemand::classOf(0));
    CHECK_EQ(PromptDemand::CLASSES - 1, PromptDemand::classOf(std::int64_t(1) << 60));
}

// Rates follow within some ten seconds, and are forgotten.
TEST(SizePartition, demandFollows) {
    auto demand = PromptDemand();
    auto now = 5 * SECOND;
    auto atRate = [&](Microseconds interval, Microseconds span) {
        for (auto until = now + span; now < until; now += interval) demand.recordRequest("r", 1000, now);
    };
    auto rate = [&] { return demand.load("r", PromptDemand::classOf(1000), now).requests; };
    atRate(100 * MILLISECOND, 2 * SECOND);
    CHECK(std::abs(rate() - 10) < 1);
    atRate(10 * MILLISECOND, 30 * SECOND);
    CHECK(std::abs(rate() - 100) < 10);
    now += 60 * SECOND;
    CHECK(rate() < 1);
    CHECK_EQ(0., demand.load("other", 3, now).requests);
}

// A quarter of the answers may be as slow as they like.
TEST(SizePartition, serviceCurveIsRobust) {
    auto curve = ServiceCurve();
    auto random = RandomSource{3};
    CHECK_EQ(0., curve.learntReadingTime(PromptDemand::classOf(9000)));
    for (auto i = 0; i < 64; i++) {
        curve.recordFirstByte(200, 20 * MILLISECOND);
        auto isDelayed = i % 3 == 0;
        curve.recordFirstByte(9000,
            20 * MILLISECOND + 150 * MILLISECOND
                + (isDelayed ? 9 * SECOND : Microseconds(random.below(5000))));
    }
    CHECK(std::abs(curve.learntReadingTime(PromptDemand::classOf(9000)) - 150000) < 10000);
    CHECK(curve.learntReadingTime(PromptDemand::classOf(200)) < 2000);
    for (auto i = 0; i < 64; i++) curve.recordFirstByte(9000, 100 * SECOND);
    CHECK(curve.learntReadingTime(PromptDemand::classOf(9000)) < 1e6);
}

}  // namespace duneturn
