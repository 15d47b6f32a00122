#include <cstdint>
#include <string>
#include <utility>

#include "sim/scale.hpp"
#include "test.hpp"

namespace duneturn {

static auto flags(std::string nodes, std::string servers) -> ScaleFlags {
    auto given = ScaleFlags();
    given.nodes = std::move(nodes);
    given.servers = std::move(servers);
    given.membership = "roster";
    return given;
}

static auto parseError(const ScaleFlags& given) -> std::string {
    auto options = scaleParse(given);
    return options ? "" : options.error().why;
}

static auto gossipOptions() -> ScaleOptions {
    auto options = ScaleOptions();
    options.gossip = true;
    return options;
}

TEST(Scale, sameSeedGivesTheSameCounts) {
    auto options = gossipOptions();
    auto first = scalePoint(options, {12, 8}), again = scalePoint(options, {12, 8});
    CHECK(first.counts == again.counts);
    CHECK(first.counts.at("readyUs") >= 0);
    // Everything that the run waits for happens.
    for (auto name : {"change.convergenceUs", "failureDetection.allUs", "restart.readyUs",
             "leaderLoss.allKnowLeaderUs", "zoneLoss.allKnowLeaderUs", "regionPartition.recoveredUs"})
        CPPUNIT_ASSERT_MESSAGE(name, first.counts.at(name) >= 0);
    CHECK_EQ(std::int64_t(0), first.counts.at("refusedMessages"));
    options.seed = 2;
    CHECK(scalePoint(options, {12, 8}).counts != first.counts);
}

// With gossip the bytes of a node grow at most as fast as the number of nodes; with a roster, whose heartbeat
// records carry acknowledgements, at most as fast as its square.
TEST(Scale, bytesGrowWithTheNodes) {
    for (auto [options, factor] : {std::pair(gossipOptions(), 2), {ScaleOptions(), 4}}) {
        options.faults = false;
        auto small = scalePoint(options, {12, 8}), large = scalePoint(options, {24, 8});
        CHECK(small.counts.at("all.bytesMean") > 0);
        CHECK(large.counts.at("all.bytesMean") < factor * small.counts.at("all.bytesMean"));
    }
}

TEST(Scale, rejectsWrongUse) {
    CHECK_EQ(std::string(""), parseError(flags("12,24", "27")));
    CHECK_EQ(std::string(""), parseError(flags("12,24", "27,54")));
    for (auto nodes : {"5", "0", "-12", "many", "12,,24", "4097", "99999999999", "12.5", ","})
        CHECK(parseError(flags(nodes, "27")).starts_with("--nodes: "));
    for (auto servers : {"0", "x", "4097", "1,2,3"})
        CHECK(parseError(flags("12,24", servers)).starts_with("--servers: "));
    auto given = flags("12", "27");
    given.membership = "rooster";
    CHECK(parseError(given).starts_with("--membership: "));
    given = flags("12", "27");
    given.svg = "/nowhere/at/all.svg";
    CHECK(parseError(given).starts_with("--svg: "));
    given = flags("12", "27");
    given.earlier = "/nowhere";
    CHECK(parseError(given).starts_with("--earlier: "));
    // A run that may take over half of the memory is rejected before it starts.
    given = flags("390", "870");
    given.memory = std::int64_t(4) << 30;
    CHECK(parseError(given).find("over half of this machine's 4096 MB") != std::string::npos);
    given.memory = std::int64_t(64) << 30;
    CHECK_EQ(std::string(""), parseError(given));
    CHECK_EQ(2, scaleMain(flags("many", "27")));
}

}  // namespace duneturn
