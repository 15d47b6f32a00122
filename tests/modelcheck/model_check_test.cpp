// The model checker: what it must find in deliberately broken voters, and what it must not find
// in the real ones. All searches are bounded and deterministic.
#include <string>

#include "base/log.hpp"
#include "modelcheck/search.hpp"
#include "test.hpp"

namespace duneturn::modelcheck {
namespace {

auto optionsOf(const std::string& scenario, const std::string& bounds, std::size_t depth) -> SearchOptions {
    muteLog(true);
    auto options = SearchOptions();
    options.scenario = scenario;
    options.depth = depth;
    options.maxStates = 400'000;
    CHECK(bool(budgetParse(bounds, options.model.budget)));
    return options;
}

auto isClean(const SearchOptions& options) -> SearchResult {
    auto result = search(options);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.violation, std::string(), result.violation);
    return result;
}

// The variant breaks `invariant`; the shortest trace has `length` actions behind the scenario, and
// performed again it ends in the same violation.
auto mustFind(SearchOptions options, const std::string& variant, const std::string& invariant,
    std::size_t length) -> void {
    options.model.broken = variant;
    auto result = search(options);
    CPPUNIT_ASSERT_MESSAGE(variant + ": " + result.violation, result.violation.starts_with(invariant));
    CHECK_EQ(result.trace.size() - result.scenarioLength, length);
    auto parsed = traceParse(traceText(options, result));
    CHECK(bool(parsed));
    auto again = replay(parsed->options, parsed->actions, false);
    CHECK_EQ(again.violation, result.violation);
}

// A heartbeat arrives after the order that it was sent before, and other voters campaign.
auto overtakenHeartbeat() -> SearchOptions {
    auto options = optionsOf("overtaken", "timeouts=2", 8);
    options.model.eagerDisks = true;
    options.model.reorder = true;
    return options;
}

}  // namespace

TEST(ModelCheck, electionsAndOrders) {
    isClean(optionsOf("elected", "timeouts=2,proposals=1,losses=1,restarts=1", 8));
}
TEST(ModelCheck, sameCountsEachRun) {
    auto options = optionsOf("founded", "timeouts=2,losses=1,restarts=1", 6);
    auto first = isClean(options), second = isClean(options);
    CHECK(first.states > 0);
    CHECK_EQ(first.states, second.states);
    CHECK_EQ(first.transitions, second.transitions);
}
TEST(ModelCheck, allWithinBounds) {
    auto result = isClean(optionsOf("elected", "proposals=1,losses=1", 40));
    CHECK(result.complete);
}
TEST(ModelCheck, overtakenHeartbeat) {
    auto result = isClean(overtakenHeartbeat());
    CHECK_EQ(result.depth, overtakenHeartbeat().depth);
}

TEST(ModelCheckBroken, noQuorum) {
    mustFind(optionsOf("elected", "timeouts=2", 8), "noQuorum", "one leader in a term", 4);
}
TEST(ModelCheckBroken, voteTwice) {
    mustFind(optionsOf("founded", "timeouts=2", 12), "voteTwice", "vote once", 10);
}
TEST(ModelCheckBroken, ackBeforeSync) {
    mustFind(optionsOf("elected", "proposals=1", 8), "ackBeforeSync", "acknowledged is synced", 5);
}
TEST(ModelCheckBroken, skipReadQuorum) {
    auto options = optionsOf("deposed", "proposals=1,reads=1", 8);
    options.model.eagerDisks = true;
    mustFind(options, "skipReadQuorum", "fresh reads", 4);
}
TEST(ModelCheckBroken, truncateMatching) {
    mustFind(overtakenHeartbeat(), "truncateMatching", "acknowledged is synced", 7);
}
TEST(ModelCheckBroken, changeBeforeNoop) {
    auto options = optionsOf("founded", "timeouts=1,offers=1,heartbeats=2", 14);
    options.model.eagerDisks = true;
    mustFind(options, "changeBeforeNoop", "one membership change", 13);
}

TEST(ModelCheckTrace, damagedIsRefused) {
    CHECK(!traceParse("scenario elected\nfly 0 0 0\n"));
    CHECK(!traceParse("deliver 9 0 0\n"));
    CHECK(!traceParse("deliver 1\n"));
    CHECK(!traceParse("bounds losses=many\n"));
    CHECK(!traceParse("bounds storms=1\n"));
    auto parsed = traceParse("scenario founded\nbounds losses=1\ndeliver 0 1 0\n");
    CHECK(bool(parsed));
    auto impossible = replay(parsed->options, parsed->actions, false);
    CHECK(impossible.violation.starts_with("not possible here"));
}

}  // namespace duneturn::modelcheck
