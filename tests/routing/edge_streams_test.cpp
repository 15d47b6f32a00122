// Event streams: the order of events, migration to another server, and servers that become unresponsive.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

namespace {

// The Last-Event-Id of the headers that the edge sends to the server; "-" if there is none.
auto sentLastEventId(EdgeFixture& rig, std::int64_t request) -> std::string {
    return headerOf(rig.edge->requestHeaders(*rig.edge->find(request), rig.now), "Last-Event-Id");
}

// Three routes at one service: /a is resumable, /n is not repeatable, /p is repeatable but no stream.
struct StreamEdge : EdgeFixture {
    Headers modelHeaders = {{"X-Model", "m"}, {"X-Tokens", "10,20"}};

    StreamEdge() {
        CHECK_EQ(200,
            orderConfig(configOf(R"(,"stream":true,"Resumable":true,"MaxTries":3},
      {"name":"n","host":"h.example","method":"*","path":"/n/*","pool":"p","stream":true,"MaxTries":3},
      {"name":"p","host":"h.example","method":"*","path":"/p/*","pool":"p","repeatable":true,"MaxTries":3)",
                R"(,"models":{"m":{"migrationLimit":2,"maxSequence":40}},"pools":{"p":{"stride":6}})")));
        listServers({{"x"}, {"y"}});
    }
    // Sends a request and receives the head of its response.
    auto startStream(const std::string& path, const Headers& headers) -> std::int64_t {
        auto request = sendRequest(path, headers);
        CHECK(sendFirstByte(request));
        CHECK(edge->onResponseHead(request, 1, 200, answerHeaders(request), now));
        return request;
    }
    // Whether a stream migrates whose connection is lost after so many events. If not, it fails or is
    // truncated.
    auto migratesAfter(int events, const std::string& path, const Headers& headers) -> bool {
        auto request = startStream(path, headers);
        for (auto i = 1; i <= events; i++) sendEvent(request, fmt::to_string(i));
        auto sendsBefore = sends.size();
        edge->onConnectionLost(request, 1, "reset", now);
        CHECK_EQ(sends.size() > sendsBefore ? 0 : events ? 2 : 502, outcome(request));
        edge->clientClosed(request, now);
        return sends.size() > sendsBefore;
    }
};

}  // namespace

// Ids may increase by any amount, and the stream ends with its HTTP message. The client receives the head of
// the first server only.
TEST(EdgePlatform, streamContinuesAtAnotherServer) {
    auto rig = StreamEdge();
    auto request = rig.sendRequest("/a/1", rig.modelHeaders);
    CHECK(rig.sendFirstByte(request));
    CHECK(rig.edge->onResponseHead(request, 1, 200, rig.answerHeaders(request, {{"X-Seal", "1"}}), rig.now));
    for (auto id : {"3", "5", "6"}) rig.sendEvent(request, id);
    auto firstServer = rig.lastSend().server;
    rig.edge->onConnectionLost(request, 1, "reset", rig.now);
    CHECK(rig.lastSend().server != firstServer);
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("6"), sentLastEventId(rig, request));
    CHECK(rig.edge->onResponseHead(
        request, rig.lastSend().attempt, 200, rig.answerHeaders(request, {{"X-Seal", "2"}}), rig.now));
    rig.sendEvent(request, "9");
    rig.edge->onStreamEnd(request, rig.lastSend().attempt, rig.now);
    CHECK_EQ(1, rig.outcome(request));
    CHECK_EQ(std::string("1"), headerOf(rig.heads[request].second, "X-Seal"));
    CHECK_EQ(std::string("id: 3\ndata: d\n\nid: 5\ndata: d\n\nid: 6\ndata: d\n\nid: 9\ndata: d\n\n"),
        rig.parts[request]);
}

// An id that does not increase and an event that is garbage truncate the stream.
TEST(EdgePlatform, invalidEventTruncatesStream) {
    auto rig = StreamEdge();
    for (auto invalidId : {"5", "4", "x", ""}) {
        auto request = rig.startStream("/a/1", rig.modelHeaders);
        rig.sendEvent(request, "5");
        rig.sendEvent(request, invalidId, "");
        CHECK_EQ(2, rig.outcome(request));
        CHECK_EQ(std::string("id: 5\ndata: d\n\n"), rig.parts[request]);
    }
}

// A stream does not migrate beyond the maximum sequence length, without a migration limit of its model, or if
// its route is not resumable.
TEST(EdgePlatform, streamMigratesOnlyWherePermitted) {
    auto rig = StreamEdge();
    CHECK(rig.migratesAfter(5, "/a/1", rig.modelHeaders));
    CHECK(rig.migratesAfter(0, "/a/1", rig.modelHeaders));
    CHECK(!rig.migratesAfter(6, "/a/1", rig.modelHeaders));
    CHECK(!rig.migratesAfter(2, "/a/1", {{"X-Model", "other"}}));
    CHECK(!rig.migratesAfter(2, "/n/1", rig.modelHeaders));
    CHECK(!rig.migratesAfter(0, "/n/1", rig.modelHeaders));
    // A repeatable request whose route is no resumable stream is not joined either once an event was
    // forwarded.
    auto request = rig.startStream("/p/1", {});
    rig.sendEvent(request, "1");
    rig.edge->onConnectionLost(request, 1, "reset", rig.now);
    CHECK_EQ(2, rig.outcome(request));
}

// A request by which a client resumes its stream counts as a first attempt, and its Last-Event-Id is
// forwarded.
TEST(EdgePlatform, clientResumesStream) {
    auto rig = StreamEdge();
    auto retries = rig.counters.get("extra_sends_total");
    auto request = rig.sendRequest("/a/1", {{"X-Model", "m"}, {"Last-Event-Id", "7"}});
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(std::string("7"), sentLastEventId(rig, request));
    CHECK_EQ(retries, rig.counters.get("extra_sends_total"));
    CHECK(rig.edge->onResponseHead(request, 1, 200, rig.answerHeaders(request), rig.now));
    auto sendsBefore = rig.sends.size();
    // The server repeats an event instead of continuing after it, so another server is tried.
    rig.sendEvent(request, "7");
    CHECK_EQ(sendsBefore + 1, rig.sends.size());
    // On a route that is not resumable the header is forwarded unchanged, like any other.
    auto unresumable = rig.sendRequest("/n/1", {{"Last-Event-Id", "q 7"}});
    CHECK(rig.sendFirstByte(unresumable));
    CHECK_EQ(std::string("q 7"), sentLastEventId(rig, unresumable));
}

namespace {

constexpr auto EVENTS = std::size_t(12);  // of each stream

// Sends streams whose servers lose the connection at random, and checks what the client receives.
class StreamJoinFuzz {
  public:
    explicit StreamJoinFuzz(RandomSource& random) : random_(random) {
        CHECK_EQ(200,
            rig_.orderConfig(configOf(R"(,"stream":true,"Resumable":true,"MaxTries":64)",
                R"(,"models":{"m":{"migrationLimit":16}})")));
        rig_.listServers(
            {{"x", "near", "p", "z", 50}, {"y", "near", "p", "z", 50}, {"w", "near", "p", "z", 50}});
        rig_.runFor(3 * SECOND);
    }

    auto runStream() -> void {
        ids_.clear();
        for (auto i = std::size_t(0), id = std::size_t(0); i < EVENTS; i++)
            ids_.push_back(std::int64_t(id += 1 + random_.below(4)));
        auto resumedFrom = random_.chance(.3) ? random_.below(EVENTS) : 0;
        auto headers = Headers{{"X-Model", "m"}};
        if (resumedFrom) headers.emplace_back("Last-Event-Id", fmt::to_string(ids_[resumedFrom - 1]));
        auto request = rig_.sendRequest("/a/x", headers);
        auto expected = std::string();
        for (auto i = resumedFrom; i < EVENTS; i++) expected += fmt::format("id: {}\ndata: d\n\n", ids_[i]);
        while (!rig_.outcome(request) && rig_.edge->find(request)->phase() == Phase::Sending)
            runAttempt(request);
        if (rig_.outcome(request) == 1) {
            completions++;
            CHECK_EQ(expected, rig_.parts[request]);
        } else CHECK(expected.starts_with(rig_.parts[request]));
        rig_.runFor(100 * MILLISECOND);
    }

    int migrations = 0, completions = 0;

  private:
    // The server sends the events after the Last-Event-Id, and sometimes loses the connection.
    auto runAttempt(std::int64_t request) -> void {
        auto attempt = rig_.edge->find(request)->attempts.current;
        CHECK(rig_.edge->confirmSend(request, attempt, rig_.now));
        auto lastId = sentLastEventId(rig_, request);
        auto next = std::size_t(0);
        if (lastId != "-")
            next = std::size_t(std::find(ids_.begin(), ids_.end(), std::stoll(lastId)) - ids_.begin()) + 1;
        CHECK(next <= EVENTS);
        if (!rig_.edge->onResponseHead(request, attempt, 200, rig_.answerHeaders(request), rig_.now)) return;
        auto isLost = false;
        for (; next < EVENTS && !isLost; next++) {
            rig_.sendEvent(request, fmt::to_string(ids_[next]));
            isLost = random_.chance(.1);
        }
        if (isLost) rig_.edge->onConnectionLost(request, attempt, "reset", rig_.now), migrations++;
        else rig_.edge->onStreamEnd(request, attempt, rig_.now);
    }

    RandomSource& random_;
    EdgeFixture rig_;
    std::vector<std::int64_t> ids_;
};

}  // namespace

// A stream that migrated is the same byte for byte as if one server had sent all of it.
TEST(EdgePlatform, fuzzMigratedStreamIsComplete) {
    auto random = RandomSource{77};
    auto migrations = 0, completions = 0;
    for (auto round = 0; round < 10; round++) {
        auto fuzz = StreamJoinFuzz(random);
        for (auto i = 0; i < 30; i++) fuzz.runStream();
        migrations += fuzz.migrations;
        completions += fuzz.completions;
    }
    CHECK(migrations > 50);
    CHECK(completions > 150);
}

// A silent server does not end a request before its deadline. A request that may migrate does so as soon as
// there is another server.
TEST(EdgePlatform, silentServerDoesNotFailRequest) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"stream":true,"Resumable":true,"MaxTries":3,"idleUs":500000,"deadlineUs":6000000},
      {"name":"e","path":"/e","pool":"p","MaxTries":3,"idleUs":500000,"deadlineUs":6000000)",
                R"(,"models":{"m":{"migrationLimit":2}})")));
    rig.listServers({{"x"}});
    rig.runFor(2 * SECOND);
    auto nonRepeatable = rig.sendRequest("/e");
    CHECK(rig.sendFirstByte(nonRepeatable));
    auto stream = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(stream));
    rig.runFor(2 * SECOND);
    auto sendsBefore = rig.sends.size();
    CHECK_EQ(std::size_t(2), sendsBefore);  // there is no other server, so it waits
    CHECK_EQ(0, rig.outcome(stream));
    rig.listServers({{"x"}, {"y"}}, 500 * MILLISECOND);
    CHECK_EQ(sendsBefore + 1, rig.sends.size());
    CHECK_EQ(stream, rig.lastSend().request);
    CHECK_EQ(std::string("y"), rig.lastSend().server);
    CHECK(rig.sendFirstByte(stream));
    rig.answer(stream);
    rig.runFor(3200 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(nonRepeatable));
    rig.runFor(600 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(nonRepeatable));
}

// Unless the configuration sets an idle timeout, a request leaves an unresponsive server while another one
// can still meet the latency target. A request of which no byte was written leaves in any case, since it
// cannot have run.
TEST(EdgePlatform, requestLeavesUnresponsiveServer) {
    auto rig = EdgeFixture();
    CHECK_EQ(200,
        rig.orderConfig(
            configOf(R"(,"stream":true,"Resumable":true,"MaxTries":2,"aimUs":1000000,"gapUs":400000},
      {"name":"e","path":"/e","pool":"p","MaxTries":1,"aimUs":1000000)",
                R"(,"models":{"m":{"migrationLimit":1}})")));
    rig.listServers({{"x"}, {"y"}});
    rig.runFor(2 * SECOND);
    auto nonRepeatable = rig.sendRequest("/e");
    auto unresponsive = rig.lastSend();
    rig.runFor(380 * MILLISECOND);
    CHECK_EQ(unresponsive.attempt, rig.lastSend().attempt);
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(nonRepeatable, rig.lastSend().request);
    CHECK(rig.lastSend().server != unresponsive.server);
    CHECK(!rig.edge->confirmSend(nonRepeatable, unresponsive.attempt, rig.now));
    CHECK(rig.sendFirstByte(nonRepeatable));
    CHECK_EQ(std::int64_t(0), rig.counters.get("extra_sends_total"));
    auto sendsBefore = rig.sends.size();
    rig.runFor(3 * SECOND);
    CHECK_EQ(sendsBefore, rig.sends.size());  // it may have run, so it is not sent again
    CHECK_EQ(0, rig.outcome(nonRepeatable));
    rig.answer(nonRepeatable);
    rig.runFor(5 * SECOND);
    auto beforeHead = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(beforeHead));
    rig.runFor(760 * MILLISECOND);
    CHECK_EQ(sendsBefore + 2, rig.sends.size());
    CHECK(rig.sendFirstByte(beforeHead));
    auto afterFirstEvent = rig.sendRequest("/a/x", {{"X-Model", "m"}});
    CHECK(rig.sendFirstByte(afterFirstEvent));
    CHECK(rig.edge->onResponseHead(
        afterFirstEvent, rig.lastSend().attempt, 200, rig.answerHeaders(afterFirstEvent), rig.now));
    rig.sendEvent(afterFirstEvent, "1");
    rig.runFor(220 * MILLISECOND);
    CHECK_EQ(sendsBefore + 3, rig.sends.size());
    rig.runFor(100 * MILLISECOND);
    CHECK_EQ(sendsBefore + 4, rig.sends.size());
    CHECK_EQ(afterFirstEvent, rig.lastSend().request);
}

}  // namespace duneturn
