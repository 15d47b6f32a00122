// Orders and readbacks of operators through cuts, freezes, restarts and lost answers, judged by oracles
// that know only what operators sent and were told.
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "platform/platform_orders_model.hpp"
#include "state/accepted_changes.hpp"

namespace duneturn {

namespace {

auto judged(std::uint64_t seed, ControlFaults faults, Microseconds time) -> std::vector<std::string> {
    auto site = ControlFleet(seed, faults);
    auto history = History();
    site.bootstrap(3, 5);
    auto operators = std::vector<std::unique_ptr<ConfigOperator>>();
    for (auto i = 1u; i <= 2; i++)
        operators.push_back(std::make_unique<ConfigOperator>(site, history, seed * 10 + i, .2));
    auto zones = ZoneOperator(site, history, seed * 10 + 3, .2);
    auto trouble = Trouble(site, seed * 10 + 4);
    for (auto end = site.fleet.t + time; site.fleet.t < end;) {
        site.step();
        for (auto& one : operators) one->step();
        zones.step();
        trouble.step();
    }
    trouble.end();
    site.run(5 * SECOND);
    // All that was acknowledged is acknowledged again, and the newest of it is read back.
    for (auto& change : history.changes) {
        if (!change.acknowledged) continue;
        auto status =
            site.finish(http::verb::put, CONFIG, change.body, fmt::to_string(change.base), 10 * SECOND);
        if (status != 200) history.zoneFaults.push_back(fmt::format("sent again, answered with {}", status));
    }
    auto text = std::string();
    auto begun = site.fleet.t;
    auto status = site.finish(http::verb::get, CONFIG, "", "", 10 * SECOND, &text);
    if (status != 200 && status != 404) history.zoneFaults.push_back("no readback in calm time");
    history.readbacks.push_back({begun, site.fleet.t, status == 200 ? versionOf(text) : 0});
    return history.judge();
}

auto seeds() -> std::uint64_t {
    auto more = getenv("DT_SEEDS");
    return more ? std::strtoull(more, nullptr, 10) : 200;
}

}  // namespace

TEST(ControlOrders, randomisedOperatorsAndTroubles) {
    auto quiet = MutedLog();
    for (auto seed = std::uint64_t(1); seed <= seeds(); seed++) {
        auto faults = judged(seed, {}, 40 * SECOND);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            fmt::format("seed {}: {}", seed, faults.empty() ? "" : faults[0]), std::size_t(0), faults.size());
    }
}

// Each oracle sees the fault that it is there for.
static auto seen(ControlFaults faults, const std::string& what) -> bool {
    for (auto seed = std::uint64_t(1); seed <= 200; seed++)
        for (auto& fault : judged(seed, faults, 40 * SECOND))
            if (fault.find(what) != std::string::npos) return true;
    return false;
}
TEST(ControlOrders, aMissingMemoryIsSeen) {
    auto quiet = MutedLog();
    auto faults = ControlFaults();
    faults.keyPerTry = true;
    CHECK(seen(faults, "sent again, answered with 412") || seen(faults, "acknowledged and refused"));
}
TEST(ControlOrders, anUnfencedEvacuationIsSeen) {
    auto quiet = MutedLog();
    auto faults = ControlFaults();
    faults.unfenced = faults.ageless = true;
    CHECK(seen(faults, "the zone is"));
}
TEST(ControlOrders, unconfirmedReadsAreSeen) {
    auto quiet = MutedLog();
    auto faults = ControlFaults();
    faults.readUnconfirmed = true;
    CHECK(seen(faults, "was read after"));
}

// A leader is cut off with an operator at it. Returns the faults of what it is told meanwhile.
static auto cutOffLeader(std::uint64_t seed, ControlFaults faults) -> std::vector<std::string> {
    auto site = ControlFleet(seed, faults);
    auto history = History();
    site.bootstrap(3, 5);
    auto last = std::int64_t(1);
    CHECK_EQ(200, site.finish(http::verb::put, CONFIG, document(1, 1), "0", 8 * SECOND));
    site.run(SECOND);
    auto old = site.fleet.leader();
    CHECK(old);
    site.fleet.lone(*old, true);
    auto end = site.fleet.t + 20 * SECOND;
    auto reads = std::vector<std::pair<Microseconds, ControlCallPtr>>();
    auto write = ControlCallPtr();
    auto due = Microseconds(0), wrote = Microseconds(0);
    while (site.fleet.t < end) {
        // At the one that is cut off: readbacks, and a change that would be refused by what it last heard.
        if (site.fleet.t >= due) {
            due = site.fleet.t + 60 * MILLISECOND;
            reads.emplace_back(site.fleet.t, site.call(*old, http::verb::get, CONFIG));
        }
        // At the others: changes.
        if (!write || write->status || site.fleet.t - wrote > SECOND) {
            if (write && write->status == 200) {
                auto& record = history.change(document(last + 1, last + 1));
                record.base = last, record.version = last + 1, record.acknowledged = site.fleet.t;
                last++;
            }
            auto at = site.fleet.nodes[0].get() == old ? 1u : 0u;
            wrote = site.fleet.t;
            write = site.call(*site.fleet.nodes[at], http::verb::put, CONFIG, document(last + 1, last + 1),
                fmt::to_string(last));
        }
        site.step();
        for (auto& [begun, call] : reads)
            if (call->status == 200) {
                history.readbacks.push_back({begun, site.fleet.t, versionOf(call->body)});
                call->status = 1;
            }
    }
    CHECK(last > 2);
    site.fleet.lone(*old, false);
    // Replies to rounds of before the cut are still on their way: they confirm nothing.
    site.run(5 * SECOND);
    for (auto& [begun, call] : reads)
        if (call->status == 200) history.readbacks.push_back({begun, site.fleet.t, versionOf(call->body)});
    return history.judge();
}
TEST(ControlOrders, aCutOffLeaderHandsOutNothingOld) {
    auto quiet = MutedLog();
    for (auto seed = std::uint64_t(1); seed <= 5; seed++)
        CHECK_EQ(std::size_t(0), cutOffLeader(seed, {}).size());
    auto broken = ControlFaults();
    broken.readUnconfirmed = true;
    auto seen = std::size_t(0);
    for (auto seed = std::uint64_t(1); seed <= 5; seed++) seen += !cutOffLeader(seed, broken).empty();
    CHECK(seen > 0);
}

// The leader is cut off; a change that it had logged, and that no other node holds, makes an order look
// out of date to it. Returns the status that the order is answered with there.
static auto refusedByWhatIsNotCommitted(bool broken) -> int {
    auto fleet = Fleet(7);
    fleet.startCluster(3, 5);
    auto leader = fleet.leader();
    leader->n->orderService().broken.rejectFromLog = broken;
    fleet.lone(*leader, true);
    auto lost = ++fleet.ids;
    leader->n->order(lost, "config", "lost", R"({"base":1,"config":{"mappings":[]}})", fleet.t);
    fleet.run(60 * MILLISECOND);
    auto merge = ++fleet.ids;
    leader->n->order(merge, "merge", "merge", R"({"base":1,"patch":{"name":"n"}})", fleet.t);
    fleet.until(6 * SECOND, [&] { return fleet.outcomes.count(merge) > 0; });
    return fleet.outcomes[merge].status;
}
TEST(ControlOrders, aRefusalRestsOnCommittedState) {
    auto quiet = MutedLog();
    auto status = refusedByWhatIsNotCommitted(false);
    CHECK(status == 503 || status == 504);
    CHECK_EQ(409, refusedByWhatIsNotCommitted(true));
    // In touch with a majority it is refused, after one more round.
    auto fleet = Fleet(8);
    fleet.startCluster(3, 5);
    auto id = ++fleet.ids;
    fleet.nodes[4]->n->order(id, "merge", "late", R"({"base":0,"patch":{"name":"n"}})", fleet.t);
    CHECK(fleet.until(SECOND, [&] { return fleet.outcomes.count(id) > 0; }));
    CHECK_EQ(409, fleet.outcomes[id].status);
}

// An evacuation that was read at a node, and whose order is held up by a freeze of that node, while the
// zone is evacuated and given back through others. True if the zone is empty in the end.
static auto frozenEvacuationCounts(std::uint64_t seed, bool unfenced) -> bool {
    auto faults = ControlFaults();
    faults.unfenced = unfenced;
    auto site = ControlFleet(seed, faults);
    site.bootstrap(3, 5);
    CHECK_EQ(200, site.finish(http::verb::put, CONFIG, document(1, 1), "0", 8 * SECOND));
    auto& held = *site.fleet.nodes[4];
    auto call = site.call(held, http::verb::post, ZONE);
    // Until the read is answered and the order is under way.
    auto read = call->pending;
    for (auto i = 0; i < 100 && call->pending == read; i++) site.step();
    CHECK(call->status == 0);
    held.frozen = site.fleet.t + 3 * SECOND;
    auto others = [&](http::verb verb) {
        for (auto i = 0; i < 20; i++) {
            auto one = site.call(*site.fleet.nodes[3], verb, ZONE);
            site.run(SECOND);
            if (one->status == 200) return;
        }
        CHECK(false);
    };
    others(http::verb::post);
    others(http::verb::delete_);
    CHECK(held.frozen > site.fleet.t);
    site.run(8 * SECOND);
    CHECK(call->status == 200 || call->status == 503);
    return site.fleet.leader()->n->replicatedState().evacuated("x");
}
TEST(ControlOrders, aFrozenEvacuationIsFenced) {
    auto quiet = MutedLog();
    for (auto seed = std::uint64_t(1); seed <= 4; seed++) CHECK(!frozenEvacuationCounts(seed, false));
    CHECK(frozenEvacuationCounts(1, true));
}

// An evacuation waits for its read at a node that is cut off, whose caller gives up and evacuates and
// gives back the zone through others. Its connection's end is not heard. True if the zone is empty in
// the end.
static auto cutOffEvacuationCounts(std::uint64_t seed, bool ageless) -> bool {
    auto faults = ControlFaults();
    faults.ageless = ageless;
    auto site = ControlFleet(seed, faults);
    site.bootstrap(3, 5);
    CHECK_EQ(200, site.finish(http::verb::put, CONFIG, document(1, 1), "0", 8 * SECOND));
    auto& node = *site.fleet.nodes[4];
    site.fleet.lone(node, true);
    auto call = site.call(node, http::verb::post, ZONE);
    site.run(SECOND);
    for (auto verb : {http::verb::post, http::verb::delete_}) {
        auto one = site.call(*site.fleet.nodes[3], verb, ZONE);
        site.run(SECOND);
        CHECK_EQ(200, one->status);
    }
    site.fleet.lone(node, false);
    site.run(8 * SECOND);
    CHECK_EQ(ageless ? 200 : 503, call->status);
    return site.fleet.leader()->n->replicatedState().evacuated("x");
}
TEST(ControlOrders, aCutOffEvacuationIsNotBegunLate) {
    auto quiet = MutedLog();
    for (auto seed = std::uint64_t(1); seed <= 4; seed++) CHECK(!cutOffEvacuationCounts(seed, false));
    CHECK(cutOffEvacuationCounts(1, true));
    CHECK(!isTooLateToStart("config", 0, 60 * SECOND));
    CHECK(!isTooLateToStart("empty", 0, MAX_START_DELAY));
    CHECK(isTooLateToStart("give-back", 0, MAX_START_DELAY + 1));
}

// A caller that is gone has its order cancelled, as far as it is not sent.
TEST(ControlOrders, ordersOfCallersThatAreGoneEnd) {
    auto quiet = MutedLog();
    auto fleet = Fleet(9);
    fleet.startCluster(3, 5);
    auto& node = *fleet.nodes[4];
    fleet.lone(node, true);
    fleet.run(4 * SECOND);  // it knows of no leader any more
    auto id = fleet.order(node, "zone");
    fleet.run(200 * MILLISECOND);
    node.n->cancelOrder(id);
    CHECK_EQ(504, fleet.outcomes[id].status);
    fleet.lone(node, false);
    fleet.run(5 * SECOND);
    CHECK(!fleet.leader()->n->replicatedState().evacuated("zone"));
}

// After a freeze, what came by its end may have lain unread.
TEST(ControlOrders, aFreezeIsToldToRequests) {
    auto quiet = MutedLog();
    auto fleet = Fleet(10);
    fleet.startCluster(3, 5);
    auto& node = *fleet.nodes[4];
    CHECK(!node.n->wasFrozenSince(fleet.t, fleet.t));
    node.frozen = fleet.t + 3 * SECOND;
    auto before = fleet.t;
    fleet.run(2980 * MILLISECOND);
    // The process goes on, and a request is read before anything else.
    CHECK(node.n->wasFrozenSince(fleet.t, fleet.t));
    fleet.run(100 * MILLISECOND);
    CHECK(node.n->wasFrozenSince(before, fleet.t));
    CHECK(node.n->wasFrozenSince(fleet.t, fleet.t));
    fleet.run(SECOND);
    CHECK(node.n->wasFrozenSince(before, fleet.t));
    CHECK(!node.n->wasFrozenSince(fleet.t, fleet.t));
}

// An answer to an earlier life of the node that waits ends no order of the present one.
TEST(ControlOrders, answersToAnEarlierLifeMatchNothing) {
    struct Port : OrderClientPort {
        std::vector<wire::OrderRequest> sent;
        std::map<std::int64_t, Outcome> done;
        auto findLeader(Microseconds) -> std::string override { return "leader"; }
        auto lastLeader() -> std::string override { return "leader"; }
        auto sendOrder(const std::string&, wire::OrderRequest& ask, Microseconds) -> void override {
            sent.push_back(ask);
        }
        auto onOrderDone(std::int64_t id, const Outcome& outcome) -> void override { done[id] = outcome; }
    };
    auto port = Port();
    auto client = OrderClient(port, {}, 100);
    client.order(1, "empty", "key", "{}", SECOND);
    client.tick(50, SECOND);
    CHECK_EQ(std::size_t(1), port.sent.size());
    CHECK_EQ(std::int64_t(50), port.sent[0].boot);
    auto reply = wire::OrderReply();
    reply.id = port.sent[0].id;
    reply.status = 200;
    reply.__set_boot(49);
    client.answered(reply, 50, SECOND);
    CHECK(port.done.empty());
    // Only one of the present life, and only once.
    reply.__set_boot(50);
    client.answered(reply, 50, SECOND);
    CHECK_EQ(200, port.done[1].status);
    port.done.clear();
    client.answered(reply, 50, SECOND);
    CHECK(port.done.empty());
}

// Requests' numbers differ from life to life, for an older leader that names no life in its answers.
TEST(ControlOrders, numbersBeginElsewhereInEachLife) {
    auto quiet = MutedLog();
    auto fleet = Fleet(11);
    fleet.startCluster(3, 5);
    auto asked = std::set<std::int64_t>();
    for (auto life = 0; life < 3; life++) {
        auto& node = *fleet.nodes[4];
        for (auto i = 0; i < 3; i++) fleet.order(node, fmt::format("z{}-{}", life, i));
        for (auto i = 0; i < 10; i++) {
            fleet.run(2 * MILLISECOND);
            for (auto& [when, post] : fleet.net)
                if (post.e.__isset.orderRequest && post.from == 4) asked.insert(post.e.orderRequest.id);
        }
        fleet.run(SECOND);
        fleet.stop(node);
        fleet.run(100 * MILLISECOND);
        fleet.restart(node);
        fleet.run(3 * SECOND);
    }
    CHECK_EQ(std::size_t(9), asked.size());
}

// What surely was not logged is told apart from what may have been.
TEST(ControlOrders, whatWasNotLoggedIsSaid) {
    auto quiet = MutedLog();
    auto fleet = Fleet(12);
    fleet.startCluster(3, 5);
    auto leader = fleet.leader();
    fleet.lone(*leader, true);
    auto logged = fleet.order(*leader, "zone");
    fleet.run(6 * SECOND);
    CHECK_EQ(504, fleet.outcomes[logged].status);
    auto unsent = fleet.order(*leader, "other");
    fleet.run(6 * SECOND);
    CHECK_EQ(503, fleet.outcomes[unsent].status);
}

}  // namespace duneturn
