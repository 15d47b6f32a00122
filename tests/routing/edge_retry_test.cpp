// Which requests are retried, which are not, and how the retry budget limits the retries.
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fleet.hpp"

namespace duneturn {
namespace {

constexpr auto MAX_ATTEMPTS = 3;  // as MaxTries in FUZZ_CONFIGURATION

// Four routes: /e and /n are not repeatable, /s and /r are; /n and /r are streams.
constexpr auto FUZZ_CONFIGURATION =
    R"({"budget":{"slack":500,"share":0.2},"models":{"m":{"migrationLimit":3}},"mappings":[
              {"name":"e","path":"/e","pool":"p","MaxTries":3},
              {"name":"s","path":"/s","pool":"p","MaxTries":3,"repeatable":true},
              {"name":"n","path":"/n","pool":"p","MaxTries":3,"stream":true},
              {"name":"r","path":"/r","pool":"p","MaxTries":3,"stream":true,"Resumable":true,"idleUs":300000}]})";

auto isStream(const std::string& path) -> bool { return path == "/r" || path == "/n"; }
auto isRepeatable(const std::string& path) -> bool { return path == "/s" || path == "/r"; }

// What the servers and the client saw of one request.
struct FuzzedRequest {
    std::string path;
    int runs = 0, sends = 0;
    std::int64_t lastEventId = -1;
    bool isOver = false;
};

struct FuzzTotals {
    int repeatedRuns = 0, promises = 0, completions = 0, truncations = 0;
    int forbiddenRuns = 0;  // repeated runs of non-repeatable requests, with the injected fault
};

// One edge whose servers respond to many concurrent requests in random ways.
class RetryFuzz {
  public:
    RetryFuzz(RandomSource& random, bool isFaulty, FuzzTotals& totals)
        : random_(random), isFaulty_(isFaulty), totals_(totals) {
        rig_.edge->broken.retryNonRepeatable = isFaulty;
        CHECK_EQ(200, rig_.orderConfig(FUZZ_CONFIGURATION));
        rig_.listServers(servers_);
    }

    auto step() -> void {
        sendRequest();
        for (auto& [id, fuzzed] : requests_) advance(id, fuzzed);
        for (auto& [id, fuzzed] : requests_) check(id, fuzzed);
        if (random_.chance(.05)) rig_.orderConfig(FUZZ_CONFIGURATION);
        if (random_.chance(.1)) rig_.listServers(servers_, 0);
        rig_.runFor(20 * MILLISECOND * Microseconds(1 + random_.below(8)));
    }

    // All requests end, and nothing stays counted as in flight or queued.
    auto finish() -> void {
        rig_.runFor(40 * SECOND);
        CHECK_EQ(std::size_t(0), rig_.edge->activeRequests());
        CHECK_EQ(0, rig_.edge->inflightCount());
        CHECK_EQ(std::size_t(0), rig_.edge->queuedCount());
        CHECK_EQ(std::int64_t(0), rig_.counters.get("illegal_transitions_total"));
    }

  private:
    auto sendRequest() -> void {
        auto path = std::string(std::array{"/e", "/s", "/n", "/r"}[random_.below(4)]);
        auto id = rig_.sendRequest(path, isStream(path) ? Headers{{"X-Model", "m"}} : Headers{});
        requests_[id].path = path;
    }

    // Lets the current attempt of a request take a step, or not.
    auto advance(std::int64_t id, FuzzedRequest& fuzzed) -> void {
        auto request = rig_.edge->find(id);
        if (!request || rig_.outcome(id) || request->phase() == Phase::Queued || random_.chance(.4)) return;
        if (request->attempts.tracker.written()) respond(id, fuzzed, *request);
        else connect(id, fuzzed, request->attempts.current);
    }

    auto connect(std::int64_t id, FuzzedRequest& fuzzed, int attempt) -> void {
        if (random_.chance(.2)) return rig_.edge->onConnectionRefused(id, attempt, rig_.now);
        if (random_.chance(.1)) return rig_.edge->onConnectionLost(id, attempt, "reset", rig_.now);
        if (!rig_.edge->confirmSend(id, attempt, rig_.now)) return;
        fuzzed.runs++, fuzzed.sends++;
        if (fuzzed.sends > MAX_ATTEMPTS && !isFaulty_) CHECK(false);
        if (fuzzed.path != "/r") return;
        auto resumedAfter =
            headerOf(rig_.edge->requestHeaders(*rig_.edge->find(id), rig_.now), "Last-Event-Id");
        CHECK_EQ(
            fuzzed.lastEventId < 0 ? std::string("-") : fmt::to_string(fuzzed.lastEventId), resumedAfter);
    }

    // The server states that it did not execute the request.
    auto decline(std::int64_t id, FuzzedRequest& fuzzed, int attempt, int status) -> void {
        fuzzed.runs--;
        rig_.edge->onResponse(id, attempt, status,
            status == 421 && random_.chance(.5) ? Headers{} : rig_.answerHeaders(id, {{"X-Not-Run", "1"}}),
            "", rig_.now);
    }

    auto respond(std::int64_t id, FuzzedRequest& fuzzed, const Request& request) -> void {
        auto& edge = *rig_.edge;
        auto now = rig_.now;
        auto attempt = request.attempts.current;
        auto headers =
            rig_.answerHeaders(id, {{"X-Load", fmt::format("{},{},9", random_.below(9), random_.below(3))}});
        switch (random_.below(isStream(fuzzed.path) ? 13 : 8)) {
        case 0: return edge.onConnectionLost(id, attempt, "reset", now);
        case 1: return decline(id, fuzzed, attempt, request.relayed.headSent ? 421 : 503);
        case 2: return decline(id, fuzzed, attempt, 421);
        case 3: edge.onResponseHead(id, attempt, 200, {{"X-Try", "not this"}}, now); return;
        case 4: edge.onResponseHead(id, attempt, 200, {}, now); return;
        case 5: return edge.onResponse(id, attempt, int(500 + 4 * random_.below(2)), headers, "", now);
        case 6:
            return edge.onResponse(
                id, attempt, std::array{503, 429, 408}[random_.below(3)], headers, "", now);
        case 7:
            if (isStream(fuzzed.path)) edge.onResponseHead(id, attempt, 200, headers, now);
            else rig_.answer(id);
            return;
        case 8: return edge.onStreamEnd(id, attempt, now);
        case 9:
            if (fuzzed.lastEventId >= 0) rig_.sendEvent(id, random_.chance(.5) ? "0" : "?");
            return;
        default:
            if (!edge.onResponseHead(id, attempt, 200, headers, now)) return;
            fuzzed.lastEventId =
                std::max<std::int64_t>(0, fuzzed.lastEventId) + 1 + std::int64_t(random_.below(3));
            rig_.sendEvent(id, fmt::to_string(fuzzed.lastEventId));
        }
    }

    auto check(std::int64_t id, FuzzedRequest& fuzzed) -> void {
        auto outcome = rig_.outcome(id);
        if (isFaulty_) {
            totals_.forbiddenRuns += !isRepeatable(fuzzed.path) && fuzzed.runs > 1;
            return;
        }
        if (isRepeatable(fuzzed.path)) totals_.repeatedRuns += fuzzed.runs > 1 && !fuzzed.isOver;
        else checkNonRepeatable(id, fuzzed, outcome);
        if (!outcome || fuzzed.isOver) return;
        fuzzed.isOver = true;
        totals_.promises += outcome == 503;
        totals_.completions += outcome == 1 || outcome == 200;
        totals_.truncations += outcome == 2;
        auto request = rig_.edge->find(id);
        CHECK(!request || request->phase() == Phase::Finished);
        // Nothing of a request is sent after its end.
        CHECK(!rig_.edge->confirmSend(id, request ? request->attempts.current : 1, rig_.now));
    }

    // It runs at most once, and not at all if the client received a promise that it did not run.
    auto checkNonRepeatable(std::int64_t id, const FuzzedRequest& fuzzed, int outcome) -> void {
        CHECK(fuzzed.runs <= 1);
        if (outcome == 503 || outcome == 429 || outcome == 408 || outcome == 421) CHECK_EQ(0, fuzzed.runs);
        if (outcome == 503 && rig_.replies[id].headers.size() > 1)
            CHECK(headerOf(rig_.replies[id].headers, "X-Not-Run") != "-");
    }

    RandomSource& random_;
    bool isFaulty_;
    FuzzTotals& totals_;
    EdgeFixture rig_;
    std::vector<EdgeFixture::ListedServer> servers_ = {{"a", "near", "p", "z", 9}, {"b", "near", "p", "z", 9},
        {"c", "near", "p", "z", 9}, {"d", "far", "p", "z", 9}};
    std::map<std::int64_t, FuzzedRequest> requests_;
};

}  // namespace

// Whatever fails and when, a request that is not repeatable runs at most once, and a status that promises
// that a request did not run is true. The last round injects the fault that such requests are retried.
TEST(EdgePlatform, fuzzNonRepeatableRunsAtMostOnce) {
    constexpr auto ROUNDS = 40;
    auto random = RandomSource{31};
    auto totals = FuzzTotals();
    for (auto round = 0; round < ROUNDS; round++) {
        auto fuzz = RetryFuzz(random, round == ROUNDS - 1, totals);
        for (auto i = 0; i < 150; i++) fuzz.step();
        fuzz.finish();
    }
    CHECK(totals.repeatedRuns > 100);
    CHECK(totals.promises > 100);
    CHECK(totals.completions > 100);
    CHECK(totals.truncations > 50);
    CHECK(totals.forbiddenRuns > 0);
}

// A refused connection does not count as an attempt, but only three of one request are free. The servers that
// refused are avoided for a while.
TEST(EdgePlatform, refusedConnectionsAreRetriedWithinLimit) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":1)")));
    rig.listServers({{"x"}, {"y"}, {"z"}, {"w"}, {"v"}, {"u"}});
    auto request = rig.sendRequest("/a/x");
    for (auto i = 0; i < 3; i++) {
        rig.edge->onConnectionRefused(request, rig.lastSend().attempt, rig.now);
        CHECK_EQ(std::size_t(2 + i), rig.sends.size());
    }
    CHECK_EQ(std::int64_t(0), rig.counters.get("extra_sends_total"));
    rig.edge->onConnectionRefused(request, rig.lastSend().attempt, rig.now);
    CHECK_EQ(503, rig.outcome(request));
    CHECK_EQ(std::string("true"), headerOf(rig.replies[request].headers, "X-Not-Run"));
    // The four servers are ejected.
    auto refusing = std::set<std::string>();
    for (auto& attempt : rig.sends) refusing.insert(attempt.server);
    for (auto i = 0; i < 6; i++) {
        rig.sendRequest("/a/x");
        CHECK(!refusing.count(rig.lastSend().server));
    }
}

// A request that was sent as not repeatable stays so, even if a newer configuration calls its route
// repeatable.
TEST(EdgePlatform, sentAsNonRepeatableIsNeverRetried) {
    auto repeatable = std::string(R"(,"MaxTries":3,"repeatable":true)");
    for (auto first : {std::string(R"(,"MaxTries":3)"), repeatable}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(configOf(first)));
        rig.listServers({{"x"}, {"y"}});
        auto request = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(request));
        CHECK_EQ(200, rig.orderConfig(configOf(repeatable)));
        auto sends = rig.sends.size();
        rig.edge->onConnectionLost(request, rig.lastSend().attempt, "reset", rig.now);
        CHECK_EQ(first == repeatable, rig.sends.size() > sends);
        CHECK_EQ(first == repeatable ? 0 : 502, rig.outcome(request));
    }
}

namespace {

constexpr auto BUDGET_CONFIGURATION = R"({"budget":{"slack":64,"share":0.2},"mappings":[
             {"name":"a","path":"/a/*","pool":"p","MaxTries":6,"repeatable":true},
             {"name":"b","path":"/b/*","pool":"q","MaxTries":6,"repeatable":true}]})";

using SendTimes = std::map<std::string, std::vector<Microseconds>>;  // by service

auto countWithin(const std::vector<Microseconds>& times, Microseconds from, Microseconds window) -> double {
    return double(std::count_if(
        times.begin(), times.end(), [&](auto time) { return time >= from && time < from + window; }));
}

// Whether in any ten seconds there were more retries than the slack and the share of the first attempts.
auto exceedsBudget(const std::vector<Microseconds>& firstAttempts, const std::vector<Microseconds>& retries,
    Microseconds end) -> bool {
    auto isExceeded = false;
    for (auto from = retries.empty() ? 0 : retries[0]; from < end; from += 100 * MILLISECOND)
        isExceeded = isExceeded
            || countWithin(retries, from, 10 * SECOND)
                > 0.2 * countWithin(firstAttempts, from, 10 * SECOND) + 64;
    return isExceeded;
}

}  // namespace

// Over all edges and in any ten seconds, the retries at the servers of a service stay within the budget that
// the first attempts for that service earned. Without the budget they do not.
TEST(EdgePlatform, fuzzRetriesStayWithinBudgetOfFleet) {
    for (auto ignoreBudget : {false, true}) {
        auto random = RandomSource{43};
        auto fleet = EdgeFleet(12, BUDGET_CONFIGURATION,
            {{"w", "near", "p", "z", 60}, {"c", "near", "p", "z", 60}, {"d", "near", "p", "z", 60},
                {"e", "near", "q", "z", 60}, {"f", "near", "q", "z", 60}});
        auto firstAttempts = SendTimes(), retries = SendTimes();
        for (auto step = 0; step < 1500; step++) {
            for (auto i = std::size_t(0); i < fleet.edges.size(); i++) {
                auto& rig = *fleet.edges[i];
                rig.edge->broken.ignoreRetryBudget = ignoreBudget;
                // Service p receives far more requests than service q.
                if (random.chance(.4)) rig.sendRequest("/a/x");
                if (random.chance(.02)) rig.sendRequest("/b/x");
                for (auto repetition = 0; repetition < 8; repetition++)
                    for (auto& started : fleet.newSends(i)) {
                        if (!rig.edge->confirmSend(started.request, started.attempt, rig.now)) continue;
                        auto request = rig.edge->find(started.request);
                        auto service = request->route.service;
                        auto& times = request->attempts.sent == 1 ? firstAttempts : retries;
                        times[service].push_back(rig.now);
                        // At first only the smaller service fails, then both.
                        auto fails = step < 700 ? service == "q" : step % 500 < 250 || random.chance(.6);
                        if (fails)
                            rig.edge->onConnectionLost(started.request, started.attempt, "reset", rig.now);
                        else rig.answer(started.request);
                    }
            }
            fleet.step();
        }
        auto isExceeded = false;
        for (auto service : {"p", "q"}) {
            CHECK(retries[service].size() > 40);
            isExceeded = isExceeded || exceedsBudget(firstAttempts[service], retries[service], fleet.now());
        }
        CHECK_EQ(ignoreBudget, isExceeded);
    }
}

}  // namespace duneturn
