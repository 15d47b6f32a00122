#include <cstdint>
#include <string>
#include <utility>

#include "sim/scale.hpp"
#include "test.hpp"

namespace duneturn {

static auto flags(std::string nodes, std::string servers) -> ScaleFlags {
    auto f = ScaleFlags();
    f.nodes = std::move(nodes);
    f.servers = std::move(servers);
    f.membership = "roster";
    return f;
}
static auto why(const ScaleFlags& f) -> std::string {
    auto o = scaleParse(f);
    return o ? "" : o.error().why;
}

static auto gossip() -> ScaleOptions {
    auto o = ScaleOptions();
    o.gossip = true;
    return o;
}

TEST(Scale, sameSeedSameCounts) {
    auto o = gossip();
    auto a = scalePoint(o, {12, 8}), b = scalePoint(o, {12, 8});
    CHECK(a.counts == b.counts);
    CHECK(a.counts.at("readyUs") >= 0);
    // Everything that was waited for came.
    for (auto k : {"change.convergenceUs", "failureDetection.allUs", "restart.readyUs",
             "leaderLoss.allKnowLeaderUs", "zoneLoss.allKnowLeaderUs", "regionPartition.recoveredUs"})
        CPPUNIT_ASSERT_MESSAGE(k, a.counts.at(k) >= 0);
    CHECK_EQ(std::int64_t(0), a.counts.at("refusedMessages"));
    o.seed = 2;
    CHECK(scalePoint(o, {12, 8}).counts != a.counts);
}

// A node's bytes grow no faster than the nodes where membership is learnt, and no faster than their
// square with a roster, whose rows carry echoes.
TEST(Scale, bytesGrowWithTheNodes) {
    for (auto [o, factor] : {std::pair(gossip(), 2), {ScaleOptions(), 4}}) {
        o.faults = false;
        auto a = scalePoint(o, {12, 8}), b = scalePoint(o, {24, 8});
        CHECK(a.counts.at("all.bytesMean") > 0);
        CHECK(b.counts.at("all.bytesMean") < factor * a.counts.at("all.bytesMean"));
    }
}

TEST(Scale, wrongUse) {
    CHECK_EQ(std::string(""), why(flags("12,24", "27")));
    CHECK_EQ(std::string(""), why(flags("12,24", "27,54")));
    for (auto n : {"5", "0", "-12", "many", "12,,24", "4097", "99999999999", "12.5", ","})
        CHECK(why(flags(n, "27")).starts_with("--nodes: "));
    for (auto n : {"0", "x", "4097", "1,2,3"}) CHECK(why(flags("12,24", n)).starts_with("--servers: "));
    auto f = flags("12", "27");
    f.membership = "rooster";
    CHECK(why(f).starts_with("--membership: "));
    f = flags("12", "27");
    f.svg = "/nowhere/at/all.svg";
    CHECK(why(f).starts_with("--svg: "));
    f = flags("12", "27");
    f.earlier = "/nowhere";
    CHECK(why(f).starts_with("--earlier: "));
    // What would take over half of the memory is refused before it begins.
    f = flags("390", "870");
    f.memory = std::int64_t(4) << 30;
    CHECK(why(f).find("over half of this machine's 4096 MB") != std::string::npos);
    f.memory = std::int64_t(64) << 30;
    CHECK_EQ(std::string(""), why(f));
    CHECK_EQ(2, scaleMain(flags("many", "27")));
}

}  // namespace duneturn
